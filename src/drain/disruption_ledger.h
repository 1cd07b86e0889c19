// Tracks which replicas are unavailable, for whatever cause, and decides whether the disruption
// budgets allow one more voluntary disruption. Every voluntary stop is checked here first.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <roaring/roaring.hh>
#include <string>
#include <vector>

#include "drain/blocked_reason.h"
#include "drain/policy.h"
#include "fleet/fleet.h"
#include "net/clock.h"

namespace deckhall {

// A replica is available once it has run for EvictionLimits::settle_s on a machine that is not at
// risk, unless it is to be stopped. A replica that has not run in this term counts only if an
// earlier leader accepted its job: it may have run then, and is unavailable until it is reported.
//
// Changes are recorded as they happen and evaluated in Refresh(), at a cost that does not depend on
// the number of machines or jobs. Replicas are numbered densely, for use in compressed bitmaps.
class DisruptionLedger : public DisruptionObserver {
 public:
  // A machine that sends nothing for `heartbeat_overdue_s` counts as at risk.
  DisruptionLedger(JobStore* job_store, Fleet* fleet, const Clock* clock,
                   double heartbeat_overdue_s);

  // Sets the policy in force. `confirmed`: the state service returned it in this term; until then
  // no voluntary disruption is allowed. If null, nothing is tracked and everything is allowed.
  void ApplyPolicy(std::shared_ptr<const DisruptionPolicy> policy, bool confirmed);
  bool active() const { return policy_ != nullptr; }
  // Evaluates the changes since the last call.
  void Refresh();

  // Returns why no further available replica of the job may be disrupted now.
  BlockedState BlockedFromEvicting(JobIndex job_index) const;
  // Returns the budget of the job that the unavailable replicas, reserved ones included, exceed.
  BlockedState BudgetViolation(JobIndex job_index) const;
  // Returns why these array tasks, given by one entry of their job each, may not be stopped now.
  BlockedState BlockedFromStopping(const std::vector<JobIndex>& tasks) const;
  // Counts a replica that was selected for a stop as unavailable from now on, until
  // ReleaseDisruption(): called once its stop was requested or abandoned.
  void ReserveDisruption(JobIndex job_index, uint32_t task_index);
  void ReleaseDisruption(JobIndex job_index, uint32_t task_index);
  bool IsAvailable(JobIndex job_index, uint32_t task_index) const;
  uint64_t CountAvailable(JobIndex job_index) const;
  // Unavailable replicas that count against the team's budget; for reports and tests.
  uint64_t CountUnavailable(const std::string& team) const;

  void ReplicaChanged(JobIndex job_index, uint32_t task_index) override;
  void ArrayTaskStopped(JobIndex job_index) override;
  void JobChanged(JobIndex job_index) override;

  // Replicas evaluated so far; tests use it to bound the work as the fleet grows.
  uint64_t work_units() const { return work_units_; }

 private:
  // What counts against one budget.
  struct BudgetUsage {
    std::string name;
    std::optional<DownLimit> down_limit;
    std::optional<uint32_t> max_stopped_tasks;
    Roaring expected;               // replicas that have run, or may have
    Roaring unavailable;            // subset of `expected`
    std::deque<double> stop_times;  // when array tasks were lost or stopped, oldest first
  };
  struct Replica {
    JobIndex job = kNoIndex;
    uint32_t task = 0;
  };
  // The replica numbers of a job, and the budgets that it counts against.
  struct CountedJob {
    uint32_t first_replica = 0;
    uint32_t replica_count = 0;
    std::vector<size_t> usages;
    bool may_have_run = false;  // under an earlier leader
  };

  // `first_policy`: nothing was tracked so far in this term, so any replica may have run.
  void Rebuild(bool first_policy);
  std::vector<size_t> UsagesOf(const Job& job);
  size_t UsageFor(const std::string& team, const std::string& job_class);
  void AddJob(JobIndex job_index, bool may_have_run);
  void RemoveJob(JobIndex job_index);
  void RefreshMachinesAtRisk();
  bool IsAtRisk(const Machine& machine) const;
  Replica ReplicaOf(uint32_t number) const;
  void UpdateReplica(uint32_t number);
  BlockedState BudgetShortfall(const CountedJob& job, uint64_t additional) const;
  size_t StopsInWindow(const BudgetUsage& usage) const;

  JobStore* job_store_;
  Fleet* fleet_;
  const Clock* clock_;
  double heartbeat_overdue_s_;
  std::shared_ptr<const DisruptionPolicy> policy_;
  bool confirmed_ = false;
  // Stops of array tasks are recorded from the first policy of this term on. Budgets that limit
  // them allow none until the records cover a whole window.
  double stop_history_complete_at_ = -1;
  std::vector<BudgetUsage> usages_;
  std::map<std::pair<std::string, std::string>, size_t> usage_index_;
  std::map<JobIndex, CountedJob> jobs_;
  std::map<uint32_t, JobIndex> job_by_first_replica_;
  uint32_t next_replica_ = 0;
  Roaring changed_replicas_;  // replicas to evaluate in Refresh()
  Roaring available_replicas_;
  Roaring reserved_;                              // replicas selected for a stop
  Roaring machines_at_risk_;                      // machines with replicas of services
  std::multimap<double, uint32_t> settle_times_;  // replicas by the time at which they settle
  mutable uint64_t work_units_ = 0;
};

}  // namespace deckhall
