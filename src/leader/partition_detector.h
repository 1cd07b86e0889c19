// Detection of partitioned zones, whose machines run on but are unreachable from this node.
//
// A zone counts as partitioned when heartbeats of almost all its machines are missing and its
// controllers are unreachable as well; if a zone merely lost machines, its controllers are still
// reachable. Machines of a partitioned zone are not released as dead at once, since their tasks run
// until their leases expire. Invariants: the zone of this node never counts as partitioned, and a
// zone with few machines does not either. Owned by Leader. PROTOCOL: "Outages and cuts".
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "config/settings.h"
#include "leader/free_capacity.h"
#include "leader/lease_expiry_bounds.h"

namespace deckhall {

class PartitionDetector {
 public:
  // Whether the controllers of a zone are unreachable or recently were.
  using ZoneSuspicion = std::function<bool(const std::string& zone)>;

  struct Dependencies {
    const JobStore* job_store;
    Fleet* fleet;
    FreeCapacity* free_capacity;
    LeaseExpiryBounds* lease_expiry_bounds;
    const Clock* clock;
    const Settings* settings;
    ZoneSuspicion is_zone_suspected;  // no zone is suspected if unset
  };

  explicit PartitionDetector(Dependencies dependencies);

  // `term_began_at` is steady time, in seconds.
  void Start(double term_began_at) { term_began_at_ = term_began_at; }
  // Updates which zones and machines are partitioned, notifies FreeCapacity, and records or
  // withdraws bounds on lease expiry accordingly.
  void DetectPartitions();
  // Whether the controllers of the machine's zone are unreachable or recently were.
  bool IsZoneSuspected(const Machine& machine) const;

 private:
  // Counts of the machines of one zone that have ever sent a heartbeat.
  struct ZoneCounts {
    size_t known = 0;
    size_t alive_in_window = 0;    // sent a heartbeat within WindowSeconds()
    size_t alive_not_overdue = 0;  // the next heartbeat is not overdue
  };

  std::vector<ZoneCounts> CountZones(double now) const;
  // Returns whether the zone is partitioned now, given its counts. Logs a change.
  bool UpdateZone(uint32_t zone, const ZoneCounts& counts, double now) const;
  void UpdateMachines(double now);
  // Seconds without a heartbeat after which a machine of a large zone counts as missing.
  double WindowSeconds() const;
  bool HasControllers(const std::string& zone) const;
  bool IsSuspected(const std::string& zone) const;

  const Dependencies deps_;
  double term_began_at_ = 0;
  std::vector<char> partitioned_zones_;  // by zone index
};

}  // namespace deckhall
