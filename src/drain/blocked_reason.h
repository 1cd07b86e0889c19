// Why a voluntary disruption is blocked now, for operators and tests.
#pragma once

#include <cstdint>
#include <string>

namespace deckhall {

enum class BlockedReason : uint8_t {
  kNotBlocked,
  kPaused,                // the drain is paused
  kPolicyUnconfirmed,     // the state service has not confirmed the policy in force to this leader
  kFailover,              // after a failover, tasks are unreconciled or earlier stops unknown
  kBudget,                // the limit of unavailable replicas is reached
  kArrayStopBudget,       // the limit of stopped array tasks is reached
  kLastReplica,           // no other replica of the job is available
  kReplacementUnhealthy,  // an earlier replacement of the job did not become available
  kInsufficientCapacity,  // no machine has free capacity for the replacement
  kImageNotCached,        // machines with free capacity would have to fetch the image
  kZoneConstraint,        // one_zone or apart leave no zone
  kReplicaNotAvailable,   // the replica on the machine is not available yet
  kUnknownType,           // the cloud does not offer the machine type
  kMachineUnreachable,    // the machine does not respond
  kArraysRunning,         // array tasks run to their end until the deadline
  kEvictionLimit,         // EvictionLimits::max_evictions are in flight
  kEvictionNotDurable,    // the record of an eviction is not durable yet
  kScalingIn,             // the empty machine waits for its scale-in
  kStopping,              // tasks on the machine are being stopped
  kReplacing,             // evictions are in flight
};

// A reason with its subject: a team, a job, a task, a machine, a machine type or a count.
struct BlockedState {
  BlockedReason reason = BlockedReason::kNotBlocked;
  std::string subject;

  explicit operator bool() const { return reason != BlockedReason::kNotBlocked; }
  bool operator==(const BlockedState&) const = default;
};

// Returns the reason as text for operators; empty if not blocked.
std::string Describe(const BlockedState& blocked);

}  // namespace deckhall
