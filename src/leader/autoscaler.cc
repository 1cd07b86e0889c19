#include "leader/autoscaler.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace deckhall {
namespace {

constexpr double kEps = 1e-6;
// Of so many machines one may be emptied at a time.
constexpr size_t kMachinesPerConsolidation = 64;
// Waiting work below this part of the capacity is the ordinary coming and going.
constexpr double kNegligibleBacklogShare = 0.01;

bool SameRequest(const ResourceRequest& a, const ResourceRequest& b) {
  auto types = [](const ResourceRequest& request) {
    return request.allowed_types == nullptr ? std::vector<char>() : *request.allowed_types;
  };
  return a.cores == b.cores && a.memory_gb == b.memory_gb && a.gpus == b.gpus &&
         a.required_zone == b.required_zone && a.spot_tolerant == b.spot_tolerant &&
         types(a) == types(b);
}

// Jobs by the hundred have few different needs: the plan's work grows with those.
void AddDemand(std::vector<ResourceDemand>* demands, size_t from, const ResourceRequest& request,
               uint32_t count) {
  for (size_t i = from; i < demands->size(); ++i) {
    if ((*demands)[i].single_zone || !SameRequest((*demands)[i].request, request)) continue;
    (*demands)[i].count += count;
    return;
  }
  ResourceDemand w;
  w.request = request;
  w.count = count;
  demands->push_back(w);
}

}  // namespace

Autoscaler::Autoscaler(JobStore* job_store, Fleet* fleet, FreeCapacity* free_capacity,
                       const Ranking* ranking, Provisioner* provisioner,
                       const DisruptionLedger* ledger, const EvictionController* drainer,
                       const Clock* clock, const Settings* settings, const Tuning* tuning)
    : job_store_(job_store),
      fleet_(fleet),
      free_capacity_(free_capacity),
      ranking_(ranking),
      provisioner_(provisioner),
      ledger_(ledger),
      drainer_(drainer),
      clock_(clock),
      settings_(settings),
      tuning_(tuning) {}

void Autoscaler::Plan() {
  if (!provisioner_->types_known()) return;
  free_capacity_->Refresh();
  ScaleOut();
  ScaleInIdle();
  Consolidate();
}

// What can be rented, and the room that is there or on its way.
std::vector<InstanceOffering> Autoscaler::CollectOfferings(std::vector<MachineCapacity>* bins,
                                                           int* machines) const {
  const double now = clock_->Now();
  const double wall = clock_->Wall();
  std::vector<InstanceOffering> offerings;
  for (size_t p = 0; p < provisioner_->pools().size(); ++p) {
    const MachinePool& pool = provisioner_->pools()[p];
    const MachineType* type = provisioner_->TypeOf(pool.type);
    InstanceOffering offering;
    offering.type = pool.type;
    offering.zone = pool.zone;
    offering.spot = pool.spot;
    if (type != nullptr) {
      offering.cores = type->cores;
      offering.gpus = type->gpus;
      offering.memory_gb = type->memory_gb;
      offering.price = pool.spot ? type->spot_price : type->price;
      offering.boot_s = type->boot_s;
    }
    // What is rented behind a cut can't be used before the cut ends.
    offering.unavailable =
        type == nullptr || now < pool.backoff_until || free_capacity_->IsPartitioned(pool.zone) ||
        drainer_->PreventsScaleOut(job_store_->types[pool.type], job_store_->zones[pool.zone]);
    const int pending = provisioner_->PendingMachines(static_cast<uint32_t>(p));
    offering.existing_machines = pending;
    // Machines asked for count as if they were booting.
    for (int i = 0; i < pending; ++i) {
      bins->push_back(EmptyMachine(offering));
      ++*machines;
    }
    offerings.push_back(offering);
  }
  for (MachineIndex machine_index : fleet_->active()) {
    const Machine& machine = (*fleet_)[machine_index];
    if (machine.scaling_in) continue;
    // A machine nobody named may be a late copy's ghost: it counts when it hears.
    if (!machine.registered && !machine.may_run_former_attempts &&
        !(machine.reconciled && Fleet::HasAcknowledgedToken(machine)))
      continue;
    ++*machines;
    for (InstanceOffering& offering : offerings) {
      if (offering.type == machine.type && offering.zone == machine.zone &&
          offering.spot == machine.spot)
        ++offering.existing_machines;
    }
    const MachineCapacity& room = free_capacity_->capacities()[machine_index];
    if (room.cores <= kEps || machine.cordoned) continue;
    bool usable = room.usable;
    if (machine.zone != kNoIndex && free_capacity_->IsPartitioned(machine.zone)) continue;
    if (!machine.up) {
      const MachineType* type = provisioner_->TypeOf(machine.type);
      usable = type != nullptr &&
               wall - machine.provisioned_at_wall < type->boot_s * tuning_->late_boot + 5;
    } else if (!usable) {
      usable = !machine.unschedulable && machine.preemption_at < 0 &&
               now >= machine.quarantined_until && machine.unreachable_count < 2 &&
               free_capacity_->IsHeardRecently(machine);
    }
    if (!usable) continue;
    MachineCapacity capacity;
    capacity.machine = machine_index;
    capacity.type = room.type;
    capacity.zone = room.zone;
    capacity.spot = room.spot;
    capacity.usable = true;
    capacity.cores = room.cores;
    capacity.gpus = room.gpus;
    capacity.memory_gb = room.memory_gb;
    bins->push_back(capacity);
  }
  return offerings;
}

