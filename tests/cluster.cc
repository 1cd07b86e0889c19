#include "cluster.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <stdexcept>

#include "wire/worker_codec.h"

namespace deckhall {
namespace {

constexpr double kTickSeconds = 0.05;
constexpr double kWorkerTickSeconds = 0.25;
constexpr double kHeartbeatTimeoutSeconds = 4;
constexpr double kCommitTimeoutSeconds = 1;
constexpr double kStateTimeoutSeconds = 2;
constexpr double kPollIntervalSeconds = 5;
constexpr double kPollTimeoutSeconds = 2;
constexpr double kJobRequestTimeoutSeconds = 5;
constexpr double kCloudTimeoutSeconds = 5;
constexpr double kCloudDelaySeconds = 0.1;
constexpr double kLeaseExpiryDelaySeconds = 0.1;
constexpr double kFaultyTaskSeconds = 0.2;
constexpr double kCheckIntervalSeconds = 0.25;
const char* const kZones[] = {"east", "west", "north"};

std::string NodeName(size_t i) { return "n" + std::to_string(i); }

bool SplitName(const std::string& name, std::string* job, uint32_t* task) {
  const size_t slash = name.rfind('/');
  *job = name.substr(0, slash);
  *task = static_cast<uint32_t>(std::stoul(name.substr(slash + 1)));
  return true;
}

}  // namespace

// A controller process. Its state is lost when it crashes.
struct Cluster::Process {
  size_t index = 0;
  std::string name;
  bool dead = false;
  double frozen_until = -1;
  NodeClock clock;
  std::unique_ptr<StateLink> state;
  std::unique_ptr<CloudLink> cloud;
  std::unique_ptr<WorkerLink> workers;
  std::unique_ptr<PeerLinks> links;
  std::unique_ptr<Controller> controller;
};

struct Cluster::PeerLinks : PeerTransport {
  Cluster* owner;
  std::weak_ptr<Process> self;
  std::vector<size_t> peers;  // controller index by peer index

  bool IsConnected(size_t peer) const override {
    const auto& other = owner->processes_[peers[peer]];
    const ActivePartition* partition = owner->Blocked(self.lock()->name, NodeName(peers[peer]));
    return other && (partition == nullptr || partition->mode != PartitionMode::kRefuse);
  }
  void Send(size_t peer, const PeerFrame& frame) override {
    auto from = self.lock();
    auto to = owner->processes_[peers[peer]];
    if (!to) return;
    Cluster* cluster = owner;
    cluster->Deliver(from->name, to->name, [cluster, from, to, peer, frame] {
      cluster->RunOnProcess(to, [cluster, from, to, peer, frame] {
        cluster->CopyRequest([cluster, index = to->index, frame] {
          const auto process = cluster->processes_[index];
          if (!process) return;
          cluster->RunOnProcess(process, [process, frame] {
            process->controller->peer_network().HandleRequest(frame, [](const PeerFrame&) {});
          });
        });
        to->controller->peer_network().HandleRequest(
            frame, [cluster, from, to, peer](const PeerFrame& reply) {
              cluster->Deliver(to->name, from->name, [cluster, from, peer, reply] {
                cluster->RunOnProcess(from, [from, peer, reply] {
                  from->controller->peer_network().HandleResponse(peer, reply);
                });
              });
            });
      });
    });
  }
};

template <class Response, class Done>
std::function<void(const Response&)> Cluster::FirstResponse(const std::shared_ptr<Process>& process,
                                                            double timeout,
                                                            const Response& timeout_response,
                                                            Done done) {
  auto responded = std::make_shared<bool>(false);
  std::function<void(const Response&)> respond = [this, process, responded,
                                                  done](const Response& response) {
    RunOnProcess(process, [responded, done, response] {
      if (!std::exchange(*responded, true)) done(response);
    });
  };
  ScheduleAfter(timeout, [respond, timeout_response] { respond(timeout_response); });
  return respond;
}

// Connection of a controller to the state service, with delays, refusals and lost responses.
struct Cluster::StateLink : KeyValueStore {
  Cluster* owner;
  std::weak_ptr<Process> self;

