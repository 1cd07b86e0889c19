#include "leader/placer.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace deckhall {
namespace {

constexpr double kEps = 1e-6;
// A gang that waited so long has machines kept free for it.
constexpr double kGangPatience = 15;
constexpr double kRateMemory = 120;  // seconds over which arrivals are averaged

}  // namespace

Placer::Placer(JobBook* book, Fleet* fleet, Rentals* rentals, RowStore* store, const Clock* clock,
               const Settings* settings, const Tuning* tuning)
    : book_(book),
      fleet_(fleet),
      rentals_(rentals),
      store_(store),
      clock_(clock),
      settings_(settings),
      tuning_(tuning) {}

const Team* Placer::TeamOf(uint32_t team) const {
  const std::string& name = book_->teams[team];
  for (const Team& t : settings_->teams) {
    if (t.name == name) return &t;
  }
  return nullptr;
}

std::vector<char> Placer::TypeMask(const JobSpec& spec) const {
  std::vector<char> mask;
  if (!spec.types) return mask;
  mask.resize(book_->types.size(), 0);
  for (const std::string& name : *spec.types) {
    const uint32_t t = book_->types.Find(name);
    if (t != kNone) mask[t] = 1;
  }
  if (mask.empty()) mask.push_back(0);
  return mask;
}

bool Placer::MayBeOn(const Job& job, const Machine& m) const {
  if (m.spot && !job.spec.spot) return false;
  if (job.zone != kNone && m.zone != kNone && job.zone != m.zone) return false;
  if (!job.spec.types || m.type == kNone) return true;
  const auto& types = *job.spec.types;
  return std::find(types.begin(), types.end(), book_->types[m.type]) != types.end();
}

bool Placer::Usable(const Machine& m) const {
  const double now = clock_->Now();
  return m.up && m.accounted && !m.gone && !m.drain && !m.returning && m.notice_until < 0 &&
         m.row != kNoRow && !m.endpoint.empty() && store_->Durable(m.row) && now >= m.sick_until &&
         now >= m.no_room_until && now - m.heard_at < tuning_->silent_s;
}

void Placer::Arrived(JobIdx j) {
  const Job& job = (*book_)[j];
  const double now = clock_->Now();
  (*book_)[j].left = WorkLeft(job);
  (*book_)[j].waiting_since = now;
  JobsChanged();
  if (!job.spec.service) return;
  if (rate_at_ < 0) rate_at_ = now;
  service_rate_ *= std::exp(-(now - rate_at_) / kRateMemory);
  rate_at_ = now;
  service_rate_ += job.spec.cores * job.spec.tasks / kRateMemory;
}

void Placer::Observed(const Job& job, double run_s) {
  if (job.klass >= classes_.size()) classes_.resize(job.klass + 1);
  if (job.spec.estimate_s <= 0 || run_s <= 0) return;
  ClassStats& c = classes_[job.klass];
  const double x = std::log(std::clamp(run_s / job.spec.estimate_s, 0.05, 20.0));
  c.weight = std::min(c.weight + 1, 200.0);
  c.log_ratio += (x - c.log_ratio) / c.weight;
}

double Placer::TaskSeconds(const Job& job) const {
  double ratio = 1;
  if (job.klass < classes_.size()) {
    const ClassStats& c = classes_[job.klass];
    // The owners' word counts like ten finished tasks.
    ratio = std::exp(c.log_ratio * c.weight / (c.weight + 10));
  }
  return std::max(1.0, job.spec.estimate_s * ratio);
}

double Placer::WorkLeft(const Job& job) const {
  const auto tasks = static_cast<double>(job.tasks.size() - job.done);
  return std::max(tasks * std::max(job.spec.cores, 0.1) * TaskSeconds(job), 1e-3);
}

void Placer::Guarantees() {
  std::vector<JobIdx> order = book_->live();
  std::sort(order.begin(), order.end(), [this](JobIdx a, JobIdx b) {
    const Job& x = (*book_)[a];
    const Job& y = (*book_)[b];
    if (x.submitted_wall != y.submitted_wall) return x.submitted_wall < y.submitted_wall;
    return x.id < y.id;
  });
  std::vector<TeamUse> sum(book_->teams.size());
  for (JobIdx j : order) {
    Job& job = (*book_)[j];
    const Team* team = TeamOf(job.team);
    TeamUse& s = sum[job.team];
    const auto n = static_cast<double>(job.tasks.size());
    s.cores += n * job.spec.cores;
    s.gpus += n * job.spec.gpus;
    job.guaranteed = team != nullptr && team->cores > 0 && s.cores <= team->cores + kEps &&
                     s.gpus <= team->gpus + kEps;
  }
}