std::vector<ResourceDemand> Autoscaler::CollectDemands(double* waiting) {
  const double now = clock_->Now();
  std::vector<ResourceDemand> demands;
  static const std::vector<char> kAnyZone;
  static const std::vector<uint32_t> kNowhere;
  auto need_of = [this](const Job& job) {
    ResourceRequest request = free_capacity_->RequestFor(job, kAnyZone, kNowhere);
    request.failed_machines = nullptr;
    return request;
  };
  // What each team may still use.
  std::vector<double> room(job_store_->teams.size());
  for (uint32_t t = 0; t < room.size(); ++t) room[t] = free_capacity_->TeamQuotaLeft(t);
  auto within_limit = [&room](const Job& job, uint32_t count) {
    double& r = room[job.team];
    if (job.spec.cores > 0) {
      count = std::min<uint32_t>(
          count, static_cast<uint32_t>(std::max(0.0, std::floor(r / job.spec.cores + kEps))));
    }
    r -= count * job.spec.cores;
    return count;
  };
  for (JobIndex job_index : job_store_->active_jobs()) {
    const Job& job = (*job_store_)[job_index];
    if (!job.spec.service || job.waiting_tasks.empty()) continue;
    const uint32_t n = within_limit(job, static_cast<uint32_t>(job.waiting_tasks.size()));
    if (n > 0) AddDemand(&demands, 0, need_of(job), n);
  }
  // Replicas that drains move next need room before they are stopped.
  for (JobIndex job_index : drainer_->jobs_needing_room())
    AddDemand(&demands, 0, need_of((*job_store_)[job_index]), 1);
  double lent = 0;  // kept room that arrays may use meanwhile
  const double headroom = free_capacity_->headroom();
  if (free_capacity_->largest_replica_cores() > 0) {
    ResourceRequest request;
    request.cores = free_capacity_->largest_replica_cores();
    request.memory_gb = free_capacity_->largest_replica_memory_gb();
    // Arrays on ordinary machines give way: their room counts as kept.
    const double open = std::max(0.0, headroom - free_capacity_->preemptible_reserve());
    lent = std::max(0.0, open - headroom * tuning_->headroom_reserved_share);
    const auto count =
        static_cast<uint32_t>(std::ceil(open / free_capacity_->largest_replica_cores()));
    if (count > 0) AddDemand(&demands, demands.size(), request, count);
  }
  // Arrays: enough to work off what waits in the time the operator set.
  auto waits = [now](const Job& job) {
    return job.lifecycle == JobLifecycle::kActive && !job.waiting_tasks.empty() &&
           now >= job.backoff_until && job.consecutive_failures < 3;
  };
  double backlog = 0;
  for (JobIndex job_index : ranking_->order()) {
    const Job& job = (*job_store_)[job_index];
    if (!waits(job) || job.spec.gang) continue;
    const double cores = job.spec.cores * static_cast<double>(job.waiting_tasks.size());
    *waiting += cores;
    backlog += cores * ranking_->ExpectedTaskSeconds(job);
  }
  size_t from = demands.size();
  for (JobIndex job_index : ranking_->order()) {
    // A gang needs room for all its tasks at once.
    const Job& job = (*job_store_)[job_index];
    if (!job.spec.gang || !waits(job) || job.waiting_tasks.size() < job.tasks.size()) continue;
    const auto n = static_cast<uint32_t>(job.waiting_tasks.size());
    if (within_limit(job, n) != n) continue;
    if (job.spec.single_zone) {
      // Each such gang may be in another zone, but must be in one.
      demands.push_back({need_of(job), n, true});
    } else {
      AddDemand(&demands, from, need_of(job), n);
    }
  }
  from = demands.size();
  double left = std::min(*waiting, backlog / tuning_->backlog_drain_s) - lent;
  for (JobIndex job_index : ranking_->order()) {
    const Job& job = (*job_store_)[job_index];
    if (left <= 0) break;
    if (!waits(job) || job.spec.gang) continue;
    const double per = std::max(job.spec.cores, 0.1);
    auto n = static_cast<uint32_t>(
        std::min<double>(static_cast<double>(job.waiting_tasks.size()), std::ceil(left / per)));
    n = within_limit(job, n);
    if (n == 0) continue;
    left -= n * per;
    AddDemand(&demands, from, need_of(job), n);
  }
  return demands;
}

