// Reconciles the attempts tracked on a machine with those a heartbeat lists.
//
// The heartbeat is right where it contradicts what is known. A listed attempt that is tracked gets
// its observed state, and is stopped if it counted as exited but is active. One that is not tracked
// is adopted, and stopped unless an earlier leader launched it and its task still needs it. A
// tracked attempt that is not listed was acknowledged, lost, or has not been launched yet; it is
// released once the agent has seen a token higher than that of its launches.
//
// Owned by Fleet. Called only for reconciled machines, and only with a heartbeat newer than all
// applied before.
#pragma once

#include "fleet/attempt_tracker.h"
#include "fleet/exit_handler.h"
#include "fleet/machine_registry.h"
#include "net/clock.h"
#include "state/job_store.h"
#include "wire/types.h"

namespace deckhall {

class AttemptReconciler {
 public:
  AttemptReconciler(JobStore* job_store, MachineRegistry* machines, AttemptTracker* attempts,
                    ExitHandler* exits, const Clock* clock, uint64_t term);

  void Reconcile(MachineIndex machine_index, const Heartbeat& heartbeat);

 private:
  // Starts tracking an attempt that an earlier leader placed.
  void AdoptAttempt(MachineIndex machine_index, const TaskStatus& status);
  // The attempt to track for `status`; `wanted` is set if its task may still need it.
  TaskAttempt MakeAdoptedAttempt(MachineIndex machine_index, const TaskStatus& status);
  void ApplyTaskStatus(MachineIndex machine_index, TaskAttempt* attempt, const TaskStatus& status);
  // Handles the tracked attempt at `position` in Machine::attempts, which the heartbeat does not
  // list.
  void ResolveUnlisted(MachineIndex machine_index, size_t position, const Heartbeat& heartbeat);

  JobStore* job_store_;
  MachineRegistry* machines_;
  AttemptTracker* attempts_;
  ExitHandler* exits_;
  const Clock* clock_;
  const uint64_t term_;
};

}  // namespace deckhall
