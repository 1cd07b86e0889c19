// Reports of workers and commands to them.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "wire/types.h"

namespace deckhall {

bool DecodeHeartbeat(std::string_view body, Heartbeat* heartbeat);
std::string EncodeHeartbeatResponse(const HeartbeatResponse& response);
// What a worker sends, and how it reads what it is told. `session` of an answer to a report is 0.
std::string EncodeHeartbeat(const Heartbeat& heartbeat);
struct WorkerCommands {
  uint64_t fencing_token = 0;
  uint64_t agent_epoch = 0;
  std::vector<Command> commands;
};
bool DecodeCommands(std::string_view body, WorkerCommands* orders);
std::string EncodeCommands(uint64_t token, uint64_t session, const std::vector<Command>& commands);

}  // namespace deckhall
