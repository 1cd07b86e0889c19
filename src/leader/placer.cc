#include "leader/placer.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace deckhall {
namespace {

constexpr double kEps = 1e-6;
// A gang that waited so long has machines kept free for it.
constexpr double kGangPatience = 15;
// Jobs for which one pass looks for tasks to stop, arrays among them, and tasks of one
// job. When a zone's leases end, many services need room at once.
constexpr int kMostPreempting = 24;
constexpr int kMostArraysPreempting = 4;
constexpr size_t kMostStopped = 32;

}  // namespace

Placer::Placer(JobBook* book, Fleet* fleet, Rooms* rooms, Ranking* ranking, Rentals* rentals,
               const Clock* clock, const Tuning* tuning)
    : book_(book),
      fleet_(fleet),
      rooms_(rooms),
      ranking_(ranking),
      rentals_(rentals),
      clock_(clock),
      tuning_(tuning) {}

// The paper's delay scheduling: while jobs compete, one that would first have to
// fetch its image lets the room pass, for as long as the fetch would take.
double Placer::Patience(const Job& job) const { return tuning_->delay_fetches * FetchSeconds(job); }

double Placer::FetchSeconds(const Job& job) const {
  double rate = 0;
  for (const MachineType& t : rentals_->types()) {
    rate = rate == 0 ? t.fetch_gb_per_s : std::min(rate, t.fetch_gb_per_s);
  }
  return rate > 0 ? job.spec.image_gb / rate : 0;
}

// Ordinary room that replicas may need soon is not given to arrays. But none waits for
// ever beside it: where nothing more can be rented, what found no place for so long gets
// it, and gives way when a replica comes.
double Placer::Reserve(const Job& job) const {
  const bool starved = clock_->Now() - job.starved_since > tuning_->passed_over_s / 2;
  if (job.spec.service || starved) return 0;
  return rooms_->headroom() * tuning_->headroom_free;
}

void Placer::Put(JobIdx j, uint32_t node, uint64_t attempt) {
  Job& job = (*book_)[j];
  const bool passed = !job.spec.service && ranking_->PassedOver(job, clock_->Now());
  fleet_->Place(node, j, job.waiting.back(), attempt, passed);
  rooms_->Take(job, node);
  (*fleet_)[node].idle_since = -1;
}

bool Placer::InVain(const Need& need) const {
  return std::any_of(vain_.begin(), vain_.end(), [&need](const Vain& v) {
    return need.cores + kEps >= v.cores && need.memory_gb + kEps >= v.memory_gb &&
           need.gpus + kEps >= v.gpus && (v.zone == UINT32_MAX || v.zone == need.zone) &&
           (v.spot_ok || !need.spot_ok) &&
           (v.types == nullptr || (need.types != nullptr && *need.types == *v.types));
  });
}

void Placer::PlaceSome(JobIdx j, bool here, size_t most) {
  Job& job = (*book_)[j];
  const double now = clock_->Now();
  if (!job.told || job.waiting.empty() || now < job.backoff_until) return;
  if (!rooms_->TeamRoom(job)) return;
  std::vector<char> zones;
  // Where its tasks are, those on their way out included.
  std::vector<uint32_t> on;
  if (job.spec.service || job.spec.one_zone || job.spec.apart) on = job.on;
  if (!rooms_->ZoneRoom(job, on, &zones)) return;
  Need need = rooms_->NeedOf(job, zones, on);
  need.siblings = &on;
  need.cached_only =
      contended_ && !job.spec.service && !job.guaranteed && now - job.waiting_since < Patience(job);
  need.here_only = here;
  if (InVain(need)) return;
  // A job that keeps failing shows its worth with one task at a time.
  if (job.fail_streak >= 3) most = std::min<size_t>(most, job.placed > 0 ? 0 : 1);
  const double reserve = Reserve(job);
  auto ordinary = [&] {
    return job.spec.service || rooms_->free_ordinary() - reserve + kEps >= job.spec.cores;
  };
  if (!ordinary() && (!job.spec.spot || rooms_->free_spot() + kEps < job.spec.cores)) return;
  Picker picker(&need, &rooms_->nodes(), open_);
  rooms_->steps += open_.size();
  size_t placed = 0;
  while (!job.waiting.empty() && placed < most && rooms_->TeamRoom(job)) {
    if (placed > 0 && !rooms_->ZoneRoom(job, on, &zones)) break;
    const int at = picker.Next(ordinary());
    if (at < 0) {
      if (placed == 0 && job.spec.service && !here && need.zones == nullptr) {
        vain_.push_back(
            {need.cores, need.memory_gb, need.gpus, need.zone, need.spot_ok, need.types});
      }
      break;
    }
    on.push_back(static_cast<uint32_t>(at));
    Put(j, static_cast<uint32_t>(at), fleet_->NewAttempt());
    picker.Again(at);
    ++placed;
  }
}

