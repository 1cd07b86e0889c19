// Zones that are cut off with all that runs there: how they are told from machines that
// are lost, and what a later leader must know of them.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "leader/leader.h"

namespace deckhall {
namespace {

// A zone in which so few machines were heard, of so many, within this part of the
// interval of reports, while its controllers are not heard either, is cut off. It is
// no more when more are heard again.
constexpr double kPartitionWindowShare = 0.6;
constexpr double kPartitionBeginsShare = 0.05;
constexpr double kPartitionEndsShare = 0.2;
constexpr size_t kMinZoneMachines = 6;
// Of fewer machines, or where no controller tells, all may happen to be between two
// reports: then all must be overdue.
constexpr size_t kMinZoneMachinesForWindow = 20;

}  // namespace

void Leader::RecordLeaseExpiryBound(MachineIndex machine_index) {
  // Should the next leader have to wait for its own beginning, our hold and a lease,
  // what runs behind the cut would be missing for that long.
  Machine& machine = fleet_[machine_index];
  if (!machine.reconciled || machine.record_id == kNoRecord || !fleet_.KnowsCurrentTerm(machine) ||
      machine.unrenewed_since_wall >= 0)
    return;
  const double silent =
      ports_.clock->Now() - std::max(machine.last_heard_at, machine.lease_renewed_at);
  machine.unrenewed_since_wall = ports_.clock->Wall() - silent;
  provisioner_.SaveMachine(machine_index, WritePriority::kBackground);
}

void Leader::WithdrawLeaseExpiryBounds(uint32_t zone) {
  for (MachineIndex machine_index : fleet_.active()) {
    Machine& machine = fleet_[machine_index];
    if (machine.zone != zone || machine.unrenewed_since_wall < 0) continue;
    machine.unrenewed_since_wall = -1;
    machine.withdrawing_expiry_bound = true;
    provisioner_.SaveMachine(machine_index, WritePriority::kImmediate);
  }
}

bool Leader::HasNoLeaseExpiryBound(MachineIndex machine_index) {
  Machine& machine = fleet_[machine_index];
  if (machine.withdrawing_expiry_bound && record_store_.IsDurable(machine.record_id))
    machine.withdrawing_expiry_bound = false;
  return machine.unrenewed_since_wall < 0 && !machine.withdrawing_expiry_bound;
}

bool Leader::IsZoneSuspected(const Machine& machine) const {
  return machine.zone != kNoIndex && ports_.is_zone_suspected &&
         ports_.is_zone_suspected(job_store_.zones[machine.zone]);
}

// A machine already known to be silent, or behind a cut, says nothing new about the way: many such,
// kept behind a cut, would otherwise make the leader doubt itself.
void Leader::RecordProbeOutcome(const Machine& machine, bool answered) {
  if (answered) {
    recent_responses_ += 1;
    timeouts_in_a_row_ = 0;
    last_response_at_ = ports_.clock->Now();
  } else if (machine.probe_failures == 0 && machine.command_failures == 0 &&
             !IsZoneSuspected(machine)) {
    recent_timeouts_ += 1;
    ++timeouts_in_a_row_;
  }
}

void Leader::DetectPartitions() {
  const double now = ports_.clock->Now();
  const double window = settings_->heartbeat_interval_s * kPartitionWindowShare;
  const double overdue = HeartbeatOverdueSeconds(*settings_);
  struct Count {
    size_t known = 0;
    size_t heard = 0;
    size_t in_time = 0;
  };
  std::vector<Count> count(job_store_.zones.size());
  for (MachineIndex machine_index : fleet_.active()) {
    const Machine& machine = fleet_[machine_index];
    // Those that ever reported, under whichever leader.
    if (machine.zone == kNoIndex || machine.scaling_in || machine.endpoint.empty()) continue;
    ++count[machine.zone].known;
    if (now - machine.last_heard_at < window) ++count[machine.zone].heard;
    if (now - machine.last_heard_at < overdue) ++count[machine.zone].in_time;
  }
  partitioned_zones_.resize(job_store_.zones.size(), 0);
  const std::vector<char> before = partitioned_zones_;
  for (uint32_t z = 0; z < partitioned_zones_.size(); ++z) {
    const std::string& name = job_store_.zones[z];
    const auto known = static_cast<double>(count[z].known);
    const bool watched = std::any_of(settings_->siblings.begin(), settings_->siblings.end(),
                                     [&name](const Peer& peer) { return peer.site == name; });
    const bool guarded = watched && !(ports_.is_zone_suspected && ports_.is_zone_suspected(name));
    const bool by_window = watched && count[z].known >= kMinZoneMachinesForWindow;
    const auto heard = static_cast<double>(by_window ? count[z].heard : count[z].in_time);
    const bool was = partitioned_zones_[z] != 0;
    if (name == settings_->site || count[z].known < kMinZoneMachines) {
      partitioned_zones_[z] = 0;
    } else if (!was) {
      partitioned_zones_[z] = now - term_began_at_ > (by_window ? window : overdue) + 1 &&
                              !guarded && heard < known * kPartitionBeginsShare;
    } else {
      partitioned_zones_[z] = heard < known * kPartitionEndsShare;
    }
    if (was == (partitioned_zones_[z] != 0)) continue;
    if (was) {
      spdlog::info("zone {}: {} of {} machines are heard again", name, heard, known);
    } else {
      spdlog::warn("zone {} is cut off: {} of {} machines heard of late; waiting for their leases",
                   name, heard, known);
    }
  }
  free_capacity_.SetPartitionedZones(partitioned_zones_);
  for (MachineIndex machine_index : fleet_.active()) {
    Machine& machine = fleet_[machine_index];
    const bool cut = machine.zone != kNoIndex && partitioned_zones_[machine.zone] != 0 &&
                     now - machine.last_heard_at >= window;
    if (cut != machine.partitioned) machine.capacity_stale = true;
    if (cut && !machine.partitioned) RecordLeaseExpiryBound(machine_index);
    machine.partitioned = cut;
  }
  for (uint32_t z = 0; z < partitioned_zones_.size(); ++z) {
    if (partitioned_zones_[z] == 0 && before[z] != 0) WithdrawLeaseExpiryBounds(z);
  }
}

}  // namespace deckhall
