#include "leader/preemptor.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace deckhall {
namespace {

// Bounds on the work of one pass. When the leases of a partitioned zone expire, many services need
// room at once.
constexpr int kMaxJobs = 24;
constexpr int kMaxArrays = 4;
constexpr size_t kMaxPlaces = 32;
constexpr uint32_t kFailingJobFailures = 3;
// A task that writes its checkpoint within this time is given it, and a margin.
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
  // A starved job got this place by aging: preempted by the jobs that starved it, it would never
  // end.
  if (attempt.placed_by_aging && !job.spec.service) return false;
  const Team* other_team = free_capacity_->TeamOf(other.team);
  const bool lower_priority = other.spec.priority < job.spec.priority;
  const bool beyond_guarantee =
      job.guaranteed && !other.guaranteed && other.team != job.team && other_team != nullptr &&
      free_capacity_->UsageOf(other.team).cores > other_team->guaranteed_cores + kResourceEpsilon;
  if (!lower_priority && !beyond_guarantee) return false;
  // A better-ranked job would take the freed room again.
  return job.spec.service || other.rank >= job.rank;
}

double Preemptor::LostWork(const Job& job, const TaskAttempt& attempt, double now) {
  // A fetch that is given up is lost like a run.
  const double started_at = attempt.running_since < 0 ? attempt.launched_at : attempt.running_since;
  const double ran = now - started_at;
  const double lost =
      job.spec.checkpoint_interval_s > 0 ? std::min(ran, job.spec.checkpoint_interval_s / 2) : ran;
  return attempt.cores * lost;
}

