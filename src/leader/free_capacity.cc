#include "leader/free_capacity.h"

#include <algorithm>
#include <cmath>

#include "fleet/task_name.h"
#include "wire/worker_codec.h"

namespace deckhall {
namespace {

constexpr double kUnlimited = 1e9;
constexpr double kArrivalAveragingSeconds = 120;
// Without a heartbeat for this many intervals, a machine gets no new tasks.
constexpr double kRecentHeartbeatIntervals = 1.6;
constexpr int kUnreachableProbes = 2;

double HeartbeatBytes(const TaskAttempt& attempt) {
  return static_cast<double>(MaxTaskStatusBytes(attempt.task_name.size()));
}

}  // namespace

Resources TaskResources(const Job& job) {
  const size_t name_bytes = MaxTaskNameBytes(job.id, job.spec.task_count);
  return {job.spec.cores, job.spec.gpus, job.spec.memory_gb,
          static_cast<double>(MaxTaskStatusBytes(name_bytes))};
}

Resources AttemptResources(const TaskAttempt& attempt) {
  return {attempt.cores, attempt.gpus, attempt.memory_gb, HeartbeatBytes(attempt)};
}

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
      job.required_zone != machine.zone) {
    return false;
  }
  if (job.allowed_types.empty() || machine.type == kNoIndex) return true;
  return machine.type < job.allowed_types.size() && job.allowed_types[machine.type] != 0;
}

bool FreeCapacity::IsUsable(const Machine& machine) const {
  const bool in_service = machine.up && machine.reconciled && !machine.removed &&
                          !machine.scaling_in && machine.preemption_at < 0;
  const bool schedulable = !machine.unschedulable && !machine.cordoned;
  // The machine's record must be durable before its first task is launched: a later leader has to
  // know every machine that may run tasks.
  const bool record_durable = machine.record_id != kNoRecord && !machine.endpoint.empty() &&
                              record_store_->IsDurable(machine.record_id);
  // Heartbeats alone don't prove that commands reach the machine.
  const bool reachable = !machine.partitioned && machine.unrenewed_since_wall < 0 &&
                         Fleet::HasAcknowledgedToken(machine) &&
                         machine.unreachable_count < kUnreachableProbes &&
                         HasRecentHeartbeat(machine);
  const double now = clock_->Now();
  return in_service && schedulable && reachable && record_durable &&
         now >= machine.quarantined_until && now >= machine.insufficient_capacity_until;
}

bool FreeCapacity::HasRecentHeartbeat(const Machine& machine) const {
  const double max_age_s = std::max(tuning_->silent_after_s,
                                    settings_->heartbeat_interval_s * kRecentHeartbeatIntervals);
  return clock_->Now() - machine.last_heard_at < max_age_s;
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
  capacity.heartbeat_bytes = static_cast<double>(kHeartbeatTaskBytes);
  if (auto reserved = reserved_.find(machine_index); reserved != reserved_.end()) {
    capacity -= reserved->second;
  }
  capacity.fetching_images.clear();
  for (const TaskAttempt& attempt : machine.attempts) {
    // Exited attempts are listed until their exits are acknowledged.
    capacity.heartbeat_bytes -= HeartbeatBytes(attempt);
    const bool fetching = !attempt.reported || attempt.state == TaskState::kFetching;
    if (attempt.released || !attempt.wanted || attempt.job == kNoIndex || !fetching) continue;
    capacity.fetching_images.push_back((*job_store_)[attempt.job].image);
  }
}

void FreeCapacity::ReserveResources(MachineIndex machine_index, const Job& job) {
  reserved_[machine_index] += TaskResources(job);
  (*fleet_)[machine_index].capacity_stale = true;
}

void FreeCapacity::ReleaseReservation(MachineIndex machine_index, const Job& job) {
  auto it = reserved_.find(machine_index);
  if (it == reserved_.end()) return;
  Resources& reserved = it->second;
  reserved -= TaskResources(job);
  if (reserved.memory_gb < kResourceEpsilon && reserved.cores < kResourceEpsilon) {
    reserved_.erase(it);
  }
  (*fleet_)[machine_index].capacity_stale = true;
}

const MachineCapacity& FreeCapacity::Current(MachineIndex machine_index) {
  if (capacities_.size() <= machine_index) capacities_.resize(fleet_->size());
  const Machine& machine = (*fleet_)[machine_index];
  if (machine.capacity_stale) RebuildCapacity(machine_index);
  MachineCapacity& capacity = capacities_[machine_index];
  // Set each time, since the vector of machines may have been reallocated.
  capacity.cached_images = &machine.cached_images;
  capacity.usable = capacity.total_cores > 0 && IsUsable(machine);
  return capacity;
}