void Placer::Rank() {
  const double now = clock_->Now();
  std::vector<JobIdx> arrays;
  for (JobIdx j : book_->live()) {
    if (!(*book_)[j].spec.service) arrays.push_back(j);
  }
  const double weights[] = {tuning_->weight_idle, tuning_->weight_normal, tuning_->weight_urgent,
                            tuning_->weight_production};
  std::vector<FspJob> run;
  for (JobIdx j : arrays) {
    Job& job = (*book_)[j];
    FspJob f;
    if (job.left <= 0 && job.done > 0) {
      // Over in the imagined run and not in the real one. Unless it was only
      // kept waiting, its estimate was too low: it is measured anew, or it would
      // hold the first rank for good.
      const double est = job.spec.estimate_s * job.spec.cores;
      if (TaskSeconds(job) * job.spec.cores > est * 1.2) job.left = WorkLeft(job) * 0.5;
    }
    f.left = job.left;
    const Team* team = TeamOf(job.team);
    f.weight = (team != nullptr && team->cores > 0 ? team->cores : 1.0) *
               weights[static_cast<int>(job.spec.priority)];
    f.cap = std::max(0.1, static_cast<double>(job.tasks.size() - job.done) * job.spec.cores);
    run.push_back(f);
  }
  capacity_ = 0;
  for (MachIdx m = 0; m < fleet_->size(); ++m) {
    const Machine& machine = (*fleet_)[m];
    const MachineType* type = rentals_->TypeOf(machine.type);
    if (machine.up && !machine.gone && type != nullptr) capacity_ += type->cores;
  }
  capacity_ = std::max(capacity_, 1.0);
  if (ranked_at_ >= 0) FspAdvance(&run, capacity_, now - ranked_at_);
  const auto finish = FspFinish(run, capacity_);
  for (size_t i = 0; i < arrays.size(); ++i) {
    (*book_)[arrays[i]].left = run[i].left;
    (*book_)[arrays[i]].finish = finish[i];
  }
  Guarantees();
  std::sort(arrays.begin(), arrays.end(), [this](JobIdx a, JobIdx b) {
    const Job& x = (*book_)[a];
    const Job& y = (*book_)[b];
    if (x.guaranteed != y.guaranteed) return x.guaranteed;
    if (x.finish != y.finish) return x.finish < y.finish;
    if (x.submitted_wall != y.submitted_wall) return x.submitted_wall < y.submitted_wall;
    return x.id < y.id;
  });
  ranked_ = std::move(arrays);
  ranked_at_ = now;
  rank_due_ = now + tuning_->refresh_s;
}

Node Placer::NodeOf(MachIdx mi) const {
  const Machine& m = (*fleet_)[mi];
  Node n;
  n.machine = mi;
  n.type = m.type;
  n.zone = m.zone;
  n.spot = m.spot;
  n.images = &m.images;
  if (const MachineType* type = rentals_->TypeOf(m.type)) {
    n.total_cores = type->cores;
    n.cores = type->cores - Fleet::UsedCores(m);
    n.gpus = type->gpus - Fleet::UsedGpus(m);
    n.memory_gb = type->memory_gb - Fleet::UsedMemory(m);
    n.fetch_gb_per_s = type->fetch_gb_per_s;
    n.usable = Usable(m);
  }
  for (const Slot& s : m.slots) {
    if (s.gone || !s.keep || s.job == kNone || (s.seen && s.state != TaskState::kFetching))
      continue;
    n.coming.push_back((*book_)[s.job].image);
  }
  return n;
}

void Placer::BuildNodes() {
  nodes_.clear();
  for (MachIdx m = 0; m < fleet_->size(); ++m) {
    if ((*fleet_)[m].gone || !(*fleet_)[m].up) continue;
    Node n = NodeOf(m);
    if (n.usable) nodes_.push_back(n);
  }
}

