// Failure detection: finds by heartbeats and probes which machines are dead, and releases them.
//
// Machines whose heartbeats are missing, or which have not shown for some time that requests reach
// them, are probed. A machine that neither sends heartbeats nor responds is declared dead and
// released to the cloud, which ends all tasks that still run on it. A task counts as lost only once
// its machine is released or the machine's lease has certainly expired. Time limits are longer
// where this node or its network may be at fault: when many machines fail at once, in suspected
// zones, and for partitioned machines, whose tasks continue to run until lease expiry.
//
// Owned by Leader. PROTOCOL: "Workers -> controller nodes" (leases), "GET /inspect", "Outages and
// cuts".
#pragma once

#include <string>

#include "config/settings.h"
#include "config/tuning.h"
#include "fleet/worker_client.h"
#include "leader/heartbeat_validator.h"
#include "leader/reachability_monitor.h"
#include "net/token_bucket.h"

namespace deckhall {

class FailureDetector {
 public:
  struct Dependencies {
    const JobStore* job_store;
    Fleet* fleet;
    Provisioner* provisioner;
    HeartbeatValidator* heartbeat_validator;
    const PartitionDetector* partition_detector;
    ReachabilityMonitor* reachability_monitor;
    WorkerClient* workers;
    const Clock* clock;
    const Settings* settings;
    const Tuning* tuning;
    std::string former_leader_zone;  // unknown if empty
  };

  explicit FailureDetector(Dependencies dependencies);

  // `term_began_at` is steady time, in seconds.
  void Start(double term_began_at) { term_began_at_ = term_began_at; }
  // Counts the healthy and failing machines, and sets the limits for the next calls of
  // CheckMachine().
  void AssessFleet(double now);
  // Checks one machine: handles lease expiry, then declares the machine dead or probes it if due.
  void CheckMachine(MachineIndex machine_index);
  // Machines examined so far. Shows whether the work stays within bounds as the fleet grows.
  uint64_t work_units() const { return work_units_; }

 private:
  // Set by AssessFleet().
  struct Limits {
    double probe_interval_s = 1;  // of machines that run tasks
    // If more machines than this fail at once, the network or this node may be at fault.
    size_t max_isolated_failures = 2;
    size_t max_one_way_machines = 2;
  };

  FleetHealth CountHealth() const;
  void UpdateLimits(double now);
  void HandleLeaseExpiry(MachineIndex machine_index, double now);
  bool IsCheckDue(const Machine& machine, double now, bool urgent) const;
  bool IsUrgent(const Machine& machine, double now) const;
  // Releases the machine if it is dead, or partitioned or one-way reachable for too long.
  void ScaleInIfDead(MachineIndex machine_index);
  // Whether the machine is kept since its lease may be valid or be renewed inside the partition.
  bool IsProtectedByPartition(const Machine& machine) const;
  double DeathLimitSeconds(const Machine& machine) const;
  bool IsOneWayTooLong(const Machine& machine, double now) const;
  void ProbeMachine(MachineIndex machine_index, bool urgent);
  void HandleProbeResponse(MachineIndex machine_index, const WorkerResponse& response,
                           HeartbeatVersion version);
  // Seconds since the last heartbeat or response of the machine, or since the term began if that is
  // less.
  double SecondsSinceContact(const Machine& machine, double now) const;

  const Dependencies deps_;
  TokenBucket probe_budget_;
  FleetHealth health_;
  Limits limits_;
  double term_began_at_ = 0;
  double last_death_at_ = -1e9;  // steady time, in seconds
  uint64_t work_units_ = 0;
};

}  // namespace deckhall
