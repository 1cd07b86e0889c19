#include "leader/preemption.h"

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

void Subtract(Node* node, double cores, double gpus, double memory_gb) {
  node->cores -= cores;
  node->gpus -= gpus;
  node->memory_gb -= memory_gb;
}

}  // namespace

void Preemption::BeginServices() {
  claims_.clear();
  asked_ = 0;
}

void Preemption::BeginArrays() { asked_ = kMostJobs - kMostArrays; }

bool Preemption::Exhausted() const { return asked_ >= kMostJobs; }

bool Preemption::MayAsk(const Job& job) {
  if (!job.acknowledged || job.waiting_tasks.empty() || !free_capacity_->TeamRoom(job))
    return false;
  if (clock_->Now() < job.backoff_until || job.consecutive_failures >= 3) return false;
  return ++asked_ <= kMostJobs;
}

bool Preemption::MayStop(const Job& job, const TaskAttempt& slot) const {
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
                      free_capacity_->UseOf(other.team).cores > theirs->cores + kEps;
  if (!lower && !beyond) return false;
  // What is ranked before it would take the freed room again: stopped and placed
  // anew without end.
  return job.spec.service || other.rank >= job.rank;
}

double Preemption::Loss(const Job& job, const Machine& m, Node* node,
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
  Need need;
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

Node Preemption::RoomToCome(MachineIndex mi) const {
  const Node& room = free_capacity_->nodes()[mi];
  Node node;
  node.cores = room.cores;
  node.gpus = room.gpus;
  node.memory_gb = room.memory_gb;
  for (const TaskAttempt& s : (*fleet_)[mi].attempts) {
    if (!s.released && !s.wanted) Subtract(&node, -s.cores, -s.gpus, -s.memory_gb);
  }
  auto claim = claims_.find(mi);
  if (claim != claims_.end()) {
    Subtract(&node, claim->second.cores, claim->second.gpus, claim->second.memory_gb);
  }
  return node;
}

bool Preemption::HasImage(const Job& job, const Machine& m) const {
  return std::find(m.cached_images.begin(), m.cached_images.end(), job.image) !=
         m.cached_images.end();
}

void Preemption::Claim(MachineIndex mi, const Need& need) {
  Amounts& claim = claims_[mi];
  claim.cores += need.cores;
  claim.gpus += need.gpus;
  claim.memory_gb += need.memory_gb;
}

bool Preemption::WithinBudgets(const Job& job, const std::vector<Choice>& choices) const {
  if (job.guaranteed || !ledger_->active()) return true;
  std::vector<JobIndex> tasks;
  for (const Choice& choice : choices) {
    for (size_t i : choice.attempts) {
      tasks.push_back((*fleet_)[choice.machine].attempts[i].job);
    }
  }
  return !ledger_->AllowsStops(tasks);
}

void Preemption::Stop(const Job& job, const Choice& choice) {
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

size_t Preemption::MakeRoom(const Request& request) {
  const Job& job = (*job_store_)[request.job];
  if (!MayAsk(job)) return 0;
  std::vector<char> zones;
  if (!free_capacity_->ZoneRoom(job, job.machines, &zones)) return 0;
  const Need need = free_capacity_->NeedOf(job, zones, job.machines);
  auto wanted = std::min({job.waiting_tasks.size(), kMostPlaces, request.most});
  wanted = std::min(wanted, static_cast<size_t>(std::max(0.0, free_capacity_->TeamLeft(job.team) /
                                                                  std::max(job.spec.cores, 1e-3))));
  const size_t all = wanted;
  std::vector<Choice> choices;
  for (MachineIndex mi : fleet_->active()) {
    if (wanted == 0) return all;
    const Machine& m = (*fleet_)[mi];
    const Node& room = free_capacity_->nodes()[mi];
    if (!room.usable || !Allows(need, room.type, room.zone, room.spot)) continue;
    if (!request.ordinary && !room.spot) continue;
    ++free_capacity_->steps;
    if (request.image_here && !HasImage(job, m)) continue;
    if (job.spec.service && m.preemptible_cores + room.cores + kEps < job.spec.cores) continue;
    // Room on its way already is enough, unless it is spoken for.
    Node node = RoomToCome(mi);
    if (Fits(need, node)) {
      Claim(mi, need);
      --wanted;
      continue;
    }
    Choice choice;
    choice.machine = mi;
    choice.loss = Loss(job, m, &node, &choice.attempts);
    if (choice.loss >= 0 && choice.loss <= request.most_loss) choices.push_back(std::move(choice));
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

void Preemption::AddChoices(const Job& job, const Need& need, MachineIndex mi,
                            std::vector<Choice>* out) const {
  const Machine& m = (*fleet_)[mi];
  Node node = RoomToCome(mi);
  std::vector<size_t> chosen;
  // No machine has to take more than the whole gang.
  for (size_t place = 0; place < job.waiting_tasks.size(); ++place) {
    const size_t before = chosen.size();
    const double loss = Loss(job, m, &node, &chosen);
    if (loss < 0) return;
    Choice choice;
    choice.loss = loss;
    choice.machine = mi;
    choice.attempts.assign(chosen.begin() + static_cast<ptrdiff_t>(before), chosen.end());
    out->push_back(std::move(choice));
    Subtract(&node, need.cores, need.gpus, need.memory_gb);
  }
}

std::vector<MachineIndex> Preemption::MakeGangRoom(
    const Request& request, const std::vector<std::vector<char>>& zone_sets) {
  const Job& job = (*job_store_)[request.job];
  const size_t count = job.waiting_tasks.size();
  if (count > kMostPlaces || !MayAsk(job)) return {};
  std::vector<Choice> best;
  double least = 0;
  for (const std::vector<char>& zones : zone_sets) {
    const Need need = free_capacity_->NeedOf(job, zones, {});
    std::vector<Choice> choices;
    for (MachineIndex mi : fleet_->active()) {
      const Node& room = free_capacity_->nodes()[mi];
      if (!room.usable || !Allows(need, room.type, room.zone, room.spot)) continue;
      ++free_capacity_->steps;
      if (request.image_here && !HasImage(job, (*fleet_)[mi])) continue;
      AddChoices(job, need, mi, &choices);
    }
    if (choices.size() < count) continue;
    std::stable_sort(choices.begin(), choices.end(),
                     [](const Choice& a, const Choice& b) { return a.loss < b.loss; });
    choices.resize(count);
    if (choices.back().loss > request.most_loss) continue;
    double loss = 0;
    if (!WithinBudgets(job, choices)) continue;
    for (const Choice& choice : choices) loss += choice.loss;
    if (best.empty() || loss < least) {
      best = std::move(choices);
      least = loss;
    }
  }
  std::vector<MachineIndex> machines;
  const Need need = free_capacity_->NeedOf(job, {}, {});
  for (const Choice& choice : best) {
    Claim(choice.machine, need);
    Stop(job, choice);
    machines.push_back(choice.machine);
  }
  return machines;
}

}  // namespace deckhall
