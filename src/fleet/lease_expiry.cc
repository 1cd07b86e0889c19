#include "fleet/lease_expiry.h"

#include <algorithm>

namespace deckhall {
namespace {

// Safety margin for delays within the agent.
constexpr double kExpiryMarginSeconds = 0.5;

}  // namespace

bool IsLeaseExpired(const Machine& machine, const FleetOptions& options,
                    const LeaseCheckTimes& times) {
  const double lease_s = options.lease_s * (1 + options.clock_drift) + kExpiryMarginSeconds;
  if (machine.reconciled)
    return times.now > std::max(machine.lease_renewed_at, machine.last_heard_at) + lease_s;

  // A former leader recorded the time since which it has not responded to heartbeats. Its clock and
  // the clock of this controller may each be wrong by up to the bound.
  if (machine.unrenewed_since_wall >= 0 &&
      times.wall > machine.unrenewed_since_wall + lease_s + 2 * options.wall_clock_bound_s) {
    return true;
  }

  // Otherwise the former leader may have responded to heartbeats until its own lease had expired.
  const double last_renewal_at =
      std::max(machine.lease_renewed_at,
               times.term_began_at + options.former_leader_grace_s * (1 + options.clock_drift));
  return times.now > last_renewal_at + lease_s;
}

}  // namespace deckhall
