#include "sched/placement.h"

#include <algorithm>
#include <cstddef>
#include <functional>

namespace deckhall {
namespace {

constexpr double kEps = 1e-6;

bool Contains(const std::vector<uint32_t>* list, uint32_t value) {
  return list != nullptr && std::find(list->begin(), list->end(), value) != list->end();
}

}  // namespace

bool SatisfiesConstraints(const ResourceRequest& need, uint32_t type, uint32_t zone, bool spot) {
  if (spot && !need.spot_tolerant) return false;
  if (need.required_zone != UINT32_MAX && need.required_zone != zone) return false;
  if (need.allowed_types != nullptr &&
      (type >= need.allowed_types->size() || (*need.allowed_types)[type] == 0)) {
    return false;
  }
  if (need.allowed_zones != nullptr &&
      (zone >= need.allowed_zones->size() || (*need.allowed_zones)[zone] == 0)) {
    return false;
  }
  return true;
}

bool Fits(const ResourceRequest& need, const MachineCapacity& node) {
  return node.cores + kEps >= need.cores && node.gpus + kEps >= need.gpus &&
         node.memory_gb + kEps >= need.memory_gb;
}

namespace {

// Different images other than this one that the machine is fetching.
int OtherFetches(const MachineCapacity& n, uint32_t image) {
  int others = 0;
  for (size_t i = 0; i < n.fetching_images.size(); ++i) {
    const auto end = n.fetching_images.begin() + static_cast<ptrdiff_t>(i);
    if (n.fetching_images[i] != image &&
        std::find(n.fetching_images.begin(), end, n.fetching_images[i]) == end)
      ++others;
  }
  return others;
}

// Seconds until it runs weigh most; then what the choice costs others.
// False: it is no place for it now.
bool PlacementCost(const ResourceRequest& need, const MachineCapacity& n, double* cost) {
  const bool cached = Contains(n.cached_images, need.image);
  // One fetch serves all tasks there that need the image.
  const bool coming = !cached && Contains(&n.fetching_images, need.image);
  // A replica that must wait for a fetch waits anywhere: on a machine of its own it
  // brings the image to one more place where later ones start at once.
  if (need.cached_or_fetching_only && !cached && !coming) return false;
  if (need.cached_only && !cached) return false;
  double fetch_s =
      need.image_gb / std::max(n.fetch_gb_per_s, 1e-3) * (coming && !need.service ? 0.5 : 1.0);
  // Images fetched there at the same time share the rate.
  if (need.service || need.gang) fetch_s *= 1 + OtherFetches(n, need.image);
  if (need.overdue) {
    // Its start is late anyway. A machine that gets the image now can start
    // later replicas at once.
    *cost = cached ? fetch_s : 0;
  } else {
    *cost = cached ? 0 : fetch_s;
  }
  if (Contains(need.failed_machines, n.machine)) *cost += 1000;
  if (need.service) {
    // Replicas apart: one machine lost then costs a service little.
    if (need.sibling_machines != nullptr) {
      *cost += 3.0 * static_cast<double>(std::count(need.sibling_machines->begin(),
                                                    need.sibling_machines->end(), n.machine));
    }
  } else if (need.spot_tolerant && !n.spot) {
    *cost += 4.0;  // ordinary machines are kept for those that need them
  }
  const double after = (n.cores - need.cores) / std::max(n.total_cores, 1.0);
  // Services spread: each machine then holds many images and a little room, and
  // its loss costs little. Arrays pack, which leaves whole machines free.
  *cost += need.service ? -0.5 * after : 0.5 * after;
  return true;
}

bool IsCandidate(const ResourceRequest& need, const MachineCapacity& n) {
  return n.usable && SatisfiesConstraints(need, n.type, n.zone, n.spot) && Fits(need, n);
}

}  // namespace

BestFitQueue::BestFitQueue(const ResourceRequest* need, const std::vector<MachineCapacity>* nodes,
                           const std::vector<uint32_t>& open)
    : request_(need), capacities_(nodes) {
  for (uint32_t i : open) {
    double cost = 0;
    const MachineCapacity& n = (*capacities_)[i];
    if (IsCandidate(*request_, n) && PlacementCost(*request_, n, &cost))
      heap_.emplace_back(cost, i);
  }
  std::make_heap(heap_.begin(), heap_.end(), std::greater<>());
}

void BestFitQueue::Push(uint32_t node) {
  double cost = 0;
  const MachineCapacity& n = (*capacities_)[node];
  if (!IsCandidate(*request_, n) || !PlacementCost(*request_, n, &cost)) return;
  heap_.emplace_back(cost, node);
  std::push_heap(heap_.begin(), heap_.end(), std::greater<>());
}

int BestFitQueue::PopBest(bool ordinary) {
  while (!heap_.empty()) {
    std::pop_heap(heap_.begin(), heap_.end(), std::greater<>());
    const auto [cost, at] = heap_.back();
    heap_.pop_back();
    const MachineCapacity& n = (*capacities_)[at];
    // Room only shrinks and zones only close while one job is served.
    if (!(ordinary || n.spot) || !IsCandidate(*request_, n)) continue;
    cost_ = cost;
    return static_cast<int>(at);
  }
  return -1;
}

void BestFitQueue::Reinsert(int node) { Push(static_cast<uint32_t>(node)); }

}  // namespace deckhall
