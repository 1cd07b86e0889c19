// Preemption notices of spot machines: what to do with the tasks there before the cloud takes the
// machine away.
//
// A task that can checkpoint is stopped with time for that; one that can't finish in the time left
// is stopped at once, so that it starts elsewhere; the rest run on. Gangs are decided as a whole by
// GangSupervisor. Owned by Leader. PROTOCOL: "Preemption".
#pragma once

#include "fleet/fleet.h"
#include "leader/gang_supervisor.h"
#include "leader/ranking.h"

namespace deckhall {

class PreemptionNoticeHandler {
 public:
  PreemptionNoticeHandler(const JobStore* job_store, Fleet* fleet, GangSupervisor* gang_supervisor,
                          const Ranking* ranking, const Clock* clock);

  // Handles the notice of the machine if it has one; called repeatedly until the machine is gone.
  void HandlePreemptionNotice(MachineIndex machine_index);

 private:
  void HandleAttempt(MachineIndex machine_index, TaskAttempt* attempt, double seconds_left);

  const JobStore* job_store_;
  Fleet* fleet_;
  GangSupervisor* gang_supervisor_;
  const Ranking* ranking_;
  const Clock* clock_;
};

}  // namespace deckhall