void Placer::BuildUse() {
  use_.assign(book_->teams.size(), TeamUse());
  TeamUse hidden;
  bool any_hidden = false;
  for (MachIdx mi = 0; mi < fleet_->size(); ++mi) {
    const Machine& m = (*fleet_)[mi];
    if (m.gone) continue;
    for (const Slot& s : m.slots) {
      if (s.gone || s.team == kNone) continue;
      use_[s.team].cores += s.cores;
      use_[s.team].gpus += s.gpus;
    }
    if (m.may_hold && !m.accounted) {
      any_hidden = true;
      const MachineType* type = rentals_->TypeOf(m.type);
      hidden.cores += type == nullptr ? 1e9 : type->cores;
      hidden.gpus += type == nullptr ? 1e9 : type->gpus;
    }
  }
  if (!any_hidden) return;
  // Tasks that may be on machines not accounted for count against their team.
  std::vector<TeamUse> unseen(book_->teams.size());
  auto add = [this, &unseen](const std::vector<JobIdx>& list) {
    for (JobIdx j : list) {
      const Job& job = (*book_)[j];
      if (!job.full || job.unseen == 0) continue;
      unseen[job.team].cores += job.unseen * job.spec.cores;
      unseen[job.team].gpus += job.unseen * job.spec.gpus;
    }
  };
  add(book_->live());
  add(book_->fading());
  for (size_t t = 0; t < use_.size(); ++t) {
    use_[t].cores += std::min(unseen[t].cores, hidden.cores);
    use_[t].gpus += std::min(unseen[t].gpus, hidden.gpus);
  }
}

bool Placer::TeamRoom(const Job& job) const {
  const Team* team = TeamOf(job.team);
  if (team == nullptr) return false;
  const TeamUse& u = use_[job.team];
  if (team->cores_max > 0 && u.cores + job.spec.cores > team->cores_max + kEps) return false;
  return team->gpus_max <= 0 || u.gpus + job.spec.gpus <= team->gpus_max + kEps;
}

bool Placer::ZoneRoom(const Job& job, std::vector<char>* zones,
                      const std::vector<uint32_t>& on) const {
  if (!job.spec.one_zone && !job.spec.apart) return true;
  // A task that may be on an unknown machine is in an unknown zone.
  if (job.unseen > 0) return false;
  zones->assign(book_->zones.size(), 1);
  std::vector<uint32_t> count(book_->zones.size(), 0);
  for (uint32_t m : on) {
    const uint32_t z = (*fleet_)[m].zone;
    if (z != kNone) ++count[z];
  }
  const auto most = static_cast<uint32_t>((job.tasks.size() + 1) / 2);
  for (size_t z = 0; z < zones->size(); ++z) {
    if (job.spec.apart && count[z] >= most) (*zones)[z] = 0;
    if (job.spec.one_zone && !on.empty() && count[z] == 0) (*zones)[z] = 0;
  }
  return true;
}

Need Placer::NeedOf(JobIdx j, std::vector<char>* types, std::vector<char>* zones,
                    std::vector<uint32_t>* siblings) const {
  const Job& job = (*book_)[j];
  Need n;
  n.cores = job.spec.cores;
  n.gpus = job.spec.gpus;
  n.memory_gb = job.spec.memory_gb;
  *types = TypeMask(job.spec);
  n.types = types->empty() ? nullptr : types;
  n.zone = job.zone;
  n.spot_ok = job.spec.spot;
  n.service = job.spec.service;
  // A replica that never ran and has waited for long, as at a cold start.
  n.patient =
      n.service && job.placed == 0 && clock_->Now() - job.waiting_since > tuning_->patient_s;
  n.image = job.image;
  n.image_gb = job.spec.image_gb;
  n.avoid = job.failed_on.empty() ? nullptr : &job.failed_on;
  n.siblings = siblings;
  n.zones = zones->empty() ? nullptr : zones;
  return n;
}

// The paper's delay scheduling: while jobs compete, one that would first have to
// fetch its image lets the room pass, for as long as the fetch would take.
double Placer::Patience(const Job& job) const {
  double rate = 0;
  for (const MachineType& t : rentals_->types()) {
    rate = rate == 0 ? t.fetch_gb_per_s : std::min(rate, t.fetch_gb_per_s);
  }
  return rate > 0 ? tuning_->delay_fetches * job.spec.image_gb / rate : 0;
}

void Placer::Put(JobIdx j, uint32_t task, Node* node, uint64_t attempt) {
  Job& job = (*book_)[j];
  fleet_->Place(node->machine, j, task, attempt);
  use_[job.team].cores += job.spec.cores;
  use_[job.team].gpus += job.spec.gpus;
  node->cores -= job.spec.cores;
  node->gpus -= job.spec.gpus;
  node->memory_gb -= job.spec.memory_gb;
  node->coming.push_back(job.image);
  (*fleet_)[node->machine].idle_since = -1;
}

