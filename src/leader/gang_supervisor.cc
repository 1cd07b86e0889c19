#include "leader/gang_supervisor.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace deckhall {
namespace {

// A lost task of a gathering gang is replaced within this time, or the attempt is given up:
// it holds places meanwhile.
constexpr double kReplaceWithin = 5;
// Of the gathering time, what a replacement needs at least to get there.
constexpr double kLeastToGather = 5;
// A notice may be half as long as it says.
constexpr double kSurePartOfNotice = 0.5;
// Beyond the time to save, so that the stop has reached every task.
constexpr double kSaveMargin = 1;

}  // namespace

GangSupervisor::GangSupervisor(JobStore* job_store, Fleet* fleet, const Ranking* ranking,
                               const Clock* clock, const Settings* settings)
    : job_store_(job_store), fleet_(fleet), ranking_(ranking), clock_(clock), settings_(settings) {}

void GangSupervisor::ForEachAttempt(JobIndex job_index, const Visit& visit) {
  std::vector<uint32_t> machines = (*job_store_)[job_index].machines;
  std::sort(machines.begin(), machines.end());
  machines.erase(std::unique(machines.begin(), machines.end()), machines.end());
  for (MachineIndex machine_index : machines) {
    for (TaskAttempt& attempt : (*fleet_)[machine_index].attempts) {
      if (attempt.job == job_index && !attempt.released) visit(machine_index, &attempt);
    }
  }
}

GangSupervisor::Attempt GangSupervisor::ObserveAttempt(JobIndex job_index) {
  Attempt gang_attempt;
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
    // Refused before it was there: another machine may take it.
    case ExitReason::kNoRoom:
    case ExitReason::kInUse:
    case ExitReason::kUnknown:
    case ExitReason::kDone:
      return;
    default:
      job.gang_broken = true;
  }
}

void GangSupervisor::StopAttempts(JobIndex job_index, double grace_s, const char* why) {
  size_t stopped = 0;
  ForEachAttempt(job_index,
                 [this, grace_s, &stopped](MachineIndex machine_index, TaskAttempt* attempt) {
                   if (!attempt->wanted) return;
                   fleet_->RequestStop(machine_index, attempt, grace_s);
                   ++stopped;
                 });
  if (stopped == 0) return;
  fleet_->placement_needed = true;
  spdlog::info("stopping {} tasks of gang {}: {}", stopped, (*job_store_)[job_index].id, why);
}

bool GangSupervisor::IsTooLateToComplete(const Job& job) const {
  const double now = clock_->Now();
  return now - job.waiting_since > kReplaceWithin ||
         now - job.gang_waiting_since > settings_->gang_wait_s - kLeastToGather;
}

void GangSupervisor::CheckGang(JobIndex job_index) {
  Job& job = (*job_store_)[job_index];
  const Attempt gang_attempt = ObserveAttempt(job_index);
  if (gang_attempt.number == 0) return;
  if (gang_attempt.number != job.gang_attempt) {
    // Started by an earlier leader.
    job.gang_attempt = gang_attempt.number;
    job.gang_waiting_since = clock_->Now();
    job.gang_started = job.gang_broken = false;
  }
  job.gang_started = job.gang_started || gang_attempt.started;
  ForEachAttempt(job_index,
                 [this, &gang_attempt](MachineIndex machine_index, TaskAttempt* attempt) {
                   // What is left of an attempt before never comes together again.
                   if (attempt->wanted && attempt->number != gang_attempt.number)
                     fleet_->RequestStop(machine_index, attempt, 0);
                 });
  if (gang_attempt.checkpointing) {
    // A stop that an earlier leader did not finish: all tasks must be told soon.
    StopAttempts(job_index, job.spec.checkpoint_grace_s + kSaveMargin,
                 "others of them save already");
  } else if (job.gang_broken || (job.gang_started && !job.waiting_tasks.empty())) {
    // They would notice it later and end all the same.
    StopAttempts(job_index, 0, "a task of the gang is gone");
  } else if (!job.waiting_tasks.empty() && IsTooLateToComplete(job)) {
    StopAttempts(job_index, 0, "no room for a lost task in time");
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
         spec.checkpoint_grace_s + kSaveMargin <= settings_->gang_loss_detection_s;
}

void GangSupervisor::StopGang(JobIndex job_index, const char* why) {
  const JobSpec& spec = (*job_store_)[job_index].spec;
  StopAttempts(job_index, CanCheckpoint(spec) ? spec.checkpoint_grace_s + kSaveMargin : 0, why);
}

void GangSupervisor::HandlePreemptionNotice(MachineIndex machine_index, TaskAttempt* attempt,
                                            double seconds_left) {
  const JobIndex job_index = attempt->job;
  const Job& job = (*job_store_)[job_index];
  const Attempt gang_attempt = ObserveAttempt(job_index);
  if (!job.gang_started) {
    // It is replaced while the others gather.
    fleet_->RequestStop(machine_index, attempt, 0);
    return;
  }
  const double sure = seconds_left * kSurePartOfNotice;
  const double ran =
      gang_attempt.running_since < 0 ? 0 : clock_->Now() - gang_attempt.running_since;
  if (ranking_->ExpectedTaskSeconds(job) - ran < sure) return;
  const bool saves = CanCheckpoint(job.spec) && job.spec.checkpoint_grace_s + kSaveMargin < sure;
  // Without time to save the progress since the last checkpoint is lost either way: the
  // next attempt rather starts now.
  StopAttempts(job_index, saves ? job.spec.checkpoint_grace_s + kSaveMargin : 0,
               "the cloud takes one of its machines");
}

}  // namespace deckhall
