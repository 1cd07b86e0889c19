#include "leader/placer.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace deckhall {
namespace {

constexpr double kEps = 1e-6;

}  // namespace

Placer::Placer(JobStore* job_store, Fleet* fleet, FreeCapacity* free_capacity, Ranking* ranking,
               Provisioner* provisioner, const DisruptionLedger* ledger, const Clock* clock,
               const Tuning* tuning)
    : job_store_(job_store),
      fleet_(fleet),
      free_capacity_(free_capacity),
      ranking_(ranking),
      provisioner_(provisioner),
      clock_(clock),
      tuning_(tuning),
      preemption_(job_store, fleet, free_capacity, ledger, clock),
      gangs_(job_store, fleet, free_capacity, &preemption_, clock, tuning) {}

// The paper's delay scheduling: while jobs compete, one that would first have to
// fetch its image lets the room pass, for as long as the fetch would take.
double Placer::FetchPatienceSeconds(const Job& job) const {
  return tuning_->delay_fetches * FetchSeconds(job);
}

double Placer::FetchSeconds(const Job& job) const {
  double rate = 0;
  for (const MachineType& type : provisioner_->types()) {
    rate = rate == 0 ? type.fetch_gb_per_s : std::min(rate, type.fetch_gb_per_s);
  }
  return rate > 0 ? job.spec.image_gb / rate : 0;
}

// Ordinary room that replicas may need soon is not given to arrays. But none waits for
// ever beside it: where nothing more can be rented, what found no place for so long gets
// it, and gives way when a replica comes.
double Placer::HeadroomReserve(const Job& job) const {
  const bool starved = clock_->Now() - job.starved_since > tuning_->starvation_s / 2;
  if (job.spec.service || starved) return 0;
  return free_capacity_->headroom() * tuning_->headroom_reserved_share;
}

void Placer::PlaceOn(JobIndex job_index, uint32_t node, uint64_t attempt_number) {
  Job& job = (*job_store_)[job_index];
  const bool passed = !job.spec.service && ranking_->IsStarved(job, clock_->Now());
  fleet_->PlaceTask(node, job_index, job.waiting_tasks.back(), attempt_number, passed);
  free_capacity_->Allocate(job, node);
  (*fleet_)[node].idle_since = -1;
}

bool Placer::FailedBefore(const ResourceRequest& request) const {
  return std::any_of(
      failed_requests_.begin(), failed_requests_.end(), [&request](const FailedRequest& failed) {
        return request.cores + kEps >= failed.cores &&
               request.memory_gb + kEps >= failed.memory_gb && request.gpus + kEps >= failed.gpus &&
               (failed.zone == UINT32_MAX || failed.zone == request.required_zone) &&
               (failed.spot_tolerant || !request.spot_tolerant) &&
               (failed.allowed_types == nullptr ||
                (request.allowed_types != nullptr &&
                 *request.allowed_types == *failed.allowed_types));
      });
}

void Placer::PlaceTasks(JobIndex job_index, bool here, size_t most) {
  Job& job = (*job_store_)[job_index];
  const double now = clock_->Now();
  if (!job.acknowledged || job.waiting_tasks.empty() || now < job.backoff_until) return;
  if (!free_capacity_->HasTeamQuota(job)) return;
  std::vector<char> zones;
  // Where its tasks are, those on their way out included.
  std::vector<uint32_t> on;
  if (job.spec.service || job.spec.single_zone || job.spec.anti_affinity) on = job.machines;
  if (!free_capacity_->AllowedZones(job, on, &zones)) return;
  ResourceRequest request = free_capacity_->RequestFor(job, zones, on);
  request.sibling_machines = &on;
  request.cached_or_fetching_only = contended_ && !job.spec.service && !job.guaranteed &&
                                    now - job.waiting_since < FetchPatienceSeconds(job);
  request.cached_only = here;
  if (FailedBefore(request)) return;
  // A job that keeps failing shows its worth with one task at a time. Replicas that run
  // have shown it: they never complete, and the missing ones would wait for ever.
  const uint32_t unproven =
      job.spec.service ? job.tasks_placed - job.tasks_running : job.tasks_placed;
  if (job.consecutive_failures >= 3) most = std::min<size_t>(most, unproven > 0 ? 0 : 1);
  const double reserve = HeadroomReserve(job);
  auto ordinary = [&] {
    return job.spec.service || free_capacity_->free_ordinary() - reserve + kEps >= job.spec.cores;
  };
  if (!ordinary() &&
      (!job.spec.spot_tolerant || free_capacity_->free_spot() + kEps < job.spec.cores))
    return;
  BestFitQueue picker(&request, &free_capacity_->capacities(), open_machines_);
  free_capacity_->work_units += open_machines_.size();
  size_t placed = 0;
  while (!job.waiting_tasks.empty() && placed < most && free_capacity_->HasTeamQuota(job)) {
    if (placed > 0 && !free_capacity_->AllowedZones(job, on, &zones)) break;
    const int at = picker.PopBest(ordinary());
    if (at < 0) {
      if (placed == 0 && job.spec.service && !here && request.allowed_zones == nullptr) {
        failed_requests_.push_back({request.cores, request.memory_gb, request.gpus,
                                    request.required_zone, request.spot_tolerant,
                                    request.allowed_types});
      }
      break;
    }
    on.push_back(static_cast<uint32_t>(at));
    PlaceOn(job_index, static_cast<uint32_t>(at), fleet_->NewAttemptNumber());
    picker.Reinsert(at);
    ++placed;
  }
}

