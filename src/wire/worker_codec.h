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

// Longest task name on the wire: job id, slash, index.
constexpr size_t kMaxTaskNameBytes = 100;

// Bytes of a message with commands, apart from the commands: with the longest numbers and the
// fields of a direct message, which has more of them than a response.
extern const size_t kMaxCommandEnvelopeBytes;
// Length of the command in a message.
size_t EncodedBytes(const Command& command);

// Most bytes that a worker may need in its heartbeat for a task with a name of this length, with
// the separator: the row of an exited attempt with the longest exit reason and numbers, and with
// spaces after the separators of its JSON.
size_t MaxTaskStatusBytes(size_t task_name_bytes);
// Bytes of a heartbeat that are left for its tasks, as far as names of machine types and zones,
// which the operators choose, don't have hundreds of bytes.
extern const size_t kHeartbeatTaskBytes;

// Body of the response to a heartbeat.
std::string EncodeHeartbeatResponse(const HeartbeatResponse& response);
// Body of a POST /do request.
std::string EncodeCommands(uint64_t fencing_token, uint64_t agent_epoch,
                           const CommandBatch& commands);
// Returns nothing if the body is malformed. Skips commands with an unknown operation.
std::optional<WorkerCommands> DecodeCommands(std::string_view body);

}  // namespace deckhall
