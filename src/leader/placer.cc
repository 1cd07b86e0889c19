#include "leader/placer.h"

#include <algorithm>
#include <optional>

namespace deckhall {
namespace {

// After this many consecutive failures, a job is retried with one task at a time.
constexpr uint32_t kFailingJobFailures = 3;
// An array may use the headroom after it has waited for this share of Tuning::starvation_s.
constexpr double kHeadroomStarvationShare = 0.5;
constexpr size_t kAllTasks = SIZE_MAX;

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
      preemptor_(job_store, fleet, free_capacity, ledger, clock),
      gang_placer_(job_store, fleet, free_capacity, &preemptor_, clock, tuning) {}

double Placer::LocalityDelaySeconds(const Job& job) const {
  return tuning_->delay_fetches * FetchSeconds(job);
}

double Placer::FetchSeconds(const Job& job) const {
  double min_rate = 0;
  for (const MachineType& type : provisioner_->types()) {
    min_rate = min_rate == 0 ? type.fetch_gb_per_s : std::min(min_rate, type.fetch_gb_per_s);
  }
  return min_rate > 0 ? job.spec.image_gb / min_rate : 0;
}

// If no machine can be added, a permanent reserve would starve arrays. An array that uses the
// headroom is preempted when a replica needs it.
double Placer::HeadroomReserve(const Job& job) const {
  const double waited = clock_->Now() - job.starved_since;
  const bool may_use_headroom = waited > tuning_->starvation_s * kHeadroomStarvationShare;
  if (job.spec.service || may_use_headroom) return 0;
  return free_capacity_->headroom() * tuning_->headroom_reserved_share;
}

void Placer::PlaceOn(JobIndex job_index, MachineIndex machine_index, uint64_t attempt_number) {
  Job& job = (*job_store_)[job_index];
  const bool by_aging = !job.spec.service && ranking_->IsStarved(job, clock_->Now());
  fleet_->PlaceTask(machine_index, job_index, job.waiting_tasks.back(), attempt_number, by_aging);
  free_capacity_->Allocate(job, machine_index);
  (*fleet_)[machine_index].idle_since = -1;
}

bool Placer::FailedRequest::Covers(const ResourceRequest& request) const {
  const bool as_large = request.cores + kResourceEpsilon >= resources.cores &&
                        request.memory_gb + kResourceEpsilon >= resources.memory_gb &&
                        request.gpus + kResourceEpsilon >= resources.gpus &&
                        request.heartbeat_bytes >= resources.heartbeat_bytes;
  const bool same_zones = required_zone == UINT32_MAX || required_zone == request.required_zone;
  const bool same_kinds = spot_tolerant || !request.spot_tolerant;
  const bool same_types = allowed_types == nullptr || (request.allowed_types != nullptr &&
                                                       *request.allowed_types == *allowed_types);
  return as_large && same_zones && same_kinds && same_types;
}

bool Placer::FailedInThisPass(const ResourceRequest& request) const {
  return std::any_of(failed_requests_.begin(), failed_requests_.end(),
                     [&request](const FailedRequest& failed) { return failed.Covers(request); });
}

// Running replicas don't count as unproven: replicas never complete, so the missing ones would
// wait forever.
size_t Placer::LimitFailingJob(const Job& job, size_t max_tasks) const {
  if (job.consecutive_failures < kFailingJobFailures) return max_tasks;
  const uint32_t unproven_tasks =
      job.spec.service ? job.tasks_placed - job.tasks_running : job.tasks_placed;
  return std::min<size_t>(max_tasks, unproven_tasks > 0 ? 0 : 1);
}

bool Placer::MayUseOrdinaryMachines(const Job& job, double reserve) const {
  if (job.spec.service) return true;
  return free_capacity_->free_ordinary() - reserve + kResourceEpsilon >= job.spec.cores;
}

void Placer::PlaceTasks(JobIndex job_index, bool cached_only, size_t max_tasks) {
  Job& job = (*job_store_)[job_index];
  const double now = clock_->Now();
  if (!job.acknowledged || job.waiting_tasks.empty() || now < job.backoff_until) return;
  if (!free_capacity_->HasTeamQuota(job)) return;
  std::vector<uint32_t> sibling_machines;
  if (job.spec.service || job.spec.single_zone || job.spec.anti_affinity) {
    sibling_machines = job.machines;
  }
  std::optional<ZoneMask> zones = free_capacity_->AllowedZones(job, sibling_machines);
  if (!zones) return;
  ResourceRequest request = free_capacity_->RequestFor(job, *zones, sibling_machines);
  request.sibling_machines = &sibling_machines;
  request.cached_or_fetching_only = contended_ && !job.spec.service && !job.guaranteed &&
                                    now - job.waiting_since < LocalityDelaySeconds(job);
  request.cached_only = cached_only;
  if (FailedInThisPass(request)) return;
  max_tasks = LimitFailingJob(job, max_tasks);
  // Computed before the first task is placed, since placing it resets the starvation time by which
  // the reserve is waived.
  const double reserve = HeadroomReserve(job);
  const bool fits_on_spot =
      job.spec.spot_tolerant && free_capacity_->free_spot() + kResourceEpsilon >= job.spec.cores;
  if (!MayUseOrdinaryMachines(job, reserve) && !fits_on_spot) return;
  BestFitQueue queue(&request, &free_capacity_->capacities(), candidate_machines_);
  free_capacity_->work_units += candidate_machines_.size();
  size_t placed = 0;
  while (!job.waiting_tasks.empty() && placed < max_tasks && free_capacity_->HasTeamQuota(job)) {
    if (placed > 0) {
      std::optional<ZoneMask> remaining_zones = free_capacity_->AllowedZones(job, sibling_machines);
      if (!remaining_zones) break;
      *zones = std::move(*remaining_zones);  // the request points to it
    }
    const std::optional<MachineIndex> machine = queue.PopBest(MayUseOrdinaryMachines(job, reserve));
    if (!machine) {
      if (placed == 0 && job.spec.service && !cached_only && request.allowed_zones == nullptr) {
        failed_requests_.push_back(
            {request, request.required_zone, request.spot_tolerant, request.allowed_types});
      }
      break;
    }
    sibling_machines.push_back(*machine);
    PlaceOn(job_index, *machine, fleet_->NewAttemptNumber());
    queue.Reinsert(*machine);
    ++placed;
  }
}

// Machines with a cached image are tried first, since a replica starts there at once: with free
// capacity or, if a fetch takes long, with capacity freed by preemption. The other replicas are
// placed on machines that must fetch the image.
void Placer::PlaceService(JobIndex job_index) {
  const Job& job = (*job_store_)[job_index];
  PlaceTasks(job_index, true, kAllTasks);
  if (job.waiting_tasks.empty()) return;
  size_t tasks_covered = 0;
  if (FetchSeconds(job) > tuning_->long_fetch_s) {
    // Waiting for the next pass takes much less time than a fetch.
    if (preemptor_.Exhausted()) {
      fleet_->placement_needed = true;
      return;
    }
    Preemptor::PreemptionRequest at_cached_image;
    at_cached_image.job = job_index;
    at_cached_image.max_task_count = job.waiting_tasks.size();
    at_cached_image.cached_image_only = true;
    at_cached_image.max_lost_core_seconds =
        tuning_->preempt_for_image * FetchSeconds(job) * job.spec.cores;
    tasks_covered = preemptor_.PreemptForTasks(at_cached_image);
  }
  if (tasks_covered >= job.waiting_tasks.size()) return;
  PlaceTasks(job_index, false, job.waiting_tasks.size() - tasks_covered);
  if (job.waiting_tasks.size() <= tasks_covered) return;
  Preemptor::PreemptionRequest on_any_machine;
  on_any_machine.job = job_index;
  on_any_machine.max_task_count = job.waiting_tasks.size() - tasks_covered;
  preemptor_.PreemptForTasks(on_any_machine);
}

void Placer::PreemptForArray(JobIndex job_index) {
  const Job& job = (*job_store_)[job_index];
  if (job.waiting_tasks.empty() || !job.guaranteed) return;
  // Most tasks complete soon without preemption.
  if (clock_->Now() - job.waiting_since < tuning_->preempt_after_s) return;
  Preemptor::PreemptionRequest preemption;
  preemption.job = job_index;
  preemption.max_task_count = job.waiting_tasks.size();
  preemption.allow_ordinary_machines =
      free_capacity_->free_ordinary() + kResourceEpsilon >= HeadroomReserve(job);
  preemptor_.PreemptForTasks(preemption);
}

Placer::Backlog Placer::CollectBacklog() const {
  Backlog backlog;
  for (JobIndex job_index : job_store_->active_jobs()) {
    const Job& job = (*job_store_)[job_index];
    if (job.waiting_tasks.empty() || !job.acknowledged) continue;
    backlog.min_task_cores =
        backlog.empty ? job.spec.cores : std::min(backlog.min_task_cores, job.spec.cores);
    backlog.empty = false;
    if (job.spec.service) {
      backlog.services.push_back(job_index);
    } else {
      backlog.array_cores += job.spec.cores * static_cast<double>(job.waiting_tasks.size());
    }
  }
  return backlog;
}

void Placer::PlaceServices(std::vector<JobIndex> services) {
  std::stable_sort(services.begin(), services.end(), [this](JobIndex a, JobIndex b) {
    return (*job_store_)[a].spec.priority > (*job_store_)[b].spec.priority;
  });
  preemptor_.BeginServices();
  for (JobIndex job_index : services) PlaceService(job_index);
}

void Placer::PlaceArrays(double now) {
  preemptor_.BeginArrays();
  for (JobIndex job_index : ranking_->order()) {
    const Job& job = (*job_store_)[job_index];
    if (job.lifecycle != JobLifecycle::kActive || job.waiting_tasks.empty()) continue;
    if (job.spec.gang) {
      gang_placer_.Place(job_index, candidate_machines_);
      continue;
    }
    // A starved job is ranked first for one task; its next task waits for its regular rank.
    const bool starved = ranking_->IsStarved(job, now);
    PlaceTasks(job_index, false, starved ? 1 : kAllTasks);
    if (starved && !ranking_->IsStarved(job, now)) ranking_->Invalidate();
    PreemptForArray(job_index);
  }
}

void Placer::PlaceWaitingTasks() {
  const double now = clock_->Now();
  free_capacity_->Refresh();
  on_refreshed();
  ranking_->Refresh();
  failed_requests_.clear();
  gang_placer_.BeginPass();
  Backlog backlog = CollectBacklog();
  if (backlog.empty) return;
  candidate_machines_ = free_capacity_->MachinesWithFreeCores(backlog.min_task_cores);
  free_capacity_->work_units += candidate_machines_.size();
  PlaceServices(std::move(backlog.services));
  contended_ = backlog.array_cores > free_capacity_->free_ordinary() + free_capacity_->free_spot();
  PlaceArrays(now);
}

}  // namespace deckhall