void FreeCapacity::Refresh() {
  ResolveTeams();
  const ServiceCores service_cores = SumCapacities();
  FindLargestReplica();
  headroom_ = ComputeHeadroom(service_cores);
  CountUsage();
}

void FreeCapacity::ResolveTeams() {
  if (teams_.size() >= job_store_->teams.size()) return;
  teams_.assign(job_store_->teams.size(), nullptr);
  for (const Team& team : settings_->teams) {
    const uint32_t team_index = job_store_->teams.Find(team.name);
    if (team_index != kNoIndex) teams_[team_index] = &team;
  }
}

FreeCapacity::ServiceCores FreeCapacity::SumCapacities() {
  capacities_.resize(fleet_->size());
  free_ordinary_ = free_spot_ = preemptible_reserve_ = total_cores_ = 0;
  ServiceCores service_cores;
  for (MachineIndex machine_index : fleet_->active()) {
    const Machine& machine = (*fleet_)[machine_index];
    const MachineCapacity& capacity = Current(machine_index);
    if (machine.up) total_cores_ += capacity.total_cores;
    service_cores.max_per_machine = std::max(service_cores.max_per_machine, machine.service_cores);
    service_cores.total += machine.service_cores;
    if (!capacity.usable) continue;
    (machine.spot ? free_spot_ : free_ordinary_) += std::max(0.0, capacity.cores);
    if (!machine.spot) preemptible_reserve_ += machine.preemptible_cores;
  }
  total_cores_ = std::max(total_cores_, 1.0);
  return service_cores;
}

void FreeCapacity::FindLargestReplica() {
  largest_replica_cores_ = largest_replica_memory_gb_ = 0;
  for (JobIndex job_index : job_store_->active_jobs()) {
    const Job& job = (*job_store_)[job_index];
    if (!job.spec.service) continue;
    largest_replica_cores_ = std::max(largest_replica_cores_, job.spec.cores);
    largest_replica_memory_gb_ = std::max(largest_replica_memory_gb_, job.spec.memory_gb);
  }
}

double FreeCapacity::ComputeHeadroom(const ServiceCores& service_cores) const {
  double min_boot_s = 0;
  for (const MachineType& type : provisioner_->types()) {
    min_boot_s = min_boot_s == 0 ? type.boot_s : std::min(min_boot_s, type.boot_s);
  }
  const double since_update_s =
      arrival_rate_updated_at_ < 0 ? 0 : clock_->Now() - arrival_rate_updated_at_;
  const double arrival_rate =
      arriving_service_cores_per_s_ * std::exp(-since_update_s / kArrivalAveragingSeconds);
  // The share of all services covers several simultaneous machine losses in a large fleet.
  return std::max(service_cores.max_per_machine * tuning_->headroom_machines,
                  service_cores.total * tuning_->headroom_share) +
         arrival_rate * min_boot_s * tuning_->headroom_boots + PartitionedServiceCores();
}

