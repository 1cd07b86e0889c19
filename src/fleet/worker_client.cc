#include "fleet/worker_client.h"

#include <spdlog/spdlog.h>

#include "wire/worker_codec.h"

namespace deckhall {

void WorkerClient::Ask(const std::string& endpoint, const HttpCall& call, Done done) {
  Endpoint to;
  if (!ParseEndpoint(endpoint, &to)) {
    spdlog::warn("worker address {} is not usable", endpoint);
    to = Endpoint{"0.0.0.0", 1};
  }
  http_.Call(to, call, [endpoint, done = std::move(done)](const HttpResult& r) {
    WorkerAnswer answer;
    answer.sent = r.sent;
    if (r.status == 200 || r.status == 409) {
      answer.has_report = DecodeHeartbeat(r.body, &answer.report);
      if (!answer.has_report) spdlog::warn("worker at {} answers no report", endpoint);
    }
    if (answer.has_report) answer.status = r.status;
    done(std::move(answer));
  });
}

void WorkerClient::Do(const std::string& endpoint, uint64_t token, uint64_t session,
                      const std::vector<Command>& commands, double timeout_s, Done done) {
  Ask(endpoint, {"POST", "/do", EncodeCommands(token, session, commands), timeout_s},
      std::move(done));
}

void WorkerClient::Inspect(const std::string& endpoint, double timeout_s, Done done) {
  Ask(endpoint, {"GET", "/inspect", "", timeout_s}, std::move(done));
}

}  // namespace deckhall
