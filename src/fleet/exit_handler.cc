#include "fleet/exit_handler.h"

#include <spdlog/spdlog.h>

namespace deckhall {

ExitHandler::ExitHandler(JobStore* job_store, MachineRegistry* machines, AttemptTracker* attempts,
                         const Clock* clock, FleetEvents* events)
    : job_store_(job_store),
      machines_(machines),
      attempts_(attempts),
      clock_(clock),
      events_(events) {}

void ExitHandler::HandleExit(MachineIndex machine_index, TaskAttempt* attempt) {
  attempts_->ReleaseResources(machine_index, attempt);
  spdlog::debug("machine={} task={} exit_reason={}: attempt exited",
                (*machines_)[machine_index].name, attempt->task_name,
                static_cast<int>(attempt->exit_reason));
  if (attempt->job != kNoIndex && (*job_store_)[attempt->job].has_spec) {
    const bool completed =
        attempt->exit_reason == ExitReason::kDone && !(*job_store_)[attempt->job].spec.service;
    if (completed) {
      HandleCompletion(machine_index, *attempt);
    } else {
      attempts_->Requeue(machine_index, *attempt);
      // Requeue() has already removed the attempt from the number of running tasks.
      attempt->running_since = -1;
    }
  }
  if (events_->on_attempt_exited) events_->on_attempt_exited(machine_index, *attempt);
  attempts_->SetRunning(attempt, false);
}

void ExitHandler::HandleCompletion(MachineIndex machine_index, const TaskAttempt& attempt) {
  const Job& job = (*job_store_)[attempt.job];
  if (job.spec.gang) {
    CompleteGang(attempt.job);
  } else {
    StopReplacement(machine_index, attempt);
    job_store_->MarkTaskDone(attempt.job, attempt.task_index);
  }
  if (job.lifecycle == JobLifecycle::kActive) SaveOrEndJob(attempt.job);
}

void ExitHandler::StopReplacement(MachineIndex machine_index, const TaskAttempt& completed) {
  const Task& task = (*job_store_)[completed.job].tasks[completed.task_index];
  if (task.phase != TaskPhase::kPlaced) return;
  if (task.machine == machine_index && task.attempt == completed.number) return;
  for (TaskAttempt& other : (*machines_)[task.machine].attempts) {
    if (other.job == completed.job && other.task_index == completed.task_index && !other.released)
      attempts_->RequestStop(task.machine, &other, 0);
  }
}

void ExitHandler::CompleteGang(JobIndex job_index) {
  const Job& job = (*job_store_)[job_index];
  // Every task of the gang exits as done; the first exit has already completed all of them.
  if (job.tasks_done >= job.tasks.size()) return;
  job_store_->MarkAllTasksDone(job_index);
  attempts_->RequestStopOfUnreported(job_index);
}

void ExitHandler::SaveOrEndJob(JobIndex job_index) {
  const Job& job = (*job_store_)[job_index];
  if (job.tasks_done != job.tasks.size()) {
    job_store_->Save(job_index, WritePriority::kBackground);
    return;
  }
  LogJobDone(job_index);
  job_store_->EndJob(job_index, JobLifecycle::kDone, clock_->Now());
}

void ExitHandler::LogJobDone(JobIndex job_index) const {
  const std::string& job_id = (*job_store_)[job_index].id;
  const double late_s = job_store_->SecondsPastDeadline(job_index, clock_->Wall());
  if (late_s > 0) {
    spdlog::info("job={} late_s={:.1f}: job done after its deadline", job_id, late_s);
  } else {
    spdlog::info("job={}: job done", job_id);
  }
}

}  // namespace deckhall
