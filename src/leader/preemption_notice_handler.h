// Handles preemption notices of spot machines: decides which tasks to stop before the cloud
// reclaims the machine.
//
// A task that writes checkpoints is stopped with a grace period to write one. A service, or a task
// that can't complete in time, is stopped at once, so that it restarts on another machine. Other
// tasks keep running. GangSupervisor decides for a gang as a whole. Owned by Leader. PROTOCOL:
// "Preemption".
#pragma once

#include "fleet/fleet.h"
#include "leader/gang_supervisor.h"
#include "leader/ranking.h"

namespace deckhall {

class PreemptionNoticeHandler {
 public:
  PreemptionNoticeHandler(const JobStore* job_store, Fleet* fleet, GangSupervisor* gang_supervisor,
                          const Ranking* ranking, const Clock* clock);

  // Handles the machine's notice, if any. Called repeatedly until the machine is gone.
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
