#include "cloud/cloud_client.h"

#include <spdlog/spdlog.h>

#include <optional>
#include <utility>

#include "wire/cloud_codec.h"

namespace deckhall {
namespace {

constexpr double kRequestTimeoutSeconds = 5.0;
constexpr size_t kMaxResponseBytes = 2 << 20;
constexpr size_t kMaxConnections = 16;
constexpr int kInstancesPerPage = 500;  // the cloud's maximum page size
constexpr double kThrottleDelaySeconds = 0.05;
// Share of the cloud's rate limit that is used.
constexpr double kRateLimitShare = 0.8;
// Size of a burst, in seconds of the cloud's rate limit.
constexpr double kBurstSeconds = 1.5;

}  // namespace

CloudClient::CloudClient(Loop* loop, const Clock* clock, Endpoint endpoint, double rps)
    : clock_(clock),
      endpoint_(std::move(endpoint)),
      budget_(rps * kRateLimitShare, rps * kBurstSeconds),
      http_(loop, kMaxConnections, kMaxResponseBytes),
      throttled_calls_(loop, kThrottleDelaySeconds) {}

void CloudClient::Send(const HttpCall& call, double reserve, HttpClient::Done done) {
  if (!budget_.Take(clock_->Now(), 1, reserve)) {
    throttled_calls_.Add([done = std::move(done)] { done(HttpResult()); });
    return;
  }
  http_.Call(endpoint_, call, [this, done = std::move(done)](HttpResult result) {
    if (result.status == 429) budget_.Drain();
    done(std::move(result));
  });
}

void CloudClient::ListTypes(std::function<void(bool, std::vector<MachineType>)> done) {
  Send({"GET", "/flavors", "", kRequestTimeoutSeconds}, 1,
       [done = std::move(done)](const HttpResult& result) {
         std::optional<std::vector<MachineType>> types;
         if (result.status == 200) types = DecodeTypes(result.body);
         if (result.status == 200 && !types) spdlog::warn("cloud: machine type list is malformed");
         const bool ok = types.has_value();
         done(ok, std::move(types).value_or(std::vector<MachineType>()));
       });
}

void CloudClient::ScaleOut(const std::string& request_id, const std::string& type,
                           const std::string& zone, bool spot, int count,
                           std::function<void(ScaleOutResponse)> done) {
  Send({"POST", "/machines", EncodeScaleOut(request_id, type, zone, spot, count),
        kRequestTimeoutSeconds},
       0, [done = std::move(done)](const HttpResult& result) {
         ScaleOutResponse response;
         std::optional<std::vector<std::string>> machines;
         if (result.status == 200) machines = DecodeScaleOutResponse(result.body);
         response.ok = machines.has_value();
         if (machines) response.machines = std::move(*machines);
         response.out_of_capacity =
             result.status == 503 && result.body.find("no capacity") != std::string::npos;
         response.malformed = result.status == 400;
         if (result.status == 200 && !response.ok)
           spdlog::warn("cloud: response to a scale-out request is malformed");
         if (response.malformed) spdlog::error("cloud: scale-out request rejected as malformed");
         done(std::move(response));
       });
}

void CloudClient::ScaleIn(const std::vector<std::string>& machines,
                          std::function<void(bool)> done) {
  Send({"POST", "/machines/return", EncodeScaleIn(machines), kRequestTimeoutSeconds}, 0,
       [done = std::move(done)](const HttpResult& result) { done(result.status == 200); });
}

void CloudClient::ListInstances(const std::string& after,
                                std::function<void(bool, std::vector<CloudInstance>, bool)> done) {
  Send({"GET", InstanceListPath(after, kInstancesPerPage), "", kRequestTimeoutSeconds}, 1,
       [done = std::move(done)](const HttpResult& result) {
         std::optional<InstancePage> page;
         if (result.status == 200) page = DecodeInstanceList(result.body);
         if (result.status == 200 && !page) spdlog::warn("cloud: instance list is malformed");
         const bool ok = page.has_value();
         InstancePage listed = std::move(page).value_or(InstancePage());
         done(ok, std::move(listed.instances), listed.truncated);
       });
}

}  // namespace deckhall
