// Scripted fakes of the clock, the state service, the cloud and the workers, and an environment
// that runs one leader with them. Tests advance the time explicitly.
#pragma once

#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "config/settings.h"
#include "config/tuning.h"
#include "leader/leader.h"
#include "message_rules.h"
#include "wire/worker_codec.h"

namespace deckhall {

// Returns the times from `from` (included) to `to` (excluded) at intervals of `step`.
inline std::vector<double> EvenlySpacedTimes(double from, double to, double step) {
  const auto count = static_cast<size_t>(std::ceil((to - from) / step - 1e-9));
  std::vector<double> times(count);
  for (size_t i = 0; i < count; ++i) times[i] = from + static_cast<double>(i) * step;
  return times;
}

struct FakeClock : Clock {
  double now = 1000;
  double Now() const override { return now; }
  double Wall() const override { return now + 5e8; }
};

// An in-memory state service. Tests can make it refuse requests, delay commits, or execute requests
// and lose the responses.
struct FakeState : KeyValueStore {
  struct Entry {
    std::string value;
    uint64_t version;
    uint64_t lease;
  };
  std::map<std::string, Entry> keys;
  uint64_t revision = 100;
  uint64_t next_lease = 1;
  int rejected_values = 0;
  std::map<uint64_t, bool> leases;
  bool unavailable = false;   // requests get 503, except watches and lease revocations
  int responses_to_lose = 0;  // so many commits are executed without a response
  int commits_to_delay = 0;   // so many commits wait for ApplyDelayed()
  std::vector<Transaction> delayed_transactions;
  std::vector<Transaction> committed;
  double available_write_tokens = 100;
  size_t value_limit = SIZE_MAX;  // a transaction with a larger value gets 400
  size_t ops_limit = SIZE_MAX;    // a transaction with more mutations gets 400
  int rejected_transactions = 0;
  size_t list_page_rows = 1000;   // maximum per response
  int lists_before_failure = -1;  // if not negative, one list fails after so many successful ones
  std::deque<std::function<void()>> queue;

