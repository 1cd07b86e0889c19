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

const Team* FreeCapacity::TeamOf(uint32_t team) const {
  return team < teams_.size() ? teams_[team] : nullptr;
}

bool FreeCapacity::MayRunOn(const Job& job, const Machine& m) {
  if (m.spot && !job.spec.spot_tolerant) return false;
  if (job.required_zone != kNoIndex && m.zone != kNoIndex && job.required_zone != m.zone)
    return false;
  if (job.allowed_types.empty() || m.type == kNoIndex) return true;
  return m.type < job.allowed_types.size() && job.allowed_types[m.type] != 0;
}

bool FreeCapacity::IsUsable(const Machine& m) const {
  const double now = clock_->Now();
  // Reports alone are no proof that it hears: a machine whose commands get lost
  // would be given tasks again and again.
  return m.up && m.reconciled && !m.removed && !m.unschedulable && !m.cordoned && !m.partitioned &&
         m.unrenewed_since_wall < 0 && !m.scaling_in && m.preemption_at < 0 &&
         Fleet::HasAcknowledgedToken(m) && m.unreachable_count < 2 && m.record_id != kNoRecord &&
         !m.endpoint.empty() && record_store_->IsDurable(m.record_id) &&
         now >= m.quarantined_until && now >= m.no_room_until && IsHeardRecently(m);
}

bool FreeCapacity::IsHeardRecently(const Machine& m) const {
  const double most = std::max(tuning_->silent_after_s, settings_->heartbeat_interval_s * 1.6);
  return clock_->Now() - m.last_heard_at < most;
}

void FreeCapacity::RebuildCapacity(MachineIndex mi) {
  Machine& m = (*fleet_)[mi];
  m.capacity_stale = false;
  ++work_units;
  MachineCapacity& n = capacities_[mi];
  n.machine = mi;
  n.type = m.type;
  n.zone = m.zone;
  n.spot = m.spot;
  if (const MachineType* type = provisioner_->TypeOf(m.type)) {
    n.total_cores = type->cores;
    n.cores = type->cores - m.used_cores;
    n.gpus = type->gpus - m.used_gpus;
    n.memory_gb = type->memory_gb - m.used_memory_gb;
    n.fetch_gb_per_s = type->fetch_gb_per_s;
  } else {
    n.total_cores = n.cores = n.gpus = n.memory_gb = 0;
  }
  if (auto held = reserved_.find(mi); held != reserved_.end()) {
    n.cores -= held->second.cores;
    n.gpus -= held->second.gpus;
    n.memory_gb -= held->second.memory_gb;
  }
  n.fetching_images.clear();
  for (const TaskAttempt& s : m.attempts) {
    if (s.released || !s.wanted || s.job == kNoIndex ||
        (s.reported && s.state != TaskState::kFetching)) {
      continue;
    }
    n.fetching_images.push_back((*job_store_)[s.job].image);
  }
}

void FreeCapacity::ReserveRoom(MachineIndex m, const Job& job) {
  Resources& held = reserved_[m];
  held.cores += job.spec.cores;
  held.gpus += job.spec.gpus;
  held.memory_gb += job.spec.memory_gb;
  (*fleet_)[m].capacity_stale = true;
}

void FreeCapacity::ReleaseRoom(MachineIndex m, const Job& job) {
  auto it = reserved_.find(m);
  if (it == reserved_.end()) return;
  it->second.cores -= job.spec.cores;
  it->second.gpus -= job.spec.gpus;
  it->second.memory_gb -= job.spec.memory_gb;
  // Sums of decimal amounts end beside nothing.
  if (it->second.memory_gb < kEps && it->second.cores < kEps) reserved_.erase(it);
  (*fleet_)[m].capacity_stale = true;
}

const MachineCapacity& FreeCapacity::Current(MachineIndex mi) {
  if (capacities_.size() <= mi) capacities_.resize(fleet_->size());
  const Machine& m = (*fleet_)[mi];
  if (m.capacity_stale) RebuildCapacity(mi);
  MachineCapacity& n = capacities_[mi];
  n.cached_images = &m.cached_images;  // machines may have moved in memory
  n.usable = n.total_cores > 0 && IsUsable(m);
  return n;
}