  // Runs `execute` at the service and returns the response, unless a fault prevents either.
  void SendRequest(double timeout, bool txn, const std::function<KeyValueResponse()>& execute,
                   const Done& done) {
    auto process = self.lock();
    auto respond = owner->FirstResponse(process, timeout, KeyValueResponse(), done);
    const bool delay_execution =
        txn && owner->delayed_commit_share > 0 && owner->Chance(owner->delayed_commit_share);
    const bool drop_response =
        txn && owner->lost_response_share > 0 && owner->Chance(owner->lost_response_share);
    Cluster* cluster = owner;
    cluster->Deliver(
        process->name, "state",
        [cluster, process, execute, respond, delay_execution, drop_response] {
          if (cluster->StateRefusesRequestsOf(process->name)) {
            KeyValueResponse response;
            response.status = KeyValueStatus::kUnavailable;
            cluster->Deliver("state", process->name, [respond, response] { respond(response); });
            return;
          }
          if (delay_execution) {
            cluster->ScheduleAfter(std::uniform_real_distribution<double>(2, 12)(cluster->random_),
                                   [execute] { execute(); });
            return;
          }
          const KeyValueResponse response = execute();
          cluster->CopyRequest([cluster, execute] {
            if (cluster->clock_.now >= cluster->state_unavailable_until_) execute();
          });
          if (drop_response) return;
          cluster->ScheduleAfter(cluster->state_delay_s, [cluster, process, respond, response] {
            cluster->Deliver("state", process->name, [respond, response] { respond(response); });
          });
        });
  }
  // Wraps a call of the fake store, which responds through its own queue.
  template <class Call>
  std::function<KeyValueResponse()> OnStore(Call call) {
    return [owner = owner, call] {
      owner->ExpireLeases();
      KeyValueResponse result;
      call(&owner->store_, [&result](const KeyValueResponse& response) { result = response; });
      owner->store_.Run();
      owner->FireWatches();
      return result;
    };
  }
  void Commit(const Transaction& txn, Done done) override {
    SendRequest(kCommitTimeoutSeconds, true,
                OnStore([txn](FakeState* store, const Done& d) { store->Commit(txn, d); }), done);
  }
  void Get(const std::string& key, Done done) override {
    SendRequest(kStateTimeoutSeconds, false,
                OnStore([key](FakeState* store, const Done& d) { store->Get(key, d); }), done);
  }
  void List(const std::string& prefix, const std::string& after, Done done) override {
    SendRequest(kStateTimeoutSeconds, false,
                OnStore([prefix, after](FakeState* store, const Done& d) {
                  store->List(prefix, after, d);
                }),
                done);
  }
  void GrantLease(int ttl_ms, Done done) override {
    auto execute =
        OnStore([ttl_ms](FakeState* store, const Done& d) { store->GrantLease(ttl_ms, d); });
    SendRequest(
        kStateTimeoutSeconds, false,
        [owner = owner, execute, ttl_ms] {
          KeyValueResponse response = execute();
          owner->lease_ttl_[response.revision_or_lease] = ttl_ms / 1000.0;
          owner->lease_until_[response.revision_or_lease] = owner->clock_.now + ttl_ms / 1000.0;
          return response;
        },
        done);
  }
  void KeepAliveLease(uint64_t lease, double timeout_s, Done done) override {
    auto execute =
        OnStore([lease](FakeState* store, const Done& d) { store->KeepAliveLease(lease, 0, d); });
    SendRequest(
        timeout_s, false,
        [owner = owner, execute, lease] {
          KeyValueResponse response = execute();
          if (response.status == KeyValueStatus::kOk) {
            owner->lease_until_[lease] = owner->clock_.now + owner->lease_ttl_[lease];
          }
          return response;
        },
        done);
  }
  void RevokeLease(uint64_t lease, Done done) override {
    SendRequest(kStateTimeoutSeconds, false,
                OnStore([lease](FakeState* store, const Done& d) { store->RevokeLease(lease, d); }),
                done);
  }
  void Watch(const std::string&, uint64_t after, int hold_ms, Done done) override {
    auto process = self.lock();
    owner->Deliver(process->name, "state", [owner = owner, process, after, hold_ms, done] {
      owner->pending_watches_.push_back(
          {process, after, owner->clock_.now + hold_ms / 1000.0, done});
      owner->FireWatches();
    });
  }
  double AvailableWriteTokens() override { return 100; }
};

struct Cluster::CloudLink : CloudProvider {
  Cluster* owner;
  std::weak_ptr<Process> self;

  // Runs `execute` at the cloud; `done` gets the response, or `timeout_response` after the timeout.
  template <class Response>
  void SendRequest(std::function<Response()> execute, Response timeout_response,
                   std::function<void(const Response&)> done) {
    auto process = self.lock();
    auto respond = owner->FirstResponse(process, kCloudTimeoutSeconds, timeout_response, done);
    Cluster* cluster = owner;
    cluster->Deliver(
        process->name, "cloud", [cluster, process, execute, respond, timeout_response] {
          const Response response = cluster->cloud_unavailable ? timeout_response : execute();
          if (!cluster->cloud_unavailable) cluster->CopyRequest([execute] { execute(); });
          cluster->ScheduleAfter(kCloudDelaySeconds, [cluster, process, respond, response] {
            cluster->Deliver("cloud", process->name, [respond, response] { respond(response); });
          });
        });
  }
  using TypeList = std::optional<std::vector<MachineType>>;
  void ListTypes(std::function<void(bool, std::vector<MachineType>)> done) override {
    SendRequest<TypeList>([owner = owner]() -> TypeList { return owner->cloud_.types; },
                          std::nullopt,
                          [done](const TypeList& status) {
                            done(status.has_value(), status.value_or(std::vector<MachineType>()));
                          });
  }
  void ScaleOut(const std::string& request, const std::string&, const std::string& zone, bool spot,
                int count, std::function<void(ScaleOutResponse)> done) override {
    SendRequest<ScaleOutResponse>(
        [owner = owner, request, zone, spot, count] {
          return owner->ScaleOutNow(request, zone, spot, count);
        },
        ScaleOutResponse(), [done](const ScaleOutResponse& response) { done(response); });
  }
  void ScaleIn(const std::vector<std::string>& names, std::function<void(bool)> done) override {
    SendRequest<bool>(
        [owner = owner, names] {
          for (const std::string& name : names) owner->RemoveMachine(name);
          return true;
        },
        false, [done](const bool& ok) { done(ok); });
  }
  using Rows = std::optional<std::vector<CloudInstance>>;
  void ListInstances(const std::string&,
                     std::function<void(bool, std::vector<CloudInstance>, bool)> done) override {
    SendRequest<Rows>(
        [owner = owner]() -> Rows {
          std::vector<CloudInstance> rows;
          for (const auto& [name, worker] : owner->workers) {
            if (worker.gone) continue;
            rows.push_back({name, worker.heartbeat.endpoint, worker.heartbeat.type,
                            worker.heartbeat.zone, worker.heartbeat.spot, InstanceState::kRunning,
                            owner->clock_.now});
          }
          return rows;
        },
        std::nullopt,
        [done](const Rows& rows) {
          done(rows.has_value(), rows.value_or(std::vector<CloudInstance>()), false);
        });
  }
};

ScaleOutResponse Cluster::ScaleOutNow(const std::string& request, const std::string& zone,
                                      bool spot, int count) {
  ScaleOutResponse response;
  response.ok = true;
  if (auto known = scaled_out_.find(request); known != scaled_out_.end()) {
    response.machines = known->second;
    return response;
  }
  if (available_machines == 0) {
    response.ok = false;
    response.out_of_capacity = true;
    return response;
  }
  for (; count > 0 && available_machines > 0; --count, --available_machines) {
    response.machines.push_back("m-" + std::to_string(next_machine_++));
  }
  scaled_out_[request] = response.machines;
  for (const std::string& name : response.machines) {
    const double boot = cloud_.types[0].boot_s;
    ScheduleAfter(std::uniform_real_distribution<double>(0.1, 1.5)(random_) * boot,
                  [this, name, zone, spot] {
                    if (!removed_.contains(name)) AddWorker(name, zone, spot);
                  });
  }
  return response;
}

void Cluster::RemoveMachine(const std::string& name) {
  oracle->MachineLost(clock_.now, name);
  if (disruption) disruption->MachineLost(clock_.now, name);
  removed_.insert(name);
  if (auto it = workers.find(name); it != workers.end()) it->second.gone = true;
}

struct Cluster::WorkerLink : WorkerClient {
  Cluster* owner;
  std::weak_ptr<Process> self;

