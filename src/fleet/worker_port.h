// What the core asks of workers directly.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "wire/types.h"

namespace deckhall {

struct WorkerAnswer {
  int status = 0;     // 0: no usable answer
  bool sent = false;  // false: nothing can have reached the worker
  bool has_report = false;
  Heartbeat report;
};

class WorkerPort {
 public:
  using Done = std::function<void(WorkerAnswer)>;
  virtual ~WorkerPort() = default;
  virtual void Do(const std::string& endpoint, uint64_t token, uint64_t session,
                  const std::vector<Command>& commands, double timeout_s, Done done) = 0;
  virtual void Inspect(const std::string& endpoint, double timeout_s, Done done) = 0;
};

}  // namespace deckhall
