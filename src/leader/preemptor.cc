#include "leader/preemptor.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace deckhall {
namespace {

constexpr double kEps = 1e-6;
// Jobs for which one pass looks for tasks to stop, arrays among them, and tasks of one
// job. When a zone's leases end, many services need room at once.
constexpr int kMostJobs = 24;
constexpr int kMostArrays = 4;
constexpr size_t kMostPlaces = 32;
// A task that saves within this time is given it.
constexpr double kShortSave = 5;

void Subtract(MachineCapacity* capacity, double cores, double gpus, double memory_gb) {
  capacity->cores -= cores;
  capacity->gpus -= gpus;
  capacity->memory_gb -= memory_gb;
}

}  // namespace

void Preemptor::BeginServices() {
  claimed_.clear();
  jobs_considered_ = 0;
}

void Preemptor::BeginArrays() { jobs_considered_ = kMostJobs - kMostArrays; }

bool Preemptor::Exhausted() const { return jobs_considered_ >= kMostJobs; }

bool Preemptor::MayPreempt(const Job& job) {
  if (!job.acknowledged || job.waiting_tasks.empty() || !free_capacity_->HasTeamQuota(job))
    return false;
  if (clock_->Now() < job.backoff_until || job.consecutive_failures >= 3) return false;
  return ++jobs_considered_ <= kMostJobs;
}

bool Preemptor::MayStop(const Job& job, const TaskAttempt& attempt) const {
  if (attempt.released || !attempt.wanted || attempt.job == kNoIndex || attempt.service)
    return false;
  const Job& other = (*job_store_)[attempt.job];
  if (other.spec.gang) return false;
  // It went first once because others always did: stopped for one of those, its place
  // would go to the next that was passed over, and nothing would ever end.
  if (attempt.placed_by_aging && !job.spec.service) return false;
  const Team* theirs = free_capacity_->TeamOf(other.team);
  const bool lower = other.spec.priority < job.spec.priority;
  const bool beyond = job.guaranteed && !other.guaranteed && other.team != job.team &&
                      theirs != nullptr &&
                      free_capacity_->UsageOf(other.team).cores > theirs->cores + kEps;
  if (!lower && !beyond) return false;
  // What is ranked before it would take the freed room again: stopped and placed
  // anew without end.
  return job.spec.service || other.rank >= job.rank;
}

double Preemptor::PreemptionLoss(const Job& job, const Machine& machine, MachineCapacity* capacity,
                                 std::vector<size_t>* chosen) const {
  const double now = clock_->Now();
  std::vector<std::pair<double, size_t>> victims;
  for (size_t i = 0; i < machine.attempts.size(); ++i) {
    const TaskAttempt& attempt = machine.attempts[i];
    if (!MayStop(job, attempt)) continue;
    if (std::find(chosen->begin(), chosen->end(), i) != chosen->end()) continue;
    const Job& other = (*job_store_)[attempt.job];
    // A fetch given up is lost like a run.
    const double ran =
        now - (attempt.running_since < 0 ? attempt.launched_at : attempt.running_since);
    const double lost = other.spec.checkpoint_interval_s > 0
                            ? std::min(ran, other.spec.checkpoint_interval_s / 2)
                            : ran;
    victims.emplace_back(attempt.cores * lost, i);
  }
  std::sort(victims.begin(), victims.end());
  ResourceRequest request;
  request.cores = job.spec.cores;
  request.gpus = job.spec.gpus;
  request.memory_gb = job.spec.memory_gb;
  double loss = 0;
  for (const auto& [cost, i] : victims) {
    if (Fits(request, *capacity)) break;
    const TaskAttempt& attempt = machine.attempts[i];
    Subtract(capacity, -attempt.cores, -attempt.gpus, -attempt.memory_gb);
    loss += cost;
    chosen->push_back(i);
  }
  return Fits(request, *capacity) ? loss : -1;
}

MachineCapacity Preemptor::FutureCapacity(MachineIndex machine_index) const {
  const MachineCapacity& room = free_capacity_->capacities()[machine_index];
  MachineCapacity capacity;
  capacity.cores = room.cores;
  capacity.gpus = room.gpus;
  capacity.memory_gb = room.memory_gb;
  for (const TaskAttempt& attempt : (*fleet_)[machine_index].attempts) {
    if (!attempt.released && !attempt.wanted)
      Subtract(&capacity, -attempt.cores, -attempt.gpus, -attempt.memory_gb);
  }
  auto claim = claimed_.find(machine_index);
  if (claim != claimed_.end()) {
    Subtract(&capacity, claim->second.cores, claim->second.gpus, claim->second.memory_gb);
  }
  return capacity;
}

bool Preemptor::HasImage(const Job& job, const Machine& machine) const {
  return std::find(machine.cached_images.begin(), machine.cached_images.end(), job.image) !=
         machine.cached_images.end();
}

void Preemptor::Claim(MachineIndex machine_index, const ResourceRequest& request) {
  Resources& claim = claimed_[machine_index];
  claim.cores += request.cores;
  claim.gpus += request.gpus;
  claim.memory_gb += request.memory_gb;
}

bool Preemptor::WithinBudgets(const Job& job, const std::vector<Choice>& choices) const {
  if (job.guaranteed || !ledger_->active()) return true;
  std::vector<JobIndex> tasks;
  for (const Choice& choice : choices) {
    for (size_t i : choice.attempts) {
      tasks.push_back((*fleet_)[choice.machine].attempts[i].job);
    }
  }
  return !ledger_->BlockedFromStopping(tasks);
}