int Placer::PlaceSome(JobIdx j, bool hold_back) {
  Job& job = (*book_)[j];
  const double now = clock_->Now();
  if (!job.told || job.waiting.empty() || now < job.backoff_until) return 0;
  std::vector<char> types;
  std::vector<char> zones;
  std::vector<uint32_t> on;
  // Where its tasks are, those on their way out included.
  if (job.spec.service || job.spec.one_zone || job.spec.apart) {
    for (MachIdx m = 0; m < fleet_->size(); ++m) {
      for (const Slot& s : (*fleet_)[m].slots) {
        if (s.job == j && !s.gone) on.push_back(m);
      }
    }
  }
  int placed = 0;
  // A job that keeps failing shows its worth with one task at a time.
  const int most = job.fail_streak >= 3 ? (job.placed > 0 ? 0 : 1) : INT32_MAX;
  while (!job.waiting.empty() && placed < most) {
    if (!TeamRoom(job) || !ZoneRoom(job, &zones, on)) break;
    Need need = NeedOf(j, &types, &zones, &on);
    need.cached_only = contended_ && !job.spec.service && !job.guaranteed &&
                       now - job.waiting_since < Patience(job);
    int at = -1;
    if (hold_back) {
      // Ordinary room that replicas may need soon is not given to arrays.
      double spare = -headroom_ * tuning_->headroom_free;
      for (const Node& n : nodes_) spare += n.spot ? 0 : std::max(0.0, n.cores);
      if (spare + kEps < job.spec.cores) {
        Need spot_only = need;
        std::vector<Node> spots = nodes_;
        for (Node& n : spots) n.usable = n.usable && n.spot;
        at = PickNode(spot_only, spots);
        if (at < 0) break;
      }
    }
    if (at < 0) at = PickNode(need, nodes_);
    if (at < 0) break;
    Node* node = &nodes_[static_cast<size_t>(at)];
    const uint32_t task = job.waiting.back();
    on.push_back(node->machine);
    Put(j, task, node, fleet_->NewAttempt());
    ++placed;
  }
  return placed;
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
  std::vector<char> types;
  std::vector<char> zones;
  std::vector<uint32_t> on;
  const std::vector<Node> nodes_before = nodes_;
  const std::vector<TeamUse> use_before = use_;
  std::vector<size_t> chosen;
  const auto count = static_cast<uint32_t>(job.waiting.size());
  bool limited = false;
  for (uint32_t i = 0; i < count; ++i) {
    limited = !TeamRoom(job);
    if (limited || !ZoneRoom(job, &zones, on)) break;
    const Need need = NeedOf(j, &types, &zones, &on);
    const int at = PickNode(need, nodes_);
    if (at < 0) break;
    Node& node = nodes_[static_cast<size_t>(at)];
    on.push_back(node.machine);
    chosen.push_back(static_cast<size_t>(at));
    use_[job.team].cores += job.spec.cores;
    use_[job.team].gpus += job.spec.gpus;
    node.cores -= job.spec.cores;
    node.gpus -= job.spec.gpus;
    node.memory_gb -= job.spec.memory_gb;
  }
  nodes_ = nodes_before;
  use_ = use_before;
  if (chosen.size() == count) {
    // Its tasks gather by their attempt: one number for all of them.
    const uint64_t attempt = fleet_->NewAttempt();
    for (size_t at : chosen) Put(j, job.waiting.back(), &nodes_[at], attempt);
    return;
  }
  if (!limited && now - job.waiting_since > kGangPatience) {
    std::vector<char> no_zones;
    HoldFor(NeedOf(j, &types, &no_zones, nullptr), count);
  }
}

// Keeps machines from jobs ranked lower until a gang has room on them: otherwise
// freed pieces would go to small tasks for ever.
void Placer::HoldFor(const Need& need, uint32_t tasks) {
  std::vector<size_t> order;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].usable && Allows(need, nodes_[i].type, nodes_[i].zone, nodes_[i].spot)) {
      order.push_back(i);
    }
  }
  std::sort(order.begin(), order.end(),
            [this](size_t a, size_t b) { return nodes_[a].cores > nodes_[b].cores; });
  double held = 0;
  for (size_t i : order) {
    if (held >= tasks) return;
    nodes_[i].usable = false;
    held += need.cores > 0 ? std::floor(nodes_[i].total_cores / need.cores + kEps) : tasks;
  }
}

