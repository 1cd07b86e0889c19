// Consolidation: as services end, the remaining replicas are spread thinly over ordinary machines.
// The least used machines are emptied, a replica at a time, so that they can be scaled in.
//
// Owned by Autoscaler. Keeps its state in Machine::consolidating and the fields beside it; a new
// leader begins anew. Every move keeps to the disruption budgets.
#pragma once

#include <tuple>
#include <vector>

#include "drain/disruption_ledger.h"
#include "leader/free_capacity.h"

namespace deckhall {

class Consolidator {
 public:
  Consolidator(JobStore* job_store, Fleet* fleet, FreeCapacity* free_capacity,
               const Provisioner* provisioner, const DisruptionLedger* ledger, const Clock* clock,
               const Tuning* tuning);

  // Goes on emptying machines, begins with others, or gives up if their room is needed.
  void Consolidate();

 private:
  // A machine that may be emptied.
  struct Candidate {
    double used_cores = 0;
    MachineIndex machine = kNoIndex;

    bool operator<(const Candidate& other) const {
      return std::tie(used_cores, machine) < std::tie(other.used_cores, other.machine);
    }
  };

  // Whether waiting tasks need the room.
  bool IsRoomNeeded() const;
  std::vector<MachineIndex> ConsolidatingMachines() const;
  // Ordinary machines whose tasks all run for a while, the least used first.
  std::vector<Candidate> Candidates() const;
  bool IsSettled(const Machine& machine, double now) const;
  void ContinueOrGiveUp(const std::vector<MachineIndex>& machines, bool room_needed);
  // Begins with further machines, as long as their tasks fit elsewhere beside the headroom.
  void Begin(size_t already_consolidating);
  // Stops one replica that can start elsewhere at once.
  void MoveOneReplica(MachineIndex machine_index);
  // Whether a machine other than its own takes a replica of the job without a fetch.
  bool HasPlaceElsewhere(const Job& job, MachineIndex machine_index) const;

  JobStore* job_store_;
  Fleet* fleet_;
  FreeCapacity* free_capacity_;
  const Provisioner* provisioner_;
  const DisruptionLedger* ledger_;
  const Clock* clock_;
  const Tuning* tuning_;
};

}  // namespace deckhall
