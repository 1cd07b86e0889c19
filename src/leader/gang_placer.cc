#include "leader/gang_placer.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace deckhall {
namespace {

constexpr double kEps = 1e-6;
// Gangs for which one pass keeps room; the others wait for their turn.
constexpr int kMostReservations = 8;

}  // namespace

GangPlacer::GangPlacer(JobStore* job_store, Fleet* fleet, FreeCapacity* free_capacity,
                       Preemptor* preemption, const Clock* clock, const Tuning* tuning)
    : job_store_(job_store),
      fleet_(fleet),
      free_capacity_(free_capacity),
      preemption_(preemption),
      clock_(clock),
      tuning_(tuning) {}

void GangPlacer::Place(JobIndex job_index, const std::vector<uint32_t>& open) {
  const Job& job = (*job_store_)[job_index];
  if (!job.acknowledged || job.waiting_tasks.empty() || job.tasks_unreconciled > 0) return;
  if (clock_->Now() < job.backoff_until) return;
  if (job.tasks_placed > 0) {
    // An attempt that may have started is never completed, it ends.
    const bool gathers = job.gang_attempt != 0 && !job.gang_started && !job.gang_broken;
    if (gathers) Complete(job_index, open);
    return;
  }
  // The attempt before is over when its last task is: until then those count on their
  // machines and in their zones.
  if (job.machines.empty()) Start(job_index, open);
}

std::vector<std::vector<char>> GangPlacer::ZoneSets(const Job& job) const {
  if (!job.spec.single_zone) return {std::vector<char>(job_store_->zones.size(), 1)};
  std::vector<std::vector<char>> sets;
  for (uint32_t zone = 0; zone < job_store_->zones.size(); ++zone) {
    if (job.required_zone != kNoIndex && job.required_zone != zone) continue;
    sets.emplace_back(job_store_->zones.size(), 0);
    sets.back()[zone] = 1;
  }
  return sets;
}

void GangPlacer::TakeOnTrial(const Job& job, uint32_t node) {
  MachineCapacity& capacity = free_capacity_->capacities()[node];
  capacity.cores -= job.spec.cores;
  capacity.gpus -= job.spec.gpus;
  capacity.memory_gb -= job.spec.memory_gb;
  capacity.fetching_images.push_back(job.image);
}

void GangPlacer::GiveBack(const Job& job, uint32_t node) {
  MachineCapacity& capacity = free_capacity_->capacities()[node];
  capacity.cores += job.spec.cores;
  capacity.gpus += job.spec.gpus;
  capacity.memory_gb += job.spec.memory_gb;
  capacity.fetching_images.pop_back();
}

bool GangPlacer::Find(const Job& job, const std::vector<char>& zones,
                      const std::vector<uint32_t>& open, Plan* plan) {
  const size_t count = job.waiting_tasks.size();
  std::vector<char> allowed = zones;
  const ResourceRequest request = free_capacity_->RequestFor(job, allowed, plan->nodes);
  BestFitQueue picker(&request, &free_capacity_->capacities(), open);
  free_capacity_->work_units += open.size();
  while (plan->nodes.size() < count) {
    // How the zones may be used changes with each task if they must be apart.
    if (job.spec.anti_affinity && !free_capacity_->AllowedZones(job, plan->nodes, &allowed)) break;
    const int at = picker.PopBest(true);
    if (at < 0) break;
    const auto node = static_cast<uint32_t>(at);
    plan->last_start = std::max(plan->last_start, picker.cost());
    plan->cost += picker.cost();
    plan->nodes.push_back(node);
    TakeOnTrial(job, node);
    picker.Reinsert(at);
  }
  for (uint32_t node : plan->nodes) GiveBack(job, node);
  return plan->nodes.size() == count;
}

void GangPlacer::Put(JobIndex job_index, uint32_t node) {
  Job& job = (*job_store_)[job_index];
  fleet_->PlaceTask(node, job_index, job.waiting_tasks.back(), job.gang_attempt);
  free_capacity_->Allocate(job, node);
  (*fleet_)[node].idle_since = -1;
}

void GangPlacer::Start(JobIndex job_index, const std::vector<uint32_t>& open) {
  Job& job = (*job_store_)[job_index];
  if (job.waiting_tasks.size() < job.tasks.size() ||
      !free_capacity_->HasTeamQuota(job, job.tasks.size()))
    return;
  const std::vector<std::vector<char>> zone_sets = ZoneSets(job);
  Plan best;
  for (const std::vector<char>& zones : zone_sets) {
    Plan plan;
    if (!Find(job, zones, open, &plan)) continue;
    // It starts with the last of its tasks.
    const bool better = best.nodes.empty() || plan.last_start < best.last_start ||
                        (plan.last_start == best.last_start && plan.cost < best.cost);
    if (better) best = std::move(plan);
  }
  if (best.nodes.empty()) {
    if (clock_->Now() - job.waiting_since >= tuning_->gang_reserve_s) Reserve(job_index, zone_sets);
    return;
  }
  if (best.last_start > tuning_->gang_long_fetch_s && MakeRoomAtImage(job_index, best, zone_sets))
    return;
  // Its tasks find each other by their attempt: one number for all of them.
  job.gang_attempt = fleet_->NewAttemptNumber();
  job.gang_waiting_since = clock_->Now();
  job.gang_started = job.gang_broken = false;
  for (uint32_t node : best.nodes) Put(job_index, node);
}

