#include "fleet/http_worker_client.h"

#include <spdlog/spdlog.h>

#include "wire/worker_codec.h"

namespace deckhall {

void HttpWorkerClient::Send(const std::string& endpoint, const HttpCall& call, Done done) {
  Endpoint to;
  if (!ParseEndpoint(endpoint, &to)) {
    spdlog::warn("worker address {} is not usable", endpoint);
    to = Endpoint{"0.0.0.0", 1};
  }
  http_.Call(to, call, [endpoint, done = std::move(done)](const HttpResult& r) {
    WorkerResponse answer;
    answer.sent = r.sent;
    if (r.status == 200 || r.status == 409) {
      answer.has_heartbeat = DecodeHeartbeat(r.body, &answer.heartbeat);
      if (!answer.has_heartbeat) spdlog::warn("worker at {} answers no report", endpoint);
    }
    if (answer.has_heartbeat) answer.status = r.status;
    done(std::move(answer));
  });
}

void HttpWorkerClient::SendCommands(const std::string& endpoint, uint64_t token, uint64_t session,
                                    const std::vector<Command>& commands, double timeout_s,
                                    Done done) {
  Send(endpoint, {"POST", "/do", EncodeCommands(token, session, commands), timeout_s},
       std::move(done));
}

void HttpWorkerClient::Probe(const std::string& endpoint, double timeout_s, Done done) {
  Send(endpoint, {"GET", "/inspect", "", timeout_s}, std::move(done));
}

}  // namespace deckhall
