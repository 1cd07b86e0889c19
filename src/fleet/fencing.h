// Fencing tokens, and the order of an agent's messages (PROTOCOL, "Tokens" and "Delayed messages").
//
// An agent executes a command only if its token is not lower than the highest one it has seen.
// Tokens and attempt numbers contain the term of their leader in their high bits, so that those of
// a later term are always higher.
#pragma once

#include <cstdint>

#include "model/machine.h"

namespace deckhall {

// Number of bits below the term in a token or attempt number.
constexpr int kTermShiftBits = 24;

// The term in a fencing token or attempt number.
inline uint64_t TermOf(uint64_t token) { return token >> kTermShiftBits; }

// The lowest fencing token of a term.
inline uint64_t FirstTokenOf(uint64_t term) { return term << kTermShiftBits; }

// Orders the heartbeats and responses of one agent.
struct HeartbeatVersion {
  uint64_t agent_epoch = 0;
  uint64_t sequence = 0;

  bool IsNewerThan(const HeartbeatVersion& other) const {
    if (agent_epoch != other.agent_epoch) return agent_epoch > other.agent_epoch;
    return sequence > other.sequence;
  }
};

// Whether the agent has reported the token that its next commands would carry. This proves that it
// receives commands or responses, and that it rejects commands sent with a lower token.
inline bool HasAcknowledgedToken(const Machine& machine) {
  return machine.acknowledged_token >= machine.fencing_token;
}

// Whether a launch of the attempt may be in transit that the agent would still execute after
// commands with the machine's current token. Must not be called while a direct command is in
// flight.
//
// A direct command is no longer in transit once the agent has responded to it, and the token is
// raised if there is no response. An agent sends its next heartbeat only after it has received or
// given up the response to the last one, so the next heartbeat shows that a response is no longer
// in transit. The response to a later direct command does not show that.
inline bool MayLaunchBeInTransit(const Machine& machine, const TaskAttempt& attempt) {
  const bool has_current_token = attempt.launch_fencing_token == machine.fencing_token;
  const bool in_response = attempt.launch_heartbeat_sequence != 0 &&
                           attempt.launch_heartbeat_sequence == machine.heartbeat_sequence;
  return has_current_token && in_response;
}

}  // namespace deckhall
