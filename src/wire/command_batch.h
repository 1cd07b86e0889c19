// The commands of one message to a worker, in the order in which the worker executes them.
//
// Invariant: the message is never longer than kMaxMessageBytes, whether the commands are sent
// directly or in the response to a heartbeat. Commands that find no room have to be sent with a
// later message.
#pragma once

#include <cstddef>
#include <vector>

#include "wire/command.h"

namespace deckhall {

class CommandBatch {
 public:
  CommandBatch() = default;
  // All of the commands in this order, if they fit. Otherwise as many as fit: stops first, then
  // acknowledgements of exits, then launches.
  static CommandBatch Of(const std::vector<Command>& commands);

  // Appends the command. Returns false, and changes nothing, if the message has no room for it.
  [[nodiscard]] bool Add(const Command& command);

  const std::vector<Command>& commands() const { return commands_; }
  bool empty() const { return commands_.empty(); }
  size_t size() const { return commands_.size(); }
  const Command& operator[](size_t position) const { return commands_[position]; }
  std::vector<Command>::const_iterator begin() const { return commands_.begin(); }
  std::vector<Command>::const_iterator end() const { return commands_.end(); }

 private:
  // Appends commands until one finds no room; returns whether all of them were appended.
  bool AddAll(const std::vector<Command>& commands);

  std::vector<Command> commands_;
  size_t encoded_bytes_ = 0;  // of the commands and separators, without the rest of the message
};

}  // namespace deckhall
