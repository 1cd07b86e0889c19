// The one accountant of disruption: which replicas are not available, for whatever cause, and
// whether one more may go down voluntarily. Every voluntary stop asks here first.
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

// A replica is available once it has run for EvictionLimits::settle_s on a machine about which
// there is no doubt, and is to stay there. One that never ran in this term counts only if an
// earlier leader accepted its job: then it may have run, and is taken as down until it is seen.
//
// Changes are noted as they happen and looked at in Refresh(): the work for each does not depend
// on the number of machines or jobs. Replicas have dense numbers, kept in compressed bitmaps.
class DisruptionLedger : public DisruptionObserver {
 public:
  // A machine not heard for `overdue_s` is in doubt.
  DisruptionLedger(JobStore* job_store, Fleet* fleet, const Clock* clock, double overdue_s);

  // The policy in force. `confirmed`: the state service said so in this term; until then
  // nothing voluntary is allowed. Null: nothing is counted, everything is allowed.
  void ApplyPolicy(std::shared_ptr<const DisruptionPolicy> policy, bool confirmed);
  bool active() const { return policy_ != nullptr; }
  // Takes in what changed since the last call.
  void Refresh();

  // Whether one more available replica of the job may go down now.
  BlockedState BlockedFromEvicting(JobIndex job_index) const;
  // Whether what is down, chosen replicas included, is within the budgets of the job.
  BlockedState BudgetViolation(JobIndex job_index) const;
  // Whether these tasks of arrays, one entry each, may be stopped now.
  BlockedState BlockedFromStopping(const std::vector<JobIndex>& tasks) const;
  // A replica was chosen to be stopped: it counts as down from now on. Released when it was
  // told to stop, or is not stopped after all.
  void ReserveDisruption(JobIndex job_index, uint32_t task_index);
  void ReleaseDisruption(JobIndex job_index, uint32_t task_index);
  bool IsAvailable(JobIndex job_index, uint32_t task_index) const;
  // Replicas of the job that are available.
  uint64_t CountAvailable(JobIndex job_index) const;
  // Replicas of the team that are not available, as counted; for reports and tests.
  uint64_t CountUnavailable(const std::string& team) const;

  void ReplicaChanged(JobIndex job_index, uint32_t task_index) override;
  void ArrayTaskStopped(JobIndex job_index) override;
  void JobChanged(JobIndex job_index) override;

  // Replicas and machines looked at so far, to bound the work as the fleet grows.
  uint64_t work_units() const { return work_units_; }

 private:
  // What one budget counts.
  struct Account {
    std::string name;
    std::optional<DownLimit> down;
    std::optional<uint32_t> stopped;
    Roaring expected;          // replicas that ran, or may have
    Roaring unavailable;       // of those
    std::deque<double> stops;  // times at which tasks of arrays were lost or stopped
  };
  struct Replica {
    JobIndex job = kNoIndex;
    uint32_t task = 0;
  };
  // The numbers of a job's replicas, and the accounts that it belongs to.
  struct CountedJob {
    uint32_t first_replica = 0;
    uint32_t replica_count = 0;
    std::vector<size_t> accounts;
    bool may_have_run = false;
  };

  // `first`: nothing was counted so far in this term, any replica may have run.
  void Rebuild(bool first);
  std::vector<size_t> AccountsOf(const Job& job);
  size_t AccountFor(const std::string& team, const std::string& job_class);
  void AddJob(JobIndex job_index, bool may_have_run);
  void RemoveJob(JobIndex job_index);
  void RefreshDoubts();
  bool IsInDoubt(const Machine& machine) const;
  Replica ReplicaOf(uint32_t number) const;
  void UpdateReplica(uint32_t number);
  BlockedState BudgetShortfall(const CountedJob& job, uint64_t more) const;
  size_t StopsInWindow(const Account& account) const;

  JobStore* job_store_;
  Fleet* fleet_;
  const Clock* clock_;
  double overdue_s_;
  std::shared_ptr<const DisruptionPolicy> policy_;
  bool confirmed_ = false;
  // Losses before this term are not known: no array is stopped until they no longer count.
  double stops_known_from_ = -1;
  std::vector<Account> accounts_;
  std::map<std::pair<std::string, std::string>, size_t> account_index_;
  std::map<JobIndex, CountedJob> jobs_;
  std::map<uint32_t, JobIndex> job_by_first_replica_;  // by its first number
  uint32_t next_replica_ = 0;
  Roaring changed_;                          // replicas to look at
  Roaring available_;                        // replicas
  Roaring held_;                             // replicas chosen to be stopped
  Roaring doubtful_;                         // machines
  std::multimap<double, uint32_t> settles_;  // when which replica has run for long enough
  mutable uint64_t work_units_ = 0;
};

}  // namespace deckhall
