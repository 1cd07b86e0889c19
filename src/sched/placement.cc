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

bool SatisfiesConstraints(const ResourceRequest& request, uint32_t type, uint32_t zone, bool spot) {
  if (spot && !request.spot_tolerant) return false;
  if (request.required_zone != UINT32_MAX && request.required_zone != zone) return false;
  if (request.allowed_types != nullptr &&
      (type >= request.allowed_types->size() || (*request.allowed_types)[type] == 0)) {
    return false;
  }
  if (request.allowed_zones != nullptr &&
      (zone >= request.allowed_zones->size() || (*request.allowed_zones)[zone] == 0)) {
    return false;
  }
  return true;
}

bool Fits(const ResourceRequest& request, const MachineCapacity& capacity) {
  return capacity.cores + kEps >= request.cores && capacity.gpus + kEps >= request.gpus &&
         capacity.memory_gb + kEps >= request.memory_gb;
}

namespace {

// Different images other than this one that the machine is fetching.
int OtherFetches(const MachineCapacity& capacity, uint32_t image) {
  int others = 0;
  for (size_t i = 0; i < capacity.fetching_images.size(); ++i) {
    const auto end = capacity.fetching_images.begin() + static_cast<ptrdiff_t>(i);
    if (capacity.fetching_images[i] != image &&
        std::find(capacity.fetching_images.begin(), end, capacity.fetching_images[i]) == end)
      ++others;
  }
  return others;
}

// Seconds until it runs weigh most; then what the choice costs others.
// False: it is no place for it now.
bool PlacementCost(const ResourceRequest& request, const MachineCapacity& capacity, double* cost) {
  const bool cached = Contains(capacity.cached_images, request.image);
  // One fetch serves all tasks there that need the image.
  const bool coming = !cached && Contains(&capacity.fetching_images, request.image);
  // A replica that must wait for a fetch waits anywhere: on a machine of its own it
  // brings the image to one more place where later ones start at once.
  if (request.cached_or_fetching_only && !cached && !coming) return false;
  if (request.cached_only && !cached) return false;
  double fetch_s = request.image_gb / std::max(capacity.fetch_gb_per_s, 1e-3) *
                   (coming && !request.service ? 0.5 : 1.0);
  // Images fetched there at the same time share the rate.
  if (request.service || request.gang) fetch_s *= 1 + OtherFetches(capacity, request.image);
  if (request.overdue) {
    // Its start is late anyway. A machine that gets the image now can start
    // later replicas at once.
    *cost = cached ? fetch_s : 0;
  } else {
    *cost = cached ? 0 : fetch_s;
  }
  if (Contains(request.failed_machines, capacity.machine)) *cost += 1000;
  if (request.service) {
    // Replicas apart: one machine lost then costs a service little.
    if (request.sibling_machines != nullptr) {
      *cost +=
          3.0 * static_cast<double>(std::count(request.sibling_machines->begin(),
                                               request.sibling_machines->end(), capacity.machine));
    }
  } else if (request.spot_tolerant && !capacity.spot) {
    *cost += 4.0;  // ordinary machines are kept for those that need them
  }
  const double after = (capacity.cores - request.cores) / std::max(capacity.total_cores, 1.0);
  // Services spread: each machine then holds many images and a little room, and
  // its loss costs little. Arrays pack, which leaves whole machines free.
  *cost += request.service ? -0.5 * after : 0.5 * after;
  return true;
}

bool IsCandidate(const ResourceRequest& request, const MachineCapacity& capacity) {
  return capacity.usable &&
         SatisfiesConstraints(request, capacity.type, capacity.zone, capacity.spot) &&
         Fits(request, capacity);
}

}  // namespace

BestFitQueue::BestFitQueue(const ResourceRequest* request,
                           const std::vector<MachineCapacity>* nodes,
                           const std::vector<uint32_t>& open)
    : request_(request), capacities_(nodes) {
  for (uint32_t i : open) {
    double cost = 0;
    const MachineCapacity& capacity = (*capacities_)[i];
    if (IsCandidate(*request_, capacity) && PlacementCost(*request_, capacity, &cost))
      heap_.emplace_back(cost, i);
  }
  std::make_heap(heap_.begin(), heap_.end(), std::greater<>());
}

void BestFitQueue::Push(uint32_t node) {
  double cost = 0;
  const MachineCapacity& capacity = (*capacities_)[node];
  if (!IsCandidate(*request_, capacity) || !PlacementCost(*request_, capacity, &cost)) return;
  heap_.emplace_back(cost, node);
  std::push_heap(heap_.begin(), heap_.end(), std::greater<>());
}

int BestFitQueue::PopBest(bool ordinary) {
  while (!heap_.empty()) {
    std::pop_heap(heap_.begin(), heap_.end(), std::greater<>());
    const auto [cost, at] = heap_.back();
    heap_.pop_back();
    const MachineCapacity& capacity = (*capacities_)[at];
    // Room only shrinks and zones only close while one job is served.
    if (!(ordinary || capacity.spot) || !IsCandidate(*request_, capacity)) continue;
    cost_ = cost;
    return static_cast<int>(at);
  }
  return -1;
}

void BestFitQueue::Reinsert(int node) { Push(static_cast<uint32_t>(node)); }

}  // namespace deckhall
