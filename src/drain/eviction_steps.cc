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

TaskAttempt* EvictionController::FindEvictedAttempt(const Eviction& eviction) {
  if (eviction.from == kNoIndex) return nullptr;
  return fleet_->FindAttempt(eviction.from, eviction.job, eviction.task_index,
                             eviction.attempt_number);
}

void EvictionController::ReservePlace(Eviction* eviction, MachineIndex place) {
  eviction->replacement_machine = place;
  free_capacity_->ReserveResources(place, (*job_store_)[eviction->job]);
}

void EvictionController::ReleasePlace(Eviction* eviction) {
  if (eviction->replacement_machine == kNoIndex) return;
  free_capacity_->ReleaseReservation(eviction->replacement_machine, (*job_store_)[eviction->job]);
  eviction->replacement_machine = kNoIndex;
  fleet_->placement_needed = true;
}

void EvictionController::AdvanceEvictions() {
  eviction_tracker_.RemoveIf([this](Eviction* eviction) {
    if (Advance(eviction)) return false;
    ledger_->ReleaseDisruption(eviction->job, eviction->task_index);
    ReleasePlace(eviction);
    return true;
  });
}

bool EvictionController::Advance(Eviction* eviction) {
  ++examined_;
  if ((*job_store_)[eviction->job].lifecycle != JobLifecycle::kActive) return false;
  switch (eviction->phase) {
    case EvictionPhase::kAdopted:
      return AdvanceAdopted(eviction);
    case EvictionPhase::kRecording:
      return AdvanceRecording(eviction);
    case EvictionPhase::kStopping: {
      const TaskAttempt* attempt = FindEvictedAttempt(*eviction);
      if (attempt != nullptr && !attempt->released) return true;
      eviction_tracker_.SetPhase(eviction, EvictionPhase::kReplacing);
      fleet_->placement_needed = true;
      return true;
    }
    case EvictionPhase::kReplacing:
      return AdvanceReplacing(eviction);
  }
  return false;
}

bool EvictionController::AdvanceAdopted(Eviction* eviction) {
  const Task& task = (*job_store_)[eviction->job].tasks[eviction->task_index];
  if (task.phase == TaskPhase::kUnreconciled) return true;
  const TaskAttempt* attempt = FindEvictedAttempt(*eviction);
  if (attempt != nullptr && !attempt->released && attempt->wanted) {
    // The stop never came, nor can it any more: the machine has shown this term's token.
    spdlog::info("task={} machine={}: eviction of the former leader was not carried out",
                 attempt->task_name, (*fleet_)[eviction->from].name);
    return false;
  }
  eviction_tracker_.SetPhase(eviction, EvictionPhase::kReplacing);
  return true;
}

bool EvictionController::AdvanceRecording(Eviction* eviction) {
  const TaskAttempt* attempt = FindEvictedAttempt(*eviction);
  // It ended by itself, or was stopped for another reason.
  if (attempt == nullptr || attempt->released || !attempt->wanted) return false;
  if (!eviction_tracker_.Durable(*eviction))
    return clock_->Now() - eviction->phase_since < kRecordWithin;
  return StopReplica(eviction);
}

bool EvictionController::StopReplica(Eviction* eviction) {
  TaskAttempt* attempt = FindEvictedAttempt(*eviction);
  const Job& job = (*job_store_)[eviction->job];
  // Since the choice machines may have been lost, the budget lowered, or the place taken.
  if (!InForce(eviction->drain) || ledger_->BudgetViolation(eviction->job)) return false;
  if (!free_capacity_->Current(eviction->replacement_machine).usable) return false;
  spdlog::info("drain={} task={} machine={} replacement_machine={}: eviction started",
               eviction->drain, attempt->task_name, (*fleet_)[eviction->from].name,
               (*fleet_)[eviction->replacement_machine].name);
  fleet_->RequestStop(eviction->from, attempt, GracePeriodOf(job));
  fleet_->placement_needed = true;
  // From here on it counts as what it is: down until its replacement is healthy.
  ledger_->ReleaseDisruption(eviction->job, eviction->task_index);
  eviction_tracker_.SetPhase(eviction, EvictionPhase::kStopping);
  return true;
}

