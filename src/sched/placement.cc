#include "sched/placement.h"

#include <algorithm>
#include <cstddef>
#include <functional>

namespace deckhall {
namespace {

// Penalties, as the start delay in seconds that is acceptable to avoid such a machine.
constexpr double kFailedMachineCostSeconds = 1000;
constexpr double kSiblingCostSeconds = 3;          // for each replica already on the machine
constexpr double kOrdinaryMachineCostSeconds = 4;  // for a spot-tolerant task
constexpr double kFreeShareCostSeconds = 0.5;      // times the share of cores that would stay free

constexpr double kMinFetchGbPerSecond = 1e-3;
// Average share of a fetch in progress that is still left.
constexpr double kFetchInProgressShare = 0.5;

bool Contains(const std::vector<uint32_t>* list, uint32_t value) {
  return list != nullptr && std::find(list->begin(), list->end(), value) != list->end();
}

// Number of distinct images, apart from `image`, that the machine is fetching.
int CountOtherFetches(const MachineCapacity& capacity, uint32_t image) {
  const std::vector<uint32_t>& fetching = capacity.fetching_images;
  int others = 0;
  for (size_t i = 0; i < fetching.size(); ++i) {
    const auto earlier_end = fetching.begin() + static_cast<ptrdiff_t>(i);
    const bool repeated = std::find(fetching.begin(), earlier_end, fetching[i]) != earlier_end;
    if (fetching[i] != image && !repeated) ++others;
  }
  return others;
}

// Seconds to fetch the image on the machine if it is not cached.
double FetchSeconds(const ResourceRequest& request, const MachineCapacity& capacity,
                    bool fetching) {
  double seconds = request.image_gb / std::max(capacity.fetch_gb_per_s, kMinFetchGbPerSecond) *
                   (fetching && !request.service ? kFetchInProgressShare : 1.0);
  // Concurrent fetches share the machine's rate.
  if (request.service || request.gang) seconds *= 1 + CountOtherFetches(capacity, request.image);
  return seconds;
}

// Cost of a machine that satisfies the constraints; no value if the request requires an image that
// the machine lacks.
std::optional<double> PlacementCost(const ResourceRequest& request,
                                    const MachineCapacity& capacity) {
  const bool cached = Contains(capacity.cached_images, request.image);
  const bool fetching = !cached && Contains(&capacity.fetching_images, request.image);
  if (request.cached_or_fetching_only && !cached && !fetching) return std::nullopt;
  if (request.cached_only && !cached) return std::nullopt;
  const double fetch_s = FetchSeconds(request, capacity, fetching);
  // An overdue replica prefers a machine without the image: its fetch lets later replicas start
  // there without a delay.
  double cost = cached == request.overdue ? fetch_s : 0;
  if (Contains(request.failed_machines, capacity.machine)) cost += kFailedMachineCostSeconds;
  if (request.service) {
    // Anti-affinity: the loss of a machine should cost the service only one replica.
    if (request.sibling_machines != nullptr) {
      cost += kSiblingCostSeconds *
              static_cast<double>(std::count(request.sibling_machines->begin(),
                                             request.sibling_machines->end(), capacity.machine));
    }
  } else if (request.spot_tolerant && !capacity.spot) {
    cost += kOrdinaryMachineCostSeconds;
  }
  const double free_share = (capacity.cores - request.cores) / std::max(capacity.total_cores, 1.0);
  // Services are spread, so that many machines cache their images. Arrays are packed, which leaves
  // whole machines free.
  cost +=
      request.service ? -kFreeShareCostSeconds * free_share : kFreeShareCostSeconds * free_share;
  return cost;
}

bool IsCandidate(const ResourceRequest& request, const MachineCapacity& capacity) {
  return capacity.usable &&
         SatisfiesConstraints(request, capacity.type, capacity.zone, capacity.spot) &&
         Fits(request, capacity);
}

}  // namespace

bool SatisfiesConstraints(const ResourceRequest& request, uint32_t type, uint32_t zone, bool spot) {
  if (spot && !request.spot_tolerant) return false;
  if (request.required_zone != UINT32_MAX && request.required_zone != zone) return false;
  if (request.allowed_types != nullptr &&
      (type >= request.allowed_types->size() || (*request.allowed_types)[type] == 0)) {
    return false;
  }
  return request.allowed_zones == nullptr ||
         (zone < request.allowed_zones->size() && (*request.allowed_zones)[zone] != 0);
}

bool Fits(const ResourceRequest& request, const MachineCapacity& capacity) {
  return capacity.cores + kResourceEpsilon >= request.cores &&
         capacity.gpus + kResourceEpsilon >= request.gpus &&
         capacity.memory_gb + kResourceEpsilon >= request.memory_gb &&
         capacity.heartbeat_bytes + kResourceEpsilon >= request.heartbeat_bytes;
}

BestFitQueue::BestFitQueue(const ResourceRequest* request,
                           const std::vector<MachineCapacity>* capacities,
                           const std::vector<uint32_t>& candidates)
    : request_(request), capacities_(capacities) {
  for (const uint32_t machine : candidates) {
    if (const std::optional<double> cost = CostOf(machine)) heap_.emplace_back(*cost, machine);
  }
  std::make_heap(heap_.begin(), heap_.end(), std::greater<>());
}

std::optional<double> BestFitQueue::CostOf(uint32_t machine) const {
  const MachineCapacity& capacity = (*capacities_)[machine];
  if (!IsCandidate(*request_, capacity)) return std::nullopt;
  return PlacementCost(*request_, capacity);
}

std::optional<uint32_t> BestFitQueue::PopBest(bool allow_ordinary) {
  while (!heap_.empty()) {
    std::pop_heap(heap_.begin(), heap_.end(), std::greater<>());
    const auto [cost, machine] = heap_.back();
    heap_.pop_back();
    const MachineCapacity& capacity = (*capacities_)[machine];
    if (!allow_ordinary && !capacity.spot) continue;
    if (!IsCandidate(*request_, capacity)) continue;
    cost_ = cost;
    return machine;
  }
  return std::nullopt;
}

void BestFitQueue::Reinsert(uint32_t machine) {
  const std::optional<double> cost = CostOf(machine);
  if (!cost) return;
  heap_.emplace_back(*cost, machine);
  std::push_heap(heap_.begin(), heap_.end(), std::greater<>());
}

}  // namespace deckhall
