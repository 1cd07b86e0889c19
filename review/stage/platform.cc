#include "platform.h"

#include <algorithm>

#include "controllers.h"
#include "wire/json.h"

namespace stage {

using deckhall::HttpResponse;
using deckhall::JsonMember;
using deckhall::JsonNumber;
using deckhall::JsonString;
using deckhall::JsonU64;
using deckhall::JsonValue;
using deckhall::SteadySeconds;

namespace {

constexpr double kTickSeconds = 0.02;
constexpr double kMinReportPauseSeconds = 0.5;
constexpr double kReportTimeoutSeconds = 4;
constexpr double kNextControllerSeconds = 1;
constexpr double kRedirectSeconds = 0.25;
constexpr double kListedAfterStopSeconds = 30;
constexpr double kListingPauseSeconds = 0.1;
constexpr size_t kMaxBytes = 64 << 10;
constexpr size_t kMaxResponseBytes = 4 << 20;
constexpr double kTolerance = 1e-9;
constexpr double kFailureSeconds = 0.5;  // from the start of a task on a faulty machine

HttpResponse Response(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

std::string Quote(const std::string& text) { return "\"" + text + "\""; }

std::string JobOf(const std::string& task) { return task.substr(0, task.rfind('/')); }

std::string Number(double value) {
  char text[40];
  std::snprintf(text, sizeof text, "%.10g", value);
  return text;
}

size_t LongestLine(const std::string& text) {
  size_t longest = 0;
  size_t begin = 0;
  while (begin < text.size()) {
    const size_t end = std::min(text.find('\n', begin), text.size());
    longest = std::max(longest, end - begin);
    begin = end + 1;
  }
  return longest;
}

std::string Parameter(const std::string& target, const std::string& name) {
  const size_t at = target.find(name + "=");
  if (at == std::string::npos) return "";
  const size_t from = at + name.size() + 1;
  return target.substr(from, target.find('&', from) - from);
}

}  // namespace

std::string JobDescription::Text() const {
  std::string type_names;
  for (const std::string& type : types) type_names += (type_names.empty() ? "" : ",") + Quote(type);
  return "{\"name_id\":" + Quote(id) + ",\"clase\":" + Quote(job_class) +
         ",\"cuadrilla\":" + Quote(team) + ",\"forma\":" + Quote(kind) +
         ",\"rango\":" + Quote(priority) + ",\"faenas\":" + std::to_string(tasks) +
         ",\"cores\":" + Number(cores) + ",\"gpus\":0.0,\"memory_gb\":" + Number(memory_gb) +
         ",\"carga\":" + Quote(image) + ",\"image_gb\":" + Number(image_gb) +
         ",\"cascos\":" + (types.empty() ? "null" : "[" + type_names + "]") +
         ",\"muelle\":" + (zone.empty() ? "null" : Quote(zone)) +
         ",\"one_zone\":" + (one_zone ? "true" : "false") +
         ",\"apart\":" + (apart ? "true" : "false") +
         ",\"prestados\":false,\"rumbo_s\":" + Number(IsService() ? 0 : run_s) +
         ",\"bitacora_s\":0.0,\"estiba_s\":0.0,\"arribo_s\":null}";
}

struct Platform::Command {
  std::string operation;
  std::string task;
  uint64_t attempt = 0;
};

struct Platform::Task {
  std::string name;
  uint64_t attempt = 0;
  std::string state = "pulling";
  std::string reason;
  double image_at = 0;  // when the machine has its image
  double ends_at = 0;

  bool IsActive() const { return state != "ended"; }
  bool IsOnMachine() const { return state == "running"; }
};

struct Platform::Worker {
  std::string machine;
  std::string type;
  std::string zone;
  std::string endpoint;
  std::string state = "starting";  // as the cloud sees it
  bool silent = false;             // stopped with all that was on it
  bool faulty = false;             // fails every task that it starts
  double rented_at = 0;
  double up_at = 0;
  double stopped_at = 0;
  uint64_t session = 1;
  uint64_t sequence = 0;
  uint64_t token = 0;
  double lease_since = 0;
  double next_report_at = 0;
  double last_report_at = -1;
  double token_change_at = -1e9;
  bool changed = false;
  bool awaiting_response = false;
  size_t controller = 0;
  std::vector<Task> tasks;
  std::map<std::string, double> images;  // when the machine has each image
  std::unique_ptr<deckhall::HttpServer> server;
  std::unique_ptr<deckhall::HttpClient> client;

