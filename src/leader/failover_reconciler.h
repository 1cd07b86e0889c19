// Reconciliation of tasks after a failover.
//
// A new leader knows from the records which tasks are not done, but not where a former leader
// started them: they are unreconciled until seen on a machine. Guarantee: an unreconciled task is
// released for placement only when no unreconciled machine is left that it could be on, so that it
// never runs twice at a time. Owned by Leader.
#pragma once

#include <vector>

#include "fleet/fleet.h"

namespace deckhall {

class FailoverReconciler {
 public:
  FailoverReconciler(JobStore* job_store, Fleet* fleet) : job_store_(job_store), fleet_(fleet) {}

  // The records were loaded, or a machine was reconciled: tasks may have become free.
  void RequestRelease() { release_requested_ = true; }
  // Releases tasks if that was requested and the last time is long enough ago. `now` is steady
  // time, in seconds.
  void ReleaseIfRequested(double now);

 private:
  // One unreconciled machine of each combination of type, zone and kind: which tasks a machine
  // may run depends on these alone.
  std::vector<MachineIndex> UnreconciledRepresentatives() const;
  void ReleaseTasks(const std::vector<JobIndex>& jobs,
                    const std::vector<MachineIndex>& unreconciled);

  JobStore* job_store_;
  Fleet* fleet_;
  bool release_requested_ = false;
  double next_release_at_ = 0;  // steady time, in seconds
};

}  // namespace deckhall