  void Run() {
    while (!queue.empty()) {
      auto callback = std::move(queue.front());
      queue.pop_front();
      callback();
    }
  }
  void EnqueueResponse(Done done, KeyValueResponse response) {
    queue.push_back([done = std::move(done), response = std::move(response)] { done(response); });
  }
  KeyValueResponse Apply(const Transaction& txn) {
    KeyValueResponse response;
    if (txn.mutations.size() > ops_limit) {
      ++rejected_transactions;
      response.status = KeyValueStatus::kInvalid;
      return response;
    }
    response.status = KeyValueStatus::kConflict;
    for (const auto& precondition : txn.preconditions) {
      auto it = keys.find(precondition.key);
      if ((it == keys.end() ? 0 : it->second.version) != precondition.version) return response;
    }
    for (const auto& mutation : txn.mutations) {
      if (mutation.lease != 0 && !leases.contains(mutation.lease)) return response;
      if (mutation.value.size() > value_limit) {
        ++rejected_values;
        response.status = KeyValueStatus::kInvalid;
        return response;
      }
    }
    ++revision;
    for (const auto& mutation : txn.mutations) {
      if (mutation.value.empty()) {
        keys.erase(mutation.key);
      } else {
        keys[mutation.key] = {mutation.value, revision, mutation.lease};
      }
    }
    committed.push_back(txn);
    response.status = KeyValueStatus::kOk;
    response.revision_or_lease = revision;
    return response;
  }
  // Applies the delayed transactions.
  void ApplyDelayed() {
    for (const Transaction& transaction : std::exchange(delayed_transactions, {}))
      Apply(transaction);
  }
  void Commit(const Transaction& txn, Done done) override {
    KeyValueResponse response;
    if (unavailable) {
      response.status = KeyValueStatus::kUnavailable;
    } else if (commits_to_delay > 0) {
      --commits_to_delay;
      delayed_transactions.push_back(txn);
    } else {
      response = Apply(txn);
      if (responses_to_lose > 0) {
        --responses_to_lose;
        response = KeyValueResponse();
      }
    }
    EnqueueResponse(std::move(done), response);
  }
  void Get(const std::string& key, Done done) override {
    KeyValueResponse response;
    response.status = unavailable ? KeyValueStatus::kUnavailable : KeyValueStatus::kOk;
    auto it = keys.find(key);
    if (it != keys.end()) {
      response.found = true;
      response.entries.push_back({key, it->second.value, it->second.version});
    }
    response.revision_or_lease = revision;
    EnqueueResponse(std::move(done), response);
  }
  void List(const std::string& prefix, const std::string& after, Done done) override {
    KeyValueResponse response;
    response.status = unavailable ? KeyValueStatus::kUnavailable : KeyValueStatus::kOk;
    if (lists_before_failure >= 0 && lists_before_failure-- == 0)
      response.status = KeyValueStatus::kUnavailable;
    for (const auto& [key, entry] : keys) {
      if (!key.starts_with(prefix) || key <= after) continue;
      response.truncated = response.entries.size() >= list_page_rows;
      if (response.truncated) break;
      response.entries.push_back({key, entry.value, entry.version});
    }
    response.revision_or_lease = revision;
    EnqueueResponse(std::move(done), response);
  }
  void GrantLease(int, Done done) override {
    KeyValueResponse response;
    response.status = unavailable ? KeyValueStatus::kUnavailable : KeyValueStatus::kOk;
    response.revision_or_lease = next_lease++;
    if (!unavailable) leases[response.revision_or_lease] = true;
    EnqueueResponse(std::move(done), response);
  }
  void KeepAliveLease(uint64_t lease, double, Done done) override {
    KeyValueResponse response;
    response.status = unavailable              ? KeyValueStatus::kUnavailable
                      : leases.contains(lease) ? KeyValueStatus::kOk
                                               : KeyValueStatus::kConflict;
    EnqueueResponse(std::move(done), response);
  }
  void EndLease(uint64_t lease) {
    leases.erase(lease);
    std::erase_if(keys, [lease](const auto& entry) { return entry.second.lease == lease; });
    ++revision;
  }
  void RevokeLease(uint64_t lease, Done done) override {
    EndLease(lease);
    KeyValueResponse response;
    response.status = KeyValueStatus::kOk;
    EnqueueResponse(std::move(done), response);
  }
  void Watch(const std::string&, uint64_t, int, Done done) override {
    watches.push_back(std::move(done));
  }
  std::vector<Done> watches;
  double AvailableWriteTokens() override { return available_write_tokens; }
};

struct FakeCloud : CloudProvider {
  std::vector<MachineType> types;
  std::vector<std::pair<std::string, int>> scale_out_requests;   // request id, count
  std::vector<std::string> scale_out_zones;                      // of the scale-out requests
  std::vector<std::pair<std::string, std::string>> provisioned;  // machine, zone
  std::vector<std::string> released;
  std::vector<CloudInstance> instances;
  bool unavailable = false;
  bool out_of_capacity = false;
  int next_machine = 0;
  std::deque<std::function<void()>> queue;

  void Run() {
    while (!queue.empty()) {
      auto callback = std::move(queue.front());
      queue.pop_front();
      callback();
    }
  }
  void ListTypes(std::function<void(bool, std::vector<MachineType>)> done) override {
    queue.push_back([this, done] { done(!unavailable, types); });
  }
  void ScaleOut(const std::string& request, const std::string&, const std::string& zone, bool,
                int count, std::function<void(ScaleOutResponse)> done) override {
    scale_out_zones.push_back(zone);
    scale_out_requests.emplace_back(request, count);
    ScaleOutResponse response;
    response.ok = !unavailable && !out_of_capacity;
    response.out_of_capacity = out_of_capacity;
    for (int i = 0; i < count && response.ok; ++i) {
      response.machines.push_back("m-9" + std::to_string(next_machine++));
      provisioned.emplace_back(response.machines.back(), zone);
    }
    queue.push_back([done, response] { done(response); });
  }
  void ScaleIn(const std::vector<std::string>& machines, std::function<void(bool)> done) override {
    if (!unavailable) released.insert(released.end(), machines.begin(), machines.end());
    queue.push_back([this, done] { done(!unavailable); });
  }
  void ListInstances(const std::string&,
                     std::function<void(bool, std::vector<CloudInstance>, bool)> done) override {
    queue.push_back([this, done] { done(!instances.empty(), instances, false); });
  }
};

// Counts the tasks of the job that have not exited.
inline size_t CountActiveTasks(const Heartbeat& heartbeat, const std::string& job) {
  return static_cast<size_t>(
      std::count_if(heartbeat.tasks.begin(), heartbeat.tasks.end(), [&job](const TaskStatus& t) {
        return t.state != TaskState::kExited && t.task_name.starts_with(job + "/");
      }));
}

// A direct message to a worker.
struct DirectBatch {
  uint64_t token = 0;
  uint64_t agent_epoch = 0;
  CommandBatch commands;
};

// A worker that executes commands as described in PROTOCOL, with scripted faults.
struct FakeWorker {
  Heartbeat heartbeat;
  bool unresponsive = false;         // sends no heartbeats and receives no requests
  bool one_way_reachable = false;    // its heartbeats arrive; responses and requests to it are lost
  bool refuses_connections = false;  // direct commands fail before they are sent
  bool commands_never_complete = false;  // direct commands get neither a response nor a timeout
  bool hold_completions = false;         // responses to direct commands wait in `held_completions`
  std::vector<std::function<void()>> held_completions;
  bool refuses_messages = false;   // direct commands get status 413
  int oversized_messages = 0;      // longer than PROTOCOL allows; they have no effect
  bool image_fetch_stuck = false;  // started tasks stay in the fetching state
  int responses_to_lose = 0;  // so many direct batches of commands are executed without a response
  int batches_to_delay = 0;   // so many direct batches of commands wait for DeliverDelayed()
  std::vector<DirectBatch> delayed_batches;
  std::vector<DirectBatch> executed_batches;  // each may arrive once more at any time
  std::vector<std::string> started_tasks;
  // Jobs whose tasks wait for their gang, and write a checkpoint when they are stopped.
  std::set<std::string> gang_jobs;
  double checkpoint_s = 0;  // with a shorter grace period they exit without a checkpoint

