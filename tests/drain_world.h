// One leader with machines that can be drained: counts from the workers' side what is down.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "drain/policy.h"
#include "fakes.h"

namespace deckhall {

// One replica of each team at a time.
constexpr const char* kOneDownAtATime =
    "(budgets (default (down \"1\"))) (steps (settle-s \"3\") (image-wait-s \"1\")) ";

class DrainWorld : public World {
 public:
  DrainWorld();

  // The disruption policy with these sections; its revision goes up each time.
  void Policy(const std::string& sections, bool confirmed = true);
  // Drains m-1, with one replica down at a time; the drain is called "one".
  void DrainOne();
  // A leader, and a service of the team red on m-1.
  void OneService(uint32_t replicas);
  // The same, and m-2 with room for it.
  void OneServiceWithRoomBeside(uint32_t replicas);
  // Another leader begins, with the policy in force.
  void NextLeader();
  // Submits a service of the team and lets it come up.
  void StartService(const std::string& id, uint32_t replicas, const std::string& team = "red",
                    double cores = 2);
  void StartService(const JobSpec& spec);
  // The service is over: it is no longer counted.
  void Forget(const std::string& id) { services_.erase(id); }
  // Lets time pass; machines that were rented come up, those that were returned are gone. After
  // each step notes how much is down.
  void Watch(double seconds);
  // Watches until the drain is done; false when it is not in time.
  bool WatchUntilDone(const std::string& drain, double most_s);
  // Replicas of the team's services that do not run, as the workers see it.
  size_t Down(const std::string& team) const;
  // The most that was down at any time so far, since the last Policy().
  size_t MostDown(const std::string& team) const;
  DrainProgress Progress(const std::string& drain) const;
  // Why the drain waits, in words.
  std::string Why(const std::string& drain) const { return Progress(drain).blocked_reason; }
  size_t OnMachine(const std::string& machine) const;
  bool Returned(const std::string& machine) const;
  bool Runs(const std::string& task) const;
  // Stops that the worker was told so far are counted by their machine.
  FakeWorker& At(const std::string& machine) { return workers.at[machine + ":1"]; }
  void Lose(const std::string& machine);
  // Tasks that are started there from now on never run.
  void Break(const std::string& machine) { broken_.insert(machine); }
  // Tasks of the job that are started from now on never run, wherever that is.
  void BreakJob(const std::string& job) { broken_jobs_.insert(job); }
  void Mend(const std::string& machine) { broken_.erase(machine); }

  double start_s = 1;  // from a launch until the task runs

 private:
  // Tasks take a while to start.
  void StartTasks();
  void FollowCloud();

  std::shared_ptr<const DisruptionPolicy> policy_;
  uint64_t revision_ = 0;
  std::map<std::string, JobSpec> services_;
  std::map<std::string, size_t> most_down_;
  std::map<std::pair<std::string, uint64_t>, double> launched_;  // by task and attempt
  std::set<std::string> broken_;
  std::set<std::string> broken_jobs_;
  size_t booted_ = 0;
  size_t removed_ = 0;
};

}  // namespace deckhall
