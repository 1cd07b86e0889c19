// Preemption: stops running tasks to free capacity for a waiting job. The victims have a lower
// priority, or the job is within its team's guarantee and the victims' team exceeds its own.
//
// Works on the snapshot of FreeCapacity. The capacity becomes free when the stopped tasks have
// exited. Preemption respects the disruption budgets, except for a guaranteed job. Owned by Placer.
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

  // Begins a placement pass and drops the claims of the last one. Services come first. Arrays
  // follow, with a smaller limit on the number of jobs that the pass considers.
  void BeginServices();
  void BeginArrays();
  // Whether this pass has reached the limit on considered jobs.
  bool Exhausted() const;

  // What a job needs, and limits on the preemption for it.
  struct PreemptionRequest {
    JobIndex job = kNoIndex;
    size_t max_task_count = 0;            // preempt for at most this many of its tasks
    bool cached_image_only = false;       // only on machines that have cached the job's image
    double max_lost_core_seconds = 1e18;  // for each placed task
    bool allow_ordinary_machines = true;
  };

  // Frees capacity for individual tasks. Returns the number of tasks that will fit.
  size_t PreemptForTasks(const PreemptionRequest& preemption);

  // Frees capacity for a whole gang within one of the zone masks, or stops no task at all. Ignores
  // `max_task_count` and `allow_ordinary_machines`. Returns the machines, one entry per task, or an
  // empty vector if the gang can't fit.
  std::vector<MachineIndex> PreemptForGang(const PreemptionRequest& preemption,
                                           const std::vector<ZoneMask>& zone_masks);

 private:
  // Attempts to stop on a machine so that one more task fits.
  struct VictimSet {
    double lost_core_seconds = 0;
    MachineIndex machine = kNoIndex;
    std::vector<size_t> attempts;  // positions in Machine::attempts
  };

  bool MayPreempt(const Job& job);
  bool MayStop(const Job& job, const TaskAttempt& attempt) const;
  // Work that is lost if this attempt of `job` is stopped.
  static double LostCoreSeconds(const Job& job, const TaskAttempt& attempt, double now);
  // Free capacity after all stopping attempts have exited, minus the claims of this pass.
  MachineCapacity FutureCapacity(MachineIndex machine_index) const;
  // Chooses the attempts to stop so that one more task fits. Adds them to `chosen` and their
  // resources to `capacity`. Returns the lost core-seconds; negative if the task can't fit.
  double ChooseVictims(const Job& job, const Machine& machine, MachineCapacity* capacity,
                       std::vector<size_t>* chosen) const;
  static bool HasImage(const Job& job, const Machine& machine);
  // Whether the task may run on the machine and `preemption` allows the machine.
  bool IsCandidate(const Job& job, const ResourceRequest& request,
                   const PreemptionRequest& preemption, MachineIndex machine_index) const;
  // Adds the victim sets for a gang's tasks on one machine, those with the least lost work first.
  void AddVictimSets(const Job& job, const ResourceRequest& request, MachineIndex machine_index,
                     std::vector<VictimSet>* victim_sets) const;
  // The victim sets with the least lost work for the whole gang within the zones; empty if not all
  // tasks fit.
  std::vector<VictimSet> ChooseGangVictims(const Job& job, const PreemptionRequest& preemption,
                                           const ZoneMask& zones) const;
  void Claim(MachineIndex machine_index, const ResourceRequest& request);
  // Whether the disruption budgets allow stopping these victims.
  bool IsWithinBudgets(const Job& job, const std::vector<VictimSet>& victim_sets) const;
  void Stop(const Job& job, const VictimSet& victim_set);

  JobStore* job_store_;
  Fleet* fleet_;
  FreeCapacity* free_capacity_;
  const DisruptionLedger* ledger_;
  const Clock* clock_;
  std::unordered_map<MachineIndex, Resources> claimed_;  // from future capacity, in this pass
  int jobs_considered_ = 0;                              // in this pass
};

}  // namespace deckhall
