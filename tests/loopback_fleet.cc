#include "loopback_fleet.h"

#include <algorithm>

#include "loopback_state.h"
#include "wire/json.h"
#include "wire/worker_codec.h"

namespace deckhall {
namespace {

constexpr double kTickSeconds = 0.05;
constexpr double kLeastBetweenReports = 0.5;
constexpr double kReportTimeout = 4;

HttpResponse Answer(int status, std::string body) {
  HttpResponse answer;
  answer.status = status;
  answer.body = std::move(body);
  return answer;
}

std::string JobOf(const std::string& task) { return task.substr(0, task.rfind('/')); }

}  // namespace

struct LoopbackFleet::Worker {
  Heartbeat report;
  std::string state = "starting";
  double rented_at = 0;
  double boots_at = 0;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpClient> client;
  double lease_from = 0;
  double next_report = 0;
  double reported_at = -1;
  bool waiting = false;
  bool changed = false;
  size_t controller = 0;
  std::map<std::string, double> runs_at;  // by task

  double Used(const std::map<std::string, JobSpec>& jobs) const {
    double cores = 0;
    for (const TaskStatus& t : report.tasks) {
      if (t.state != TaskState::kExited) cores += jobs.at(JobOf(t.task_name)).cores;
    }
    return cores;
  }
  std::string Reported() {
    ++report.sequence;
    return EncodeHeartbeat(report);
  }
};

LoopbackFleet::LoopbackFleet(Loop* loop, const Endpoint& cloud, const LoopbackOptions& options,
                             std::vector<Endpoint> controllers, DisruptionOracle* oracle)
    : loop_(loop),
      options_(options),
      controllers_(std::move(controllers)),
      oracle_(oracle),
      ticker_(loop, [this] { Tick(); }),
      server_(loop, cloud, HttpServerLimits(),
              [this](const HttpMessage& m, const HttpServer::Reply& r) { Cloud(m, r); }) {
  ticker_.Start(kTickSeconds, kTickSeconds);
}

LoopbackFleet::~LoopbackFleet() = default;

void LoopbackFleet::Cloud(const HttpMessage& request, const HttpServer::Reply& reply) {
  if (request.target == "/flavors") {
    reply(Flavors());
  } else if (request.target == "/machines/return") {
    reply(Return(request.body));
  } else if (request.method == "POST") {
    reply(Rent(request.body));
  } else {
    reply(List());
  }
}

HttpResponse LoopbackFleet::Flavors() const {
  std::string zones;
  for (const LoopbackZone& zone : options_.zones) {
    zones += (zones.empty() ? "\"" : ",\"") + zone.name + "\"";
  }
  std::string rows;
  for (const LoopbackOptions::Type& type : options_.types) {
    if (!rows.empty()) rows += ',';
    rows += "{\"name\":\"" + type.name + "\",\"cores\":" + std::to_string(options_.cores) +
            ",\"gpus\":0,\"memory_gb\":64,\"cache_gb\":100,\"pull_gb_per_s\":10,\"hourly\":" +
            std::to_string(type.price) + ",\"low_price\":" + std::to_string(type.price) +
            ",\"startup_s\":" + std::to_string(options_.boot_s) + ",\"muelles\":[" + zones + "]}";
  }
  return Answer(200, "{\"cascos\":[" + rows + "]}");
}

HttpResponse LoopbackFleet::Rent(const std::string& body) {
  rapidjson::Document doc;
  std::string request;
  std::string type;
  std::string zone;
  uint64_t count = 0;
  if (!ParseJson(body, &doc) || !JsonString(doc, "flete", &request) ||
      !JsonString(doc, "casco", &type) || !JsonString(doc, "muelle", &zone) ||
      !JsonU64(doc, "how_many", &count)) {
    return Answer(400, "{}");
  }
  if (rented_.contains(request)) return Answer(200, rented_[request]);
  std::string names;
  for (; count > 0 && static_cast<int>(workers_.size()) < options_.most_machines; --count) {
    auto worker = std::make_unique<Worker>();
    char name[20];
    std::snprintf(name, sizeof name, "m-%06d", next_machine_++);
    worker->report.machine = name;
    worker->report.type = type;
    worker->report.zone = zone;
    worker->report.agent_epoch = 1;
    worker->rented_at = SteadySeconds();
    worker->boots_at = worker->rented_at + options_.boot_s;
    names += (names.empty() ? "\"" : ",\"") + std::string(name) + "\"";
    workers_[name] = std::move(worker);
  }
  if (names.empty()) return Answer(503, "{\"error\":\"no capacity\"}");
  rented_[request] = "{\"cubiertas\":[" + names + "]}";
  return Answer(200, rented_[request]);
}

HttpResponse LoopbackFleet::Return(const std::string& body) {
  rapidjson::Document doc;
  if (!ParseJson(body, &doc)) return Answer(400, "{}");
  for (const auto& name : doc["cubiertas"].GetArray()) Remove(name.GetString(), "returned");
  return Answer(200, "{}");
}

HttpResponse LoopbackFleet::List() const {
  std::string rows;
  for (const auto& [name, w] : workers_) {
    if (w->state == "returned") continue;
    if (!rows.empty()) rows += ',';
    rows += "{\"name_id\":\"" + name + "\",\"endpoint\":\"" + w->report.endpoint +
            "\",\"casco\":\"" + w->report.type + "\",\"muelle\":\"" + w->report.zone +
            "\",\"prestados\":false,\"estado\":\"" + w->state +
            "\",\"age_s\":" + std::to_string(SteadySeconds() - w->rented_at) + "}";
  }
  return Answer(200, "{\"cubiertas\":[" + rows + "],\"truncated\":false}");
}

void LoopbackFleet::Boot(Worker* worker) {
  const auto zone =
      std::find_if(options_.zones.begin(), options_.zones.end(),
                   [worker](const LoopbackZone& z) { return z.name == worker->report.zone; });
  worker->state = "running";
  const Endpoint at = FreeEndpoint(zone->network + "." + std::to_string(++hosts_[zone->network]));
  worker->report.endpoint = at.Text();
  worker->server = std::make_unique<HttpServer>(
      loop_, at, HttpServerLimits(),
      [this, worker](const HttpMessage& m, const HttpServer::Reply& r) { Handle(worker, m, r); });
  worker->client = std::make_unique<HttpClient>(loop_, 4, 1 << 20);
  worker->lease_from = worker->next_report = SteadySeconds();
  worker->controller = workers_.size() % controllers_.size();
}

void LoopbackFleet::Remove(const std::string& machine, const char* state) {
  auto it = workers_.find(machine);
  if (it == workers_.end() || it->second->state == "returned") return;
  Worker* w = it->second.get();
  oracle_->MachineGone(SteadySeconds(), machine);
  w->report.tasks.clear();
  w->state = state;
}

void LoopbackFleet::Kill(const std::string& machine) {
  Remove(machine, "failed");
  ++killed_;
}

void LoopbackFleet::Handle(Worker* worker, const HttpMessage& request,
                           const HttpServer::Reply& reply) {
  // A machine that is gone is silent.
  if (worker->state != "running") return;
  if (request.target == "/inspect") {
    reply(Answer(200, worker->Reported()));
    return;
  }
  const std::optional<WorkerCommands> orders = DecodeCommands(request.body);
  if (!orders) {
    reply(Answer(400, "{}"));
    return;
  }
  const bool entitled = orders->fencing_token >= worker->report.fencing_token &&
                        orders->agent_epoch == worker->report.agent_epoch;
  if (entitled) Execute(worker, *orders);
  reply(Answer(entitled ? 200 : 409, worker->Reported()));
}

void LoopbackFleet::Execute(Worker* worker, const WorkerCommands& orders) {
  std::vector<TaskStatus>& tasks = worker->report.tasks;
  if (orders.fencing_token > worker->report.fencing_token) worker->changed = true;
  worker->report.fencing_token = std::max(worker->report.fencing_token, orders.fencing_token);
  for (const Command& c : orders.commands) {
    auto it = std::find_if(tasks.begin(), tasks.end(), [&c](const TaskStatus& t) {
      return t.task_name == c.task_name && t.attempt == c.attempt;
    });
    const bool here = it != tasks.end() && it->state != TaskState::kExited;
    if (c.operation == CommandOp::kStart && it == tasks.end()) {
      Launch(worker, c);
    } else if (c.operation == CommandOp::kStop && here) {
      oracle_->Stopped(SteadySeconds(), SteadySeconds(), c.task_name);
      End(worker, &*it, ExitReason::kStopped);
    } else if (c.operation == CommandOp::kAcknowledgeExit && it != tasks.end() && !here) {
      tasks.erase(it);
    }
  }
}

void LoopbackFleet::Launch(Worker* worker, const Command& command) {
  std::vector<TaskStatus>& tasks = worker->report.tasks;
  const auto job = jobs_.find(JobOf(command.task_name));
  const bool here = std::any_of(tasks.begin(), tasks.end(), [&command](const TaskStatus& other) {
    return other.task_name == command.task_name && other.state != TaskState::kExited;
  });
  ExitReason refused = ExitReason::kNone;
  if (job == jobs_.end()) {
    refused = ExitReason::kUnknownTask;
  } else if (here) {
    refused = ExitReason::kAttemptConflict;
  } else if (worker->Used(jobs_) + job->second.cores > options_.cores + 1e-6) {
    refused = ExitReason::kInsufficientCapacity;
  }
  tasks.push_back(
      {command.task_name, command.attempt, TaskState::kFetching, ExitReason::kNone, false});
  worker->changed = true;
  if (refused != ExitReason::kNone) {
    End(worker, &tasks.back(), refused);
  } else {
    worker->runs_at[command.task_name] = SteadySeconds() + options_.start_s;
  }
}

void LoopbackFleet::End(Worker* worker, TaskStatus* task, ExitReason why) {
  if (task->state == TaskState::kRunning) {
    oracle_->Ended(SteadySeconds(), task->task_name, worker->report.machine);
  }
  task->state = TaskState::kExited;
  task->exit_reason = why;
  worker->changed = true;
}

void LoopbackFleet::SendReport(Worker* worker) {
  worker->waiting = true;
  worker->changed = false;
  worker->reported_at = SteadySeconds();
  worker->client->Call(controllers_[worker->controller],
                       {"POST", "/checkin", worker->Reported(), kReportTimeout},
                       [this, worker, sent = SteadySeconds(),
                        session = worker->report.agent_epoch](const HttpResult& r) {
                         worker->waiting = false;
                         if (worker->state == "running" && session == worker->report.agent_epoch) {
                           Answered(worker, sent, r);
                         }
                       });
}

void LoopbackFleet::Answered(Worker* worker, double sent, const HttpResult& result) {
  const std::optional<WorkerCommands> orders =
      result.status == 200 ? DecodeCommands(result.body) : std::nullopt;
  if (!orders) {
    worker->controller = (worker->controller + 1) % controllers_.size();
    worker->next_report = SteadySeconds() + 1;
    return;
  }
  worker->next_report = SteadySeconds() + options_.report_s;
  if (orders->fencing_token < worker->report.fencing_token) return;
  worker->lease_from = sent;
  Execute(worker, *orders);
}

void LoopbackFleet::EndSession(Worker* worker) {
  for (TaskStatus& t : worker->report.tasks) {
    if (t.state != TaskState::kExited) End(worker, &t, ExitReason::kStopped);
  }
  worker->report.tasks.clear();
  ++worker->report.agent_epoch;
  worker->lease_from = SteadySeconds();
}

void LoopbackFleet::Tick() {
  const double now = SteadySeconds();
  for (auto& [name, owned] : workers_) {
    Worker* w = owned.get();
    if (w->state == "starting" && now >= w->boots_at) Boot(w);
    if (w->state != "running") continue;
    if (now - w->lease_from > options_.lease_s) EndSession(w);
    for (TaskStatus& t : w->report.tasks) {
      if (t.state != TaskState::kFetching || now < w->runs_at[t.task_name]) continue;
      t.state = TaskState::kRunning;
      w->changed = true;
      oracle_->Started(now, t.task_name, jobs_.at(JobOf(t.task_name)), name);
    }
    const bool due =
        now >= w->next_report || (w->changed && now - w->reported_at >= kLeastBetweenReports);
    if (!w->waiting && due) SendReport(w);
  }
}

std::string LoopbackFleet::AnyBusy(uint64_t draw) const {
  std::vector<std::string> busy;
  for (const auto& [name, w] : workers_) {
    if (w->state == "running" && !w->report.tasks.empty()) busy.push_back(name);
  }
  return busy.empty() ? "" : busy[draw % busy.size()];
}

size_t LoopbackFleet::Machines(const std::string& zone, const std::string& type) const {
  return static_cast<size_t>(
      std::count_if(workers_.begin(), workers_.end(), [&zone, &type](const auto& entry) {
        const Worker& w = *entry.second;
        return w.state == "running" && (zone.empty() || w.report.zone == zone) &&
               (type.empty() || w.report.type == type);
      }));
}

bool LoopbackFleet::Runs(const std::string& task) const {
  return std::any_of(workers_.begin(), workers_.end(), [&task](const auto& entry) {
    const std::vector<TaskStatus>& tasks = entry.second->report.tasks;
    return std::any_of(tasks.begin(), tasks.end(), [&task](const TaskStatus& t) {
      return t.task_name == task && t.state == TaskState::kRunning;
    });
  });
}

}  // namespace deckhall