void Autoscaler::ScaleOut() {
  std::vector<MachineCapacity> bins;
  int machines = 0;
  const std::vector<InstanceOffering> offerings = CollectOfferings(&bins, &machines);
  double waiting = 0;
  const std::vector<ResourceDemand> demands = CollectDemands(&waiting);
  const int most = std::max(0, MaxMachines(*settings_) - machines);
  for (const ScaleOutDecision& r : PlanScaleOut(offerings, std::move(bins), demands, most)) {
    char why[160];
    std::snprintf(why, sizeof why, "%.0f cores of arrays wait, %.0f kept for replicas", waiting,
                  free_capacity_->headroom());
    provisioner_->ScaleOut(r.offering, r.count, why);
  }
}

// As services end, the rest of them is spread thinly over ordinary machines. The
// emptiest ones are emptied, a replica at a time, each to where its image is.
void Autoscaler::Consolidate() {
  const double now = clock_->Now();
  bool waits = fleet_->CountUnreconciled() > 0 || provisioner_->HasPendingRequests();
  double waiting = 0;
  for (JobIndex job_index : job_store_->active_jobs()) {
    const Job& job = (*job_store_)[job_index];
    waits = waits || (job.spec.service && !job.waiting_tasks.empty());
    waiting += job.spec.cores * static_cast<double>(job.waiting_tasks.size());
  }
  waits = waits || waiting > kNegligibleBacklogShare * free_capacity_->total_cores();
  const size_t most = 1 + fleet_->active().size() / kMachinesPerConsolidation;
  std::vector<MachineIndex> emptying;
  std::vector<std::pair<double, MachineIndex>> thin;
  for (MachineIndex machine_index : fleet_->active()) {
    const Machine& machine = (*fleet_)[machine_index];
    if (machine.scaling_in || machine.cordoned) continue;
    if (machine.consolidating) {
      emptying.push_back(machine_index);
      continue;
    }
    if (machine.spot || !free_capacity_->capacities()[machine_index].usable ||
        now - machine.up_at <= tuning_->settled_s)
      continue;
    const bool settled = std::all_of(
        machine.attempts.begin(), machine.attempts.end(), [this, now](const TaskAttempt& attempt) {
          return attempt.released || (attempt.wanted && attempt.job != kNoIndex &&
                                      attempt.state == TaskState::kRunning &&
                                      now - attempt.launched_at > tuning_->settled_s);
        });
    if (settled) thin.emplace_back(machine.used_cores, machine_index);
  }
  for (MachineIndex machine_index : emptying) {
    Machine& machine = (*fleet_)[machine_index];
    if (waits && now - machine.consolidating_since > 3 && now - machine.last_move_at > 3) {
      // Its room is needed after all.
      machine.consolidating = machine.unschedulable = false;
    } else if (!waits && now - machine.last_move_at > 0.5) {
      MoveOneReplica(machine_index);
    }
  }
  if (waits) return;
  std::sort(thin.begin(), thin.end());
  double free = free_capacity_->free_ordinary();
  for (const auto& [used, mi] : thin) {
    if (emptying.size() >= most) return;
    Machine& machine = (*fleet_)[mi];
    const double others = free - std::max(0.0, free_capacity_->capacities()[mi].cores);
    const double kept = free_capacity_->headroom() * (1 + tuning_->consolidate_spare) +
                        free_capacity_->planned_cores();
    if (others < used + kept) return;
    free = others - used;
    machine.consolidating = machine.unschedulable = true;
    machine.consolidating_since = now;
    emptying.push_back(mi);
    spdlog::info("emptying machine {}: {} cores in use there, {} free elsewhere", machine.name,
                 used, others);
  }
}