// As for replicas: no more work is lost than the fetch would hold up.
bool GangPlacer::MakeRoomAtImage(JobIndex job_index, const Plan& otherwise,
                                 const std::vector<std::vector<char>>& zone_sets) {
  const Job& job = (*job_store_)[job_index];
  // What is stopped is gone sooner than the image would be there.
  if (clock_->Now() - job.waiting_since > tuning_->gang_long_fetch_s / 2) return false;
  // Machines on which it failed count as if they started it late; that is no fetch.
  if (!job.failed_machines.empty()) return false;
  Preemptor::RoomRequest room_request;
  room_request.job = job_index;
  room_request.cached_image_only = true;
  room_request.max_loss_per_place =
      tuning_->preempt_for_image * otherwise.last_start * job.spec.cores;
  const std::vector<MachineIndex> machines = preemption_->MakeGangRoom(room_request, zone_sets);
  for (MachineIndex machine_index : machines)
    free_capacity_->capacities()[machine_index].usable = false;
  return !machines.empty();
}

bool GangPlacer::WasThere(JobIndex job_index, uint32_t task_index, uint64_t attempt_number,
                          MachineIndex machine_index) const {
  const std::vector<TaskAttempt>& attempts = (*fleet_)[machine_index].attempts;
  return std::any_of(attempts.begin(), attempts.end(),
                     [job_index, task_index, attempt_number](const TaskAttempt& attempt) {
                       return attempt.job == job_index && attempt.task_index == task_index &&
                              attempt.number == attempt_number;
                     });
}

void GangPlacer::Complete(JobIndex job_index, const std::vector<uint32_t>& open) {
  Job& job = (*job_store_)[job_index];
  if (!free_capacity_->HasTeamQuota(job, job.waiting_tasks.size())) return;
  std::vector<char> zones;
  std::vector<uint32_t> on = job.machines;
  if (!free_capacity_->AllowedZones(job, on, &zones)) return;
  const ResourceRequest request = free_capacity_->RequestFor(job, zones, on);
  BestFitQueue picker(&request, &free_capacity_->capacities(), open);
  free_capacity_->work_units += open.size();
  while (!job.waiting_tasks.empty()) {
    const int at = picker.PopBest(true);
    if (at < 0) return;
    const auto node = static_cast<uint32_t>(at);
    if (WasThere(job_index, job.waiting_tasks.back(), job.gang_attempt, node)) continue;
    spdlog::info("{}/{} is replaced on {} while its gang gathers", job.id, job.waiting_tasks.back(),
                 (*fleet_)[node].name);
    on.push_back(node);
    Put(job_index, node);
    picker.Reinsert(at);
    if (job.spec.anti_affinity && !free_capacity_->AllowedZones(job, on, &zones)) return;
  }
}

std::vector<MachineIndex> GangPlacer::Likely(const Job& job, const std::vector<char>& zones) const {
  const ResourceRequest request = free_capacity_->RequestFor(job, zones, {});
  const std::vector<MachineCapacity>& nodes = free_capacity_->capacities();
  std::vector<MachineIndex> order;
  for (MachineIndex machine_index : fleet_->active()) {
    const MachineCapacity& capacity = nodes[machine_index];
    if (capacity.usable &&
        SatisfiesConstraints(request, capacity.type, capacity.zone, capacity.spot))
      order.push_back(machine_index);
  }
  std::stable_sort(order.begin(), order.end(), [&nodes](MachineIndex a, MachineIndex b) {
    return nodes[a].cores > nodes[b].cores;
  });
  double places = 0;
  size_t used = 0;
  while (used < order.size() && places < static_cast<double>(job.waiting_tasks.size())) {
    // Arrays' tasks end soon; what services and gangs use stays.
    const double cores = nodes[order[used]].cores + (*fleet_)[order[used]].preemptible_cores;
    places += std::floor(std::max(0.0, cores) / std::max(job.spec.cores, kEps) + kEps);
    ++used;
  }
  if (places < static_cast<double>(job.waiting_tasks.size())) return {};
  order.resize(used);
  return order;
}

// Otherwise freed pieces would go to small tasks for ever. Where that makes the whole of it
// fit, tasks of others are stopped for a gang that may claim their room.
void GangPlacer::Reserve(JobIndex job_index, const std::vector<std::vector<char>>& zone_sets) {
  if (++reservations_ > kMostReservations) return;
  const Job& job = (*job_store_)[job_index];
  std::vector<MachineIndex> machines;
  if (clock_->Now() - job.waiting_since >= tuning_->preempt_after_s) {
    Preemptor::RoomRequest room_request;
    room_request.job = job_index;
    machines = preemption_->MakeGangRoom(room_request, zone_sets);
  }
  for (const std::vector<char>& zones : zone_sets) {
    if (!machines.empty()) break;
    machines = Likely(job, zones);
  }
  for (MachineIndex machine_index : machines)
    free_capacity_->capacities()[machine_index].usable = false;
}

}  // namespace deckhall
