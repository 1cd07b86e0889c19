// Gang scheduling: all tasks of an attempt have their machines before any of them is launched.
//
// A gang's tasks find each other by their attempt number, so all of an attempt share one. Owned by
// Placer; what happens to a gang after its start is GangSupervisor's.
#pragma once

#include <vector>

#include "leader/free_capacity.h"
#include "leader/preemptor.h"

namespace deckhall {

class GangPlacer {
 public:
  GangPlacer(JobStore* job_store, Fleet* fleet, FreeCapacity* free_capacity, Preemptor* preemptor,
             const Clock* clock, const Tuning* tuning);

  // A placement pass begins.
  void BeginPass() { reservations_ = 0; }

  // Starts a gang all of whose tasks wait, or replaces lost tasks of an attempt that has not
  // started yet. `machines_with_room`: candidates, as of the beginning of the pass.
  void Place(JobIndex job_index, const std::vector<uint32_t>& machines_with_room);

 private:
  // A machine for each task.
  struct Plan {
    std::vector<uint32_t> machines;  // empty: no plan
    double last_start_s = 0;         // until the last of them would start
    double cost = 0;

    bool IsBetterThan(const Plan& other) const;
  };

  void Start(JobIndex job_index, const std::vector<uint32_t>& machines_with_room);
  // The best plan over the zone masks; empty if the gang fits in none.
  Plan FindBestPlan(const Job& job, const std::vector<ZoneMask>& zone_masks,
                    const std::vector<uint32_t>& machines_with_room);
  // A plan within the zones; empty if not all tasks find a machine.
  Plan FindPlan(const Job& job, const ZoneMask& zones,
                const std::vector<uint32_t>& machines_with_room);
  // Preempts tasks on machines that hold the image, if the gang may claim their resources, rather
  // than start with the slowest fetch of the plan. Returns whether it did.
  bool MakeRoomAtImage(JobIndex job_index, const Plan& plan,
                       const std::vector<ZoneMask>& zone_masks);
  // Places the missing tasks under the attempt's number.
  void ReplaceLostTasks(JobIndex job_index, const std::vector<uint32_t>& machines_with_room);
  // The masks within which the whole gang may run: one zone each if it must be in one.
  std::vector<ZoneMask> ZoneMasks(const Job& job) const;
  // Takes a task's resources out of the snapshot while a plan is made, and puts them back.
  void TakeTentatively(const Job& job, MachineIndex machine_index);
  void GiveBack(const Job& job, MachineIndex machine_index);
  void PlaceOn(JobIndex job_index, MachineIndex machine_index);
  // Keeps machines from lower-ranked jobs until there is room for the gang.
  void ReserveMachines(JobIndex job_index, const std::vector<ZoneMask>& zone_masks);
  // The machines on which room for the gang will be free first; none if they can't hold it.
  std::vector<MachineIndex> MachinesFreeFirst(const Job& job, const ZoneMask& zones) const;
  // The machine still lists that attempt of the task: a launch would have no effect.
  bool ListsAttempt(JobIndex job_index, uint32_t task_index, uint64_t attempt_number,
                    MachineIndex machine_index) const;

  JobStore* job_store_;
  Fleet* fleet_;
  FreeCapacity* free_capacity_;
  Preemptor* preemptor_;
  const Clock* clock_;
  const Tuning* tuning_;
  int reservations_ = 0;  // gangs that machines were reserved for in this pass
};

}  // namespace deckhall
