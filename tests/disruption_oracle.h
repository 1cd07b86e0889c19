// Checks the disruption budgets from the workers' view, independent of the controllers' state: at
// each voluntary stop, no more replicas of the team are down than its budget allows.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "wire/types.h"

namespace deckhall {

class DisruptionOracle {
 public:
  // The leader detects a lost replica within `detect_s` and applies a new budget within
  // `policy_delay_s`. A replacement counts as up after it has run for `settle_s`.
  DisruptionOracle(double detect_s, double policy_delay_s, double settle_s)
      : detect_s_(detect_s), policy_delay_s_(policy_delay_s), settle_s_(settle_s) {}

  // Sets the budget of a team. A higher previous budget remains valid for stops decided earlier.
  void SetBudget(double now, const std::string& team, uint64_t max_down);
  // A replica of a service started or ended on the machine.
  void TaskStarted(double now, const std::string& task, const JobSpec& spec,
                   const std::string& machine);
  void TaskEnded(double now, const std::string& task, const std::string& machine);
  void MachineLost(double now, const std::string& machine);
  // The user requested the cancellation; the replicas of the job are no longer counted.
  void JobCancelled(const std::string& job);
  // A running replica received a stop command that was first sent at `decided_at`. Must be called
  // before TaskEnded().
  void TaskStopped(double now, double decided_at, const std::string& task);

  const std::vector<std::string>& violations() const { return violations_; }
  size_t stops() const { return stops_; }
  // Counts the replicas of the team that are not running.
  uint64_t ReplicasDown(const std::string& team) const;
  uint64_t MaxReplicasDown(const std::string& team) const;

 private:
  struct Replica {
    std::string job;
    std::string team;
    std::string machine;  // empty if it is down
    double up_since = 0;
    double down_since = 0;
    bool restarted = false;
    bool stopped = false;  // it ended by a voluntary stop
  };
  struct BudgetChange {
    double since;
    uint64_t max_down;
  };

  // Whether the leader had to count the replica as down when it decided the stop.
  bool CountsAsDown(const Replica& replica, double now, double decided_at) const;
  uint64_t MaxBudgetSince(const std::string& team, double from) const;

  double detect_s_;
  double policy_delay_s_;
  double settle_s_;
  std::map<std::string, Replica> replicas_;  // by task name
  std::set<std::string> cancelled_jobs_;
  std::map<std::string, std::vector<BudgetChange>> budgets_;
  std::map<std::string, uint64_t> max_replicas_down_;
  std::vector<std::string> violations_;
  size_t stops_ = 0;
};

}  // namespace deckhall
