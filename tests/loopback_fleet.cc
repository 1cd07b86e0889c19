#include "loopback_fleet.h"

#include <algorithm>

#include "loopback_state.h"
#include "wire/json.h"

namespace deckhall {
namespace {

constexpr double kTick = 0.05;
constexpr double kLeastBetweenReports = 0.5;
constexpr double kReportTimeout = 4;

HttpAnswer Answer(int status, std::string body) {
  HttpAnswer answer;
  answer.status = status;
  answer.body = std::move(body);
  return answer;
}

std::string JobOf(const std::string& task) { return task.substr(0, task.rfind('/')); }

const char* WordOf(TaskState state) {
  switch (state) {
    case TaskState::kFetching:
      return "pulling";
    case TaskState::kRunning:
      return "running";
    default:
      return "ended";
  }
}

}  // namespace

struct LoopbackFleet::Worker {
  std::string name;
  std::string type;
  std::string zone;
  Endpoint at;
  std::string state = "starting";
  double rented_at = 0;
  double boots_at = 0;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpClient> client;
  uint64_t session = 1;
  uint64_t seq = 0;
  uint64_t token = 0;
  double lease_from = 0;
  double next_report = 0;
  double reported_at = -1;
  bool waiting = false;
  bool changed = false;
  size_t controller = 0;
  std::vector<Task> tasks;
  std::map<std::string, std::string> why;  // by task and attempt

