#include "sched/scale_out_plan.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace deckhall {
namespace {

// Tolerance of divisions of decimal amounts.
constexpr double kRatioEpsilon = 1e-9;
constexpr double kUnboundedTasks = 1e9;
// A pool that holds all machines counts as this share dearer: zones share the risk.
constexpr double kSpreadCostShare = 0.3;
// Value of a place that the present demand does not use.
constexpr double kUnusedPlaceValue = 0.5;

// How many such tasks an empty machine takes.
double TasksPerMachine(const InstanceOffering& offering, const ResourceRequest& request) {
  double slots = kUnboundedTasks;
  if (request.cores > 0)
    slots = std::min(slots, std::floor(offering.cores / request.cores + kRatioEpsilon));
  if (request.memory_gb > 0)
    slots = std::min(slots, std::floor(offering.memory_gb / request.memory_gb + kRatioEpsilon));
  if (request.gpus > 0)
    slots = std::min(slots, std::floor(offering.gpus / request.gpus + kRatioEpsilon));
  return slots;
}

// The offering with the least price for each place, for `left` more tasks. None: none fits.
std::optional<size_t> CheapestOffering(const std::vector<InstanceOffering>& offerings,
                                       const std::vector<int>& added,
                                       const ResourceRequest& request, uint32_t left) {
  int all = 1;
  for (size_t i = 0; i < offerings.size(); ++i) all += offerings[i].existing_machines + added[i];
  std::optional<size_t> best;
  double best_cost = 0;
  for (size_t i = 0; i < offerings.size(); ++i) {
    const InstanceOffering& offering = offerings[i];
    if (offering.unavailable ||
        !SatisfiesConstraints(request, offering.type, offering.zone, offering.spot))
      continue;
    const double slots = TasksPerMachine(offering, request);
    if (slots < 1) continue;
    const double used = std::min<double>(slots, left);
    double cost = offering.price / (used + kUnusedPlaceValue * (slots - used));
    // By share, not by number: a large fleet is no reason to pay more.
    cost *= 1 + kSpreadCostShare * (offering.existing_machines + added[i]) / all;
    if (!best || cost < best_cost) {
      best = i;
      best_cost = cost;
    }
  }
  return best;
}

// The plan as it is being made.
struct ScaleOutDraft {
  const std::vector<InstanceOffering>* offerings;
  std::vector<MachineCapacity> bins;
  std::vector<int> added;  // by offering
  int total = 0;
  int max_machines = 0;
};

void PackDemand(const ResourceRequest& request, uint32_t left, ScaleOutDraft* draft) {
  // First fit.
  for (MachineCapacity& bin : draft->bins) {
    if (left == 0) break;
    if (!bin.usable || !SatisfiesConstraints(request, bin.type, bin.zone, bin.spot)) continue;
    while (left > 0 && Fits(request, bin)) {
      bin -= request;
      --left;
    }
  }
  while (left > 0 && draft->total < draft->max_machines) {
    const std::optional<size_t> cheapest =
        CheapestOffering(*draft->offerings, draft->added, request, left);
    if (!cheapest) break;
    const InstanceOffering& offering = (*draft->offerings)[*cheapest];
    ++draft->added[*cheapest];
    ++draft->total;
    MachineCapacity capacity = EmptyMachine(offering);
    while (left > 0 && Fits(request, capacity)) {
      capacity -= request;
      --left;
    }
    draft->bins.push_back(capacity);
  }
}

// The zone in which most of the tasks find room; of equal ones the first with an offering.
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
  uint32_t most = 0;
  for (const uint32_t zone : zones) {
    ResourceRequest there = request;
    there.required_zone = zone;
    uint32_t places = 0;
    for (const MachineCapacity& bin : draft.bins) {
      if (places >= count) break;
      if (!bin.usable || !SatisfiesConstraints(there, bin.type, bin.zone, bin.spot)) continue;
      for (MachineCapacity left = bin; places < count && Fits(request, left); ++places) {
        left -= request;
      }
    }
    if (best != UINT32_MAX && places <= most) continue;
    best = zone;
    most = places;
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
    if (draft.added[i] > 0) decisions.push_back({static_cast<uint32_t>(i), draft.added[i]});
  }
  return decisions;
}

}  // namespace deckhall
