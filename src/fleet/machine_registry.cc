#include "fleet/machine_registry.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "fleet/fencing.h"

namespace deckhall {

MachineRegistry::MachineRegistry(const Clock* clock, uint64_t term, FleetEvents* events)
    : clock_(clock), term_(term), events_(events) {}

MachineIndex MachineRegistry::Find(const std::string& name) const {
  auto entry = index_by_name_.find(name);
  return entry == index_by_name_.end() ? kNoIndex : entry->second;
}

MachineIndex MachineRegistry::Add(const std::string& name) {
  const auto machine_index = static_cast<MachineIndex>(machines_.size());
  Machine& machine = machines_.emplace_back();
  machine.name = name;
  machine.fencing_token = machine.required_token = FirstTokenOf(term_);
  machine.discovered_at = clock_->Now();
  index_by_name_[name] = machine_index;
  active_.push_back(machine_index);
  return machine_index;
}

void MachineRegistry::Remove(MachineIndex machine_index) {
  Machine& machine = machines_[machine_index];
  machine.removed = true;
  machine.cached_images.clear();
  active_.erase(std::find(active_.begin(), active_.end(), machine_index));
  events_->placement_needed = true;
}

void MachineRegistry::MarkChanged(MachineIndex machine_index) {
  Machine& machine = machines_[machine_index];
  if (machine.queued_for_update) return;
  machine.queued_for_update = true;
  changed_.push_back(machine_index);
}

std::optional<MachineIndex> MachineRegistry::PopChanged() {
  if (changed_.empty()) return std::nullopt;
  const MachineIndex machine_index = changed_.front();
  changed_.pop_front();
  machines_[machine_index].queued_for_update = false;
  return machine_index;
}

void MachineRegistry::InvalidateMachine(MachineIndex machine_index) {
  machines_[machine_index].capacity_stale = true;
  events_->placement_needed = true;
  MarkChanged(machine_index);
}

void MachineRegistry::InvalidateAllCapacity() {
  for (MachineIndex machine_index : active_) machines_[machine_index].capacity_stale = true;
  events_->placement_needed = true;
}

void MachineRegistry::RaiseFencingToken(MachineIndex machine_index, const char* reason) {
  Machine& machine = machines_[machine_index];
  ++machine.fencing_token;
  ++tokens_raised_;
  spdlog::debug("machine={} token={}: fencing token raised: {}", machine.name,
                machine.fencing_token, reason);
}

void MachineRegistry::RaiseRequiredToken(MachineIndex machine_index, const char* reason) {
  RaiseFencingToken(machine_index, reason);
  machines_[machine_index].required_token = machines_[machine_index].fencing_token;
  InvalidateMachine(machine_index);
}

void MachineRegistry::MarkReconciled(MachineIndex machine_index) {
  Machine& machine = machines_[machine_index];
  if (machine.reconciled) return;
  machine.reconciled = true;
  InvalidateMachine(machine_index);
  if (machine.may_run_former_attempts) events_->on_machine_reconciled();
}

uint32_t MachineRegistry::CountUnreconciled() const {
  const auto is_unreconciled = [this](MachineIndex machine_index) {
    const Machine& machine = machines_[machine_index];
    return machine.may_run_former_attempts && !machine.reconciled;
  };
  return static_cast<uint32_t>(std::count_if(active_.begin(), active_.end(), is_unreconciled));
}

}  // namespace deckhall
