// A command to a worker.
#pragma once

#include <cstdint>
#include <string>

namespace deckhall {

// kAcknowledgeExit lets the worker discard its record of an exited attempt.
enum class CommandOp : uint8_t { kStart = 0, kStop = 1, kAcknowledgeExit = 2 };

// Instruction to a worker about one task attempt.
struct Command {
  CommandOp operation = CommandOp::kStart;
  std::string task_name;
  uint64_t attempt = 0;
  double grace_period_s = 0;  // only with kStop: time to write a checkpoint
};

}  // namespace deckhall