void Preemptor::Stop(const Job& job, const Choice& choice) {
  Machine& machine = (*fleet_)[choice.machine];
  for (size_t i : choice.attempts) {
    TaskAttempt& attempt = machine.attempts[i];
    const Job& other = (*job_store_)[attempt.job];
    spdlog::info("stopping {} on {} for {} ({})", attempt.task_name, machine.name, job.id,
                 job.guaranteed ? "guaranteed" : "higher priority");
    const bool saves =
        other.spec.checkpoint_interval_s > 0 && other.spec.checkpoint_grace_s <= kShortSave;
    fleet_->RequestStop(choice.machine, &attempt, saves ? other.spec.checkpoint_grace_s + 1 : 0);
  }
}

size_t Preemptor::MakeRoom(const RoomRequest& room_request) {
  const Job& job = (*job_store_)[room_request.job];
  if (!MayPreempt(job)) return 0;
  std::vector<char> zones;
  if (!free_capacity_->AllowedZones(job, job.machines, &zones)) return 0;
  const ResourceRequest request = free_capacity_->RequestFor(job, zones, job.machines);
  auto wanted = std::min({job.waiting_tasks.size(), kMostPlaces, room_request.max_places});
  wanted =
      std::min(wanted, static_cast<size_t>(std::max(0.0, free_capacity_->TeamQuotaLeft(job.team) /
                                                             std::max(job.spec.cores, 1e-3))));
  const size_t all = wanted;
  std::vector<Choice> choices;
  for (MachineIndex machine_index : fleet_->active()) {
    if (wanted == 0) return all;
    const Machine& machine = (*fleet_)[machine_index];
    const MachineCapacity& room = free_capacity_->capacities()[machine_index];
    if (!room.usable || !SatisfiesConstraints(request, room.type, room.zone, room.spot)) continue;
    if (!room_request.allow_ordinary_machines && !room.spot) continue;
    ++free_capacity_->work_units;
    if (room_request.cached_image_only && !HasImage(job, machine)) continue;
    if (job.spec.service && machine.preemptible_cores + room.cores + kEps < job.spec.cores)
      continue;
    // Room on its way already is enough, unless it is spoken for.
    MachineCapacity capacity = FutureCapacity(machine_index);
    if (Fits(request, capacity)) {
      Claim(machine_index, request);
      --wanted;
      continue;
    }
    Choice choice;
    choice.machine = machine_index;
    choice.loss = PreemptionLoss(job, machine, &capacity, &choice.attempts);
    if (choice.loss >= 0 && choice.loss <= room_request.max_loss_per_place)
      choices.push_back(std::move(choice));
  }
  std::stable_sort(choices.begin(), choices.end(),
                   [](const Choice& a, const Choice& b) { return a.loss < b.loss; });
  for (const Choice& choice : choices) {
    if (wanted == 0) break;
    if (!WithinBudgets(job, {choice})) continue;
    --wanted;
    Claim(choice.machine, request);
    Stop(job, choice);
  }
  return all - wanted;
}

void Preemptor::AddChoices(const Job& job, const ResourceRequest& request,
                           MachineIndex machine_index, std::vector<Choice>* out) const {
  const Machine& machine = (*fleet_)[machine_index];
  MachineCapacity capacity = FutureCapacity(machine_index);
  std::vector<size_t> chosen;
  // No machine has to take more than the whole gang.
  for (size_t place = 0; place < job.waiting_tasks.size(); ++place) {
    const size_t before = chosen.size();
    const double loss = PreemptionLoss(job, machine, &capacity, &chosen);
    if (loss < 0) return;
    Choice choice;
    choice.loss = loss;
    choice.machine = machine_index;
    choice.attempts.assign(chosen.begin() + static_cast<ptrdiff_t>(before), chosen.end());
    out->push_back(std::move(choice));
    Subtract(&capacity, request.cores, request.gpus, request.memory_gb);
  }
}

std::vector<MachineIndex> Preemptor::MakeGangRoom(const RoomRequest& room_request,
                                                  const std::vector<std::vector<char>>& zone_sets) {
  const Job& job = (*job_store_)[room_request.job];
  const size_t count = job.waiting_tasks.size();
  if (count > kMostPlaces || !MayPreempt(job)) return {};
  std::vector<Choice> best;
  double least = 0;
  for (const std::vector<char>& zones : zone_sets) {
    const ResourceRequest request = free_capacity_->RequestFor(job, zones, {});
    std::vector<Choice> choices;
    for (MachineIndex machine_index : fleet_->active()) {
      const MachineCapacity& room = free_capacity_->capacities()[machine_index];
      if (!room.usable || !SatisfiesConstraints(request, room.type, room.zone, room.spot)) continue;
      ++free_capacity_->work_units;
      if (room_request.cached_image_only && !HasImage(job, (*fleet_)[machine_index])) continue;
      AddChoices(job, request, machine_index, &choices);
    }
    if (choices.size() < count) continue;
    std::stable_sort(choices.begin(), choices.end(),
                     [](const Choice& a, const Choice& b) { return a.loss < b.loss; });
    choices.resize(count);
    if (choices.back().loss > room_request.max_loss_per_place) continue;
    double loss = 0;
    if (!WithinBudgets(job, choices)) continue;
    for (const Choice& choice : choices) loss += choice.loss;
    if (best.empty() || loss < least) {
      best = std::move(choices);
      least = loss;
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
