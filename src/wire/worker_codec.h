// Heartbeats of workers and commands to them (PROTOCOL, "Workers -> controller nodes" and
// "Controller nodes -> workers"), both ways: controllers use the one side, the workers of the
// tests the other.
//
// Functions keep no state and are safe to call from anywhere.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/types.h"

namespace deckhall {

// What a worker is told, by /do or in the response to its heartbeat.
struct WorkerCommands {
  uint64_t fencing_token = 0;
  uint64_t agent_epoch = 0;  // 0 in a response to a heartbeat, which has none
  std::vector<Command> commands;
};

// Empty when the body is malformed, or names a task state that isn't known.
std::optional<Heartbeat> DecodeHeartbeat(std::string_view body);
std::string EncodeHeartbeat(const Heartbeat& heartbeat);

// The body of the response to a heartbeat.
std::string EncodeHeartbeatResponse(const HeartbeatResponse& response);
// The body of a POST /do.
std::string EncodeCommands(uint64_t fencing_token, uint64_t agent_epoch,
                           const std::vector<Command>& commands);
// Empty when the body is malformed. Commands whose operation isn't known are left out.
std::optional<WorkerCommands> DecodeCommands(std::string_view body);

}  // namespace deckhall
