// JSON codec of worker heartbeats and commands (PROTOCOL, "Workers -> controller nodes" and
// "Controller nodes -> workers"). Both directions are implemented: controllers use one of them, the
// simulated workers of the tests the other.
//
// All functions are stateless and thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/types.h"

namespace deckhall {

// Commands sent to a worker, by POST /do or in the response to its heartbeat.
struct WorkerCommands {
  uint64_t fencing_token = 0;
  uint64_t agent_epoch = 0;  // 0 in a response to a heartbeat, which carries no epoch
  std::vector<Command> commands;
};

// Returns nothing if the body is malformed or has an unknown task state.
std::optional<Heartbeat> DecodeHeartbeat(std::string_view body);
std::string EncodeHeartbeat(const Heartbeat& heartbeat);

// Body of the response to a heartbeat.
std::string EncodeHeartbeatResponse(const HeartbeatResponse& response);
// Body of a POST /do request.
std::string EncodeCommands(uint64_t fencing_token, uint64_t agent_epoch,
                           const std::vector<Command>& commands);
// Returns nothing if the body is malformed. Skips commands with an unknown operation.
std::optional<WorkerCommands> DecodeCommands(std::string_view body);

}  // namespace deckhall