// All tasks of a gang at once, or none.
void Placer::PlaceGang(JobIdx j) {
  Job& job = (*book_)[j];
  const double now = clock_->Now();
  // While some of its tasks are still on machines they end by themselves, missing
  // their peers; then all start together.
  if (!job.told || job.waiting.empty() || job.placed > 0 || job.unseen > 0 ||
      now < job.backoff_until) {
    return;
  }
  const auto count = static_cast<uint32_t>(job.waiting.size());
  std::vector<char> zones;
  std::vector<uint32_t> on;
  if (!rooms_->ZoneRoom(job, on, &zones)) return;
  const bool limited = rooms_->TeamLeft(job.team) + kEps < job.spec.cores * count;
  const Need need = rooms_->NeedOf(job, zones, on);
  // Tried on a copy of the picture: nothing is taken unless all find a place.
  std::vector<Node> nodes = rooms_->nodes();
  Picker picker(&need, &nodes, open_);
  rooms_->steps += open_.size();
  while (!limited && on.size() < count) {
    if (!on.empty() && !rooms_->ZoneRoom(job, on, &zones)) break;
    const int at = picker.Next(true);
    if (at < 0) break;
    Node& node = nodes[static_cast<size_t>(at)];
    on.push_back(node.machine);
    node.cores -= job.spec.cores;
    node.gpus -= job.spec.gpus;
    node.memory_gb -= job.spec.memory_gb;
    picker.Again(at);
  }
  if (!limited && on.size() == count) {
    // Its tasks gather by their attempt: one number for all of them.
    const uint64_t attempt = fleet_->NewAttempt();
    for (uint32_t at : on) Put(j, at, attempt);
    return;
  }
  if (!limited && now - job.waiting_since > kGangPatience) HoldFor(need, count);
}

// Keeps machines from jobs ranked lower until a gang has room on them: otherwise
// freed pieces would go to small tasks for ever.
void Placer::HoldFor(const Need& need, uint32_t tasks) {
  auto& nodes = rooms_->nodes();
  std::vector<uint32_t> order;
  for (MachIdx mi : fleet_->active()) {
    const Node& n = nodes[mi];
    if (n.usable && Allows(need, n.type, n.zone, n.spot)) order.push_back(mi);
  }
  std::stable_sort(order.begin(), order.end(),
                   [&nodes](uint32_t a, uint32_t b) { return nodes[a].cores > nodes[b].cores; });
  double held = 0;
  for (uint32_t i : order) {
    if (held >= tasks) return;
    nodes[i].usable = false;
    held += need.cores > 0 ? std::floor(nodes[i].total_cores / need.cores + kEps) : tasks;
  }
}

