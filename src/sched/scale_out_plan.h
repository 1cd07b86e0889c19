// Scale-out planning: how many machines of which offering cover the demand (bin packing). Pure.
#pragma once

#include <cstdint>
#include <vector>

#include "sched/placement.h"

namespace deckhall {

// A machine type in a zone, ordinary or spot. The amounts of the base are those of one machine.
struct InstanceOffering : Resources {
  uint32_t type = 0;
  uint32_t zone = 0;
  bool spot = false;
  double price = 0;  // of one machine for an hour
  double boot_s = 0;
  bool unavailable = false;   // out of capacity, partitioned, or closed by a drain
  int existing_machines = 0;  // of this pool, booting ones included
};

// The free capacity of a machine of that offering without tasks.
MachineCapacity EmptyMachine(const InstanceOffering& offering);

// Tasks that need room.
struct ResourceDemand {
  ResourceRequest request;
  uint32_t count = 1;
  bool single_zone = false;  // all of them in one zone
};

// Machines of one offering to request.
struct ScaleOutDecision {
  uint32_t offering = 0;  // index in the offerings
  int count = 0;
};

// Packs the demands, in their order, into `bins` (machines with room, and booting ones), and the
// rest into at most `max_machines` new machines.
std::vector<ScaleOutDecision> PlanScaleOut(const std::vector<InstanceOffering>& offerings,
                                           std::vector<MachineCapacity> bins,
                                           const std::vector<ResourceDemand>& demands,
                                           int max_machines);

}  // namespace deckhall
