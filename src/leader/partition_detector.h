// Detection of partitioned zones: zones whose machines run on but can't be reached from here.
//
// A zone is partitioned when almost none of its machines sends heartbeats any more while its
// controllers are not reachable either; a zone that merely lost machines keeps its controllers.
// Machines of a partitioned zone are not returned as dead at once: their tasks run until their
// leases expire. Invariants: this node's own zone is never partitioned, and a zone of few machines
// never is. Owned by Leader. PROTOCOL: "Outages and cuts".
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
  // Whether connections to the controllers of a zone fail or recently failed.
  using ZoneSuspicion = std::function<bool(const std::string& zone)>;

  struct Dependencies {
    const JobStore* job_store;
    Fleet* fleet;
    FreeCapacity* free_capacity;
    LeaseExpiryBounds* lease_expiry_bounds;
    const Clock* clock;
    const Settings* settings;
    ZoneSuspicion is_zone_suspected;  // may be empty: no zone is suspected
  };

  explicit PartitionDetector(Dependencies dependencies);

  // The term began at this steady time, in seconds.
  void Start(double term_began_at) { term_began_at_ = term_began_at; }
  // Updates which zones and machines are partitioned, passes that on to FreeCapacity, and records
  // or withdraws bounds on lease expiry accordingly.
  void DetectPartitions();
  // Whether the controllers of the machine's zone are not reachable, or recently were not.
  bool IsZoneSuspected(const Machine& machine) const;

 private:
  // Machines of one zone that ever sent a heartbeat.
  struct ZoneCounts {
    size_t known = 0;
    size_t alive_in_window = 0;  // within part of the heartbeat interval
    size_t alive_in_time = 0;    // not overdue
  };

  std::vector<ZoneCounts> CountZones(double now) const;
  // Whether the zone is partitioned now, given its counts; logs a change.
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