  void SendRequest(const std::string& endpoint, bool commands, double timeout,
                   const std::function<WorkerResponse(SimWorker*)>& execute, const Done& done) {
    auto process = self.lock();
    WorkerResponse timeout_response;
    timeout_response.sent = true;
    auto respond = owner->FirstResponse(process, timeout, timeout_response, done);
    const std::string name = endpoint.substr(0, endpoint.find(':'));
    Cluster* cluster = owner;
    const ActivePartition* partition = cluster->Blocked(process->name, name);
    if (partition != nullptr && partition->mode == PartitionMode::kRefuse) {
      cluster->ScheduleAfter(cluster->Delay(), [respond] { respond(WorkerResponse()); });
      return;
    }
    // A machine that hangs executes the request when it resumes.
    auto deliver = std::make_shared<std::function<void()>>();
    *deliver = [cluster, process, name, execute, respond, weak = std::weak_ptr(deliver)] {
      auto it = cluster->workers.find(name);
      if (it == cluster->workers.end() || it->second.gone) return;
      SimWorker& worker = it->second;
      if (cluster->clock_.now < worker.one_way_until) return;
      if (cluster->clock_.now < worker.hung_until) {
        if (auto retry = weak.lock())
          cluster->ScheduleAt(worker.hung_until, [retry] { (*retry)(); });
        return;
      }
      cluster->CheckLease(&worker);
      const WorkerResponse response = execute(&worker);
      cluster->Deliver(name, process->name, [respond, response] { respond(response); });
    };
    if (commands && owner->delayed_command_share > 0 &&
        owner->Chance(owner->delayed_command_share)) {
      std::uniform_real_distribution<double> delay(2, 16);
      owner->ScheduleAfter(delay(owner->random_), [deliver] { (*deliver)(); });
      return;
    }
    cluster->Deliver(process->name, name, [deliver] { (*deliver)(); });
  }
  void SendCommands(const std::string& endpoint, uint64_t token, uint64_t agent_epoch,
                    const CommandBatch& commands, double timeout, Done done) override {
    const std::string body = EncodeCommands(token, agent_epoch, commands);
    if (!owner->oracle->ObserveMessage(owner->clock_.now, "commands to " + endpoint, body)) {
      WorkerResponse refusal;
      refusal.sent = refusal.refused = true;
      owner->ScheduleAfter(owner->Delay(), [done, refusal] { done(refusal); });
      return;
    }
    owner->RecordStops(token, commands);
    SendRequest(
        endpoint, true, timeout,
        [owner = owner, batch = DirectBatch{token, agent_epoch, commands},
         sent = owner->clock_.now](SimWorker* worker) {
          WorkerResponse response;
          response.sent = response.has_heartbeat = true;
          const bool ok = owner->ReceiveDirect(worker, sent, batch);
          if (ok) owner->CopyDirect(worker->heartbeat.machine, sent, batch);
          ++worker->heartbeat.sequence;
          response.status = ok ? 200 : 409;
          response.heartbeat = worker->heartbeat;
          return response;
        },
        done);
  }
  void Probe(const std::string& endpoint, double timeout, Done done) override {
    SendRequest(
        endpoint, false, timeout,
        [](SimWorker* worker) {
          WorkerResponse response;
          response.sent = response.has_heartbeat = true;
          response.status = 200;
          ++worker->heartbeat.sequence;
          response.heartbeat = worker->heartbeat;
          return response;
        },
        done);
  }
};

bool Cluster::ReceiveDirect(SimWorker* worker, double commanded_at, const DirectBatch& batch) {
  if (batch.token < worker->heartbeat.fencing_token ||
      batch.agent_epoch != worker->heartbeat.agent_epoch)
    return false;
  Execute(worker, commanded_at, batch.token, batch.commands);
  return true;
}

double Cluster::CopyDelay() {
  constexpr double kShortestSeconds = 0.002;
  std::uniform_real_distribution<double> logarithm(std::log(kShortestSeconds),
                                                   std::log(settings.lease_s * 2));
  return std::exp(logarithm(copy_random_));
}

void Cluster::CopyDirect(const std::string& machine, double commanded_at,
                         const DirectBatch& batch) {
  // A machine that hangs executes the command when it resumes.
  auto arrive = std::make_shared<std::function<void()>>();
  *arrive = [this, machine, commanded_at, batch, weak = std::weak_ptr(arrive)] {
    SimWorker& worker = workers.at(machine);
    if (worker.gone) return;
    if (clock_.now < worker.hung_until) {
      if (auto again = weak.lock()) ScheduleAt(worker.hung_until, [again] { (*again)(); });
      return;
    }
    CheckLease(&worker);
    ReceiveDirect(&worker, commanded_at, batch);
    ++worker.heartbeat.sequence;
  };
  workers.at(machine).executed_commands.emplace_back([arrive] { (*arrive)(); });
  CopyRequest(workers.at(machine).executed_commands.back());
}

void Cluster::CopyRequest(const std::function<void()>& arrive) {
  if (copied_request_share <= 0) return;
  std::uniform_real_distribution<double> share(0, 1);
  if (share(copy_random_) < copied_request_share) ScheduleAfter(CopyDelay(), arrive);
}

Cluster::Cluster(uint64_t seed, size_t nodes, const Settings& times)
    : settings(times), random_(seed), copy_random_(seed) {
  settings.zones = {"east", "west", "north"};
  settings.teams = {{"blue", 16, 24, 0, 0}, {"red", 0, 0, 0, 0}};
  tuning.idle_spot_boots = tuning.idle_ordinary_boots = 1000;
  cloud_.types = {BoxType(settings.zones)};
  oracle = std::make_unique<Oracle>(settings.teams, settings.cancel_s);
  processes_.resize(nodes);
  store_.value_limit = static_cast<size_t>(settings.current_state_limits.value_kb * 1024);
  store_.ops_limit = static_cast<size_t>(settings.current_state_limits.txn_ops);
  for (size_t i = 0; i < nodes; ++i) Boot(i);
  ScheduleAt(clock_.now + 1, [this] { CheckInvariants(); });
}

Cluster::~Cluster() { events_.clear(); }

void Cluster::Boot(size_t i) {
  if (processes_[i]) return;
  auto process = std::make_shared<Process>();
  process->index = i;
  process->name = NodeName(i);
  constexpr double kDrift = 0.0005;
  const double bound = settings.wall_clock_bound_ms / 1000;
  process->clock.true_clock = &clock_;
  process->clock.rate = std::uniform_real_distribution<double>(1 - kDrift, 1 + kDrift)(random_);
  process->clock.wall_offset_s = std::uniform_real_distribution<double>(-bound, bound)(random_);
  Settings node_settings = settings;
  node_settings.label = process->name;
  node_settings.site = kZones[i % 3];
  process->links = std::make_unique<PeerLinks>();
  for (size_t j = 0; j < processes_.size(); ++j) {
    if (j == i) continue;
    node_settings.siblings.push_back({NodeName(j), kZones[j % 3], {}});
    process->links->peers.push_back(j);
  }
  process->state = std::make_unique<StateLink>();
  process->cloud = std::make_unique<CloudLink>();
  process->workers = std::make_unique<WorkerLink>();
  process->links->owner = process->state->owner = process->cloud->owner = process->workers->owner =
      this;
  process->links->self = process->state->self = process->cloud->self = process->workers->self =
      process;
  process->controller = std::make_unique<Controller>(
      ControllerPorts{process->state.get(), process->cloud.get(), process->workers.get(),
                      process->links.get(), &process->clock},
      node_settings, tuning, next_instance_++);
  if (policy_) process->controller->OfferPolicy(policy_);
  processes_[i] = process;
  oracle->SuspendLivenessChecksUntil(clock_.now);
  TickNode(process);
}

void Cluster::Crash(size_t i) {
  if (!processes_[i]) return;
  oracle->SuspendLivenessChecksUntil(clock_.now);
  processes_[i]->dead = true;
  processes_[i]->controller.reset();
  processes_[i] = nullptr;
}

void Cluster::Freeze(size_t i, double for_s) {
  if (!processes_[i]) return;
  processes_[i]->frozen_until = clock_.now + for_s;
  oracle->SuspendLivenessChecksUntil(clock_.now + for_s);
}

void Cluster::PartitionOneWay(const std::string& from, const std::string& to, double for_s,
                              PartitionMode mode) {
  partitions_[{from, to}] = {clock_.now + for_s, mode};
  oracle->SuspendLivenessChecksUntil(clock_.now + for_s);
}

void Cluster::Partition(const std::string& response, const std::string& b, double for_s,
                        PartitionMode mode) {
  PartitionOneWay(response, b, for_s, mode);
  PartitionOneWay(b, response, for_s, mode);
}

void Cluster::PartitionZone(const std::string& zone, double for_s, PartitionMode mode) {
  std::vector<std::string> inside;
  std::vector<std::string> outside = {"state", "users", "cloud"};
  for (const auto& [name, worker] : workers)
    (worker.heartbeat.zone == zone ? inside : outside).push_back(name);
  for (size_t i = 0; i < processes_.size(); ++i) {
    (kZones[i % 3] == zone ? inside : outside).push_back(NodeName(i));
  }
  for (const std::string& in : inside) {
    for (const std::string& out : outside) Partition(in, out, for_s, mode);
  }
}

void Cluster::StateOutage(double for_s) {
  state_unavailable_until_ = clock_.now + for_s;
  oracle->SuspendLivenessChecksUntil(state_unavailable_until_);
  // After an outage of the state service every lease has its full time to live again.
  for (auto& [lease, until] : lease_until_) {
    if (store_.leases.contains(lease) && until > clock_.now) {
      until = state_unavailable_until_ + lease_ttl_[lease];
    }
  }
}

const Cluster::ActivePartition* Cluster::Blocked(const std::string& from,
                                                 const std::string& to) const {
  auto group = [](const std::string& who) { return who.starts_with("m-") ? "workers" : who; };
  for (const auto& key : {std::pair(from, to), std::pair(std::string(group(from)), to),
                          std::pair(from, std::string(group(to)))}) {
    auto it = partitions_.find(key);
    if (it != partitions_.end() && it->second.until > clock_.now) return &it->second;
  }
  return nullptr;
}

double Cluster::Delay() {
  return message_delay_s + std::uniform_real_distribution<double>(0.001, 0.004)(random_);
}

void Cluster::Deliver(const std::string& from, const std::string& to,
                      std::function<void()> callback) {
  const ActivePartition* partition = Blocked(from, to);
  if (partition == nullptr) {
    ScheduleAfter(Delay(), std::move(callback));
  } else if (partition->mode == PartitionMode::kDelay) {
    ScheduleAt(partition->until + Delay(), std::move(callback));
  }
}

void Cluster::RunOnProcess(const std::shared_ptr<Process>& process,
                           const std::function<void()>& callback) {
  if (process->dead) return;
  if (clock_.now < process->frozen_until) {
    ScheduleAt(process->frozen_until,
               [this, process, callback] { RunOnProcess(process, callback); });
    return;
  }
  if (spdlog::should_log(spdlog::level::debug)) {
    spdlog::set_pattern(std::to_string(clock_.now) + " " + process->name + " %v");
  }
  callback();
}

void Cluster::TickNode(const std::shared_ptr<Process>& process) {
  RunOnProcess(process, [this, process] {
    process->controller->Tick();
    ScheduleAfter(kTickSeconds, [this, process] { TickNode(process); });
  });
}

bool Cluster::StateRefusesRequestsOf(const std::string& who) const {
  const ActivePartition* partition = Blocked(who, "state");
  return clock_.now < state_unavailable_until_ ||
         (partition != nullptr && partition->mode == PartitionMode::kRefuse);
}

void Cluster::ExpireLeases() {
  for (auto it = lease_until_.begin(); it != lease_until_.end();) {
    if (clock_.now < it->second + kLeaseExpiryDelaySeconds) {
      ++it;
      continue;
    }
    if (store_.leases.contains(it->first)) store_.EndLease(it->first);
    it = lease_until_.erase(it);
  }
}

void Cluster::FireWatches() {
  if (clock_.now < state_unavailable_until_) return;
  auto entry = store_.keys.find(Election::kKey);
  const uint64_t version = entry == store_.keys.end() ? UINT64_MAX : entry->second.version;
  for (PendingWatch& watch : std::exchange(pending_watches_, {})) {
    auto process = watch.process.lock();
    if (!process || process->dead) continue;
    const bool refused = StateRefusesRequestsOf(process->name);
    if (refused || (version == watch.after && clock_.now < watch.until)) {
      pending_watches_.push_back(std::move(watch));
      continue;
    }
    KeyValueResponse response;
    response.status = KeyValueStatus::kOk;
    response.revision_or_lease = store_.revision;
    Deliver("state", process->name, [this, process, done = watch.done, response] {
      RunOnProcess(process, [done, response] { done(response); });
    });
  }
}

SimWorker& Cluster::AddWorker(const std::string& zone, bool spot) {
  return AddWorker("m-" + std::to_string(next_machine_++), zone, spot);
}

SimWorker& Cluster::AddWorker(const std::string& name, const std::string& zone, bool spot) {
  SimWorker& worker = workers[name];
  worker.heartbeat.machine = name;
  worker.heartbeat.endpoint = name + ":1";
  worker.heartbeat.type = "box";
  worker.heartbeat.zone = zone;
  worker.heartbeat.spot = spot;
  worker.heartbeat.agent_epoch = 1;
  worker.clock_rate = std::uniform_real_distribution<double>(0.9995, 1.0005)(random_);
  worker.controller_index = workers.size() % processes_.size();
  worker.lease_start = clock_.now;
  ScheduleAfter(std::uniform_real_distribution<double>(0, settings.heartbeat_interval_s)(random_),
                [this, name] { WorkerTick(name); });
  return worker;
}

void Cluster::Hang(const std::string& machine, double for_s) {
  workers[machine].hung_until = clock_.now + for_s;
  oracle->SuspendLivenessChecksUntil(clock_.now + for_s);
}
void Cluster::MakeOneWayReachable(const std::string& machine, double for_s) {
  workers[machine].one_way_until = clock_.now + for_s;
  oracle->SuspendLivenessChecksUntil(clock_.now + for_s);
}
void Cluster::LoseHeartbeats(const std::string& machine, double for_s) {
  workers[machine].heartbeats_lost_until = clock_.now + for_s;
  oracle->SuspendLivenessChecksUntil(clock_.now + for_s);
}

void Cluster::ReplayHeartbeats(const std::string& machine, double after_s) {
  ScheduleAfter(after_s, [this, sent = workers[machine].recent_heartbeats] {
    for (const Heartbeat& heartbeat : sent) {
      for (const auto& process : processes_) {
        if (!process) continue;
        RunOnProcess(process, [process, heartbeat] {
          process->controller->HandleHeartbeat(heartbeat, [](const HeartbeatResponse&) {});
        });
      }
    }
  });
}

void Cluster::ReplayCommands(const std::string& machine) {
  const std::vector<std::function<void()>> executed = workers.at(machine).executed_commands;
  for (const std::function<void()>& arrive : executed) arrive();
}

void Cluster::RecordStops(uint64_t token, const CommandBatch& commands) {
  for (const Command& command : commands) {
    if (command.operation == CommandOp::kStop)
      first_stop_sent_.try_emplace({command.task_name, command.attempt, TermOf(token)}, clock_.now);
  }
}

void Cluster::SetPolicy(const std::string& text) {
  auto policy = ReadPolicy(text);
  if (!policy) throw std::invalid_argument(DescribeError(policy.error()));
  policy_ = std::make_shared<const DisruptionPolicy>(std::move(policy.value()));
  for (const auto& process : processes_) {
    if (process) process->controller->OfferPolicy(policy_);
  }
}

void Cluster::EndTask(SimWorker* worker, TaskStatus* status, ExitReason reason) {
  std::string job;
  uint32_t task = 0;
  SplitName(status->task_name, &job, &task);
  status->state = TaskState::kExited;
  status->exit_reason = reason;
  worker->task_ends_at.erase(status->task_name);
  oracle->TaskEnded(clock_.now, job, task, worker->heartbeat.machine, reason == ExitReason::kDone);
  if (disruption) disruption->TaskEnded(clock_.now, status->task_name, worker->heartbeat.machine);
}

void Cluster::CheckLease(SimWorker* worker) {
  if ((clock_.now - worker->lease_start) * worker->clock_rate <= settings.lease_s) return;
  for (TaskStatus& status : worker->heartbeat.tasks) {
    if (status.state != TaskState::kExited) EndTask(worker, &status, ExitReason::kStopped);
  }
  worker->heartbeat.tasks.clear();
  ++worker->heartbeat.agent_epoch;
  worker->lease_start = clock_.now;
  worker->next_heartbeat_at = clock_.now;
}

double Cluster::UsedCores(const SimWorker& worker) const {
  double cores = 0;
  for (const TaskStatus& status : worker.heartbeat.tasks) {
    if (status.state == TaskState::kExited) continue;
    cores += specs_.at(status.task_name.substr(0, status.task_name.rfind('/'))).cores;
  }
  return cores;
}

double Cluster::FreeReportBytes(const SimWorker& worker) {
  size_t used = kProtocolReportHeadBytes;
  for (const TaskStatus& status : worker.heartbeat.tasks)
    used += kProtocolReportRowBytes + status.task_name.size();
  return static_cast<double>(kProtocolMessageBytes) - static_cast<double>(used);
}

void Cluster::Launch(SimWorker* worker, double commanded_at, const Command& command) {
  std::string job;
  uint32_t task = 0;
  SplitName(command.task_name, &job, &task);
  TaskStatus status{command.task_name, command.attempt, TaskState::kRunning, ExitReason::kNone,
                    false};
  auto refuse = [worker, &status](ExitReason reason) {
    status.state = TaskState::kExited;
    status.exit_reason = reason;
    worker->heartbeat.tasks.push_back(status);
  };
  const bool here = std::any_of(worker->heartbeat.tasks.begin(), worker->heartbeat.tasks.end(),
                                [&command](const TaskStatus& other) {
                                  return other.task_name == command.task_name &&
                                         other.state != TaskState::kExited;
                                });
  if (!specs_.contains(job)) return refuse(ExitReason::kUnknownTask);
  if (here) return refuse(ExitReason::kAttemptConflict);
  const JobSpec& spec = specs_.at(job);
  if (UsedCores(*worker) + spec.cores > cloud_.types[0].cores + 1e-6)
    return refuse(ExitReason::kInsufficientCapacity);
  if (spec.gang) status.state = TaskState::kWaitingForGang;
  worker->heartbeat.tasks.push_back(status);
  if (!spec.service && !spec.gang)
    worker->task_ends_at[command.task_name] =
        clock_.now + (worker->faulty ? kFaultyTaskSeconds : array_run_s + task * run_spread_s);
  oracle->TaskStarted(clock_.now, commanded_at, job, task,
                      {worker->heartbeat.machine, worker->heartbeat.type, worker->heartbeat.zone,
                       worker->heartbeat.spot, 0, 0});
  if (disruption && spec.service) {
    disruption->TaskStarted(clock_.now, command.task_name, spec, worker->heartbeat.machine);
  }
}

void Cluster::Execute(SimWorker* worker, double commanded_at, uint64_t token,
                      const CommandBatch& commands) {
  if (token > worker->heartbeat.fencing_token)
    worker->next_heartbeat_at = std::min(worker->next_heartbeat_at, clock_.now + 0.5);
  worker->heartbeat.fencing_token = std::max(worker->heartbeat.fencing_token, token);
  for (const Command& command : commands) {
    auto it = std::find_if(worker->heartbeat.tasks.begin(), worker->heartbeat.tasks.end(),
                           [&command](const TaskStatus& status) {
                             return status.task_name == command.task_name &&
                                    status.attempt == command.attempt;
                           });
    const bool known = it != worker->heartbeat.tasks.end();
    if (command.operation == CommandOp::kStart && !known) {
      Launch(worker, commanded_at, command);
    } else if (command.operation == CommandOp::kStop && known && it->state != TaskState::kExited) {
      if (disruption) {
        disruption->TaskStopped(
            clock_.now, first_stop_sent_[{command.task_name, command.attempt, TermOf(token)}],
            command.task_name);
      }
      EndTask(worker, &*it, ExitReason::kStopped);
    } else if (command.operation == CommandOp::kAcknowledgeExit && known &&
               it->state == TaskState::kExited) {
      worker->heartbeat.tasks.erase(it);
      continue;
    } else {
      continue;
    }
    worker->next_heartbeat_at = std::min(worker->next_heartbeat_at, clock_.now + 0.5);
  }
}

void Cluster::WorkerTick(const std::string& name) {
  SimWorker& worker = workers[name];
  if (worker.gone) return;
  ScheduleAfter(kWorkerTickSeconds, [this, name] { WorkerTick(name); });
  CheckLease(&worker);  // ends the tasks of a machine that hangs for longer than its lease
  if (clock_.now < worker.hung_until) return;
  for (TaskStatus& status : worker.heartbeat.tasks) {
    auto it = worker.task_ends_at.find(status.task_name);
    if (status.state == TaskState::kExited || it == worker.task_ends_at.end() ||
        clock_.now < it->second)
      continue;
    EndTask(&worker, &status, worker.faulty ? ExitReason::kError : ExitReason::kDone);
    worker.next_heartbeat_at = std::min(worker.next_heartbeat_at, clock_.now);
  }
  if (!worker.awaiting_response && clock_.now >= worker.next_heartbeat_at) SendHeartbeat(name);
}

void Cluster::SwitchController(SimWorker* worker, double after_s) {
  worker->controller_index = (worker->controller_index + 1) % processes_.size();
  worker->next_heartbeat_at = clock_.now + after_s;
}

void Cluster::SendHeartbeat(const std::string& name) {
  SimWorker& worker = workers[name];
  auto process = processes_[worker.controller_index];
  const ActivePartition* partition = Blocked(name, NodeName(worker.controller_index));
  if (!process || clock_.now < worker.heartbeats_lost_until ||
      (partition != nullptr && partition->mode == PartitionMode::kRefuse) ||
      !oracle->ObserveMessage(clock_.now, "report of " + name, EncodeHeartbeat(worker.heartbeat))) {
    SwitchController(&worker, 1);
    return;
  }
  ++worker.heartbeat.sequence;
  worker.awaiting_response = true;
  const uint64_t number = ++worker.heartbeat_number;
  const double sent = clock_.now;
  worker.recent_heartbeats.push_back(worker.heartbeat);
  if (worker.recent_heartbeats.size() > 8)
    worker.recent_heartbeats.erase(worker.recent_heartbeats.begin());
  ScheduleAfter(kHeartbeatTimeoutSeconds, [this, name, number] {
    SimWorker& timed_out = workers[name];
    if (timed_out.heartbeat_number != number || !timed_out.awaiting_response) return;
    timed_out.awaiting_response = false;
    ++timed_out.heartbeat_number;
    SwitchController(&timed_out, 1);
  });
  CopyRequest([this, index = process->index, heartbeat = worker.heartbeat] {
    const auto receiver = processes_[index];
    if (!receiver) return;
    RunOnProcess(receiver, [receiver, heartbeat] {
      receiver->controller->HandleHeartbeat(heartbeat, [](const HeartbeatResponse&) {});
    });
  });
  Deliver(name, process->name, [this, process, name, number, sent, heartbeat = worker.heartbeat] {
    RunOnProcess(process, [this, process, name, number, sent, heartbeat] {
      process->controller->HandleHeartbeat(
          heartbeat, [this, process, name, number, sent](const HeartbeatResponse& response) {
            RecordStops(response.fencing_token, response.commands);
            Deliver(process->name, name,
                    [this, name, number, sent, responded_at = clock_.now, response] {
                      HandleHeartbeatResponse(name, number, sent, responded_at, response);
                    });
          });
    });
  });
}

void Cluster::HandleHeartbeatResponse(const std::string& name, uint64_t number, double sent,
                                      double responded_at, const HeartbeatResponse& response) {
  SimWorker& worker = workers[name];
  if (worker.gone || !worker.awaiting_response || worker.heartbeat_number != number ||
      clock_.now < worker.one_way_until || clock_.now < worker.hung_until) {
    return;
  }
  worker.awaiting_response = false;
  std::uniform_real_distribution<double> jitter(0.75, 1.25);
  if (response.status == 421 && !response.redirect_to.empty()) {
    worker.controller_index = static_cast<size_t>(std::stoul(response.redirect_to.substr(1)));
    worker.next_heartbeat_at = clock_.now + 0.1;
    return;
  }
  if (response.status != 200 || !oracle->ObserveMessage(clock_.now, "response to " + name,
                                                        EncodeHeartbeatResponse(response))) {
    SwitchController(&worker, 1);
    return;
  }
  worker.next_heartbeat_at = clock_.now + settings.heartbeat_interval_s * jitter(random_);
  const uint64_t agent_epoch = worker.heartbeat.agent_epoch;
  CheckLease(&worker);
  if (response.fencing_token < worker.heartbeat.fencing_token ||
      agent_epoch != worker.heartbeat.agent_epoch)
    return;
  worker.lease_start = sent;
  Execute(&worker, responded_at, response.fencing_token, response.commands);
}

void Cluster::SendRequest(JobOperation op, const std::string& id,
                          const std::function<void(const JobResponse&)>& done) {
  auto responded = std::make_shared<bool>(false);
  auto respond = [this, op, id, responded, done,
                  requested_at = clock_.now](const JobResponse& response) {
    if (std::exchange(*responded, true)) return;
    if (response.status == 200 && response.state == JobState::kDone) reported_done_.insert(id);
    oracle->ObserveResponse(clock_.now, requested_at, op, id, response);
    done(response);
  };
  JobResponse timeout_response;
  timeout_response.status = 0;
  ScheduleAfter(op == JobOperation::kGet ? kPollTimeoutSeconds : kJobRequestTimeoutSeconds,
                [respond, timeout_response] { respond(timeout_response); });
  std::vector<std::shared_ptr<Process>> healthy;
  for (const auto& process : processes_) {
    if (process && process->controller->IsHealthy()) healthy.push_back(process);
  }
  if (healthy.empty()) return;
  auto process = healthy[std::uniform_int_distribution<size_t>(0, healthy.size() - 1)(random_)];
  JobRequest request;
  request.operation = op;
  request.job_id = id;
  if (op == JobOperation::kSubmit) request.job = specs_.at(id);
  Deliver("users", process->name, [this, process, request, respond] {
    RunOnProcess(process, [this, process, request, respond] {
      process->controller->HandleJobRequest(
          request, [this, process, request, respond](const JobResponse& response) {
            if (response.status == 200 || response.status == 201) CopyUserRequest(process, request);
            Deliver(process->name, "users", [respond, response] { respond(response); });
          });
    });
  });
}

void Cluster::CopyUserRequest(const std::shared_ptr<Process>& process, const JobRequest& request) {
  CopyRequest([this, index = process->index, request] {
    const auto receiver = processes_[index];
    if (!receiver) return;
    RunOnProcess(receiver, [receiver, request] {
      receiver->controller->HandleJobRequest(request, [](const JobResponse&) {});
    });
  });
}

void Cluster::Submit(const JobSpec& spec) {
  specs_[spec.id] = spec;
  oracle->ObserveSubmission(spec);
  SendRequest(JobOperation::kSubmit, spec.id, [this, spec](const JobResponse& response) {
    if (response.status == 200 || response.status == 201) {
      if (accepted_.insert(spec.id).second) Poll(spec.id);
    } else if (response.status != 400 && response.status != 422) {
      ScheduleAfter(1, [this, spec] { Submit(spec); });
    }
  });
}

void Cluster::Cancel(const std::string& id) {
  if (disruption) disruption->JobCancelled(id);
  oracle->ObserveCancellation(id);
  SendRequest(JobOperation::kCancel, id, [this, id](const JobResponse& response) {
    if (response.status == 200) {
      if (response.state == JobState::kCancelled) cancelled_.insert(id);
    } else if (response.status != 404) {
      ScheduleAfter(1, [this, id] { Cancel(id); });
    }
  });
}

void Cluster::SendRequestOnce(JobOperation op, const std::string& id) {
  SendRequest(op, id, [](const JobResponse&) {});
}

void Cluster::SubmitUnplaceable(const std::string& id) {
  JobSpec spec = Array(id, 1, cloud_.types[0].cores + 1);
  specs_[id] = spec;
  oracle->ObserveUnplaceableSubmission(id);
  SendRequest(JobOperation::kSubmit, id, [](const JobResponse&) {});
}

void Cluster::Poll(const std::string& id) {
  SendRequest(JobOperation::kGet, id, [](const JobResponse&) {});
  std::uniform_real_distribution<double> jitter(0.8, 1.2);
  ScheduleAfter(kPollIntervalSeconds * jitter(random_), [this, id] { Poll(id); });
}

void Cluster::LowerStateLimits() {
  store_.value_limit = static_cast<size_t>(settings.effective_state_limits.value_kb * 1024);
  store_.ops_limit = static_cast<size_t>(settings.effective_state_limits.txn_ops);
}
bool Cluster::IsDraining(const SimWorker& worker) const {
  return policy_ != nullptr &&
         std::any_of(policy_->drains.begin(), policy_->drains.end(),
                     [&worker](const DrainRequest& d) {
                       return d.machines.Matches(worker.heartbeat.machine, worker.heartbeat.type,
                                                 worker.heartbeat.zone, worker.heartbeat.endpoint);
                     });
}

void Cluster::CheckInvariants() {
  UpdateGangs();
  const bool all_controllers_down =
      std::all_of(processes_.begin(), processes_.end(),
                  [](const std::shared_ptr<Process>& process) { return process == nullptr; });
  // The rules on waiting hold once all troubles are over.
  if (all_controllers_down) oracle->SuspendLivenessChecksUntil(clock_.now + kCheckIntervalSeconds);
  std::vector<Oracle::MachineState> available;
  for (const auto& [name, worker] : workers) {
    const double now = clock_.now;
    if (worker.gone || now < worker.hung_until || now < worker.one_way_until ||
        now < worker.heartbeats_lost_until)
      continue;
    if (IsDraining(worker)) continue;
    available.push_back({name, worker.heartbeat.type, worker.heartbeat.zone, worker.heartbeat.spot,
                         cloud_.types[0].cores - UsedCores(worker), cloud_.types[0].memory_gb,
                         FreeReportBytes(worker)});
  }
  oracle->CheckLiveness(clock_.now, available);
  ExpireLeases();
  FireWatches();
  ScheduleAfter(kCheckIntervalSeconds, [this] { CheckInvariants(); });
}

void Cluster::Run(double seconds) {
  RunUntil([] { return false; }, seconds);
}

bool Cluster::RunUntil(const std::function<bool()>& condition, double max_s) {
  const double end = clock_.now + max_s;
  while (!condition()) {
    if (events_.empty() || events_.begin()->first > end) {
      clock_.now = end;
      return condition();
    }
    auto next = events_.extract(events_.begin());
    clock_.now = std::max(clock_.now, next.key());
    next.mapped()();
  }
  return true;
}

Controller* Cluster::node(size_t i) {
  return processes_[i] ? processes_[i]->controller.get() : nullptr;
}

size_t Cluster::Leader() const {
  for (size_t i = 0; i < processes_.size(); ++i) {
    const auto& process = processes_[i];
    if (process && process->controller->IsLeaseValid() &&
        process->controller->leader() != nullptr && process->controller->leader()->loaded()) {
      return i;
    }
  }
  return SIZE_MAX;
}

size_t Cluster::ActiveTasks(const std::string& job) const {
  size_t count = 0;
  for (const auto& [name, worker] : workers)
    count += worker.gone ? 0 : CountActiveTasks(worker.heartbeat, job);
  return count;
}

std::string Cluster::MachineOf(const std::string& task) const {
  for (const auto& [name, worker] : workers) {
    for (const TaskStatus& status : worker.heartbeat.tasks) {
      if (!worker.gone && status.task_name == task && status.state != TaskState::kExited)
        return name;
    }
  }
  return "";
}

std::string Cluster::Violations() const {
  std::string out;
  for (const std::string& line : oracle->violations()) out += line + "\n";
  return out;
}

}  // namespace deckhall
