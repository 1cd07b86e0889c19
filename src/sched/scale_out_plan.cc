#include "sched/scale_out_plan.h"

#include <algorithm>
#include <cmath>

namespace deckhall {
namespace {

// How many such tasks a machine takes.
double TasksPerMachine(const InstanceOffering& offering, const ResourceRequest& request) {
  double slots = 1e9;
  if (request.cores > 0) slots = std::min(slots, std::floor(offering.cores / request.cores + 1e-9));
  if (request.memory_gb > 0)
    slots = std::min(slots, std::floor(offering.memory_gb / request.memory_gb + 1e-9));
  if (request.gpus > 0) slots = std::min(slots, std::floor(offering.gpus / request.gpus + 1e-9));
  return slots;
}

// At most so much dearer does a pool count for the share of the machines it has.
constexpr double kSpread = 0.3;

int CheapestOffering(const std::vector<InstanceOffering>& offerings, const std::vector<int>& rented,
                     const ResourceRequest& request, uint32_t left) {
  int all = 1;
  for (size_t i = 0; i < offerings.size(); ++i) all += offerings[i].existing_machines + rented[i];
  int best = -1;
  double best_cost = 0;
  for (size_t i = 0; i < offerings.size(); ++i) {
    const InstanceOffering& offering = offerings[i];
    if (offering.unavailable ||
        !SatisfiesConstraints(request, offering.type, offering.zone, offering.spot))
      continue;
    const double slots = TasksPerMachine(offering, request);
    if (slots < 1) continue;
    // Price of a task's place; places beyond those wanted are worth half.
    const double used = std::min<double>(slots, left);
    double cost = offering.price / (used + 0.5 * (slots - used));
    // Pools with many machines are a bit dearer, so that zones share the risk. By
    // share, not by number: a large fleet is no reason to pay more.
    cost *= 1 + kSpread * (offering.existing_machines + rented[i]) / all;
    if (best < 0 || cost < best_cost) {
      best = static_cast<int>(i);
      best_cost = cost;
    }
  }
  return best;
}

void Take(MachineCapacity* capacity, const ResourceRequest& request) {
  capacity->cores -= request.cores;
  capacity->gpus -= request.gpus;
  capacity->memory_gb -= request.memory_gb;
}

// The plan as it is being made.
struct ScaleOutDraft {
  const std::vector<InstanceOffering>* offerings;
  std::vector<MachineCapacity> bins;
  std::vector<int> added;  // by offer
  int total = 0;
  int max_machines = 0;
};

void PackDemand(const ResourceRequest& request, uint32_t left, ScaleOutDraft* draft) {
  // Bins are used from the first that fits; a full pass per want is enough.
  for (MachineCapacity& bin : draft->bins) {
    if (left == 0) break;
    if (!bin.usable || !SatisfiesConstraints(request, bin.type, bin.zone, bin.spot)) continue;
    while (left > 0 && Fits(request, bin)) {
      Take(&bin, request);
      --left;
    }
  }
  while (left > 0 && draft->total < draft->max_machines) {
    const int at = CheapestOffering(*draft->offerings, draft->added, request, left);
    if (at < 0) break;
    const InstanceOffering& offering = (*draft->offerings)[static_cast<size_t>(at)];
    ++draft->added[static_cast<size_t>(at)];
    ++draft->total;
    MachineCapacity capacity = EmptyMachine(offering);
    while (left > 0 && Fits(request, capacity)) {
      Take(&capacity, request);
      --left;
    }
    draft->bins.push_back(capacity);
  }
}

// The zone in which most of the tasks find room; of several, one where more can be rented.
uint32_t ZoneFor(const ResourceRequest& request, uint32_t count, const ScaleOutDraft& draft) {
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
      for (MachineCapacity left = bin; places < count && Fits(request, left); ++places)
        Take(&left, request);
    }
    if (best != UINT32_MAX && places <= most) continue;
    best = zone;
    most = places;
  }
  return best;
}

}  // namespace

MachineCapacity EmptyMachine(const InstanceOffering& offer) {
  MachineCapacity capacity;
  capacity.type = offer.type;
  capacity.zone = offer.zone;
  capacity.spot = offer.spot;
  capacity.usable = true;
  capacity.cores = offer.cores;
  capacity.gpus = offer.gpus;
  capacity.memory_gb = offer.memory_gb;
  return capacity;
}

std::vector<ScaleOutDecision> PlanScaleOut(const std::vector<InstanceOffering>& offerings,
                                           std::vector<MachineCapacity> bins,
                                           const std::vector<ResourceDemand>& demands,
                                           int most_machines) {
  ScaleOutDraft draft{&offerings, std::move(bins), std::vector<int>(offerings.size(), 0), 0,
                      most_machines};
  for (const ResourceDemand& want : demands) {
    ResourceRequest request = want.request;
    request.sibling_machines = nullptr;
    if (want.single_zone) request.required_zone = ZoneFor(request, want.count, draft);
    PackDemand(request, want.count, &draft);
  }
  std::vector<ScaleOutDecision> out;
  for (size_t i = 0; i < offerings.size(); ++i) {
    if (draft.added[i] > 0) out.push_back({static_cast<uint32_t>(i), draft.added[i]});
  }
  return out;
}

}  // namespace deckhall
