#include "leader/lease_expiry_bounds.h"

#include <algorithm>

namespace deckhall {
namespace {

// Value of Machine::unrenewed_since_wall if there is no bound.
constexpr double kNoBound = -1;

}  // namespace

LeaseExpiryBounds::LeaseExpiryBounds(const RecordStore* record_store, Fleet* fleet,
                                     Provisioner* provisioner, const Clock* clock)
    : record_store_(record_store), fleet_(fleet), provisioner_(provisioner), clock_(clock) {}

void LeaseExpiryBounds::RecordBound(MachineIndex machine_index) {
  Machine& machine = (*fleet_)[machine_index];
  if (!machine.reconciled || machine.record_id == kNoRecord || !fleet_->KnowsCurrentTerm(machine) ||
      machine.unrenewed_since_wall >= 0) {
    return;
  }
  const double unrenewed_seconds =
      clock_->Now() - std::max(machine.last_heard_at, machine.lease_renewed_at);
  machine.unrenewed_since_wall = clock_->Wall() - unrenewed_seconds;
  provisioner_->SaveMachine(machine_index, WritePriority::kBackground);
}

void LeaseExpiryBounds::WithdrawBounds(uint32_t zone) {
  for (MachineIndex machine_index : fleet_->active()) {
    Machine& machine = (*fleet_)[machine_index];
    if (machine.zone != zone || machine.unrenewed_since_wall < 0) continue;
    machine.unrenewed_since_wall = kNoBound;
    machine.withdrawing_expiry_bound = true;
    provisioner_->SaveMachine(machine_index, WritePriority::kImmediate);
  }
}

bool LeaseExpiryBounds::HasNoBound(MachineIndex machine_index) {
  Machine& machine = (*fleet_)[machine_index];
  if (machine.withdrawing_expiry_bound && record_store_->IsDurable(machine.record_id)) {
    machine.withdrawing_expiry_bound = false;
  }
  return machine.unrenewed_since_wall < 0 && !machine.withdrawing_expiry_bound;
}

}  // namespace deckhall
