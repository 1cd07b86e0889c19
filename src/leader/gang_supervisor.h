// Supervises gangs after their start: an attempt that lost a task, or can't be completed in time,
// is stopped as a whole, so that it starts again soon. A stop reaches all tasks of an attempt or
// none.
//
// Owned by the leader. What it knows of an attempt is in Job::gang_attempt and the fields beside
// it, and is rebuilt from the workers' heartbeats after a failover.
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

  // A task of the gang exited there.
  void HandleTaskExit(const TaskAttempt& attempt);

  // Checks all gangs that have tasks on machines.
  void CheckGangs();

  // Stops the whole gang; with time for its checkpoints if all of its tasks can write them.
  // `reason` goes into the log.
  void StopGang(JobIndex job_index, const char* reason);

  // The cloud takes a machine that holds this task of a gang away in `seconds_left`.
  void HandlePreemptionNotice(MachineIndex machine_index, TaskAttempt* attempt,
                              double seconds_left);

 private:
  // The present attempt, as its tasks' heartbeats show it.
  struct GangAttempt {
    uint64_t number = 0;         // 0: none of the gang's tasks is wanted
    bool started = false;        // its tasks run, or did
    bool checkpointing = false;  // some of its tasks were told to stop
    double running_since = -1;   // of the task that started last; negative: none runs
  };

  using AttemptVisitor = std::function<void(MachineIndex, TaskAttempt*)>;
  // Calls `visit` for each of the job's attempts that take resources on a machine.
  void ForEachAttempt(JobIndex job_index, const AttemptVisitor& visit);
  GangAttempt ObserveAttempt(JobIndex job_index);
  void CheckGang(JobIndex job_index);
  void StopEarlierAttempts(JobIndex job_index, uint64_t present_attempt);
  // Whether all tasks can write a checkpoint before they notice that others are gone.
  bool CanCheckpoint(const JobSpec& spec) const;
  // Whether a lost task can't be replaced any more before the gang gives up.
  bool IsTooLateToComplete(const Job& job) const;
  // Stops all tasks that are still wanted.
  void StopAttempts(JobIndex job_index, double grace_period_s, const char* reason);

  JobStore* job_store_;
  Fleet* fleet_;
  const Ranking* ranking_;
  const Clock* clock_;
  const Settings* settings_;
};

}  // namespace deckhall
