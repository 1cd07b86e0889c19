#include "cluster.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <stdexcept>

namespace deckhall {
namespace {

constexpr double kTickSeconds = 0.05;
constexpr double kWorkerTick = 0.25;
constexpr double kReportTimeout = 4;
constexpr double kCommitTimeout = 1;
constexpr double kStateTimeout = 2;
constexpr double kPollEvery = 5;
constexpr double kPollTimeout = 2;
constexpr double kAskTimeout = 5;
constexpr double kCloudTimeout = 5;
constexpr double kCloudDelay = 0.1;
constexpr double kLeaseLate = 0.1;
const char* const kZones[] = {"east", "west", "north"};

std::string NodeName(size_t i) { return "n" + std::to_string(i); }

bool SplitName(const std::string& name, std::string* job, uint32_t* task) {
  const size_t slash = name.rfind('/');
  *job = name.substr(0, slash);
  *task = static_cast<uint32_t>(std::stoul(name.substr(slash + 1)));
  return true;
}

}  // namespace

// One process: everything of it is dropped when it ends.
struct Cluster::Shell {
  size_t index = 0;
  std::string name;
  bool dead = false;
  double frozen_until = -1;
  NodeClock clock;
  std::unique_ptr<StateLink> state;
  std::unique_ptr<CloudLink> cloud;
  std::unique_ptr<WorkerLink> workers;
  std::unique_ptr<Links> links;
  std::unique_ptr<Controller> controller;
};

struct Cluster::Links : PeerTransport {
  Cluster* c;
  std::weak_ptr<Shell> self;
  std::vector<size_t> peers;  // node index by peer index

  bool IsConnected(size_t peer) const override {
    const auto& other = c->shells_[peers[peer]];
    const CutNow* cut = c->Blocked(self.lock()->name, NodeName(peers[peer]));
    return other && (cut == nullptr || cut->mode != CutMode::kRefuse);
  }
  void Send(size_t peer, const PeerFrame& frame) override {
    auto from = self.lock();
    auto to = c->shells_[peers[peer]];
    if (!to) return;
    Cluster* cluster = c;
    cluster->Carry(from->name, to->name, [cluster, from, to, peer, frame] {
      cluster->OnNode(to, [cluster, from, to, peer, frame] {
        to->controller->peer_network().HandleRequest(
            frame, [cluster, from, to, peer](const PeerFrame& reply) {
              cluster->Carry(to->name, from->name, [cluster, from, peer, reply] {
                cluster->OnNode(from, [from, peer, reply] {
                  from->controller->peer_network().HandleResponse(peer, reply);
                });
              });
            });
      });
    });
  }
};

template <class Answer, class Done>
std::function<void(const Answer&)> Cluster::FirstAnswer(const std::shared_ptr<Shell>& shell,
                                                        double timeout, const Answer& none,
                                                        Done done) {
  auto settled = std::make_shared<bool>(false);
  std::function<void(const Answer&)> answer = [this, shell, settled, done](const Answer& a) {
    OnNode(shell, [settled, done, a] {
      if (!std::exchange(*settled, true)) done(a);
    });
  };
  After(timeout, [answer, none] { answer(none); });
  return answer;
}

// Requests to the state service travel, are refused, or carried out late.
struct Cluster::StateLink : KeyValueStore {
  Cluster* c;
  std::weak_ptr<Shell> self;

