#include "drain/blocked_reason.h"

namespace deckhall {

std::string Describe(const BlockedState& wait) {
  const std::string& what = wait.subject;
  switch (wait.reason) {
    case BlockedReason::kNotBlocked:
      return "";
    case BlockedReason::kPaused:
      return "paused";
    case BlockedReason::kPolicyNotRead:
      return "the policy in force was not read from the state service yet";
    case BlockedReason::kTakingOver:
      return "a new leader does not know yet where " + what + " runs";
    case BlockedReason::kBudget:
      return "the budget allows no more down: " + what;
    case BlockedReason::kStopBudget:
      return "the budget allows no more stopped tasks: " + what;
    case BlockedReason::kLastReplica:
      return "no other replica of " + what + " is up";
    case BlockedReason::kReplacementLate:
      return "a replacement of " + what + " does not become healthy";
    case BlockedReason::kNoPlace:
      return "no machine has room for a replacement of " + what;
    case BlockedReason::kNoImage:
      return "room for a replacement of " + what + " is only where its image is missing";
    case BlockedReason::kZoneRule:
      return "one_zone or apart leave no zone for a replacement of " + what;
    case BlockedReason::kReplicaStarting:
      return what + " is not up yet";
    case BlockedReason::kUnknownType:
      return "the cloud offers no machine type " + what;
    case BlockedReason::kMachineSilent:
      return "machine " + what + " does not answer";
    case BlockedReason::kArraysRunning:
      return "tasks of arrays run to their end: " + what;
    case BlockedReason::kStepsAtOnce:
      return "as many steps are in flight as there may be";
    case BlockedReason::kStateService:
      return "a step is not written to the state service yet";
    case BlockedReason::kReturning:
      return "empty machines are to be returned to the cloud";
    case BlockedReason::kStopping:
      return "tasks are being stopped on " + what;
    case BlockedReason::kReplacing:
      return "replacements are being started: " + what;
  }
  return "";
}

}  // namespace deckhall
