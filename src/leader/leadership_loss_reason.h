// Reasons for which a controller stops leading; for the log.
#pragma once

namespace deckhall {

enum class LeadershipLossReason {
  kLeaseExpired,        // the state service no longer knows the lease
  kHigherTermFromPeer,  // a peer announced a higher term
  kFencedByHigherTerm,  // a write or a worker's fencing token showed the leader a higher term
  kWorkersUnreachable,  // resigned, as most workers are unreachable from this node
};

// The text for the log.
constexpr const char* LeadershipLossReasonText(LeadershipLossReason reason) {
  switch (reason) {
    case LeadershipLossReason::kLeaseExpired:
      return "lease expired";
    case LeadershipLossReason::kHigherTermFromPeer:
      return "a peer announced a higher term";
    case LeadershipLossReason::kFencedByHigherTerm:
      return "fenced by a higher term";
    case LeadershipLossReason::kWorkersUnreachable:
      return "most workers are unreachable";
  }
  return "unknown";
}

}  // namespace deckhall