  bool IsUp() const { return state == "running" && !silent; }
};

Platform::Platform(deckhall::Loop* loop, Record* record, const deckhall::Endpoint& cloud,
                   const PlatformOptions& options, std::vector<deckhall::Endpoint> controllers,
                   std::vector<std::string> labels)
    : loop_(loop),
      record_(record),
      options_(options),
      controllers_(std::move(controllers)),
      labels_(std::move(labels)),
      ticker_(loop, [this] { Tick(); }),
      server_(loop, cloud, deckhall::HttpServerLimits(),
              [this](const deckhall::HttpMessage& request,
                     const deckhall::HttpServer::Reply& reply) { reply(HandleCloud(request)); }) {
  ticker_.Start(kTickSeconds, kTickSeconds);
}

Platform::~Platform() = default;

// The cloud.

HttpResponse Platform::HandleCloud(const deckhall::HttpMessage& request) {
  if (request.target == "/flavors") return ListTypes();
  if (request.target == "/machines/return") return Return(request.body);
  if (request.method == "POST") return Rent(request.body);
  return ListMachines(request.target);
}

HttpResponse Platform::ListTypes() const {
  std::string rows;
  for (const MachineType& type : options_.types) {
    std::string zones;
    for (const std::string& zone : type.zones) zones += (zones.empty() ? "" : ",") + Quote(zone);
    rows += (rows.empty() ? "" : ",") + ("{\"name\":" + Quote(type.name)) +
            ",\"cores\":" + Number(type.cores) +
            ",\"gpus\":0,\"memory_gb\":" + Number(type.memory_gb) +
            ",\"cache_gb\":50.0,\"pull_gb_per_s\":" + Number(type.pull_gb_per_s) +
            ",\"hourly\":" + Number(type.hourly) + ",\"low_price\":" + Number(type.hourly / 3) +
            ",\"startup_s\":" + Number(type.startup_s) + ",\"muelles\":[" + zones + "]}";
  }
  return Response(200, "{\"cascos\":[" + rows + "]}");
}

const MachineType& Platform::TypeOf(const Worker& worker) const {
  return *std::find_if(options_.types.begin(), options_.types.end(),
                       [&worker](const MachineType& type) { return type.name == worker.type; });
}

Platform::Worker* Platform::Create(const std::string& type, const std::string& zone) {
  char name[24];
  std::snprintf(name, sizeof name, "m-%06d", next_machine_++);
  auto worker = std::make_unique<Worker>();
  worker->machine = name;
  worker->type = type;
  worker->zone = zone;
  worker->endpoint = FreeEndpoint().Text();
  worker->rented_at = SteadySeconds();
  worker->up_at = worker->rented_at + TypeOf(*worker).boot_s;
  return (workers_[name] = std::move(worker)).get();
}

std::string Platform::AddMachine(const std::string& type, const std::string& zone) {
  Worker* worker = Create(type, zone);
  Boot(worker);
  return worker->machine;
}

HttpResponse Platform::Rent(const std::string& body) {
  rapidjson::Document document;
  std::string request;
  std::string type;
  std::string zone;
  uint64_t count = 0;
  bool spot = false;
  if (!deckhall::ParseJson(body, &document) || !JsonString(document, "flete", &request) ||
      !JsonString(document, "casco", &type) || !JsonString(document, "muelle", &zone) ||
      !JsonU64(document, "how_many", &count) || count > 50) {
    return Response(400, "{}");
  }
  deckhall::JsonBool(document, "prestados", &spot);
  const auto earlier = rentals_.find(request);
  if (earlier != rentals_.end()) return Response(200, earlier->second);
  std::string names;
  // Only ordinary machines are for rent.
  for (; !spot && count > 0 && CountMachines() < options_.max_machines; --count) {
    const Worker* worker = Create(type, zone);
    names += (names.empty() ? "" : ",") + Quote(worker->machine);
  }
  record_->Write("cloud: rental " + request + " " + type + " " + zone + (spot ? " spot" : "") +
                 " -> " + (names.empty() ? "no capacity" : names));
  if (names.empty()) return Response(503, "{\"error\":\"no capacity\"}");
  rentals_[request] = "{\"cubiertas\":[" + names + "]}";
  return Response(200, rentals_[request]);
}

HttpResponse Platform::Return(const std::string& body) {
  rapidjson::Document document;
  if (!deckhall::ParseJson(body, &document)) return Response(400, "{}");
  for (const auto& name : document["cubiertas"].GetArray()) {
    const auto entry = workers_.find(name.GetString());
    if (entry == workers_.end() || entry->second->state == "returned") continue;
    Worker* worker = entry->second.get();
    record_->Write("cloud: returned " + worker->machine + " with " +
                   std::to_string(worker->tasks.size()) + " tasks");
    worker->tasks.clear();
    worker->state = "returned";
  }
  return Response(200, "{}");
}

void Platform::SaveListing(double now) {
  if (!listings_.empty() && now - listings_.back().at < kListingPauseSeconds) return;
  Listing listing;
  listing.at = now;
  for (const auto& [name, worker] : workers_) {
    if (worker->state == "returned") continue;
    const bool failed = worker->silent && now - worker->stopped_at > kListedAfterStopSeconds;
    listing.rows.emplace_back(
        name, "{\"name_id\":" + Quote(name) + ",\"endpoint\":" + Quote(worker->endpoint) +
                  ",\"casco\":" + Quote(worker->type) + ",\"muelle\":" + Quote(worker->zone) +
                  ",\"prestados\":false,\"estado\":" + Quote(failed ? "failed" : worker->state) +
                  ",\"age_s\":" + Number(now - worker->rented_at) + "}");
  }
  listings_.push_back(std::move(listing));
  while (listings_.size() > 1 && listings_[1].at <= now - options_.list_lag_s)
    listings_.pop_front();
}

HttpResponse Platform::ListMachines(const std::string& target) const {
  const std::string from = Parameter(target, "from");
  const size_t page = std::stoul(Parameter(target, "page"));
  std::string rows;
  size_t count = 0;
  bool truncated = false;
  if (!listings_.empty()) {
    for (const auto& [name, row] : listings_.front().rows) {
      if (name <= from) continue;
      truncated = count >= page;
      if (truncated) break;
      rows += (count++ > 0 ? "," : "") + row;
    }
  }
  return Response(
      200, "{\"cubiertas\":[" + rows + "],\"truncated\":" + (truncated ? "true" : "false") + "}");
}

void Platform::Boot(Worker* worker) {
  const double now = SteadySeconds();
  deckhall::Endpoint at;
  deckhall::ParseEndpoint(worker->endpoint, &at);
  worker->state = "running";
  worker->lease_since = worker->next_report_at = now;
  worker->controller = random_() % controllers_.size();
  worker->client = std::make_unique<deckhall::HttpClient>(loop_, 4, kMaxResponseBytes);
  deckhall::HttpServerLimits limits;
  limits.body_bytes = kMaxResponseBytes;  // HandleWorker refuses what PROTOCOL does not allow
  worker->server = std::make_unique<deckhall::HttpServer>(
      loop_, at, limits,
      [this, worker](const deckhall::HttpMessage& request,
                     const deckhall::HttpServer::Reply& reply) {
        HandleWorker(worker, request, reply);
      });
}

void Platform::MakeFaulty(const std::string& machine) {
  workers_.at(machine)->faulty = true;
  record_->Write("machine " + machine + " fails every task that it starts from now on");
}

void Platform::Stop(const std::string& machine) {
  Worker* worker = workers_.at(machine).get();
  worker->silent = true;
  worker->stopped_at = SteadySeconds();
  record_->Write("machine " + machine + " (" + worker->type + ", " + worker->zone +
                 ") stops with " + std::to_string(worker->tasks.size()) + " tasks");
  worker->tasks.clear();
}

// The workers.

void Platform::HandleWorker(Worker* worker, const deckhall::HttpMessage& request,
                            const deckhall::HttpServer::Reply& reply) {
  if (!worker->IsUp()) return;  // silent
  if (request.target == "/inspect") {
    reply(Response(200, ReportOf(worker)));
    return;
  }
  if (request.body.size() > kMaxBytes) {
    ++oversized_;
    record_->Write("request to " + worker->machine + " has a body of " +
                   std::to_string(request.body.size()) + " bytes: refused");
    reply(Response(413, "{}"));
    return;
  }
  uint64_t token = 0;
  uint64_t session = 0;
  std::vector<Command> commands;
  if (!ReadCommands(request.body, &token, &session, &commands) || token == 0 || session == 0) {
    reply(Response(400, "{}"));
    return;
  }
  const bool valid = token >= worker->token && session == worker->session;
  if (valid) {
    SeeToken(worker, token);
    Execute(worker, commands);
  }
  reply(Response(valid ? 200 : 409, ReportOf(worker)));
}

std::string Platform::ReportOf(Worker* worker) {
  std::string tasks;
  for (const Task& task : worker->tasks) {
    tasks += (tasks.empty() ? "" : ",") + ("{\"faena\":" + Quote(task.name)) +
             ",\"intento\":" + std::to_string(task.attempt) + ",\"estado\":" + Quote(task.state) +
             (task.IsActive() ? "" : ",\"motivo\":" + Quote(task.reason)) + "}";
  }
  return "{\"cubierta\":" + Quote(worker->machine) + ",\"endpoint\":" + Quote(worker->endpoint) +
         ",\"casco\":" + Quote(worker->type) + ",\"muelle\":" + Quote(worker->zone) +
         ",\"prestados\":false,\"guardia\":" + std::to_string(worker->session) +
         ",\"correlativo\":" + std::to_string(++worker->sequence) +
         ",\"mando\":" + std::to_string(worker->token) + ",\"aviso_s\":null,\"faenas\":[" + tasks +
         "]}";
}

bool Platform::ReadCommands(const std::string& body, uint64_t* token, uint64_t* session,
                            std::vector<Command>* commands) const {
  rapidjson::Document document;
  if (!deckhall::ParseJson(body, &document) || !document.IsObject()) return false;
  JsonU64(document, "mando", token);
  JsonU64(document, "guardia", session);
  const JsonValue* rows = JsonMember(document, "ordenes");
  if (rows == nullptr) return true;
  for (const auto& row : rows->GetArray()) {
    Command command;
    JsonString(row, "maniobra", &command.operation);
    JsonString(row, "faena", &command.task);
    JsonU64(row, "intento", &command.attempt);
    commands->push_back(std::move(command));
  }
  return true;
}

void Platform::SeeToken(Worker* worker, uint64_t token) {
  if (token <= worker->token) return;
  worker->token = token;
  const double now = SteadySeconds();
  if (now - worker->token_change_at < options_.lease_s / 2) return;
  worker->token_change_at = now;
  worker->changed = true;
}

void Platform::Execute(Worker* worker, const std::vector<Command>& commands) {
  for (const Command& command : commands) {
    const auto task =
        std::find_if(worker->tasks.begin(), worker->tasks.end(), [&command](const Task& known) {
          return known.name == command.task && known.attempt == command.attempt;
        });
    const bool known = task != worker->tasks.end();
    if (command.operation == "launch" && !known) {
      Launch(worker, command);
    } else if (command.operation == "stop" && known && task->IsActive()) {
      record_->Write("stop " + command.task + " on " + worker->machine);
      EndTask(worker, &*task, "stopped");
    } else if (command.operation == "clear" && known && !task->IsActive()) {
      worker->tasks.erase(task);
      worker->changed = true;
    }
  }
}

std::string Platform::RefusalOf(const Worker& worker, const Command& command) const {
  const auto job = jobs_.find(JobOf(command.task));
  if (job == jobs_.end()) return "unknown";
  double cores = job->second.cores;
  double memory_gb = job->second.memory_gb;
  for (const Task& task : worker.tasks) {
    if (!task.IsActive()) continue;
    if (task.name == command.task) return "in_use";
    cores += jobs_.at(JobOf(task.name)).cores;
    memory_gb += jobs_.at(JobOf(task.name)).memory_gb;
  }
  const MachineType& type = TypeOf(worker);
  const bool fits = cores <= type.cores + kTolerance && memory_gb <= type.memory_gb + kTolerance;
  return fits ? "" : "no_room";
}

void Platform::Launch(Worker* worker, const Command& command) {
  ++launches_;
  Task task;
  task.name = command.task;
  task.attempt = command.attempt;
  const std::string refusal = RefusalOf(*worker, command);
  worker->changed = true;
  if (!refusal.empty()) {
    record_->Write("launch " + task.name + " on " + worker->machine + " refused: " + refusal);
    EndTask(worker, &task, refusal);
    worker->tasks.push_back(task);
    return;
  }
  const JobDescription& job = jobs_.at(JobOf(task.name));
  const double now = SteadySeconds();
  const auto image =
      worker->images.try_emplace(job.image, now + job.image_gb / TypeOf(*worker).pull_gb_per_s);
  task.image_at = std::max(now, image.first->second);
  record_->Write("launch " + task.name + " on " + worker->machine + " (" + worker->zone + ")");
  worker->tasks.push_back(task);
}

void Platform::EndTask(Worker* worker, Task* task, const std::string& reason) {
  task->state = "ended";
  task->reason = reason;
  worker->changed = true;
}

void Platform::BeginTask(Worker* worker, Task* task) {
  const JobDescription& job = jobs_.at(JobOf(task->name));
  ForEachOnMachine([this, task](const Worker& other, const Task& running) {
    if (running.name == task->name) ran_twice_ = task->name + " also on " + other.machine;
  });
  task->state = "running";
  task->ends_at = task->image_at + job.run_s;
  // The result of a completed task is kept.
  if (done_tasks_.contains(task->name)) task->ends_at = 0;
  worker->changed = true;
}

void Platform::AdvanceTasks(Worker* worker, double now) {
  for (Task& task : worker->tasks) {
    if (task.state == "pulling" && now >= task.image_at) BeginTask(worker, &task);
    if (task.state == "running" && worker->faulty && now >= task.image_at + kFailureSeconds) {
      record_->Write("error of " + task.name + " on " + worker->machine);
      EndTask(worker, &task, "error");
      continue;
    }
    const bool completes =
        task.state == "running" && !jobs_.at(JobOf(task.name)).IsService() && now >= task.ends_at;
    if (!completes) continue;
    done_tasks_[task.name] = true;
    record_->Write("done " + task.name + " on " + worker->machine);
    EndTask(worker, &task, "done");
  }
}

void Platform::SendReport(Worker* worker) {
  worker->awaiting_response = true;
  worker->changed = false;
  worker->last_report_at = SteadySeconds();
  const std::string report = ReportOf(worker);
  if (report.size() > kMaxBytes) {
    record_->Write("report of " + worker->machine + " has " + std::to_string(report.size()) +
                   " bytes");
  }
  worker->client->Call(controllers_[worker->controller],
                       {"POST", "/checkin", report, kReportTimeoutSeconds},
                       [this, worker, sent = worker->last_report_at,
                        session = worker->session](const deckhall::HttpResult& result) {
                         worker->awaiting_response = false;
                         if (!worker->IsUp()) return;
                         if (session == worker->session) {
                           HandleResponse(worker, sent, result);
                         } else {
                           worker->next_report_at = SteadySeconds();
                         }
                       });
}

void Platform::TryNextController(Worker* worker, double delay_s) {
  worker->controller = (worker->controller + 1) % controllers_.size();
  worker->next_report_at = SteadySeconds() + delay_s;
}

void Platform::HandleResponse(Worker* worker, double sent, const deckhall::HttpResult& result) {
  const double now = SteadySeconds();
  if (result.status == 421) {
    rapidjson::Document document;
    std::string leader;
    if (deckhall::ParseJson(result.body, &document)) JsonString(document, "capitan", &leader);
    const auto label = std::find(labels_.begin(), labels_.end(), leader);
    const auto index = static_cast<size_t>(label - labels_.begin());
    if (label == labels_.end() || index == worker->controller) {
      TryNextController(worker, kNextControllerSeconds);
    } else {
      worker->controller = index;
      worker->next_report_at = now + kRedirectSeconds;
    }
    return;
  }
  uint64_t token = 0;
  uint64_t session = 0;
  std::vector<Command> commands;
  const size_t longest = LongestLine(result.body);
  if (result.status == 200 && longest > kMaxBytes) {
    ++oversized_;
    record_->Write("response to " + worker->machine + " has a line of " + std::to_string(longest) +
                   " bytes: not read");
  }
  if (result.status != 200 || longest > kMaxBytes ||
      !ReadCommands(result.body, &token, &session, &commands)) {
    TryNextController(worker, kNextControllerSeconds);
    return;
  }
  std::uniform_real_distribution<double> jitter(0.75, 1.25);
  worker->next_report_at = sent + options_.report_s * jitter(random_);
  if (token < worker->token) return;
  worker->lease_since = sent;
  SeeToken(worker, token);
  Execute(worker, commands);
}

void Platform::BeginSession(Worker* worker) {
  record_->Write("lease of " + worker->machine + " expired with " +
                 std::to_string(worker->tasks.size()) + " tasks");
  worker->tasks.clear();
  ++worker->session;
  worker->lease_since = SteadySeconds();
  worker->changed = true;
}

void Platform::AdvanceWorker(Worker* worker, double now) {
  if (worker->state == "starting" && now >= worker->up_at) Boot(worker);
  if (!worker->IsUp()) return;
  if (now - worker->lease_since > options_.lease_s) BeginSession(worker);
  AdvanceTasks(worker, now);
  const bool change_due = worker->changed && now - worker->last_report_at >= kMinReportPauseSeconds;
  // After a failure the worker waits before it tries the next controller.
  const bool waits = worker->next_report_at - worker->last_report_at > options_.report_s * 2;
  if (!worker->awaiting_response && (now >= worker->next_report_at || (change_due && !waits)))
    SendReport(worker);
}

void Platform::Tick() {
  const double now = SteadySeconds();
  for (auto& [name, worker] : workers_) AdvanceWorker(worker.get(), now);
  SaveListing(now);
}

// What the observer sees.

void Platform::ForEachOnMachine(
    const std::function<void(const Worker&, const Task&)>& visit) const {
  for (const auto& [name, worker] : workers_) {
    for (const Task& task : worker->tasks) {
      if (task.IsOnMachine()) visit(*worker, task);
    }
  }
}

size_t Platform::CountRunning(const std::string& job) const {
  size_t count = 0;
  ForEachOnMachine([&](const Worker&, const Task& task) { count += JobOf(task.name) == job; });
  return count;
}

size_t Platform::CountDone(const std::string& job) const {
  return static_cast<size_t>(
      std::count_if(done_tasks_.begin(), done_tasks_.end(),
                    [&job](const auto& task) { return JobOf(task.first) == job; }));
}

double Platform::CoresInUse(const std::string& team) const {
  double cores = 0;
  ForEachOnMachine([&](const Worker&, const Task& task) {
    const JobDescription& job = jobs_.at(JobOf(task.name));
    if (job.team == team) cores += job.cores;
  });
  return cores;
}

std::vector<std::string> Platform::MachinesOf(const std::string& job) const {
  std::vector<std::string> machines;
  ForEachOnMachine([&](const Worker& worker, const Task& task) {
    if (JobOf(task.name) == job) machines.push_back(worker.machine);
  });
  return machines;
}

std::string Platform::ZoneOf(const std::string& machine) const {
  return workers_.at(machine)->zone;
}

size_t Platform::CountMachines() const {
  return static_cast<size_t>(std::count_if(workers_.begin(), workers_.end(), [](const auto& entry) {
    return entry.second->state != "returned" && !entry.second->silent;
  }));
}

size_t Platform::CountRented(const std::string& type, const std::string& zone) const {
  return static_cast<size_t>(
      std::count_if(workers_.begin(), workers_.end(), [&type, &zone](const auto& entry) {
        return (type.empty() || entry.second->type == type) &&
               (zone.empty() || entry.second->zone == zone);
      }));
}

}  // namespace stage
