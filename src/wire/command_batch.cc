#include "wire/command_batch.h"

#include <algorithm>

#include "wire/message_limits.h"
#include "wire/worker_codec.h"

namespace deckhall {
namespace {

// Stops have a time limit, and acknowledgements make room for launches.
int PriorityOf(const Command& command) {
  switch (command.operation) {
    case CommandOp::kStop:
      return 0;
    case CommandOp::kAcknowledgeExit:
      return 1;
    case CommandOp::kStart:
      return 2;
  }
  return 2;
}

}  // namespace

CommandBatch CommandBatch::Of(const std::vector<Command>& commands) {
  CommandBatch in_given_order;
  if (in_given_order.AddAll(commands)) return in_given_order;
  std::vector<Command> by_priority = commands;
  std::stable_sort(by_priority.begin(), by_priority.end(),
                   [](const Command& first, const Command& second) {
                     return PriorityOf(first) < PriorityOf(second);
                   });
  CommandBatch as_many_as_fit;
  as_many_as_fit.AddAll(by_priority);
  return as_many_as_fit;
}

bool CommandBatch::AddAll(const std::vector<Command>& commands) {
  return std::all_of(commands.begin(), commands.end(),
                     [this](const Command& command) { return Add(command); });
}

bool CommandBatch::Add(const Command& command) {
  const size_t separator_bytes = commands_.empty() ? 0 : 1;
  const size_t encoded_bytes = encoded_bytes_ + separator_bytes + EncodedBytes(command);
  if (kMaxCommandEnvelopeBytes + encoded_bytes > kMaxMessageBytes) return false;
  encoded_bytes_ = encoded_bytes;
  commands_.push_back(command);
  return true;
}

}  // namespace deckhall
