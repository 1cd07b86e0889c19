// Autoscaling: decides which machines there should be, and asks the provisioner for them.
//
// Scales out for demand that the present machines don't cover, scales in machines that are idle or
// useless, and consolidates thinly used ones. Owned by the leader, which calls Plan() every
// Tuning::autoscale_interval_s.
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

  // Requests and returns machines, as of now.
  void Plan();

 private:
  // What can be scaled out, and what is there already.
  struct Supply {
    std::vector<InstanceOffering> offerings;  // one for each pool of the provisioner, in its order
    std::vector<MachineCapacity> bins;        // free capacity, of booting machines too
    int machines = 0;                         // that count for the fleet's limit
  };

  // What waits, as far as it keeps machines from being scaled in.
  struct Waiting {
    bool services = false;
    double cores = 0;
  };

  Supply CollectSupply() const;
  InstanceOffering OfferingOf(const MachinePool& pool) const;
  void AddPool(uint32_t pool_index, Supply* supply) const;
  void AddMachine(MachineIndex machine_index, Supply* supply) const;
  // Whether tasks will be able to use the machine's free capacity soon.
  bool WillBeUsable(const Machine& machine, const MachineCapacity& capacity) const;
  void ScaleOut();
  Waiting CollectWaiting() const;
  void ScaleInIdle();
  // Scales machines in that are of no more use, however much waits. Returns whether the machine
  // is none that may be idle.
  bool ScaleInIfUseless(MachineIndex machine_index, double boot_s);
  // Why an empty machine is of no use; null: it is.
  const char* UselessReason(const Machine& machine) const;

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
