#include "gang_world.h"

#include <algorithm>

namespace deckhall {
namespace {

std::string JobOf(const std::string& task) { return task.substr(0, task.rfind('/')); }

}  // namespace

JobSpec GangTestEnvironment::GangJob(const std::string& id, uint32_t tasks, double cores) {
  JobSpec spec = Array(id, tasks, cores);
  spec.gang = true;
  spec.single_zone = true;
  spec.checkpoint_interval_s = 20;
  spec.checkpoint_grace_s = 3;
  specs_[id] = spec;
  for (auto& [endpoint, worker] : workers.by_endpoint) worker.gang_jobs.insert(id);
  return spec;
}

FakeWorker& GangTestEnvironment::AddGangMachine(const std::string& name, const std::string& zone,
                                                bool spot) {
  FakeWorker& worker = AddMachine(name, zone, spot);
  for (const auto& [id, spec] : specs_) worker.gang_jobs.insert(id);
  worker.checkpoint_s = 3;
  return worker;
}

void GangTestEnvironment::StartLeaderWithGang(uint32_t tasks) {
  StartLeader();
  AddGangMachine("m-1", "east");
  AddGangMachine("m-2", "east");
  Submit(GangJob("job-1", tasks));
}

void GangTestEnvironment::EndTask(TaskStatus* task, ExitReason reason, bool checkpointed) {
  task->state = TaskState::kExited;
  task->exit_reason = reason;
  task->checkpointed = checkpointed;
}

void GangTestEnvironment::StepAttempt(const std::string& job, uint64_t number) {
  const JobSpec& spec = specs_.at(job);
  Attempt& attempt = attempts_[{job, number}];
  std::vector<TaskStatus*> present;
  for (auto& [endpoint, worker] : workers.by_endpoint) {
    // Tasks on an unresponsive worker make no progress, and the other tasks detect them as lost.
    if (worker.unresponsive) continue;
    for (TaskStatus& task : worker.heartbeat.tasks) {
      const bool ours = JobOf(task.task_name) == job && task.attempt == number;
      if (ours && task.state != TaskState::kExited) present.push_back(&task);
    }
  }
  const bool all = present.size() == spec.task_count;
  const bool gathered = std::all_of(present.begin(), present.end(), [](const TaskStatus* t) {
    return t->state == TaskState::kWaitingForGang;
  });
  if (!attempt.started && all && gathered) {
    attempt.started = true;
    for (TaskStatus* task : present) task->state = TaskState::kRunning;
  }
  if (attempt.started && !all && attempt.lost_at < 0) attempt.lost_at = clock.now;
  for (TaskStatus* task : present) {
    const double since =
        present_since_.try_emplace({task->task_name, number}, clock.now).first->second;
    if (task->state == TaskState::kCheckpointing && attempt.first_stop_at < 0)
      attempt.first_stop_at = clock.now;
    if (task->state == TaskState::kWaitingForGang && clock.now - since > settings.gang_wait_s) {
      EndTask(task, ExitReason::kGangIncomplete);
    } else if (task->state == TaskState::kCheckpointing &&
               clock.now - attempt.first_stop_at >= spec.checkpoint_grace_s) {
      EndTask(task, ExitReason::kStopped, true);
    } else if (attempt.lost_at >= 0 &&
               clock.now - attempt.lost_at >= settings.gang_loss_detection_s) {
      EndTask(task, ExitReason::kGangMemberLost);
    }
  }
}

void GangTestEnvironment::CheckPlacement() {
  std::map<std::string, std::set<std::string>> on;
  std::map<std::string, std::set<std::string>> zones;
  for (const auto& [endpoint, worker] : workers.by_endpoint) {
    for (const TaskStatus& task : worker.heartbeat.tasks) {
      if (task.state == TaskState::kExited) continue;
      on[task.task_name].insert(endpoint);
      zones[JobOf(task.task_name)].insert(worker.heartbeat.zone);
    }
  }
  for (const auto& [task, machines] : on) task_ran_twice = task_ran_twice || machines.size() > 1;
  for (const auto& [job, where] : zones) job_in_two_zones = job_in_two_zones || where.size() > 1;
}

void GangTestEnvironment::Step() {
  std::set<std::pair<std::string, uint64_t>> present;
  for (const auto& [endpoint, worker] : workers.by_endpoint) {
    for (const TaskStatus& task : worker.heartbeat.tasks) {
      if (specs_.contains(JobOf(task.task_name)))
        present.insert({JobOf(task.task_name), task.attempt});
    }
  }
  for (const auto& [job, number] : present) StepAttempt(job, number);
  CheckPlacement();
}

void GangTestEnvironment::Run(double seconds) {
  const double end = clock.now + seconds;
  while (clock.now < end) {
    Step();
    AdvanceTime(0.5);
    CheckPlacement();
  }
}

size_t GangTestEnvironment::TasksInState(const std::string& job, TaskState wanted_state) const {
  size_t count = 0;
  for (const auto& [endpoint, worker] : workers.by_endpoint) {
    for (const TaskStatus& task : worker.heartbeat.tasks) {
      if (JobOf(task.task_name) == job && task.state == wanted_state) ++count;
    }
  }
  return count;
}

std::set<uint64_t> GangTestEnvironment::Attempts(const std::string& job) const {
  std::set<uint64_t> numbers;
  for (const auto& [endpoint, worker] : workers.by_endpoint) {
    for (const TaskStatus& task : worker.heartbeat.tasks) {
      const bool present = task.state != TaskState::kExited;
      if (present && JobOf(task.task_name) == job) numbers.insert(task.attempt);
    }
  }
  return numbers;
}

size_t GangTestEnvironment::StartCount(const std::string& job) const {
  size_t count = 0;
  for (const auto& [endpoint, worker] : workers.by_endpoint) {
    count += static_cast<size_t>(
        std::count_if(worker.started_tasks.begin(), worker.started_tasks.end(),
                      [&job](const std::string& task) { return JobOf(task) == job; }));
  }
  return count;
}

void GangTestEnvironment::Complete(const std::string& job, const std::set<std::string>& only) {
  for (auto& [endpoint, worker] : workers.by_endpoint) {
    if (!only.empty() && !only.contains(worker.heartbeat.machine)) continue;
    for (TaskStatus& task : worker.heartbeat.tasks) {
      if (JobOf(task.task_name) == job && task.state == TaskState::kRunning)
        EndTask(&task, ExitReason::kDone);
    }
  }
}

}  // namespace deckhall
