#include "sched/scale_out_plan.h"

#include <algorithm>
#include <cmath>

namespace deckhall {
namespace {

// How many such tasks a machine takes.
double TasksPerMachine(const InstanceOffering& o, const ResourceRequest& n) {
  double slots = 1e9;
  if (n.cores > 0) slots = std::min(slots, std::floor(o.cores / n.cores + 1e-9));
  if (n.memory_gb > 0) slots = std::min(slots, std::floor(o.memory_gb / n.memory_gb + 1e-9));
  if (n.gpus > 0) slots = std::min(slots, std::floor(o.gpus / n.gpus + 1e-9));
  return slots;
}

// At most so much dearer does a pool count for the share of the machines it has.
constexpr double kSpread = 0.3;

int CheapestOffering(const std::vector<InstanceOffering>& offers, const std::vector<int>& rented,
                     const ResourceRequest& need, uint32_t left) {
  int all = 1;
  for (size_t i = 0; i < offers.size(); ++i) all += offers[i].existing_machines + rented[i];
  int best = -1;
  double best_cost = 0;
  for (size_t i = 0; i < offers.size(); ++i) {
    const InstanceOffering& o = offers[i];
    if (o.unavailable || !SatisfiesConstraints(need, o.type, o.zone, o.spot)) continue;
    const double slots = TasksPerMachine(o, need);
    if (slots < 1) continue;
    // Price of a task's place; places beyond those wanted are worth half.
    const double used = std::min<double>(slots, left);
    double cost = o.price / (used + 0.5 * (slots - used));
    // Pools with many machines are a bit dearer, so that zones share the risk. By
    // share, not by number: a large fleet is no reason to pay more.
    cost *= 1 + kSpread * (o.existing_machines + rented[i]) / all;
    if (best < 0 || cost < best_cost) {
      best = static_cast<int>(i);
      best_cost = cost;
    }
  }
  return best;
}

void Take(MachineCapacity* node, const ResourceRequest& need) {
  node->cores -= need.cores;
  node->gpus -= need.gpus;
  node->memory_gb -= need.memory_gb;
}

// The plan as it is being made.
struct ScaleOutDraft {
  const std::vector<InstanceOffering>* offerings;
  std::vector<MachineCapacity> bins;
  std::vector<int> added;  // by offer
  int total = 0;
  int max_machines = 0;
};

void PackDemand(const ResourceRequest& need, uint32_t left, ScaleOutDraft* draft) {
  // Bins are used from the first that fits; a full pass per want is enough.
  for (MachineCapacity& bin : draft->bins) {
    if (left == 0) break;
    if (!bin.usable || !SatisfiesConstraints(need, bin.type, bin.zone, bin.spot)) continue;
    while (left > 0 && Fits(need, bin)) {
      Take(&bin, need);
      --left;
    }
  }
  while (left > 0 && draft->total < draft->max_machines) {
    const int at = CheapestOffering(*draft->offerings, draft->added, need, left);
    if (at < 0) break;
    const InstanceOffering& o = (*draft->offerings)[static_cast<size_t>(at)];
    ++draft->added[static_cast<size_t>(at)];
    ++draft->total;
    MachineCapacity node = EmptyMachine(o);
    while (left > 0 && Fits(need, node)) {
      Take(&node, need);
      --left;
    }
    draft->bins.push_back(node);
  }
}

// The zone in which most of the tasks find room; of several, one where more can be rented.
uint32_t ZoneFor(const ResourceRequest& need, uint32_t count, const ScaleOutDraft& draft) {
  std::vector<uint32_t> zones;
  for (const InstanceOffering& o : *draft.offerings) {
    if (!o.unavailable && SatisfiesConstraints(need, o.type, o.zone, o.spot) &&
        TasksPerMachine(o, need) >= 1 &&
        std::find(zones.begin(), zones.end(), o.zone) == zones.end()) {
      zones.push_back(o.zone);
    }
  }
  uint32_t best = need.required_zone;
  uint32_t most = 0;
  for (const uint32_t zone : zones) {
    ResourceRequest there = need;
    there.required_zone = zone;
    uint32_t places = 0;
    for (const MachineCapacity& bin : draft.bins) {
      if (places >= count) break;
      if (!bin.usable || !SatisfiesConstraints(there, bin.type, bin.zone, bin.spot)) continue;
      for (MachineCapacity left = bin; places < count && Fits(need, left); ++places)
        Take(&left, need);
    }
    if (best != UINT32_MAX && places <= most) continue;
    best = zone;
    most = places;
  }
  return best;
}

}  // namespace

MachineCapacity EmptyMachine(const InstanceOffering& offer) {
  MachineCapacity node;
  node.type = offer.type;
  node.zone = offer.zone;
  node.spot = offer.spot;
  node.usable = true;
  node.cores = offer.cores;
  node.gpus = offer.gpus;
  node.memory_gb = offer.memory_gb;
  return node;
}

std::vector<ScaleOutDecision> PlanScaleOut(const std::vector<InstanceOffering>& offers,
                                           std::vector<MachineCapacity> bins,
                                           const std::vector<ResourceDemand>& wants,
                                           int most_machines) {
  ScaleOutDraft draft{&offers, std::move(bins), std::vector<int>(offers.size(), 0), 0,
                      most_machines};
  for (const ResourceDemand& want : wants) {
    ResourceRequest need = want.request;
    need.sibling_machines = nullptr;
    if (want.single_zone) need.required_zone = ZoneFor(need, want.count, draft);
    PackDemand(need, want.count, &draft);
  }
  std::vector<ScaleOutDecision> out;
  for (size_t i = 0; i < offers.size(); ++i) {
    if (draft.added[i] > 0) out.push_back({static_cast<uint32_t>(i), draft.added[i]});
  }
  return out;
}

}  // namespace deckhall
