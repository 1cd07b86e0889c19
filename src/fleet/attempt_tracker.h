// Tracks the attempts on machines: their desired state and the resources they hold.
//
// Guarantees: the resource sums in Machine and the usage of each team equal the resources held by
// attempts that are not released, and Job::attempt_count is the number of tracked attempts. No
// other class adds or erases attempts.
//
// Owned by Fleet. References to an attempt are valid until an attempt is added to, or erased from,
// the same machine.
#pragma once

#include <cstdint>
#include <vector>

#include "fleet/fleet_events.h"
#include "fleet/machine_registry.h"
#include "net/clock.h"
#include "state/job_store.h"

namespace deckhall {

// The resources that the attempts of a team hold.
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
  // Null if the attempt is not on the machine or was acknowledged.
  TaskAttempt* Find(MachineIndex machine_index, JobIndex job_index, uint32_t task_index,
                    uint64_t attempt_number);
  // By team index. Trailing teams that never had attempts may be missing.
  const std::vector<ResourceUsage>& team_usage() const { return team_usage_; }

  // Places a task; its launch is sent with the next commands.
  void PlaceTask(MachineIndex machine_index, JobIndex job_index, uint32_t task_index,
                 uint64_t attempt_number, bool placed_by_aging);
  // Adds an attempt, with the resources and scheduling class that its job specifies, and accounts
  // for these resources.
  TaskAttempt& Add(MachineIndex machine_index, TaskAttempt attempt);
  // Frees the resources an attempt holds. Does nothing if it is already released.
  void ReleaseResources(MachineIndex machine_index, TaskAttempt* attempt);
  // For an attempt that exited but is active again, as a heartbeat shows: accounts for its
  // resources and stops it. Its task is not placed elsewhere before it has ended.
  void HandleRestartedAttempt(MachineIndex machine_index, TaskAttempt* attempt);
  // For an attempt that the agent lost but that may be launched again by a command in transit: it
  // keeps its resources and its task until that is ruled out.
  void HandleLostAttempt(MachineIndex machine_index, TaskAttempt* attempt);
  // Releases and erases the attempt at this position in Machine::attempts.
  void Erase(MachineIndex machine_index, size_t position);
  // Makes the task wait for placement again, unless another attempt is its current one by now.
  void Requeue(MachineIndex machine_index, const TaskAttempt& attempt);
  void RequeueAndErase(MachineIndex machine_index, size_t position);
  // For an agent that lost all its tasks: erases all attempts and requeues those that had not
  // exited. `reason` is for the log.
  void RequeueAndEraseAll(MachineIndex machine_index, const char* reason);

  // Updates the number of running tasks of the job, and `running_since` of the attempt.
  void SetRunning(TaskAttempt* attempt, bool now_running);

  // Sets the desired state to stopped. A repeated request has an effect only if its grace period is
  // shorter.
  void RequestStop(MachineIndex machine_index, TaskAttempt* attempt, double grace_period_s);
  // Stops all attempts of a job, without a grace period.
  void RequestStopOfJob(JobIndex job_index);
  // Stops those attempts of a job that no heartbeat has listed yet, so that they are not launched
  // again.
  void RequestStopOfUnreported(JobIndex job_index);

  // Notifies the observer, if the attempt is a replica, that its health may have changed.
  void NotifyReplicaChanged(const TaskAttempt& attempt);

 private:
  // The machines with attempts of the job that hold resources, each once.
  std::vector<MachineIndex> DistinctMachinesOf(JobIndex job_index) const;
  // Notifies the observer that a task of an active array is stopped before it is done.
  void NotifyArrayTaskStopped(const TaskAttempt& attempt);
  // Copies the job's resources and scheduling class into the attempt.
  void AssignToJob(TaskAttempt* attempt);
  // Makes the attempt the current one of its task, if the task waits, so that it is not placed.
  void BlockTask(MachineIndex machine_index, const TaskAttempt& attempt);
  // Accounts for the resources of the attempt.
  void HoldResources(MachineIndex machine_index, const TaskAttempt& attempt);
  void ReleaseFromJob(MachineIndex machine_index, const TaskAttempt& attempt);

  JobStore* job_store_;
  MachineRegistry* machines_;
  const Clock* clock_;
  FleetEvents* events_;
  std::vector<ResourceUsage> team_usage_;
  uint64_t next_attempt_number_;
};

}  // namespace deckhall