  bool InGang(const std::string& task) const {
    return gang_jobs.contains(task.substr(0, task.rfind('/')));
  }
  void StopTask(TaskStatus* task, double grace_s) {
    const bool checkpoints = InGang(task->task_name) && grace_s >= checkpoint_s;
    if (task->state == TaskState::kRunning && checkpoints) {
      task->state = TaskState::kCheckpointing;
    } else if (task->state != TaskState::kCheckpointing || grace_s == 0) {
      EndTask(task->task_name, ExitReason::kStopped);
    }
  }
  void Execute(uint64_t token, const CommandBatch& commands) {
    heartbeat.fencing_token = std::max(heartbeat.fencing_token, token);
    for (const Command& command : commands) {
      auto it = std::find_if(
          heartbeat.tasks.begin(), heartbeat.tasks.end(), [&command](const TaskStatus& status) {
            return status.task_name == command.task_name && status.attempt == command.attempt;
          });
      if (command.operation == CommandOp::kStart && it == heartbeat.tasks.end()) {
        const TaskState state = image_fetch_stuck           ? TaskState::kFetching
                                : InGang(command.task_name) ? TaskState::kWaitingForGang
                                                            : TaskState::kRunning;
        heartbeat.tasks.push_back(
            {command.task_name, command.attempt, state, ExitReason::kNone, false});
        started_tasks.push_back(command.task_name);
      } else if (command.operation == CommandOp::kStop && it != heartbeat.tasks.end()) {
        StopTask(&*it, command.grace_period_s);
      } else if (command.operation == CommandOp::kAcknowledgeExit && it != heartbeat.tasks.end() &&
                 it->state == TaskState::kExited) {
        heartbeat.tasks.erase(it);
      }
    }
  }
  void EndTask(const std::string& task, ExitReason reason) {
    for (TaskStatus& status : heartbeat.tasks) {
      if (status.task_name == task && status.state != TaskState::kExited) {
        status.state = TaskState::kExited;
        status.exit_reason = reason;
      }
    }
  }
  bool HasTask(const std::string& task) const {
    return std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(),
                       [&task](const TaskStatus& status) {
                         return status.task_name == task && status.state != TaskState::kExited;
                       });
  }
  // Counts the tasks of the job on this machine that have not exited.
  size_t ActiveTasks(const std::string& job) const { return CountActiveTasks(heartbeat, job); }
  // Counts the message if it is longer than PROTOCOL allows.
  bool AllowsMessage(const std::string& message) {
    const bool allowed = ProtocolAllows(message);
    if (!allowed) ++oversized_messages;
    return allowed;
  }
  // Executes the commands in a response to a heartbeat, unless the response must be dropped.
  void ReceiveResponse(const HeartbeatResponse& response) {
    if (!AllowsMessage(EncodeHeartbeatResponse(response))) return;
    const bool accepted = response.status == 200 &&
                          response.fencing_token >= heartbeat.fencing_token && !one_way_reachable;
    if (accepted) Execute(response.fencing_token, response.commands);
  }
  // Executes the batch unless its fencing token or agent epoch is old; returns whether it did.
  bool ReceiveBatch(const DirectBatch& batch) {
    if (batch.token < heartbeat.fencing_token || batch.agent_epoch != heartbeat.agent_epoch)
      return false;
    Execute(batch.token, batch.commands);
    return true;
  }
  void DeliverDelayed() {
    for (const DirectBatch& batch : std::exchange(delayed_batches, {})) ReceiveBatch(batch);
  }
  // All direct messages that were executed arrive once more; their responses reach nobody.
  void DeliverCopies() {
    for (const DirectBatch& batch : executed_batches) {
      ReceiveBatch(batch);
      ++heartbeat.sequence;
    }
  }
};

