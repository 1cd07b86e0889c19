// Direct commands to workers over HTTP.
#pragma once

#include "fleet/worker_port.h"
#include "net/http_client.h"

namespace deckhall {

class WorkerClient : public WorkerPort {
 public:
  WorkerClient(Loop* loop, size_t connections) : http_(loop, connections, 1 << 20) {}
  void Do(const std::string& endpoint, uint64_t token, uint64_t session,
          const std::vector<Command>& commands, double timeout_s, Done done) override;
  void Inspect(const std::string& endpoint, double timeout_s, Done done) override;
  void Trim() { http_.Trim(30); }

 private:
  void Ask(const std::string& endpoint, const HttpCall& call, Done done);
  HttpClient http_;
};

}  // namespace deckhall
