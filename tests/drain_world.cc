#include "drain_world.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace deckhall {

DrainTestEnvironment::DrainTestEnvironment() {
  settings.heartbeat_interval_s = 1;
  // The cloud provisions machines only in tests that enable it.
  cloud.out_of_capacity = true;
}

void DrainTestEnvironment::ApplyPolicy(const std::string& sections, bool confirmed) {
  const std::string text =
      "(disruption (revision \"" + std::to_string(++revision_) + "\") " + sections + ")";
  auto policy = ReadPolicy(text);
  ASSERT_TRUE(policy.has_value()) << DescribeError(policy.error()) << ": " << text;
  const auto check = CheckPolicy(policy.value(), settings);
  EXPECT_TRUE(check.has_value()) << DescribeError(check.error()) << ": " << text;
  policy_ = std::make_shared<const DisruptionPolicy>(std::move(policy.value()));
  max_replicas_down_.clear();
  leader->ApplyDisruptionPolicy(policy_, confirmed);
}

void DrainTestEnvironment::DrainFirstMachine() {
  ApplyPolicy(std::string(kOneDownAtATime) + "(drains (drain \"one\" (machine \"m-1\")))");
}

void DrainTestEnvironment::StartOneService(uint32_t replicas) {
  StartLeader();
  AddMachine("m-1", "east");
  StartService("job-1", replicas);
}

void DrainTestEnvironment::StartOneServiceWithSpareMachine(uint32_t replicas) {
  StartOneService(replicas);
  AddMachine("m-2", "east");
  RunAndRecord(5);
}

void DrainTestEnvironment::ReplaceLeader() {
  StartLeader();
  leader->ApplyDisruptionPolicy(policy_, true);
  ProcessPending();
}

void DrainTestEnvironment::StartService(const JobSpec& spec) {
  services_[spec.id] = spec;
  EXPECT_EQ(Submit(spec).status, 201);
  RunAndRecord(3);
  EXPECT_EQ(ReplicasDown(spec.team), 0U) << spec.id;
}

void DrainTestEnvironment::StartService(const std::string& id, uint32_t replicas,
                                        const std::string& team, double cores) {
  JobSpec spec = Service(id, replicas, cores);
  spec.team = team;
  StartService(spec);
}

void DrainTestEnvironment::ApplyCloudChanges() {
  for (; booted_machines_ < cloud.provisioned.size(); ++booted_machines_) {
    AddMachine(cloud.provisioned[booted_machines_].first,
               cloud.provisioned[booted_machines_].second);
  }
  for (; removed_machines_ < cloud.released.size(); ++removed_machines_)
    LoseMachine(cloud.released[removed_machines_]);
}

void DrainTestEnvironment::LoseMachine(const std::string& machine) {
  FakeWorker& worker = WorkerAt(machine);
  worker.unresponsive = true;
  worker.heartbeat.tasks.clear();
}

void DrainTestEnvironment::StartTasks() {
  for (auto& [endpoint, worker] : workers.by_endpoint) {
    worker.image_fetch_stuck = true;
    if (machines_without_starts_.contains(worker.heartbeat.machine)) continue;
    for (TaskStatus& status : worker.heartbeat.tasks) {
      if (status.state != TaskState::kFetching) continue;
      if (jobs_without_starts_.contains(status.task_name.substr(0, status.task_name.rfind('/'))))
        continue;
      const double since =
          launched_at_.try_emplace({status.task_name, status.attempt}, clock.now).first->second;
      if (clock.now - since >= task_start_s) {
        status.state =
            worker.InGang(status.task_name) ? TaskState::kWaitingForGang : TaskState::kRunning;
      }
    }
  }
}

void DrainTestEnvironment::RunAndRecord(double seconds) {
  const double end = clock.now + seconds;
  while (clock.now < end) {
    StartTasks();
    AdvanceTime(0.5);
    ApplyCloudChanges();
    for (const auto& [id, spec] : services_) {
      max_replicas_down_[spec.team] =
          std::max(max_replicas_down_[spec.team], ReplicasDown(spec.team));
    }
  }
}

bool DrainTestEnvironment::RunUntilDrained(const std::string& drain, double max_s) {
  const double end = clock.now + max_s;
  while (clock.now < end) {
    RunAndRecord(0.5);
    if (Progress(drain).state == DrainState::kDone) return true;
  }
  return false;
}

bool DrainTestEnvironment::IsRunning(const std::string& task) const {
  return std::any_of(
      workers.by_endpoint.begin(), workers.by_endpoint.end(), [&task](const auto& at) {
        const std::vector<TaskStatus>& tasks = at.second.heartbeat.tasks;
        return !at.second.unresponsive &&
               std::any_of(tasks.begin(), tasks.end(), [&task](const TaskStatus& status) {
                 return status.task_name == task && status.state == TaskState::kRunning;
               });
      });
}

size_t DrainTestEnvironment::ReplicasDown(const std::string& team) const {
  size_t down = 0;
  for (const auto& [id, spec] : services_) {
    if (spec.team != team) continue;
    for (uint32_t task = 0; task < spec.task_count; ++task)
      down += IsRunning(id + "/" + std::to_string(task)) ? 0 : 1;
  }
  return down;
}

size_t DrainTestEnvironment::MaxReplicasDown(const std::string& team) const {
  auto it = max_replicas_down_.find(team);
  return it == max_replicas_down_.end() ? 0 : it->second;
}

DrainProgress DrainTestEnvironment::Progress(const std::string& drain) const {
  for (const DrainProgress& progress : leader->eviction_controller().Progress()) {
    if (progress.drain == drain) return progress;
  }
  ADD_FAILURE() << "no drain " << drain;
  return {};
}

size_t DrainTestEnvironment::ActiveTasksOn(const std::string& machine) const {
  auto it = workers.by_endpoint.find(machine + ":1");
  if (it == workers.by_endpoint.end()) return 0;
  return static_cast<size_t>(
      std::count_if(it->second.heartbeat.tasks.begin(), it->second.heartbeat.tasks.end(),
                    [](const TaskStatus& status) { return status.state != TaskState::kExited; }));
}

bool DrainTestEnvironment::IsReleased(const std::string& machine) const {
  return std::find(cloud.released.begin(), cloud.released.end(), machine) != cloud.released.end();
}

}  // namespace deckhall
