// The steps of drains that are in flight: from the choice of a replica to a healthy replacement.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "drain/drainer.h"

namespace deckhall {
namespace {

// A step that is not durable within so many seconds is not taken.
constexpr double kRecordWithin = 10;
constexpr double kFirstPause = 60;
constexpr double kLongestPause = 3600;
// Beyond the time to save, so that the stop has reached the task.
constexpr double kSaveMargin = 1;

}  // namespace

double Drainer::GraceOf(const Job& job) {
  return job.spec.checkpoint_interval_s > 0 ? job.spec.checkpoint_grace_s + kSaveMargin : 0;
}

TaskAttempt* Drainer::SlotOf(const DrainStep& step) {
  if (step.from == kNoIndex) return nullptr;
  return fleet_->FindAttempt(step.from, step.job, step.task, step.attempt);
}

void Drainer::HoldPlace(DrainStep* step, MachineIndex place) {
  step->place = place;
  free_capacity_->HoldRoom(place, (*job_store_)[step->job]);
}

void Drainer::ReleasePlace(DrainStep* step) {
  if (step->place == kNoIndex) return;
  free_capacity_->ReleaseRoom(step->place, (*job_store_)[step->job]);
  step->place = kNoIndex;
  fleet_->placement_needed = true;
}

void Drainer::AdvanceSteps() {
  step_book_.RemoveIf([this](DrainStep* step) {
    if (Advance(step)) return false;
    ledger_->Release(step->job, step->task);
    ReleasePlace(step);
    return true;
  });
}

bool Drainer::Advance(DrainStep* step) {
  ++looked_at_;
  if ((*job_store_)[step->job].lifecycle != JobLifecycle::kActive) return false;
  switch (step->phase) {
    case StepPhase::kAdopted:
      return AdvanceAdopted(step);
    case StepPhase::kRecording:
      return AdvanceRecording(step);
    case StepPhase::kStopping: {
      const TaskAttempt* slot = SlotOf(*step);
      if (slot != nullptr && !slot->released) return true;
      step_book_.SetPhase(step, StepPhase::kReplacing);
      fleet_->placement_needed = true;
      return true;
    }
    case StepPhase::kReplacing:
      return AdvanceReplacing(step);
  }
  return false;
}

bool Drainer::AdvanceAdopted(DrainStep* step) {
  const Task& task = (*job_store_)[step->job].tasks[step->task];
  if (task.phase == TaskPhase::kUnreconciled) return true;
  const TaskAttempt* slot = SlotOf(*step);
  if (slot != nullptr && !slot->released && slot->wanted) {
    // The stop never came, nor can it any more: the machine has shown this term's token.
    spdlog::info("{} still runs on {}: the step of the leader before was not carried out",
                 slot->task_name, (*fleet_)[step->from].name);
    return false;
  }
  step_book_.SetPhase(step, StepPhase::kReplacing);
  return true;
}

bool Drainer::AdvanceRecording(DrainStep* step) {
  const TaskAttempt* slot = SlotOf(*step);
  // It ended by itself, or was stopped for another reason.
  if (slot == nullptr || slot->released || !slot->wanted) return false;
  if (!step_book_.Durable(*step)) return clock_->Now() - step->phase_since < kRecordWithin;
  return StopReplica(step);
}

bool Drainer::StopReplica(DrainStep* step) {
  TaskAttempt* slot = SlotOf(*step);
  const Job& job = (*job_store_)[step->job];
  // Since the choice machines may have been lost, the budget lowered, or the place taken.
  if (!InForce(step->drain) || ledger_->WithinBudget(step->job)) return false;
  if (!free_capacity_->Current(step->place).usable) return false;
  spdlog::info("drain {}: moving {} off {}, to {}", step->drain, slot->task_name,
               (*fleet_)[step->from].name, (*fleet_)[step->place].name);
  fleet_->RequestStop(step->from, slot, GraceOf(job));
  fleet_->placement_needed = true;
  // From here on it counts as what it is: down until its replacement is healthy.
  ledger_->Release(step->job, step->task);
  step_book_.SetPhase(step, StepPhase::kStopping);
  return true;
}

double Drainer::BoundOf(const DrainStep& step) const {
  const double within = policy_ != nullptr ? policy_->times.replace_within_s : 0;
  return within * static_cast<double>(1U << std::min(step.tries, 16U));
}

bool Drainer::AdvanceReplacing(DrainStep* step) {
  if (ledger_->Available(step->job, step->task)) {
    if (Drain* drain = Find(step->drain)) ++drain->progress.replicas_moved;
    Progressed(step->drain);
    pauses_.erase(step->job);
    return false;
  }
  if (policy_ == nullptr) return false;
  if (clock_->Now() - step->phase_since < BoundOf(*step)) return true;
  return TryElsewhere(step);
}

bool Drainer::TryElsewhere(DrainStep* step) {
  Job& job = (*job_store_)[step->job];
  const Task& task = job.tasks[step->task];
  ++step->tries;
  step->phase_since = clock_->Now();
  ReleasePlace(step);
  if (step->tries >= policy_->times.replacement_tries) {
    Pause& pause = pauses_[step->job];
    pause.seconds = std::clamp(pause.seconds * 2, kFirstPause, kLongestPause);
    pause.until = clock_->Now() + pause.seconds;
    if (Drain* drain = Find(step->drain)) ++drain->progress.steps_given_up;
    spdlog::warn("drain {}: the replacement of {}/{} does not become healthy; given up",
                 step->drain, job.id, step->task);
    return false;
  }
  if (task.phase != TaskPhase::kPlaced) return true;
  TaskAttempt* slot = fleet_->FindAttempt(task.machine, step->job, step->task, task.attempt);
  if (slot == nullptr || slot->running_since >= 0) return true;
  spdlog::warn("drain {}: {} does not start on {}; another machine is tried", step->drain,
               slot->task_name, (*fleet_)[task.machine].name);
  if (std::find(job.failed_machines.begin(), job.failed_machines.end(), task.machine) ==
      job.failed_machines.end()) {
    job.failed_machines.push_back(task.machine);
  }
  fleet_->RequestStop(task.machine, slot, 0);
  fleet_->placement_needed = true;
  const PlaceFinder::Result other = places_.Find(step->job, task.machine, true);
  if (!other.wait) HoldPlace(step, other.machine);
  return true;
}

void Drainer::PlaceReplacements() {
  for (DrainStep& step : step_book_.steps()) {
    if (step.phase != StepPhase::kReplacing || step.place == kNoIndex) continue;
    const MachineIndex place = step.place;
    const Job& job = (*job_store_)[step.job];
    const Task& task = job.tasks[step.task];
    if (task.phase == TaskPhase::kPlaced) {
      const TaskAttempt* slot =
          fleet_->FindAttempt(task.machine, step.job, step.task, task.attempt);
      // The attempt before is still on its way out.
      if (slot != nullptr && !slot->wanted) continue;
    }
    ReleasePlace(&step);
    if (task.phase != TaskPhase::kWaiting || job.lifecycle != JobLifecycle::kActive) continue;
    if (clock_->Now() < job.backoff_until || !free_capacity_->TeamRoom(job)) continue;
    if (!places_.StillFits(step.job, place)) continue;
    fleet_->PlaceTask(place, step.job, step.task, fleet_->NewAttemptNumber());
    free_capacity_->Take(job, place);
    (*fleet_)[place].idle_since = -1;
  }
}

}  // namespace deckhall