// Makes room for a task of a job that may claim it: a higher priority, or a
// guarantee against what another team runs beyond its own.
void Placer::Preempt(JobIdx j) {
  const Job& job = (*book_)[j];
  if (!job.told || job.waiting.empty() || !TeamRoom(job)) return;
  std::vector<char> types;
  std::vector<char> zones;
  std::vector<uint32_t> on;
  for (MachIdx m = 0; m < fleet_->size(); ++m) {
    for (const Slot& s : (*fleet_)[m].slots) {
      if (s.job == j && !s.gone) on.push_back(m);
    }
  }
  if (!ZoneRoom(job, &zones, on)) return;
  const Need need = NeedOf(j, &types, &zones, &on);
  const double now = clock_->Now();
  MachIdx best = kNone;
  double best_loss = 0;
  std::vector<size_t> best_slots;
  for (MachIdx mi = 0; mi < fleet_->size(); ++mi) {
    const Machine& m = (*fleet_)[mi];
    if (!Usable(m) || !Allows(need, m.type, m.zone, m.spot)) continue;
    Node node = NodeOf(mi);
    // Room on its way already is enough.
    for (const Slot& s : m.slots) {
      if (s.gone || s.keep) continue;
      node.cores += s.cores;
      node.gpus += s.gpus;
      node.memory_gb += s.memory_gb;
    }
    if (Fits(need, node)) return;
    std::vector<std::pair<double, size_t>> victims;
    for (size_t i = 0; i < m.slots.size(); ++i) {
      const Slot& s = m.slots[i];
      if (s.gone || !s.keep || s.job == kNone) continue;
      const Job& other = (*book_)[s.job];
      if (other.spec.service || other.spec.gang) continue;
      const Team* theirs = TeamOf(other.team);
      const bool lower = other.spec.priority < job.spec.priority;
      const bool beyond = job.guaranteed && !other.guaranteed && other.team != job.team &&
                          theirs != nullptr && use_[other.team].cores > theirs->cores + kEps;
      if (!lower && !beyond) continue;
      const double ran = s.running_since < 0 ? 0 : now - s.running_since;
      const double lost =
          other.spec.checkpoint_s > 0 ? std::min(ran, other.spec.checkpoint_s / 2) : ran;
      victims.emplace_back(s.cores * lost, i);
    }
    std::sort(victims.begin(), victims.end());
    double loss = 0;
    std::vector<size_t> chosen;
    for (const auto& [cost, i] : victims) {
      if (Fits(need, node)) break;
      const Slot& s = m.slots[i];
      node.cores += s.cores;
      node.gpus += s.gpus;
      node.memory_gb += s.memory_gb;
      loss += cost;
      chosen.push_back(i);
    }
    if (!Fits(need, node)) continue;
    if (best == kNone || loss < best_loss) {
      best = mi;
      best_loss = loss;
      best_slots = chosen;
    }
  }
  if (best == kNone) return;
  for (size_t i : best_slots) {
    Slot& s = (*fleet_)[best].slots[i];
    const Job& other = (*book_)[s.job];
    spdlog::info("stopping {} on {} for {} ({})", s.name, (*fleet_)[best].name, job.id,
                 job.guaranteed ? "guaranteed" : "higher priority");
    s.asked_away = true;
    const bool saves = other.spec.checkpoint_s > 0 && other.spec.save_s <= 5;
    fleet_->Unwant(&s, saves ? other.spec.save_s + 1 : 0);
  }
}

void Placer::Pass() {
  const double now = clock_->Now();
  if (now >= rank_due_) Rank();
  BuildNodes();
  BuildUse();
  double unit_cores = 0;
  double unit_memory = 0;
  headroom_ = ServiceHeadroom(&unit_cores, &unit_memory);
  // Missing replicas first, the most important services before others.
  std::vector<JobIdx> services;
  for (JobIdx j : book_->live()) {
    const Job& job = (*book_)[j];
    if (job.spec.service && !job.waiting.empty() && job.told) services.push_back(j);
  }
  std::stable_sort(services.begin(), services.end(), [this](JobIdx a, JobIdx b) {
    return (*book_)[a].spec.priority > (*book_)[b].spec.priority;
  });
  for (JobIdx j : services) {
    PlaceSome(j, false);
    const Job& job = (*book_)[j];
    if (!job.waiting.empty() && now >= job.backoff_until) Preempt(j);
  }
  // Then the best-ranked array with a task that fits.
  double free = 0;
  double waiting = 0;
  for (const Node& n : nodes_) free += std::max(0.0, n.cores);
  for (JobIdx j : ranked_) {
    const Job& job = (*book_)[j];
    if (job.life == JobLife::kLive) {
      waiting += job.spec.cores * static_cast<double>(job.waiting.size());
    }
  }
  contended_ = waiting > free;
  int starved = 0;
  for (JobIdx j : ranked_) {
    Job& job = (*book_)[j];
    if (job.life != JobLife::kLive || job.waiting.empty()) continue;
    if (job.spec.gang) {
      PlaceGang(j);
      continue;
    }
    PlaceSome(j, true);
    if (!job.waiting.empty() && job.guaranteed && now >= job.backoff_until && starved < 4) {
      ++starved;
      Preempt(j);
    }
  }
}

