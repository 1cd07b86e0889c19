#include "loopback_fleet.h"

#include <algorithm>

#include "loopback_state.h"
#include "message_rules.h"
#include "wire/json.h"
#include "wire/worker_codec.h"

namespace deckhall {
namespace {

constexpr double kTickSeconds = 0.05;
constexpr double kMinHeartbeatIntervalSeconds = 0.5;
constexpr double kHeartbeatTimeoutSeconds = 4;
constexpr size_t kMaxReadBytes = 1 << 20;

HttpResponse MakeResponse(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

std::string JobOf(const std::string& task) { return task.substr(0, task.rfind('/')); }

}  // namespace

struct LoopbackFleet::Worker {
  Heartbeat heartbeat;
  std::string state = "starting";
  double provisioned_at = 0;
  double boot_done_at = 0;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpClient> client;
  double lease_start = 0;
  double next_heartbeat_at = 0;
  double last_heartbeat_at = -1;
  bool awaiting_response = false;
  bool changed = false;
  size_t controller = 0;
  std::map<std::string, double> task_runs_at;  // by task name
  std::vector<WorkerCommands> executed;        // direct commands

  double UsedCores(const std::map<std::string, JobSpec>& jobs) const {
    double cores = 0;
    for (const TaskStatus& status : heartbeat.tasks) {
      if (status.state != TaskState::kExited) cores += jobs.at(JobOf(status.task_name)).cores;
    }
    return cores;
  }
  std::string NextHeartbeat() {
    ++heartbeat.sequence;
    return EncodeHeartbeat(heartbeat);
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
              [this](const HttpMessage& request, const HttpServer::Reply& reply) {
                HandleCloudRequest(request, reply);
              }) {
  ticker_.Start(kTickSeconds, kTickSeconds);
}

LoopbackFleet::~LoopbackFleet() = default;

void LoopbackFleet::HandleCloudRequest(const HttpMessage& request, const HttpServer::Reply& reply) {
  const HttpResponse response = ExecuteCloudRequest(request);
  if (!hold_cloud_responses_) {
    reply(response);
    return;
  }
  ++held_cloud_responses_;
  held_responses_.emplace_back([reply, response] { reply(response); });
}

HttpResponse LoopbackFleet::ExecuteCloudRequest(const HttpMessage& request) {
  if (request.target == "/flavors") return ListTypes();
  if (request.target == "/machines/return") return ScaleIn(request.body);
  if (request.method == "POST") return ScaleOut(request.body);
  return List();
}

void LoopbackFleet::HoldCloudResponses(bool hold) {
  hold_cloud_responses_ = hold;
  if (hold) return;
  for (const std::function<void()>& respond : std::exchange(held_responses_, {})) respond();
}

HttpResponse LoopbackFleet::ListTypes() const {
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
  return MakeResponse(200, "{\"cascos\":[" + rows + "]}");
}

HttpResponse LoopbackFleet::ScaleOut(const std::string& body) {
  rapidjson::Document doc;
  std::string request;
  std::string type;
  std::string zone;
  uint64_t count = 0;
  if (!ParseJson(body, &doc) || !JsonString(doc, "flete", &request) ||
      !JsonString(doc, "casco", &type) || !JsonString(doc, "muelle", &zone) ||
      !JsonU64(doc, "how_many", &count)) {
    return MakeResponse(400, "{}");
  }
  if (scaled_out_.contains(request)) return MakeResponse(200, scaled_out_[request]);
  std::string names;
  for (; count > 0 && static_cast<int>(workers_.size()) < options_.max_machines; --count) {
    auto worker = std::make_unique<Worker>();
    char name[20];
    std::snprintf(name, sizeof name, "m-%06d", next_machine_++);
    worker->heartbeat.machine = name;
    worker->heartbeat.type = type;
    worker->heartbeat.zone = zone;
    worker->heartbeat.agent_epoch = 1;
    worker->provisioned_at = SteadySeconds();
    worker->boot_done_at = worker->provisioned_at + options_.boot_s;
    names += (names.empty() ? "\"" : ",\"") + std::string(name) + "\"";
    workers_[name] = std::move(worker);
  }
  if (names.empty()) return MakeResponse(503, "{\"error\":\"no capacity\"}");
  scaled_out_[request] = "{\"cubiertas\":[" + names + "]}";
  return MakeResponse(200, scaled_out_[request]);
}

HttpResponse LoopbackFleet::ScaleIn(const std::string& body) {
  rapidjson::Document doc;
  if (!ParseJson(body, &doc)) return MakeResponse(400, "{}");
  for (const auto& name : doc["cubiertas"].GetArray()) Remove(name.GetString(), "returned");
  return MakeResponse(200, "{}");
}

HttpResponse LoopbackFleet::List() const {
  std::string rows;
  for (const auto& [name, worker] : workers_) {
    if (worker->state == "returned") continue;
    if (!rows.empty()) rows += ',';
    rows += "{\"name_id\":\"" + name + "\",\"endpoint\":\"" + worker->heartbeat.endpoint +
            "\",\"casco\":\"" + worker->heartbeat.type + "\",\"muelle\":\"" +
            worker->heartbeat.zone + "\",\"prestados\":false,\"estado\":\"" + worker->state +
            "\",\"age_s\":" + std::to_string(SteadySeconds() - worker->provisioned_at) + "}";
  }
  return MakeResponse(200, "{\"cubiertas\":[" + rows + "],\"truncated\":false}");
}

void LoopbackFleet::Boot(Worker* worker) {
  const auto zone =
      std::find_if(options_.zones.begin(), options_.zones.end(),
                   [worker](const LoopbackZone& z) { return z.name == worker->heartbeat.zone; });
  worker->state = "running";
  const Endpoint at = FreeEndpoint(zone->network + "." + std::to_string(++hosts_[zone->network]));
  worker->heartbeat.endpoint = at.Text();
  HttpServerLimits limits;
  limits.body_bytes = kMaxReadBytes;  // Handle() refuses what PROTOCOL does not allow
  worker->server = std::make_unique<HttpServer>(
      loop_, at, limits,
      [this, worker](const HttpMessage& request, const HttpServer::Reply& reply) {
        Handle(worker, request, reply);
      });
  worker->client = std::make_unique<HttpClient>(loop_, 4, kMaxReadBytes);
  worker->lease_start = worker->next_heartbeat_at = SteadySeconds();
  worker->controller = workers_.size() % controllers_.size();
}

void LoopbackFleet::Remove(const std::string& machine, const char* state) {
  auto it = workers_.find(machine);
  if (it == workers_.end() || it->second->state == "returned") return;
  Worker* worker = it->second.get();
  oracle_->MachineLost(SteadySeconds(), machine);
  worker->heartbeat.tasks.clear();
  worker->state = state;
}

void LoopbackFleet::Kill(const std::string& machine) {
  Remove(machine, "failed");
  ++killed_;
}

void LoopbackFleet::Handle(Worker* worker, const HttpMessage& request,
                           const HttpServer::Reply& reply) {
  // A machine that was released or failed sends no response.
  if (worker->state != "running") return;
  if (request.target == "/inspect") {
    reply(MakeResponse(200, worker->NextHeartbeat()));
    return;
  }
  if (!AllowsMessage(request.body)) {
    reply(MakeResponse(413, "{}"));
    return;
  }
  const std::optional<WorkerCommands> batch = DecodeCommands(request.body);
  if (!batch) {
    reply(MakeResponse(400, "{}"));
    return;
  }
  const bool authorized = IsAuthorized(*worker, *batch);
  if (authorized) {
    worker->executed.push_back(*batch);
    Execute(worker, *batch);
  }
  reply(MakeResponse(authorized ? 200 : 409, worker->NextHeartbeat()));
}

bool LoopbackFleet::AllowsMessage(const std::string& body_or_line) {
  const bool allowed = ProtocolAllows(body_or_line);
  if (!allowed) ++oversized_messages_;
  return allowed;
}

bool LoopbackFleet::IsAuthorized(const Worker& worker, const WorkerCommands& batch) {
  return batch.fencing_token >= worker.heartbeat.fencing_token &&
         batch.agent_epoch == worker.heartbeat.agent_epoch;
}

void LoopbackFleet::CopyLaunches(Worker* worker, const Command& acknowledgement) {
  for (const WorkerCommands& batch : worker->executed) {
    const bool launched =
        std::any_of(batch.commands.begin(), batch.commands.end(), [&](const Command& command) {
          return command.operation == CommandOp::kStart &&
                 command.task_name == acknowledgement.task_name &&
                 command.attempt == acknowledgement.attempt;
        });
    if (!launched) continue;
    copies_.push_back(std::make_unique<Timer>(loop_, [this, worker, batch] {
      ++copied_commands_;
      if (worker->state == "running" && IsAuthorized(*worker, batch)) Execute(worker, batch);
    }));
    copies_.back()->Start(copy_delay_s_);
  }
}

void LoopbackFleet::Execute(Worker* worker, const WorkerCommands& batch) {
  std::vector<TaskStatus>& tasks = worker->heartbeat.tasks;
  if (batch.fencing_token > worker->heartbeat.fencing_token) worker->changed = true;
  worker->heartbeat.fencing_token = std::max(worker->heartbeat.fencing_token, batch.fencing_token);
  for (const Command& command : batch.commands) {
    auto it = std::find_if(tasks.begin(), tasks.end(), [&command](const TaskStatus& status) {
      return status.task_name == command.task_name && status.attempt == command.attempt;
    });
    const bool active = it != tasks.end() && it->state != TaskState::kExited;
    if (command.operation == CommandOp::kStart && it == tasks.end()) {
      Launch(worker, command);
    } else if (command.operation == CommandOp::kStop && active) {
      oracle_->TaskStopped(SteadySeconds(), SteadySeconds(), command.task_name);
      EndTask(worker, &*it, ExitReason::kStopped);
    } else if (command.operation == CommandOp::kAcknowledgeExit && it != tasks.end() && !active) {
      tasks.erase(it);
      if (copy_delay_s_ >= 0) CopyLaunches(worker, command);
    }
  }
}

void LoopbackFleet::Launch(Worker* worker, const Command& command) {
  std::vector<TaskStatus>& tasks = worker->heartbeat.tasks;
  const auto job = jobs_.find(JobOf(command.task_name));
  const bool active = std::any_of(tasks.begin(), tasks.end(), [&command](const TaskStatus& other) {
    return other.task_name == command.task_name && other.state != TaskState::kExited;
  });
  ExitReason rejection = ExitReason::kNone;
  if (job == jobs_.end()) {
    rejection = ExitReason::kUnknownTask;
  } else if (active) {
    rejection = ExitReason::kAttemptConflict;
  } else if (worker->UsedCores(jobs_) + job->second.cores > options_.cores + 1e-6) {
    rejection = ExitReason::kInsufficientCapacity;
  }
  tasks.push_back(
      {command.task_name, command.attempt, TaskState::kFetching, ExitReason::kNone, false});
  worker->changed = true;
  if (rejection != ExitReason::kNone) {
    EndTask(worker, &tasks.back(), rejection);
  } else {
    worker->task_runs_at[command.task_name] = SteadySeconds() + options_.task_start_s;
  }
}

void LoopbackFleet::EndTask(Worker* worker, TaskStatus* task, ExitReason reason) {
  if (task->state == TaskState::kRunning) {
    oracle_->TaskEnded(SteadySeconds(), task->task_name, worker->heartbeat.machine);
  }
  task->state = TaskState::kExited;
  task->exit_reason = reason;
  worker->changed = true;
}

void LoopbackFleet::SendHeartbeat(Worker* worker) {
  worker->awaiting_response = true;
  worker->changed = false;
  worker->last_heartbeat_at = SteadySeconds();
  const std::string report = worker->NextHeartbeat();
  // The controller refuses it; that is part of the test.
  AllowsMessage(report);
  worker->client->Call(
      controllers_[worker->controller], {"POST", "/checkin", report, kHeartbeatTimeoutSeconds},
      [this, worker, sent = SteadySeconds(),
       agent_epoch = worker->heartbeat.agent_epoch](const HttpResult& result) {
        worker->awaiting_response = false;
        if (worker->state == "running" && agent_epoch == worker->heartbeat.agent_epoch) {
          HandleHeartbeatResponse(worker, sent, result);
        }
      });
}

void LoopbackFleet::HandleHeartbeatResponse(Worker* worker, double sent, const HttpResult& result) {
  const bool is_read = result.status == 200 && AllowsMessage(LongestLine(result.body));
  const std::optional<WorkerCommands> batch = is_read ? DecodeCommands(result.body) : std::nullopt;
  if (!batch) {
    worker->controller = (worker->controller + 1) % controllers_.size();
    worker->next_heartbeat_at = SteadySeconds() + 1;
    return;
  }
  worker->next_heartbeat_at = SteadySeconds() + options_.heartbeat_interval_s;
  if (batch->fencing_token < worker->heartbeat.fencing_token) return;
  worker->lease_start = sent;
  Execute(worker, *batch);
}

void LoopbackFleet::StartNewEpoch(Worker* worker) {
  for (TaskStatus& status : worker->heartbeat.tasks) {
    if (status.state != TaskState::kExited) EndTask(worker, &status, ExitReason::kStopped);
  }
  worker->heartbeat.tasks.clear();
  ++worker->heartbeat.agent_epoch;
  worker->lease_start = SteadySeconds();
}

void LoopbackFleet::Tick() {
  const double now = SteadySeconds();
  for (auto& [name, entry] : workers_) {
    Worker* worker = entry.get();
    if (worker->state == "starting" && now >= worker->boot_done_at) Boot(worker);
    if (worker->state != "running") continue;
    if (now - worker->lease_start > options_.lease_s) StartNewEpoch(worker);
    for (TaskStatus& status : worker->heartbeat.tasks) {
      if (status.state != TaskState::kFetching || now < worker->task_runs_at[status.task_name])
        continue;
      status.state = TaskState::kRunning;
      worker->changed = true;
      oracle_->TaskStarted(now, status.task_name, jobs_.at(JobOf(status.task_name)), name);
    }
    const bool due =
        now >= worker->next_heartbeat_at ||
        (worker->changed && now - worker->last_heartbeat_at >= kMinHeartbeatIntervalSeconds);
    if (!worker->awaiting_response && due) SendHeartbeat(worker);
  }
}

std::string LoopbackFleet::PickBusyMachine(uint64_t random_number) const {
  std::vector<std::string> busy;
  for (const auto& [name, worker] : workers_) {
    if (worker->state == "running" && !worker->heartbeat.tasks.empty()) busy.push_back(name);
  }
  return busy.empty() ? "" : busy[random_number % busy.size()];
}

size_t LoopbackFleet::CountMachines(const std::string& zone, const std::string& type) const {
  return static_cast<size_t>(
      std::count_if(workers_.begin(), workers_.end(), [&zone, &type](const auto& entry) {
        const Worker& worker = *entry.second;
        return worker.state == "running" && (zone.empty() || worker.heartbeat.zone == zone) &&
               (type.empty() || worker.heartbeat.type == type);
      }));
}

void LoopbackFleet::Fail(const std::string& task) {
  for (const auto& [name, worker] : workers_) {
    for (TaskStatus& status : worker->heartbeat.tasks) {
      if (status.task_name == task && status.state == TaskState::kRunning)
        EndTask(worker.get(), &status, ExitReason::kError);
    }
  }
}

size_t LoopbackFleet::CountRunningOfJob(const std::string& job) const {
  size_t count = 0;
  for (const auto& [name, worker] : workers_) {
    for (const TaskStatus& status : worker->heartbeat.tasks)
      count += status.state == TaskState::kRunning && JobOf(status.task_name) == job ? 1 : 0;
  }
  return count;
}

size_t LoopbackFleet::CountRunning(const std::string& task) const {
  return static_cast<size_t>(
      std::count_if(workers_.begin(), workers_.end(), [&task](const auto& entry) {
        const std::vector<TaskStatus>& tasks = entry.second->heartbeat.tasks;
        return std::any_of(tasks.begin(), tasks.end(), [&task](const TaskStatus& status) {
          return status.task_name == task && status.state == TaskState::kRunning;
        });
      }));
}

}  // namespace deckhall
