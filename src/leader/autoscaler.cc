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
  auto types = [](const ResourceRequest& n) {
    return n.allowed_types == nullptr ? std::vector<char>() : *n.allowed_types;
  };
  return a.cores == b.cores && a.memory_gb == b.memory_gb && a.gpus == b.gpus &&
         a.required_zone == b.required_zone && a.spot_tolerant == b.spot_tolerant &&
         types(a) == types(b);
}

// Jobs by the hundred have few different needs: the plan's work grows with those.
void AddDemand(std::vector<ResourceDemand>* wants, size_t from, const ResourceRequest& need,
               uint32_t count) {
  for (size_t i = from; i < wants->size(); ++i) {
    if ((*wants)[i].single_zone || !SameRequest((*wants)[i].request, need)) continue;
    (*wants)[i].count += count;
    return;
  }
  ResourceDemand w;
  w.request = need;
  w.count = count;
  wants->push_back(w);
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
  std::vector<InstanceOffering> offers;
  for (size_t p = 0; p < provisioner_->pools().size(); ++p) {
    const MachinePool& pool = provisioner_->pools()[p];
    const MachineType* type = provisioner_->TypeOf(pool.type);
    InstanceOffering o;
    o.type = pool.type;
    o.zone = pool.zone;
    o.spot = pool.spot;
    if (type != nullptr) {
      o.cores = type->cores;
      o.gpus = type->gpus;
      o.memory_gb = type->memory_gb;
      o.price = pool.spot ? type->spot_price : type->price;
      o.boot_s = type->boot_s;
    }
    // What is rented behind a cut can't be used before the cut ends.
    o.unavailable =
        type == nullptr || now < pool.backoff_until || free_capacity_->IsPartitioned(pool.zone) ||
        drainer_->PreventsScaleOut(job_store_->types[pool.type], job_store_->zones[pool.zone]);
    const int pending = provisioner_->PendingMachines(static_cast<uint32_t>(p));
    o.existing_machines = pending;
    // Machines asked for count as if they were booting.
    for (int i = 0; i < pending; ++i) {
      bins->push_back(EmptyMachine(o));
      ++*machines;
    }
    offers.push_back(o);
  }
  for (MachineIndex mi : fleet_->active()) {
    const Machine& m = (*fleet_)[mi];
    if (m.scaling_in) continue;
    // A machine nobody named may be a late copy's ghost: it counts when it hears.
    if (!m.registered && !m.may_run_former_attempts &&
        !(m.reconciled && Fleet::HasAcknowledgedToken(m)))
      continue;
    ++*machines;
    for (InstanceOffering& o : offers) {
      if (o.type == m.type && o.zone == m.zone && o.spot == m.spot) ++o.existing_machines;
    }
    const MachineCapacity& room = free_capacity_->capacities()[mi];
    if (room.cores <= kEps || m.cordoned) continue;
    bool usable = room.usable;
    if (m.zone != kNoIndex && free_capacity_->IsPartitioned(m.zone)) continue;
    if (!m.up) {
      const MachineType* type = provisioner_->TypeOf(m.type);
      usable =
          type != nullptr && wall - m.provisioned_at_wall < type->boot_s * tuning_->late_boot + 5;
    } else if (!usable) {
      usable = !m.unschedulable && m.preemption_at < 0 && now >= m.quarantined_until &&
               m.unreachable_count < 2 && free_capacity_->IsHeardRecently(m);
    }
    if (!usable) continue;
    MachineCapacity n;
    n.machine = mi;
    n.type = room.type;
    n.zone = room.zone;
    n.spot = room.spot;
    n.usable = true;
    n.cores = room.cores;
    n.gpus = room.gpus;
    n.memory_gb = room.memory_gb;
    bins->push_back(n);
  }
  return offers;
}