void FreeCapacity::Refresh() {
  if (teams_.size() < job_store_->teams.size()) {
    teams_.assign(job_store_->teams.size(), nullptr);
    for (const Team& t : settings_->teams) {
      const uint32_t at = job_store_->teams.Find(t.name);
      if (at != kNoIndex) teams_[at] = &t;
    }
  }
  capacities_.resize(fleet_->size());
  free_ordinary_ = free_spot_ = preemptible_reserve_ = total_cores_ = 0;
  double most = 0;
  double services = 0;
  for (MachineIndex mi : fleet_->active()) {
    const Machine& m = (*fleet_)[mi];
    const MachineCapacity& n = Current(mi);
    if (m.up) total_cores_ += n.total_cores;
    most = std::max(most, m.service_cores);
    services += m.service_cores;
    if (!n.usable) continue;
    (m.spot ? free_spot_ : free_ordinary_) += std::max(0.0, n.cores);
    if (!m.spot) preemptible_reserve_ += m.preemptible_cores;
  }
  total_cores_ = std::max(total_cores_, 1.0);
  largest_replica_cores_ = largest_replica_memory_gb_ = 0;
  for (JobIndex j : job_store_->active_jobs()) {
    const Job& job = (*job_store_)[j];
    if (!job.spec.service) continue;
    largest_replica_cores_ = std::max(largest_replica_cores_, job.spec.cores);
    largest_replica_memory_gb_ = std::max(largest_replica_memory_gb_, job.spec.memory_gb);
  }
  double boot = 0;
  for (const MachineType& t : provisioner_->types()) {
    boot = boot == 0 ? t.boot_s : std::min(boot, t.boot_s);
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
  for (MachineIndex mi : fleet_->active()) {
    if ((*fleet_)[mi].partitioned) cores += (*fleet_)[mi].service_cores;
  }
  for (JobIndex j : job_store_->active_jobs()) {
    const Job& job = (*job_store_)[j];
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
  for (MachineIndex mi : fleet_->active()) {
    const Machine& m = (*fleet_)[mi];
    if (!m.may_run_former_attempts || m.reconciled) continue;
    any_hidden = true;
    const MachineType* type = provisioner_->TypeOf(m.type);
    hidden.cores += type == nullptr ? kNoLimit : type->cores;
    hidden.gpus += type == nullptr ? kNoLimit : type->gpus;
  }
  if (!any_hidden) return;
  // Tasks that may be on machines not accounted for count against their team.
  std::vector<ResourceUsage> unseen(job_store_->teams.size());
  auto add = [this, &unseen](const std::vector<JobIndex>& list) {
    for (JobIndex j : list) {
      const Job& job = (*job_store_)[j];
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
  const ResourceUsage& use = usage_[job.team];
  const auto count = static_cast<double>(tasks);
  const double cores = use.cores + count * job.spec.cores;
  if (team->cores_max > 0 && cores > team->cores_max + kEps) return false;
  return team->gpus_max <= 0 || use.gpus + count * job.spec.gpus <= team->gpus_max + kEps;
}

double FreeCapacity::TeamQuotaLeft(uint32_t team) const {
  const Team* t = TeamOf(team);
  return t != nullptr && t->cores_max > 0 ? t->cores_max - usage_[team].cores : kNoLimit;
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
  ResourceRequest n;
  n.cores = job.spec.cores;
  n.gpus = job.spec.gpus;
  n.memory_gb = job.spec.memory_gb;
  n.allowed_types = job.allowed_types.empty() ? nullptr : &job.allowed_types;
  n.required_zone = job.required_zone;
  n.spot_tolerant = job.spec.spot_tolerant;
  n.service = job.spec.service;
  n.gang = job.spec.gang;
  // A replica that never ran and has waited for long, as at a cold start.
  n.overdue =
      n.service && job.tasks_placed == 0 && clock_->Now() - job.waiting_since > tuning_->patient_s;
  n.image = job.image;
  n.image_gb = job.spec.image_gb;
  n.failed_machines = job.failed_machines.empty() ? nullptr : &job.failed_machines;
  n.sibling_machines = siblings.empty() ? nullptr : &siblings;
  n.allowed_zones = zones.empty() ? nullptr : &zones;
  return n;
}

void FreeCapacity::Allocate(const Job& job, uint32_t node) {
  MachineCapacity& n = capacities_[node];
  usage_[job.team].cores += job.spec.cores;
  usage_[job.team].gpus += job.spec.gpus;
  n.cores -= job.spec.cores;
  n.gpus -= job.spec.gpus;
  n.memory_gb -= job.spec.memory_gb;
  n.fetching_images.push_back(job.image);
  (n.spot ? free_spot_ : free_ordinary_) -= job.spec.cores;
}

std::vector<uint32_t> FreeCapacity::MachinesWithRoom(double least_cores) const {
  std::vector<uint32_t> open;
  for (MachineIndex mi : fleet_->active()) {
    const MachineCapacity& n = capacities_[mi];
    if (n.usable && n.cores + kEps >= least_cores) open.push_back(mi);
  }
  return open;
}

}  // namespace deckhall
