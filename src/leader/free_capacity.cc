#include "leader/free_capacity.h"

#include <algorithm>
#include <cmath>

namespace deckhall {
namespace {

constexpr double kEps = 1e-6;
constexpr double kNoLimit = 1e9;
constexpr double kRateMemory = 120;  // seconds over which arrivals are averaged

}  // namespace

FreeCapacity::FreeCapacity(JobStore* job_store, Fleet* fleet, Rentals* rentals,
                           RecordStore* record_store, const Clock* clock, const Settings* settings,
                           const Tuning* tuning)
    : job_store_(job_store),
      fleet_(fleet),
      rentals_(rentals),
      record_store_(record_store),
      clock_(clock),
      settings_(settings),
      tuning_(tuning) {}

const Team* FreeCapacity::TeamOf(uint32_t team) const {
  return team < teams_.size() ? teams_[team] : nullptr;
}

bool FreeCapacity::MayBeOn(const Job& job, const Machine& m) {
  if (m.spot && !job.spec.spot_tolerant) return false;
  if (job.required_zone != kNoIndex && m.zone != kNoIndex && job.required_zone != m.zone)
    return false;
  if (job.allowed_types.empty() || m.type == kNoIndex) return true;
  return m.type < job.allowed_types.size() && job.allowed_types[m.type] != 0;
}

bool FreeCapacity::Usable(const Machine& m) const {
  const double now = clock_->Now();
  // Reports alone are no proof that it hears: a machine whose commands get lost
  // would be given tasks again and again.
  return m.up && m.reconciled && !m.removed && !m.unschedulable && !m.cordoned && !m.partitioned &&
         m.unrenewed_since_wall < 0 && !m.scaling_in && m.preemption_at < 0 &&
         Fleet::HasAcknowledgedToken(m) && m.unreachable_count < 2 && m.record_id != kNoRecord &&
         !m.endpoint.empty() && record_store_->IsDurable(m.record_id) &&
         now >= m.quarantined_until && now >= m.no_room_until && HeardLately(m);
}

bool FreeCapacity::HeardLately(const Machine& m) const {
  const double most = std::max(tuning_->silent_after_s, settings_->heartbeat_interval_s * 1.6);
  return clock_->Now() - m.last_heard_at < most;
}

void FreeCapacity::Remake(MachineIndex mi) {
  Machine& m = (*fleet_)[mi];
  m.capacity_stale = false;
  ++steps;
  Node& n = nodes_[mi];
  n.machine = mi;
  n.type = m.type;
  n.zone = m.zone;
  n.spot = m.spot;
  if (const MachineType* type = rentals_->TypeOf(m.type)) {
    n.total_cores = type->cores;
    n.cores = type->cores - m.used_cores;
    n.gpus = type->gpus - m.used_gpus;
    n.memory_gb = type->memory_gb - m.used_memory_gb;
    n.fetch_gb_per_s = type->fetch_gb_per_s;
  } else {
    n.total_cores = n.cores = n.gpus = n.memory_gb = 0;
  }
  if (auto held = held_.find(mi); held != held_.end()) {
    n.cores -= held->second.cores;
    n.gpus -= held->second.gpus;
    n.memory_gb -= held->second.memory_gb;
  }
  n.coming.clear();
  for (const TaskAttempt& s : m.attempts) {
    if (s.released || !s.wanted || s.job == kNoIndex ||
        (s.reported && s.state != TaskState::kFetching)) {
      continue;
    }
    n.coming.push_back((*job_store_)[s.job].image);
  }
}

void FreeCapacity::HoldRoom(MachineIndex m, const Job& job) {
  Amounts& held = held_[m];
  held.cores += job.spec.cores;
  held.gpus += job.spec.gpus;
  held.memory_gb += job.spec.memory_gb;
  (*fleet_)[m].capacity_stale = true;
}

void FreeCapacity::ReleaseRoom(MachineIndex m, const Job& job) {
  auto it = held_.find(m);
  if (it == held_.end()) return;
  it->second.cores -= job.spec.cores;
  it->second.gpus -= job.spec.gpus;
  it->second.memory_gb -= job.spec.memory_gb;
  // Sums of decimal amounts end beside nothing.
  if (it->second.memory_gb < kEps && it->second.cores < kEps) held_.erase(it);
  (*fleet_)[m].capacity_stale = true;
}

const Node& FreeCapacity::Current(MachineIndex mi) {
  if (nodes_.size() <= mi) nodes_.resize(fleet_->size());
  const Machine& m = (*fleet_)[mi];
  if (m.capacity_stale) Remake(mi);
  Node& n = nodes_[mi];
  n.images = &m.cached_images;  // machines may have moved in memory
  n.usable = n.total_cores > 0 && Usable(m);
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
  nodes_.resize(fleet_->size());
  free_ordinary_ = free_spot_ = lent_reserve_ = capacity_ = 0;
  double most = 0;
  double services = 0;
  for (MachineIndex mi : fleet_->active()) {
    const Machine& m = (*fleet_)[mi];
    const Node& n = Current(mi);
    if (m.up) capacity_ += n.total_cores;
    most = std::max(most, m.service_cores);
    services += m.service_cores;
    if (!n.usable) continue;
    (m.spot ? free_spot_ : free_ordinary_) += std::max(0.0, n.cores);
    if (!m.spot) lent_reserve_ += m.preemptible_cores;
  }
  capacity_ = std::max(capacity_, 1.0);
  unit_cores_ = unit_memory_ = 0;
  for (JobIndex j : job_store_->active_jobs()) {
    const Job& job = (*job_store_)[j];
    if (!job.spec.service) continue;
    unit_cores_ = std::max(unit_cores_, job.spec.cores);
    unit_memory_ = std::max(unit_memory_, job.spec.memory_gb);
  }
  double boot = 0;
  for (const MachineType& t : rentals_->types()) {
    boot = boot == 0 ? t.boot_s : std::min(boot, t.boot_s);
  }
  const double since = rate_at_ < 0 ? 0 : clock_->Now() - rate_at_;
  const double rate = service_rate_ * std::exp(-since / kRateMemory);
  // On a large fleet more than one machine is lost together.
  headroom_ = std::max(most * tuning_->headroom_machines, services * tuning_->headroom_share) +
              rate * boot * tuning_->headroom_boots + Threatened();
  CountUse();
}

// What services use behind a cut. The room is there when the leases end.
double FreeCapacity::Threatened() const {
  double cores = 0;
  if (std::find(cut_.begin(), cut_.end(), 1) == cut_.end()) return cores;
  for (MachineIndex mi : fleet_->active()) {
    if ((*fleet_)[mi].partitioned) cores += (*fleet_)[mi].service_cores;
  }
  for (JobIndex j : job_store_->active_jobs()) {
    const Job& job = (*job_store_)[j];
    if (job.spec.service) cores += job.tasks_unreconciled * job.spec.cores;
  }
  return cores;
}

void FreeCapacity::ServiceArrived(const Job& job) {
  const double now = clock_->Now();
  if (rate_at_ < 0) rate_at_ = now;
  service_rate_ *= std::exp(-(now - rate_at_) / kRateMemory);
  rate_at_ = now;
  service_rate_ += job.spec.cores * job.spec.task_count / kRateMemory;
}

void FreeCapacity::CountUse() {
  use_ = fleet_->team_usage();
  use_.resize(job_store_->teams.size());
  ResourceUsage hidden;
  bool any_hidden = false;
  for (MachineIndex mi : fleet_->active()) {
    const Machine& m = (*fleet_)[mi];
    if (!m.may_run_former_attempts || m.reconciled) continue;
    any_hidden = true;
    const MachineType* type = rentals_->TypeOf(m.type);
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
  for (size_t t = 0; t < use_.size(); ++t) {
    use_[t].cores += std::min(unseen[t].cores, hidden.cores);
    use_[t].gpus += std::min(unseen[t].gpus, hidden.gpus);
  }
}

bool FreeCapacity::TeamRoom(const Job& job, size_t tasks) const {
  const Team* team = TeamOf(job.team);
  if (team == nullptr) return false;
  const ResourceUsage& use = use_[job.team];
  const auto count = static_cast<double>(tasks);
  const double cores = use.cores + count * job.spec.cores;
  if (team->cores_max > 0 && cores > team->cores_max + kEps) return false;
  return team->gpus_max <= 0 || use.gpus + count * job.spec.gpus <= team->gpus_max + kEps;
}

double FreeCapacity::TeamLeft(uint32_t team) const {
  const Team* t = TeamOf(team);
  return t != nullptr && t->cores_max > 0 ? t->cores_max - use_[team].cores : kNoLimit;
}

bool FreeCapacity::ZoneRoom(const Job& job, const std::vector<uint32_t>& on,
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

Need FreeCapacity::NeedOf(const Job& job, const std::vector<char>& zones,
                          const std::vector<uint32_t>& siblings) const {
  Need n;
  n.cores = job.spec.cores;
  n.gpus = job.spec.gpus;
  n.memory_gb = job.spec.memory_gb;
  n.types = job.allowed_types.empty() ? nullptr : &job.allowed_types;
  n.zone = job.required_zone;
  n.spot_ok = job.spec.spot_tolerant;
  n.service = job.spec.service;
  n.gang = job.spec.gang;
  // A replica that never ran and has waited for long, as at a cold start.
  n.patient =
      n.service && job.tasks_placed == 0 && clock_->Now() - job.waiting_since > tuning_->patient_s;
  n.image = job.image;
  n.image_gb = job.spec.image_gb;
  n.avoid = job.failed_machines.empty() ? nullptr : &job.failed_machines;
  n.siblings = siblings.empty() ? nullptr : &siblings;
  n.zones = zones.empty() ? nullptr : &zones;
  return n;
}

void FreeCapacity::Take(const Job& job, uint32_t node) {
  Node& n = nodes_[node];
  use_[job.team].cores += job.spec.cores;
  use_[job.team].gpus += job.spec.gpus;
  n.cores -= job.spec.cores;
  n.gpus -= job.spec.gpus;
  n.memory_gb -= job.spec.memory_gb;
  n.coming.push_back(job.image);
  (n.spot ? free_spot_ : free_ordinary_) -= job.spec.cores;
}

std::vector<uint32_t> FreeCapacity::Open(double least_cores) const {
  std::vector<uint32_t> open;
  for (MachineIndex mi : fleet_->active()) {
    const Node& n = nodes_[mi];
    if (n.usable && n.cores + kEps >= least_cores) open.push_back(mi);
  }
  return open;
}

}  // namespace deckhall
