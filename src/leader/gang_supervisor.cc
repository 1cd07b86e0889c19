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

void GangSupervisor::ForEachAttempt(JobIndex j, const Visit& visit) {
  std::vector<uint32_t> machines = (*job_store_)[j].machines;
  std::sort(machines.begin(), machines.end());
  machines.erase(std::unique(machines.begin(), machines.end()), machines.end());
  for (MachineIndex mi : machines) {
    for (TaskAttempt& slot : (*fleet_)[mi].attempts) {
      if (slot.job == j && !slot.released) visit(mi, &slot);
    }
  }
}

GangSupervisor::Attempt GangSupervisor::ObserveAttempt(JobIndex j) {
  Attempt attempt;
  ForEachAttempt(j, [&attempt](MachineIndex, TaskAttempt* slot) {
    if (slot->wanted) attempt.number = std::max(attempt.number, slot->number);
  });
  ForEachAttempt(j, [&attempt](MachineIndex, TaskAttempt* slot) {
    if (slot->number != attempt.number) return;
    attempt.checkpointing = attempt.checkpointing || slot->state == TaskState::kCheckpointing;
    if (slot->running_since < 0) return;
    attempt.running_since = std::max(attempt.running_since, slot->running_since);
  });
  attempt.started = attempt.running_since >= 0 || attempt.checkpointing;
  return attempt;
}

void GangSupervisor::HandleTaskExit(const TaskAttempt& slot) {
  Job& job = (*job_store_)[slot.job];
  if (!job.spec.gang || slot.number != job.gang_attempt) return;
  switch (slot.exit_reason) {
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

void GangSupervisor::StopAttempts(JobIndex j, double grace_s, const char* why) {
  size_t stopped = 0;
  ForEachAttempt(j, [this, grace_s, &stopped](MachineIndex mi, TaskAttempt* slot) {
    if (!slot->wanted) return;
    fleet_->RequestStop(mi, slot, grace_s);
    ++stopped;
  });
  if (stopped == 0) return;
  fleet_->placement_needed = true;
  spdlog::info("stopping {} tasks of gang {}: {}", stopped, (*job_store_)[j].id, why);
}

bool GangSupervisor::IsTooLateToComplete(const Job& job) const {
  const double now = clock_->Now();
  return now - job.waiting_since > kReplaceWithin ||
         now - job.gang_waiting_since > settings_->gang_wait_s - kLeastToGather;
}

void GangSupervisor::CheckGang(JobIndex j) {
  Job& job = (*job_store_)[j];
  const Attempt attempt = ObserveAttempt(j);
  if (attempt.number == 0) return;
  if (attempt.number != job.gang_attempt) {
    // Started by an earlier leader.
    job.gang_attempt = attempt.number;
    job.gang_waiting_since = clock_->Now();
    job.gang_started = job.gang_broken = false;
  }
  job.gang_started = job.gang_started || attempt.started;
  ForEachAttempt(j, [this, &attempt](MachineIndex mi, TaskAttempt* slot) {
    // What is left of an attempt before never comes together again.
    if (slot->wanted && slot->number != attempt.number) fleet_->RequestStop(mi, slot, 0);
  });
  if (attempt.checkpointing) {
    // A stop that an earlier leader did not finish: all tasks must be told soon.
    StopAttempts(j, job.spec.checkpoint_grace_s + kSaveMargin, "others of them save already");
  } else if (job.gang_broken || (job.gang_started && !job.waiting_tasks.empty())) {
    // They would notice it later and end all the same.
    StopAttempts(j, 0, "a task of the gang is gone");
  } else if (!job.waiting_tasks.empty() && IsTooLateToComplete(job)) {
    StopAttempts(j, 0, "no room for a lost task in time");
  }
}

void GangSupervisor::CheckGangs() {
  for (JobIndex j : job_store_->active_jobs()) {
    const Job& job = (*job_store_)[j];
    if (job.spec.gang && job.tasks_placed > 0) CheckGang(j);
  }
}

bool GangSupervisor::CanCheckpoint(const JobSpec& spec) const {
  return spec.checkpoint_interval_s > 0 &&
         spec.checkpoint_grace_s + kSaveMargin <= settings_->gang_loss_detection_s;
}

void GangSupervisor::StopGang(JobIndex j, const char* why) {
  const JobSpec& spec = (*job_store_)[j].spec;
  StopAttempts(j, CanCheckpoint(spec) ? spec.checkpoint_grace_s + kSaveMargin : 0, why);
}

void GangSupervisor::HandlePreemptionNotice(MachineIndex mi, TaskAttempt* slot,
                                            double seconds_left) {
  const JobIndex j = slot->job;
  const Job& job = (*job_store_)[j];
  const Attempt attempt = ObserveAttempt(j);
  if (!job.gang_started) {
    // It is replaced while the others gather.
    fleet_->RequestStop(mi, slot, 0);
    return;
  }
  const double sure = seconds_left * kSurePartOfNotice;
  const double ran = attempt.running_since < 0 ? 0 : clock_->Now() - attempt.running_since;
  if (ranking_->ExpectedTaskSeconds(job) - ran < sure) return;
  const bool saves = CanCheckpoint(job.spec) && job.spec.checkpoint_grace_s + kSaveMargin < sure;
  // Without time to save the progress since the last checkpoint is lost either way: the
  // next attempt rather starts now.
  StopAttempts(j, saves ? job.spec.checkpoint_grace_s + kSaveMargin : 0,
               "the cloud takes one of its machines");
}

}  // namespace deckhall