double Placer::ServiceHeadroom(double* unit_cores, double* unit_memory) const {
  // Room for replicas to come back after a machine is lost, and for those that
  // arrive while a new machine boots.
  double most = 0;
  double boot = 0;
  for (MachIdx mi = 0; mi < fleet_->size(); ++mi) {
    const Machine& m = (*fleet_)[mi];
    if (m.gone) continue;
    double on = 0;
    for (const Slot& s : m.slots) {
      if (s.gone || s.job == kNone || !(*book_)[s.job].spec.service) continue;
      on += s.cores;
      *unit_cores = std::max(*unit_cores, s.cores);
      *unit_memory = std::max(*unit_memory, s.memory_gb);
    }
    most = std::max(most, on);
  }
  for (const MachineType& t : rentals_->types()) {
    boot = boot == 0 ? t.boot_s : std::min(boot, t.boot_s);
  }
  const double since = rate_at_ < 0 ? 0 : clock_->Now() - rate_at_;
  const double rate = service_rate_ * std::exp(-since / kRateMemory);
  return most * tuning_->headroom_machines + rate * boot * tuning_->headroom_boots;
}

double Placer::Preemptible() const {
  double sum = 0;
  for (MachIdx mi = 0; mi < fleet_->size(); ++mi) {
    const Machine& m = (*fleet_)[mi];
    if (m.spot || !Usable(m)) continue;
    for (const Slot& s : m.slots) {
      if (s.gone || s.job == kNone) continue;
      const JobSpec& spec = (*book_)[s.job].spec;
      if (!spec.service && !spec.gang && spec.priority < Priority::kProduction) sum += s.cores;
    }
  }
  return sum;
}

void Placer::Plan() {
  if (!rentals_->types_known()) return;
  WantedMachines();
  ReturnIdle(headroom_);
  Consolidate();
}

