#include "leader/preemptor.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace deckhall {
namespace {

// Limits on the work of one pass. When the leases of a partitioned zone expire, many services need
// capacity at once.
constexpr int kMaxJobs = 24;
constexpr int kMaxArrays = 4;
constexpr size_t kMaxTasksPerJob = 32;
constexpr uint32_t kFailingJobFailures = 3;
// A task that can checkpoint within this time gets that time plus a margin before it is killed.
constexpr double kShortCheckpointSeconds = 5;
constexpr double kCheckpointMarginSeconds = 1;
constexpr double kMinTaskCores = 1e-3;

}  // namespace

void Preemptor::BeginServices() {
  claimed_.clear();
  jobs_considered_ = 0;
}

void Preemptor::BeginArrays() { jobs_considered_ = kMaxJobs - kMaxArrays; }

bool Preemptor::Exhausted() const { return jobs_considered_ >= kMaxJobs; }

bool Preemptor::MayPreempt(const Job& job) {
  if (!job.acknowledged || job.waiting_tasks.empty() || !free_capacity_->HasTeamQuota(job)) {
    return false;
  }
  if (clock_->Now() < job.backoff_until) return false;
  if (job.consecutive_failures >= kFailingJobFailures) return false;
  return ++jobs_considered_ <= kMaxJobs;
}

bool Preemptor::MayStop(const Job& job, const TaskAttempt& attempt) const {
  if (attempt.released || !attempt.wanted || attempt.job == kNoIndex || attempt.service) {
    return false;
  }
  const Job& other = (*job_store_)[attempt.job];
  if (other.spec.gang) return false;
  // An attempt that was placed by aging would never complete if the jobs that had starved it could
  // preempt it.
  if (attempt.placed_by_aging && !job.spec.service) return false;
  const Team* other_team = free_capacity_->TeamOf(other.team);
  const bool lower_priority = other.spec.priority < job.spec.priority;
  const bool beyond_guarantee =
      job.guaranteed && !other.guaranteed && other.team != job.team && other_team != nullptr &&
      free_capacity_->UsageOf(other.team).cores > other_team->guaranteed_cores + kResourceEpsilon;
  if (!lower_priority && !beyond_guarantee) return false;
  // The capacity freed from a better-ranked job would go back to that job.
  return job.spec.service || other.rank >= job.rank;
}

double Preemptor::LostCoreSeconds(const Job& job, const TaskAttempt& attempt, double now) {
  // An aborted image fetch counts as lost work too.
  const double started_at = attempt.running_since < 0 ? attempt.launched_at : attempt.running_since;
  const double run_s = now - started_at;
  const double lost = job.spec.checkpoint_interval_s > 0
                          ? std::min(run_s, job.spec.checkpoint_interval_s / 2)
                          : run_s;
  return attempt.cores * lost;
}

double Preemptor::ChooseVictims(const Job& job, const Machine& machine, MachineCapacity* capacity,
                                std::vector<size_t>* chosen) const {
  const double now = clock_->Now();
  std::vector<std::pair<double, size_t>> candidates;  // lost core-seconds, position
  for (size_t i = 0; i < machine.attempts.size(); ++i) {
    const TaskAttempt& attempt = machine.attempts[i];
    if (!MayStop(job, attempt)) continue;
    if (std::find(chosen->begin(), chosen->end(), i) != chosen->end()) continue;
    candidates.emplace_back(LostCoreSeconds((*job_store_)[attempt.job], attempt, now), i);
  }
  std::sort(candidates.begin(), candidates.end());
  ResourceRequest request;
  request += TaskResources(job);
  double lost_core_seconds = 0;
  for (const auto& [attempt_loss, position] : candidates) {
    if (Fits(request, *capacity)) break;
    *capacity += AttemptResources(machine.attempts[position]);
    lost_core_seconds += attempt_loss;
    chosen->push_back(position);
  }
  return Fits(request, *capacity) ? lost_core_seconds : -1;
}

