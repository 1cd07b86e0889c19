#include "leader/partition_detector.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "leader/leader_timing.h"

namespace deckhall {
namespace {

// Length of the window in which heartbeats are counted, as a share of the heartbeat interval.
constexpr double kWindowIntervalShare = 0.6;
// Shares of a zone's machines that send heartbeats: a partition begins below the first share and
// ends at the second.
constexpr double kPartitionBeginsShare = 0.05;
constexpr double kPartitionEndsShare = 0.2;
constexpr size_t kMinZoneMachines = 6;
// With fewer machines, all of them may by chance be between two heartbeats. In such zones, and in
// zones without controllers, a machine counts as missing only when its heartbeat is overdue.
constexpr size_t kMinZoneMachinesForWindow = 20;
// A new leader detects no partition before the window plus this time has passed.
constexpr double kStartMarginSeconds = 1;

}  // namespace

PartitionDetector::PartitionDetector(Dependencies dependencies) : deps_(std::move(dependencies)) {}

double PartitionDetector::WindowSeconds() const {
  return deps_.settings->heartbeat_interval_s * kWindowIntervalShare;
}

bool PartitionDetector::IsSuspected(const std::string& zone) const {
  return deps_.is_zone_suspected && deps_.is_zone_suspected(zone);
}

bool PartitionDetector::IsZoneSuspected(const Machine& machine) const {
  return machine.zone != kNoIndex && IsSuspected(deps_.job_store->zones[machine.zone]);
}

bool PartitionDetector::HasControllers(const std::string& zone) const {
  const std::vector<Peer>& siblings = deps_.settings->siblings;
  return std::any_of(siblings.begin(), siblings.end(),
                     [&zone](const Peer& peer) { return peer.site == zone; });
}

void PartitionDetector::DetectPartitions() {
  const double now = deps_.clock->Now();
  const std::vector<ZoneCounts> counts = CountZones(now);
  partitioned_zones_.resize(counts.size(), 0);
  const std::vector<char> before = partitioned_zones_;
  for (uint32_t zone = 0; zone < partitioned_zones_.size(); ++zone) {
    partitioned_zones_[zone] = UpdateZone(zone, counts[zone], now) ? 1 : 0;
  }
  deps_.free_capacity->SetPartitionedZones(partitioned_zones_);
  UpdateMachines(now);
  for (uint32_t zone = 0; zone < partitioned_zones_.size(); ++zone) {
    const bool healed = partitioned_zones_[zone] == 0 && before[zone] != 0;
    if (healed) deps_.lease_expiry_bounds->WithdrawBounds(zone);
  }
}

std::vector<PartitionDetector::ZoneCounts> PartitionDetector::CountZones(double now) const {
  const double window_seconds = WindowSeconds();
  const double overdue_seconds = HeartbeatOverdueSeconds(*deps_.settings);
  std::vector<ZoneCounts> counts(deps_.job_store->zones.size());
  for (MachineIndex machine_index : deps_.fleet->active()) {
    const Machine& machine = (*deps_.fleet)[machine_index];
    // Only machines that have sent a heartbeat to this or a former leader have a known endpoint.
    if (machine.zone == kNoIndex || machine.scaling_in || machine.endpoint.empty()) continue;
    ZoneCounts& zone = counts[machine.zone];
    const double seconds_since_contact = now - machine.last_heard_at;
    ++zone.known;
    if (seconds_since_contact < window_seconds) ++zone.alive_in_window;
    if (seconds_since_contact < overdue_seconds) ++zone.alive_not_overdue;
  }
  return counts;
}

bool PartitionDetector::UpdateZone(uint32_t zone, const ZoneCounts& counts, double now) const {
  const std::string& name = deps_.job_store->zones[zone];
  const bool was_partitioned = partitioned_zones_[zone] != 0;
  const bool has_controllers = HasControllers(name);
  const bool controllers_reachable = has_controllers && !IsSuspected(name);
  const bool by_window = has_controllers && counts.known >= kMinZoneMachinesForWindow;
  const size_t alive = by_window ? counts.alive_in_window : counts.alive_not_overdue;
  const double alive_limit = static_cast<double>(counts.known) *
                             (was_partitioned ? kPartitionEndsShare : kPartitionBeginsShare);
  bool is_partitioned = false;
  if (name == deps_.settings->site || counts.known < kMinZoneMachines) {
    is_partitioned = false;
  } else if (!was_partitioned) {
    const double wait_seconds =
        (by_window ? WindowSeconds() : HeartbeatOverdueSeconds(*deps_.settings)) +
        kStartMarginSeconds;
    is_partitioned = now - term_began_at_ > wait_seconds && !controllers_reachable &&
                     static_cast<double>(alive) < alive_limit;
  } else {
    is_partitioned = static_cast<double>(alive) < alive_limit;
  }
  if (was_partitioned && !is_partitioned) {
    spdlog::info("zone={} machines_alive={} machines={}: partition ended", name, alive,
                 counts.known);
  } else if (!was_partitioned && is_partitioned) {
    spdlog::warn("zone={} machines_alive={} machines={}: partitioned; waiting for lease expiry",
                 name, alive, counts.known);
  }
  return is_partitioned;
}

void PartitionDetector::UpdateMachines(double now) {
  const double window_seconds = WindowSeconds();
  for (MachineIndex machine_index : deps_.fleet->active()) {
    Machine& machine = (*deps_.fleet)[machine_index];
    const bool is_partitioned = machine.zone != kNoIndex && partitioned_zones_[machine.zone] != 0 &&
                                now - machine.last_heard_at >= window_seconds;
    if (is_partitioned != machine.partitioned) machine.capacity_stale = true;
    if (is_partitioned && !machine.partitioned) {
      deps_.lease_expiry_bounds->RecordBound(machine_index);
    }
    machine.partitioned = is_partitioned;
  }
}

}  // namespace deckhall
