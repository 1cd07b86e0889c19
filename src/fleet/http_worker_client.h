// Sends direct commands and probes to workers over HTTP.
#pragma once

#include "fleet/worker_client.h"
#include "net/http_client.h"

namespace deckhall {

class HttpWorkerClient : public WorkerClient {
 public:
  HttpWorkerClient(Loop* loop, size_t connections) : http_(loop, connections, 1 << 20) {}
  void SendCommands(const std::string& endpoint, uint64_t fencing_token, uint64_t agent_epoch,
                    const CommandBatch& commands, double timeout_s, Done done) override;
  void Probe(const std::string& endpoint, double timeout_s, Done done) override;
  // Closes connections that have been idle for 30 s.
  void Trim() { http_.CloseIdleConnections(30); }

 private:
  void Send(const std::string& endpoint, const HttpCall& call, Done done);
  HttpClient http_;
};

}  // namespace deckhall
