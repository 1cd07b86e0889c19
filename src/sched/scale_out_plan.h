// How many machines of which kind to rent. Pure.
#pragma once

#include <cstdint>
#include <vector>

#include "sched/placement.h"

namespace deckhall {

struct InstanceOffering {
  uint32_t type = 0;
  uint32_t zone = 0;
  bool spot = false;
  double cores = 0;
  double gpus = 0;
  double memory_gb = 0;
  double price = 0;
  double boot_s = 0;
  bool unavailable = false;
  int existing_machines = 0;  // machines of this pool, for spreading
};

// A machine of that offer with nothing on it.
MachineCapacity EmptyMachine(const InstanceOffering& offer);

struct ResourceDemand {
  ResourceRequest request;
  uint32_t count = 1;
  bool single_zone = false;
};

struct ScaleOutDecision {
  uint32_t offering = 0;
  int count = 0;
};

// Packs the wants into `bins` (machines that have room or are booting; changed
// by the packing), then into machines to rent.
std::vector<ScaleOutDecision> PlanScaleOut(const std::vector<InstanceOffering>& offerings,
                                           std::vector<MachineCapacity> bins,
                                           const std::vector<ResourceDemand>& demands,
                                           int most_machines);

}  // namespace deckhall
