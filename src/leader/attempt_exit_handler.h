// Updates a job and its machine when a task attempt exits with success, a refusal or a failure.
//
// A failure is attributed to the job or to the machine, by the number of machines on which the job
// failed. A job that fails repeatedly backs off, and a machine on which different jobs fail is
// quarantined: it gets no new tasks for a while, longer each time until a task succeeds there.
// Owned by Leader.
#pragma once

#include "fleet/fleet.h"
#include "leader/gang_supervisor.h"
#include "leader/ranking.h"

namespace deckhall {

class AttemptExitHandler {
 public:
  AttemptExitHandler(JobStore* job_store, Fleet* fleet, GangSupervisor* gang_supervisor,
                     Ranking* ranking, const Clock* clock);

  // Called for each attempt that exited on the machine, after Fleet has updated its own state.
  void HandleAttemptExit(MachineIndex machine_index, const TaskAttempt& attempt);
  // Clears the failures of services that have run long enough since the last failure.
  void ClearFailuresOfStableServices();

 private:
  void RecordSuccess(Machine* machine, const TaskAttempt& attempt);
  void RecordRefusal(const Machine& machine, const TaskAttempt& attempt);
  void RecordFailure(MachineIndex machine_index, const TaskAttempt& attempt);
  // Counts the failure for the job. Returns whether it is the job's first remembered failure on
  // this machine.
  bool CountJobFailure(Job* job, MachineIndex machine_index);
  void QuarantineIfFailing(Machine* machine);

  JobStore* job_store_;
  Fleet* fleet_;
  GangSupervisor* gang_supervisor_;
  Ranking* ranking_;
  const Clock* clock_;
};

}  // namespace deckhall
