// What the core asks of workers directly.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "wire/types.h"

namespace deckhall {

struct WorkerResponse {
  int status = 0;     // 0: no usable answer
  bool sent = false;  // false: nothing can have reached the worker
  bool has_heartbeat = false;
  Heartbeat heartbeat;
};

class WorkerClient {
 public:
  using Done = std::function<void(WorkerResponse)>;
  virtual ~WorkerClient() = default;
  virtual void SendCommands(const std::string& endpoint, uint64_t token, uint64_t session,
                            const std::vector<Command>& commands, double timeout_s, Done done) = 0;
  virtual void Probe(const std::string& endpoint, double timeout_s, Done done) = 0;
};

}  // namespace deckhall