  // Carries out `act` at the service; the answer comes back unless something is in the way.
  void Ask(double timeout, bool txn, const std::function<KeyValueResponse()>& act,
           const Done& done) {
    auto shell = self.lock();
    auto answer = c->FirstAnswer(shell, timeout, KeyValueResponse(), done);
    const bool late = txn && c->late_writes > 0 && c->Draw(c->late_writes);
    const bool unanswered = txn && c->lost_answers > 0 && c->Draw(c->lost_answers);
    Cluster* cluster = c;
    cluster->Carry(shell->name, "state", [cluster, shell, act, answer, late, unanswered] {
      if (cluster->StateRefuses(shell->name)) {
        KeyValueResponse a;
        a.status = KeyValueStatus::kUnavailable;
        cluster->Carry("state", shell->name, [answer, a] { answer(a); });
        return;
      }
      if (late) {
        cluster->After(std::uniform_real_distribution<double>(2, 12)(cluster->random_),
                       [act] { act(); });
        return;
      }
      const KeyValueResponse a = act();
      if (unanswered) return;
      cluster->After(cluster->slow_state_s, [cluster, shell, answer, a] {
        cluster->Carry("state", shell->name, [answer, a] { answer(a); });
      });
    });
  }
  // The store answers at once into its own queue.
  template <class Call>
  std::function<KeyValueResponse()> Act(Call call) {
    return [c = c, call] {
      c->ExpireLeases();
      KeyValueResponse out;
      call(&c->store_, [&out](const KeyValueResponse& a) { out = a; });
      c->store_.Run();
      c->FireWatches();
      return out;
    };
  }
  void Commit(const Transaction& txn, Done done) override {
    Ask(kCommitTimeout, true, Act([txn](FakeState* s, const Done& d) { s->Commit(txn, d); }), done);
  }
  void Get(const std::string& key, Done done) override {
    Ask(kStateTimeout, false, Act([key](FakeState* s, const Done& d) { s->Get(key, d); }), done);
  }
  void List(const std::string& prefix, const std::string& after, Done done) override {
    Ask(kStateTimeout, false,
        Act([prefix, after](FakeState* s, const Done& d) { s->List(prefix, after, d); }), done);
  }
  void GrantLease(int ttl_ms, Done done) override {
    auto act = Act([ttl_ms](FakeState* s, const Done& d) { s->GrantLease(ttl_ms, d); });
    Ask(
        kStateTimeout, false,
        [c = c, act, ttl_ms] {
          KeyValueResponse a = act();
          c->lease_ttl_[a.revision_or_lease] = ttl_ms / 1000.0;
          c->lease_until_[a.revision_or_lease] = c->clock_.now + ttl_ms / 1000.0;
          return a;
        },
        done);
  }
  void KeepAliveLease(uint64_t lease, double timeout_s, Done done) override {
    auto act = Act([lease](FakeState* s, const Done& d) { s->KeepAliveLease(lease, 0, d); });
    Ask(
        timeout_s, false,
        [c = c, act, lease] {
          KeyValueResponse a = act();
          if (a.status == KeyValueStatus::kOk) {
            c->lease_until_[lease] = c->clock_.now + c->lease_ttl_[lease];
          }
          return a;
        },
        done);
  }
  void RevokeLease(uint64_t lease, Done done) override {
    Ask(kStateTimeout, false,
        Act([lease](FakeState* s, const Done& d) { s->RevokeLease(lease, d); }), done);
  }
  void Watch(const std::string&, uint64_t after, int hold_ms, Done done) override {
    auto shell = self.lock();
    c->Carry(shell->name, "state", [c = c, shell, after, hold_ms, done] {
      c->watching_.push_back({shell, after, c->clock_.now + hold_ms / 1000.0, done});
      c->FireWatches();
    });
  }
  double AvailableWriteTokens() override { return 100; }
};

struct Cluster::CloudLink : CloudProvider {
  Cluster* c;
  std::weak_ptr<Shell> self;

  // Carries out `act` at the cloud, perhaps late; its answer comes back, or `none` in time.
  template <class Answer>
  void Ask(std::function<Answer()> act, Answer none, std::function<void(const Answer&)> done) {
    auto shell = self.lock();
    auto answer = c->FirstAnswer(shell, kCloudTimeout, none, done);
    Cluster* cluster = c;
    cluster->Carry(shell->name, "cloud", [cluster, shell, act, answer, none] {
      const Answer a = cluster->cloud_out ? none : act();
      cluster->After(kCloudDelay, [cluster, shell, answer, a] {
        cluster->Carry("cloud", shell->name, [answer, a] { answer(a); });
      });
    });
  }
  using TypeList = std::optional<std::vector<MachineType>>;
  void ListTypes(std::function<void(bool, std::vector<MachineType>)> done) override {
    Ask<TypeList>(
        [c = c]() -> TypeList { return c->cloud_.types; }, std::nullopt,
        [done](const TypeList& t) { done(t.has_value(), t.value_or(std::vector<MachineType>())); });
  }
  void ScaleOut(const std::string& request, const std::string&, const std::string& zone, bool spot,
                int count, std::function<void(ScaleOutResponse)> done) override {
    Ask<ScaleOutResponse>(
        [c = c, request, zone, spot, count] { return c->RentNow(request, zone, spot, count); },
        ScaleOutResponse(), [done](const ScaleOutResponse& a) { done(a); });
  }
  void ScaleIn(const std::vector<std::string>& names, std::function<void(bool)> done) override {
    Ask<bool>(
        [c = c, names] {
          for (const std::string& name : names) c->Delete(name);
          return true;
        },
        false, [done](const bool& ok) { done(ok); });
  }
  using Rows = std::optional<std::vector<CloudInstance>>;
  void ListInstances(const std::string&,
                     std::function<void(bool, std::vector<CloudInstance>, bool)> done) override {
    Ask<Rows>(
        [c = c]() -> Rows {
          std::vector<CloudInstance> rows;
          for (const auto& [name, w] : c->workers) {
            if (w.gone) continue;
            rows.push_back({name, w.report.endpoint, w.report.type, w.report.zone, w.report.spot,
                            InstanceState::kRunning, c->clock_.now});
          }
          return rows;
        },
        std::nullopt,
        [done](const Rows& rows) {
          done(rows.has_value(), rows.value_or(std::vector<CloudInstance>()), false);
        });
  }
};

ScaleOutResponse Cluster::RentNow(const std::string& request, const std::string& zone, bool spot,
                                  int count) {
  ScaleOutResponse a;
  a.ok = true;
  if (auto known = rented_.find(request); known != rented_.end()) {
    a.machines = known->second;
    return a;
  }
  if (rentable == 0) {
    a.ok = false;
    a.out_of_capacity = true;
    return a;
  }
  for (; count > 0 && rentable > 0; --count, --rentable) {
    a.machines.push_back("m-" + std::to_string(next_machine_++));
  }
  rented_[request] = a.machines;
  for (const std::string& name : a.machines) {
    const double boot = cloud_.types[0].boot_s;
    After(std::uniform_real_distribution<double>(0.1, 1.5)(random_) * boot,
          [this, name, zone, spot] {
            if (!deleted_.contains(name)) AddWorker(name, zone, spot);
          });
  }
  return a;
}

void Cluster::Delete(const std::string& name) {
  oracle->MachineGone(clock_.now, name);
  if (disruption) disruption->MachineGone(clock_.now, name);
  deleted_.insert(name);
  if (auto it = workers.find(name); it != workers.end()) it->second.gone = true;
}

struct Cluster::WorkerLink : WorkerClient {
  Cluster* c;
  std::weak_ptr<Shell> self;

