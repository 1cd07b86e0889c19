#include "sched/scale_out_plan.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace deckhall {
namespace {

// Tolerance for quotients of decimal amounts, which are not exact in floating point.
constexpr double kRatioEpsilon = 1e-9;
constexpr double kUnboundedTasks = 1e9;
// Extra cost, relative to its price, of a pool that holds all machines, and less in proportion for
// smaller pools. It spreads the risk over zones.
constexpr double kSpreadCostShare = 0.3;
// Value of a slot that the current demand leaves unused, relative to a used one.
constexpr double kUnusedSlotValue = 0.5;

// Number of such tasks that fit on an empty machine.
double TasksPerMachine(const InstanceOffering& offering, const ResourceRequest& request) {
  double slots = kUnboundedTasks;
  if (request.cores > 0)
    slots = std::min(slots, std::floor(offering.cores / request.cores + kRatioEpsilon));
  if (request.memory_gb > 0)
    slots = std::min(slots, std::floor(offering.memory_gb / request.memory_gb + kRatioEpsilon));
  if (request.gpus > 0)
    slots = std::min(slots, std::floor(offering.gpus / request.gpus + kRatioEpsilon));
  if (request.heartbeat_bytes > 0)
    slots = std::min(slots, std::floor(offering.heartbeat_bytes / request.heartbeat_bytes));
  return slots;
}

// The offering with the lowest price per slot for `remaining` more tasks; no value if the task fits
// on none.
std::optional<size_t> CheapestOffering(const std::vector<InstanceOffering>& offerings,
                                       const std::vector<int>& new_machines,
                                       const ResourceRequest& request, uint32_t remaining) {
  int total_machines = 1;
  for (size_t i = 0; i < offerings.size(); ++i)
    total_machines += offerings[i].existing_machines + new_machines[i];
  std::optional<size_t> best;
  double best_cost = 0;
  for (size_t i = 0; i < offerings.size(); ++i) {
    const InstanceOffering& offering = offerings[i];
    if (offering.unavailable ||
        !SatisfiesConstraints(request, offering.type, offering.zone, offering.spot))
      continue;
    const double slots = TasksPerMachine(offering, request);
    if (slots < 1) continue;
    const double used = std::min<double>(slots, remaining);
    double cost = offering.hourly_price / (used + kUnusedSlotValue * (slots - used));
    // By share, not by number, so that the extra cost does not grow with the fleet.
    cost *= 1 + kSpreadCostShare * (offering.existing_machines + new_machines[i]) / total_machines;
    if (!best || cost < best_cost) {
      best = i;
      best_cost = cost;
    }
  }
  return best;
}

// A plan under construction.
struct ScaleOutDraft {
  const std::vector<InstanceOffering>* offerings;
  std::vector<MachineCapacity> bins;
  std::vector<int> new_machines;  // by offering
  int total_new_machines = 0;
  int max_machines = 0;
};

void PackDemand(const ResourceRequest& request, uint32_t remaining, ScaleOutDraft* draft) {
  // First fit.
  for (MachineCapacity& bin : draft->bins) {
    if (remaining == 0) break;
    if (!bin.usable || !SatisfiesConstraints(request, bin.type, bin.zone, bin.spot)) continue;
    while (remaining > 0 && Fits(request, bin)) {
      bin -= request;
      --remaining;
    }
  }
  while (remaining > 0 && draft->total_new_machines < draft->max_machines) {
    const std::optional<size_t> cheapest =
        CheapestOffering(*draft->offerings, draft->new_machines, request, remaining);
    if (!cheapest) break;
    const InstanceOffering& offering = (*draft->offerings)[*cheapest];
    ++draft->new_machines[*cheapest];
    ++draft->total_new_machines;
    MachineCapacity capacity = EmptyMachine(offering);
    while (remaining > 0 && Fits(request, capacity)) {
      capacity -= request;
      --remaining;
    }
    draft->bins.push_back(capacity);
  }
}

// The zone in which most of the tasks fit; on a tie, the one whose offering comes first.
uint32_t ChooseZone(const ResourceRequest& request, uint32_t count, const ScaleOutDraft& draft) {
  std::vector<uint32_t> zones;
  for (const InstanceOffering& offering : *draft.offerings) {
    if (!offering.unavailable &&
        SatisfiesConstraints(request, offering.type, offering.zone, offering.spot) &&
        TasksPerMachine(offering, request) >= 1 &&
        std::find(zones.begin(), zones.end(), offering.zone) == zones.end()) {
      zones.push_back(offering.zone);
    }
  }
  uint32_t best = request.required_zone;
  uint32_t max_free_slots = 0;
  for (const uint32_t zone : zones) {
    ResourceRequest zone_request = request;
    zone_request.required_zone = zone;
    uint32_t free_slots = 0;
    for (const MachineCapacity& bin : draft.bins) {
      if (free_slots >= count) break;
      if (!bin.usable || !SatisfiesConstraints(zone_request, bin.type, bin.zone, bin.spot))
        continue;
      for (MachineCapacity capacity = bin; free_slots < count && Fits(request, capacity);
           ++free_slots) {
        capacity -= request;
      }
    }
    if (best != UINT32_MAX && free_slots <= max_free_slots) continue;
    best = zone;
    max_free_slots = free_slots;
  }
  return best;
}

}  // namespace

MachineCapacity EmptyMachine(const InstanceOffering& offering) {
  MachineCapacity capacity;
  capacity.type = offering.type;
  capacity.zone = offering.zone;
  capacity.spot = offering.spot;
  capacity.usable = true;
  capacity += offering;
  return capacity;
}

std::vector<ScaleOutDecision> PlanScaleOut(const std::vector<InstanceOffering>& offerings,
                                           std::vector<MachineCapacity> bins,
                                           const std::vector<ResourceDemand>& demands,
                                           int max_machines) {
  ScaleOutDraft draft{&offerings, std::move(bins), std::vector<int>(offerings.size(), 0), 0,
                      max_machines};
  for (const ResourceDemand& demand : demands) {
    ResourceRequest request = demand.request;
    request.sibling_machines = nullptr;
    if (demand.single_zone) request.required_zone = ChooseZone(request, demand.count, draft);
    PackDemand(request, demand.count, &draft);
  }
  std::vector<ScaleOutDecision> decisions;
  for (size_t i = 0; i < offerings.size(); ++i) {
    if (draft.new_machines[i] > 0)
      decisions.push_back({static_cast<uint32_t>(i), draft.new_machines[i]});
  }
  return decisions;
}

}  // namespace deckhall
