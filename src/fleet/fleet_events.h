// Events of the fleet for the rest of the leader: callbacks, and one flag that the leader polls.
//
// Owned by Fleet, shared by its parts. Set by the leader before the first heartbeat is applied.
#pragma once

#include <cstdint>
#include <functional>

#include "model/name_index.h"
#include "model/task_attempt.h"

namespace deckhall {

// Is notified at once of each event that may disrupt users' jobs.
class DisruptionObserver {
 public:
  virtual ~DisruptionObserver() = default;
  // The health of a replica may have changed.
  virtual void ReplicaChanged(JobIndex job_index, uint32_t task_index) = 0;
  // A task of an active array was lost, or instructed to stop.
  virtual void ArrayTaskStopped(JobIndex job_index) = 0;
  // A job was accepted, or has ended.
  virtual void JobChanged(JobIndex job_index) = 0;
};

struct FleetEvents {
  // An attempt exited, with its `exit_reason` set. Called after its resources were released
  // and its job was updated. May be empty.
  std::function<void(MachineIndex, const TaskAttempt&)> on_attempt_exited;
  // A machine that may run attempts of an earlier leader was reconciled.
  std::function<void()> on_machine_reconciled = [] {};
  // May be null.
  DisruptionObserver* observer = nullptr;
  // Set when capacity or demand changed, so that the placer should run. Reset by the leader.
  bool placement_needed = false;
};

}  // namespace deckhall
