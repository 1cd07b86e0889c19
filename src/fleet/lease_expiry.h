// Determines whether the lease of an agent has certainly expired.
//
// An agent kills all its tasks when `lease_s` have passed since it sent the last heartbeat that got
// a response (PROTOCOL, "Leases"). Only then may its tasks be placed elsewhere, so every possible
// clock error delays expiry here.
#pragma once

#include "fleet/fleet_options.h"
#include "model/machine.h"

namespace deckhall {

struct LeaseCheckTimes {
  double now = 0;            // steady clock, seconds
  double wall = 0;           // time of day, seconds since the epoch
  double term_began_at = 0;  // steady clock, seconds
};

// Whether the agent of `machine` is guaranteed to have killed all tasks that ran on it.
bool IsLeaseExpired(const Machine& machine, const FleetOptions& options,
                    const LeaseCheckTimes& times);

}  // namespace deckhall