double Placer::Loss(const Job& job, const Machine& m, Node* node,
                    std::vector<size_t>* chosen) const {
  const double now = clock_->Now();
  std::vector<std::pair<double, size_t>> victims;
  for (size_t i = 0; i < m.slots.size(); ++i) {
    const Slot& s = m.slots[i];
    if (s.gone || !s.keep || s.job == kNone || s.service) continue;
    const Job& other = (*book_)[s.job];
    if (other.spec.gang) continue;
    // It went first once because others always did: stopped for one of those, its place
    // would go to the next that was passed over, and nothing would ever end.
    if (s.passed && !job.spec.service) continue;
    const Team* theirs = rooms_->TeamOf(other.team);
    const bool lower = other.spec.priority < job.spec.priority;
    const bool beyond = job.guaranteed && !other.guaranteed && other.team != job.team &&
                        theirs != nullptr && rooms_->UseOf(other.team).cores > theirs->cores + kEps;
    if (!lower && !beyond) continue;
    // What is ranked before it would take the freed room again: stopped and placed
    // anew without end.
    if (!job.spec.service && other.rank < job.rank) continue;
    // A fetch given up is lost like a run.
    const double ran = now - (s.running_since < 0 ? s.launched_at : s.running_since);
    const double lost =
        other.spec.checkpoint_s > 0 ? std::min(ran, other.spec.checkpoint_s / 2) : ran;
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
    const Slot& s = m.slots[i];
    node->cores += s.cores;
    node->gpus += s.gpus;
    node->memory_gb += s.memory_gb;
    loss += cost;
    chosen->push_back(i);
  }
  return Fits(need, *node) ? loss : -1;
}

// Makes room for tasks of a job that may claim it: a higher priority, or a
// guarantee against what another team runs beyond its own.
size_t Placer::Preempt(JobIdx j, bool here, size_t most) {
  const Job& job = (*book_)[j];
  if (!job.told || job.waiting.empty() || !rooms_->TeamRoom(job)) return 0;
  if (clock_->Now() < job.backoff_until || job.fail_streak >= 3) return 0;
  if (++preempting_ > kMostPreempting) return 0;
  std::vector<char> zones;
  if (!rooms_->ZoneRoom(job, job.on, &zones)) return 0;
  const Need need = rooms_->NeedOf(job, zones, job.on);
  auto wanted = std::min({job.waiting.size(), kMostStopped, most});
  wanted = std::min(wanted, static_cast<size_t>(std::max(
                                0.0, rooms_->TeamLeft(job.team) / std::max(job.spec.cores, 1e-3))));
  struct Choice {
    double loss;
    MachIdx machine;
    std::vector<size_t> slots;
  };
  const size_t all = wanted;
  // To spare it the fetch, no more work is lost than the fetch would hold up.
  const double bearable =
      here ? tuning_->stop_for_image * FetchSeconds(job) * job.spec.cores : 1e18;
  // Room that arrays may not take is not made for them.
  const bool ordinary = job.spec.service || rooms_->free_ordinary() + kEps >= Reserve(job);
  std::vector<Choice> choices;
  for (MachIdx mi : fleet_->active()) {
    if (wanted == 0) return all;
    const Machine& m = (*fleet_)[mi];
    const Node& room = rooms_->nodes()[mi];
    if (!room.usable || !Allows(need, room.type, room.zone, room.spot)) continue;
    if (!ordinary && !room.spot) continue;
    ++rooms_->steps;
    if (here && std::find(m.images.begin(), m.images.end(), job.image) == m.images.end()) continue;
    if (job.spec.service && m.lent_cores + room.cores + kEps < job.spec.cores) continue;
    Node node;
    node.cores = room.cores;
    node.gpus = room.gpus;
    node.memory_gb = room.memory_gb;
    // Room on its way already is enough, unless it is spoken for.
    for (const Slot& s : m.slots) {
      if (s.gone || s.keep) continue;
      node.cores += s.cores;
      node.gpus += s.gpus;
      node.memory_gb += s.memory_gb;
    }
    auto claim = claims_.find(mi);
    if (claim != claims_.end()) {
      node.cores -= claim->second.cores;
      node.gpus -= claim->second.gpus;
      node.memory_gb -= claim->second.memory_gb;
    }
    if (Fits(need, node)) {
      Claim& c = claims_[mi];
      c.cores += need.cores;
      c.gpus += need.gpus;
      c.memory_gb += need.memory_gb;
      --wanted;
      continue;
    }
    std::vector<size_t> chosen;
    const double loss = Loss(job, m, &node, &chosen);
    if (loss >= 0 && loss <= bearable) choices.push_back({loss, mi, std::move(chosen)});
  }
  std::stable_sort(choices.begin(), choices.end(),
                   [](const Choice& a, const Choice& b) { return a.loss < b.loss; });
  for (const Choice& choice : choices) {
    if (wanted == 0) break;
    --wanted;
    Claim& c = claims_[choice.machine];
    c.cores += need.cores;
    c.gpus += need.gpus;
    c.memory_gb += need.memory_gb;
    for (size_t i : choice.slots) {
      Slot& s = (*fleet_)[choice.machine].slots[i];
      const Job& other = (*book_)[s.job];
      spdlog::info("stopping {} on {} for {} ({})", s.name, (*fleet_)[choice.machine].name, job.id,
                   job.guaranteed ? "guaranteed" : "higher priority");
      const bool saves = other.spec.checkpoint_s > 0 && other.spec.save_s <= 5;
      fleet_->Unwant(choice.machine, &s, saves ? other.spec.save_s + 1 : 0);
    }
  }
  return all - wanted;
}