MachineCapacity Preemptor::FutureCapacity(MachineIndex machine_index) const {
  MachineCapacity capacity;
  capacity += free_capacity_->capacities()[machine_index];
  for (const TaskAttempt& attempt : (*fleet_)[machine_index].attempts) {
    if (!attempt.released && !attempt.wanted) capacity += AttemptResources(attempt);
  }
  auto claimed = claimed_.find(machine_index);
  if (claimed != claimed_.end()) capacity -= claimed->second;
  return capacity;
}

bool Preemptor::HasImage(const Job& job, const Machine& machine) {
  return std::find(machine.cached_images.begin(), machine.cached_images.end(), job.image) !=
         machine.cached_images.end();
}

void Preemptor::Claim(MachineIndex machine_index, const ResourceRequest& request) {
  claimed_[machine_index] += request;
}

bool Preemptor::IsWithinBudgets(const Job& job, const std::vector<VictimSet>& victim_sets) const {
  if (job.guaranteed || !ledger_->active()) return true;
  std::vector<JobIndex> tasks;
  for (const VictimSet& victim_set : victim_sets) {
    for (size_t position : victim_set.attempts) {
      tasks.push_back((*fleet_)[victim_set.machine].attempts[position].job);
    }
  }
  return !ledger_->BlockedFromStopping(tasks);
}

void Preemptor::Stop(const Job& job, const VictimSet& victim_set) {
  Machine& machine = (*fleet_)[victim_set.machine];
  for (size_t position : victim_set.attempts) {
    TaskAttempt& attempt = machine.attempts[position];
    const JobSpec& spec = (*job_store_)[attempt.job].spec;
    spdlog::info("task={} machine={} preempted_by={}: preempted ({})", attempt.task_name,
                 machine.name, job.id, job.guaranteed ? "guarantee" : "higher priority");
    const bool checkpoints =
        spec.checkpoint_interval_s > 0 && spec.checkpoint_grace_s <= kShortCheckpointSeconds;
    const double grace_period_s =
        checkpoints ? spec.checkpoint_grace_s + kCheckpointMarginSeconds : 0;
    fleet_->RequestStop(victim_set.machine, &attempt, grace_period_s);
  }
}

bool Preemptor::IsCandidate(const Job& job, const ResourceRequest& request,
                            const PreemptionRequest& preemption, MachineIndex machine_index) const {
  const MachineCapacity& capacity = free_capacity_->capacities()[machine_index];
  if (!capacity.usable ||
      !SatisfiesConstraints(request, capacity.type, capacity.zone, capacity.spot)) {
    return false;
  }
  if (!preemption.allow_ordinary_machines && !capacity.spot) return false;
  ++free_capacity_->work_units;
  return !preemption.cached_image_only || HasImage(job, (*fleet_)[machine_index]);
}

size_t Preemptor::PreemptForTasks(const PreemptionRequest& preemption) {
  const Job& job = (*job_store_)[preemption.job];
  if (!MayPreempt(job)) return 0;
  const std::optional<ZoneMask> zones = free_capacity_->AllowedZones(job, job.machines);
  if (!zones) return 0;
  const ResourceRequest request = free_capacity_->RequestFor(job, *zones, job.machines);
  const double quota_tasks = std::max(
      0.0, free_capacity_->TeamQuotaLeft(job.team) / std::max(job.spec.cores, kMinTaskCores));
  const size_t wanted = std::min({job.waiting_tasks.size(), kMaxTasksPerJob,
                                  preemption.max_task_count, static_cast<size_t>(quota_tasks)});
  size_t missing = wanted;
  std::vector<VictimSet> victim_sets;
  for (MachineIndex machine_index : fleet_->active()) {
    if (missing == 0) return wanted;
    if (!IsCandidate(job, request, preemption, machine_index)) continue;
    const Machine& machine = (*fleet_)[machine_index];
    const double claimable_cores =
        machine.preemptible_cores + free_capacity_->capacities()[machine_index].cores;
    if (job.spec.service && claimable_cores + kResourceEpsilon < job.spec.cores) continue;
    MachineCapacity capacity = FutureCapacity(machine_index);
    if (Fits(request, capacity)) {
      Claim(machine_index, request);
      --missing;
      continue;
    }
    VictimSet victim_set;
    victim_set.machine = machine_index;
    victim_set.lost_core_seconds = ChooseVictims(job, machine, &capacity, &victim_set.attempts);
    if (victim_set.lost_core_seconds >= 0 &&
        victim_set.lost_core_seconds <= preemption.max_lost_core_seconds) {
      victim_sets.push_back(std::move(victim_set));
    }
  }
  std::stable_sort(victim_sets.begin(), victim_sets.end(),
                   [](const VictimSet& a, const VictimSet& b) {
                     return a.lost_core_seconds < b.lost_core_seconds;
                   });
  for (const VictimSet& victim_set : victim_sets) {
    if (missing == 0) break;
    if (!IsWithinBudgets(job, {victim_set})) continue;
    --missing;
    Claim(victim_set.machine, request);
    Stop(job, victim_set);
  }
  return wanted - missing;
}

