// Why a voluntary disruption does not happen now, for operators and for tests.
#pragma once

#include <cstdint>
#include <string>

namespace deckhall {

enum class BlockedReason : uint8_t {
  kNotBlocked,
  kPaused,           // the drain is paused
  kPolicyNotRead,    // the state service has not told this leader the policy in force
  kTakingOver,       // it is not known yet what runs where
  kBudget,           // as much is down as the budget allows
  kStopBudget,       // as many tasks of arrays were stopped as the budget allows
  kLastReplica,      // no other replica of the job is up
  kReplacementLate,  // an earlier replacement of the job does not become healthy
  kNoPlace,          // no machine has room for the replacement
  kNoImage,          // room is only where the image would have to be fetched
  kZoneRule,         // one_zone or apart leave no zone
  kReplicaStarting,  // a replica there does not run yet
  kUnknownType,      // the cloud offers no such machine type
  kMachineSilent,    // the machine does not answer
  kArraysRunning,    // tasks of arrays end by themselves
  kStepsAtOnce,      // as many steps are in flight as there may be
  kStateService,     // a step is not durable yet
  kReturning,        // the empty machine is to be returned
  kStopping,         // tasks there were told to stop
  kReplacing,        // steps are in flight
};

// A reason with what it is about: a team, a job, or a machine.
struct BlockedState {
  BlockedReason reason = BlockedReason::kNotBlocked;
  std::string subject;

  explicit operator bool() const { return reason != BlockedReason::kNotBlocked; }
  bool operator==(const BlockedState&) const = default;
};

// The reason in words.
std::string Describe(const BlockedState& wait);

}  // namespace deckhall