// Where the image is, a replica runs at once: there is room, or is made by stopping
// arrays. The rest goes where the image must be fetched.
void Placer::PlaceService(JobIdx j) {
  const Job& job = (*book_)[j];
  PlaceSome(j, true, SIZE_MAX);
  if (job.waiting.empty()) return;
  size_t coming = 0;
  if (FetchSeconds(job) > tuning_->long_fetch_s) {
    // When many are lost at once, the next pass is far sooner than any fetch.
    if (preempting_ >= kMostPreempting) {
      fleet_->changed = true;
      return;
    }
    coming = Preempt(j, true, job.waiting.size());
  }
  if (coming >= job.waiting.size()) return;
  PlaceSome(j, false, job.waiting.size() - coming);
  if (job.waiting.size() > coming) Preempt(j, false, job.waiting.size() - coming);
}

void Placer::Pass() {
  const double now = clock_->Now();
  rooms_->Refresh();
  ranking_->Refresh();
  vain_.clear();
  claims_.clear();
  // Missing replicas first, the most important services before others.
  std::vector<JobIdx> services;
  double least = 1e9;
  double waiting = 0;
  for (JobIdx j : book_->live()) {
    const Job& job = (*book_)[j];
    if (job.waiting.empty() || !job.told) continue;
    least = std::min(least, job.spec.cores);
    if (job.spec.service) {
      services.push_back(j);
    } else {
      waiting += job.spec.cores * static_cast<double>(job.waiting.size());
    }
  }
  if (least >= 1e9) return;
  open_ = rooms_->Open(least);
  rooms_->steps += open_.size();
  std::stable_sort(services.begin(), services.end(), [this](JobIdx a, JobIdx b) {
    return (*book_)[a].spec.priority > (*book_)[b].spec.priority;
  });
  preempting_ = 0;
  for (JobIdx j : services) PlaceService(j);
  // Then the best-ranked array with a task that fits.
  contended_ = waiting > rooms_->free_ordinary() + rooms_->free_spot();
  preempting_ = kMostPreempting - kMostArraysPreempting;
  for (JobIdx j : ranking_->order()) {
    const Job& job = (*book_)[j];
    if (job.life != JobLife::kLive || job.waiting.empty()) continue;
    if (job.spec.gang) {
      PlaceGang(j);
      continue;
    }
    // Once: with the next task it is again where its rank puts it.
    const bool passed = ranking_->PassedOver(job, now);
    PlaceSome(j, false, passed ? 1 : SIZE_MAX);
    if (passed && !ranking_->PassedOver(job, now)) ranking_->JobsChanged();
    // Most of what runs ends soon by itself: only then is work thrown away.
    if (!job.waiting.empty() && job.guaranteed &&
        now - job.waiting_since >= tuning_->preempt_after_s) {
      Preempt(j, false, job.waiting.size());
    }
  }
}

}  // namespace deckhall
