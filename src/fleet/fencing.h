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

// Whether the agent has reported the token that launches require. This proves that commands or
// responses reach it.
inline bool HasAcknowledgedToken(const Machine& machine) {
  return machine.acknowledged_token >= machine.required_token;
}

// Whether an agent that has seen `token` may still execute a launch of the attempt. A launch that
// was sent may arrive at any later time, and more than once, so only a higher token rules it out.
inline bool MayLaunchUnder(uint64_t token, const TaskAttempt& attempt) {
  return attempt.launch_fencing_token != 0 && attempt.launch_fencing_token >= token;
}

}  // namespace deckhall
