// The evictions in flight of EvictionController: from the selection of a replica until its
// replacement is available.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "drain/eviction_controller.h"

namespace deckhall {
namespace {

// An eviction whose record is not durable by then is abandoned.
constexpr double kRecordTimeoutSeconds = 10;
constexpr double kMinBackoffSeconds = 60;
constexpr double kMaxBackoffSeconds = 3600;
// Added to the checkpoint grace period for the delivery of the stop to the task.
constexpr double kCheckpointMarginSeconds = 1;

}  // namespace

double EvictionController::GracePeriodOf(const Job& job) {
  return job.spec.checkpoint_interval_s > 0 ? job.spec.checkpoint_grace_s + kCheckpointMarginSeconds
                                            : 0;
}

TaskAttempt* EvictionController::FindEvictedAttempt(const Eviction& eviction) {
  if (eviction.source_machine == kNoIndex) return nullptr;
  return fleet_->FindAttempt(eviction.source_machine, eviction.job, eviction.task_index,
                             eviction.attempt_number);
}

void EvictionController::ReserveReplacementCapacity(Eviction* eviction,
                                                    MachineIndex machine_index) {
  eviction->replacement_machine = machine_index;
  free_capacity_->ReserveResources(machine_index, (*job_store_)[eviction->job]);
}

void EvictionController::ReleaseReplacementCapacity(Eviction* eviction) {
  if (eviction->replacement_machine == kNoIndex) return;
  free_capacity_->ReleaseReservation(eviction->replacement_machine, (*job_store_)[eviction->job]);
  eviction->replacement_machine = kNoIndex;
  fleet_->placement_needed = true;
}

void EvictionController::AdvanceEvictions() {
  eviction_tracker_.RemoveIf([this](Eviction* eviction) {
    if (Advance(eviction)) return false;
    ledger_->ReleaseDisruption(eviction->job, eviction->task_index);
    ReleaseReplacementCapacity(eviction);
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
    // The stop request did not arrive and can no longer take effect: the machine has accepted the
    // fencing token of this term.
    spdlog::info("task={} machine={}: eviction of the former leader dropped: replica still runs",
                 attempt->task_name, (*fleet_)[eviction->source_machine].name);
    return false;
  }
  eviction_tracker_.SetPhase(eviction, EvictionPhase::kReplacing);
  return true;
}

bool EvictionController::AdvanceRecording(Eviction* eviction) {
  const TaskAttempt* attempt = FindEvictedAttempt(*eviction);
  // The attempt exited, or its stop was requested for another reason.
  if (attempt == nullptr || attempt->released || !attempt->wanted) return false;
  if (!eviction_tracker_.IsRecordDurable(*eviction))
    return clock_->Now() - eviction->phase_since < kRecordTimeoutSeconds;
  return StopReplica(eviction);
}

bool EvictionController::StopReplica(Eviction* eviction) {
  TaskAttempt* attempt = FindEvictedAttempt(*eviction);
  const Job& job = (*job_store_)[eviction->job];
  // Since the replica was selected, machines may have been lost, the budget lowered, or the
  // replacement's machine become unusable.
  if (!IsActiveDrain(eviction->drain) || ledger_->BudgetViolation(eviction->job)) return false;
  if (!free_capacity_->Current(eviction->replacement_machine).usable) return false;
  spdlog::info("drain={} task={} machine={} replacement_machine={}: eviction started",
               eviction->drain, attempt->task_name, (*fleet_)[eviction->source_machine].name,
               (*fleet_)[eviction->replacement_machine].name);
  fleet_->RequestStop(eviction->source_machine, attempt, GracePeriodOf(job));
  fleet_->placement_needed = true;
  // The stop request itself makes the replica unavailable until its replacement is available.
  ledger_->ReleaseDisruption(eviction->job, eviction->task_index);
  eviction_tracker_.SetPhase(eviction, EvictionPhase::kStopping);
  return true;
}

double EvictionController::ReplacementTimeout(const Eviction& eviction) const {
  const double timeout_s = policy_ != nullptr ? policy_->eviction_limits.replacement_timeout_s : 0;
  return timeout_s * static_cast<double>(1U << std::min(eviction.replacement_attempts, 16U));
}

bool EvictionController::AdvanceReplacing(Eviction* eviction) {
  if (ledger_->IsAvailable(eviction->job, eviction->task_index)) {
    if (Drain* drain = Find(eviction->drain)) ++drain->progress.replicas_moved;
    MarkProgress(eviction->drain);
    backoffs_.erase(eviction->job);
    return false;
  }
  if (policy_ == nullptr) return false;
  if (clock_->Now() - eviction->phase_since < ReplacementTimeout(*eviction)) return true;
  return RetryReplacement(eviction);
}

bool EvictionController::RetryReplacement(Eviction* eviction) {
  Job& job = (*job_store_)[eviction->job];
  const Task& task = job.tasks[eviction->task_index];
  ++eviction->replacement_attempts;
  eviction->phase_since = clock_->Now();
  ReleaseReplacementCapacity(eviction);
  if (eviction->replacement_attempts >= policy_->eviction_limits.max_replacement_attempts) {
    Backoff& backoff = backoffs_[eviction->job];
    backoff.seconds = std::clamp(backoff.seconds * 2, kMinBackoffSeconds, kMaxBackoffSeconds);
    backoff.until = clock_->Now() + backoff.seconds;
    if (Drain* drain = Find(eviction->drain)) ++drain->progress.evictions_given_up;
    spdlog::warn("drain={} task={}/{}: eviction given up: replacement not available in time",
                 eviction->drain, job.id, eviction->task_index);
    return false;
  }
  if (task.phase != TaskPhase::kPlaced) return true;
  TaskAttempt* attempt =
      fleet_->FindAttempt(task.machine, eviction->job, eviction->task_index, task.attempt);
  if (attempt == nullptr || attempt->running_since >= 0) return true;
  spdlog::warn(
      "drain={} task={} machine={}: replacement did not start in time, trying another machine",
      eviction->drain, attempt->task_name, (*fleet_)[task.machine].name);
  if (std::find(job.failed_machines.begin(), job.failed_machines.end(), task.machine) ==
      job.failed_machines.end()) {
    job.failed_machines.push_back(task.machine);
  }
  fleet_->RequestStop(task.machine, attempt, 0);
  fleet_->placement_needed = true;
  const ReplacementFinder::Result other =
      replacement_finder_.Find(eviction->job, task.machine, true);
  if (!other.blocked) ReserveReplacementCapacity(eviction, other.machine);
  return true;
}

void EvictionController::PlaceReplacements() {
  for (Eviction& eviction : eviction_tracker_.evictions()) {
    if (eviction.phase != EvictionPhase::kReplacing || eviction.replacement_machine == kNoIndex)
      continue;
    const MachineIndex machine_index = eviction.replacement_machine;
    const Job& job = (*job_store_)[eviction.job];
    const Task& task = job.tasks[eviction.task_index];
    if (task.phase == TaskPhase::kPlaced) {
      const TaskAttempt* attempt =
          fleet_->FindAttempt(task.machine, eviction.job, eviction.task_index, task.attempt);
      // The previous attempt has not exited yet.
      if (attempt != nullptr && !attempt->wanted) continue;
    }
    ReleaseReplacementCapacity(&eviction);
    if (task.phase != TaskPhase::kWaiting || job.lifecycle != JobLifecycle::kActive) continue;
    if (clock_->Now() < job.backoff_until || !free_capacity_->HasTeamQuota(job)) continue;
    if (!replacement_finder_.StillFits(eviction.job, machine_index)) continue;
    fleet_->PlaceTask(machine_index, eviction.job, eviction.task_index, fleet_->NewAttemptNumber());
    free_capacity_->Allocate(job, machine_index);
    (*fleet_)[machine_index].idle_since = -1;
  }
}

}  // namespace deckhall
