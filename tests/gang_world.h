// A leader with workers that run gangs as described in the operators' documentation: the tasks of
// an attempt wait for each other, start together, detect a lost member, write checkpoints together
// and complete together.
#pragma once

#include <map>
#include <set>
#include <string>

#include "fakes.h"

namespace deckhall {

class GangTestEnvironment : public LeaderTestEnvironment {
 public:
  GangTestEnvironment() {
    cloud.out_of_capacity = true;
    settings.teams = {{"blue", 0, 40, 0, 0}, {"red", 0, 0, 0, 0}};
    settings.gang_wait_s = 20;
    settings.gang_loss_detection_s = 8;
  }
  JobSpec GangJob(const std::string& id, uint32_t tasks, double cores = 2);
  FakeWorker& AddGangMachine(const std::string& name, const std::string& zone, bool spot = false);
  // Starts a leader with two machines of 8 cores in one zone, and submits the gang job-1.
  void StartLeaderWithGang(uint32_t tasks);
  // Advances the time of the workers and the leader. Tests with gangs use this instead of
  // AdvanceTime(), which does not update the gangs.
  void Run(double seconds);
  // Counts the tasks of the job on the workers that are in this state.
  size_t TasksInState(const std::string& job, TaskState wanted_state) const;
  // Attempt numbers of the job's tasks that have not exited.
  std::set<uint64_t> Attempts(const std::string& job) const;
  // Counts the task starts of the job so far.
  size_t StartCount(const std::string& job) const;
  // Ends the running tasks of the gang as done, on the given machines or on all if `only` is empty.
  void Complete(const std::string& job, const std::set<std::string>& only = {});
  // A task was on two machines at the same time.
  bool task_ran_twice = false;
  // Tasks of one job were in different zones.
  bool job_in_two_zones = false;

 private:
  struct Attempt {
    bool started = false;
    double lost_at = -1;
    double first_stop_at = -1;
  };
  void Step();
  void StepAttempt(const std::string& job, uint64_t number);
  void EndTask(TaskStatus* task, ExitReason reason, bool checkpointed = false);
  void CheckPlacement();

  std::map<std::string, JobSpec> specs_;
  std::map<std::pair<std::string, uint64_t>, Attempt> attempts_;
  std::map<std::pair<std::string, uint64_t>, double> present_since_;  // by task and attempt
};

}  // namespace deckhall
