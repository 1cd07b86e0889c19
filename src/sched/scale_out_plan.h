// Scale-out planning: which offerings, and how many machines of each, cover the demand (bin
// packing). Has no state or side effects.
#pragma once

#include <cstdint>
#include <vector>

#include "sched/placement.h"

namespace deckhall {

// A machine type in a zone, ordinary or spot. The inherited amounts are those of one machine.
struct InstanceOffering : Resources {
  uint32_t type = 0;
  uint32_t zone = 0;
  bool spot = false;
  double hourly_price = 0;  // of one machine
  double boot_s = 0;
  bool unavailable = false;   // out of capacity, partitioned, or closed to new machines by a drain
  int existing_machines = 0;  // of this pool, including booting ones
};

// The free capacity of a machine of the offering that runs no tasks.
MachineCapacity EmptyMachine(const InstanceOffering& offering);

// Tasks of one kind that need capacity.
struct ResourceDemand {
  ResourceRequest request;
  uint32_t count = 1;
  bool single_zone = false;  // all of them must run in one zone
};

// Number of machines of one offering to provision.
struct ScaleOutDecision {
  uint32_t offering = 0;  // index in the offerings
  int count = 0;
};

// Packs the demands in their order into `bins` (booting machines and those with free capacity), and
// the rest into at most `max_machines` new machines.
std::vector<ScaleOutDecision> PlanScaleOut(const std::vector<InstanceOffering>& offerings,
                                           std::vector<MachineCapacity> bins,
                                           const std::vector<ResourceDemand>& demands,
                                           int max_machines);

}  // namespace deckhall
