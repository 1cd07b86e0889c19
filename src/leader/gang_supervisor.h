// Watches over gangs that were placed: one that lost a task after its start, or can't be
// completed in time, is ended as a whole so that it starts again soon; stops reach all of
// its tasks or none.
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

  // A task of the gang ended there.
  void HandleTaskExit(const TaskAttempt& attempt);
  // Looks at all gangs that are on machines.
  void CheckGangs();
  // Stops all of the gang, with time to save if all of its tasks can.
  void StopGang(JobIndex job_index, const char* why);
  // The cloud takes a machine away that holds this task of a gang.
  void HandlePreemptionNotice(MachineIndex machine_index, TaskAttempt* attempt,
                              double seconds_left);

 private:
  // What is known of the present attempt.
  struct Attempt {
    uint64_t number = 0;
    bool started = false;        // its tasks run, or did
    bool checkpointing = false;  // some of its tasks were told to stop and save
    double running_since = -1;
  };

  using Visit = std::function<void(MachineIndex, TaskAttempt*)>;
  // Calls `visit` for each attempt of the job that takes room on a machine.
  void ForEachAttempt(JobIndex job_index, const Visit& visit);
  Attempt ObserveAttempt(JobIndex job_index);
  void CheckGang(JobIndex job_index);
  // Whether all of it can save before its tasks notice that others are gone.
  bool CanCheckpoint(const JobSpec& spec) const;
  // A lost task is not replaced any more.
  bool IsTooLateToComplete(const Job& job) const;
  // Stops all of it that is still wanted.
  void StopAttempts(JobIndex job_index, double grace_s, const char* why);

  JobStore* job_store_;
  Fleet* fleet_;
  const Ranking* ranking_;
  const Clock* clock_;
  const Settings* settings_;
};

}  // namespace deckhall
