#include "cloud/cloud_client.h"

#include <spdlog/spdlog.h>

#include <optional>
#include <utility>

#include "wire/cloud_codec.h"

namespace deckhall {
namespace {

constexpr double kTimeoutSeconds = 5.0;
constexpr size_t kMaxResponseBytes = 2 << 20;
constexpr size_t kMaxConnections = 16;
constexpr int kInstancesPerPage = 500;  // the most that the cloud lists at once
constexpr double kRefusalDelaySeconds = 0.05;
// The part of the limit that is used.
constexpr double kRateShare = 0.8;
constexpr double kBurstSeconds = 1.5;

}  // namespace

CloudClient::CloudClient(Loop* loop, const Clock* clock, Endpoint at, double rps)
    : clock_(clock),
      endpoint_(std::move(at)),
      budget_(rps * kRateShare, rps * kBurstSeconds),
      http_(loop, kMaxConnections, kMaxResponseBytes),
      refusal_timer_(loop, [this] {
        for (auto& done : std::exchange(refused_calls_, {})) done(HttpResult());
      }) {}

void CloudClient::Send(const HttpCall& call, double reserve, HttpClient::Done done) {
  if (!budget_.Take(clock_->Now(), 1, reserve)) {
    refused_calls_.push_back(std::move(done));
    if (!refusal_timer_.active()) refusal_timer_.Start(kRefusalDelaySeconds);
    return;
  }
  http_.Call(endpoint_, call, [this, done = std::move(done)](HttpResult result) {
    if (result.status == 429) budget_.Drain();
    done(std::move(result));
  });
}

void CloudClient::ListTypes(std::function<void(bool, std::vector<MachineType>)> done) {
  Send({"GET", "/flavors", "", kTimeoutSeconds}, 1,
       [done = std::move(done)](const HttpResult& result) {
         std::optional<std::vector<MachineType>> types;
         if (result.status == 200) types = DecodeTypes(result.body);
         if (result.status == 200 && !types) spdlog::warn("cloud: unusable machine types");
         const bool ok = types.has_value();
         done(ok, std::move(types).value_or(std::vector<MachineType>()));
       });
}

void CloudClient::ScaleOut(const std::string& request, const std::string& type,
                           const std::string& zone, bool spot, int count,
                           std::function<void(ScaleOutResponse)> done) {
  Send({"POST", "/machines", EncodeScaleOut(request, type, zone, spot, count), kTimeoutSeconds}, 0,
       [done = std::move(done)](const HttpResult& result) {
         ScaleOutResponse response;
         std::optional<std::vector<std::string>> machines;
         if (result.status == 200) machines = DecodeScaleOutResponse(result.body);
         response.ok = machines.has_value();
         if (machines) response.machines = std::move(*machines);
         response.out_of_capacity =
             result.status == 503 && result.body.find("no capacity") != std::string::npos;
         response.malformed = result.status == 400;
         if (result.status == 200 && !response.ok)
           spdlog::warn("cloud: unusable answer to a rental");
         if (response.malformed) spdlog::error("cloud: rental refused as malformed");
         done(std::move(response));
       });
}

void CloudClient::ScaleIn(const std::vector<std::string>& machines,
                          std::function<void(bool)> done) {
  Send({"POST", "/machines/return", EncodeScaleIn(machines), kTimeoutSeconds}, 0,
       [done = std::move(done)](const HttpResult& result) { done(result.status == 200); });
}

void CloudClient::ListInstances(const std::string& after,
                                std::function<void(bool, std::vector<CloudInstance>, bool)> done) {
  Send({"GET", InstanceListPath(after, kInstancesPerPage), "", kTimeoutSeconds}, 1,
       [done = std::move(done)](const HttpResult& result) {
         std::optional<InstancePage> page;
         if (result.status == 200) page = DecodeInstanceList(result.body);
         if (result.status == 200 && !page) spdlog::warn("cloud: unusable machine list");
         const bool ok = page.has_value();
         InstancePage listed = std::move(page).value_or(InstancePage());
         done(ok, std::move(listed.instances), listed.truncated);
       });
}

}  // namespace deckhall
