#include "leader/leader.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "leader/leader_options.h"

namespace deckhall {
namespace {

constexpr double kLoadRetrySeconds = 0.2;
// Records with unreadable pages are loaded again: perhaps only the response was corrupt, and not
// the stored pages.
constexpr int kMaxLoadsWithUnreadablePages = 4;
// Two records of cache hints must fit on one page.
constexpr size_t kCacheHintRecordsPerPage = 2;
constexpr double kLivenessCheckIntervalSeconds = 0.25;
constexpr double kMaxPlacementIntervalSeconds = 0.5;
// The pause between placement rounds grows with the fleet, which bounds their cost.
constexpr double kMinPlacementPauseSeconds = 0.02;
constexpr double kPlacementPausePerMachineSeconds = 80e-6;
constexpr double kMaxPlacementPauseSeconds = 0.2;

}  // namespace

Leader::Leader(const LeaderPorts& services, const Settings* settings, const Tuning* tuning,
               const std::string& leader_key, uint64_t term)
    : key_value_store_(services.key_value_store, &callback_scope_),
      cloud_(services.cloud, &callback_scope_),
      workers_(services.workers, &callback_scope_),
      ports_(ScopedPorts(services)),
      settings_(settings),
      tuning_(tuning),
      term_(term),
      record_store_(ports_.key_value_store, ports_.clock, RecordStoreLimitsFrom(*settings),
                    leader_key, term),
      job_store_(&record_store_),
      fleet_(&job_store_, ports_.clock, term, FleetOptionsFrom(*settings)),
      provisioner_(ports_.cloud, &record_store_, &fleet_, &job_store_, ports_.clock, term,
                   ProvisionerOptionsFrom(*settings)),
      cache_hints_(&record_store_, &job_store_, &fleet_,
                   RecordStoreLimitsFrom(*settings).fill_bytes / kCacheHintRecordsPerPage -
                       kPageOverheadBytes),
      free_capacity_(&job_store_, &fleet_, &provisioner_, &record_store_, ports_.clock, settings,
                     tuning),
      ranking_(&job_store_, &free_capacity_, ports_.clock, tuning),
      gang_supervisor_(&job_store_, &fleet_, &ranking_, ports_.clock, settings),
      ledger_(&job_store_, &fleet_, ports_.clock, HeartbeatOverdueSeconds(*settings)),
      eviction_controller_({&job_store_, &fleet_, &free_capacity_, &provisioner_, &gang_supervisor_,
                            &record_store_, &ledger_, ports_.clock}),
      placer_(&job_store_, &fleet_, &free_capacity_, &ranking_, &provisioner_, &ledger_,
              ports_.clock, tuning),
      autoscaler_(&job_store_, &fleet_, &free_capacity_, &ranking_, &provisioner_, &ledger_,
                  &eviction_controller_, ports_.clock, settings, tuning),
      admission_control_(&job_store_, &provisioner_, ports_.clock, settings),
      job_request_handler_({.job_store = &job_store_,
                            .fleet = &fleet_,
                            .record_store = &record_store_,
                            .provisioner = &provisioner_,
                            .free_capacity = &free_capacity_,
                            .ranking = &ranking_,
                            .admission_control = &admission_control_,
                            .lease = ports_.lease,
                            .clock = ports_.clock}),
      ended_job_collector_(&job_store_, ports_.clock, settings),
      progress_saver_(&job_store_, &cache_hints_, tuning),
      command_log_(ports_.lease, ports_.clock, term),
      heartbeat_validator_(&job_store_, &fleet_, ports_.lease, ports_.clock, term,
                           [this](const char* reason) { LoseLeadership(reason); }),
      lease_expiry_bounds_(&record_store_, &fleet_, &provisioner_, ports_.clock),
      heartbeat_handler_({.fleet = &fleet_,
                          .provisioner = &provisioner_,
                          .heartbeat_validator = &heartbeat_validator_,
                          .lease_expiry_bounds = &lease_expiry_bounds_,
                          .command_log = &command_log_,
                          .lease = ports_.lease,
                          .clock = ports_.clock,
                          .settings = settings,
                          .tuning = tuning,
                          .term = term,
                          .no_later_term_since = ports_.no_later_term_since}),
      partition_detector_({.job_store = &job_store_,
                           .fleet = &fleet_,
                           .free_capacity = &free_capacity_,
                           .lease_expiry_bounds = &lease_expiry_bounds_,
                           .clock = ports_.clock,
                           .settings = settings,
                           .is_zone_suspected = ports_.is_zone_suspected}),
      reachability_monitor_(&partition_detector_, ports_.clock),
      failure_detector_({.job_store = &job_store_,
                         .fleet = &fleet_,
                         .provisioner = &provisioner_,
                         .heartbeat_validator = &heartbeat_validator_,
                         .partition_detector = &partition_detector_,
                         .reachability_monitor = &reachability_monitor_,
                         .workers = ports_.workers,
                         .clock = ports_.clock,
                         .settings = settings,
                         .tuning = tuning,
                         .former_leader_zone = ports_.former_leader_zone}),
      command_dispatcher_({.fleet = &fleet_,
                           .provisioner = &provisioner_,
                           .heartbeat_validator = &heartbeat_validator_,
                           .lease_expiry_bounds = &lease_expiry_bounds_,
                           .reachability_monitor = &reachability_monitor_,
                           .workers = ports_.workers,
                           .command_log = &command_log_,
                           .lease = ports_.lease,
                           .clock = ports_.clock},
                          *settings, *tuning),
      attempt_exit_handler_(&job_store_, &fleet_, &gang_supervisor_, &ranking_, ports_.clock),
      failover_reconciler_(&job_store_, &fleet_),
      preemption_notice_handler_(&job_store_, &fleet_, &gang_supervisor_, &ranking_, ports_.clock) {
  for (const std::string& zone : settings->zones) job_store_.zones.Add(zone);
  for (const Team& team : settings->teams) job_store_.teams.Add(team.name);
  ConnectCallbacks();
}

LeaderPorts Leader::ScopedPorts(const LeaderPorts& services) {
  LeaderPorts ports = services;
  ports.key_value_store = &key_value_store_;
  ports.cloud = &cloud_;
  ports.workers = &workers_;
  return ports;
}

void Leader::ConnectCallbacks() {
  record_store_.on_commit = [this] { job_request_handler_.HandleCommit(); };
  record_store_.on_leadership_lost = [this] { LoseLeadership("a write met another term"); };
  fleet_.on_attempt_exited = [this](MachineIndex machine_index, const TaskAttempt& attempt) {
    attempt_exit_handler_.HandleAttemptExit(machine_index, attempt);
  };
  fleet_.on_machine_reconciled = [this] { failover_reconciler_.RequestRelease(); };
  fleet_.observer = &ledger_;
  job_store_.on_lifecycle_change = [this](JobIndex job_index) { ledger_.JobChanged(job_index); };
  placer_.on_refreshed = [this] { eviction_controller_.PlaceReplacements(); };
}

void Leader::LoseLeadership(const char* reason) {
  if (on_leadership_lost) on_leadership_lost(reason);
}

void Leader::Start() {
  const CallbackScope::RunningCall running = callback_scope_.EnterCall();
  const double now = ports_.clock->Now();
  partition_detector_.Start(now);
  failure_detector_.Start(now);
  Load();
}

void Leader::Load() {
  load_.in_flight = true;
  record_store_.Load([this](bool ok, const std::vector<std::pair<RecordId, std::string>>& records) {
    load_.in_flight = false;
    const bool try_again = !ok || (record_store_.unreadable_pages() > 0 &&
                                   ++load_.unreadable_loads < kMaxLoadsWithUnreadablePages);
    if (try_again) {
      load_.next_at = ports_.clock->Now() + kLoadRetrySeconds;
      return;
    }
    HandleLoadedRecords(records);
  });
}

void Leader::HandleLoadedRecords(const std::vector<std::pair<RecordId, std::string>>& records) {
  for (const auto& [record_id, text] : records) {
    const bool known =
        provisioner_.LoadRecord(record_id, text) || cache_hints_.LoadRecord(record_id, text) ||
        eviction_controller_.LoadRecord(record_id, text) || job_store_.LoadRecord(record_id, text);
    if (!known) spdlog::error("term={}: unknown record ignored: {}", term_, text);
  }
  const double now = ports_.clock->Now();
  job_store_.FinishLoad(now, ports_.clock->Wall());
  cache_hints_.FinishLoad();
  eviction_controller_.FinishLoad();
  record_store_.SplitLargePages();
  RestoreRemainingWork();
  for (MachineIndex machine_index : fleet_.active()) fleet_.MarkChanged(machine_index);
  loaded_ = true;
  failover_reconciler_.RequestRelease();
  ApplyDisruptionPolicy(policy_, policy_confirmed_);
  progress_saver_.Start(now);
  provisioner_.Start();
  spdlog::info(
      "term={} first_token={} active_jobs={} unreconciled_machines={} records={}: records loaded",
      term_, FirstTokenOf(term_), job_store_.active_jobs().size(), fleet_.CountUnreconciled(),
      records.size());
  Tick();
}

void Leader::RestoreRemainingWork() {
  for (JobIndex job_index : job_store_.active_jobs()) {
    Job& job = job_store_[job_index];
    job.remaining_core_seconds = job.stored_remaining_core_seconds >= 0
                                     ? job.stored_remaining_core_seconds
                                     : ranking_.RemainingCoreSeconds(job);
  }
}

void Leader::ApplyDisruptionPolicy(std::shared_ptr<const DisruptionPolicy> policy, bool confirmed) {
  const CallbackScope::RunningCall running = callback_scope_.EnterCall();
  policy_ = std::move(policy);
  policy_confirmed_ = confirmed;
  // Drains resume from the records, and replicas are counted from them.
  if (!loaded_) return;
  ledger_.ApplyPolicy(policy_, confirmed);
  eviction_controller_.ApplyPolicy(policy_, confirmed);
}

void Leader::HandleJobRequest(const JobRequest& request, JobResponseCallback done) {
  const CallbackScope::RunningCall running = callback_scope_.EnterCall();
  if (!loaded_) {
    done(UnavailableResponse("taking over"));
    return;
  }
  job_request_handler_.HandleJobRequest(request, std::move(done));
}

HeartbeatResponse Leader::HandleHeartbeat(const Heartbeat& heartbeat) {
  const CallbackScope::RunningCall running = callback_scope_.EnterCall();
  return heartbeat_handler_.HandleHeartbeat(heartbeat, loaded_);
}

void Leader::Retire() {
  const CallbackScope::RunningCall running = callback_scope_.EnterCall();
  callback_scope_.End();
  retired_ = true;
  loaded_ = false;
  record_store_.Stop();
  job_request_handler_.FailPending("another node leads");
}

void Leader::Tick() {
  const CallbackScope::RunningCall running = callback_scope_.EnterCall();
  const double now = ports_.clock->Now();
  if (retired_) return;
  if (!loaded_) {
    if (!load_.in_flight && now >= load_.next_at) Load();
    return;
  }
  if (!ports_.lease->IsLeaseValid()) {
    // No change can become durable without the lease, so users are told to retry.
    job_request_handler_.FailPending("the state service does not answer");
    record_store_.Flush();
    return;
  }
  RunSchedulingLoop(now);
}

void Leader::RunSchedulingLoop(double now) {
  if (now >= due_.liveness_check) {
    due_.liveness_check = now + kLivenessCheckIntervalSeconds;
    CheckLiveness();
  }
  failover_reconciler_.ReleaseIfRequested(now);
  PlaceTasksIfDue(now);
  command_dispatcher_.PushPendingCommands(now);
  if (now >= due_.autoscaling) {
    due_.autoscaling = now + tuning_->autoscale_interval_s;
    autoscaler_.Plan();
  }
  provisioner_.Tick(true);
  progress_saver_.SaveIfDue(now);
  record_store_.Flush();
  command_log_.LogSummaryIfDue(now, fleet_.tokens_raised());
}

void Leader::CheckLiveness() {
  const double now = ports_.clock->Now();
  partition_detector_.DetectPartitions();
  failure_detector_.AssessFleet(now);
  for (MachineIndex machine_index : fleet_.active()) {
    failure_detector_.CheckMachine(machine_index);
    preemption_notice_handler_.HandlePreemptionNotice(machine_index);
  }
  gang_supervisor_.CheckGangs();
  eviction_controller_.Tick();
  attempt_exit_handler_.ClearFailuresOfStableServices();
  ended_job_collector_.CollectEndedJobs();
}

void Leader::PlaceTasksIfDue(double now) {
  const bool changes_due = fleet_.placement_needed && now >= due_.placement_not_before;
  if (!changes_due && now < due_.placement) return;
  fleet_.placement_needed = false;
  due_.placement = now + kMaxPlacementIntervalSeconds;
  const auto machines = static_cast<double>(fleet_.active().size());
  due_.placement_not_before =
      now + std::min(kMaxPlacementPauseSeconds,
                     kMinPlacementPauseSeconds + kPlacementPausePerMachineSeconds * machines);
  placer_.PlaceWaitingTasks();
}

uint64_t Leader::work_units() const {
  return free_capacity_.work_units + failure_detector_.work_units() +
         command_dispatcher_.work_units();
}

}  // namespace deckhall
