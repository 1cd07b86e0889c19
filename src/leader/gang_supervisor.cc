#include "leader/gang_supervisor.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace deckhall {
namespace {

// If a lost task isn't replaced within this time, the attempt is stopped, since it occupies
// machines while it waits.
constexpr double kReplaceWithinSeconds = 5;
// Minimum time of Settings::gang_wait_s that must be left for a replacement to start.
constexpr double kMinStartSeconds = 5;
// The cloud may reclaim a machine after half of the announced notice.
constexpr double kGuaranteedNoticeShare = 0.5;
// Added to the checkpoint grace period, so that the stop command reaches every task.
constexpr double kCheckpointMarginSeconds = 1;

}  // namespace

GangSupervisor::GangSupervisor(JobStore* job_store, Fleet* fleet, const Ranking* ranking,
                               const Clock* clock, const Settings* settings)
    : job_store_(job_store), fleet_(fleet), ranking_(ranking), clock_(clock), settings_(settings) {}

void GangSupervisor::ForEachAttempt(JobIndex job_index, const AttemptVisitor& visit) {
  std::vector<uint32_t> machines = (*job_store_)[job_index].machines;
  std::sort(machines.begin(), machines.end());
  machines.erase(std::unique(machines.begin(), machines.end()), machines.end());
  for (MachineIndex machine_index : machines) {
    for (TaskAttempt& attempt : (*fleet_)[machine_index].attempts) {
      if (attempt.job == job_index && !attempt.released) visit(machine_index, &attempt);
    }
  }
}

GangSupervisor::GangAttempt GangSupervisor::ObserveAttempt(JobIndex job_index) {
  GangAttempt gang_attempt;
  ForEachAttempt(job_index, [&gang_attempt](MachineIndex, TaskAttempt* attempt) {
    if (attempt->wanted) gang_attempt.number = std::max(gang_attempt.number, attempt->number);
  });
  ForEachAttempt(job_index, [&gang_attempt](MachineIndex, TaskAttempt* attempt) {
    if (attempt->number != gang_attempt.number) return;
    gang_attempt.checkpointing =
        gang_attempt.checkpointing || attempt->state == TaskState::kCheckpointing;
    if (attempt->running_since < 0) return;
    gang_attempt.running_since = std::max(gang_attempt.running_since, attempt->running_since);
  });
  gang_attempt.started = gang_attempt.running_since >= 0 || gang_attempt.checkpointing;
  return gang_attempt;
}

void GangSupervisor::HandleTaskExit(const TaskAttempt& attempt) {
  Job& job = (*job_store_)[attempt.job];
  if (!job.spec.gang || attempt.number != job.gang_attempt) return;
  switch (attempt.exit_reason) {
    // The task was refused before it started, so another machine may run it; or it completed.
    case ExitReason::kInsufficientCapacity:
    case ExitReason::kAttemptConflict:
    case ExitReason::kUnknownTask:
    case ExitReason::kDone:
      return;
    default:
      job.gang_broken = true;
  }
}

void GangSupervisor::StopAttempts(JobIndex job_index, double grace_period_s, const char* reason) {
  size_t stopped = 0;
  ForEachAttempt(job_index, [this, grace_period_s, &stopped](MachineIndex machine_index,
                                                             TaskAttempt* attempt) {
    if (!attempt->wanted) return;
    fleet_->RequestStop(machine_index, attempt, grace_period_s);
    ++stopped;
  });
  if (stopped == 0) return;
  fleet_->placement_needed = true;
  spdlog::info("job={} tasks={}: gang stopped: {}", (*job_store_)[job_index].id, stopped, reason);
}

void GangSupervisor::StopEarlierAttempts(JobIndex job_index, uint64_t current_attempt) {
  ForEachAttempt(job_index,
                 [this, current_attempt](MachineIndex machine_index, TaskAttempt* attempt) {
                   if (!attempt->wanted || attempt->number == current_attempt) return;
                   fleet_->RequestStop(machine_index, attempt, 0);
                 });
}

bool GangSupervisor::IsTooLateToComplete(const Job& job) const {
  const double now = clock_->Now();
  return now - job.waiting_since > kReplaceWithinSeconds ||
         now - job.gang_waiting_since > settings_->gang_wait_s - kMinStartSeconds;
}

void GangSupervisor::CheckGang(JobIndex job_index) {
  Job& job = (*job_store_)[job_index];
  const GangAttempt gang_attempt = ObserveAttempt(job_index);
  if (gang_attempt.number == 0) return;
  if (gang_attempt.number != job.gang_attempt) {
    // The attempt was started by an earlier leader.
    job.gang_attempt = gang_attempt.number;
    job.gang_waiting_since = clock_->Now();
    job.gang_started = job.gang_broken = false;
  }
  job.gang_started = job.gang_started || gang_attempt.started;
  StopEarlierAttempts(job_index, gang_attempt.number);
  if (gang_attempt.checkpointing) {
    // An earlier leader may not have sent the stop to all tasks.
    StopAttempts(job_index, job.spec.checkpoint_grace_s + kCheckpointMarginSeconds,
                 "some of its tasks are already writing checkpoints");
  } else if (job.gang_broken || (job.gang_started && !job.waiting_tasks.empty())) {
    StopAttempts(job_index, 0, "a task was lost");
  } else if (!job.waiting_tasks.empty() && IsTooLateToComplete(job)) {
    StopAttempts(job_index, 0, "a lost task could not be replaced in time");
  }
}

void GangSupervisor::CheckGangs() {
  for (JobIndex job_index : job_store_->active_jobs()) {
    const Job& job = (*job_store_)[job_index];
    if (job.spec.gang && job.tasks_placed > 0) CheckGang(job_index);
  }
}

bool GangSupervisor::CanCheckpoint(const JobSpec& spec) const {
  return spec.checkpoint_interval_s > 0 &&
         spec.checkpoint_grace_s + kCheckpointMarginSeconds <= settings_->gang_loss_detection_s;
}

void GangSupervisor::StopGang(JobIndex job_index, const char* reason) {
  const JobSpec& spec = (*job_store_)[job_index].spec;
  StopAttempts(job_index,
               CanCheckpoint(spec) ? spec.checkpoint_grace_s + kCheckpointMarginSeconds : 0,
               reason);
}

void GangSupervisor::HandlePreemptionNotice(MachineIndex machine_index, TaskAttempt* attempt,
                                            double seconds_left) {
  const JobIndex job_index = attempt->job;
  const Job& job = (*job_store_)[job_index];
  const GangAttempt gang_attempt = ObserveAttempt(job_index);
  if (!job.gang_started) {
    // This task is replaced while the others wait for it.
    fleet_->RequestStop(machine_index, attempt, 0);
    return;
  }
  const double guaranteed_notice_s = seconds_left * kGuaranteedNoticeShare;
  const double run_s =
      gang_attempt.running_since < 0 ? 0 : clock_->Now() - gang_attempt.running_since;
  if (ranking_->ExpectedTaskSeconds(job) - run_s < guaranteed_notice_s) return;
  const double checkpoint_s = job.spec.checkpoint_grace_s + kCheckpointMarginSeconds;
  const bool checkpoints = CanCheckpoint(job.spec) && checkpoint_s < guaranteed_notice_s;
  // If there is no time for a checkpoint, the work since the last one is lost in any case; an
  // immediate stop lets the next attempt start sooner.
  StopAttempts(job_index, checkpoints ? checkpoint_s : 0,
               "preemption notice for one of its machines");
}

}  // namespace deckhall
