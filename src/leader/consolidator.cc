#include "leader/consolidator.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <optional>

namespace deckhall {
namespace {

// One machine, and one more for each this many machines, may be consolidated at a time.
constexpr size_t kMachinesPerConsolidation = 64;
// A backlog below this share of all cores is normal fluctuation.
constexpr double kNegligibleBacklogShare = 0.01;
constexpr double kMinSecondsBetweenMoves = 0.5;
// When capacity is needed, consolidation of a machine is abandoned if no replica was moved for this
// long.
constexpr double kGiveUpAfterSeconds = 3;

}  // namespace

Consolidator::Consolidator(JobStore* job_store, Fleet* fleet, FreeCapacity* free_capacity,
                           const Provisioner* provisioner, const DisruptionLedger* ledger,
                           const Clock* clock, const Tuning* tuning)
    : job_store_(job_store),
      fleet_(fleet),
      free_capacity_(free_capacity),
      provisioner_(provisioner),
      ledger_(ledger),
      clock_(clock),
      tuning_(tuning) {}

void Consolidator::Consolidate() {
  const bool capacity_needed = IsCapacityNeeded();
  const std::vector<MachineIndex> consolidating = ConsolidatingMachines();
  ContinueOrGiveUp(consolidating, capacity_needed);
  if (!capacity_needed) StartConsolidations(consolidating.size());
}

bool Consolidator::IsCapacityNeeded() const {
  if (fleet_->CountUnreconciled() > 0 || provisioner_->HasPendingRequests()) return true;
  double waiting_cores = 0;
  for (JobIndex job_index : job_store_->active_jobs()) {
    const Job& job = (*job_store_)[job_index];
    if (job.spec.service && !job.waiting_tasks.empty()) return true;
    waiting_cores += job.spec.cores * static_cast<double>(job.waiting_tasks.size());
  }
  return waiting_cores > kNegligibleBacklogShare * free_capacity_->total_cores();
}

std::vector<MachineIndex> Consolidator::ConsolidatingMachines() const {
  std::vector<MachineIndex> machines;
  for (MachineIndex machine_index : fleet_->active()) {
    const Machine& machine = (*fleet_)[machine_index];
    if (machine.consolidating && !machine.scaling_in && !machine.cordoned) {
      machines.push_back(machine_index);
    }
  }
  return machines;
}

bool Consolidator::IsSettled(const Machine& machine, double now) const {
  return std::all_of(
      machine.attempts.begin(), machine.attempts.end(), [this, now](const TaskAttempt& attempt) {
        return attempt.released ||
               (attempt.wanted && attempt.job != kNoIndex && attempt.state == TaskState::kRunning &&
                now - attempt.launched_at > tuning_->settled_s);
      });
}

std::vector<Consolidator::Candidate> Consolidator::Candidates() const {
  const double now = clock_->Now();
  std::vector<Candidate> candidates;
  for (MachineIndex machine_index : fleet_->active()) {
    const Machine& machine = (*fleet_)[machine_index];
    if (machine.scaling_in || machine.cordoned || machine.consolidating || machine.spot) continue;
    if (!free_capacity_->capacities()[machine_index].usable) continue;
    if (now - machine.up_at <= tuning_->settled_s || !IsSettled(machine, now)) continue;
    candidates.push_back({machine.used_cores, machine_index});
  }
  std::sort(candidates.begin(), candidates.end());
  return candidates;
}

void Consolidator::ContinueOrGiveUp(const std::vector<MachineIndex>& machines,
                                    bool capacity_needed) {
  const double now = clock_->Now();
  for (MachineIndex machine_index : machines) {
    Machine& machine = (*fleet_)[machine_index];
    const double seconds_since_move = now - machine.last_move_at;
    if (capacity_needed && now - machine.consolidating_since > kGiveUpAfterSeconds &&
        seconds_since_move > kGiveUpAfterSeconds) {
      machine.consolidating = machine.unschedulable = false;
    } else if (!capacity_needed && seconds_since_move > kMinSecondsBetweenMoves) {
      MoveOneReplica(machine_index);
    }
  }
}

void Consolidator::StartConsolidations(size_t already_consolidating) {
  const size_t max_machines = 1 + fleet_->active().size() / kMachinesPerConsolidation;
  const double kept_cores = free_capacity_->headroom() * (1 + tuning_->consolidation_spare_share) +
                            free_capacity_->planned_cores();
  double free_cores = free_capacity_->free_ordinary();
  for (const Candidate& candidate : Candidates()) {
    if (already_consolidating >= max_machines) return;
    const double own_free_cores =
        std::max(0.0, free_capacity_->capacities()[candidate.machine].cores);
    const double free_elsewhere = free_cores - own_free_cores;
    if (free_elsewhere < candidate.used_cores + kept_cores) return;
    free_cores = free_elsewhere - candidate.used_cores;
    Machine& machine = (*fleet_)[candidate.machine];
    machine.consolidating = machine.unschedulable = true;
    machine.consolidating_since = clock_->Now();
    ++already_consolidating;
    spdlog::info("machine={} used_cores={} free_cores_elsewhere={}: consolidation started",
                 machine.name, candidate.used_cores, free_elsewhere);
  }
}

bool Consolidator::CanPlaceElsewhere(const Job& job, MachineIndex machine_index) const {
  std::vector<uint32_t> machines = job.machines;
  machines.erase(std::find(machines.begin(), machines.end(), machine_index));
  const std::optional<ZoneMask> zones = free_capacity_->AllowedZones(job, machines);
  if (!zones) return false;
  ResourceRequest request = free_capacity_->RequestFor(job, *zones, machines);
  request.overdue = false;
  request.cached_only = true;
  // The machine itself is unschedulable, so it is not among the candidates.
  const std::vector<uint32_t> candidates = free_capacity_->MachinesWithFreeCores(job.spec.cores);
  return BestFitQueue(&request, &free_capacity_->capacities(), candidates)
      .PopBest(true)
      .has_value();
}

void Consolidator::MoveOneReplica(MachineIndex machine_index) {
  Machine& machine = (*fleet_)[machine_index];
  for (TaskAttempt& attempt : machine.attempts) {
    if (attempt.released || !attempt.wanted || attempt.job == kNoIndex ||
        attempt.state != TaskState::kRunning) {
      continue;
    }
    const Job& job = (*job_store_)[attempt.job];
    // Tasks of arrays end by themselves. Of a service only one replica moves at a time.
    if (!job.spec.service || job.tasks_running < job.tasks.size()) continue;
    if (ledger_->BlockedFromEvicting(attempt.job)) continue;
    if (!CanPlaceElsewhere(job, machine_index)) continue;
    spdlog::info("task={} machine={}: replica stopped, to be moved for consolidation",
                 attempt.task_name, machine.name);
    fleet_->RequestStop(machine_index, &attempt, 0);
    machine.last_move_at = clock_->Now();
    fleet_->placement_needed = true;
    return;
  }
}

}  // namespace deckhall
