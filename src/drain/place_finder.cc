#include "drain/place_finder.h"

#include <algorithm>

namespace deckhall {
namespace {

// Machines that one search looks at.
constexpr size_t kMostLooked = 256;
// The machines with room are listed anew after so many seconds.
constexpr double kOpenLasts = 1;
constexpr double kLeastCores = 0.01;

}  // namespace

void PlaceFinder::RefreshOpen() {
  const double now = clock_->Now();
  if (open_at_ >= 0 && now - open_at_ < kOpenLasts) return;
  open_at_ = now;
  open_ = Roaring();
  for (uint32_t m : free_capacity_->Open(kLeastCores)) open_.add(m);
}

std::vector<uint32_t> PlaceFinder::Some() {
  std::vector<uint32_t> some;
  auto at = open_.begin();
  at.equalorlarger(next_);
  const uint64_t most = std::min<uint64_t>(kMostLooked, open_.cardinality());
  while (some.size() < most) {
    if (at == open_.end()) at = open_.begin();
    some.push_back(*at);
    ++at;
  }
  if (!some.empty()) next_ = some.back() + 1;
  std::erase_if(some, [this](uint32_t m) { return !free_capacity_->Current(m).usable; });
  looked_at_ += most;
  return some;
}

PlaceFinder::Result PlaceFinder::Find(JobIndex j, MachineIndex from, bool fetch) {
  const Job& job = (*job_store_)[j];
  RefreshOpen();
  std::vector<uint32_t> on = job.machines;
  if (auto it = std::find(on.begin(), on.end(), from); it != on.end()) on.erase(it);
  std::vector<char> zones;
  if (!free_capacity_->ZoneRoom(job, on, &zones))
    return {kNoIndex, false, {WaitReason::kTakingOver, job.id}};
  Need need = free_capacity_->NeedOf(job, zones, on);
  need.patient = false;
  std::vector<uint32_t> some = Some();
  // Where it failed before, or did not start, it is not sent on purpose.
  std::erase_if(some, [&job](uint32_t m) {
    return std::find(job.failed_machines.begin(), job.failed_machines.end(), m) !=
           job.failed_machines.end();
  });
  need.here_only = true;
  int at = Picker(&need, &free_capacity_->nodes(), some).Next(true);
  if (at >= 0) return {static_cast<MachineIndex>(at), true, {}};
  need.here_only = false;
  at = Picker(&need, &free_capacity_->nodes(), some).Next(true);
  if (at >= 0 && fetch) return {static_cast<MachineIndex>(at), false, {}};
  if (at >= 0) return {kNoIndex, false, {WaitReason::kNoImage, job.id}};
  const bool no_zone = need.zones != nullptr && std::none_of(zones.begin(), zones.end(),
                                                             [](char open) { return open != 0; });
  return {kNoIndex, false, {no_zone ? WaitReason::kZoneRule : WaitReason::kNoPlace, job.id}};
}

bool PlaceFinder::StillFits(JobIndex j, MachineIndex place) {
  const Job& job = (*job_store_)[j];
  std::vector<char> zones;
  if (!free_capacity_->ZoneRoom(job, job.machines, &zones)) return false;
  const Need need = free_capacity_->NeedOf(job, zones, job.machines);
  const Node& node = free_capacity_->Current(place);
  return node.usable && Allows(need, node.type, node.zone, node.spot) && Fits(need, node);
}

}  // namespace deckhall
