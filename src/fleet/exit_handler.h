// Applies the exit of an attempt to its task and its job.
//
// A task of an array or gang that exits as done is complete; any other exit makes the task wait for
// placement again. A job ends when all its tasks are done.
//
// Owned by Fleet.
#pragma once

#include "fleet/attempt_tracker.h"
#include "fleet/fleet_events.h"
#include "fleet/machine_registry.h"
#include "net/clock.h"
#include "state/job_store.h"

namespace deckhall {

class ExitHandler {
 public:
  ExitHandler(JobStore* job_store, MachineRegistry* machines, AttemptTracker* attempts,
              const Clock* clock, FleetEvents* events);

  // Handles the first heartbeat that lists `attempt` as exited, with its exit reason set.
  void HandleExit(MachineIndex machine_index, TaskAttempt* attempt);

 private:
  void HandleCompletion(MachineIndex machine_index, const TaskAttempt& attempt);
  // Stops the current attempt of the task if it is not the completed one, as it is no longer
  // needed.
  void StopReplacement(MachineIndex machine_index, const TaskAttempt& completed);
  // The tasks of a gang complete together.
  void CompleteGang(JobIndex job_index);
  // Ends the job if all its tasks are done, and saves it otherwise.
  void SaveOrEndJob(JobIndex job_index);
  void LogJobDone(JobIndex job_index) const;

  JobStore* job_store_;
  MachineRegistry* machines_;
  AttemptTracker* attempts_;
  const Clock* clock_;
  FleetEvents* events_;
};

}  // namespace deckhall