void Placer::WantedMachines() {
  const double now = clock_->Now();
  const double wall = clock_->Wall();
  std::vector<Offer> offers;
  std::vector<Node> bins;
  int machines = 0;
  for (size_t p = 0; p < rentals_->pools().size(); ++p) {
    const Pool& pool = rentals_->pools()[p];
    const MachineType* type = rentals_->TypeOf(pool.type);
    Offer o;
    o.type = pool.type;
    o.zone = pool.zone;
    o.spot = pool.spot;
    if (type != nullptr) {
      o.cores = type->cores;
      o.gpus = type->gpus;
      o.memory_gb = type->memory_gb;
      o.price = pool.spot ? type->spot_price : type->price;
      o.boot_s = type->boot_s;
    }
    o.refused = type == nullptr || now < pool.refused_until;
    const int pending = rentals_->Pending(static_cast<uint32_t>(p));
    o.existing = pending;
    // Machines asked for count as if they were booting.
    for (int i = 0; i < pending; ++i) {
      Node n;
      n.type = o.type;
      n.zone = o.zone;
      n.spot = o.spot;
      n.usable = true;
      n.cores = o.cores;
      n.gpus = o.gpus;
      n.memory_gb = o.memory_gb;
      bins.push_back(n);
      ++machines;
    }
    offers.push_back(o);
  }
  for (MachIdx mi = 0; mi < fleet_->size(); ++mi) {
    const Machine& m = (*fleet_)[mi];
    if (m.gone || m.returning) continue;
    ++machines;
    for (Offer& o : offers) {
      if (o.type == m.type && o.zone == m.zone && o.spot == m.spot) ++o.existing;
    }
    const MachineType* type = rentals_->TypeOf(m.type);
    if (type == nullptr) continue;
    Node n = NodeOf(mi);
    if (!m.up) {
      const double age = wall - m.rented_wall;
      n.usable = age < type->boot_s * tuning_->late_boot + 5;
    } else {
      n.usable = n.usable || (!m.drain && m.notice_until < 0 && now >= m.sick_until &&
                              now - m.heard_at < tuning_->silent_s);
    }
    if (n.usable) bins.push_back(n);
  }
  std::vector<Want> wants;
  std::vector<std::unique_ptr<std::vector<char>>> masks;
  auto want = [&](JobIdx j, uint32_t count) {
    masks.push_back(std::make_unique<std::vector<char>>());
    auto* types = masks.back().get();
    std::vector<char> no_zones;
    Want w;
    w.need = NeedOf(j, types, &no_zones, nullptr);
    w.need.zones = nullptr;
    w.need.avoid = nullptr;
    w.count = count;
    wants.push_back(w);
  };
  // What each team may still use.
  BuildUse();
  std::vector<double> room(book_->teams.size(), 1e9);
  for (uint32_t t = 0; t < room.size(); ++t) {
    const Team* team = TeamOf(t);
    if (team != nullptr && team->cores_max > 0) room[t] = team->cores_max - use_[t].cores;
  }
  auto within_limit = [&](const Job& job, uint32_t count) {
    double& r = room[job.team];
    if (job.spec.cores > 0) {
      count = std::min<uint32_t>(
          count, static_cast<uint32_t>(std::max(0.0, std::floor(r / job.spec.cores + kEps))));
    }
    r -= count * job.spec.cores;
    return count;
  };
  for (JobIdx j : book_->live()) {
    const Job& job = (*book_)[j];
    if (!job.spec.service) continue;
    const auto missing = static_cast<uint32_t>(job.waiting.size());
    const uint32_t n = within_limit(job, missing);
    if (n > 0) want(j, n);
  }
  double unit_cores = 0;
  double unit_memory = 0;
  double lent = 0;  // kept room that arrays may use meanwhile
  headroom_ = ServiceHeadroom(&unit_cores, &unit_memory);
  if (unit_cores > 0) {
    Want w;
    w.need.cores = unit_cores;
    w.need.memory_gb = unit_memory;
    // Arrays on ordinary machines give way: their room counts as kept.
    const double open = std::max(0.0, headroom_ - Preemptible());
    w.count = static_cast<uint32_t>(std::ceil(open / unit_cores));
    lent = std::max(0.0, open - headroom_ * tuning_->headroom_free);
    wants.push_back(w);
  }
  // Arrays: enough to work off what waits in the time the operator set.
  double backlog = 0;
  double waiting = 0;
  for (JobIdx j : ranked_) {
    const Job& job = (*book_)[j];
    if (job.life != JobLife::kLive || job.spec.gang || now < job.backoff_until ||
        job.fail_streak >= 3) {
      continue;
    }
    const double cores = job.spec.cores * static_cast<double>(job.waiting.size());
    waiting += cores;
    backlog += cores * TaskSeconds(job);
  }
  for (JobIdx j : ranked_) {
    // A gang needs room for all its tasks at once.
    const Job& job = (*book_)[j];
    if (!job.spec.gang || job.life != JobLife::kLive || job.waiting.size() < job.tasks.size()) {
      continue;
    }
    const auto n = static_cast<uint32_t>(job.waiting.size());
    if (within_limit(job, n) == n) want(j, n);
  }
  double left = std::min(waiting, backlog / tuning_->drain_s) - lent;
  for (JobIdx j : ranked_) {
    const Job& job = (*book_)[j];
    if (left <= 0) break;
    if (job.life != JobLife::kLive || job.spec.gang || now < job.backoff_until ||
        job.fail_streak >= 3) {
      continue;
    }
    const double per = std::max(job.spec.cores, 0.1);
    auto n = static_cast<uint32_t>(
        std::min<double>(static_cast<double>(job.waiting.size()), std::ceil(left / per)));
    n = within_limit(job, n);
    if (n == 0) continue;
    left -= n * per;
    want(j, n);
  }
  const auto rent = PlanRentals(offers, std::move(bins), wants, std::max(0, 400 - machines));
  for (const Rental& r : rent) {
    char why[160];
    std::snprintf(why, sizeof why, "%.0f cores of arrays wait, %.0f kept for replicas", waiting,
                  headroom_);
    rentals_->Rent(r.offer, r.count, why);
  }
}

// As services end, the rest of them is spread thinly over ordinary machines. The
// emptiest one is emptied, a replica at a time, each to where its image is.
void Placer::Consolidate() {
  const double now = clock_->Now();
  bool waits = fleet_->Unaccounted() > 0 || rentals_->Renting();
  for (JobIdx j : book_->live()) waits = waits || !(*book_)[j].waiting.empty();
  double free = 0;
  MachIdx chosen = kNone;
  MachIdx emptiest = kNone;
  double least = 0;
  for (MachIdx mi = 0; mi < fleet_->size(); ++mi) {
    Machine& m = (*fleet_)[mi];
    if (m.gone || m.returning) continue;
    if (m.emptying) {
      chosen = mi;
      continue;
    }
    if (m.spot || !Usable(m)) continue;
    free += NodeOf(mi).cores;
    const double used = Fleet::UsedCores(m);
    const bool settled =
        now - m.up_at > tuning_->settled_s &&
        std::all_of(m.slots.begin(), m.slots.end(), [this, now](const Slot& s) {
          return s.gone || (s.keep && s.job != kNone && s.state == TaskState::kRunning &&
                            now - s.launched_at > tuning_->settled_s);
        });
    if (settled && (emptiest == kNone || used < least)) {
      emptiest = mi;
      least = used;
    }
  }
  if (chosen != kNone) {
    Machine& m = (*fleet_)[chosen];
    if (waits && now - m.emptying_since > 3 && now - m.moved_at > 3) {
      // Its room is needed after all.
      m.emptying = m.drain = false;
      return;
    }
    if (!waits && now - m.moved_at > 0.5) MoveOne(chosen);
    return;
  }
  if (waits || emptiest == kNone) return;
  const MachineType* type = rentals_->TypeOf((*fleet_)[emptiest].type);
  const double others = free - (type == nullptr ? 0 : type->cores - least);
  if (others < least + headroom_ + tuning_->consolidate_spare * headroom_) return;
  Machine& m = (*fleet_)[emptiest];
  m.emptying = m.drain = true;
  m.emptying_since = now;
  spdlog::info("emptying machine {}: {} cores in use there, {} free elsewhere", m.name, least,
               others);
}

