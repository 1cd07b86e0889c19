// Preemption: stops tasks to make room for a job that may claim it, being of a higher priority, or
// within its team's guarantee against what another team runs beyond its own.
//
// Works on the snapshot of FreeCapacity; what is stopped becomes free when the tasks have exited.
// Voluntary stops keep to the disruption budgets, except those for a guarantee. Owned by Placer.
#pragma once

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "drain/disruption_ledger.h"
#include "leader/free_capacity.h"

namespace deckhall {

class Preemptor {
 public:
  Preemptor(JobStore* job_store, Fleet* fleet, FreeCapacity* free_capacity,
            const DisruptionLedger* ledger, const Clock* clock)
      : job_store_(job_store),
        fleet_(fleet),
        free_capacity_(free_capacity),
        ledger_(ledger),
        clock_(clock) {}

  // A placement pass begins, with nothing claimed yet: services are served first, then arrays,
  // which have a smaller share of the jobs that one pass considers.
  void BeginServices();
  void BeginArrays();
  // This pass has considered as many jobs as it may.
  bool Exhausted() const;

  // The room that a job asks for.
  struct RoomRequest {
    JobIndex job = kNoIndex;
    size_t max_places = 0;             // for so many of its tasks at most
    bool cached_image_only = false;    // only on machines that hold the job's image
    double max_loss_per_place = 1e18;  // core-seconds of lost work for one task at most
    bool allow_ordinary_machines = true;
  };

  // Makes room for single tasks. Returns for how many there will be room.
  size_t MakeRoom(const RoomRequest& room);

  // Makes room for a whole gang within one of the zone masks, or stops nothing. `max_places` and
  // `allow_ordinary_machines` are not used. Returns the machines, one entry a task; none: no room.
  std::vector<MachineIndex> MakeGangRoom(const RoomRequest& room,
                                         const std::vector<ZoneMask>& zone_masks);

 private:
  // Room for one task, and the attempts that have to be stopped for it.
  struct Choice {
    double loss = 0;  // core-seconds of work
    MachineIndex machine = kNoIndex;
    std::vector<size_t> attempts;  // positions in Machine::attempts
  };

  bool MayPreempt(const Job& job);
  bool MayStop(const Job& job, const TaskAttempt& attempt) const;
  // Core-seconds of work that stopping the attempt of `job` loses.
  static double LostWork(const Job& job, const TaskAttempt& attempt, double now);
  // Free capacity once what is being stopped has exited, less what is claimed.
  MachineCapacity FutureCapacity(MachineIndex machine_index) const;
  // Chooses the attempts whose stop makes room for one more task; they are added to `chosen`, and
  // `capacity` becomes what is free then. Returns the loss; negative: no room can be made.
  double ChooseAttempts(const Job& job, const Machine& machine, MachineCapacity* capacity,
                        std::vector<size_t>* chosen) const;
  static bool HasImage(const Job& job, const Machine& machine);
  // Whether the machine comes into question for the request.
  bool IsCandidate(const Job& job, const ResourceRequest& request, const RoomRequest& room,
                   MachineIndex machine_index) const;
  // Adds the choices for a gang's tasks on one machine, the cheapest first.
  void AddChoices(const Job& job, const ResourceRequest& request, MachineIndex machine_index,
                  std::vector<Choice>* choices) const;
  // The cheapest choices for the whole gang within the zones; none: not all of it fits.
  std::vector<Choice> ChooseGangRoom(const Job& job, const RoomRequest& room,
                                     const ZoneMask& zones) const;
  void Claim(MachineIndex machine_index, const ResourceRequest& request);
  // Whether the disruption budgets allow these stops.
  bool IsWithinBudgets(const Job& job, const std::vector<Choice>& choices) const;
  void Stop(const Job& job, const Choice& choice);

  JobStore* job_store_;
  Fleet* fleet_;
  FreeCapacity* free_capacity_;
  const DisruptionLedger* ledger_;
  const Clock* clock_;
  std::unordered_map<MachineIndex, Resources> claimed_;  // of future capacity, in this pass
  int jobs_considered_ = 0;                              // in this pass
};

}  // namespace deckhall