void Preemptor::AddVictimSets(const Job& job, const ResourceRequest& request,
                              MachineIndex machine_index,
                              std::vector<VictimSet>* victim_sets) const {
  const Machine& machine = (*fleet_)[machine_index];
  MachineCapacity capacity = FutureCapacity(machine_index);
  std::vector<size_t> chosen;
  for (size_t task = 0; task < job.waiting_tasks.size(); ++task) {
    const size_t chosen_before = chosen.size();
    const double lost_core_seconds = ChooseVictims(job, machine, &capacity, &chosen);
    if (lost_core_seconds < 0) return;
    VictimSet victim_set;
    victim_set.lost_core_seconds = lost_core_seconds;
    victim_set.machine = machine_index;
    victim_set.attempts.assign(chosen.begin() + static_cast<ptrdiff_t>(chosen_before),
                               chosen.end());
    victim_sets->push_back(std::move(victim_set));
    capacity -= request;
  }
}

std::vector<Preemptor::VictimSet> Preemptor::ChooseGangVictims(const Job& job,
                                                               const PreemptionRequest& preemption,
                                                               const ZoneMask& zones) const {
  const ResourceRequest request = free_capacity_->RequestFor(job, zones, {});
  const size_t task_count = job.waiting_tasks.size();
  PreemptionRequest with_ordinary_machines = preemption;
  with_ordinary_machines.allow_ordinary_machines = true;
  std::vector<VictimSet> victim_sets;
  for (MachineIndex machine_index : fleet_->active()) {
    if (!IsCandidate(job, request, with_ordinary_machines, machine_index)) continue;
    AddVictimSets(job, request, machine_index, &victim_sets);
  }
  if (victim_sets.size() < task_count) return {};
  std::stable_sort(victim_sets.begin(), victim_sets.end(),
                   [](const VictimSet& a, const VictimSet& b) {
                     return a.lost_core_seconds < b.lost_core_seconds;
                   });
  victim_sets.resize(task_count);
  if (victim_sets.back().lost_core_seconds > preemption.max_lost_core_seconds) return {};
  if (!IsWithinBudgets(job, victim_sets)) return {};
  return victim_sets;
}

std::vector<MachineIndex> Preemptor::PreemptForGang(const PreemptionRequest& preemption,
                                                    const std::vector<ZoneMask>& zone_masks) {
  const Job& job = (*job_store_)[preemption.job];
  if (job.waiting_tasks.size() > kMaxTasksPerJob || !MayPreempt(job)) return {};
  std::vector<VictimSet> best;
  double min_lost_core_seconds = 0;
  for (const ZoneMask& zones : zone_masks) {
    std::vector<VictimSet> victim_sets = ChooseGangVictims(job, preemption, zones);
    if (victim_sets.empty()) continue;
    double lost_core_seconds = 0;
    for (const VictimSet& victim_set : victim_sets)
      lost_core_seconds += victim_set.lost_core_seconds;
    if (best.empty() || lost_core_seconds < min_lost_core_seconds) {
      best = std::move(victim_sets);
      min_lost_core_seconds = lost_core_seconds;
    }
  }
  std::vector<MachineIndex> machines;
  const ResourceRequest request = free_capacity_->RequestFor(job, {}, {});
  for (const VictimSet& victim_set : best) {
    Claim(victim_set.machine, request);
    Stop(job, victim_set);
    machines.push_back(victim_set.machine);
  }
  return machines;
}

}  // namespace deckhall
