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

void Leader::RecordLeaseExpiryBound(MachineIndex mi) {
  // Should the next leader have to wait for its own beginning, our hold and a lease,
  // what runs behind the cut would be missing for that long.
  Machine& m = fleet_[mi];
  if (!m.reconciled || m.record_id == kNoRecord || !fleet_.KnowsCurrentTerm(m) ||
      m.unrenewed_since_wall >= 0)
    return;
  const double silent = ports_.clock->Now() - std::max(m.last_heard_at, m.lease_renewed_at);
  m.unrenewed_since_wall = ports_.clock->Wall() - silent;
  provisioner_.SaveMachine(mi, WritePriority::kBackground);
}

void Leader::WithdrawLeaseExpiryBounds(uint32_t zone) {
  for (MachineIndex mi : fleet_.active()) {
    Machine& m = fleet_[mi];
    if (m.zone != zone || m.unrenewed_since_wall < 0) continue;
    m.unrenewed_since_wall = -1;
    m.withdrawing_expiry_bound = true;
    provisioner_.SaveMachine(mi, WritePriority::kImmediate);
  }
}

bool Leader::HasNoLeaseExpiryBound(MachineIndex mi) {
  Machine& m = fleet_[mi];
  if (m.withdrawing_expiry_bound && record_store_.IsDurable(m.record_id))
    m.withdrawing_expiry_bound = false;
  return m.unrenewed_since_wall < 0 && !m.withdrawing_expiry_bound;
}

bool Leader::IsZoneSuspected(const Machine& m) const {
  return m.zone != kNoIndex && ports_.is_zone_suspected &&
         ports_.is_zone_suspected(job_store_.zones[m.zone]);
}

// A machine already known to be silent, or behind a cut, says nothing new about the way: many such,
// kept behind a cut, would otherwise make the leader doubt itself.
void Leader::RecordProbeOutcome(const Machine& m, bool answered) {
  if (answered) {
    recent_responses_ += 1;
    timeouts_in_a_row_ = 0;
    last_response_at_ = ports_.clock->Now();
  } else if (m.probe_failures == 0 && m.command_failures == 0 && !IsZoneSuspected(m)) {
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
  for (MachineIndex mi : fleet_.active()) {
    const Machine& m = fleet_[mi];
    // Those that ever reported, under whichever leader.
    if (m.zone == kNoIndex || m.scaling_in || m.endpoint.empty()) continue;
    ++count[m.zone].known;
    if (now - m.last_heard_at < window) ++count[m.zone].heard;
    if (now - m.last_heard_at < overdue) ++count[m.zone].in_time;
  }
  partitioned_zones_.resize(job_store_.zones.size(), 0);
  const std::vector<char> before = partitioned_zones_;
  for (uint32_t z = 0; z < partitioned_zones_.size(); ++z) {
    const std::string& name = job_store_.zones[z];
    const auto known = static_cast<double>(count[z].known);
    const bool watched = std::any_of(settings_->siblings.begin(), settings_->siblings.end(),
                                     [&name](const Peer& p) { return p.site == name; });
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
  for (MachineIndex mi : fleet_.active()) {
    Machine& m = fleet_[mi];
    const bool cut =
        m.zone != kNoIndex && partitioned_zones_[m.zone] != 0 && now - m.last_heard_at >= window;
    if (cut != m.partitioned) m.capacity_stale = true;
    if (cut && !m.partitioned) RecordLeaseExpiryBound(mi);
    m.partitioned = cut;
  }
  for (uint32_t z = 0; z < partitioned_zones_.size(); ++z) {
    if (partitioned_zones_[z] == 0 && before[z] != 0) WithdrawLeaseExpiryBounds(z);
  }
}

}  // namespace deckhall