std::vector<ResourceDemand> Autoscaler::CollectDemands(double* waiting) {
  const double now = clock_->Now();
  std::vector<ResourceDemand> wants;
  static const std::vector<char> kAnyZone;
  static const std::vector<uint32_t> kNowhere;
  auto need_of = [this](const Job& job) {
    ResourceRequest n = free_capacity_->RequestFor(job, kAnyZone, kNowhere);
    n.failed_machines = nullptr;
    return n;
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
  for (JobIndex j : job_store_->active_jobs()) {
    const Job& job = (*job_store_)[j];
    if (!job.spec.service || job.waiting_tasks.empty()) continue;
    const uint32_t n = within_limit(job, static_cast<uint32_t>(job.waiting_tasks.size()));
    if (n > 0) AddDemand(&wants, 0, need_of(job), n);
  }
  // Replicas that drains move next need room before they are stopped.
  for (JobIndex j : drainer_->jobs_needing_room())
    AddDemand(&wants, 0, need_of((*job_store_)[j]), 1);
  double lent = 0;  // kept room that arrays may use meanwhile
  const double headroom = free_capacity_->headroom();
  if (free_capacity_->largest_replica_cores() > 0) {
    ResourceRequest need;
    need.cores = free_capacity_->largest_replica_cores();
    need.memory_gb = free_capacity_->largest_replica_memory_gb();
    // Arrays on ordinary machines give way: their room counts as kept.
    const double open = std::max(0.0, headroom - free_capacity_->preemptible_reserve());
    lent = std::max(0.0, open - headroom * tuning_->headroom_reserved_share);
    const auto count =
        static_cast<uint32_t>(std::ceil(open / free_capacity_->largest_replica_cores()));
    if (count > 0) AddDemand(&wants, wants.size(), need, count);
  }
  // Arrays: enough to work off what waits in the time the operator set.
  auto waits = [now](const Job& job) {
    return job.lifecycle == JobLifecycle::kActive && !job.waiting_tasks.empty() &&
           now >= job.backoff_until && job.consecutive_failures < 3;
  };
  double backlog = 0;
  for (JobIndex j : ranking_->order()) {
    const Job& job = (*job_store_)[j];
    if (!waits(job) || job.spec.gang) continue;
    const double cores = job.spec.cores * static_cast<double>(job.waiting_tasks.size());
    *waiting += cores;
    backlog += cores * ranking_->ExpectedTaskSeconds(job);
  }
  size_t from = wants.size();
  for (JobIndex j : ranking_->order()) {
    // A gang needs room for all its tasks at once.
    const Job& job = (*job_store_)[j];
    if (!job.spec.gang || !waits(job) || job.waiting_tasks.size() < job.tasks.size()) continue;
    const auto n = static_cast<uint32_t>(job.waiting_tasks.size());
    if (within_limit(job, n) != n) continue;
    if (job.spec.single_zone) {
      // Each such gang may be in another zone, but must be in one.
      wants.push_back({need_of(job), n, true});
    } else {
      AddDemand(&wants, from, need_of(job), n);
    }
  }
  from = wants.size();
  double left = std::min(*waiting, backlog / tuning_->backlog_drain_s) - lent;
  for (JobIndex j : ranking_->order()) {
    const Job& job = (*job_store_)[j];
    if (left <= 0) break;
    if (!waits(job) || job.spec.gang) continue;
    const double per = std::max(job.spec.cores, 0.1);
    auto n = static_cast<uint32_t>(
        std::min<double>(static_cast<double>(job.waiting_tasks.size()), std::ceil(left / per)));
    n = within_limit(job, n);
    if (n == 0) continue;
    left -= n * per;
    AddDemand(&wants, from, need_of(job), n);
  }
  return wants;
}

void Autoscaler::ScaleOut() {
  std::vector<MachineCapacity> bins;
  int machines = 0;
  const std::vector<InstanceOffering> offers = CollectOfferings(&bins, &machines);
  double waiting = 0;
  const std::vector<ResourceDemand> wants = CollectDemands(&waiting);
  const int most = std::max(0, MaxMachines(*settings_) - machines);
  for (const ScaleOutDecision& r : PlanScaleOut(offers, std::move(bins), wants, most)) {
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
  for (JobIndex j : job_store_->active_jobs()) {
    const Job& job = (*job_store_)[j];
    waits = waits || (job.spec.service && !job.waiting_tasks.empty());
    waiting += job.spec.cores * static_cast<double>(job.waiting_tasks.size());
  }
  waits = waits || waiting > kNegligibleBacklogShare * free_capacity_->total_cores();
  const size_t most = 1 + fleet_->active().size() / kMachinesPerConsolidation;
  std::vector<MachineIndex> emptying;
  std::vector<std::pair<double, MachineIndex>> thin;
  for (MachineIndex mi : fleet_->active()) {
    const Machine& m = (*fleet_)[mi];
    if (m.scaling_in || m.cordoned) continue;
    if (m.consolidating) {
      emptying.push_back(mi);
      continue;
    }
    if (m.spot || !free_capacity_->capacities()[mi].usable || now - m.up_at <= tuning_->settled_s)
      continue;
    const bool settled =
        std::all_of(m.attempts.begin(), m.attempts.end(), [this, now](const TaskAttempt& s) {
          return s.released || (s.wanted && s.job != kNoIndex && s.state == TaskState::kRunning &&
                                now - s.launched_at > tuning_->settled_s);
        });
    if (settled) thin.emplace_back(m.used_cores, mi);
  }
  for (MachineIndex mi : emptying) {
    Machine& m = (*fleet_)[mi];
    if (waits && now - m.consolidating_since > 3 && now - m.last_move_at > 3) {
      // Its room is needed after all.
      m.consolidating = m.unschedulable = false;
    } else if (!waits && now - m.last_move_at > 0.5) {
      MoveOneReplica(mi);
    }
  }
  if (waits) return;
  std::sort(thin.begin(), thin.end());
  double free = free_capacity_->free_ordinary();
  for (const auto& [used, mi] : thin) {
    if (emptying.size() >= most) return;
    Machine& m = (*fleet_)[mi];
    const double others = free - std::max(0.0, free_capacity_->capacities()[mi].cores);
    const double kept = free_capacity_->headroom() * (1 + tuning_->consolidate_spare) +
                        free_capacity_->planned_cores();
    if (others < used + kept) return;
    free = others - used;
    m.consolidating = m.unschedulable = true;
    m.consolidating_since = now;
    emptying.push_back(mi);
    spdlog::info("emptying machine {}: {} cores in use there, {} free elsewhere", m.name, used,
                 others);
  }
}

void Autoscaler::MoveOneReplica(MachineIndex mi) {
  Machine& m = (*fleet_)[mi];
  for (TaskAttempt& s : m.attempts) {
    if (s.released || !s.wanted || s.job == kNoIndex || s.state != TaskState::kRunning) continue;
    const Job& job = (*job_store_)[s.job];
    if (!job.spec.service) continue;                     // arrays end by themselves
    if (job.tasks_running < job.tasks.size()) continue;  // one replica of a job at a time
    if (ledger_->BlockedFromEvicting(s.job)) continue;
    std::vector<uint32_t> on = job.machines;
    on.erase(std::find(on.begin(), on.end(), mi));
    std::vector<char> zones;
    if (!free_capacity_->AllowedZones(job, on, &zones)) continue;
    ResourceRequest need = free_capacity_->RequestFor(job, zones, on);
    need.overdue = false;
    need.cached_only = true;
    const std::vector<uint32_t> open = free_capacity_->MachinesWithRoom(job.spec.cores);
    // It is itself drained, and so not among them.
    if (BestFitQueue(&need, &free_capacity_->capacities(), open).PopBest(true) < 0) continue;
    spdlog::info("moving {} off {}", s.task_name, m.name);
    fleet_->RequestStop(mi, &s, 0);
    m.last_move_at = clock_->Now();
    fleet_->placement_needed = true;
    return;
  }
}

// Empty machines that are of no more use, however much waits.
bool Autoscaler::ScaleInIfUseless(MachineIndex mi, double boot) {
  Machine& m = (*fleet_)[mi];
  const double now = clock_->Now();
  if (!m.up) {
    if (clock_->Wall() - m.provisioned_at_wall > boot * tuning_->give_up_boot &&
        now - m.discovered_at > boot) {
      provisioner_->ScaleIn(mi, "does not come up");
    }
    return true;
  }
  if (m.active_attempts > 0 || !m.reconciled) {
    m.idle_since = -1;
    return true;
  }
  if (m.idle_since < 0) m.idle_since = now;
  const char* why = m.preemption_at >= 0 ? "the cloud takes it, and it is empty"
                    : provisioner_->TypeOf(m.type) == nullptr     ? "its type is not offered"
                    : m.quarantine_count >= 2                     ? "fails the tasks it starts"
                    : m.consolidating                             ? "emptied"
                    : m.scale_in_when_empty && m.attempts.empty() ? "drained"
                                                                  : nullptr;
  if (why != nullptr) provisioner_->ScaleIn(mi, why);
  return why != nullptr;
}

void Autoscaler::ScaleInIdle() {
  const double now = clock_->Now();
  bool services_wait = false;
  double waiting = 0;
  for (JobIndex j : job_store_->active_jobs()) {
    const Job& job = (*job_store_)[j];
    if (job.waiting_tasks.empty() || now < job.backoff_until || !free_capacity_->HasTeamQuota(job))
      continue;
    services_wait = services_wait || job.spec.service;
    waiting += job.spec.cores * static_cast<double>(job.waiting_tasks.size());
  }
  double free_ordinary = free_capacity_->free_ordinary() + free_capacity_->preemptible_reserve();
  for (MachineIndex mi : fleet_->active()) {
    Machine& m = (*fleet_)[mi];
    if (m.scaling_in || m.partitioned) continue;
    const MachineType* type = provisioner_->TypeOf(m.type);
    const double boot = type == nullptr ? 60 : type->boot_s;
    if (ScaleInIfUseless(mi, boot)) continue;
    const double idle = now - m.idle_since;
    if (m.spot) {
      if (idle > tuning_->idle_spot_boots * boot && waiting <= 0) provisioner_->ScaleIn(mi, "idle");
    } else if (idle > tuning_->idle_ordinary_boots * boot && !services_wait &&
               free_ordinary - type->cores >=
                   free_capacity_->headroom() + free_capacity_->planned_cores()) {
      free_ordinary -= type->cores;
      provisioner_->ScaleIn(mi, "idle");
    }
  }
}

}  // namespace deckhall
