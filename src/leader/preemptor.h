// Stops tasks to make room for a job that may claim it: one of a higher priority, or one
// within its team's guarantee against what another team runs beyond its own.
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

  // A pass begins: nothing is claimed yet. First services are served, then arrays.
  void BeginServices();
  void BeginArrays();
  // This pass has looked for tasks to stop for as many jobs as it may.
  bool Exhausted() const;

  struct RoomRequest {
    JobIndex job = kNoIndex;
    size_t max_places = 0;                // places wanted at the most
    bool cached_image_only = false;       // only on machines that hold the job's image
    double max_loss_per_place = 1e18;     // in core-seconds for each place
    bool allow_ordinary_machines = true;  // on ordinary machines too, not only on spot machines
  };
  // Makes room for single tasks; returns for how many it is on its way.
  size_t MakeRoom(const RoomRequest& room_request);
  // Makes room for the whole gang in one of the sets of zones, or stops nothing; of the
  // request, `most` and `ordinary` do not count. Returns the machines on which the room is,
  // or is on its way.
  std::vector<MachineIndex> MakeGangRoom(const RoomRequest& room_request,
                                         const std::vector<std::vector<char>>& zone_sets);

 private:
  // A place for one task, and what has to be stopped for it.
  struct Choice {
    double loss = 0;
    MachineIndex machine = kNoIndex;
    std::vector<size_t> attempts;
  };

  bool MayPreempt(const Job& job);
  bool MayStop(const Job& job, const TaskAttempt& attempt) const;
  // What is free there, with what is being stopped and without what is spoken for.
  MachineCapacity FutureCapacity(MachineIndex machine_index) const;
  // What stopping tasks for one more place would lose, in core-seconds; the attempts are added
  // to `chosen`. Negative: no room can be made.
  double PreemptionLoss(const Job& job, const Machine& machine, MachineCapacity* capacity,
                        std::vector<size_t>* chosen) const;
  // Places for the gang's tasks on one machine, the cheapest first.
  bool HasImage(const Job& job, const Machine& machine) const;
  void AddChoices(const Job& job, const ResourceRequest& request, MachineIndex machine_index,
                  std::vector<Choice>* out) const;
  void Claim(MachineIndex machine_index, const ResourceRequest& request);
  // Whether the budgets allow what has to be stopped for these places. A guarantee is kept
  // whatever the budgets say.
  bool WithinBudgets(const Job& job, const std::vector<Choice>& choices) const;
  void Stop(const Job& job, const Choice& choice);

  JobStore* job_store_;
  Fleet* fleet_;
  FreeCapacity* free_capacity_;
  const DisruptionLedger* ledger_;
  const Clock* clock_;
  std::unordered_map<MachineIndex, Resources> claimed_;  // room on its way that is spoken for
  int jobs_considered_ = 0;  // jobs this pass looked for tasks to stop for
};

}  // namespace deckhall
