#include "leader/leader.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "state/key_value_client.h"

namespace deckhall {
namespace {

constexpr double kPageFillShare = 0.85;
// Hints are written so much less often than the work that is left.
constexpr double kHintsPerProgressSave = 3;
// Passes are this far apart for each machine, so that their cost has a bound.
constexpr double kPlacementGapSeconds = 0.02;
constexpr double kPlacementGapPerMachineSeconds = 80e-6;
constexpr double kMaxPlacementGapSeconds = 0.2;
constexpr int kMaxLoadAttempts = 4;
constexpr double kLivenessCheckIntervalSeconds = 0.25;

RecordStoreLimits StoreLimitsFrom(const Settings& settings) {
  RecordStoreLimits l;
  // What is announced may come at any time: everything is kept within it from the start.
  l.max_value_bytes = static_cast<size_t>(settings.effective_state_limits.value_kb * 1024);
  l.fill_bytes =
      static_cast<size_t>(settings.effective_state_limits.value_kb * 1024 * kPageFillShare);
  l.current_max_value_bytes = static_cast<size_t>(settings.current_state_limits.value_kb * 1024);
  l.max_transaction_ops = static_cast<size_t>(std::max(1, settings.effective_state_limits.txn_ops));
  l.write_burst = WriteBurst(settings.effective_state_limits.write_rps);
  return l;
}

FleetOptions FleetOptionsFrom(const Settings& settings) {
  FleetOptions o;
  o.lease_s = settings.lease_s;
  o.former_leader_grace_s = GracePeriodSeconds(settings);
  o.wall_clock_bound_s = settings.wall_clock_bound_ms / 1000;
  return o;
}

ProvisionerOptions ProvisionerOptionsFrom(const Settings& settings) {
  ProvisionerOptions o;
  o.list_lag_s = settings.cloud_lag_s;
  o.list_interval_s = std::clamp(4 / settings.cloud_rps, 2.0, 10.0);
  return o;
}

}  // namespace

Leader::Leader(const LeaderPorts& ports, const Settings* settings, const Tuning* tuning,
               const std::string& leader_key, uint64_t term)
    : ports_(ports),
      settings_(settings),
      tuning_(tuning),
      term_(term),
      record_store_(ports.key_value_store, ports.clock, StoreLimitsFrom(*settings), leader_key,
                    term),
      job_store_(&record_store_),
      fleet_(&job_store_, ports.clock, term, FleetOptionsFrom(*settings)),
      provisioner_(ports.cloud, &record_store_, &fleet_, &job_store_, ports.clock, term,
                   ProvisionerOptionsFrom(*settings)),
      // Two rows of hints share a page.
      hints_(&record_store_, &job_store_, &fleet_,
             StoreLimitsFrom(*settings).fill_bytes / 2 - kPageOverheadBytes),
      free_capacity_(&job_store_, &fleet_, &provisioner_, &record_store_, ports.clock, settings,
                     tuning),
      ranking_(&job_store_, &free_capacity_, ports.clock, tuning),
      gang_supervisor_(&job_store_, &fleet_, &ranking_, ports.clock, settings),
      ledger_(&job_store_, &fleet_, ports.clock, HeartbeatOverdueSeconds(*settings)),
      drainer_({&job_store_, &fleet_, &free_capacity_, &provisioner_, &gang_supervisor_,
                &record_store_, &ledger_, ports.clock}),
      placer_(&job_store_, &fleet_, &free_capacity_, &ranking_, &provisioner_, &ledger_,
              ports.clock, tuning),
      autoscaler_(&job_store_, &fleet_, &free_capacity_, &ranking_, &provisioner_, &ledger_,
                  &drainer_, ports.clock, settings, tuning),
      admission_control_(&job_store_, &provisioner_, ports.clock, settings),
      job_request_handler_({.job_store = &job_store_,
                            .fleet = &fleet_,
                            .record_store = &record_store_,
                            .provisioner = &provisioner_,
                            .free_capacity = &free_capacity_,
                            .ranking = &ranking_,
                            .admission_control = &admission_control_,
                            .lease = ports.lease,
                            .clock = ports.clock}),
      command_budget_(
          MessagesPerSecond(*settings, *tuning) * tuning->command_share,
          std::max(20.0, MessagesPerSecond(*settings, *tuning) * tuning->command_share / 4)),
      probe_budget_(
          MessagesPerSecond(*settings, *tuning) * tuning->probe_share,
          std::max(20.0, MessagesPerSecond(*settings, *tuning) * tuning->probe_share * 2)) {
  for (const std::string& z : settings->zones) job_store_.zones.Add(z);
  for (const Team& candidate : settings->teams) job_store_.teams.Add(candidate.name);
  record_store_.on_commit = [this] { job_request_handler_.HandleCommit(); };
  record_store_.on_leadership_lost = [this] {
    if (on_leadership_lost) on_leadership_lost("a write met another term");
  };
  fleet_.on_attempt_exited = [this](MachineIndex machine_index, const TaskAttempt& attempt) {
    HandleAttemptExit(machine_index, attempt);
  };
  fleet_.on_machine_reconciled = [this] { release_unreconciled_ = true; };
  fleet_.observer = &ledger_;
  job_store_.on_lifecycle_change = [this](JobIndex job_index) { ledger_.JobChanged(job_index); };
  placer_.on_refreshed = [this] { drainer_.PlaceReplacements(); };
}

void Leader::Start() {
  term_began_at_ = ports_.clock->Now();
  Load();
}

void Leader::Load() {
  loading_ = true;
  record_store_.Load([this](bool ok, const std::vector<std::pair<RecordId, std::string>>& rows) {
    loading_ = false;
    if (retired_) return;
    if (!ok) {
      load_not_before_ = ports_.clock->Now() + 0.2;
      return;
    }
    if (record_store_.unreadable_pages() > 0 && ++load_attempts_ < kMaxLoadAttempts) {
      // Perhaps it was only the answer.
      load_not_before_ = ports_.clock->Now() + 0.2;
      return;
    }
    HandleLoadedRecords(rows);
  });
}

void Leader::HandleLoadedRecords(const std::vector<std::pair<RecordId, std::string>>& rows) {
  for (const auto& [id, text] : rows) {
    if (provisioner_.LoadRecord(id, text) || hints_.LoadRecord(id, text) ||
        drainer_.LoadRecord(id, text)) {
      continue;
    }
    if (!job_store_.LoadRecord(id, text)) spdlog::error("a stored row is not understood: {}", text);
  }
  const double now = ports_.clock->Now();
  job_store_.FinishLoad(now, ports_.clock->Wall());
  hints_.FinishLoad();
  drainer_.FinishLoad();
  record_store_.SplitLargePages();
  for (JobIndex job_index : job_store_.active_jobs()) {
    Job& job = job_store_[job_index];
    job.remaining_core_seconds = job.stored_remaining_core_seconds >= 0
                                     ? job.stored_remaining_core_seconds
                                     : ranking_.RemainingCoreSeconds(job);
  }
  for (MachineIndex machine_index : fleet_.active()) fleet_.MarkChanged(machine_index);
  loaded_ = release_unreconciled_ = true;
  ApplyDisruptionPolicy(policy_, policy_confirmed_);
  next_save_ = now + tuning_->progress_save_s;
  next_hints_ = now + kHintsPerProgressSave * tuning_->progress_save_s;
  provisioner_.Start();
  spdlog::info("term {}: {} live jobs, {} machines to account for, {} rows", term_,
               job_store_.active_jobs().size(), fleet_.CountUnreconciled(), rows.size());
  Tick();
}

void Leader::ApplyDisruptionPolicy(std::shared_ptr<const DisruptionPolicy> policy, bool confirmed) {
  policy_ = std::move(policy);
  policy_confirmed_ = confirmed;
  // Drains go on from their rows, and replicas are counted from what is stored.
  if (!loaded_) return;
  ledger_.ApplyPolicy(policy_, confirmed);
  drainer_.ApplyPolicy(policy_, confirmed);
}

double Leader::HeartbeatGraceEnd() const {
  // Counted from when the last good renewal was sent, or from when all others
  // last said that they know of no later term: in an outage of the state service
  // that reaches everybody, nobody can follow us, and tasks stay up.
  double since = ports_.lease->LeaseValidUntil() - tuning_->lease_ms / 1000.0;
  if (ports_.no_later_term_since) since = std::max(since, ports_.no_later_term_since(term_));
  return since + GracePeriodSeconds(*settings_);
}

void Leader::HandleJobRequest(const JobRequest& request, JobResponseCallback done) {
  if (!loaded_) {
    done(UnavailableResponse("taking over"));
    return;
  }
  job_request_handler_.HandleJobRequest(request, std::move(done));
}

void Leader::SaveRankingProgress() {
  for (JobIndex job_index : job_store_.active_jobs()) {
    Job& job = job_store_[job_index];
    if (job.spec.service || !job.acknowledged) continue;
    if (job.stored_remaining_core_seconds >= 0 &&
        std::abs(job.remaining_core_seconds - job.stored_remaining_core_seconds) <
            0.1 * job.stored_remaining_core_seconds + 1) {
      continue;
    }
    job.stored_remaining_core_seconds = job.remaining_core_seconds;
    job_store_.Save(job_index, WritePriority::kBackground);
  }
}

void Leader::CollectEndedJobs() {
  const double now = ports_.clock->Now();
  const double keep = settings_->cancel_s + settings_->lease_s + GracePeriodSeconds(*settings_);
  const std::vector<JobIndex> ended_jobs = job_store_.ended_jobs();
  for (JobIndex job_index : ended_jobs) {
    Job& job = job_store_[job_index];
    if (now - job.ended_at < keep || job.tasks_unreconciled > 0 || !job.end_acknowledged) continue;
    if (job.attempt_count == 0) job_store_.DropSpec(job_index);
  }
}

void Leader::Retire() {
  retired_ = true;
  loaded_ = false;
  record_store_.Stop();
  job_request_handler_.FailPending("another node leads");
}

void Leader::Tick() {
  const double now = ports_.clock->Now();
  if (retired_) return;
  if (!loaded_) {
    if (!loading_ && now >= load_not_before_) Load();
    return;
  }
  const bool trusted = ports_.lease->IsLeaseValid();
  if (!trusted) {
    // What can't be made durable now is answered now; the user comes again.
    job_request_handler_.FailPending("the state service does not answer");
    record_store_.Flush();
    return;
  }
  if (now >= next_liveness_check_) {
    next_liveness_check_ = now + kLivenessCheckIntervalSeconds;
    CheckLiveness();
  }
  if (release_unreconciled_ && now >= next_release_) {
    release_unreconciled_ = false;
    next_release_ = now + 0.1;
    ReleaseUnreconciledTasks();
  }
  // Changes are gathered for a moment, the longer the larger the fleet.
  const auto machines = static_cast<double>(fleet_.active().size());
  if ((fleet_.placement_needed && now >= placement_not_before_) || now >= next_placement_) {
    fleet_.placement_needed = false;
    next_placement_ = now + 0.5;
    placement_not_before_ =
        now + std::min(kMaxPlacementGapSeconds,
                       kPlacementGapSeconds + kPlacementGapPerMachineSeconds * machines);
    placer_.PlaceWaitingTasks();
  }
  MachineIndex changed = 0;
  while (command_budget_.Level(now) >= 1 && fleet_.PopChanged(&changed)) PushCommands(changed);
  if (now >= next_plan_) {
    next_plan_ = now + tuning_->autoscale_interval_s;
    autoscaler_.Plan();
  }
  provisioner_.Tick(true);
  if (now >= next_save_) {
    next_save_ = now + tuning_->progress_save_s;
    SaveRankingProgress();
  }
  if (now >= next_hints_) {
    next_hints_ = now + kHintsPerProgressSave * tuning_->progress_save_s;
    hints_.Save();
  }
  record_store_.Flush();
}

}  // namespace deckhall
