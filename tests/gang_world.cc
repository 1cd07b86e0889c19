#include "gang_world.h"

#include <algorithm>

namespace deckhall {
namespace {

std::string JobOf(const std::string& task) { return task.substr(0, task.rfind('/')); }

}  // namespace

JobSpec GangWorld::Gang(const std::string& id, uint32_t tasks, double cores) {
  JobSpec spec = Array(id, tasks, cores);
  spec.gang = true;
  spec.single_zone = true;
  spec.checkpoint_interval_s = 20;
  spec.checkpoint_grace_s = 3;
  specs_[id] = spec;
  for (auto& [endpoint, worker] : workers.at) worker.gangs.insert(id);
  return spec;
}

FakeWorker& GangWorld::Box(const std::string& name, const std::string& zone, bool spot) {
  FakeWorker& worker = Machine(name, zone, spot);
  for (const auto& [id, spec] : specs_) worker.gangs.insert(id);
  worker.save_s = 3;
  return worker;
}

void GangWorld::LeadWithGang(uint32_t tasks) {
  Lead();
  Box("m-1", "east");
  Box("m-2", "east");
  Submit(Gang("job-1", tasks));
}

void GangWorld::Exit(TaskStatus* task, ExitReason why, bool saved) {
  task->state = TaskState::kExited;
  task->exit_reason = why;
  task->checkpointed = saved;
}

void GangWorld::StepAttempt(const std::string& job, uint64_t number) {
  const JobSpec& spec = specs_.at(job);
  Attempt& attempt = attempts_[{job, number}];
  std::vector<TaskStatus*> there;
  for (auto& [endpoint, worker] : workers.at) {
    if (worker.silent) continue;  // it hangs: its tasks make no progress, and are missed
    for (TaskStatus& task : worker.report.tasks) {
      const bool ours = JobOf(task.task_name) == job && task.attempt == number;
      if (ours && task.state != TaskState::kExited) there.push_back(&task);
    }
  }
  const bool all = there.size() == spec.task_count;
  const bool gathered = std::all_of(there.begin(), there.end(), [](const TaskStatus* t) {
    return t->state == TaskState::kWaitingForGang;
  });
  if (!attempt.started && all && gathered) {
    attempt.started = true;
    for (TaskStatus* task : there) task->state = TaskState::kRunning;
  }
  if (attempt.started && !all && attempt.lost_at < 0) attempt.lost_at = clock.now;
  for (TaskStatus* task : there) {
    const double since = since_.try_emplace({task->task_name, number}, clock.now).first->second;
    if (task->state == TaskState::kCheckpointing && attempt.first_stop < 0)
      attempt.first_stop = clock.now;
    if (task->state == TaskState::kWaitingForGang && clock.now - since > settings.gang_wait_s) {
      Exit(task, ExitReason::kGangIncomplete);
    } else if (task->state == TaskState::kCheckpointing &&
               clock.now - attempt.first_stop >= spec.checkpoint_grace_s) {
      Exit(task, ExitReason::kStopped, true);
    } else if (attempt.lost_at >= 0 &&
               clock.now - attempt.lost_at >= settings.gang_loss_detection_s) {
      Exit(task, ExitReason::kGangMemberLost);
    }
  }
}

void GangWorld::Check() {
  std::map<std::string, std::set<std::string>> on;
  std::map<std::string, std::set<std::string>> zones;
  for (const auto& [endpoint, worker] : workers.at) {
    for (const TaskStatus& task : worker.report.tasks) {
      if (task.state == TaskState::kExited) continue;
      on[task.task_name].insert(endpoint);
      zones[JobOf(task.task_name)].insert(worker.report.zone);
    }
  }
  for (const auto& [task, machines] : on) ran_twice = ran_twice || machines.size() > 1;
  for (const auto& [job, where] : zones) two_zones = two_zones || where.size() > 1;
}

void GangWorld::Step() {
  std::set<std::pair<std::string, uint64_t>> present;
  for (const auto& [endpoint, worker] : workers.at) {
    for (const TaskStatus& task : worker.report.tasks) {
      if (specs_.contains(JobOf(task.task_name)))
        present.insert({JobOf(task.task_name), task.attempt});
    }
  }
  for (const auto& [job, number] : present) StepAttempt(job, number);
  Check();
}

void GangWorld::Run(double seconds) {
  const double end = clock.now + seconds;
  while (clock.now < end) {
    Step();
    Pass(0.5);
    Check();
  }
}

size_t GangWorld::In(const std::string& job, TaskState wanted) const {
  size_t count = 0;
  for (const auto& [endpoint, worker] : workers.at) {
    for (const TaskStatus& task : worker.report.tasks) {
      if (JobOf(task.task_name) == job && task.state == wanted) ++count;
    }
  }
  return count;
}

std::set<uint64_t> GangWorld::Attempts(const std::string& job) const {
  std::set<uint64_t> numbers;
  for (const auto& [endpoint, worker] : workers.at) {
    for (const TaskStatus& task : worker.report.tasks) {
      const bool there = task.state != TaskState::kExited;
      if (there && JobOf(task.task_name) == job) numbers.insert(task.attempt);
    }
  }
  return numbers;
}

size_t GangWorld::Starts(const std::string& job) const {
  size_t count = 0;
  for (const auto& [endpoint, worker] : workers.at) {
    count += static_cast<size_t>(
        std::count_if(worker.started.begin(), worker.started.end(),
                      [&job](const std::string& task) { return JobOf(task) == job; }));
  }
  return count;
}

void GangWorld::Complete(const std::string& job, const std::set<std::string>& only) {
  for (auto& [endpoint, worker] : workers.at) {
    if (!only.empty() && !only.contains(worker.report.machine)) continue;
    for (TaskStatus& task : worker.report.tasks) {
      if (JobOf(task.task_name) == job && task.state == TaskState::kRunning)
        Exit(&task, ExitReason::kDone);
    }
  }
}

}  // namespace deckhall