struct FakeWorkers : WorkerClient {
  std::map<std::string, FakeWorker> by_endpoint;
  std::deque<std::function<void()>> queue;

  void Run() {
    while (!queue.empty()) {
      auto callback = std::move(queue.front());
      queue.pop_front();
      callback();
    }
  }
  void SendCommands(const std::string& endpoint, uint64_t token, uint64_t agent_epoch,
                    const CommandBatch& commands, double, Done done) override {
    FakeWorker& worker = by_endpoint[endpoint];
    WorkerResponse response;
    response.sent = true;
    if (worker.commands_never_complete) return;
    if (worker.refuses_connections) {
      queue.push_back([done] { done(WorkerResponse()); });
      return;
    }
    if (worker.refuses_messages ||
        !worker.AllowsMessage(EncodeCommands(token, agent_epoch, commands))) {
      response.refused = true;
      response.status = 413;
      queue.push_back([done, response] { done(response); });
      return;
    }
    if (worker.batches_to_delay > 0) {
      --worker.batches_to_delay;
      worker.delayed_batches.push_back({token, agent_epoch, commands});
    } else if (!worker.unresponsive && !worker.one_way_reachable) {
      const DirectBatch batch{token, agent_epoch, commands};
      const bool ok = worker.ReceiveBatch(batch);
      if (ok) worker.executed_batches.push_back(batch);
      ++worker.heartbeat.sequence;
      response.status = ok ? 200 : 409;
      response.has_heartbeat = true;
      response.heartbeat = worker.heartbeat;
      if (worker.responses_to_lose > 0) {
        --worker.responses_to_lose;
        response = WorkerResponse();
        response.sent = true;
      }
    }
    auto complete = [done, response] { done(response); };
    if (worker.hold_completions) {
      worker.held_completions.emplace_back(std::move(complete));
    } else {
      queue.emplace_back(std::move(complete));
    }
  }
  void Probe(const std::string& endpoint, double, Done done) override {
    FakeWorker& worker = by_endpoint[endpoint];
    WorkerResponse response;
    response.sent = true;
    if (!worker.unresponsive && !worker.one_way_reachable) {
      ++worker.heartbeat.sequence;
      response.status = 200;
      response.has_heartbeat = true;
      response.heartbeat = worker.heartbeat;
    }
    queue.push_back([done, response] { done(response); });
  }
};

struct FakeLease : LeadershipLease {
  const FakeClock* clock = nullptr;
  double valid_until = 1e12;
  bool IsLeaseValid() const override { return clock->now < valid_until; }
  double LeaseValidUntil() const override { return valid_until; }
};

inline JobSpec ArraySpec(const std::string& id, uint32_t tasks, double cores) {
  JobSpec spec;
  spec.id = id;
  spec.job_class = "sums";
  spec.team = "blue";
  spec.task_count = tasks;
  spec.cores = cores;
  spec.memory_gb = 4;
  spec.image = "img";
  spec.image_gb = 1;
  spec.estimated_runtime_s = 30;
  return spec;
}

// The submission of an array that needs more room than a few machines have.
inline JobRequest LargeArraySubmission(const std::string& id) {
  constexpr uint32_t kTasks = 16;
  JobRequest request;
  request.operation = JobOperation::kSubmit;
  request.job_id = id;
  request.job = ArraySpec(id, kTasks, 2);
  return request;
}

inline JobSpec ServiceSpec(const std::string& id, uint32_t tasks, double cores) {
  JobSpec spec = ArraySpec(id, tasks, cores);
  spec.job_class = "live";
  spec.service = true;
  spec.priority = Priority::kProduction;
  spec.estimated_runtime_s = 0;
  return spec;
}

// The machine type of the fake cloud.
inline MachineType BoxType(const std::vector<std::string>& zones) {
  MachineType type;
  type.name = "box";
  type.cores = 8;
  type.memory_gb = 64;
  type.price = 1;
  type.spot_price = 0.4;
  type.boot_s = 30;
  type.fetch_gb_per_s = 1;
  type.zones = zones;
  return type;
}

