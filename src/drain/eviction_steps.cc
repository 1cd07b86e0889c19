// The steps of drains that are in flight: from the choice of a replica to a healthy replacement.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "drain/eviction_controller.h"

namespace deckhall {
namespace {

// A step that is not durable within so many seconds is not taken.
constexpr double kRecordWithin = 10;
constexpr double kFirstPause = 60;
constexpr double kLongestPause = 3600;
// Beyond the time to save, so that the stop has reached the task.
constexpr double kSaveMargin = 1;

}  // namespace

double EvictionController::GracePeriodOf(const Job& job) {
  return job.spec.checkpoint_interval_s > 0 ? job.spec.checkpoint_grace_s + kSaveMargin : 0;
}

TaskAttempt* EvictionController::FindEvictedAttempt(const Eviction& step) {
  if (step.from == kNoIndex) return nullptr;
  return fleet_->FindAttempt(step.from, step.job, step.task_index, step.attempt_number);
}

void EvictionController::ReservePlace(Eviction* step, MachineIndex place) {
  step->replacement_machine = place;
  free_capacity_->ReserveRoom(place, (*job_store_)[step->job]);
}

void EvictionController::ReleasePlace(Eviction* step) {
  if (step->replacement_machine == kNoIndex) return;
  free_capacity_->ReleaseRoom(step->replacement_machine, (*job_store_)[step->job]);
  step->replacement_machine = kNoIndex;
  fleet_->placement_needed = true;
}

void EvictionController::AdvanceEvictions() {
  eviction_tracker_.RemoveIf([this](Eviction* step) {
    if (Advance(step)) return false;
    ledger_->ReleaseDisruption(step->job, step->task_index);
    ReleasePlace(step);
    return true;
  });
}

bool EvictionController::Advance(Eviction* step) {
  ++examined_;
  if ((*job_store_)[step->job].lifecycle != JobLifecycle::kActive) return false;
  switch (step->phase) {
    case EvictionPhase::kAdopted:
      return AdvanceAdopted(step);
    case EvictionPhase::kRecording:
      return AdvanceRecording(step);
    case EvictionPhase::kStopping: {
      const TaskAttempt* slot = FindEvictedAttempt(*step);
      if (slot != nullptr && !slot->released) return true;
      eviction_tracker_.SetPhase(step, EvictionPhase::kReplacing);
      fleet_->placement_needed = true;
      return true;
    }
    case EvictionPhase::kReplacing:
      return AdvanceReplacing(step);
  }
  return false;
}

bool EvictionController::AdvanceAdopted(Eviction* step) {
  const Task& task = (*job_store_)[step->job].tasks[step->task_index];
  if (task.phase == TaskPhase::kUnreconciled) return true;
  const TaskAttempt* slot = FindEvictedAttempt(*step);
  if (slot != nullptr && !slot->released && slot->wanted) {
    // The stop never came, nor can it any more: the machine has shown this term's token.
    spdlog::info("{} still runs on {}: the step of the leader before was not carried out",
                 slot->task_name, (*fleet_)[step->from].name);
    return false;
  }
  eviction_tracker_.SetPhase(step, EvictionPhase::kReplacing);
  return true;
}

bool EvictionController::AdvanceRecording(Eviction* step) {
  const TaskAttempt* slot = FindEvictedAttempt(*step);
  // It ended by itself, or was stopped for another reason.
  if (slot == nullptr || slot->released || !slot->wanted) return false;
  if (!eviction_tracker_.Durable(*step)) return clock_->Now() - step->phase_since < kRecordWithin;
  return StopReplica(step);
}

bool EvictionController::StopReplica(Eviction* step) {
  TaskAttempt* slot = FindEvictedAttempt(*step);
  const Job& job = (*job_store_)[step->job];
  // Since the choice machines may have been lost, the budget lowered, or the place taken.
  if (!InForce(step->drain) || ledger_->BudgetViolation(step->job)) return false;
  if (!free_capacity_->Current(step->replacement_machine).usable) return false;
  spdlog::info("drain {}: moving {} off {}, to {}", step->drain, slot->task_name,
               (*fleet_)[step->from].name, (*fleet_)[step->replacement_machine].name);
  fleet_->RequestStop(step->from, slot, GracePeriodOf(job));
  fleet_->placement_needed = true;
  // From here on it counts as what it is: down until its replacement is healthy.
  ledger_->ReleaseDisruption(step->job, step->task_index);
  eviction_tracker_.SetPhase(step, EvictionPhase::kStopping);
  return true;
}

double EvictionController::ReplacementTimeout(const Eviction& step) const {
  const double within = policy_ != nullptr ? policy_->times.replace_within_s : 0;
  return within * static_cast<double>(1U << std::min(step.tries, 16U));
}

bool EvictionController::AdvanceReplacing(Eviction* step) {
  if (ledger_->IsAvailable(step->job, step->task_index)) {
    if (Drain* drain = Find(step->drain)) ++drain->progress.replicas_moved;
    RecordProgress(step->drain);
    backoffs_.erase(step->job);
    return false;
  }
  if (policy_ == nullptr) return false;
  if (clock_->Now() - step->phase_since < ReplacementTimeout(*step)) return true;
  return TryElsewhere(step);
}

bool EvictionController::TryElsewhere(Eviction* step) {
  Job& job = (*job_store_)[step->job];
  const Task& task = job.tasks[step->task_index];
  ++step->tries;
  step->phase_since = clock_->Now();
  ReleasePlace(step);
  if (step->tries >= policy_->times.replacement_tries) {
    Backoff& pause = backoffs_[step->job];
    pause.seconds = std::clamp(pause.seconds * 2, kFirstPause, kLongestPause);
    pause.until = clock_->Now() + pause.seconds;
    if (Drain* drain = Find(step->drain)) ++drain->progress.steps_given_up;
    spdlog::warn("drain {}: the replacement of {}/{} does not become healthy; given up",
                 step->drain, job.id, step->task_index);
    return false;
  }
  if (task.phase != TaskPhase::kPlaced) return true;
  TaskAttempt* slot = fleet_->FindAttempt(task.machine, step->job, step->task_index, task.attempt);
  if (slot == nullptr || slot->running_since >= 0) return true;
  spdlog::warn("drain {}: {} does not start on {}; another machine is tried", step->drain,
               slot->task_name, (*fleet_)[task.machine].name);
  if (std::find(job.failed_machines.begin(), job.failed_machines.end(), task.machine) ==
      job.failed_machines.end()) {
    job.failed_machines.push_back(task.machine);
  }
  fleet_->RequestStop(task.machine, slot, 0);
  fleet_->placement_needed = true;
  const ReplacementFinder::Result other = places_.Find(step->job, task.machine, true);
  if (!other.blocked) ReservePlace(step, other.machine);
  return true;
}

void EvictionController::PlaceReplacements() {
  for (Eviction& step : eviction_tracker_.evictions()) {
    if (step.phase != EvictionPhase::kReplacing || step.replacement_machine == kNoIndex) continue;
    const MachineIndex place = step.replacement_machine;
    const Job& job = (*job_store_)[step.job];
    const Task& task = job.tasks[step.task_index];
    if (task.phase == TaskPhase::kPlaced) {
      const TaskAttempt* slot =
          fleet_->FindAttempt(task.machine, step.job, step.task_index, task.attempt);
      // The attempt before is still on its way out.
      if (slot != nullptr && !slot->wanted) continue;
    }
    ReleasePlace(&step);
    if (task.phase != TaskPhase::kWaiting || job.lifecycle != JobLifecycle::kActive) continue;
    if (clock_->Now() < job.backoff_until || !free_capacity_->HasTeamQuota(job)) continue;
    if (!places_.StillFits(step.job, place)) continue;
    fleet_->PlaceTask(place, step.job, step.task_index, fleet_->NewAttemptNumber());
    free_capacity_->Allocate(job, place);
    (*fleet_)[place].idle_since = -1;
  }
}

}  // namespace deckhall