double Preemptor::ChooseAttempts(const Job& job, const Machine& machine, MachineCapacity* capacity,
                                 std::vector<size_t>* chosen) const {
  const double now = clock_->Now();
  std::vector<std::pair<double, size_t>> victims;  // lost work, position
  for (size_t i = 0; i < machine.attempts.size(); ++i) {
    const TaskAttempt& attempt = machine.attempts[i];
    if (!MayStop(job, attempt)) continue;
    if (std::find(chosen->begin(), chosen->end(), i) != chosen->end()) continue;
    victims.emplace_back(LostWork((*job_store_)[attempt.job], attempt, now), i);
  }
  std::sort(victims.begin(), victims.end());
  ResourceRequest request;
  request += TaskResources(job);
  double loss = 0;
  for (const auto& [lost_work, position] : victims) {
    if (Fits(request, *capacity)) break;
    *capacity += AttemptResources(machine.attempts[position]);
    loss += lost_work;
    chosen->push_back(position);
  }
  return Fits(request, *capacity) ? loss : -1;
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

bool Preemptor::IsWithinBudgets(const Job& job, const std::vector<Choice>& choices) const {
  if (job.guaranteed || !ledger_->active()) return true;
  std::vector<JobIndex> tasks;
  for (const Choice& choice : choices) {
    for (size_t position : choice.attempts) {
      tasks.push_back((*fleet_)[choice.machine].attempts[position].job);
    }
  }
  return !ledger_->BlockedFromStopping(tasks);
}

void Preemptor::Stop(const Job& job, const Choice& choice) {
  Machine& machine = (*fleet_)[choice.machine];
  for (size_t position : choice.attempts) {
    TaskAttempt& attempt = machine.attempts[position];
    const JobSpec& spec = (*job_store_)[attempt.job].spec;
    spdlog::info("task={} machine={} preempted_by={}: preempted ({})", attempt.task_name,
                 machine.name, job.id, job.guaranteed ? "guarantee" : "higher priority");
    const bool checkpoints =
        spec.checkpoint_interval_s > 0 && spec.checkpoint_grace_s <= kShortCheckpointSeconds;
    const double grace_period_s =
        checkpoints ? spec.checkpoint_grace_s + kCheckpointMarginSeconds : 0;
    fleet_->RequestStop(choice.machine, &attempt, grace_period_s);
  }
}

bool Preemptor::IsCandidate(const Job& job, const ResourceRequest& request, const RoomRequest& room,
                            MachineIndex machine_index) const {
  const MachineCapacity& capacity = free_capacity_->capacities()[machine_index];
  if (!capacity.usable ||
      !SatisfiesConstraints(request, capacity.type, capacity.zone, capacity.spot)) {
    return false;
  }
  if (!room.allow_ordinary_machines && !capacity.spot) return false;
  ++free_capacity_->work_units;
  return !room.cached_image_only || HasImage(job, (*fleet_)[machine_index]);
}

size_t Preemptor::MakeRoom(const RoomRequest& room) {
  const Job& job = (*job_store_)[room.job];
  if (!MayPreempt(job)) return 0;
  const std::optional<ZoneMask> zones = free_capacity_->AllowedZones(job, job.machines);
  if (!zones) return 0;
  const ResourceRequest request = free_capacity_->RequestFor(job, *zones, job.machines);
  const double quota_places = std::max(
      0.0, free_capacity_->TeamQuotaLeft(job.team) / std::max(job.spec.cores, kMinTaskCores));
  const size_t wanted = std::min(
      {job.waiting_tasks.size(), kMaxPlaces, room.max_places, static_cast<size_t>(quota_places)});
  size_t missing = wanted;
  std::vector<Choice> choices;
  for (MachineIndex machine_index : fleet_->active()) {
    if (missing == 0) return wanted;
    if (!IsCandidate(job, request, room, machine_index)) continue;
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
    Choice choice;
    choice.machine = machine_index;
    choice.loss = ChooseAttempts(job, machine, &capacity, &choice.attempts);
    if (choice.loss >= 0 && choice.loss <= room.max_loss_per_place) {
      choices.push_back(std::move(choice));
    }
  }
  std::stable_sort(choices.begin(), choices.end(),
                   [](const Choice& a, const Choice& b) { return a.loss < b.loss; });
  for (const Choice& choice : choices) {
    if (missing == 0) break;
    if (!IsWithinBudgets(job, {choice})) continue;
    --missing;
    Claim(choice.machine, request);
    Stop(job, choice);
  }
  return wanted - missing;
}

void Preemptor::AddChoices(const Job& job, const ResourceRequest& request,
                           MachineIndex machine_index, std::vector<Choice>* choices) const {
  const Machine& machine = (*fleet_)[machine_index];
  MachineCapacity capacity = FutureCapacity(machine_index);
  std::vector<size_t> chosen;
  for (size_t place = 0; place < job.waiting_tasks.size(); ++place) {
    const size_t chosen_before = chosen.size();
    const double loss = ChooseAttempts(job, machine, &capacity, &chosen);
    if (loss < 0) return;
    Choice choice;
    choice.loss = loss;
    choice.machine = machine_index;
    choice.attempts.assign(chosen.begin() + static_cast<ptrdiff_t>(chosen_before), chosen.end());
    choices->push_back(std::move(choice));
    capacity -= request;
  }
}

std::vector<Preemptor::Choice> Preemptor::ChooseGangRoom(const Job& job, const RoomRequest& room,
                                                         const ZoneMask& zones) const {
  const ResourceRequest request = free_capacity_->RequestFor(job, zones, {});
  const size_t task_count = job.waiting_tasks.size();
  RoomRequest on_any_kind = room;
  on_any_kind.allow_ordinary_machines = true;
  std::vector<Choice> choices;
  for (MachineIndex machine_index : fleet_->active()) {
    if (!IsCandidate(job, request, on_any_kind, machine_index)) continue;
    AddChoices(job, request, machine_index, &choices);
  }
  if (choices.size() < task_count) return {};
  std::stable_sort(choices.begin(), choices.end(),
                   [](const Choice& a, const Choice& b) { return a.loss < b.loss; });
  choices.resize(task_count);
  if (choices.back().loss > room.max_loss_per_place) return {};
  if (!IsWithinBudgets(job, choices)) return {};
  return choices;
}

std::vector<MachineIndex> Preemptor::MakeGangRoom(const RoomRequest& room,
                                                  const std::vector<ZoneMask>& zone_masks) {
  const Job& job = (*job_store_)[room.job];
  if (job.waiting_tasks.size() > kMaxPlaces || !MayPreempt(job)) return {};
  std::vector<Choice> best;
  double least_loss = 0;
  for (const ZoneMask& zones : zone_masks) {
    std::vector<Choice> choices = ChooseGangRoom(job, room, zones);
    if (choices.empty()) continue;
    double loss = 0;
    for (const Choice& choice : choices) loss += choice.loss;
    if (best.empty() || loss < least_loss) {
      best = std::move(choices);
      least_loss = loss;
    }
  }
  std::vector<MachineIndex> machines;
  const ResourceRequest request = free_capacity_->RequestFor(job, {}, {});
  for (const Choice& choice : best) {
    Claim(choice.machine, request);
    Stop(job, choice);
    machines.push_back(choice.machine);
  }
  return machines;
}

}  // namespace deckhall
