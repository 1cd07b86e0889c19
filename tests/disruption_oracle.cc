#include "disruption_oracle.h"

#include <algorithm>

namespace deckhall {

void DisruptionOracle::SetBudget(double now, const std::string& team, uint64_t max_down) {
  budgets_[team].push_back({now, max_down});
}

uint64_t DisruptionOracle::MaxBudgetSince(const std::string& team, double from) const {
  uint64_t max_down = 0;
  auto it = budgets_.find(team);
  if (it == budgets_.end()) return UINT64_MAX;
  const std::vector<BudgetChange>& changes = it->second;
  for (size_t i = 0; i < changes.size(); ++i) {
    const bool superseded = i + 1 < changes.size() && changes[i + 1].since <= from;
    if (!superseded) max_down = std::max(max_down, changes[i].max_down);
  }
  return max_down;
}

void DisruptionOracle::TaskStarted(double now, const std::string& task, const JobSpec& spec,
                                   const std::string& machine) {
  if (cancelled_jobs_.contains(spec.id)) return;
  auto [it, inserted] = replicas_.try_emplace(task);
  Replica& replica = it->second;
  replica.job = spec.id;
  replica.team = spec.team;
  replica.machine = machine;
  replica.up_since = now;
  replica.restarted = !inserted;
}

void DisruptionOracle::TaskEnded(double now, const std::string& task, const std::string& machine) {
  auto it = replicas_.find(task);
  if (it == replicas_.end() || it->second.machine != machine) return;
  it->second.machine.clear();
  it->second.down_since = now;
  const std::string& team = it->second.team;
  max_replicas_down_[team] = std::max(max_replicas_down_[team], ReplicasDown(team));
}

void DisruptionOracle::MachineLost(double now, const std::string& machine) {
  std::vector<std::string> tasks;
  for (const auto& [task, replica] : replicas_) {
    if (replica.machine == machine) tasks.push_back(task);
  }
  for (const std::string& task : tasks) {
    replicas_[task].stopped = false;
    TaskEnded(now, task, machine);
  }
}

void DisruptionOracle::JobCancelled(const std::string& job) {
  cancelled_jobs_.insert(job);
  std::erase_if(replicas_, [&job](const auto& entry) { return entry.second.job == job; });
}

// A stop may be executed long after it was decided. Stops that were executed in between were
// decided with this replica counted as down, so stops are counted at execution time; losses count
// only if the leader could know them when it decided.
bool DisruptionOracle::CountsAsDown(const Replica& replica, double now, double decided_at) const {
  if (replica.machine.empty()) {
    return replica.stopped || replica.down_since < decided_at - detect_s_;
  }
  if (!replica.restarted || replica.up_since + settle_s_ <= now) return false;
  return replica.stopped || replica.down_since < decided_at - detect_s_;
}

void DisruptionOracle::TaskStopped(double now, double decided_at, const std::string& task) {
  auto it = replicas_.find(task);
  if (it == replicas_.end() || it->second.machine.empty()) return;
  ++stops_;
  const std::string team = it->second.team;
  uint64_t down = 1;
  std::string others;
  for (const auto& [other, replica] : replicas_) {
    if (other == task || replica.team != team) continue;
    if (!CountsAsDown(replica, now, decided_at)) continue;
    ++down;
    others += " " + other + (replica.machine.empty() ? " down since " : " up, was down since ") +
              std::to_string(replica.down_since);
  }
  const uint64_t max_down = MaxBudgetSince(team, decided_at - policy_delay_s_);
  it->second.stopped = true;
  if (down <= max_down) return;
  violations_.push_back(std::to_string(now) + " budget: " + task + " is stopped, " +
                        std::to_string(down) + " of " + team + " down, " +
                        std::to_string(max_down) + " allowed; decided " +
                        std::to_string(decided_at) + others);
}

uint64_t DisruptionOracle::ReplicasDown(const std::string& team) const {
  return static_cast<uint64_t>(
      std::count_if(replicas_.begin(), replicas_.end(), [&team](const auto& entry) {
        return entry.second.team == team && entry.second.machine.empty();
      }));
}

uint64_t DisruptionOracle::MaxReplicasDown(const std::string& team) const {
  auto it = max_replicas_down_.find(team);
  return it == max_replicas_down_.end() ? 0 : it->second;
}

}  // namespace deckhall
