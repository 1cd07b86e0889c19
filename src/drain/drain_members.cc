#include "drain/drain_members.h"

#include <algorithm>

namespace deckhall {

void DrainMembers::ApplyPolicy(std::shared_ptr<const DisruptionPolicy> policy,
                               std::vector<double> since_wall) {
  policy_ = std::move(policy);
  since_wall_ = std::move(since_wall);
  UpdatePools();
  members_.assign(policy_ == nullptr ? 0 : policy_->drains.size(), Roaring());
  unidentified_ = Roaring();
  next_unexamined_ = 0;
  selects_by_network_ =
      policy_ != nullptr &&
      std::any_of(policy_->drains.begin(), policy_->drains.end(),
                  [](const DrainRequest& drain) { return drain.machines.network.has_value(); });
  for (MachineIndex machine_index : fleet_->active()) {
    Machine& machine = (*fleet_)[machine_index];
    machine.cordoned = machine.scale_in_when_empty = false;
  }
  Sync();
  fleet_->placement_needed = true;
}

void DrainMembers::UpdatePools() {
  pool_count_ = provisioner_->pools().size();
  all_pools_drained_ =
      policy_ != nullptr && pool_count_ > 0 &&
      std::all_of(provisioner_->pools().begin(), provisioner_->pools().end(),
                  [this](const MachinePool& pool) {
                    return std::any_of(policy_->drains.begin(), policy_->drains.end(),
                                       [this, &pool](const DrainRequest& drain) {
                                         return drain.machines.CoversPool(
                                             job_store_->types[pool.type],
                                             job_store_->zones[pool.zone]);
                                       });
                  });
}

bool DrainMembers::CoversOnlyExistingMachines(const DrainRequest& drain) const {
  return drain.machines.everything || all_pools_drained_;
}

bool DrainMembers::IsIdentified(const Machine& machine) const {
  return machine.type != kNoIndex && machine.zone != kNoIndex &&
         (!selects_by_network_ || !machine.endpoint.empty());
}

bool DrainMembers::Add(MachineIndex machine_index) {
  Machine& machine = (*fleet_)[machine_index];
  if (machine.removed) return false;
  bool added = false;
  for (size_t d = 0; d < members_.size(); ++d) {
    const DrainRequest& drain = policy_->drains[d];
    if (!drain.machines.Matches(machine.name, job_store_->types[machine.type],
                                job_store_->zones[machine.zone], machine.endpoint)) {
      continue;
    }
    if (CoversOnlyExistingMachines(drain) && machine.provisioned_at_wall > since_wall_[d]) continue;
    members_[d].add(machine_index);
    machine.cordoned = true;
    // The drain alone empties the machine: its consolidation ends.
    if (machine.consolidating) machine.consolidating = machine.unschedulable = false;
    if (!drain.paused) machine.scale_in_when_empty = true;
    added = true;
  }
  return added;
}

bool DrainMembers::Sync() {
  if (policy_ == nullptr || policy_->drains.empty()) return false;
  // The pools changed, so which of them the drains cover is determined again.
  if (pool_count_ != provisioner_->pools().size()) ApplyPolicy(policy_, since_wall_);
  bool added = false;
  const Roaring unidentified = std::exchange(unidentified_, Roaring());
  auto examine = [this, &added](MachineIndex machine_index) {
    if (IsIdentified((*fleet_)[machine_index])) {
      added = Add(machine_index) || added;
    } else if (!(*fleet_)[machine_index].removed) {
      unidentified_.add(machine_index);
    }
  };
  for (MachineIndex machine_index : unidentified) examine(machine_index);
  for (; next_unexamined_ < fleet_->size(); ++next_unexamined_) examine(next_unexamined_);
  return added;
}

bool DrainMembers::PreventsScaleOut(const std::string& type, const std::string& zone) const {
  if (policy_ == nullptr || all_pools_drained_) return false;
  return std::any_of(
      policy_->drains.begin(), policy_->drains.end(),
      [&type, &zone](const DrainRequest& drain) { return drain.machines.CoversPool(type, zone); });
}

}  // namespace deckhall