double FreeCapacity::PartitionedServiceCores() const {
  double cores = 0;
  if (std::find(partitioned_zones_.begin(), partitioned_zones_.end(), 1) ==
      partitioned_zones_.end()) {
    return cores;
  }
  for (MachineIndex machine_index : fleet_->active()) {
    const Machine& machine = (*fleet_)[machine_index];
    if (machine.partitioned) cores += machine.service_cores;
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

std::optional<ResourceUsage> FreeCapacity::UnreconciledCapacity() const {
  std::optional<ResourceUsage> sum;
  for (MachineIndex machine_index : fleet_->active()) {
    const Machine& machine = (*fleet_)[machine_index];
    if (!machine.may_run_former_attempts || machine.reconciled) continue;
    if (!sum) sum.emplace();
    const MachineType* type = provisioner_->TypeOf(machine.type);
    sum->cores += type == nullptr ? kUnlimited : type->cores;
    sum->gpus += type == nullptr ? kUnlimited : type->gpus;
  }
  return sum;
}

std::vector<ResourceUsage> FreeCapacity::UnreconciledUsage() const {
  std::vector<ResourceUsage> usage(job_store_->teams.size());
  auto add_jobs = [this, &usage](const std::vector<JobIndex>& jobs) {
    for (JobIndex job_index : jobs) {
      const Job& job = (*job_store_)[job_index];
      if (!job.has_spec || job.tasks_unreconciled == 0) continue;
      usage[job.team].cores += job.tasks_unreconciled * job.spec.cores;
      usage[job.team].gpus += job.tasks_unreconciled * job.spec.gpus;
    }
  };
  add_jobs(job_store_->active_jobs());
  add_jobs(job_store_->ended_jobs());
  return usage;
}

// A task that may still run on an unreconciled machine counts against its team's quota.
void FreeCapacity::CountUsage() {
  usage_ = fleet_->team_usage();
  usage_.resize(job_store_->teams.size());
  const std::optional<ResourceUsage> capacity = UnreconciledCapacity();
  if (!capacity) return;
  const std::vector<ResourceUsage> unreconciled = UnreconciledUsage();
  for (size_t team = 0; team < usage_.size(); ++team) {
    usage_[team].cores += std::min(unreconciled[team].cores, capacity->cores);
    usage_[team].gpus += std::min(unreconciled[team].gpus, capacity->gpus);
  }
}

bool FreeCapacity::HasTeamQuota(const Job& job, size_t tasks) const {
  const Team* team = TeamOf(job.team);
  if (team == nullptr) return false;
  const ResourceUsage& usage = usage_[job.team];
  const auto count = static_cast<double>(tasks);
  const double cores = usage.cores + count * job.spec.cores;
  if (team->cores_max > 0 && cores > team->cores_max + kResourceEpsilon) return false;
  return team->gpus_max <= 0 ||
         usage.gpus + count * job.spec.gpus <= team->gpus_max + kResourceEpsilon;
}

double FreeCapacity::TeamQuotaLeft(uint32_t team_index) const {
  const Team* team = TeamOf(team_index);
  if (team == nullptr || team->cores_max <= 0) return kUnlimited;
  return team->cores_max - usage_[team_index].cores;
}

std::optional<ZoneMask> FreeCapacity::AllowedZones(const Job& job,
                                                   const std::vector<uint32_t>& machines) const {
  if (!job.spec.single_zone && !job.spec.anti_affinity) return ZoneMask();
  if (job.tasks_unreconciled > 0) return std::nullopt;
  std::vector<uint32_t> tasks_in_zone(job_store_->zones.size(), 0);
  for (MachineIndex machine_index : machines) {
    const uint32_t zone = (*fleet_)[machine_index].zone;
    if (zone != kNoIndex) ++tasks_in_zone[zone];
  }
  // With anti-affinity, no zone may run more than half of the tasks, rounded up.
  const auto max_in_zone = static_cast<uint32_t>((job.tasks.size() + 1) / 2);
  ZoneMask allowed(job_store_->zones.size(), 1);
  for (size_t zone = 0; zone < allowed.size(); ++zone) {
    if (job.spec.anti_affinity && tasks_in_zone[zone] >= max_in_zone) allowed[zone] = 0;
    if (job.spec.single_zone && !machines.empty() && tasks_in_zone[zone] == 0) allowed[zone] = 0;
  }
  return allowed;
}

ResourceRequest FreeCapacity::RequestFor(const Job& job, const ZoneMask& zones,
                                         const std::vector<uint32_t>& sibling_machines) const {
  ResourceRequest request;
  request += TaskResources(job);
  request.allowed_types = job.allowed_types.empty() ? nullptr : &job.allowed_types;
  request.required_zone = job.required_zone;
  request.spot_tolerant = job.spec.spot_tolerant;
  request.service = job.spec.service;
  request.gang = job.spec.gang;
  // The service has no replica yet and has waited for long, as after a cold start.
  request.overdue = request.service && job.tasks_placed == 0 &&
                    clock_->Now() - job.waiting_since > tuning_->image_locality_wait_s;
  request.image = job.image;
  request.image_gb = job.spec.image_gb;
  request.failed_machines = job.failed_machines.empty() ? nullptr : &job.failed_machines;
  request.sibling_machines = sibling_machines.empty() ? nullptr : &sibling_machines;
  request.allowed_zones = zones.empty() ? nullptr : &zones;
  return request;
}

void FreeCapacity::Allocate(const Job& job, MachineIndex machine_index) {
  MachineCapacity& capacity = capacities_[machine_index];
  usage_[job.team].cores += job.spec.cores;
  usage_[job.team].gpus += job.spec.gpus;
  capacity -= TaskResources(job);
  capacity.fetching_images.push_back(job.image);
  (capacity.spot ? free_spot_ : free_ordinary_) -= job.spec.cores;
}

std::vector<uint32_t> FreeCapacity::MachinesWithFreeCores(double min_cores) const {
  std::vector<uint32_t> machines;
  for (MachineIndex machine_index : fleet_->active()) {
    const MachineCapacity& capacity = capacities_[machine_index];
    if (capacity.usable && capacity.cores + kResourceEpsilon >= min_cores) {
      machines.push_back(machine_index);
    }
  }
  return machines;
}

}  // namespace deckhall
