// The leader: the one controller that decides on jobs, placement, machines and capacity.
//
// Guarantee: changes nothing outside without a valid lease of its term, except that it goes on
// answering heartbeats for a grace period. Decides nothing before all records are loaded, and
// nothing after Retire(). Leader itself only loads the records and runs the scheduling loop; each
// decision is made by a part with a header of its own, and the parts know each other only by what
// their constructors are given. Owned by Controller, one per term. Single-threaded: everything
// runs on the event loop.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cloud/cloud_provider.h"
#include "drain/eviction_controller.h"
#include "fleet/cache_hints.h"
#include "fleet/worker_client.h"
#include "leader/attempt_exit_handler.h"
#include "leader/autoscaler.h"
#include "leader/command_dispatcher.h"
#include "leader/ended_job_collector.h"
#include "leader/failover_reconciler.h"
#include "leader/failure_detector.h"
#include "leader/gang_supervisor.h"
#include "leader/heartbeat_handler.h"
#include "leader/job_request_handler.h"
#include "leader/leader_timing.h"
#include "leader/leadership_lease.h"
#include "leader/placer.h"
#include "leader/preemption_notice_handler.h"
#include "leader/progress_saver.h"

namespace deckhall {

// What a leader needs from its node; all pointers outlive it.
struct LeaderPorts {
  KeyValueStore* key_value_store = nullptr;
  CloudProvider* cloud = nullptr;
  WorkerClient* workers = nullptr;
  const Clock* clock = nullptr;
  const LeadershipLease* lease = nullptr;
  // Whether the zone's controllers are not reachable, or recently were not; may be empty.
  PartitionDetector::ZoneSuspicion is_zone_suspected;
  // A steady time at which surely no later term had begun; may be empty.
  HeartbeatHandler::NoLaterTermSince no_later_term_since;
  // The zone of the former leader; empty if not known.
  std::string former_leader_zone;
};

class Leader {
 public:
  using JobResponseCallback = JobRequestHandler::ResponseCallback;

  // `leader_key` and `term` fence off all writes: the key's version is the term.
  Leader(const LeaderPorts& ports, const Settings* settings, const Tuning* tuning,
         const std::string& leader_key, uint64_t term);

  // Begins the term: loads the records, then schedules.
  void Start();
  // Serves a user's request; `done` gets exactly one response, perhaps later.
  void HandleJobRequest(const JobRequest& request, JobResponseCallback done);
  // Applies a worker's heartbeat and returns the response to it.
  HeartbeatResponse HandleHeartbeat(const Heartbeat& heartbeat);
  // Does what is due; called many times a second.
  void Tick();
  // The term is over: fails pending responses and does nothing any more. The object must be kept
  // until its requests to other services have completed.
  void Retire();
  // Sets the disruption policy in force; null without one. `confirmed`: the state service named it
  // after this term began.
  void ApplyDisruptionPolicy(std::shared_ptr<const DisruptionPolicy> policy, bool confirmed);
  // Whether the records are loaded and the term is not over.
  bool loaded() const { return loaded_; }
  uint64_t term() const { return term_; }

  // Called with the reason when another term must have begun.
  std::function<void(const char* why)> on_leadership_lost;

  JobStore& job_store() { return job_store_; }
  Fleet& fleet() { return fleet_; }
  const EvictionController& eviction_controller() const { return eviction_controller_; }
  const DisruptionLedger& ledger() const { return ledger_; }
  // Seconds for which most machines have not responded to this node although their heartbeats
  // arrive by way of other nodes; 0 when they do respond.
  double UnreachableSeconds() const { return reachability_monitor_.UnreachableSeconds(); }
  // Machines looked at so far, to bound the work as the fleet grows.
  uint64_t work_units() const;
  // Heartbeats and responses that contradicted what is known and were ignored.
  uint64_t implausible_heartbeats() const { return heartbeat_validator_.implausible_heartbeats(); }

 private:
  // Where loading the records stands.
  struct LoadProgress {
    bool in_flight = false;
    double next_at = 0;        // not before this steady time, in seconds
    int unreadable_loads = 0;  // loads that had unreadable pages
  };

  // Steady times, in seconds, at which the steps of the scheduling loop are due.
  struct Schedule {
    double liveness_check = 0;
    double placement = 0;
    double placement_not_before = 0;
    double autoscaling = 0;
  };

  void ConnectCallbacks();
  void LoseLeadership(const char* reason);
  void Load();
  void HandleLoadedRecords(const std::vector<std::pair<RecordId, std::string>>& records);
  void RestoreRemainingWork();
  void RunSchedulingLoop(double now);
  void CheckLiveness();
  void PlaceTasksIfDue(double now);

  LeaderPorts ports_;
  const Settings* settings_;
  const Tuning* tuning_;
  const uint64_t term_;

  // State and capacity. The order of members is that of their dependencies.
  RecordStore record_store_;
  JobStore job_store_;
  Fleet fleet_;
  Provisioner provisioner_;
  CacheHints cache_hints_;
  FreeCapacity free_capacity_;
  Ranking ranking_;
  GangSupervisor gang_supervisor_;
  DisruptionLedger ledger_;
  EvictionController eviction_controller_;
  Placer placer_;
  Autoscaler autoscaler_;

  // Users.
  AdmissionControl admission_control_;
  JobRequestHandler job_request_handler_;
  EndedJobCollector ended_job_collector_;
  ProgressSaver progress_saver_;

  // Machines.
  HeartbeatValidator heartbeat_validator_;
  LeaseExpiryBounds lease_expiry_bounds_;
  HeartbeatHandler heartbeat_handler_;
  PartitionDetector partition_detector_;
  ReachabilityMonitor reachability_monitor_;
  FailureDetector failure_detector_;
  CommandDispatcher command_dispatcher_;
  AttemptExitHandler attempt_exit_handler_;
  FailoverReconciler failover_reconciler_;
  PreemptionNoticeHandler preemption_notice_handler_;

  std::shared_ptr<const DisruptionPolicy> policy_;
  bool policy_confirmed_ = false;
  bool loaded_ = false;
  bool retired_ = false;
  LoadProgress load_;
  Schedule due_;
};

}  // namespace deckhall
