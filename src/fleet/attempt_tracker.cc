#include "fleet/attempt_tracker.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "fleet/fencing.h"
#include "fleet/task_name.h"

namespace deckhall {
namespace {

void AddUsage(Machine& machine, const TaskAttempt& attempt) {
  ++machine.active_attempts;
  machine.used_cores += attempt.cores;
  machine.used_gpus += attempt.gpus;
  machine.used_memory_gb += attempt.memory_gb;
  if (attempt.service) machine.service_cores += attempt.cores;
  if (attempt.preemptible) machine.preemptible_cores += attempt.cores;
}

void SubtractUsage(Machine& machine, const TaskAttempt& attempt) {
  --machine.active_attempts;
  machine.used_cores -= attempt.cores;
  machine.used_gpus -= attempt.gpus;
  machine.used_memory_gb -= attempt.memory_gb;
  if (attempt.service) machine.service_cores -= attempt.cores;
  if (attempt.preemptible) machine.preemptible_cores -= attempt.cores;
  if (machine.active_attempts > 0) return;
  // Rounding errors must not make an empty machine look used.
  machine.used_cores = 0;
  machine.used_gpus = 0;
  machine.used_memory_gb = 0;
  machine.service_cores = 0;
  machine.preemptible_cores = 0;
}

}  // namespace

AttemptTracker::AttemptTracker(JobStore* job_store, MachineRegistry* machines, const Clock* clock,
                               uint64_t term, FleetEvents* events)
    : job_store_(job_store),
      machines_(machines),
      clock_(clock),
      events_(events),
      next_attempt_number_((term << kTermShiftBits) + 1) {}

TaskAttempt* AttemptTracker::Find(MachineIndex machine_index, JobIndex job_index,
                                  uint32_t task_index, uint64_t attempt_number) {
  for (TaskAttempt& attempt : (*machines_)[machine_index].attempts) {
    if (attempt.job == job_index && attempt.task_index == task_index &&
        attempt.number == attempt_number)
      return &attempt;
  }
  return nullptr;
}

void AttemptTracker::PlaceTask(MachineIndex machine_index, JobIndex job_index, uint32_t task_index,
                               uint64_t attempt_number, bool placed_by_aging) {
  Job& job = (*job_store_)[job_index];
  TaskAttempt attempt;
  attempt.job = job_index;
  attempt.task_index = task_index;
  attempt.number = attempt_number;
  attempt.placed_by_aging = placed_by_aging;
  attempt.task_name = FormatTaskName(job.id, task_index);
  attempt.launched_at = clock_->Now();
  job_store_->MarkPlaced(job_index, task_index, machine_index, attempt_number);
  job.starved_since = clock_->Now();
  spdlog::debug("machine={} task={} attempt={}: placed", (*machines_)[machine_index].name,
                attempt.task_name, attempt_number);
  Add(machine_index, std::move(attempt));
}

TaskAttempt& AttemptTracker::Add(MachineIndex machine_index, TaskAttempt attempt) {
  Machine& machine = (*machines_)[machine_index];
  if (attempt.job != kNoIndex) AssignToJob(&attempt);
  HoldResources(machine_index, attempt);
  TaskAttempt& added = machine.attempts.emplace_back(std::move(attempt));
  NotifyReplicaChanged(added);
  machines_->InvalidateMachine(machine_index);
  return added;
}

void AttemptTracker::AssignToJob(TaskAttempt* attempt) {
  Job& job = (*job_store_)[attempt->job];
  attempt->team = job.team;
  attempt->cores = job.spec.cores;
  attempt->gpus = job.spec.gpus;
  attempt->memory_gb = job.spec.memory_gb;
  attempt->service = job.spec.service;
  attempt->preemptible =
      !job.spec.service && !job.spec.gang && job.spec.priority < Priority::kProduction;
  ++job.attempt_count;
}

void AttemptTracker::HoldResources(MachineIndex machine_index, const TaskAttempt& attempt) {
  AddUsage((*machines_)[machine_index], attempt);
  if (attempt.job == kNoIndex) return;
  (*job_store_)[attempt.job].machines.push_back(machine_index);
  if (attempt.team >= team_usage_.size()) team_usage_.resize(attempt.team + 1);
  team_usage_[attempt.team].cores += attempt.cores;
  team_usage_[attempt.team].gpus += attempt.gpus;
}

void AttemptTracker::ReleaseResources(MachineIndex machine_index, TaskAttempt* attempt) {
  if (attempt->released) return;
  attempt->released = true;
  attempt->last_command_at = kNoCommandAt;
  NotifyReplicaChanged(*attempt);
  SubtractUsage((*machines_)[machine_index], *attempt);
  if (attempt->job != kNoIndex) ReleaseFromJob(machine_index, *attempt);
  machines_->InvalidateMachine(machine_index);
}

void AttemptTracker::HandleRestartedAttempt(MachineIndex machine_index, TaskAttempt* attempt) {
  spdlog::warn(
      "machine={} task={} attempt={} exit_reason={}: exited attempt is active, stopping it",
      (*machines_)[machine_index].name, attempt->task_name, attempt->number,
      static_cast<int>(attempt->exit_reason));
  attempt->released = false;
  attempt->exit_reason = ExitReason::kNone;
  HoldResources(machine_index, *attempt);
  BlockTask(machine_index, *attempt);
  attempt->wanted = false;
  attempt->grace_period_s = 0;
  attempt->stop_sent_at = kStopNotSentAt;
  attempt->first_stop_sent_at = -1;
  attempt->last_command_at = kNoCommandAt;
  NotifyReplicaChanged(*attempt);
  machines_->InvalidateMachine(machine_index);
}

void AttemptTracker::BlockTask(MachineIndex machine_index, const TaskAttempt& attempt) {
  if (attempt.job == kNoIndex || !(*job_store_)[attempt.job].has_spec) return;
  const TaskPhase phase = (*job_store_)[attempt.job].tasks[attempt.task_index].phase;
  if (phase == TaskPhase::kWaiting || phase == TaskPhase::kUnreconciled)
    job_store_->MarkPlaced(attempt.job, attempt.task_index, machine_index, attempt.number);
}

void AttemptTracker::HandleLostAttempt(MachineIndex machine_index, TaskAttempt* attempt) {
  spdlog::info("machine={} task={} attempt={}: attempt lost by its agent",
               (*machines_)[machine_index].name, attempt->task_name, attempt->number);
  if (attempt->wanted) NotifyArrayTaskStopped(*attempt);
  attempt->reported = false;
  attempt->wanted = false;
  SetRunning(attempt, false);
  NotifyReplicaChanged(*attempt);
  machines_->InvalidateMachine(machine_index);
}

void AttemptTracker::ReleaseFromJob(MachineIndex machine_index, const TaskAttempt& attempt) {
  std::vector<uint32_t>& job_machines = (*job_store_)[attempt.job].machines;
  auto entry = std::find(job_machines.begin(), job_machines.end(), machine_index);
  if (entry != job_machines.end()) {
    *entry = job_machines.back();
    job_machines.pop_back();
  }
  team_usage_[attempt.team].cores -= attempt.cores;
  team_usage_[attempt.team].gpus -= attempt.gpus;
}

void AttemptTracker::Erase(MachineIndex machine_index, size_t position) {
  std::vector<TaskAttempt>& attempts = (*machines_)[machine_index].attempts;
  ReleaseResources(machine_index, &attempts[position]);
  const JobIndex job_index = attempts[position].job;
  if (job_index != kNoIndex) --(*job_store_)[job_index].attempt_count;
  attempts.erase(attempts.begin() + static_cast<ptrdiff_t>(position));
  machines_->InvalidateMachine(machine_index);
}

void AttemptTracker::Requeue(MachineIndex machine_index, const TaskAttempt& attempt) {
  if (attempt.job == kNoIndex) return;
  Job& job = (*job_store_)[attempt.job];
  if (attempt.running_since >= 0 && job.tasks_running > 0) --job.tasks_running;
  if (!job.has_spec) return;
  const Task& task = job.tasks[attempt.task_index];
  const bool is_current_attempt = task.phase == TaskPhase::kPlaced &&
                                  task.machine == machine_index && task.attempt == attempt.number;
  if (!is_current_attempt) return;
  if (job.waiting_tasks.empty()) job.waiting_since = clock_->Now();
  job_store_->MarkWaiting(attempt.job, attempt.task_index);
}

void AttemptTracker::RequeueAndErase(MachineIndex machine_index, size_t position) {
  Requeue(machine_index, (*machines_)[machine_index].attempts[position]);
  Erase(machine_index, position);
}

void AttemptTracker::RequeueAndEraseAll(MachineIndex machine_index, const char* reason) {
  Machine& machine = (*machines_)[machine_index];
  size_t lost = 0;
  for (size_t i = machine.attempts.size(); i-- > 0;) {
    const TaskAttempt& attempt = machine.attempts[i];
    if (!attempt.released) {
      ++lost;
      if (attempt.wanted) NotifyArrayTaskStopped(attempt);
      Requeue(machine_index, attempt);
    }
    Erase(machine_index, i);
  }
  if (lost > 0) spdlog::info("machine={} tasks={}: attempts lost: {}", machine.name, lost, reason);
  machines_->InvalidateMachine(machine_index);
}

void AttemptTracker::SetRunning(TaskAttempt* attempt, bool now_running) {
  const bool was_running = attempt->running_since >= 0;
  if (was_running == now_running || attempt->job == kNoIndex) return;
  NotifyReplicaChanged(*attempt);
  Job& job = (*job_store_)[attempt->job];
  if (now_running) {
    attempt->running_since = clock_->Now();
    job.gang_started = job.gang_started || attempt->number >= job.gang_attempt;
    ++job.tasks_running;
  } else {
    attempt->running_since = -1;
    if (job.tasks_running > 0) --job.tasks_running;
  }
}

void AttemptTracker::RequestStop(MachineIndex machine_index, TaskAttempt* attempt,
                                 double grace_period_s) {
  machines_->MarkChanged(machine_index);
  if (attempt->wanted) {
    NotifyArrayTaskStopped(*attempt);
  } else {
    if (grace_period_s >= attempt->grace_period_s) return;
    // Sends the shorter grace period to the agent at once.
    attempt->stop_sent_at = kStopNotSentAt;
  }
  attempt->wanted = false;
  attempt->last_command_at = kNoCommandAt;
  NotifyReplicaChanged(*attempt);
  attempt->grace_period_s = grace_period_s;
}

std::vector<MachineIndex> AttemptTracker::DistinctMachinesOf(JobIndex job_index) const {
  std::vector<MachineIndex> machines = (*job_store_)[job_index].machines;
  std::sort(machines.begin(), machines.end());
  machines.erase(std::unique(machines.begin(), machines.end()), machines.end());
  return machines;
}

void AttemptTracker::RequestStopOfJob(JobIndex job_index) {
  for (MachineIndex machine_index : DistinctMachinesOf(job_index)) {
    for (TaskAttempt& attempt : (*machines_)[machine_index].attempts) {
      if (attempt.job == job_index && !attempt.released) RequestStop(machine_index, &attempt, 0);
    }
  }
}

void AttemptTracker::RequestStopOfUnreported(JobIndex job_index) {
  for (MachineIndex machine_index : DistinctMachinesOf(job_index)) {
    for (TaskAttempt& attempt : (*machines_)[machine_index].attempts) {
      if (attempt.job == job_index && !attempt.released && !attempt.reported)
        RequestStop(machine_index, &attempt, 0);
    }
  }
}

void AttemptTracker::NotifyReplicaChanged(const TaskAttempt& attempt) {
  if (events_->observer == nullptr || !attempt.service || attempt.job == kNoIndex) return;
  events_->observer->ReplicaChanged(attempt.job, attempt.task_index);
}

void AttemptTracker::NotifyArrayTaskStopped(const TaskAttempt& attempt) {
  if (events_->observer == nullptr || attempt.service || attempt.job == kNoIndex ||
      !attempt.reported)
    return;
  if ((*job_store_)[attempt.job].lifecycle == JobLifecycle::kActive)
    events_->observer->ArrayTaskStopped(attempt.job);
}

}  // namespace deckhall
