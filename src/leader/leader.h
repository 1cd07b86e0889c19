// The leader: the one controller that decides on jobs, task placement, machines and scaling.
//
// Guarantees: without a valid lease of its term the leader changes no state outside this process,
// except that it continues to respond to heartbeats for a grace period. It makes no decision before
// all records are loaded, and none after Retire(). All requests to other services go through the
// scoped services, so that their responses never reach a leader that has retired.
//
// Leader itself only loads the records and runs the scheduling loop. Each decision is made by a
// component with a header of its own; components know only those that their constructors receive.
// Owned by Controller, one per term. Single-threaded: all code runs on the event loop.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cloud/cloud_provider.h"
#include "common/callback_scope.h"
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
#include "leader/scoped_services.h"

namespace deckhall {

// The services that a leader uses. All pointers must outlive it. The services may respond at any
// time, also after the leader's destruction.
struct LeaderPorts {
  KeyValueStore* key_value_store = nullptr;
  CloudProvider* cloud = nullptr;
  WorkerClient* workers = nullptr;
  const Clock* clock = nullptr;
  const LeadershipLease* lease = nullptr;
  // Whether the zone's controllers are unreachable or recently were; no zone is suspected if unset.
  PartitionDetector::ZoneSuspicion is_zone_suspected;
  // A steady time, in seconds, up to which certainly no later term had begun; unknown if unset.
  HeartbeatHandler::NoLaterTermSince no_later_term_since;
  // The zone of the former leader; unknown if empty.
  std::string former_leader_zone;
};

class Leader {
 public:
  using JobResponseCallback = JobRequestHandler::ResponseCallback;

  // `leader_key` and `term` fence all writes: the version of that key must still be the term.
  Leader(const LeaderPorts& services, const Settings* settings, const Tuning* tuning,
         const std::string& leader_key, uint64_t term);

  // Begins the term: loads the records; scheduling starts once they are loaded.
  void Start();
  // Serves a user's request. `done` is called exactly once, possibly after this call returns.
  void HandleJobRequest(const JobRequest& request, JobResponseCallback done);
  // Applies a worker's heartbeat and returns the response to it.
  HeartbeatResponse HandleHeartbeat(const Heartbeat& heartbeat);
  // Runs the steps that are due. Must be called many times per second.
  void Tick();
  // Ends the term: answers pending user requests with 503; no decision is made afterwards, and
  // later responses of the services are ignored. May be called from within any other method.
  void Retire();
  // Whether one of the methods or the handling of a response is running: the object must not be
  // destroyed now. It may be destroyed at any other time, with requests outstanding.
  bool IsRunning() const { return callback_scope_.IsRunning(); }
  // Sets the disruption policy in force; null if there is none. `confirmed` says whether the policy
  // was read from the state service after this term began.
  void ApplyDisruptionPolicy(std::shared_ptr<const DisruptionPolicy> policy, bool confirmed);
  // Whether the records are loaded and the term is not over.
  bool loaded() const { return loaded_; }
  uint64_t term() const { return term_; }

  // Called with the reason when another controller must have begun a later term.
  std::function<void(const char* reason)> on_leadership_lost;

  JobStore& job_store() { return job_store_; }
  Fleet& fleet() { return fleet_; }
  const EvictionController& eviction_controller() const { return eviction_controller_; }
  const DisruptionLedger& ledger() const { return ledger_; }
  // Seconds for which most machines have not responded to this node, even if their heartbeats
  // arrive through other nodes; 0 if they respond.
  double UnreachableSeconds() const { return reachability_monitor_.UnreachableSeconds(); }
  // Machines examined so far. Shows whether the work stays within bounds as the fleet grows.
  uint64_t work_units() const;
  // Heartbeats and responses that were ignored since they contradict known facts.
  uint64_t implausible_heartbeats() const { return heartbeat_validator_.implausible_heartbeats(); }

 private:
  struct LoadProgress {
    bool in_flight = false;
    double next_at = 0;        // steady time of the next attempt, in seconds
    int unreadable_loads = 0;  // attempts that found unreadable pages
  };

  // Steady times, in seconds, at which the steps of the scheduling loop are due.
  struct Schedule {
    double liveness_check = 0;
    double placement = 0;
    double placement_not_before = 0;
    double autoscaling = 0;
  };

  // The ports with the services replaced by the scoped ones.
  LeaderPorts ScopedPorts(const LeaderPorts& services);
  void ConnectCallbacks();
  void LoseLeadership(const char* reason);
  void Load();
  void HandleLoadedRecords(const std::vector<std::pair<RecordId, std::string>>& records);
  void RestoreRemainingWork();
  void RunSchedulingLoop(double now);
  void CheckLiveness();
  void PlaceTasksIfDue(double now);

  CallbackScope callback_scope_;
  ScopedKeyValueStore key_value_store_;
  ScopedCloudProvider cloud_;
  ScopedWorkerClient workers_;
  LeaderPorts ports_;
  const Settings* settings_;
  const Tuning* tuning_;
  const uint64_t term_;

  // State and capacity. Members are declared in the order of their dependencies.
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

  // Requests of users.
  AdmissionControl admission_control_;
  JobRequestHandler job_request_handler_;
  EndedJobCollector ended_job_collector_;
  ProgressSaver progress_saver_;

  // Heartbeats, failure detection and commands to machines.
  CommandLog command_log_;
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
