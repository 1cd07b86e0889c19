#include "drain/blocked_reason.h"

namespace deckhall {

std::string Describe(const BlockedState& blocked) {
  const std::string& subject = blocked.subject;
  switch (blocked.reason) {
    case BlockedReason::kNotBlocked:
      return "";
    case BlockedReason::kPaused:
      return "paused";
    case BlockedReason::kPolicyUnconfirmed:
      return "the policy in force was not read from the state service yet";
    case BlockedReason::kFailover:
      return "a new leader does not know yet where " + subject + " runs";
    case BlockedReason::kBudget:
      return "the budget allows no more down: " + subject;
    case BlockedReason::kArrayStopBudget:
      return "the budget allows no more stopped tasks: " + subject;
    case BlockedReason::kLastReplica:
      return "no other replica of " + subject + " is up";
    case BlockedReason::kReplacementUnhealthy:
      return "a replacement of " + subject + " does not become healthy";
    case BlockedReason::kInsufficientCapacity:
      return "no machine has room for a replacement of " + subject;
    case BlockedReason::kImageNotCached:
      return "room for a replacement of " + subject + " is only where its image is missing";
    case BlockedReason::kZoneConstraint:
      return "one_zone or apart leave no zone for a replacement of " + subject;
    case BlockedReason::kReplicaNotAvailable:
      return subject + " is not up yet";
    case BlockedReason::kUnknownType:
      return "the cloud offers no machine type " + subject;
    case BlockedReason::kMachineUnreachable:
      return "machine " + subject + " does not answer";
    case BlockedReason::kArraysRunning:
      return "tasks of arrays run to their end: " + subject;
    case BlockedReason::kEvictionLimit:
      return "as many steps are in flight as there may be";
    case BlockedReason::kEvictionNotDurable:
      return "a step is not written to the state service yet";
    case BlockedReason::kScalingIn:
      return "empty machines are to be returned to the cloud";
    case BlockedReason::kStopping:
      return "tasks are being stopped on " + subject;
    case BlockedReason::kReplacing:
      return "replacements are being started: " + subject;
  }
  return "";
}

}  // namespace deckhall
