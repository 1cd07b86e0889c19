// Reconciliation of tasks after a failover.
//
// A new leader knows from the records which tasks have not finished, but not on which machines a
// former leader started them. Such a task is unreconciled until a machine reports it. Guarantee: an
// unreconciled task is released for placement only when it can't be on any unreconciled machine, so
// that it never runs twice at a time. Owned by Leader.
#pragma once

#include <vector>

#include "fleet/fleet.h"

namespace deckhall {

class FailoverReconciler {
 public:
  FailoverReconciler(JobStore* job_store, Fleet* fleet) : job_store_(job_store), fleet_(fleet) {}

  // Requests a check after the records were loaded or a machine was reconciled, since tasks may
  // have become releasable.
  void RequestRelease() { release_requested_ = true; }
  // Releases tasks if a check was requested and the minimum interval since the last one has passed.
  // `now` is steady time, in seconds.
  void ReleaseIfRequested(double now);

 private:
  // One unreconciled machine of each combination of type, zone and kind (spot or not). Which tasks
  // a machine may run depends on these alone.
  std::vector<MachineIndex> UnreconciledRepresentatives() const;
  void ReleaseTasks(const std::vector<JobIndex>& jobs,
                    const std::vector<MachineIndex>& unreconciled);

  JobStore* job_store_;
  Fleet* fleet_;
  bool release_requested_ = false;
  double next_release_at_ = 0;  // steady time, in seconds
};

}  // namespace deckhall