  void Ask(const std::string& endpoint, bool commands, double timeout,
           const std::function<WorkerResponse(SimWorker*)>& act, const Done& done) {
    auto shell = self.lock();
    WorkerResponse none;
    none.sent = true;
    auto answer = c->FirstAnswer(shell, timeout, none, done);
    const std::string name = endpoint.substr(0, endpoint.find(':'));
    Cluster* cluster = c;
    // A hanging machine carries it out when it goes on.
    auto arrive = std::make_shared<std::function<void()>>();
    *arrive = [cluster, shell, name, act, answer, weak = std::weak_ptr(arrive)] {
      auto it = cluster->workers.find(name);
      if (it == cluster->workers.end() || it->second.gone) return;
      SimWorker& w = it->second;
      if (cluster->clock_.now < w.deaf_until) return;
      if (cluster->clock_.now < w.hangs_until) {
        if (auto again = weak.lock()) cluster->At(w.hangs_until, [again] { (*again)(); });
        return;
      }
      cluster->CheckLease(&w);
      const WorkerResponse a = act(&w);
      cluster->Carry(name, shell->name, [answer, a] { answer(a); });
    };
    if (commands && c->late_commands > 0 && c->Draw(c->late_commands)) {
      std::uniform_real_distribution<double> held_up(2, 16);
      c->After(held_up(c->random_), [arrive] { (*arrive)(); });
      return;
    }
    cluster->Carry(shell->name, name, [arrive] { (*arrive)(); });
  }
  void SendCommands(const std::string& endpoint, uint64_t token, uint64_t session,
                    const std::vector<Command>& commands, double timeout, Done done) override {
    c->NoteStops(token, commands);
    Ask(
        endpoint, true, timeout,
        [c = c, token, session, commands, sent = c->clock_.now](SimWorker* w) {
          WorkerResponse a;
          a.sent = a.has_heartbeat = true;
          const bool ok = token >= w->report.fencing_token && session == w->report.agent_epoch;
          if (ok) c->Execute(w, sent, token, commands);
          ++w->report.sequence;
          a.status = ok ? 200 : 409;
          a.heartbeat = w->report;
          return a;
        },
        done);
  }
  void Probe(const std::string& endpoint, double timeout, Done done) override {
    Ask(
        endpoint, false, timeout,
        [](SimWorker* w) {
          WorkerResponse a;
          a.sent = a.has_heartbeat = true;
          a.status = 200;
          ++w->report.sequence;
          a.heartbeat = w->report;
          return a;
        },
        done);
  }
};

Cluster::Cluster(uint64_t seed, size_t nodes, const Settings& times)
    : settings(times), random_(seed) {
  settings.zones = {"east", "west", "north"};
  settings.teams = {{"blue", 16, 24, 0, 0}, {"red", 0, 0, 0, 0}};
  tuning.idle_spot_boots = tuning.idle_ordinary_boots = 1000;
  cloud_.types = {BoxType(settings.zones)};
  oracle = std::make_unique<Oracle>(settings.teams, settings.cancel_s);
  shells_.resize(nodes);
  store_.value_limit = static_cast<size_t>(settings.current_state_limits.value_kb * 1024);
  store_.ops_limit = static_cast<size_t>(settings.current_state_limits.txn_ops);
  for (size_t i = 0; i < nodes; ++i) Boot(i);
  At(clock_.now + 1, [this] { Watch(); });
}

Cluster::~Cluster() { events_.clear(); }

void Cluster::Boot(size_t i) {
  if (shells_[i]) return;
  auto shell = std::make_shared<Shell>();
  shell->index = i;
  shell->name = NodeName(i);
  constexpr double kDrift = 0.0005;
  const double bound = settings.wall_clock_bound_ms / 1000;
  shell->clock.truth = &clock_;
  shell->clock.rate = std::uniform_real_distribution<double>(1 - kDrift, 1 + kDrift)(random_);
  shell->clock.wall_off = std::uniform_real_distribution<double>(-bound, bound)(random_);
  Settings s = settings;
  s.label = shell->name;
  s.site = kZones[i % 3];
  shell->links = std::make_unique<Links>();
  for (size_t j = 0; j < shells_.size(); ++j) {
    if (j == i) continue;
    s.siblings.push_back({NodeName(j), kZones[j % 3], {}});
    shell->links->peers.push_back(j);
  }
  shell->state = std::make_unique<StateLink>();
  shell->cloud = std::make_unique<CloudLink>();
  shell->workers = std::make_unique<WorkerLink>();
  shell->links->c = shell->state->c = shell->cloud->c = shell->workers->c = this;
  shell->links->self = shell->state->self = shell->cloud->self = shell->workers->self = shell;
  shell->controller = std::make_unique<Controller>(
      ControllerPorts{shell->state.get(), shell->cloud.get(), shell->workers.get(),
                      shell->links.get(), &shell->clock},
      s, tuning, next_instance_++);
  if (policy_) shell->controller->OfferPolicy(policy_);
  shells_[i] = shell;
  oracle->TroubleUntil(clock_.now);
  TickNode(shell);
}

void Cluster::Crash(size_t i) {
  if (!shells_[i]) return;
  oracle->TroubleUntil(clock_.now);
  shells_[i]->dead = true;
  shells_[i]->controller.reset();
  shells_[i] = nullptr;
}

void Cluster::Freeze(size_t i, double for_s) {
  if (!shells_[i]) return;
  shells_[i]->frozen_until = clock_.now + for_s;
  oracle->TroubleUntil(clock_.now + for_s);
}

void Cluster::CutOneWay(const std::string& from, const std::string& to, double for_s,
                        CutMode mode) {
  cuts_[{from, to}] = {clock_.now + for_s, mode};
  oracle->TroubleUntil(clock_.now + for_s);
}

void Cluster::Cut(const std::string& a, const std::string& b, double for_s, CutMode mode) {
  CutOneWay(a, b, for_s, mode);
  CutOneWay(b, a, for_s, mode);
}

void Cluster::CutZone(const std::string& zone, double for_s, CutMode mode) {
  std::vector<std::string> inside;
  std::vector<std::string> outside = {"state", "users", "cloud"};
  for (const auto& [name, w] : workers) (w.report.zone == zone ? inside : outside).push_back(name);
  for (size_t i = 0; i < shells_.size(); ++i) {
    (kZones[i % 3] == zone ? inside : outside).push_back(NodeName(i));
  }
  for (const std::string& in : inside) {
    for (const std::string& out : outside) Cut(in, out, for_s, mode);
  }
}

void Cluster::StateOutage(double for_s) {
  state_out_until_ = clock_.now + for_s;
  oracle->TroubleUntil(state_out_until_);
  // After an outage every lease has its full time again.
  for (auto& [lease, until] : lease_until_) {
    if (store_.leases.contains(lease) && until > clock_.now) {
      until = state_out_until_ + lease_ttl_[lease];
    }
  }
}

const Cluster::CutNow* Cluster::Blocked(const std::string& from, const std::string& to) const {
  auto group = [](const std::string& who) { return who.starts_with("m-") ? "workers" : who; };
  for (const auto& key : {std::pair(from, to), std::pair(std::string(group(from)), to),
                          std::pair(from, std::string(group(to)))}) {
    auto it = cuts_.find(key);
    if (it != cuts_.end() && it->second.until > clock_.now) return &it->second;
  }
  return nullptr;
}

double Cluster::Delay() {
  return delay_s + std::uniform_real_distribution<double>(0.001, 0.004)(random_);
}

void Cluster::Carry(const std::string& from, const std::string& to, std::function<void()> fn) {
  const CutNow* cut = Blocked(from, to);
  if (cut == nullptr) {
    After(Delay(), std::move(fn));
  } else if (cut->mode == CutMode::kHold) {
    At(cut->until + Delay(), std::move(fn));
  }
}

void Cluster::OnNode(const std::shared_ptr<Shell>& shell, const std::function<void()>& fn) {
  if (shell->dead) return;
  if (clock_.now < shell->frozen_until) {
    At(shell->frozen_until, [this, shell, fn] { OnNode(shell, fn); });
    return;
  }
  if (spdlog::should_log(spdlog::level::debug)) {
    spdlog::set_pattern(std::to_string(clock_.now) + " " + shell->name + " %v");
  }
  fn();
}

void Cluster::TickNode(const std::shared_ptr<Shell>& shell) {
  OnNode(shell, [this, shell] {
    shell->controller->Tick();
    After(kTickSeconds, [this, shell] { TickNode(shell); });
  });
}

bool Cluster::StateRefuses(const std::string& who) const {
  const CutNow* cut = Blocked(who, "state");
  return clock_.now < state_out_until_ || (cut != nullptr && cut->mode == CutMode::kRefuse);
}

void Cluster::ExpireLeases() {
  for (auto it = lease_until_.begin(); it != lease_until_.end();) {
    if (clock_.now < it->second + kLeaseLate) {
      ++it;
      continue;
    }
    if (store_.leases.contains(it->first)) store_.EndLease(it->first);
    it = lease_until_.erase(it);
  }
}

void Cluster::FireWatches() {
  if (clock_.now < state_out_until_) return;
  auto entry = store_.keys.find(Election::kKey);
  const uint64_t version = entry == store_.keys.end() ? UINT64_MAX : entry->second.version;
  for (Watching& w : std::exchange(watching_, {})) {
    auto shell = w.shell.lock();
    if (!shell || shell->dead) continue;
    const bool refused = StateRefuses(shell->name);
    if (refused || (version == w.after && clock_.now < w.until)) {
      watching_.push_back(std::move(w));
      continue;
    }
    KeyValueResponse a;
    a.status = KeyValueStatus::kOk;
    a.revision_or_lease = store_.revision;
    Carry("state", shell->name,
          [this, shell, done = w.done, a] { OnNode(shell, [done, a] { done(a); }); });
  }
}

SimWorker& Cluster::AddWorker(const std::string& zone, bool spot) {
  return AddWorker("m-" + std::to_string(next_machine_++), zone, spot);
}

SimWorker& Cluster::AddWorker(const std::string& name, const std::string& zone, bool spot) {
  SimWorker& w = workers[name];
  w.report.machine = name;
  w.report.endpoint = name + ":1";
  w.report.type = "box";
  w.report.zone = zone;
  w.report.spot = spot;
  w.report.agent_epoch = 1;
  w.rate = std::uniform_real_distribution<double>(0.9995, 1.0005)(random_);
  w.node = workers.size() % shells_.size();
  w.lease_from = clock_.now;
  After(std::uniform_real_distribution<double>(0, settings.heartbeat_interval_s)(random_),
        [this, name] { WorkerTick(name); });
  return w;
}

void Cluster::Hang(const std::string& machine, double for_s) {
  workers[machine].hangs_until = clock_.now + for_s;
  oracle->TroubleUntil(clock_.now + for_s);
}
void Cluster::Deaf(const std::string& machine, double for_s) {
  workers[machine].deaf_until = clock_.now + for_s;
  oracle->TroubleUntil(clock_.now + for_s);
}
void Cluster::Mute(const std::string& machine, double for_s) {
  workers[machine].mute_until = clock_.now + for_s;
  oracle->TroubleUntil(clock_.now + for_s);
}

void Cluster::ReplayReports(const std::string& machine, double after_s) {
  After(after_s, [this, sent = workers[machine].sent] {
    for (const Heartbeat& r : sent) {
      for (const auto& shell : shells_) {
        if (!shell) continue;
        OnNode(shell, [shell, r] {
          shell->controller->HandleHeartbeat(r, [](const HeartbeatResponse&) {});
        });
      }
    }
  });
}

void Cluster::NoteStops(uint64_t token, const std::vector<Command>& commands) {
  for (const Command& c : commands) {
    if (c.operation == CommandOp::kStop)
      stop_sent_.try_emplace({c.task_name, c.attempt, TermOf(token)}, clock_.now);
  }
}

void Cluster::SetPolicy(const std::string& text) {
  auto policy = ReadPolicy(text);
  if (!policy) throw std::invalid_argument(DescribeError(policy.error()));
  policy_ = std::make_shared<const DisruptionPolicy>(std::move(policy.value()));
  for (const auto& shell : shells_) {
    if (shell) shell->controller->OfferPolicy(policy_);
  }
}

void Cluster::EndTask(SimWorker* w, TaskStatus* t, ExitReason why) {
  std::string job;
  uint32_t task = 0;
  SplitName(t->task_name, &job, &task);
  t->state = TaskState::kExited;
  t->exit_reason = why;
  w->ends_at.erase(t->task_name);
  oracle->Ended(clock_.now, job, task, w->report.machine, why == ExitReason::kDone);
  if (disruption) disruption->Ended(clock_.now, t->task_name, w->report.machine);
}

void Cluster::CheckLease(SimWorker* w) {
  if ((clock_.now - w->lease_from) * w->rate <= settings.lease_s) return;
  for (TaskStatus& t : w->report.tasks) {
    if (t.state != TaskState::kExited) EndTask(w, &t, ExitReason::kStopped);
  }
  w->report.tasks.clear();
  ++w->report.agent_epoch;
  w->lease_from = clock_.now;
  w->next_report = clock_.now;
}

double Cluster::Used(const SimWorker& w) const {
  double cores = 0;
  for (const TaskStatus& t : w.report.tasks) {
    if (t.state == TaskState::kExited) continue;
    cores += specs_.at(t.task_name.substr(0, t.task_name.rfind('/'))).cores;
  }
  return cores;
}

void Cluster::Launch(SimWorker* w, double commanded_at, const Command& c) {
  std::string job;
  uint32_t task = 0;
  SplitName(c.task_name, &job, &task);
  TaskStatus t{c.task_name, c.attempt, TaskState::kRunning, ExitReason::kNone, false};
  auto refuse = [w, &t](ExitReason why) {
    t.state = TaskState::kExited;
    t.exit_reason = why;
    w->report.tasks.push_back(t);
  };
  const bool here =
      std::any_of(w->report.tasks.begin(), w->report.tasks.end(), [&c](const TaskStatus& o) {
        return o.task_name == c.task_name && o.state != TaskState::kExited;
      });
  if (!specs_.contains(job)) return refuse(ExitReason::kUnknownTask);
  if (here) return refuse(ExitReason::kAttemptConflict);
  const JobSpec& spec = specs_.at(job);
  if (Used(*w) + spec.cores > cloud_.types[0].cores + 1e-6)
    return refuse(ExitReason::kInsufficientCapacity);
  if (spec.gang) t.state = TaskState::kWaitingForGang;
  w->report.tasks.push_back(t);
  if (!spec.service && !spec.gang) w->ends_at[c.task_name] = clock_.now + run_s + task * spread_s;
  oracle->Started(clock_.now, commanded_at, job, task,
                  {w->report.machine, w->report.type, w->report.zone, w->report.spot, 0, 0});
  if (disruption && spec.service) {
    disruption->Started(clock_.now, c.task_name, spec, w->report.machine);
  }
}

void Cluster::Execute(SimWorker* w, double commanded_at, uint64_t token,
                      const std::vector<Command>& commands) {
  if (token > w->report.fencing_token) w->next_report = std::min(w->next_report, clock_.now + 0.5);
  w->report.fencing_token = std::max(w->report.fencing_token, token);
  for (const Command& c : commands) {
    auto it = std::find_if(
        w->report.tasks.begin(), w->report.tasks.end(),
        [&c](const TaskStatus& t) { return t.task_name == c.task_name && t.attempt == c.attempt; });
    const bool known = it != w->report.tasks.end();
    if (c.operation == CommandOp::kStart && !known) {
      Launch(w, commanded_at, c);
    } else if (c.operation == CommandOp::kStop && known && it->state != TaskState::kExited) {
      if (disruption) {
        disruption->Stopped(clock_.now, stop_sent_[{c.task_name, c.attempt, TermOf(token)}],
                            c.task_name);
      }
      EndTask(w, &*it, ExitReason::kStopped);
    } else if (c.operation == CommandOp::kAcknowledgeExit && known &&
               it->state == TaskState::kExited) {
      w->report.tasks.erase(it);
      continue;
    } else {
      continue;
    }
    w->next_report = std::min(w->next_report, clock_.now + 0.5);
  }
}

void Cluster::WorkerTick(const std::string& name) {
  SimWorker& w = workers[name];
  if (w.gone) return;
  After(kWorkerTick, [this, name] { WorkerTick(name); });
  CheckLease(&w);  // what hangs beyond its lease never goes on
  if (clock_.now < w.hangs_until) return;
  for (TaskStatus& t : w.report.tasks) {
    auto it = w.ends_at.find(t.task_name);
    if (t.state == TaskState::kExited || it == w.ends_at.end() || clock_.now < it->second) continue;
    EndTask(&w, &t, ExitReason::kDone);
    w.next_report = std::min(w.next_report, clock_.now);
  }
  if (!w.waiting && clock_.now >= w.next_report) SendReport(name);
}

void Cluster::NextNode(SimWorker* w, double after_s) {
  w->node = (w->node + 1) % shells_.size();
  w->next_report = clock_.now + after_s;
}

void Cluster::SendReport(const std::string& name) {
  SimWorker& w = workers[name];
  auto shell = shells_[w.node];
  const CutNow* cut = Blocked(name, NodeName(w.node));
  if (!shell || clock_.now < w.mute_until || (cut != nullptr && cut->mode == CutMode::kRefuse)) {
    NextNode(&w, 1);
    return;
  }
  ++w.report.sequence;
  w.waiting = true;
  const uint64_t number = ++w.asked;
  const double sent = clock_.now;
  w.sent.push_back(w.report);
  if (w.sent.size() > 8) w.sent.erase(w.sent.begin());
  After(kReportTimeout, [this, name, number] {
    SimWorker& late = workers[name];
    if (late.asked != number || !late.waiting) return;
    late.waiting = false;
    ++late.asked;
    NextNode(&late, 1);
  });
  Carry(name, shell->name, [this, shell, name, number, sent, report = w.report] {
    OnNode(shell, [this, shell, name, number, sent, report] {
      shell->controller->HandleHeartbeat(
          report, [this, shell, name, number, sent](const HeartbeatResponse& r) {
            NoteStops(r.fencing_token, r.commands);
            Carry(shell->name, name, [this, name, number, sent, answered = clock_.now, r] {
              Reported(name, number, sent, answered, r);
            });
          });
    });
  });
}

void Cluster::Reported(const std::string& name, uint64_t number, double sent, double answered,
                       const HeartbeatResponse& r) {
  SimWorker& w = workers[name];
  if (w.gone || !w.waiting || w.asked != number || clock_.now < w.deaf_until ||
      clock_.now < w.hangs_until) {
    return;
  }
  w.waiting = false;
  std::uniform_real_distribution<double> jitter(0.75, 1.25);
  if (r.status == 421 && !r.redirect_to.empty()) {
    w.node = static_cast<size_t>(std::stoul(r.redirect_to.substr(1)));
    w.next_report = clock_.now + 0.1;
    return;
  }
  if (r.status != 200) {
    NextNode(&w, 1);
    return;
  }
  w.next_report = clock_.now + settings.heartbeat_interval_s * jitter(random_);
  const uint64_t session = w.report.agent_epoch;
  CheckLease(&w);
  if (r.fencing_token < w.report.fencing_token || session != w.report.agent_epoch) return;
  w.lease_from = sent;
  Execute(&w, answered, r.fencing_token, r.commands);
}

void Cluster::Ask(JobOperation op, const std::string& id,
                  const std::function<void(const JobResponse&)>& done) {
  auto settled = std::make_shared<bool>(false);
  auto answer = [this, op, id, settled, done, asked = clock_.now](const JobResponse& r) {
    if (std::exchange(*settled, true)) return;
    if (r.status == 200 && r.state == JobState::kDone) over_.insert(id);
    oracle->Told(clock_.now, asked, op, id, r);
    done(r);
  };
  JobResponse none;
  none.status = 0;
  After(op == JobOperation::kGet ? kPollTimeout : kAskTimeout, [answer, none] { answer(none); });
  std::vector<std::shared_ptr<Shell>> up;
  for (const auto& shell : shells_) {
    if (shell && shell->controller->IsHealthy()) up.push_back(shell);
  }
  if (up.empty()) return;
  auto shell = up[std::uniform_int_distribution<size_t>(0, up.size() - 1)(random_)];
  JobRequest ask;
  ask.operation = op;
  ask.job_id = id;
  if (op == JobOperation::kSubmit) ask.job = specs_.at(id);
  Carry("users", shell->name, [this, shell, ask, answer] {
    OnNode(shell, [this, shell, ask, answer] {
      shell->controller->HandleJobRequest(ask, [this, shell, answer](const JobResponse& r) {
        Carry(shell->name, "users", [answer, r] { answer(r); });
      });
    });
  });
}

void Cluster::Submit(const JobSpec& spec) {
  specs_[spec.id] = spec;
  oracle->Asked(spec);
  Ask(JobOperation::kSubmit, spec.id, [this, spec](const JobResponse& r) {
    if (r.status == 200 || r.status == 201) {
      if (accepted_.insert(spec.id).second) Poll(spec.id);
    } else if (r.status != 400 && r.status != 422) {
      After(1, [this, spec] { Submit(spec); });
    }
  });
}

void Cluster::Cancel(const std::string& id) {
  if (disruption) disruption->JobOver(id);
  oracle->CancelAsked(id);
  Ask(JobOperation::kCancel, id, [this, id](const JobResponse& r) {
    if (r.status == 200) {
      if (r.state == JobState::kCancelled) cancelled_.insert(id);
    } else if (r.status != 404) {
      After(1, [this, id] { Cancel(id); });
    }
  });
}

void Cluster::AskOnce(JobOperation op, const std::string& id) {
  Ask(op, id, [](const JobResponse&) {});
}

void Cluster::SubmitHopeless(const std::string& id) {
  JobSpec spec = Array(id, 1, cloud_.types[0].cores + 1);
  specs_[id] = spec;
  oracle->AskedHopeless(id);
  Ask(JobOperation::kSubmit, id, [](const JobResponse&) {});
}

void Cluster::Poll(const std::string& id) {
  Ask(JobOperation::kGet, id, [](const JobResponse&) {});
  std::uniform_real_distribution<double> jitter(0.8, 1.2);
  After(kPollEvery * jitter(random_), [this, id] { Poll(id); });
}

void Cluster::LowerStateLimits() {
  store_.value_limit = static_cast<size_t>(settings.effective_state_limits.value_kb * 1024);
  store_.ops_limit = static_cast<size_t>(settings.effective_state_limits.txn_ops);
}
bool Cluster::Drained(const SimWorker& w) const {
  return policy_ != nullptr &&
         std::any_of(policy_->drains.begin(), policy_->drains.end(), [&w](const DrainRequest& d) {
           return d.machines.Matches(w.report.machine, w.report.type, w.report.zone,
                                     w.report.endpoint);
         });
}

void Cluster::Watch() {
  StepGangs();
  std::vector<Oracle::Place> open;
  for (const auto& [name, w] : workers) {
    const double now = clock_.now;
    if (w.gone || now < w.hangs_until || now < w.deaf_until || now < w.mute_until) continue;
    if (Drained(w)) continue;
    open.push_back({name, w.report.type, w.report.zone, w.report.spot,
                    cloud_.types[0].cores - Used(w), cloud_.types[0].memory_gb});
  }
  oracle->Step(clock_.now, open);
  ExpireLeases();
  FireWatches();
  After(0.25, [this] { Watch(); });
}

void Cluster::Run(double seconds) {
  RunUntil([] { return false; }, seconds);
}

bool Cluster::RunUntil(const std::function<bool()>& when, double most_s) {
  const double end = clock_.now + most_s;
  while (!when()) {
    if (events_.empty() || events_.begin()->first > end) {
      clock_.now = end;
      return when();
    }
    auto next = events_.extract(events_.begin());
    clock_.now = std::max(clock_.now, next.key());
    next.mapped()();
  }
  return true;
}

Controller* Cluster::node(size_t i) { return shells_[i] ? shells_[i]->controller.get() : nullptr; }

size_t Cluster::Leader() const {
  for (size_t i = 0; i < shells_.size(); ++i) {
    const auto& s = shells_[i];
    if (s && s->controller->IsLeaseValid() && s->controller->leader() != nullptr &&
        s->controller->leader()->loaded()) {
      return i;
    }
  }
  return SIZE_MAX;
}

size_t Cluster::On(const std::string& job) const {
  size_t n = 0;
  for (const auto& [name, w] : workers) n += w.gone ? 0 : CountTasks(w.report, job);
  return n;
}

std::string Cluster::MachineOf(const std::string& task) const {
  for (const auto& [name, w] : workers) {
    for (const TaskStatus& t : w.report.tasks) {
      if (!w.gone && t.task_name == task && t.state != TaskState::kExited) return name;
    }
  }
  return "";
}

std::string Cluster::Broken() const {
  std::string out;
  for (const std::string& line : oracle->broken()) out += line + "\n";
  return out;
}

}  // namespace deckhall
