// Consolidation: as services end, the remaining replicas leave ordinary machines underused. The
// least used machines are emptied, one replica at a time, so that they can be scaled in.
//
// Owned by Autoscaler. Its state is Machine::consolidating and the related fields, which are not
// stored: a new leader starts over. Every move respects the disruption budgets.
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

  // Continues to empty machines and starts with others, or gives up if their capacity is needed.
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

  // Whether free capacity is needed: by waiting tasks, or possibly while machines are unreconciled
  // or scale-out requests are pending.
  bool IsCapacityNeeded() const;
  std::vector<MachineIndex> ConsolidatingMachines() const;
  // Ordinary machines whose tasks have all run for Tuning::settled_s, the least used first.
  std::vector<Candidate> Candidates() const;
  bool IsSettled(const Machine& machine, double now) const;
  void ContinueOrGiveUp(const std::vector<MachineIndex>& machines, bool capacity_needed);
  // Starts with further machines, as long as their tasks fit elsewhere in addition to the headroom.
  void StartConsolidations(size_t already_consolidating);
  // Stops one replica that can start on another machine at once.
  void MoveOneReplica(MachineIndex machine_index);
  // Whether another machine can take the replica without fetching its image.
  bool CanPlaceElsewhere(const Job& job, MachineIndex machine_index) const;

  JobStore* job_store_;
  Fleet* fleet_;
  FreeCapacity* free_capacity_;
  const Provisioner* provisioner_;
  const DisruptionLedger* ledger_;
  const Clock* clock_;
  const Tuning* tuning_;
};

}  // namespace deckhall
