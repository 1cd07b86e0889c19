// Stand-ins for the outside, scripted by the tests; time moves by hand.
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

namespace deckhall {

// The times from `from` on, `step` apart, that are before `to`.
inline std::vector<double> Steps(double from, double to, double step) {
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

// A small consistent store. What it does with requests can be scripted: refuse
// them, or carry them out and lose the answer.
struct FakeState : KeyValueStore {
  struct Entry {
    std::string value;
    uint64_t version;
    uint64_t lease;
  };
  std::map<std::string, Entry> keys;
  uint64_t revision = 100;
  uint64_t next_lease = 1;
  int too_large = 0;
  std::map<uint64_t, bool> leases;
  bool refuse = false;   // 503
  int lose_answers = 0;  // carried out, answer lost
  int hold_commits = 0;  // not carried out now; see Late()
  std::vector<Transaction> late;
  std::vector<Transaction> committed;
  double write_room = 100;
  size_t value_limit = SIZE_MAX;  // larger values get 400
  size_t ops_limit = SIZE_MAX;    // larger transactions too
  int too_many_ops = 0;
  size_t list_page = 1000;    // rows in one answer
  int fail_lists_after = -1;  // so many lists are answered, then one is not
  std::deque<std::function<void()>> queue;

  void Run() {
    while (!queue.empty()) {
      auto fn = std::move(queue.front());
      queue.pop_front();
      fn();
    }
  }
  void Answer(Done done, KeyValueResponse answer) {
    queue.push_back([done = std::move(done), answer = std::move(answer)] { done(answer); });
  }
  KeyValueResponse Apply(const Transaction& txn) {
    KeyValueResponse a;
    if (txn.mutations.size() > ops_limit) {
      ++too_many_ops;
      a.status = KeyValueStatus::kInvalid;
      return a;
    }
    a.status = KeyValueStatus::kConflict;
    for (const auto& c : txn.preconditions) {
      auto it = keys.find(c.key);
      if ((it == keys.end() ? 0 : it->second.version) != c.version) return a;
    }
    for (const auto& w : txn.mutations) {
      if (w.lease != 0 && !leases.contains(w.lease)) return a;
      if (w.value.size() > value_limit) {
        ++too_large;
        a.status = KeyValueStatus::kInvalid;
        return a;
      }
    }
    ++revision;
    for (const auto& w : txn.mutations) {
      if (w.value.empty()) {
        keys.erase(w.key);
      } else {
        keys[w.key] = {w.value, revision, w.lease};
      }
    }
    committed.push_back(txn);
    a.status = KeyValueStatus::kOk;
    a.revision_or_lease = revision;
    return a;
  }
  // A transaction that was held back is applied after all.
  void Late() {
    for (const Transaction& t : std::exchange(late, {})) Apply(t);
  }
  void Commit(const Transaction& txn, Done done) override {
    KeyValueResponse a;
    if (refuse) {
      a.status = KeyValueStatus::kUnavailable;
    } else if (hold_commits > 0) {
      --hold_commits;
      late.push_back(txn);
    } else {
      a = Apply(txn);
      if (lose_answers > 0) {
        --lose_answers;
        a = KeyValueResponse();
      }
    }
    Answer(std::move(done), a);
  }
  void Get(const std::string& key, Done done) override {
    KeyValueResponse a;
    a.status = refuse ? KeyValueStatus::kUnavailable : KeyValueStatus::kOk;
    auto it = keys.find(key);
    if (it != keys.end()) {
      a.found = true;
      a.entries.push_back({key, it->second.value, it->second.version});
    }
    a.revision_or_lease = revision;
    Answer(std::move(done), a);
  }
  void List(const std::string& prefix, const std::string& after, Done done) override {
    KeyValueResponse a;
    a.status = refuse ? KeyValueStatus::kUnavailable : KeyValueStatus::kOk;
    if (fail_lists_after >= 0 && fail_lists_after-- == 0) a.status = KeyValueStatus::kUnavailable;
    for (const auto& [key, e] : keys) {
      if (!key.starts_with(prefix) || key <= after) continue;
      a.truncated = a.entries.size() >= list_page;
      if (a.truncated) break;
      a.entries.push_back({key, e.value, e.version});
    }
    a.revision_or_lease = revision;
    Answer(std::move(done), a);
  }
  void GrantLease(int, Done done) override {
    KeyValueResponse a;
    a.status = refuse ? KeyValueStatus::kUnavailable : KeyValueStatus::kOk;
    a.revision_or_lease = next_lease++;
    if (!refuse) leases[a.revision_or_lease] = true;
    Answer(std::move(done), a);
  }
  void KeepAliveLease(uint64_t lease, double, Done done) override {
    KeyValueResponse a;
    a.status = refuse                   ? KeyValueStatus::kUnavailable
               : leases.contains(lease) ? KeyValueStatus::kOk
                                        : KeyValueStatus::kConflict;
    Answer(std::move(done), a);
  }
  void EndLease(uint64_t lease) {
    leases.erase(lease);
    std::erase_if(keys, [lease](const auto& e) { return e.second.lease == lease; });
    ++revision;
  }
  void RevokeLease(uint64_t lease, Done done) override {
    EndLease(lease);
    KeyValueResponse a;
    a.status = KeyValueStatus::kOk;
    Answer(std::move(done), a);
  }
  void Watch(const std::string&, uint64_t, int, Done done) override {
    watches.push_back(std::move(done));
  }
  std::vector<Done> watches;
  double AvailableWriteTokens() override { return write_room; }
};

struct FakeCloud : CloudProvider {
  std::vector<MachineType> types;
  std::vector<std::pair<std::string, int>> rented;         // request, count
  std::vector<std::string> zones;                          // of the machines rented
  std::vector<std::pair<std::string, std::string>> given;  // machines rented, with their zones
  std::vector<std::string> returned;
  std::vector<CloudInstance> listed;
  bool out = false;
  bool refuse = false;
  int next = 0;
  std::deque<std::function<void()>> queue;

  void Run() {
    while (!queue.empty()) {
      auto fn = std::move(queue.front());
      queue.pop_front();
      fn();
    }
  }
  void ListTypes(std::function<void(bool, std::vector<MachineType>)> done) override {
    queue.push_back([this, done] { done(!out, types); });
  }
  void ScaleOut(const std::string& request, const std::string&, const std::string& zone, bool,
                int count, std::function<void(ScaleOutResponse)> done) override {
    zones.push_back(zone);
    rented.emplace_back(request, count);
    ScaleOutResponse a;
    a.ok = !out && !refuse;
    a.out_of_capacity = refuse;
    for (int i = 0; i < count && a.ok; ++i) {
      a.machines.push_back("m-9" + std::to_string(next++));
      given.emplace_back(a.machines.back(), zone);
    }
    queue.push_back([done, a] { done(a); });
  }
  void ScaleIn(const std::vector<std::string>& machines, std::function<void(bool)> done) override {
    if (!out) returned.insert(returned.end(), machines.begin(), machines.end());
    queue.push_back([this, done] { done(!out); });
  }
  void ListInstances(const std::string&,
                     std::function<void(bool, std::vector<CloudInstance>, bool)> done) override {
    queue.push_back([this, done] { done(!listed.empty(), listed, false); });
  }
};

// Tasks of the job that have not ended.
inline size_t CountTasks(const Heartbeat& report, const std::string& job) {
  return static_cast<size_t>(
      std::count_if(report.tasks.begin(), report.tasks.end(), [&job](const TaskStatus& t) {
        return t.state != TaskState::kExited && t.task_name.starts_with(job + "/");
      }));
}

// Workers that answer commands as PROTOCOL says, unless they are silent.
struct FakeWorker {
  Heartbeat report;
  bool silent = false;   // nothing arrives, nothing is answered
  bool deaf = false;     // reports arrive; answers and commands don't reach it
  bool unsent = false;   // commands sent straight find no connection
  bool mute = false;     // commands sent straight are never answered, nor given up
  bool stuck = false;    // tasks that are started never run: their image does not come
  int lose_answers = 0;  // executed, answer lost
  int hold = 0;          // commands held back; see Late()
  std::vector<std::pair<uint64_t, std::pair<uint64_t, std::vector<Command>>>> held;
  std::vector<std::string> started;
  std::set<std::string> gangs;  // jobs whose tasks gather before they run, and save when stopped
  double save_s = 0;            // for which a stop must leave time, or they just exit

  bool InGang(const std::string& task) const {
    return gangs.contains(task.substr(0, task.rfind('/')));
  }
  void Stop(TaskStatus* task, double grace_s) {
    const bool saves = InGang(task->task_name) && grace_s >= save_s;
    if (task->state == TaskState::kRunning && saves) {
      task->state = TaskState::kCheckpointing;
    } else if (task->state != TaskState::kCheckpointing || grace_s == 0) {
      End(task->task_name, ExitReason::kStopped);
    }
  }
  void Execute(uint64_t token, const std::vector<Command>& commands) {
    report.fencing_token = std::max(report.fencing_token, token);
    for (const Command& c : commands) {
      auto it = std::find_if(report.tasks.begin(), report.tasks.end(), [&c](const TaskStatus& t) {
        return t.task_name == c.task_name && t.attempt == c.attempt;
      });
      if (c.operation == CommandOp::kStart && it == report.tasks.end()) {
        const TaskState state = stuck                 ? TaskState::kFetching
                                : InGang(c.task_name) ? TaskState::kWaitingForGang
                                                      : TaskState::kRunning;
        report.tasks.push_back({c.task_name, c.attempt, state, ExitReason::kNone, false});
        started.push_back(c.task_name);
      } else if (c.operation == CommandOp::kStop && it != report.tasks.end()) {
        Stop(&*it, c.grace_period_s);
      } else if (c.operation == CommandOp::kAcknowledgeExit && it != report.tasks.end()) {
        report.tasks.erase(it);
      }
    }
  }
  void End(const std::string& task, ExitReason why) {
    for (TaskStatus& t : report.tasks) {
      if (t.task_name == task && t.state != TaskState::kExited) {
        t.state = TaskState::kExited;
        t.exit_reason = why;
      }
    }
  }
  bool Has(const std::string& task) const {
    return std::any_of(report.tasks.begin(), report.tasks.end(), [&task](const TaskStatus& t) {
      return t.task_name == task && t.state != TaskState::kExited;
    });
  }
  // Tasks of the job that are on the machine.
  size_t Count(const std::string& job) const { return CountTasks(report, job); }
  // Commands that were held back arrive.
  void Late() {
    for (auto& [token, rest] : std::exchange(held, {})) {
      if (token >= report.fencing_token && rest.first == report.agent_epoch)
        Execute(token, rest.second);
    }
  }
};

struct FakeWorkers : WorkerClient {
  std::map<std::string, FakeWorker> at;  // by endpoint
  std::deque<std::function<void()>> queue;

  void Run() {
    while (!queue.empty()) {
      auto fn = std::move(queue.front());
      queue.pop_front();
      fn();
    }
  }
  void SendCommands(const std::string& endpoint, uint64_t token, uint64_t session,
                    const std::vector<Command>& commands, double, Done done) override {
    FakeWorker& w = at[endpoint];
    WorkerResponse a;
    a.sent = true;
    if (w.mute) return;
    if (w.unsent) {
      queue.push_back([done] { done(WorkerResponse()); });
      return;
    }
    if (w.hold > 0) {
      --w.hold;
      w.held.push_back({token, {session, commands}});
    } else if (!w.silent && !w.deaf) {
      const bool ok = token >= w.report.fencing_token && session == w.report.agent_epoch;
      if (ok) w.Execute(token, commands);
      ++w.report.sequence;
      a.status = ok ? 200 : 409;
      a.has_heartbeat = true;
      a.heartbeat = w.report;
      if (w.lose_answers > 0) {
        --w.lose_answers;
        a = WorkerResponse();
        a.sent = true;
      }
    }
    queue.push_back([done, a] { done(a); });
  }
  void Probe(const std::string& endpoint, double, Done done) override {
    FakeWorker& w = at[endpoint];
    WorkerResponse a;
    a.sent = true;
    if (!w.silent && !w.deaf) {
      ++w.report.sequence;
      a.status = 200;
      a.has_heartbeat = true;
      a.heartbeat = w.report;
    }
    queue.push_back([done, a] { done(a); });
  }
};

struct FakeLease : LeadershipLease {
  const FakeClock* clock = nullptr;
  double until = 1e12;
  bool IsLeaseValid() const override { return clock->now < until; }
  double LeaseValidUntil() const override { return until; }
};

inline JobSpec ArraySpec(const std::string& id, uint32_t tasks, double cores) {
  JobSpec s;
  s.id = id;
  s.job_class = "sums";
  s.team = "blue";
  s.task_count = tasks;
  s.cores = cores;
  s.memory_gb = 4;
  s.image = "img";
  s.image_gb = 1;
  s.estimated_runtime_s = 30;
  return s;
}

inline JobSpec ServiceSpec(const std::string& id, uint32_t tasks, double cores) {
  JobSpec s = ArraySpec(id, tasks, cores);
  s.job_class = "live";
  s.service = true;
  s.priority = Priority::kProduction;
  s.estimated_runtime_s = 0;
  return s;
}

// The only type of machine.
inline MachineType BoxType(const std::vector<std::string>& zones) {
  MachineType t;
  t.name = "box";
  t.cores = 8;
  t.memory_gb = 64;
  t.price = 1;
  t.spot_price = 0.4;
  t.boot_s = 30;
  t.fetch_gb_per_s = 1;
  t.zones = zones;
  return t;
}

// Everything around one leader; a second one can take over the same store.
struct World {
  FakeClock clock;
  FakeState state;
  FakeCloud cloud;
  FakeWorkers workers;
  FakeLease lease;
  Settings settings;
  Tuning tuning;
  std::unique_ptr<Leader> leader;
  std::vector<std::unique_ptr<Leader>> former;
  bool deposed = false;
  double no_later_term_since = -1;  // see LeaderPorts
  std::string lead_doubtful;        // zone to which the way is blocked
  std::string former_leader_zone;   // of whoever led before

  World() {
    lease.clock = &clock;
    settings.label = "n0";
    settings.zones = {"east", "west"};
    settings.teams = {{"blue", 8, 16, 0, 0}, {"red", 0, 0, 0, 0}};
    settings.lease_s = 20;
    settings.cancel_s = 40;
    // Idle machines stay, unless a test is about that.
    tuning.idle_spot_boots = tuning.idle_ordinary_boots = 1000;
    cloud.types = {BoxType(settings.zones)};
  }
  void Lead() {
    if (leader) {
      leader->Retire();
      former.push_back(std::move(leader));
    }
    ++state.revision;
    state.keys["leader"] = {"{}", state.revision, 0};
    lease.until = 1e12;
    LeaderPorts ports{&state, &cloud,  &workers, &clock,
                      &lease, nullptr, nullptr,  former_leader_zone};
    if (no_later_term_since >= 0)
      ports.no_later_term_since = [this](uint64_t) { return no_later_term_since; };
    ports.is_zone_suspected = [this](const std::string& zone) { return zone == lead_doubtful; };
    leader = std::make_unique<Leader>(ports, &settings, &tuning, "leader", state.revision);
    leader->on_leadership_lost = [this](const char*) { deposed = true; };
    leader->Start();
    Settle();
  }
  void Settle() {
    for (int i = 0; i < 12; ++i) {
      state.Run();
      cloud.Run();
      workers.Run();
      if (leader) leader->Tick();
    }
  }
  // Lets time pass in small steps; workers that are not silent report.
  void Pass(double seconds, bool reports = true) {
    const double end = clock.now + seconds;
    while (clock.now < end) {
      clock.now += 0.5;
      if (reports) {
        for (auto& [endpoint, w] : workers.at) ReportNow(&w);
      }
      Settle();
    }
  }
  void ReportNow(FakeWorker* w) {
    if (w->silent || w->report.machine.empty()) return;
    ++w->report.sequence;
    const HeartbeatResponse reply = leader->HandleHeartbeat(w->report);
    if (reply.status == 200 && reply.fencing_token >= w->report.fencing_token && !w->deaf) {
      w->Execute(reply.fencing_token, reply.commands);
    }
  }
  FakeWorker& Machine(const std::string& name, const std::string& zone, bool spot = false) {
    FakeWorker& w = workers.at[name + ":1"];
    w.report.machine = name;
    w.report.endpoint = name + ":1";
    w.report.type = "box";
    w.report.zone = zone;
    w.report.spot = spot;
    w.report.agent_epoch = 1;
    ReportNow(&w);
    Settle();
    ReportNow(&w);
    Settle();
    return w;
  }
  JobSpec Array(const std::string& id, uint32_t tasks, double cores = 2) {
    return ArraySpec(id, tasks, cores);
  }
  JobSpec Service(const std::string& id, uint32_t tasks, double cores = 2) {
    return ServiceSpec(id, tasks, cores);
  }
  JobResponse Ask(JobOperation op, const std::string& id, const JobSpec* spec = nullptr,
                  const std::string& invalid = "") {
    JobRequest ask;
    ask.operation = op;
    ask.job_id = id;
    ask.validation_error = invalid;
    if (spec != nullptr) ask.job = *spec;
    auto out = std::make_shared<JobResponse>();
    out->status = 0;
    leader->HandleJobRequest(ask, [out](const JobResponse& r) { *out = r; });
    Settle();
    return *out;
  }
  JobResponse Submit(const JobSpec& spec) { return Ask(JobOperation::kSubmit, spec.id, &spec); }
};

}  // namespace deckhall
