#include "leader/free_capacity.h"

#include <algorithm>
#include <cmath>

namespace deckhall {
namespace {

constexpr double kEps = 1e-6;
constexpr double kNoLimit = 1e9;
constexpr double kArrivalAveragingSeconds = 120;  // seconds over which arrivals are averaged

}  // namespace

FreeCapacity::FreeCapacity(JobStore* job_store, Fleet* fleet, Provisioner* provisioner,
                           RecordStore* record_store, const Clock* clock, const Settings* settings,
                           const Tuning* tuning)
    : job_store_(job_store),
      fleet_(fleet),
      provisioner_(provisioner),
      record_store_(record_store),
      clock_(clock),
      settings_(settings),
      tuning_(tuning) {}

const Team* FreeCapacity::TeamOf(uint32_t team_index) const {
  return team_index < teams_.size() ? teams_[team_index] : nullptr;
}

bool FreeCapacity::MayRunOn(const Job& job, const Machine& machine) {
  if (machine.spot && !job.spec.spot_tolerant) return false;
  if (job.required_zone != kNoIndex && machine.zone != kNoIndex &&
      job.required_zone != machine.zone)
    return false;
  if (job.allowed_types.empty() || machine.type == kNoIndex) return true;
  return machine.type < job.allowed_types.size() && job.allowed_types[machine.type] != 0;
}

bool FreeCapacity::IsUsable(const Machine& machine) const {
  const double now = clock_->Now();
  // Reports alone are no proof that it hears: a machine whose commands get lost
  // would be given tasks again and again.
  return machine.up && machine.reconciled && !machine.removed && !machine.unschedulable &&
         !machine.cordoned && !machine.partitioned && machine.unrenewed_since_wall < 0 &&
         !machine.scaling_in && machine.preemption_at < 0 && Fleet::HasAcknowledgedToken(machine) &&
         machine.unreachable_count < 2 && machine.record_id != kNoRecord &&
         !machine.endpoint.empty() && record_store_->IsDurable(machine.record_id) &&
         now >= machine.quarantined_until && now >= machine.no_room_until &&
         IsHeardRecently(machine);
}

bool FreeCapacity::IsHeardRecently(const Machine& machine) const {
  const double most = std::max(tuning_->silent_after_s, settings_->heartbeat_interval_s * 1.6);
  return clock_->Now() - machine.last_heard_at < most;
}

void FreeCapacity::RebuildCapacity(MachineIndex machine_index) {
  Machine& machine = (*fleet_)[machine_index];
  machine.capacity_stale = false;
  ++work_units;
  MachineCapacity& capacity = capacities_[machine_index];
  capacity.machine = machine_index;
  capacity.type = machine.type;
  capacity.zone = machine.zone;
  capacity.spot = machine.spot;
  if (const MachineType* type = provisioner_->TypeOf(machine.type)) {
    capacity.total_cores = type->cores;
    capacity.cores = type->cores - machine.used_cores;
    capacity.gpus = type->gpus - machine.used_gpus;
    capacity.memory_gb = type->memory_gb - machine.used_memory_gb;
    capacity.fetch_gb_per_s = type->fetch_gb_per_s;
  } else {
    capacity.total_cores = capacity.cores = capacity.gpus = capacity.memory_gb = 0;
  }
  if (auto held = reserved_.find(machine_index); held != reserved_.end()) {
    capacity.cores -= held->second.cores;
    capacity.gpus -= held->second.gpus;
    capacity.memory_gb -= held->second.memory_gb;
  }
  capacity.fetching_images.clear();
  for (const TaskAttempt& attempt : machine.attempts) {
    if (attempt.released || !attempt.wanted || attempt.job == kNoIndex ||
        (attempt.reported && attempt.state != TaskState::kFetching)) {
      continue;
    }
    capacity.fetching_images.push_back((*job_store_)[attempt.job].image);
  }
}

void FreeCapacity::ReserveRoom(MachineIndex machine_index, const Job& job) {
  Resources& held = reserved_[machine_index];
  held.cores += job.spec.cores;
  held.gpus += job.spec.gpus;
  held.memory_gb += job.spec.memory_gb;
  (*fleet_)[machine_index].capacity_stale = true;
}

void FreeCapacity::ReleaseRoom(MachineIndex machine_index, const Job& job) {
  auto it = reserved_.find(machine_index);
  if (it == reserved_.end()) return;
  it->second.cores -= job.spec.cores;
  it->second.gpus -= job.spec.gpus;
  it->second.memory_gb -= job.spec.memory_gb;
  // Sums of decimal amounts end beside nothing.
  if (it->second.memory_gb < kEps && it->second.cores < kEps) reserved_.erase(it);
  (*fleet_)[machine_index].capacity_stale = true;
}

const MachineCapacity& FreeCapacity::Current(MachineIndex machine_index) {
  if (capacities_.size() <= machine_index) capacities_.resize(fleet_->size());
  const Machine& machine = (*fleet_)[machine_index];
  if (machine.capacity_stale) RebuildCapacity(machine_index);
  MachineCapacity& capacity = capacities_[machine_index];
  capacity.cached_images = &machine.cached_images;  // machines may have moved in memory
  capacity.usable = capacity.total_cores > 0 && IsUsable(machine);
  return capacity;
}

void FreeCapacity::Refresh() {
  if (teams_.size() < job_store_->teams.size()) {
    teams_.assign(job_store_->teams.size(), nullptr);
    for (const Team& team : settings_->teams) {
      const uint32_t at = job_store_->teams.Find(team.name);
      if (at != kNoIndex) teams_[at] = &team;
    }
  }
  capacities_.resize(fleet_->size());
  free_ordinary_ = free_spot_ = preemptible_reserve_ = total_cores_ = 0;
  double most = 0;
  double services = 0;
  for (MachineIndex machine_index : fleet_->active()) {
    const Machine& machine = (*fleet_)[machine_index];
    const MachineCapacity& capacity = Current(machine_index);
    if (machine.up) total_cores_ += capacity.total_cores;
    most = std::max(most, machine.service_cores);
    services += machine.service_cores;
    if (!capacity.usable) continue;
    (machine.spot ? free_spot_ : free_ordinary_) += std::max(0.0, capacity.cores);
    if (!machine.spot) preemptible_reserve_ += machine.preemptible_cores;
  }
  total_cores_ = std::max(total_cores_, 1.0);
  largest_replica_cores_ = largest_replica_memory_gb_ = 0;
  for (JobIndex job_index : job_store_->active_jobs()) {
    const Job& job = (*job_store_)[job_index];
    if (!job.spec.service) continue;
    largest_replica_cores_ = std::max(largest_replica_cores_, job.spec.cores);
    largest_replica_memory_gb_ = std::max(largest_replica_memory_gb_, job.spec.memory_gb);
  }
  double boot = 0;
  for (const MachineType& type : provisioner_->types()) {
    boot = boot == 0 ? type.boot_s : std::min(boot, type.boot_s);
  }
  const double since = arrival_rate_updated_at_ < 0 ? 0 : clock_->Now() - arrival_rate_updated_at_;
  const double rate = arriving_service_cores_per_s_ * std::exp(-since / kArrivalAveragingSeconds);
  // On a large fleet more than one machine is lost together.
  headroom_ = std::max(most * tuning_->headroom_machines, services * tuning_->headroom_share) +
              rate * boot * tuning_->headroom_boots + PartitionedServiceCores();
  CountUsage();
}

// What services use behind a cut. The room is there when the leases end.
double FreeCapacity::PartitionedServiceCores() const {
  double cores = 0;
  if (std::find(partitioned_zones_.begin(), partitioned_zones_.end(), 1) ==
      partitioned_zones_.end())
    return cores;
  for (MachineIndex machine_index : fleet_->active()) {
    if ((*fleet_)[machine_index].partitioned) cores += (*fleet_)[machine_index].service_cores;
  }
  for (JobIndex job_index : job_store_->active_jobs()) {
    const Job& job = (*job_store_)[job_index];
    if (job.spec.service) cores += job.tasks_unreconciled * job.spec.cores;
  }
  return cores;
}

void FreeCapacity::RecordServiceArrival(const Job& job) {
  const double now = clock_->Now();
  if (arrival_rate_updated_at_ < 0) arrival_rate_updated_at_ = now;
  arriving_service_cores_per_s_ *=
      std::exp(-(now - arrival_rate_updated_at_) / kArrivalAveragingSeconds);
  arrival_rate_updated_at_ = now;
  arriving_service_cores_per_s_ += job.spec.cores * job.spec.task_count / kArrivalAveragingSeconds;
}

void FreeCapacity::CountUsage() {
  usage_ = fleet_->team_usage();
  usage_.resize(job_store_->teams.size());
  ResourceUsage hidden;
  bool any_hidden = false;
  for (MachineIndex machine_index : fleet_->active()) {
    const Machine& machine = (*fleet_)[machine_index];
    if (!machine.may_run_former_attempts || machine.reconciled) continue;
    any_hidden = true;
    const MachineType* type = provisioner_->TypeOf(machine.type);
    hidden.cores += type == nullptr ? kNoLimit : type->cores;
    hidden.gpus += type == nullptr ? kNoLimit : type->gpus;
  }
  if (!any_hidden) return;
  // Tasks that may be on machines not accounted for count against their team.
  std::vector<ResourceUsage> unseen(job_store_->teams.size());
  auto add = [this, &unseen](const std::vector<JobIndex>& list) {
    for (JobIndex job_index : list) {
      const Job& job = (*job_store_)[job_index];
      if (!job.has_spec || job.tasks_unreconciled == 0) continue;
      unseen[job.team].cores += job.tasks_unreconciled * job.spec.cores;
      unseen[job.team].gpus += job.tasks_unreconciled * job.spec.gpus;
    }
  };
  add(job_store_->active_jobs());
  add(job_store_->ended_jobs());
  for (size_t t = 0; t < usage_.size(); ++t) {
    usage_[t].cores += std::min(unseen[t].cores, hidden.cores);
    usage_[t].gpus += std::min(unseen[t].gpus, hidden.gpus);
  }
}

bool FreeCapacity::HasTeamQuota(const Job& job, size_t tasks) const {
  const Team* team = TeamOf(job.team);
  if (team == nullptr) return false;
  const ResourceUsage& usage = usage_[job.team];
  const auto count = static_cast<double>(tasks);
  const double cores = usage.cores + count * job.spec.cores;
  if (team->cores_max > 0 && cores > team->cores_max + kEps) return false;
  return team->gpus_max <= 0 || usage.gpus + count * job.spec.gpus <= team->gpus_max + kEps;
}

double FreeCapacity::TeamQuotaLeft(uint32_t team_index) const {
  const Team* team = TeamOf(team_index);
  return team != nullptr && team->cores_max > 0 ? team->cores_max - usage_[team_index].cores
                                                : kNoLimit;
}

bool FreeCapacity::AllowedZones(const Job& job, const std::vector<uint32_t>& on,
                                std::vector<char>* zones) const {
  if (!job.spec.single_zone && !job.spec.anti_affinity) return true;
  // A task that may be on an unknown machine is in an unknown zone.
  if (job.tasks_unreconciled > 0) return false;
  zones->assign(job_store_->zones.size(), 1);
  std::vector<uint32_t> count(job_store_->zones.size(), 0);
  for (uint32_t m : on) {
    const uint32_t z = (*fleet_)[m].zone;
    if (z != kNoIndex) ++count[z];
  }
  const auto most = static_cast<uint32_t>((job.tasks.size() + 1) / 2);
  for (size_t z = 0; z < zones->size(); ++z) {
    if (job.spec.anti_affinity && count[z] >= most) (*zones)[z] = 0;
    if (job.spec.single_zone && !on.empty() && count[z] == 0) (*zones)[z] = 0;
  }
  return true;
}

ResourceRequest FreeCapacity::RequestFor(const Job& job, const std::vector<char>& zones,
                                         const std::vector<uint32_t>& siblings) const {
  ResourceRequest request;
  request.cores = job.spec.cores;
  request.gpus = job.spec.gpus;
  request.memory_gb = job.spec.memory_gb;
  request.allowed_types = job.allowed_types.empty() ? nullptr : &job.allowed_types;
  request.required_zone = job.required_zone;
  request.spot_tolerant = job.spec.spot_tolerant;
  request.service = job.spec.service;
  request.gang = job.spec.gang;
  // A replica that never ran and has waited for long, as at a cold start.
  request.overdue = request.service && job.tasks_placed == 0 &&
                    clock_->Now() - job.waiting_since > tuning_->patient_s;
  request.image = job.image;
  request.image_gb = job.spec.image_gb;
  request.failed_machines = job.failed_machines.empty() ? nullptr : &job.failed_machines;
  request.sibling_machines = siblings.empty() ? nullptr : &siblings;
  request.allowed_zones = zones.empty() ? nullptr : &zones;
  return request;
}

void FreeCapacity::Allocate(const Job& job, uint32_t node) {
  MachineCapacity& capacity = capacities_[node];
  usage_[job.team].cores += job.spec.cores;
  usage_[job.team].gpus += job.spec.gpus;
  capacity.cores -= job.spec.cores;
  capacity.gpus -= job.spec.gpus;
  capacity.memory_gb -= job.spec.memory_gb;
  capacity.fetching_images.push_back(job.image);
  (capacity.spot ? free_spot_ : free_ordinary_) -= job.spec.cores;
}

std::vector<uint32_t> FreeCapacity::MachinesWithRoom(double least_cores) const {
  std::vector<uint32_t> open;
  for (MachineIndex machine_index : fleet_->active()) {
    const MachineCapacity& capacity = capacities_[machine_index];
    if (capacity.usable && capacity.cores + kEps >= least_cores) open.push_back(machine_index);
  }
  return open;
}

}  // namespace deckhall
