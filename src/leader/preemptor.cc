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

void Subtract(MachineCapacity* node, double cores, double gpus, double memory_gb) {
  node->cores -= cores;
  node->gpus -= gpus;
  node->memory_gb -= memory_gb;
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

bool Preemptor::MayStop(const Job& job, const TaskAttempt& slot) const {
  if (slot.released || !slot.wanted || slot.job == kNoIndex || slot.service) return false;
  const Job& other = (*job_store_)[slot.job];
  if (other.spec.gang) return false;
  // It went first once because others always did: stopped for one of those, its place
  // would go to the next that was passed over, and nothing would ever end.
  if (slot.placed_by_aging && !job.spec.service) return false;
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

double Preemptor::PreemptionLoss(const Job& job, const Machine& m, MachineCapacity* node,
                                 std::vector<size_t>* chosen) const {
  const double now = clock_->Now();
  std::vector<std::pair<double, size_t>> victims;
  for (size_t i = 0; i < m.attempts.size(); ++i) {
    const TaskAttempt& s = m.attempts[i];
    if (!MayStop(job, s)) continue;
    if (std::find(chosen->begin(), chosen->end(), i) != chosen->end()) continue;
    const Job& other = (*job_store_)[s.job];
    // A fetch given up is lost like a run.
    const double ran = now - (s.running_since < 0 ? s.launched_at : s.running_since);
    const double lost = other.spec.checkpoint_interval_s > 0
                            ? std::min(ran, other.spec.checkpoint_interval_s / 2)
                            : ran;
    victims.emplace_back(s.cores * lost, i);
  }
  std::sort(victims.begin(), victims.end());
  ResourceRequest need;
  need.cores = job.spec.cores;
  need.gpus = job.spec.gpus;
  need.memory_gb = job.spec.memory_gb;
  double loss = 0;
  for (const auto& [cost, i] : victims) {
    if (Fits(need, *node)) break;
    const TaskAttempt& s = m.attempts[i];
    Subtract(node, -s.cores, -s.gpus, -s.memory_gb);
    loss += cost;
    chosen->push_back(i);
  }
  return Fits(need, *node) ? loss : -1;
}

MachineCapacity Preemptor::FutureCapacity(MachineIndex mi) const {
  const MachineCapacity& room = free_capacity_->capacities()[mi];
  MachineCapacity node;
  node.cores = room.cores;
  node.gpus = room.gpus;
  node.memory_gb = room.memory_gb;
  for (const TaskAttempt& s : (*fleet_)[mi].attempts) {
    if (!s.released && !s.wanted) Subtract(&node, -s.cores, -s.gpus, -s.memory_gb);
  }
  auto claim = claimed_.find(mi);
  if (claim != claimed_.end()) {
    Subtract(&node, claim->second.cores, claim->second.gpus, claim->second.memory_gb);
  }
  return node;
}

bool Preemptor::HasImage(const Job& job, const Machine& m) const {
  return std::find(m.cached_images.begin(), m.cached_images.end(), job.image) !=
         m.cached_images.end();
}

void Preemptor::Claim(MachineIndex mi, const ResourceRequest& need) {
  Resources& claim = claimed_[mi];
  claim.cores += need.cores;
  claim.gpus += need.gpus;
  claim.memory_gb += need.memory_gb;
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
    TaskAttempt& s = machine.attempts[i];
    const Job& other = (*job_store_)[s.job];
    spdlog::info("stopping {} on {} for {} ({})", s.task_name, machine.name, job.id,
                 job.guaranteed ? "guaranteed" : "higher priority");
    const bool saves =
        other.spec.checkpoint_interval_s > 0 && other.spec.checkpoint_grace_s <= kShortSave;
    fleet_->RequestStop(choice.machine, &s, saves ? other.spec.checkpoint_grace_s + 1 : 0);
  }
}

size_t Preemptor::MakeRoom(const RoomRequest& request) {
  const Job& job = (*job_store_)[request.job];
  if (!MayPreempt(job)) return 0;
  std::vector<char> zones;
  if (!free_capacity_->AllowedZones(job, job.machines, &zones)) return 0;
  const ResourceRequest need = free_capacity_->RequestFor(job, zones, job.machines);
  auto wanted = std::min({job.waiting_tasks.size(), kMostPlaces, request.max_places});
  wanted =
      std::min(wanted, static_cast<size_t>(std::max(0.0, free_capacity_->TeamQuotaLeft(job.team) /
                                                             std::max(job.spec.cores, 1e-3))));
  const size_t all = wanted;
  std::vector<Choice> choices;
  for (MachineIndex mi : fleet_->active()) {
    if (wanted == 0) return all;
    const Machine& m = (*fleet_)[mi];
    const MachineCapacity& room = free_capacity_->capacities()[mi];
    if (!room.usable || !SatisfiesConstraints(need, room.type, room.zone, room.spot)) continue;
    if (!request.allow_ordinary_machines && !room.spot) continue;
    ++free_capacity_->work_units;
    if (request.cached_image_only && !HasImage(job, m)) continue;
    if (job.spec.service && m.preemptible_cores + room.cores + kEps < job.spec.cores) continue;
    // Room on its way already is enough, unless it is spoken for.
    MachineCapacity node = FutureCapacity(mi);
    if (Fits(need, node)) {
      Claim(mi, need);
      --wanted;
      continue;
    }
    Choice choice;
    choice.machine = mi;
    choice.loss = PreemptionLoss(job, m, &node, &choice.attempts);
    if (choice.loss >= 0 && choice.loss <= request.max_loss_per_place)
      choices.push_back(std::move(choice));
  }
  std::stable_sort(choices.begin(), choices.end(),
                   [](const Choice& a, const Choice& b) { return a.loss < b.loss; });
  for (const Choice& choice : choices) {
    if (wanted == 0) break;
    if (!WithinBudgets(job, {choice})) continue;
    --wanted;
    Claim(choice.machine, need);
    Stop(job, choice);
  }
  return all - wanted;
}

void Preemptor::AddChoices(const Job& job, const ResourceRequest& need, MachineIndex mi,
                           std::vector<Choice>* out) const {
  const Machine& m = (*fleet_)[mi];
  MachineCapacity node = FutureCapacity(mi);
  std::vector<size_t> chosen;
  // No machine has to take more than the whole gang.
  for (size_t place = 0; place < job.waiting_tasks.size(); ++place) {
    const size_t before = chosen.size();
    const double loss = PreemptionLoss(job, m, &node, &chosen);
    if (loss < 0) return;
    Choice choice;
    choice.loss = loss;
    choice.machine = mi;
    choice.attempts.assign(chosen.begin() + static_cast<ptrdiff_t>(before), chosen.end());
    out->push_back(std::move(choice));
    Subtract(&node, need.cores, need.gpus, need.memory_gb);
  }
}

std::vector<MachineIndex> Preemptor::MakeGangRoom(const RoomRequest& request,
                                                  const std::vector<std::vector<char>>& zone_sets) {
  const Job& job = (*job_store_)[request.job];
  const size_t count = job.waiting_tasks.size();
  if (count > kMostPlaces || !MayPreempt(job)) return {};
  std::vector<Choice> best;
  double least = 0;
  for (const std::vector<char>& zones : zone_sets) {
    const ResourceRequest need = free_capacity_->RequestFor(job, zones, {});
    std::vector<Choice> choices;
    for (MachineIndex mi : fleet_->active()) {
      const MachineCapacity& room = free_capacity_->capacities()[mi];
      if (!room.usable || !SatisfiesConstraints(need, room.type, room.zone, room.spot)) continue;
      ++free_capacity_->work_units;
      if (request.cached_image_only && !HasImage(job, (*fleet_)[mi])) continue;
      AddChoices(job, need, mi, &choices);
    }
    if (choices.size() < count) continue;
    std::stable_sort(choices.begin(), choices.end(),
                     [](const Choice& a, const Choice& b) { return a.loss < b.loss; });
    choices.resize(count);
    if (choices.back().loss > request.max_loss_per_place) continue;
    double loss = 0;
    if (!WithinBudgets(job, choices)) continue;
    for (const Choice& choice : choices) loss += choice.loss;
    if (best.empty() || loss < least) {
      best = std::move(choices);
      least = loss;
    }
  }
  std::vector<MachineIndex> machines;
  const ResourceRequest need = free_capacity_->RequestFor(job, {}, {});
  for (const Choice& choice : best) {
    Claim(choice.machine, need);
    Stop(job, choice);
    machines.push_back(choice.machine);
  }
  return machines;
}

}  // namespace deckhall