void Placer::MoveOne(MachIdx mi) {
  Machine& m = (*fleet_)[mi];
  for (Slot& s : m.slots) {
    if (s.gone || !s.keep || s.job == kNone || s.state != TaskState::kRunning) continue;
    const Job& job = (*book_)[s.job];
    if (!job.spec.service) continue;               // arrays end by themselves
    if (job.running < job.tasks.size()) continue;  // one replica of a job at a time
    std::vector<char> types;
    std::vector<char> zones;
    std::vector<uint32_t> on;
    for (MachIdx other = 0; other < fleet_->size(); ++other) {
      for (const Slot& t : (*fleet_)[other].slots) {
        if (t.job == s.job && !t.gone && t.attempt != s.attempt) on.push_back(other);
      }
    }
    if (!ZoneRoom(job, &zones, on)) continue;
    Need need = NeedOf(s.job, &types, &zones, &on);
    need.patient = false;
    need.cached_only = true;
    std::vector<Node> nodes;
    for (MachIdx other = 0; other < fleet_->size(); ++other) {
      const Machine& o = (*fleet_)[other];
      if (other == mi || o.gone || !o.up) continue;
      nodes.push_back(NodeOf(other));
      nodes.back().coming.clear();
    }
    if (PickNode(need, nodes) < 0) continue;
    spdlog::info("moving {} off {}", s.name, m.name);
    fleet_->Unwant(&s, 0);
    m.moved_at = clock_->Now();
    fleet_->changed = true;
    return;
  }
}

void Placer::ReturnIdle(double headroom) {
  const double now = clock_->Now();
  const double wall = clock_->Wall();
  double free_ordinary = 0;
  bool services_wait = false;
  double waiting = 0;
  for (JobIdx j : book_->live()) {
    const Job& job = (*book_)[j];
    if (job.waiting.empty() || now < job.backoff_until) continue;
    if (job.spec.service) services_wait = true;
    waiting += job.spec.cores * static_cast<double>(job.waiting.size());
  }
  for (MachIdx mi = 0; mi < fleet_->size(); ++mi) {
    const Machine& m = (*fleet_)[mi];
    if (m.up && !m.spot && Usable(m)) free_ordinary += NodeOf(mi).cores;
  }
  free_ordinary += Preemptible();
  for (MachIdx mi = 0; mi < fleet_->size(); ++mi) {
    Machine& m = (*fleet_)[mi];
    if (m.gone || m.returning) continue;
    const MachineType* type = rentals_->TypeOf(m.type);
    const double boot = type == nullptr ? 60 : type->boot_s;
    if (!m.up) {
      if (wall - m.rented_wall > boot * tuning_->give_up_boot && now - m.known_at > boot) {
        rentals_->Return(mi, "does not come up");
      }
      continue;
    }
    const bool empty =
        std::all_of(m.slots.begin(), m.slots.end(), [](const Slot& s) { return s.gone; });
    if (!empty || !m.accounted) {
      m.idle_since = -1;
      continue;
    }
    if (m.idle_since < 0) m.idle_since = now;
    if (m.notice_until >= 0) {
      rentals_->Return(mi, "the cloud takes it, and it is empty");
      continue;
    }
    if (type == nullptr) {
      rentals_->Return(mi, "its type is not offered");
      continue;
    }
    if (m.sick_count >= 2) {
      rentals_->Return(mi, "fails the tasks it starts");
      continue;
    }
    if (m.emptying) {
      rentals_->Return(mi, "emptied");
      continue;
    }
    const double idle = now - m.idle_since;
    if (m.spot) {
      if (idle > tuning_->idle_spot_boots * boot && waiting <= 0) rentals_->Return(mi, "idle");
    } else if (idle > tuning_->idle_ordinary_boots * boot && !services_wait &&
               free_ordinary - type->cores >= headroom) {
      free_ordinary -= type->cores;
      rentals_->Return(mi, "idle");
    }
  }
}

}  // namespace deckhall