  double Used(const std::map<std::string, JobSpec>& jobs) const {
    double cores = 0;
    for (const Task& t : tasks) {
      if (t.report.state != TaskState::kExited) cores += jobs.at(JobOf(t.report.task)).cores;
    }
    return cores;
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
  ticker_.Start(kTick, kTick);
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

HttpAnswer LoopbackFleet::Flavors() const {
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

HttpAnswer LoopbackFleet::Rent(const std::string& body) {
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
    worker->name = name;
    worker->type = type;
    worker->zone = zone;
    worker->rented_at = SteadySeconds();
    worker->boots_at = worker->rented_at + options_.boot_s;
    names += (names.empty() ? "\"" : ",\"") + worker->name + "\"";
    workers_[worker->name] = std::move(worker);
  }
  if (names.empty()) return Answer(503, "{\"error\":\"no capacity\"}");
  rented_[request] = "{\"cubiertas\":[" + names + "]}";
  return Answer(200, rented_[request]);
}

HttpAnswer LoopbackFleet::Return(const std::string& body) {
  rapidjson::Document doc;
  if (!ParseJson(body, &doc)) return Answer(400, "{}");
  for (const auto& name : doc["cubiertas"].GetArray()) Remove(name.GetString(), "returned");
  return Answer(200, "{}");
}

HttpAnswer LoopbackFleet::List() const {
  std::string rows;
  for (const auto& [name, w] : workers_) {
    if (w->state == "returned") continue;
    if (!rows.empty()) rows += ',';
    rows += "{\"name_id\":\"" + name + "\",\"endpoint\":\"" + w->at.host + ":" +
            std::to_string(w->at.port) + "\",\"casco\":\"" + w->type + "\",\"muelle\":\"" +
            w->zone + "\",\"prestados\":false,\"estado\":\"" + w->state +
            "\",\"age_s\":" + std::to_string(SteadySeconds() - w->rented_at) + "}";
  }
  return Answer(200, "{\"cubiertas\":[" + rows + "],\"truncated\":false}");
}

void LoopbackFleet::Boot(Worker* worker) {
  const auto zone =
      std::find_if(options_.zones.begin(), options_.zones.end(),
                   [worker](const LoopbackZone& z) { return z.name == worker->zone; });
  worker->state = "running";
  worker->at = FreeEndpoint(zone->network + "." + std::to_string(++hosts_[zone->network]));
  worker->server = std::make_unique<HttpServer>(
      loop_, worker->at, HttpServerLimits(),
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
  w->tasks.clear();
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
    reply(Answer(200, ReportOf(worker)));
    return;
  }
  rapidjson::Document doc;
  uint64_t token = 0;
  uint64_t session = 0;
  if (!ParseJson(request.body, &doc) || !JsonU64(doc, "mando", &token) ||
      !JsonU64(doc, "guardia", &session)) {
    reply(Answer(400, "{}"));
    return;
  }
  const bool entitled = token >= worker->token && session == worker->session;
  if (entitled) Execute(worker, doc);
  reply(Answer(entitled ? 200 : 409, ReportOf(worker)));
}

void LoopbackFleet::Execute(Worker* worker, const JsonValue& body) {
  uint64_t token = 0;
  JsonU64(body, "mando", &token);
  if (token > worker->token) worker->changed = true;
  worker->token = std::max(worker->token, token);
  const JsonValue* commands = JsonMember(body, "ordenes");
  if (commands == nullptr) return;
  for (const auto& c : commands->GetArray()) {
    std::string word;
    std::string task;
    uint64_t attempt = 0;
    JsonString(c, "maniobra", &word);
    JsonString(c, "faena", &task);
    JsonU64(c, "intento", &attempt);
    auto it = std::find_if(worker->tasks.begin(), worker->tasks.end(), [&](const Task& t) {
      return t.report.task == task && t.report.attempt == attempt;
    });
    if (word == "launch" && it == worker->tasks.end()) {
      Launch(worker, task, attempt);
    } else if (word == "stop" && it != worker->tasks.end() &&
               it->report.state != TaskState::kExited) {
      oracle_->Stopped(SteadySeconds(), SteadySeconds(), task);
      End(worker, &*it, "stopped");
    } else if (word == "clear" && it != worker->tasks.end() &&
               it->report.state == TaskState::kExited) {
      worker->tasks.erase(it);
    }
  }
}

void LoopbackFleet::Launch(Worker* worker, const std::string& task, uint64_t attempt) {
  Task t;
  t.report.task = task;
  t.report.attempt = attempt;
  t.report.state = TaskState::kFetching;
  t.runs_at = SteadySeconds() + options_.start_s;
  const auto job = jobs_.find(JobOf(task));
  const bool here = std::any_of(worker->tasks.begin(), worker->tasks.end(), [&task](const Task& o) {
    return o.report.task == task && o.report.state != TaskState::kExited;
  });
  const char* refused = job == jobs_.end() ? "unknown"
                        : here             ? "in_use"
                        : worker->Used(jobs_) + job->second.cores > options_.cores + 1e-6
                            ? "no_room"
                            : nullptr;
  worker->tasks.push_back(t);
  worker->changed = true;
  if (refused != nullptr) End(worker, &worker->tasks.back(), refused);
}

void LoopbackFleet::End(Worker* worker, Task* task, const char* why) {
  if (task->report.state == TaskState::kRunning) {
    oracle_->Ended(SteadySeconds(), task->report.task, worker->name);
  }
  task->report.state = TaskState::kExited;
  worker->why[task->report.task + " " + std::to_string(task->report.attempt)] = why;
  worker->changed = true;
}

std::string LoopbackFleet::ReportOf(Worker* w) {
  rapidjson::StringBuffer buffer;
  JsonWriter out(buffer);
  out.StartObject();
  PutString(out, "cubierta", w->name);
  PutString(out, "endpoint", w->at.host + ":" + std::to_string(w->at.port));
  PutString(out, "casco", w->type);
  PutString(out, "muelle", w->zone);
  out.Key("prestados");
  out.Bool(false);
  out.Key("guardia");
  out.Uint64(w->session);
  out.Key("correlativo");
  out.Uint64(++w->seq);
  out.Key("mando");
  out.Uint64(w->token);
  out.Key("faenas");
  out.StartArray();
  for (const Task& t : w->tasks) {
    out.StartObject();
    PutString(out, "faena", t.report.task);
    out.Key("intento");
    out.Uint64(t.report.attempt);
    PutString(out, "estado", WordOf(t.report.state));
    if (t.report.state == TaskState::kExited) {
      PutString(out, "motivo", w->why[t.report.task + " " + std::to_string(t.report.attempt)]);
    }
    out.EndObject();
  }
  out.EndArray();
  out.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

void LoopbackFleet::Report(Worker* worker) {
  worker->waiting = true;
  worker->changed = false;
  worker->reported_at = SteadySeconds();
  worker->client->Call(
      controllers_[worker->controller], {"POST", "/checkin", ReportOf(worker), kReportTimeout},
      [this, worker, sent = SteadySeconds(), session = worker->session](const HttpResult& r) {
        worker->waiting = false;
        if (worker->state == "running" && session == worker->session) Reported(worker, sent, r);
      });
}

void LoopbackFleet::Reported(Worker* worker, double sent, const HttpResult& result) {
  rapidjson::Document doc;
  uint64_t token = 0;
  if (result.status != 200 || !ParseJson(result.body, &doc) || !JsonU64(doc, "mando", &token)) {
    worker->controller = (worker->controller + 1) % controllers_.size();
    worker->next_report = SteadySeconds() + 1;
    return;
  }
  worker->next_report = SteadySeconds() + options_.report_s;
  if (token < worker->token) return;
  worker->lease_from = sent;
  Execute(worker, doc);
}

void LoopbackFleet::Tick() {
  const double now = SteadySeconds();
  for (auto& [name, owned] : workers_) {
    Worker* w = owned.get();
    if (w->state == "starting" && now >= w->boots_at) Boot(w);
    if (w->state != "running") continue;
    if (now - w->lease_from > options_.lease_s) {
      for (Task& t : w->tasks) {
        if (t.report.state != TaskState::kExited) End(w, &t, "stopped");
      }
      w->tasks.clear();
      ++w->session;
      w->lease_from = now;
    }
    for (Task& t : w->tasks) {
      if (t.report.state != TaskState::kFetching || now < t.runs_at) continue;
      t.report.state = TaskState::kRunning;
      w->changed = true;
      oracle_->Started(now, t.report.task, jobs_.at(JobOf(t.report.task)), name);
    }
    const bool due =
        now >= w->next_report || (w->changed && now - w->reported_at >= kLeastBetweenReports);
    if (!w->waiting && due) Report(w);
  }
}

std::string LoopbackFleet::AnyBusy(uint64_t draw) const {
  std::vector<std::string> busy;
  for (const auto& [name, w] : workers_) {
    if (w->state == "running" && !w->tasks.empty()) busy.push_back(name);
  }
  return busy.empty() ? "" : busy[draw % busy.size()];
}

size_t LoopbackFleet::Machines(const std::string& zone, const std::string& type) const {
  return static_cast<size_t>(
      std::count_if(workers_.begin(), workers_.end(), [&zone, &type](const auto& entry) {
        const Worker& w = *entry.second;
        return w.state == "running" && (zone.empty() || w.zone == zone) &&
               (type.empty() || w.type == type);
      }));
}

bool LoopbackFleet::Runs(const std::string& task) const {
  return std::any_of(workers_.begin(), workers_.end(), [&task](const auto& entry) {
    const std::vector<Task>& tasks = entry.second->tasks;
    return std::any_of(tasks.begin(), tasks.end(), [&task](const Task& t) {
      return t.report.task == task && t.report.state == TaskState::kRunning;
    });
  });
}

}  // namespace deckhall
