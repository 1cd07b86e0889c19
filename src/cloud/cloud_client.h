// The cloud over HTTP, within its rate limit.
#pragma once

#include "cloud/cloud_port.h"
#include "net/clock.h"
#include "net/http_client.h"
#include "net/token_bucket.h"

namespace deckhall {

class CloudClient : public CloudPort {
 public:
  CloudClient(Loop* loop, const Clock* clock, Endpoint at, double rps);
  void Types(std::function<void(bool, std::vector<MachineType>)> done) override;
  void Rent(const std::string& request, const std::string& type, const std::string& zone, bool spot,
            int count, std::function<void(RentAnswer)> done) override;
  void Return(const std::vector<std::string>& machines, std::function<void(bool)> done) override;
  void List(const std::string& after,
            std::function<void(bool, std::vector<CloudInstance>, bool)> done) override;

 private:
  void Ask(const HttpCall& call, double reserve, HttpClient::Done done);

  const Clock* clock_;
  Endpoint at_;
  TokenBucket budget_;
  HttpClient http_;
  Timer refuse_;
  std::vector<HttpClient::Done> refused_;
};

}  // namespace deckhall
