// The cloud over HTTP, within its rate limit.
#pragma once

#include "cloud/cloud_provider.h"
#include "net/clock.h"
#include "net/http_client.h"
#include "net/token_bucket.h"

namespace deckhall {

class CloudClient : public CloudProvider {
 public:
  CloudClient(Loop* loop, const Clock* clock, Endpoint at, double rps);
  void ListTypes(std::function<void(bool, std::vector<MachineType>)> done) override;
  void ScaleOut(const std::string& request, const std::string& type, const std::string& zone,
                bool spot, int count, std::function<void(ScaleOutResponse)> done) override;
  void ScaleIn(const std::vector<std::string>& machines, std::function<void(bool)> done) override;
  void ListInstances(const std::string& after,
                     std::function<void(bool, std::vector<CloudInstance>, bool)> done) override;

 private:
  void Send(const HttpCall& call, double reserve, HttpClient::Done done);

  const Clock* clock_;
  Endpoint endpoint_;
  TokenBucket budget_;
  HttpClient http_;
  Timer refusal_timer_;
  std::vector<HttpClient::Done> refused_calls_;
};

}  // namespace deckhall
