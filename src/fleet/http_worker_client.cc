#include "fleet/http_worker_client.h"

#include <spdlog/spdlog.h>

#include <optional>
#include <utility>

#include "wire/worker_codec.h"

namespace deckhall {
namespace {

constexpr int kHttpConflict = 409;

bool IsRefusal(int status) { return status >= 400 && status < 500 && status != kHttpConflict; }

}  // namespace

void HttpWorkerClient::Send(const std::string& endpoint, const HttpCall& call, Done done) {
  Endpoint to;
  if (!ParseEndpoint(endpoint, &to)) {
    spdlog::warn("endpoint={}: invalid worker address", endpoint);
    to = Endpoint{"0.0.0.0", 1};
  }
  http_.Call(to, call, [endpoint, done = std::move(done)](const HttpResult& result) {
    WorkerResponse response;
    response.sent = result.sent;
    response.refused = IsRefusal(result.status);
    if (result.status == 200 || result.status == kHttpConflict) {
      std::optional<Heartbeat> heartbeat = DecodeHeartbeat(result.body);
      response.has_heartbeat = heartbeat.has_value();
      if (heartbeat) {
        response.heartbeat = std::move(*heartbeat);
      } else {
        spdlog::warn("endpoint={}: worker response contains no valid heartbeat", endpoint);
      }
    }
    if (response.has_heartbeat || response.refused) response.status = result.status;
    done(std::move(response));
  });
}

void HttpWorkerClient::SendCommands(const std::string& endpoint, uint64_t fencing_token,
                                    uint64_t agent_epoch, const CommandBatch& commands,
                                    double timeout_s, Done done) {
  Send(endpoint, {"POST", "/do", EncodeCommands(fencing_token, agent_epoch, commands), timeout_s},
       std::move(done));
}

void HttpWorkerClient::Probe(const std::string& endpoint, double timeout_s, Done done) {
  Send(endpoint, {"GET", "/inspect", "", timeout_s}, std::move(done));
}

}  // namespace deckhall
