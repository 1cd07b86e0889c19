// The one controller that decides: users' jobs, workers' reports, placement,
// rentals. Lives as long as its term.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cloud/cloud_provider.h"
#include "drain/eviction_controller.h"
#include "fleet/cache_hints.h"
#include "fleet/worker_client.h"
#include "leader/autoscaler.h"
#include "leader/gang_supervisor.h"
#include "leader/job_request_handler.h"
#include "leader/leader_timing.h"
#include "leader/leadership_lease.h"
#include "leader/placer.h"
#include "net/token_bucket.h"

namespace deckhall {

struct LeaderPorts {
  KeyValueStore* key_value_store = nullptr;
  CloudProvider* cloud = nullptr;
  WorkerClient* workers = nullptr;
  const Clock* clock = nullptr;
  const LeadershipLease* lease = nullptr;
  // Whether the way to a zone was blocked of late; may be empty.
  std::function<bool(const std::string& zone)> is_zone_suspected;
  // A time at which surely no later term had begun; may be empty.
  std::function<double(uint64_t term)> no_later_term_since;
  // The zone of whoever led before, as far as known.
  std::string former_leader_zone;
};

class Leader {
 public:
  using JobResponseCallback = JobRequestHandler::ResponseCallback;

  Leader(const LeaderPorts& ports, const Settings* settings, const Tuning* tuning,
         const std::string& leader_key, uint64_t term);

  void Start();
  void HandleJobRequest(const JobRequest& request, JobResponseCallback done);
  HeartbeatResponse HandleHeartbeat(const Heartbeat& heartbeat);
  void Tick();
  // The term is over: answers what waits and does nothing any more. Kept until
  // the last of its requests is answered.
  void Retire();
  // The disruption policy in force; null without one. `confirmed`: the state service named it
  // after this term began.
  void ApplyDisruptionPolicy(std::shared_ptr<const DisruptionPolicy> policy, bool confirmed);
  bool loaded() const { return loaded_; }
  uint64_t term() const { return term_; }

  std::function<void(const char* why)> on_leadership_lost;

  JobStore& job_store() { return job_store_; }
  Fleet& fleet() { return fleet_; }
  const EvictionController& drainer() const { return drainer_; }
  const DisruptionLedger& ledger() const { return ledger_; }
  // For how long most machines have answered nothing, though their reports come by
  // other nodes: the fault is then on this node's way to them. 0: they do.
  double UnreachableSeconds() const;
  // Machines and nodes looked at so far, to bound the work as the fleet grows.
  uint64_t work_units() const { return free_capacity_.work_units + examined_; }
  // Reports and answers that did not fit what is known.
  uint64_t implausible_heartbeats() const { return implausible_heartbeats_; }

 private:
  void Load();
  void HandleLoadedRecords(const std::vector<std::pair<RecordId, std::string>>& rows);
  void ReleaseUnreconciledTasks();
  void HandleAttemptExit(MachineIndex machine_index, const TaskAttempt& attempt);
  void RecordTaskFailure(MachineIndex machine_index, const TaskAttempt& attempt);
  void PushCommands(MachineIndex machine_index);
  void HandleCommandResponse(MachineIndex machine_index, const WorkerResponse& response,
                             HeartbeatVersion asked);
  void CheckLiveness();
  // Finds zones that are cut off from here, with all that runs there.
  void DetectPartitions();
  // Makes durable since when a machine behind a cut is not answered.
  void RecordLeaseExpiryBound(MachineIndex machine_index);
  // Takes that back, once one of them is heard.
  void WithdrawLeaseExpiryBounds(uint32_t zone);
  // Nothing is said of the machine any more, also durably.
  bool HasNoLeaseExpiryBound(MachineIndex machine_index);
  // A question to a machine was answered, or not.
  void RecordProbeOutcome(const Machine& machine, bool answered);
  // Its zone's controllers are not heard, or were not of late.
  bool IsZoneSuspected(const Machine& machine) const;
  void CheckMachine(MachineIndex machine_index);
  void GiveUpIfDead(MachineIndex machine_index);
  void ProbeMachine(MachineIndex machine_index, bool urgent);
  // False when what the machine says can't be: it then changes nothing.
  bool IsPlausible(const Heartbeat& heartbeat);
  void LogImplausibleHeartbeat(const std::string& machine, const char* why);
  void HandlePreemptionNotice(MachineIndex machine_index);
  void SaveRankingProgress();
  void CollectEndedJobs();
  // Failures of services that run again.
  void ResetProvenServices();
  double HeartbeatGraceEnd() const;

  LeaderPorts ports_;
  const Settings* settings_;
  const Tuning* tuning_;
  uint64_t term_;
  double term_began_at_ = 0;
  RecordStore record_store_;
  JobStore job_store_;
  Fleet fleet_;
  Provisioner provisioner_;
  CacheHints hints_;
  FreeCapacity free_capacity_;
  Ranking ranking_;
  GangSupervisor gang_supervisor_;
  DisruptionLedger ledger_;
  EvictionController drainer_;
  Placer placer_;
  Autoscaler autoscaler_;
  AdmissionControl admission_control_;
  JobRequestHandler job_request_handler_;
  TokenBucket command_budget_;  // commands sent straight to workers
  TokenBucket probe_budget_;
  std::shared_ptr<const DisruptionPolicy> policy_;
  bool policy_confirmed_ = false;
  bool loaded_ = false;
  bool loading_ = false;
  bool retired_ = false;
  bool release_unreconciled_ = false;
  double load_not_before_ = 0;
  double next_placement_ = 0;
  double next_plan_ = 0;
  double next_save_ = 0;
  double next_hints_ = 0;
  double next_liveness_check_ = 0;
  double placement_not_before_ = 0;
  double next_release_ = 0;
  double probe_interval_s_ = 1;
  double last_death_at_ = -1e9;  // a machine was found lost
  size_t silent_machines_ = 0;
  size_t one_way_machines_ = 0;
  size_t unreconciled_machines_ = 0;  // a former leader's, not accounted for yet
  double unreachable_since_ = -1;
  double recent_responses_ = 0;  // questions to machines of late, fading
  double recent_timeouts_ = 0;
  int timeouts_in_a_row_ = 0;  // since the last answer
  double last_response_at_ = 0;
  bool many_silent_ = false;             // so many that the fault is rather here
  std::vector<char> partitioned_zones_;  // by zone: see FindCuts
  size_t max_one_way_machines_ = 2;
  size_t max_quick_deaths_ = 2;  // so many may fail at once without the way being suspected
  int load_attempts_ = 0;
  uint64_t examined_ = 0;
  uint64_t implausible_heartbeats_ = 0;
  double implausible_logged_at_ = -1e9;
};

}  // namespace deckhall
