// Gang scheduling: all tasks of a gang are assigned to machines before any of them is launched.
//
// The tasks of a gang find each other by their attempt number, so all tasks of one attempt share
// it. Owned by Placer. GangSupervisor manages gangs after their start.
#pragma once

#include <vector>

#include "leader/free_capacity.h"
#include "leader/preemptor.h"

namespace deckhall {

class GangPlacer {
 public:
  GangPlacer(JobStore* job_store, Fleet* fleet, FreeCapacity* free_capacity, Preemptor* preemptor,
             const Clock* clock, const Tuning* tuning);

  // Begins a placement pass.
  void BeginPass() { reservations_ = 0; }

  // Starts a gang if all of its tasks are waiting, or replaces the lost tasks of an attempt that
  // has not started yet. `candidate_machines` are those with free capacity as the pass began.
  void Place(JobIndex job_index, const std::vector<uint32_t>& candidate_machines);

 private:
  // An assignment of each task to a machine.
  struct Plan {
    std::vector<uint32_t> machines;  // one entry per task; empty if there is no plan
    double start_delay_s = 0;        // largest cost of a task, which approximates the gang's start
    double cost = 0;                 // of all tasks, in seconds

    bool IsBetterThan(const Plan& other) const;
  };

  void Start(JobIndex job_index, const std::vector<uint32_t>& candidate_machines);
  // The best plan over all zone masks; empty if the gang fits within none of them.
  Plan FindBestPlan(const Job& job, const std::vector<ZoneMask>& zone_masks,
                    const std::vector<uint32_t>& candidate_machines);
  // A plan within the zones; empty if not all tasks fit.
  Plan FindPlan(const Job& job, const ZoneMask& zones,
                const std::vector<uint32_t>& candidate_machines);
  // Preempts tasks on machines that have cached the image, where the gang may preempt them, instead
  // of starting after the slowest fetch of the plan. Returns whether it preempted any.
  bool PreemptAtCachedImage(JobIndex job_index, const Plan& plan,
                            const std::vector<ZoneMask>& zone_masks);
  // Places the lost tasks again, with the number of the current attempt.
  void ReplaceLostTasks(JobIndex job_index, const std::vector<uint32_t>& candidate_machines);
  // The masks within which the whole gang may run: one mask per zone if it must run in a single
  // zone.
  std::vector<ZoneMask> ZoneMasks(const Job& job) const;
  // Subtract a task's resources from the snapshot during planning, and add them back.
  void AllocateTentatively(const Job& job, MachineIndex machine_index);
  void UndoTentativeAllocation(const Job& job, MachineIndex machine_index);
  void PlaceOn(JobIndex job_index, MachineIndex machine_index);
  // Reserves machines in this pass, so that lower-ranked jobs don't use them before the gang fits.
  void ReserveMachines(JobIndex job_index, const std::vector<ZoneMask>& zone_masks);
  // The machines on which capacity for the gang is expected first; empty if the gang can't fit.
  std::vector<MachineIndex> ChooseMachinesToReserve(const Job& job, const ZoneMask& zones) const;
  // Whether the machine still lists that attempt of the task, so that a launch would have no
  // effect.
  bool ListsAttempt(JobIndex job_index, uint32_t task_index, uint64_t attempt_number,
                    MachineIndex machine_index) const;

  JobStore* job_store_;
  Fleet* fleet_;
  FreeCapacity* free_capacity_;
  Preemptor* preemptor_;
  const Clock* clock_;
  const Tuning* tuning_;
  int reservations_ = 0;  // number of gangs with reserved machines in this pass
};

}  // namespace deckhall
