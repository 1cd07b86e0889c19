// Autoscaling: decides how many machines of each pool the fleet needs, and instructs the
// provisioner.
//
// Scales out for demand that exceeds the capacity of the fleet, scales in machines that are idle or
// unsuitable for tasks, and consolidates machines with low utilization. Owned by Leader, which
// calls Plan() every Tuning::autoscale_interval_s.
#pragma once

#include <vector>

#include "drain/eviction_controller.h"
#include "leader/consolidator.h"
#include "leader/demand_collector.h"
#include "leader/free_capacity.h"
#include "leader/ranking.h"
#include "sched/scale_out_plan.h"

namespace deckhall {

class Autoscaler {
 public:
  Autoscaler(JobStore* job_store, Fleet* fleet, FreeCapacity* free_capacity, const Ranking* ranking,
             Provisioner* provisioner, const DisruptionLedger* ledger,
             const EvictionController* eviction_controller, const Clock* clock,
             const Settings* settings, const Tuning* tuning);

  // Scales out and in for the present demand.
  void Plan();

 private:
  // The pools that can be scaled out, and the capacity that exists already.
  struct Supply {
    std::vector<InstanceOffering> offerings;  // one for each pool of the provisioner, in its order
    std::vector<MachineCapacity> bins;        // free capacity, including that of booting machines
    int machines = 0;                         // count towards the fleet's size limit
  };

  // Demand of waiting tasks that keeps idle machines from being scaled in.
  struct WaitingDemand {
    bool services = false;  // whether tasks of services wait
    double cores = 0;
  };

  Supply CollectSupply() const;
  InstanceOffering OfferingOf(const MachinePool& pool) const;
  void AddPool(uint32_t pool_index, Supply* supply) const;
  void AddMachine(MachineIndex machine_index, Supply* supply) const;
  // Whether tasks can use the machine's free capacity now or soon.
  bool WillBeUsable(const Machine& machine, const MachineCapacity& capacity) const;
  void ScaleOut();
  WaitingDemand CollectWaitingDemand() const;
  void ScaleInIdle();
  // Scales in a machine that is no longer useful, regardless of waiting demand. Returns false if
  // the machine is idle but useful, so that ScaleInIdle() may still release it.
  bool ScaleInIfUnneeded(MachineIndex machine_index, double boot_s);
  // The reason to release an empty machine regardless of waiting demand; null if there is none.
  const char* ScaleInReason(const Machine& machine) const;

  JobStore* job_store_;
  Fleet* fleet_;
  FreeCapacity* free_capacity_;
  Provisioner* provisioner_;
  const EvictionController* eviction_controller_;
  const Clock* clock_;
  const Settings* settings_;
  const Tuning* tuning_;
  DemandCollector demand_collector_;
  Consolidator consolidator_;
};

}  // namespace deckhall
