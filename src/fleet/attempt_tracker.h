// The attempts on machines: their desired state, and the resources they hold.
//
// Guarantees: the sums in Machine, the attempt counts of Job, and the usage of each team equal
// what the attempts that are not released hold. Nothing else adds or erases attempts.
//
// Owned by Fleet. References to an attempt are valid until one is added to, or erased from, the
// same machine.
#pragma once

#include <cstdint>
#include <vector>

#include "fleet/fleet_events.h"
#include "fleet/machine_registry.h"
#include "net/clock.h"
#include "state/job_store.h"

namespace deckhall {

// What the attempts of a team hold.
struct ResourceUsage {
  double cores = 0;
  double gpus = 0;
};

class AttemptTracker {
 public:
  AttemptTracker(JobStore* job_store, MachineRegistry* machines, const Clock* clock, uint64_t term,
                 FleetEvents* events);

  // An attempt number that was never used before, in any term.
  uint64_t NewAttemptNumber() { return next_attempt_number_++; }
  // The attempt; null if it is not on the machine or was acknowledged.
  TaskAttempt* Find(MachineIndex machine_index, JobIndex job_index, uint32_t task_index,
                    uint64_t attempt_number);
  // By team index. Teams without attempts so far may be missing at the end.
  const std::vector<ResourceUsage>& team_usage() const { return team_usage_; }

  // Places a task; the launch goes out with the next commands.
  void PlaceTask(MachineIndex machine_index, JobIndex job_index, uint32_t task_index,
                 uint64_t attempt_number, bool placed_by_aging);
  // Adds an attempt and takes its resources, both as its job specifies them.
  TaskAttempt& Add(MachineIndex machine_index, TaskAttempt attempt);
  // Frees what an attempt holds. Does nothing if it was released already.
  void ReleaseResources(MachineIndex machine_index, TaskAttempt* attempt);
  // Releases and erases the attempt at this position in Machine::attempts.
  void Erase(MachineIndex machine_index, size_t position);
  // Makes the task wait for placement again, unless another attempt stands for it by now.
  void Requeue(MachineIndex machine_index, const TaskAttempt& attempt);
  void RequeueAndErase(MachineIndex machine_index, size_t position);
  // The agent lost everything: erases all attempts and requeues those that had not exited.
  // `reason` is for the log.
  void LoseAll(MachineIndex machine_index, const char* reason);

  // Updates the count of running tasks, and since when the attempt runs.
  void SetRunning(TaskAttempt* attempt, bool now_running);

  // Sets the desired state to stopped. A second request counts only if its grace period is
  // shorter.
  void RequestStop(MachineIndex machine_index, TaskAttempt* attempt, double grace_period_s);
  // Stops all attempts of a job, without a grace period.
  void RequestStopOfJob(JobIndex job_index);
  // The same for those no heartbeat has listed yet, so that they are not launched again.
  void RequestStopOfUnreported(JobIndex job_index);

  // Tells the observer that the health of the replica may have changed, if it is one.
  void NotifyReplicaChanged(const TaskAttempt& attempt);

 private:
  // Tells the observer that a task of an active array is stopped before its end.
  void NotifyArrayTaskStopped(const TaskAttempt& attempt);
  // Copies what the job specifies into the attempt, and counts it for job and team.
  void AssignToJob(MachineIndex machine_index, TaskAttempt* attempt);
  void ReleaseFromJob(MachineIndex machine_index, const TaskAttempt& attempt);

  JobStore* job_store_;
  MachineRegistry* machines_;
  const Clock* clock_;
  FleetEvents* events_;
  std::vector<ResourceUsage> team_usage_;
  uint64_t next_attempt_number_;
};

}  // namespace deckhall
