#include "drain/replacement_finder.h"

#include <algorithm>
#include <optional>

namespace deckhall {
namespace {

// Machines that one search looks at.
constexpr size_t kMostLooked = 256;
// The machines with room are listed anew after so many seconds.
constexpr double kOpenLasts = 1;
constexpr double kLeastCores = 0.01;

}  // namespace

void ReplacementFinder::RefreshCandidates() {
  const double now = clock_->Now();
  if (candidates_refreshed_at_ >= 0 && now - candidates_refreshed_at_ < kOpenLasts) return;
  candidates_refreshed_at_ = now;
  candidates_ = Roaring();
  for (uint32_t m : free_capacity_->MachinesWithFreeCores(kLeastCores)) candidates_.add(m);
}

std::vector<uint32_t> ReplacementFinder::NextCandidates() {
  std::vector<uint32_t> some;
  auto at = candidates_.begin();
  at.equalorlarger(next_candidate_);
  const uint64_t most = std::min<uint64_t>(kMostLooked, candidates_.cardinality());
  while (some.size() < most) {
    if (at == candidates_.end()) at = candidates_.begin();
    some.push_back(*at);
    ++at;
  }
  if (!some.empty()) next_candidate_ = some.back() + 1;
  std::erase_if(some, [this](uint32_t m) { return !free_capacity_->Current(m).usable; });
  examined_ += most;
  return some;
}

ReplacementFinder::Result ReplacementFinder::Find(JobIndex job_index, MachineIndex from,
                                                  bool fetch) {
  const Job& job = (*job_store_)[job_index];
  RefreshCandidates();
  std::vector<uint32_t> on = job.machines;
  if (auto it = std::find(on.begin(), on.end(), from); it != on.end()) on.erase(it);
  const std::optional<ZoneMask> zones = free_capacity_->AllowedZones(job, on);
  if (!zones) return {kNoIndex, false, {BlockedReason::kTakingOver, job.id}};
  ResourceRequest request = free_capacity_->RequestFor(job, *zones, on);
  request.overdue = false;
  std::vector<uint32_t> some = NextCandidates();
  // Where it failed before, or did not start, it is not sent on purpose.
  std::erase_if(some, [&job](uint32_t m) {
    return std::find(job.failed_machines.begin(), job.failed_machines.end(), m) !=
           job.failed_machines.end();
  });
  request.cached_only = true;
  std::optional<MachineIndex> best =
      BestFitQueue(&request, &free_capacity_->capacities(), some).PopBest(true);
  if (best) return {*best, true, {}};
  request.cached_only = false;
  best = BestFitQueue(&request, &free_capacity_->capacities(), some).PopBest(true);
  if (best && fetch) return {*best, false, {}};
  if (best) return {kNoIndex, false, {BlockedReason::kNoImage, job.id}};
  const bool no_zone =
      request.allowed_zones != nullptr &&
      std::none_of(zones->begin(), zones->end(), [](char open) { return open != 0; });
  return {kNoIndex, false, {no_zone ? BlockedReason::kZoneRule : BlockedReason::kNoPlace, job.id}};
}

bool ReplacementFinder::StillFits(JobIndex job_index, MachineIndex place) {
  const Job& job = (*job_store_)[job_index];
  const std::optional<ZoneMask> zones = free_capacity_->AllowedZones(job, job.machines);
  if (!zones) return false;
  const ResourceRequest request = free_capacity_->RequestFor(job, *zones, job.machines);
  const MachineCapacity& capacity = free_capacity_->Current(place);
  return capacity.usable &&
         SatisfiesConstraints(request, capacity.type, capacity.zone, capacity.spot) &&
         Fits(request, capacity);
}

}  // namespace deckhall
