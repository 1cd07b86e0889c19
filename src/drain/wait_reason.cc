#include "drain/wait_reason.h"

namespace deckhall {

std::string Words(const Wait& wait) {
  const std::string& what = wait.subject;
  switch (wait.reason) {
    case WaitReason::kNothing:
      return "";
    case WaitReason::kPaused:
      return "paused";
    case WaitReason::kPolicyNotRead:
      return "the policy in force was not read from the state service yet";
    case WaitReason::kTakingOver:
      return "a new leader does not know yet where " + what + " runs";
    case WaitReason::kBudget:
      return "the budget allows no more down: " + what;
    case WaitReason::kStopBudget:
      return "the budget allows no more stopped tasks: " + what;
    case WaitReason::kLastReplica:
      return "no other replica of " + what + " is up";
    case WaitReason::kReplacementLate:
      return "a replacement of " + what + " does not become healthy";
    case WaitReason::kNoPlace:
      return "no machine has room for a replacement of " + what;
    case WaitReason::kNoImage:
      return "room for a replacement of " + what + " is only where its image is missing";
    case WaitReason::kZoneRule:
      return "one_zone or apart leave no zone for a replacement of " + what;
    case WaitReason::kReplicaStarting:
      return what + " is not up yet";
    case WaitReason::kUnknownType:
      return "the cloud offers no machine type " + what;
    case WaitReason::kMachineSilent:
      return "machine " + what + " does not answer";
    case WaitReason::kArraysRunning:
      return "tasks of arrays run to their end: " + what;
    case WaitReason::kStepsAtOnce:
      return "as many steps are in flight as there may be";
    case WaitReason::kStateService:
      return "a step is not written to the state service yet";
    case WaitReason::kReturning:
      return "empty machines are to be returned to the cloud";
    case WaitReason::kStopping:
      return "tasks are being stopped on " + what;
    case WaitReason::kReplacing:
      return "replacements are being started: " + what;
  }
  return "";
}

}  // namespace deckhall
