#include "cloud/cloud_client.h"

#include <spdlog/spdlog.h>

#include "wire/cloud_codec.h"

namespace deckhall {
namespace {

constexpr double kTimeout = 5.0;
constexpr size_t kMaxResponseBytes = 2 << 20;

}  // namespace

CloudClient::CloudClient(Loop* loop, const Clock* clock, Endpoint at, double rps)
    : clock_(clock),
      endpoint_(std::move(at)),
      budget_(rps * 0.8, rps * 1.5),
      http_(loop, 16, kMaxResponseBytes),
      refusal_timer_(loop, [this] {
        for (auto& done : std::exchange(refused_calls_, {})) done(HttpResult());
      }) {}

void CloudClient::Send(const HttpCall& call, double reserve, HttpClient::Done done) {
  if (!budget_.Take(clock_->Now(), 1, reserve)) {
    refused_calls_.push_back(std::move(done));
    if (!refusal_timer_.active()) refusal_timer_.Start(0.05);
    return;
  }
  http_.Call(endpoint_, call, [this, done = std::move(done)](HttpResult result) {
    if (result.status == 429) budget_.Drain();
    done(std::move(result));
  });
}

void CloudClient::ListTypes(std::function<void(bool, std::vector<MachineType>)> done) {
  Send({"GET", "/flavors", "", kTimeout}, 1, [done = std::move(done)](const HttpResult& result) {
    std::vector<MachineType> types;
    const bool ok = result.status == 200 && DecodeTypes(result.body, &types);
    if (result.status == 200 && !ok) spdlog::warn("cloud: unusable machine types");
    done(ok, std::move(types));
  });
}

void CloudClient::ScaleOut(const std::string& request, const std::string& type,
                           const std::string& zone, bool spot, int count,
                           std::function<void(ScaleOutResponse)> done) {
  Send({"POST", "/machines", EncodeScaleOut(request, type, zone, spot, count), kTimeout}, 0,
       [done = std::move(done)](const HttpResult& result) {
         ScaleOutResponse response;
         response.ok =
             result.status == 200 && DecodeScaleOutResponse(result.body, &response.machines);
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
  Send({"POST", "/machines/return", EncodeScaleIn(machines), kTimeout}, 0,
       [done = std::move(done)](const HttpResult& result) { done(result.status == 200); });
}

void CloudClient::ListInstances(const std::string& after,
                                std::function<void(bool, std::vector<CloudInstance>, bool)> done) {
  Send({"GET", InstanceListPath(after, 500), "", kTimeout}, 1,
       [done = std::move(done)](const HttpResult& result) {
         std::vector<CloudInstance> rows;
         bool truncated = false;
         const bool ok = result.status == 200 && DecodeInstanceList(result.body, &rows, &truncated);
         if (result.status == 200 && !ok) spdlog::warn("cloud: unusable machine list");
         done(ok, std::move(rows), truncated);
       });
}

}  // namespace deckhall
