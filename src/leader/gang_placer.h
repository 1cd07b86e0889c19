// Places gangs: room for all tasks of an attempt is found before any is launched.
#pragma once

#include <vector>

#include "leader/free_capacity.h"
#include "leader/preemptor.h"

namespace deckhall {

class GangPlacer {
 public:
  GangPlacer(JobStore* job_store, Fleet* fleet, FreeCapacity* free_capacity, Preemptor* preemption,
             const Clock* clock, const Tuning* tuning);

  void BeginPass() { reservations_ = 0; }
  // Starts a gang whose tasks all wait, or replaces lost tasks of one that still gathers.
  // `open`: machines with some room.
  void Place(JobIndex job_index, const std::vector<uint32_t>& open);

 private:
  // Places for all tasks, and when the last of them would start.
  struct Plan {
    std::vector<uint32_t> nodes;
    double last_start = 0;
    double cost = 0;
  };

  void Start(JobIndex job_index, const std::vector<uint32_t>& open);
  // Stops others' tasks where the image is, if the gang may claim their room, rather than
  // start with the last fetch of the plan.
  bool MakeRoomAtImage(JobIndex job_index, const Plan& otherwise,
                       const std::vector<std::vector<char>>& zone_sets);
  // The missing tasks join under the same attempt number.
  void Complete(JobIndex job_index, const std::vector<uint32_t>& open);
  // The sets of zones in which the whole gang may be: one zone each if it must be in one.
  std::vector<std::vector<char>> ZoneSets(const Job& job) const;
  // False: there is no room for all of them.
  bool Find(const Job& job, const std::vector<char>& zones, const std::vector<uint32_t>& open,
            Plan* plan);
  // Takes the room in the picture for as long as the plan is made.
  void TakeOnTrial(const Job& job, uint32_t node);
  void GiveBack(const Job& job, uint32_t node);
  void Put(JobIndex job_index, uint32_t node);
  // Keeps room from jobs ranked lower until there is enough for the gang.
  void Reserve(JobIndex job_index, const std::vector<std::vector<char>>& zone_sets);
  // The machines on which room for the gang is to be expected first.
  std::vector<MachineIndex> Likely(const Job& job, const std::vector<char>& zones) const;
  // The same attempt of the task was there already: a launch would have no effect.
  bool WasThere(JobIndex job_index, uint32_t task_index, uint64_t attempt_number,
                MachineIndex machine_index) const;

  JobStore* job_store_;
  Fleet* fleet_;
  FreeCapacity* free_capacity_;
  Preemptor* preemption_;
  const Clock* clock_;
  const Tuning* tuning_;
  int reservations_ = 0;  // in this pass
};

}  // namespace deckhall
