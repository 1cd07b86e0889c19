// Workers with gangs as the operators' page describes them: tasks of one attempt gather,
// start together, notice a lost one, save together and complete together.
#pragma once

#include <map>
#include <set>
#include <string>

#include "fakes.h"

namespace deckhall {

class GangWorld : public World {
 public:
  GangWorld() {
    cloud.refuse = true;
    settings.teams = {{"blue", 0, 40, 0, 0}, {"red", 0, 0, 0, 0}};
    settings.gang_wait_s = 20;
    settings.gang_loss_detection_s = 8;
  }
  JobSpec Gang(const std::string& id, uint32_t tasks, double cores = 2);
  FakeWorker& Box(const std::string& name, const std::string& zone, bool spot = false);
  // A leader, two machines of eight cores in one zone and a gang, job-1, for them.
  void LeadWithGang(uint32_t tasks);
  // Time passes for workers, users and the leader; worlds of gangs have no other clock.
  void Run(double seconds);
  // Tasks of the job that are on machines in that state, as the workers know it.
  size_t In(const std::string& job, TaskState wanted) const;
  // Attempt numbers of its tasks that are on machines.
  std::set<uint64_t> Attempts(const std::string& job) const;
  // Launches of the job so far.
  size_t Starts(const std::string& job) const;
  // Ends the running gang as done, on the machines that are given.
  void Complete(const std::string& job, const std::set<std::string>& only = {});
  // No task was ever on two machines.
  bool ran_twice = false;
  // Two tasks of a job were in different zones.
  bool two_zones = false;

 private:
  struct Attempt {
    bool started = false;
    double lost_at = -1;
    double first_stop = -1;
  };
  void Step();
  void StepAttempt(const std::string& job, uint64_t number);
  void Exit(TaskStatus* task, ExitReason why, bool saved = false);
  void Check();

  std::map<std::string, JobSpec> specs_;
  std::map<std::pair<std::string, uint64_t>, Attempt> attempts_;
  std::map<std::pair<std::string, uint64_t>, double> since_;  // by task and attempt
};

}  // namespace deckhall
