// When the lease of an agent has certainly expired.
//
// An agent whose last answered heartbeat was sent more than `lease_s` ago kills all its tasks
// (PROTOCOL, "Leases"). Its tasks may be placed elsewhere only after that, so every clock error
// counts against expiry here.
#pragma once

#include "fleet/fleet_options.h"
#include "model/machine.h"

namespace deckhall {

struct LeaseCheckTimes {
  double now = 0;            // steady clock, seconds
  double wall = 0;           // time of day, seconds since the epoch
  double term_began_at = 0;  // steady clock, seconds
};

// Whether the agent of `machine` has killed everything that ran on it.
bool IsLeaseExpired(const Machine& machine, const FleetOptions& options,
                    const LeaseCheckTimes& times);

}  // namespace deckhall