double EvictionController::ReplacementTimeout(const Eviction& eviction) const {
  const double within = policy_ != nullptr ? policy_->times.replace_within_s : 0;
  return within * static_cast<double>(1U << std::min(eviction.tries, 16U));
}

bool EvictionController::AdvanceReplacing(Eviction* eviction) {
  if (ledger_->IsAvailable(eviction->job, eviction->task_index)) {
    if (Drain* drain = Find(eviction->drain)) ++drain->progress.replicas_moved;
    RecordProgress(eviction->drain);
    backoffs_.erase(eviction->job);
    return false;
  }
  if (policy_ == nullptr) return false;
  if (clock_->Now() - eviction->phase_since < ReplacementTimeout(*eviction)) return true;
  return TryElsewhere(eviction);
}

bool EvictionController::TryElsewhere(Eviction* eviction) {
  Job& job = (*job_store_)[eviction->job];
  const Task& task = job.tasks[eviction->task_index];
  ++eviction->tries;
  eviction->phase_since = clock_->Now();
  ReleasePlace(eviction);
  if (eviction->tries >= policy_->times.replacement_tries) {
    Backoff& pause = backoffs_[eviction->job];
    pause.seconds = std::clamp(pause.seconds * 2, kFirstPause, kLongestPause);
    pause.until = clock_->Now() + pause.seconds;
    if (Drain* drain = Find(eviction->drain)) ++drain->progress.steps_given_up;
    spdlog::warn("drain={} task={}/{}: replacement does not become healthy, eviction given up",
                 eviction->drain, job.id, eviction->task_index);
    return false;
  }
  if (task.phase != TaskPhase::kPlaced) return true;
  TaskAttempt* attempt =
      fleet_->FindAttempt(task.machine, eviction->job, eviction->task_index, task.attempt);
  if (attempt == nullptr || attempt->running_since >= 0) return true;
  spdlog::warn("drain={} task={} machine={}: replacement does not start, another machine is tried",
               eviction->drain, attempt->task_name, (*fleet_)[task.machine].name);
  if (std::find(job.failed_machines.begin(), job.failed_machines.end(), task.machine) ==
      job.failed_machines.end()) {
    job.failed_machines.push_back(task.machine);
  }
  fleet_->RequestStop(task.machine, attempt, 0);
  fleet_->placement_needed = true;
  const ReplacementFinder::Result other = places_.Find(eviction->job, task.machine, true);
  if (!other.blocked) ReservePlace(eviction, other.machine);
  return true;
}

void EvictionController::PlaceReplacements() {
  for (Eviction& eviction : eviction_tracker_.evictions()) {
    if (eviction.phase != EvictionPhase::kReplacing || eviction.replacement_machine == kNoIndex)
      continue;
    const MachineIndex place = eviction.replacement_machine;
    const Job& job = (*job_store_)[eviction.job];
    const Task& task = job.tasks[eviction.task_index];
    if (task.phase == TaskPhase::kPlaced) {
      const TaskAttempt* attempt =
          fleet_->FindAttempt(task.machine, eviction.job, eviction.task_index, task.attempt);
      // The attempt before is still on its way out.
      if (attempt != nullptr && !attempt->wanted) continue;
    }
    ReleasePlace(&eviction);
    if (task.phase != TaskPhase::kWaiting || job.lifecycle != JobLifecycle::kActive) continue;
    if (clock_->Now() < job.backoff_until || !free_capacity_->HasTeamQuota(job)) continue;
    if (!places_.StillFits(eviction.job, place)) continue;
    fleet_->PlaceTask(place, eviction.job, eviction.task_index, fleet_->NewAttemptNumber());
    free_capacity_->Allocate(job, place);
    (*fleet_)[place].idle_since = -1;
  }
}

}  // namespace deckhall