// Where the image is, a replica runs at once: there is room, or is made by stopping
// arrays. The rest goes where the image must be fetched.
void Placer::PlaceService(JobIndex job_index) {
  const Job& job = (*job_store_)[job_index];
  PlaceTasks(job_index, true, SIZE_MAX);
  if (job.waiting_tasks.empty()) return;
  size_t coming = 0;
  Preemptor::RoomRequest room_request;
  room_request.job = job_index;
  if (FetchSeconds(job) > tuning_->long_fetch_s) {
    // When many are lost at once, the next pass is far sooner than any fetch.
    if (preemption_.Exhausted()) {
      fleet_->placement_needed = true;
      return;
    }
    room_request.max_places = job.waiting_tasks.size();
    room_request.cached_image_only = true;
    // To spare it the fetch, no more work is lost than the fetch would hold up.
    room_request.max_loss_per_place =
        tuning_->preempt_for_image * FetchSeconds(job) * job.spec.cores;
    coming = preemption_.MakeRoom(room_request);
  }
  if (coming >= job.waiting_tasks.size()) return;
  PlaceTasks(job_index, false, job.waiting_tasks.size() - coming);
  if (job.waiting_tasks.size() <= coming) return;
  Preemptor::RoomRequest anywhere;
  anywhere.job = job_index;
  anywhere.max_places = job.waiting_tasks.size() - coming;
  preemption_.MakeRoom(anywhere);
}

// Most of what runs ends soon by itself: only after a while is work thrown away.
void Placer::PreemptForArray(JobIndex job_index) {
  const Job& job = (*job_store_)[job_index];
  if (job.waiting_tasks.empty() || !job.guaranteed) return;
  if (clock_->Now() - job.waiting_since < tuning_->preempt_after_s) return;
  Preemptor::RoomRequest room_request;
  room_request.job = job_index;
  room_request.max_places = job.waiting_tasks.size();
  // Room that arrays may not take is not made for them.
  room_request.allow_ordinary_machines =
      free_capacity_->free_ordinary() + kEps >= HeadroomReserve(job);
  preemption_.MakeRoom(room_request);
}

void Placer::PlaceWaitingTasks() {
  const double now = clock_->Now();
  free_capacity_->Refresh();
  on_refreshed();
  ranking_->Refresh();
  failed_requests_.clear();
  gangs_.BeginPass();
  // Missing replicas first, the most important services before others.
  std::vector<JobIndex> services;
  double least = 1e9;
  double waiting = 0;
  for (JobIndex job_index : job_store_->active_jobs()) {
    const Job& job = (*job_store_)[job_index];
    if (job.waiting_tasks.empty() || !job.acknowledged) continue;
    least = std::min(least, job.spec.cores);
    if (job.spec.service) {
      services.push_back(job_index);
    } else {
      waiting += job.spec.cores * static_cast<double>(job.waiting_tasks.size());
    }
  }
  if (least >= 1e9) return;
  open_machines_ = free_capacity_->MachinesWithRoom(least);
  free_capacity_->work_units += open_machines_.size();
  std::stable_sort(services.begin(), services.end(), [this](JobIndex a, JobIndex b) {
    return (*job_store_)[a].spec.priority > (*job_store_)[b].spec.priority;
  });
  preemption_.BeginServices();
  for (JobIndex job_index : services) PlaceService(job_index);
  // Then the best-ranked array with a task that fits.
  contended_ = waiting > free_capacity_->free_ordinary() + free_capacity_->free_spot();
  preemption_.BeginArrays();
  for (JobIndex job_index : ranking_->order()) {
    const Job& job = (*job_store_)[job_index];
    if (job.lifecycle != JobLifecycle::kActive || job.waiting_tasks.empty()) continue;
    if (job.spec.gang) {
      gangs_.Place(job_index, open_machines_);
      continue;
    }
    // Once: with the next task it is again where its rank puts it.
    const bool passed = ranking_->IsStarved(job, now);
    PlaceTasks(job_index, false, passed ? 1 : SIZE_MAX);
    if (passed && !ranking_->IsStarved(job, now)) ranking_->Invalidate();
    PreemptForArray(job_index);
  }
}

}  // namespace deckhall
