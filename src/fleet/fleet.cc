#include "fleet/fleet.h"

#include <spdlog/spdlog.h>

#include <optional>

#include "fleet/lease_expiry.h"

namespace deckhall {

Fleet::Fleet(JobStore* job_store, const Clock* clock, uint64_t term, FleetOptions options)
    : clock_(clock),
      term_(term),
      options_(options),
      machines_(clock, term, this),
      attempts_(job_store, &machines_, clock, term, this),
      exits_(job_store, &machines_, &attempts_, clock, this),
      reconciler_(job_store, &machines_, &attempts_, &exits_, clock, term),
      heartbeats_(&machines_, &attempts_, &reconciler_, clock, term),
      commands_(job_store, &machines_, &attempts_, clock) {}

void Fleet::RemoveMachine(MachineIndex machine_index, const char* reason) {
  Machine& machine = machines_[machine_index];
  if (machine.removed) return;
  attempts_.RequeueAndEraseAll(machine_index, reason);
  machines_.MarkReconciled(machine_index);
  machines_.Remove(machine_index);
  spdlog::info("machine={}: removed: {}", machine.name, reason);
}

bool Fleet::IsLeaseExpired(const Machine& machine, double now, double term_began_at) const {
  // Reads the time of day only when needed, since this runs several times a second for each
  // machine.
  const double wall = machine.unrenewed_since_wall < 0 ? 0 : clock_->Wall();
  return deckhall::IsLeaseExpired(machine, options_, {now, wall, term_began_at});
}

}  // namespace deckhall
