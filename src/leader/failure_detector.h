// Failure detection: which machines are alive, by heartbeats and probes, and what follows.
//
// Machines whose heartbeats are missing, or which have not shown for some time that requests reach
// them, are probed. A machine that neither sends heartbeats nor responds is declared dead and
// returned to the cloud, which ends whatever it still runs. A task counts as lost only once its
// machine is returned or its lease surely expired. Limits are longer where the fault may be this
// node's or its network's: for many machines at once, for suspected zones, and for partitioned
// machines, whose tasks run on until lease expiry. Owned by Leader. PROTOCOL: "Workers ->
// controller nodes" (leases), "GET /inspect", "Outages and cuts".
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
    std::string former_leader_zone;  // empty: not known
  };

  explicit FailureDetector(Dependencies dependencies);

  // The term began at this steady time, in seconds.
  void Start(double term_began_at) { term_began_at_ = term_began_at; }
  // Counts the fleet's health and sets limits and the probe interval for the checks that follow.
  void AssessFleet(double now);
  // Checks one machine: handles lease expiry, and probes it or declares it dead if that is due.
  void CheckMachine(MachineIndex machine_index);
  // Responses that are still to come are ignored.
  void Stop() { stopped_ = true; }
  // Machines looked at so far, to bound the work as the fleet grows.
  uint64_t work_units() const { return work_units_; }

 private:
  // What the latest AssessFleet() allows.
  struct Limits {
    double probe_interval_s = 1;  // of machines that run tasks
    // Up to so many machines may fail at once without the network being suspected.
    size_t quick_deaths = 2;
    size_t one_way_machines = 2;
  };

  FleetHealth CountHealth() const;
  void UpdateLimits(double now);
  void HandleLeaseExpiry(MachineIndex machine_index, double now);
  bool IsCheckDue(const Machine& machine, double now, bool urgent) const;
  bool IsUrgent(const Machine& machine, double now) const;
  // Returns the machine to the cloud if it is dead or one-way reachable for too long.
  void ReturnIfDead(MachineIndex machine_index);
  // Whether leases inside the partition may still be renewed or run, so that the machine is kept.
  bool IsProtectedByPartition(const Machine& machine) const;
  double DeathLimitSeconds(const Machine& machine) const;
  bool IsOneWayTooLong(const Machine& machine, double now) const;
  void ProbeMachine(MachineIndex machine_index, bool urgent);
  void HandleProbeResponse(MachineIndex machine_index, const WorkerResponse& response,
                           HeartbeatVersion version);
  // Seconds since the machine was heard, counted from the beginning of the term at the most.
  double SecondsSinceContact(const Machine& machine, double now) const;

  const Dependencies deps_;
  TokenBucket probe_budget_;
  FleetHealth health_;
  Limits limits_;
  double term_began_at_ = 0;
  double last_death_at_ = -1e9;  // steady time, in seconds
  uint64_t work_units_ = 0;
  bool stopped_ = false;
};

}  // namespace deckhall
