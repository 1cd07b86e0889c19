// A leader with machines that can be drained. The number of replicas that are down is counted from
// the state of the workers.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "drain/policy.h"
#include "fakes.h"

namespace deckhall {

// Budget that allows one replica of each team to be down.
constexpr const char* kOneDownAtATime =
    "(budgets (default (down \"1\"))) (steps (settle-s \"3\") (image-wait-s \"1\")) ";

class DrainTestEnvironment : public LeaderTestEnvironment {
 public:
  DrainTestEnvironment();

  // Applies a disruption policy with these sections and the next revision number.
  void ApplyPolicy(const std::string& sections, bool confirmed = true);
  // Drains m-1 with one replica down at a time. The name of the drain is "one".
  void DrainFirstMachine();
  // Starts a leader, machine m-1 and a service of the team red on it.
  void StartOneService(uint32_t replicas);
  // The same, with machine m-2 that has free capacity for the service.
  void StartOneServiceWithSpareMachine(uint32_t replicas);
  // Replaces the leader by a new one with the current policy.
  void ReplaceLeader();
  // Submits a service of the team and waits until it runs.
  void StartService(const std::string& id, uint32_t replicas, const std::string& team = "red",
                    double cores = 2);
  void StartService(const JobSpec& spec);
  // The replicas of the service are no longer counted.
  void StopTracking(const std::string& id) { services_.erase(id); }
  // Advances the time: provisioned machines come up and released machines go away. Records the
  // maximum of replicas down after each step.
  void RunAndRecord(double seconds);
  // RunAndRecord() until the drain is done; false if it is not done within `max_s`.
  bool RunUntilDrained(const std::string& drain, double max_s);
  // Counts the replicas of the team's services that do not run on any worker.
  size_t ReplicasDown(const std::string& team) const;
  // Maximum of ReplicasDown() since the last ApplyPolicy().
  size_t MaxReplicasDown(const std::string& team) const;
  DrainProgress Progress(const std::string& drain) const;
  std::string BlockedReason(const std::string& drain) const {
    return Progress(drain).blocked_reason;
  }
  size_t ActiveTasksOn(const std::string& machine) const;
  bool IsReleased(const std::string& machine) const;
  bool IsRunning(const std::string& task) const;
  FakeWorker& WorkerAt(const std::string& machine) { return workers.by_endpoint[machine + ":1"]; }
  void LoseMachine(const std::string& machine);
  // Tasks that start on the machine from now on do not reach the running state.
  void BlockStartsOn(const std::string& machine) { machines_without_starts_.insert(machine); }
  // Tasks of the job that start on any machine from now on do not reach the running state.
  void BlockStartsOfJob(const std::string& job) { jobs_without_starts_.insert(job); }
  void UnblockStartsOn(const std::string& machine) { machines_without_starts_.erase(machine); }

  double task_start_s = 1;  // from the start command until the task runs

 private:
  // Moves started tasks to the running state after `task_start_s`.
  void StartTasks();
  void ApplyCloudChanges();

  std::shared_ptr<const DisruptionPolicy> policy_;
  uint64_t revision_ = 0;
  std::map<std::string, JobSpec> services_;
  std::map<std::string, size_t> max_replicas_down_;
  std::map<std::pair<std::string, uint64_t>, double> launched_at_;  // by task and attempt
  std::set<std::string> machines_without_starts_;
  std::set<std::string> jobs_without_starts_;
  size_t booted_machines_ = 0;
  size_t removed_machines_ = 0;
};

}  // namespace deckhall
