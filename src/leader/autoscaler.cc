#include "leader/autoscaler.h"

#include <algorithm>
#include <cstdio>

#include "wire/worker_codec.h"

namespace deckhall {
namespace {

// Added to Tuning::late_boot_factor nominal boot times; a machine that boots longer is not counted
// as capacity.
constexpr double kBootMarginSeconds = 5;
constexpr double kDefaultBootSeconds = 60;  // for machine types that the cloud does not offer
// A machine with this many unanswered probes counts as unreachable.
constexpr int kUnreachableProbes = 2;
// A machine with this many quarantines since its last success is scaled in once it is empty.
constexpr int kQuarantinesToScaleIn = 2;
constexpr size_t kReasonBytes = 160;

}  // namespace

Autoscaler::Autoscaler(JobStore* job_store, Fleet* fleet, FreeCapacity* free_capacity,
                       const Ranking* ranking, Provisioner* provisioner,
                       const DisruptionLedger* ledger,
                       const EvictionController* eviction_controller, const Clock* clock,
                       const Settings* settings, const Tuning* tuning)
    : job_store_(job_store),
      fleet_(fleet),
      free_capacity_(free_capacity),
      provisioner_(provisioner),
      eviction_controller_(eviction_controller),
      clock_(clock),
      settings_(settings),
      tuning_(tuning),
      demand_collector_(job_store, free_capacity, ranking, eviction_controller, clock, tuning),
      consolidator_(job_store, fleet, free_capacity, provisioner, ledger, clock, tuning) {}

void Autoscaler::Plan() {
  if (!provisioner_->types_known()) return;
  free_capacity_->Refresh();
  ScaleOut();
  ScaleInIdle();
  consolidator_.Consolidate();
}

InstanceOffering Autoscaler::OfferingOf(const MachinePool& pool) const {
  const MachineType* type = provisioner_->TypeOf(pool.type);
  InstanceOffering offering;
  offering.type = pool.type;
  offering.zone = pool.zone;
  offering.spot = pool.spot;
  if (type != nullptr) {
    offering += Resources{type->cores, type->gpus, type->memory_gb,
                          static_cast<double>(kHeartbeatTaskBytes)};
    offering.hourly_price = pool.spot ? type->spot_price : type->price;
    offering.boot_s = type->boot_s;
  }
  offering.unavailable = type == nullptr || clock_->Now() < pool.backoff_until ||
                         free_capacity_->IsPartitioned(pool.zone) ||
                         eviction_controller_->PreventsScaleOut(job_store_->types[pool.type],
                                                                job_store_->zones[pool.zone]);
  return offering;
}

// Requested machines that the cloud has not named yet count as booting.
void Autoscaler::AddPool(uint32_t pool_index, Supply* supply) const {
  InstanceOffering offering = OfferingOf(provisioner_->pools()[pool_index]);
  const int pending = provisioner_->PendingMachines(pool_index);
  offering.existing_machines = pending;
  supply->bins.insert(supply->bins.end(), static_cast<size_t>(pending), EmptyMachine(offering));
  supply->machines += pending;
  supply->offerings.push_back(offering);
}

bool Autoscaler::WillBeUsable(const Machine& machine, const MachineCapacity& capacity) const {
  if (machine.zone != kNoIndex && free_capacity_->IsPartitioned(machine.zone)) return false;
  if (!machine.up) {
    const MachineType* type = provisioner_->TypeOf(machine.type);
    const double booting_s = clock_->Wall() - machine.provisioned_at_wall;
    return type != nullptr &&
           booting_s < type->boot_s * tuning_->late_boot_factor + kBootMarginSeconds;
  }
  if (capacity.usable) return true;
  return !machine.unschedulable && machine.preemption_at < 0 &&
         clock_->Now() >= machine.quarantined_until &&
         machine.unreachable_count < kUnreachableProbes &&
         free_capacity_->HasRecentHeartbeat(machine);
}

void Autoscaler::AddMachine(MachineIndex machine_index, Supply* supply) const {
  const Machine& machine = (*fleet_)[machine_index];
  if (machine.scaling_in) return;
  // A machine known only from a heartbeat may no longer exist: the heartbeat may be a delayed
  // duplicate.
  const bool confirmed = machine.registered || machine.may_run_former_attempts ||
                         (machine.reconciled && Fleet::HasAcknowledgedToken(machine));
  if (!confirmed) return;
  ++supply->machines;
  for (InstanceOffering& offering : supply->offerings) {
    if (offering.type == machine.type && offering.zone == machine.zone &&
        offering.spot == machine.spot) {
      ++offering.existing_machines;
    }
  }
  const MachineCapacity& capacity = free_capacity_->capacities()[machine_index];
  if (capacity.cores <= kResourceEpsilon || machine.cordoned) return;
  if (!WillBeUsable(machine, capacity)) return;
  MachineCapacity bin;
  bin += capacity;
  bin.machine = machine_index;
  bin.type = capacity.type;
  bin.zone = capacity.zone;
  bin.spot = capacity.spot;
  bin.usable = true;
  supply->bins.push_back(bin);
}

Autoscaler::Supply Autoscaler::CollectSupply() const {
  Supply supply;
  for (uint32_t pool = 0; pool < provisioner_->pools().size(); ++pool) AddPool(pool, &supply);
  for (MachineIndex machine_index : fleet_->active()) AddMachine(machine_index, &supply);
  return supply;
}

void Autoscaler::ScaleOut() {
  Supply supply = CollectSupply();
  const DemandCollector::Result demand = demand_collector_.Collect();
  const int max_new_machines = std::max(0, MaxMachines(*settings_) - supply.machines);
  for (const ScaleOutDecision& decision :
       PlanScaleOut(supply.offerings, std::move(supply.bins), demand.demands, max_new_machines)) {
    char reason[kReasonBytes];
    std::snprintf(reason, sizeof reason, "waiting_array_cores=%.0f headroom_cores=%.0f",
                  demand.waiting_array_cores, free_capacity_->headroom());
    provisioner_->ScaleOut(decision.offering, decision.count, reason);
  }
}

const char* Autoscaler::ScaleInReason(const Machine& machine) const {
  if (machine.preemption_at >= 0) return "empty, with a preemption notice";
  if (provisioner_->TypeOf(machine.type) == nullptr) return "its machine type is not offered";
  if (machine.quarantine_count >= kQuarantinesToScaleIn) return "quarantined repeatedly";
  if (machine.consolidating) return "consolidated";
  if (machine.scale_in_when_empty && machine.attempts.empty()) return "drained";
  return nullptr;
}

bool Autoscaler::ScaleInIfUnneeded(MachineIndex machine_index, double boot_s) {
  Machine& machine = (*fleet_)[machine_index];
  const double now = clock_->Now();
  if (!machine.up) {
    if (clock_->Wall() - machine.provisioned_at_wall > boot_s * tuning_->give_up_boot_factor &&
        now - machine.discovered_at > boot_s) {
      provisioner_->ScaleIn(machine_index, "boot timed out");
    }
    return true;
  }
  if (machine.active_attempts > 0 || !machine.reconciled) {
    machine.idle_since = -1;
    return true;
  }
  if (machine.idle_since < 0) machine.idle_since = now;
  const char* reason = ScaleInReason(machine);
  if (reason != nullptr) provisioner_->ScaleIn(machine_index, reason);
  return reason != nullptr;
}

Autoscaler::WaitingDemand Autoscaler::CollectWaitingDemand() const {
  const double now = clock_->Now();
  WaitingDemand waiting;
  for (JobIndex job_index : job_store_->active_jobs()) {
    const Job& job = (*job_store_)[job_index];
    if (job.waiting_tasks.empty() || now < job.backoff_until) continue;
    if (!free_capacity_->HasTeamQuota(job)) continue;
    waiting.services = waiting.services || job.spec.service;
    waiting.cores += job.spec.cores * static_cast<double>(job.waiting_tasks.size());
  }
  return waiting;
}

void Autoscaler::ScaleInIdle() {
  const double now = clock_->Now();
  const WaitingDemand waiting = CollectWaitingDemand();
  const double kept_cores = free_capacity_->headroom() + free_capacity_->planned_cores();
  double free_ordinary = free_capacity_->free_ordinary() + free_capacity_->preemptible_reserve();
  for (MachineIndex machine_index : fleet_->active()) {
    Machine& machine = (*fleet_)[machine_index];
    if (machine.scaling_in || machine.partitioned) continue;
    const MachineType* type = provisioner_->TypeOf(machine.type);
    const double boot_s = type == nullptr ? kDefaultBootSeconds : type->boot_s;
    if (ScaleInIfUnneeded(machine_index, boot_s)) continue;
    const double idle_s = now - machine.idle_since;
    if (machine.spot) {
      if (idle_s > tuning_->idle_spot_boots * boot_s && waiting.cores <= 0) {
        provisioner_->ScaleIn(machine_index, "idle");
      }
    } else if (idle_s > tuning_->idle_ordinary_boots * boot_s && !waiting.services &&
               free_ordinary - type->cores >= kept_cores) {
      free_ordinary -= type->cores;
      provisioner_->ScaleIn(machine_index, "idle");
    }
  }
}

}  // namespace deckhall
