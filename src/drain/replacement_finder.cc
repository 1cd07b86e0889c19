#include "drain/replacement_finder.h"

#include <algorithm>
#include <optional>

namespace deckhall {
namespace {

// Machines examined in one search.
constexpr size_t kMaxExaminedPerSearch = 256;
// The list of machines with free capacity is refreshed after this period.
constexpr double kCandidateRefreshSeconds = 1;
constexpr double kMinFreeCores = 0.01;

}  // namespace

void ReplacementFinder::RefreshCandidates() {
  const double now = clock_->Now();
  if (candidates_refreshed_at_ >= 0 && now - candidates_refreshed_at_ < kCandidateRefreshSeconds)
    return;
  candidates_refreshed_at_ = now;
  candidates_ = Roaring();
  for (uint32_t m : free_capacity_->MachinesWithFreeCores(kMinFreeCores)) candidates_.add(m);
}

std::vector<uint32_t> ReplacementFinder::NextCandidates() {
  std::vector<uint32_t> candidates;
  auto it = candidates_.begin();
  it.equalorlarger(next_candidate_);
  const uint64_t count = std::min<uint64_t>(kMaxExaminedPerSearch, candidates_.cardinality());
  while (candidates.size() < count) {
    if (it == candidates_.end()) it = candidates_.begin();
    candidates.push_back(*it);
    ++it;
  }
  if (!candidates.empty()) next_candidate_ = candidates.back() + 1;
  std::erase_if(candidates, [this](uint32_t m) { return !free_capacity_->Current(m).usable; });
  examined_ += count;
  return candidates;
}

ReplacementFinder::Result ReplacementFinder::Find(JobIndex job_index, MachineIndex source_machine,
                                                  bool allow_fetch) {
  const Job& job = (*job_store_)[job_index];
  RefreshCandidates();
  std::vector<uint32_t> other_machines = job.machines;
  if (auto it = std::find(other_machines.begin(), other_machines.end(), source_machine);
      it != other_machines.end())
    other_machines.erase(it);
  const std::optional<ZoneMask> zones = free_capacity_->AllowedZones(job, other_machines);
  if (!zones) return {kNoIndex, false, {BlockedReason::kFailover, job.id}};
  ResourceRequest request = free_capacity_->RequestFor(job, *zones, other_machines);
  request.overdue = false;
  std::vector<uint32_t> candidates = NextCandidates();
  // Skips machines on which the job failed or did not start.
  std::erase_if(candidates, [&job](uint32_t m) {
    return std::find(job.failed_machines.begin(), job.failed_machines.end(), m) !=
           job.failed_machines.end();
  });
  request.cached_only = true;
  std::optional<MachineIndex> best =
      BestFitQueue(&request, &free_capacity_->capacities(), candidates).PopBest(true);
  if (best) return {*best, true, {}};
  request.cached_only = false;
  best = BestFitQueue(&request, &free_capacity_->capacities(), candidates).PopBest(true);
  if (best && allow_fetch) return {*best, false, {}};
  if (best) return {kNoIndex, false, {BlockedReason::kImageNotCached, job.id}};
  const bool no_zone =
      request.allowed_zones != nullptr &&
      std::none_of(zones->begin(), zones->end(), [](char allowed) { return allowed != 0; });
  return {
      kNoIndex,
      false,
      {no_zone ? BlockedReason::kZoneConstraint : BlockedReason::kInsufficientCapacity, job.id}};
}

bool ReplacementFinder::StillFits(JobIndex job_index, MachineIndex machine_index) {
  const Job& job = (*job_store_)[job_index];
  const std::optional<ZoneMask> zones = free_capacity_->AllowedZones(job, job.machines);
  if (!zones) return false;
  const ResourceRequest request = free_capacity_->RequestFor(job, *zones, job.machines);
  const MachineCapacity& capacity = free_capacity_->Current(machine_index);
  return capacity.usable &&
         SatisfiesConstraints(request, capacity.type, capacity.zone, capacity.spot) &&
         Fits(request, capacity);
}

}  // namespace deckhall
