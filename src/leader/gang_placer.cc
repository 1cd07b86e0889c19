#include "leader/gang_placer.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <optional>

#include "wire/worker_codec.h"

namespace deckhall {
namespace {

// Limit on the gangs for which one pass reserves machines; other gangs wait for a later pass.
constexpr int kMaxReservations = 8;

}  // namespace

GangPlacer::GangPlacer(JobStore* job_store, Fleet* fleet, FreeCapacity* free_capacity,
                       Preemptor* preemptor, const Clock* clock, const Tuning* tuning)
    : job_store_(job_store),
      fleet_(fleet),
      free_capacity_(free_capacity),
      preemptor_(preemptor),
      clock_(clock),
      tuning_(tuning) {}

void GangPlacer::Place(JobIndex job_index, const std::vector<uint32_t>& candidate_machines) {
  const Job& job = (*job_store_)[job_index];
  if (!job.acknowledged || job.waiting_tasks.empty() || job.tasks_unreconciled > 0) return;
  if (clock_->Now() < job.backoff_until) return;
  if (job.tasks_placed > 0) {
    // No task may join an attempt that may have started already.
    const bool not_started = job.gang_attempt != 0 && !job.gang_started && !job.gang_broken;
    if (not_started) ReplaceLostTasks(job_index, candidate_machines);
    return;
  }
  // Wait while an earlier attempt still uses machines.
  if (job.machines.empty()) Start(job_index, candidate_machines);
}

bool GangPlacer::Plan::IsBetterThan(const Plan& other) const {
  if (other.machines.empty()) return true;
  if (start_delay_s != other.start_delay_s) return start_delay_s < other.start_delay_s;
  return cost < other.cost;
}

std::vector<ZoneMask> GangPlacer::ZoneMasks(const Job& job) const {
  if (!job.spec.single_zone) return {ZoneMask(job_store_->zones.size(), 1)};
  std::vector<ZoneMask> masks;
  for (uint32_t zone = 0; zone < job_store_->zones.size(); ++zone) {
    if (job.required_zone != kNoIndex && job.required_zone != zone) continue;
    masks.emplace_back(job_store_->zones.size(), 0);
    masks.back()[zone] = 1;
  }
  return masks;
}

void GangPlacer::AllocateTentatively(const Job& job, MachineIndex machine_index) {
  MachineCapacity& capacity = free_capacity_->capacities()[machine_index];
  capacity -= TaskResources(job);
  capacity.fetching_images.push_back(job.image);
}

void GangPlacer::UndoTentativeAllocation(const Job& job, MachineIndex machine_index) {
  MachineCapacity& capacity = free_capacity_->capacities()[machine_index];
  capacity += TaskResources(job);
  capacity.fetching_images.pop_back();
}

GangPlacer::Plan GangPlacer::FindPlan(const Job& job, const ZoneMask& zones,
                                      const std::vector<uint32_t>& candidate_machines) {
  Plan plan;
  const size_t task_count = job.waiting_tasks.size();
  ZoneMask allowed = zones;
  const ResourceRequest request = free_capacity_->RequestFor(job, allowed, plan.machines);
  BestFitQueue queue(&request, &free_capacity_->capacities(), candidate_machines);
  free_capacity_->work_units += candidate_machines.size();
  while (plan.machines.size() < task_count) {
    if (job.spec.anti_affinity) {
      // Each placed task changes the set of allowed zones.
      std::optional<ZoneMask> remaining_zones = free_capacity_->AllowedZones(job, plan.machines);
      if (!remaining_zones) break;
      allowed = std::move(*remaining_zones);
    }
    const std::optional<MachineIndex> machine = queue.PopBest(true);
    if (!machine) break;
    plan.start_delay_s = std::max(plan.start_delay_s, queue.cost());
    plan.cost += queue.cost();
    plan.machines.push_back(*machine);
    AllocateTentatively(job, *machine);
    queue.Reinsert(*machine);
  }
  for (MachineIndex machine_index : plan.machines) UndoTentativeAllocation(job, machine_index);
  if (plan.machines.size() < task_count) return {};
  return plan;
}

GangPlacer::Plan GangPlacer::FindBestPlan(const Job& job, const std::vector<ZoneMask>& zone_masks,
                                          const std::vector<uint32_t>& candidate_machines) {
  Plan best;
  for (const ZoneMask& zones : zone_masks) {
    Plan plan = FindPlan(job, zones, candidate_machines);
    if (!plan.machines.empty() && plan.IsBetterThan(best)) best = std::move(plan);
  }
  return best;
}

void GangPlacer::PlaceOn(JobIndex job_index, MachineIndex machine_index) {
  Job& job = (*job_store_)[job_index];
  fleet_->PlaceTask(machine_index, job_index, job.waiting_tasks.back(), job.gang_attempt);
  free_capacity_->Allocate(job, machine_index);
  (*fleet_)[machine_index].idle_since = -1;
}

void GangPlacer::Start(JobIndex job_index, const std::vector<uint32_t>& candidate_machines) {
  Job& job = (*job_store_)[job_index];
  if (job.waiting_tasks.size() < job.tasks.size() ||
      !free_capacity_->HasTeamQuota(job, job.tasks.size())) {
    return;
  }
  const std::vector<ZoneMask> zone_masks = ZoneMasks(job);
  const Plan plan = FindBestPlan(job, zone_masks, candidate_machines);
  if (plan.machines.empty()) {
    if (clock_->Now() - job.waiting_since >= tuning_->gang_reserve_s) {
      ReserveMachines(job_index, zone_masks);
    }
    return;
  }
  if (plan.start_delay_s > tuning_->gang_long_fetch_s &&
      PreemptAtCachedImage(job_index, plan, zone_masks)) {
    return;
  }
  job.gang_attempt = fleet_->NewAttemptNumber();
  job.gang_waiting_since = clock_->Now();
  job.gang_started = job.gang_broken = false;
  for (MachineIndex machine_index : plan.machines) PlaceOn(job_index, machine_index);
}

bool GangPlacer::PreemptAtCachedImage(JobIndex job_index, const Plan& plan,
                                      const std::vector<ZoneMask>& zone_masks) {
  const Job& job = (*job_store_)[job_index];
  // After half of the long-fetch limit, preemption might not finish before the fetch would.
  if (clock_->Now() - job.waiting_since > tuning_->gang_long_fetch_s / 2) return false;
  // The start may be delayed by the cost of machines on which the job failed, not by a fetch.
  if (!job.failed_machines.empty()) return false;
  Preemptor::PreemptionRequest preemption;
  preemption.job = job_index;
  preemption.cached_image_only = true;
  preemption.max_lost_core_seconds =
      tuning_->preempt_for_image * plan.start_delay_s * job.spec.cores;
  const std::vector<MachineIndex> machines = preemptor_->PreemptForGang(preemption, zone_masks);
  for (MachineIndex machine_index : machines) {
    free_capacity_->capacities()[machine_index].usable = false;
  }
  return !machines.empty();
}

bool GangPlacer::ListsAttempt(JobIndex job_index, uint32_t task_index, uint64_t attempt_number,
                              MachineIndex machine_index) const {
  const std::vector<TaskAttempt>& attempts = (*fleet_)[machine_index].attempts;
  return std::any_of(attempts.begin(), attempts.end(),
                     [job_index, task_index, attempt_number](const TaskAttempt& attempt) {
                       return attempt.job == job_index && attempt.task_index == task_index &&
                              attempt.number == attempt_number;
                     });
}

void GangPlacer::ReplaceLostTasks(JobIndex job_index,
                                  const std::vector<uint32_t>& candidate_machines) {
  Job& job = (*job_store_)[job_index];
  if (!free_capacity_->HasTeamQuota(job, job.waiting_tasks.size())) return;
  std::vector<uint32_t> sibling_machines = job.machines;
  std::optional<ZoneMask> zones = free_capacity_->AllowedZones(job, sibling_machines);
  if (!zones) return;
  const ResourceRequest request = free_capacity_->RequestFor(job, *zones, sibling_machines);
  BestFitQueue queue(&request, &free_capacity_->capacities(), candidate_machines);
  free_capacity_->work_units += candidate_machines.size();
  while (!job.waiting_tasks.empty()) {
    const std::optional<MachineIndex> machine = queue.PopBest(true);
    if (!machine) return;
    const uint32_t task_index = job.waiting_tasks.back();
    if (ListsAttempt(job_index, task_index, job.gang_attempt, *machine)) continue;
    spdlog::info("job={} task={} machine={}: lost gang task replaced", job.id, task_index,
                 (*fleet_)[*machine].name);
    sibling_machines.push_back(*machine);
    // The machine may have run, and acknowledged, an attempt with the same number.
    fleet_->RaiseFencingToken(*machine, "attempt number used again");
    PlaceOn(job_index, *machine);
    queue.Reinsert(*machine);
    if (!job.spec.anti_affinity) continue;
    std::optional<ZoneMask> remaining_zones = free_capacity_->AllowedZones(job, sibling_machines);
    if (!remaining_zones) return;
    *zones = std::move(*remaining_zones);  // the request points to it
  }
}

std::vector<MachineIndex> GangPlacer::ChooseMachinesToReserve(const Job& job,
                                                              const ZoneMask& zones) const {
  const ResourceRequest request = free_capacity_->RequestFor(job, zones, {});
  const std::vector<MachineCapacity>& capacities = free_capacity_->capacities();
  std::vector<MachineIndex> machines;
  for (MachineIndex machine_index : fleet_->active()) {
    const MachineCapacity& capacity = capacities[machine_index];
    if (capacity.usable &&
        SatisfiesConstraints(request, capacity.type, capacity.zone, capacity.spot)) {
      machines.push_back(machine_index);
    }
  }
  std::stable_sort(machines.begin(), machines.end(), [&capacities](MachineIndex a, MachineIndex b) {
    return capacities[a].cores > capacities[b].cores;
  });
  const auto needed = static_cast<double>(job.waiting_tasks.size());
  // As on an empty machine; the tasks of arrays that are listed now will be gone.
  const double slots_by_heartbeat =
      std::floor(static_cast<double>(kHeartbeatTaskBytes) / request.heartbeat_bytes);
  double free_slots = 0;
  size_t machine_count = 0;
  while (machine_count < machines.size() && free_slots < needed) {
    // Tasks of arrays complete soon; services and gangs keep running.
    const MachineIndex machine_index = machines[machine_count];
    const double cores =
        capacities[machine_index].cores + (*fleet_)[machine_index].preemptible_cores;
    const double slots_by_cores = std::floor(
        std::max(0.0, cores) / std::max(job.spec.cores, kResourceEpsilon) + kResourceEpsilon);
    free_slots += std::min(slots_by_cores, slots_by_heartbeat);
    ++machine_count;
  }
  if (free_slots < needed) return {};
  machines.resize(machine_count);
  return machines;
}

// Without a reservation, small tasks would take all freed capacity and the gang would never start.
void GangPlacer::ReserveMachines(JobIndex job_index, const std::vector<ZoneMask>& zone_masks) {
  if (++reservations_ > kMaxReservations) return;
  const Job& job = (*job_store_)[job_index];
  std::vector<MachineIndex> machines;
  if (clock_->Now() - job.waiting_since >= tuning_->preempt_after_s) {
    Preemptor::PreemptionRequest preemption;
    preemption.job = job_index;
    machines = preemptor_->PreemptForGang(preemption, zone_masks);
  }
  for (const ZoneMask& zones : zone_masks) {
    if (!machines.empty()) break;
    machines = ChooseMachinesToReserve(job, zones);
  }
  for (MachineIndex machine_index : machines) {
    free_capacity_->capacities()[machine_index].usable = false;
  }
}

}  // namespace deckhall