void Autoscaler::MoveOneReplica(MachineIndex machine_index) {
  Machine& machine = (*fleet_)[machine_index];
  for (TaskAttempt& attempt : machine.attempts) {
    if (attempt.released || !attempt.wanted || attempt.job == kNoIndex ||
        attempt.state != TaskState::kRunning)
      continue;
    const Job& job = (*job_store_)[attempt.job];
    if (!job.spec.service) continue;                     // arrays end by themselves
    if (job.tasks_running < job.tasks.size()) continue;  // one replica of a job at a time
    if (ledger_->BlockedFromEvicting(attempt.job)) continue;
    std::vector<uint32_t> on = job.machines;
    on.erase(std::find(on.begin(), on.end(), machine_index));
    std::vector<char> zones;
    if (!free_capacity_->AllowedZones(job, on, &zones)) continue;
    ResourceRequest request = free_capacity_->RequestFor(job, zones, on);
    request.overdue = false;
    request.cached_only = true;
    const std::vector<uint32_t> open = free_capacity_->MachinesWithRoom(job.spec.cores);
    // It is itself drained, and so not among them.
    if (BestFitQueue(&request, &free_capacity_->capacities(), open).PopBest(true) < 0) continue;
    spdlog::info("moving {} off {}", attempt.task_name, machine.name);
    fleet_->RequestStop(machine_index, &attempt, 0);
    machine.last_move_at = clock_->Now();
    fleet_->placement_needed = true;
    return;
  }
}

// Empty machines that are of no more use, however much waits.
bool Autoscaler::ScaleInIfUseless(MachineIndex machine_index, double boot) {
  Machine& machine = (*fleet_)[machine_index];
  const double now = clock_->Now();
  if (!machine.up) {
    if (clock_->Wall() - machine.provisioned_at_wall > boot * tuning_->give_up_boot &&
        now - machine.discovered_at > boot) {
      provisioner_->ScaleIn(machine_index, "does not come up");
    }
    return true;
  }
  if (machine.active_attempts > 0 || !machine.reconciled) {
    machine.idle_since = -1;
    return true;
  }
  if (machine.idle_since < 0) machine.idle_since = now;
  const char* why = machine.preemption_at >= 0 ? "the cloud takes it, and it is empty"
                    : provisioner_->TypeOf(machine.type) == nullptr ? "its type is not offered"
                    : machine.quarantine_count >= 2                 ? "fails the tasks it starts"
                    : machine.consolidating                         ? "emptied"
                    : machine.scale_in_when_empty && machine.attempts.empty() ? "drained"
                                                                              : nullptr;
  if (why != nullptr) provisioner_->ScaleIn(machine_index, why);
  return why != nullptr;
}

void Autoscaler::ScaleInIdle() {
  const double now = clock_->Now();
  bool services_wait = false;
  double waiting = 0;
  for (JobIndex job_index : job_store_->active_jobs()) {
    const Job& job = (*job_store_)[job_index];
    if (job.waiting_tasks.empty() || now < job.backoff_until || !free_capacity_->HasTeamQuota(job))
      continue;
    services_wait = services_wait || job.spec.service;
    waiting += job.spec.cores * static_cast<double>(job.waiting_tasks.size());
  }
  double free_ordinary = free_capacity_->free_ordinary() + free_capacity_->preemptible_reserve();
  for (MachineIndex machine_index : fleet_->active()) {
    Machine& machine = (*fleet_)[machine_index];
    if (machine.scaling_in || machine.partitioned) continue;
    const MachineType* type = provisioner_->TypeOf(machine.type);
    const double boot = type == nullptr ? 60 : type->boot_s;
    if (ScaleInIfUseless(machine_index, boot)) continue;
    const double idle = now - machine.idle_since;
    if (machine.spot) {
      if (idle > tuning_->idle_spot_boots * boot && waiting <= 0)
        provisioner_->ScaleIn(machine_index, "idle");
    } else if (idle > tuning_->idle_ordinary_boots * boot && !services_wait &&
               free_ordinary - type->cores >=
                   free_capacity_->headroom() + free_capacity_->planned_cores()) {
      free_ordinary -= type->cores;
      provisioner_->ScaleIn(machine_index, "idle");
    }
  }
}

}  // namespace deckhall