// A leader with fakes of its surroundings. A further StartLeader() replaces the leader by one that
// reads the same state.
struct LeaderTestEnvironment {
  FakeClock clock;
  FakeState state;
  FakeCloud cloud;
  FakeWorkers workers;
  FakeLease lease;
  Settings settings;
  Tuning tuning;
  std::unique_ptr<Leader> leader;
  std::vector<std::unique_ptr<Leader>> former_leaders;
  bool leadership_lost = false;
  double no_later_term_since = -1;  // see LeaderPorts; not used if negative
  std::string suspected_zone;      // zone that the leader suspects to be partitioned; none if empty
  std::string former_leader_zone;  // zone of the previous leader

  LeaderTestEnvironment() {
    lease.clock = &clock;
    settings.label = "n0";
    settings.zones = {"east", "west"};
    settings.teams = {{"blue", 8, 16, 0, 0}, {"red", 0, 0, 0, 0}};
    settings.lease_s = 20;
    settings.cancel_s = 40;
    // Idle machines are not released, except in tests of the release.
    tuning.idle_spot_boots = tuning.idle_ordinary_boots = 1000;
    cloud.types = {BoxType(settings.zones)};
  }
  void StartLeader() {
    if (leader) {
      leader->Retire();
      former_leaders.push_back(std::move(leader));
    }
    ++state.revision;
    state.keys["leader"] = {"{}", state.revision, 0};
    lease.valid_until = 1e12;
    LeaderPorts ports{&state, &cloud,  &workers, &clock,
                      &lease, nullptr, nullptr,  former_leader_zone};
    if (no_later_term_since >= 0)
      ports.no_later_term_since = [this](uint64_t) { return no_later_term_since; };
    ports.is_zone_suspected = [this](const std::string& zone) { return zone == suspected_zone; };
    leader = std::make_unique<Leader>(ports, &settings, &tuning, "leader", state.revision);
    leader->on_leadership_lost = [this](const char*) { leadership_lost = true; };
    leader->Start();
    ProcessPending();
  }
  void ProcessPending() {
    for (int i = 0; i < 12; ++i) {
      state.Run();
      cloud.Run();
      workers.Run();
      if (leader) leader->Tick();
    }
  }
  // Advances the time in steps of 0.5 s. Unless `heartbeats` is false, every responsive worker
  // sends a heartbeat in each step.
  void AdvanceTime(double seconds, bool heartbeats = true) {
    const double end = clock.now + seconds;
    while (clock.now < end) {
      clock.now += 0.5;
      if (heartbeats) {
        for (auto& [endpoint, worker] : workers.by_endpoint) SendHeartbeat(&worker);
      }
      ProcessPending();
    }
  }
  void SendHeartbeat(FakeWorker* worker) {
    if (worker->unresponsive || worker->heartbeat.machine.empty()) return;
    ++worker->heartbeat.sequence;
    if (!worker->AllowsMessage(EncodeHeartbeat(worker->heartbeat))) return;
    worker->ReceiveResponse(leader->HandleHeartbeat(worker->heartbeat));
  }
  FakeWorker& AddMachine(const std::string& name, const std::string& zone, bool spot = false) {
    FakeWorker& worker = workers.by_endpoint[name + ":1"];
    worker.heartbeat.machine = name;
    worker.heartbeat.endpoint = name + ":1";
    worker.heartbeat.type = "box";
    worker.heartbeat.zone = zone;
    worker.heartbeat.spot = spot;
    worker.heartbeat.agent_epoch = 1;
    SendHeartbeat(&worker);
    ProcessPending();
    SendHeartbeat(&worker);
    ProcessPending();
    return worker;
  }
  JobSpec Array(const std::string& id, uint32_t tasks, double cores = 2) {
    return ArraySpec(id, tasks, cores);
  }
  JobSpec Service(const std::string& id, uint32_t tasks, double cores = 2) {
    return ServiceSpec(id, tasks, cores);
  }
  JobResponse SendRequest(JobOperation op, const std::string& id, const JobSpec* spec = nullptr,
                          const std::string& invalid = "") {
    JobRequest request;
    request.operation = op;
    request.job_id = id;
    request.validation_error = invalid;
    if (spec != nullptr) request.job = *spec;
    auto response = std::make_shared<JobResponse>();
    response->status = 0;
    leader->HandleJobRequest(request,
                             [response](const JobResponse& received) { *response = received; });
    ProcessPending();
    return *response;
  }
  JobResponse Submit(const JobSpec& spec) {
    return SendRequest(JobOperation::kSubmit, spec.id, &spec);
  }
};

}  // namespace deckhall
