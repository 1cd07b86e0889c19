// Supervises gangs after their start. An attempt that has lost a task, or whose lost tasks can't be
// replaced in time, is stopped as a whole, so that the gang restarts soon. A stop always applies to
// all tasks of an attempt.
//
// Owned by the leader. The state of an attempt is in Job::gang_attempt and the fields next to it,
// and is rebuilt from the agents' heartbeats after a failover.
#pragma once

#include <functional>
#include <vector>

#include "config/settings.h"
#include "fleet/fleet.h"
#include "leader/ranking.h"

namespace deckhall {

class GangSupervisor {
 public:
  GangSupervisor(JobStore* job_store, Fleet* fleet, const Ranking* ranking, const Clock* clock,
                 const Settings* settings);

  // Handles the exit of an attempt; ignored if it doesn't belong to a gang's current attempt.
  void HandleTaskExit(const TaskAttempt& attempt);

  // Checks all gangs that have tasks on machines.
  void CheckGangs();

  // Stops the whole gang, with a grace period for checkpoints if all of its tasks can write them.
  // `reason` is logged.
  void StopGang(JobIndex job_index, const char* reason);

  // Handles a notice that the cloud reclaims the machine of this gang task in `seconds_left`.
  void HandlePreemptionNotice(MachineIndex machine_index, TaskAttempt* attempt,
                              double seconds_left);

 private:
  // The current attempt, as reported by the heartbeats of its machines.
  struct GangAttempt {
    uint64_t number = 0;         // 0 if no task of the gang is wanted
    bool started = false;        // some of its tasks run or have run
    bool checkpointing = false;  // some of its tasks were instructed to stop
    double running_since = -1;   // start of the latest task; negative if none runs
  };

  using AttemptVisitor = std::function<void(MachineIndex, TaskAttempt*)>;
  // Calls `visit` for each of the job's attempts that still use resources on a machine.
  void ForEachAttempt(JobIndex job_index, const AttemptVisitor& visit);
  GangAttempt ObserveAttempt(JobIndex job_index);
  void CheckGang(JobIndex job_index);
  void StopEarlierAttempts(JobIndex job_index, uint64_t current_attempt);
  // Whether all tasks can write a checkpoint before they detect the loss of their peers.
  bool CanCheckpoint(const JobSpec& spec) const;
  // Whether it is too late to replace a lost task before the others stop waiting for it.
  bool IsTooLateToComplete(const Job& job) const;
  // Stops all tasks of the gang that are still wanted.
  void StopAttempts(JobIndex job_index, double grace_period_s, const char* reason);

  JobStore* job_store_;
  Fleet* fleet_;
  const Ranking* ranking_;
  const Clock* clock_;
  const Settings* settings_;
};

}  // namespace deckhall
