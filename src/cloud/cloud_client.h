// HTTP client of the cloud's API. Stays within the cloud's rate limit: calls beyond it fail locally
// after a short delay, as if the cloud had not responded.
#pragma once

#include "cloud/cloud_provider.h"
#include "net/clock.h"
#include "net/deferred_calls.h"
#include "net/http_client.h"
#include "net/token_bucket.h"

namespace deckhall {

class CloudClient : public CloudProvider {
 public:
  // `rps` is the cloud's rate limit, in requests per second.
  CloudClient(Loop* loop, const Clock* clock, Endpoint endpoint, double rps);
  void ListTypes(std::function<void(bool, std::vector<MachineType>)> done) override;
  void ScaleOut(const std::string& request_id, const std::string& type, const std::string& zone,
                bool spot, int count, std::function<void(ScaleOutResponse)> done) override;
  void ScaleIn(const std::vector<std::string>& machines, std::function<void(bool)> done) override;
  void ListInstances(const std::string& after,
                     std::function<void(bool, std::vector<CloudInstance>, bool)> done) override;

 private:
  // Sends the call if that leaves `reserve` requests in the rate budget.
  void Send(const HttpCall& call, double reserve, HttpClient::Done done);

  const Clock* clock_;
  Endpoint endpoint_;
  TokenBucket budget_;
  HttpClient http_;
  DeferredCalls throttled_calls_;
};

}  // namespace deckhall
