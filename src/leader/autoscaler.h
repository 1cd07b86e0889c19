// Decides which machines there should be.
#pragma once

#include <vector>

#include "drain/eviction_controller.h"
#include "leader/free_capacity.h"
#include "leader/ranking.h"
#include "sched/scale_out_plan.h"

namespace deckhall {

class Autoscaler {
 public:
  Autoscaler(JobStore* job_store, Fleet* fleet, FreeCapacity* free_capacity, const Ranking* ranking,
             Provisioner* provisioner, const DisruptionLedger* ledger,
             const EvictionController* drainer, const Clock* clock, const Settings* settings,
             const Tuning* tuning);

  // Rents and returns machines.
  void Plan();

 private:
  std::vector<InstanceOffering> CollectOfferings(std::vector<MachineCapacity>* bins,
                                                 int* machines) const;
  std::vector<ResourceDemand> CollectDemands(double* waiting);
  void ScaleOut();
  void ScaleInIdle();
  bool ScaleInIfUseless(MachineIndex machine_index, double boot);
  void Consolidate();
  void MoveOneReplica(MachineIndex machine_index);

  JobStore* job_store_;
  Fleet* fleet_;
  FreeCapacity* free_capacity_;
  const Ranking* ranking_;
  Provisioner* provisioner_;
  const DisruptionLedger* ledger_;
  const EvictionController* drainer_;
  const Clock* clock_;
  const Settings* settings_;
  const Tuning* tuning_;
};

}  // namespace deckhall
