#include "fleet.h"

#include <algorithm>
#include <cstdio>

namespace review {
namespace {

using deckhall::HttpMessage;
using deckhall::HttpResponse;
using deckhall::HttpResult;
using deckhall::HttpServer;
using deckhall::HttpServerLimits;
using deckhall::JobSpec;
using deckhall::JsonMember;
using deckhall::JsonNumber;
using deckhall::JsonString;
using deckhall::JsonU64;
using deckhall::JsonValue;
using deckhall::ParseJson;

constexpr double kTickSeconds = 0.02;
constexpr double kReportTimeoutSeconds = 4;
constexpr double kMinReportGapSeconds = 0.5;
constexpr double kRetrySeconds = 1;
constexpr double kFaultyTaskSeconds = 0.2;
constexpr double kMachineUpAge = 1000;

HttpResponse Make(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

std::string Quote(const std::string& text) { return "\"" + text + "\""; }

std::string JobOf(const std::string& task) { return task.substr(0, task.rfind('/')); }

}  // namespace

Worker::Worker(Fleet* fleet, std::string name, MachineType type, std::string zone)
    : fleet_(fleet),
      name_(std::move(name)),
      type_(std::move(type)),
      zone_(std::move(zone)),
      random_(std::hash<std::string>()(name_) ^ fleet->options_.seed) {
  const Endpoint own = FreeEndpoint();
  server_ = std::make_unique<HttpServer>(
      fleet_->loop_, own, HttpServerLimits(),
      [this](const HttpMessage& request, const Reply& reply) { Handle(request, reply); });
  client_ = std::make_unique<deckhall::HttpClient>(fleet_->loop_, 8, 1 << 20);
  inbound_ = std::make_unique<Proxy>(fleet_->loop_, own);
  for (const Controller& controller : fleet_->controllers_) {
    outbound_.push_back(std::make_unique<Proxy>(fleet_->loop_, controller.endpoint));
  }
  controller_ = random_() % outbound_.size();
  lease_start_ = next_report_at_ = SteadySeconds();
}

const Worker::Task* Worker::Find(const std::string& task) const {
  for (const Task& other : tasks_) {
    if (other.name == task) return &other;
  }
  return nullptr;
}

void Worker::Die() {
  if (!alive_) return;
  alive_ = false;
  for (Task& task : tasks_) fleet_->rules_->Ended(task.name, name_, false);
  tasks_.clear();
  queued_.clear();
  fleet_->rules_->Record("machine " + name_ + " is gone");
}

void Worker::Handle(const HttpMessage& request, const Reply& reply) {
  if (!alive_) return;  // silent
  if (hangs()) {
    queued_.push_back({request, reply});
    return;
  }
  if (request.target == "/inspect" && request.method == "GET") {
    reply(Make(200, NextReport()));
    return;
  }
  if (request.target == "/do" && Draw(0, 1) < late_commands_) {
    late_command_bodies_.emplace_back(SteadySeconds() + Draw(2, 16), request.body);
    return;
  }
  rapidjson::Document document;
  uint64_t token = 0;
  uint64_t session = 0;
  if (request.target != "/do" || !ParseJson(request.body, &document) ||
      !JsonU64(document, "mando", &token) || !JsonU64(document, "guardia", &session)) {
    reply(Make(400, "{}"));
    return;
  }
  if (token < token_ || session != session_) {
    fleet_->rules_->Record("409 from " + name_ + " to " + request.body);
    reply(Make(409, NextReport()));
    return;
  }
  fleet_->rules_->Record("do at " + name_ + " " + request.body);
  SetToken(token);
  Execute(document);
  reply(Make(200, NextReport()));
}

double Worker::Draw(double from, double to) {
  return std::uniform_real_distribution<double>(from, to)(random_);
}

void Worker::HandleLate() {
  const double now = SteadySeconds();
  for (size_t i = 0; i < late_command_bodies_.size(); ++i) {
    if (now < late_command_bodies_[i].first) continue;
    rapidjson::Document document;
    uint64_t token = 0;
    uint64_t session = 0;
    ParseJson(late_command_bodies_[i].second, &document);
    JsonU64(document, "mando", &token);
    JsonU64(document, "guardia", &session);
    fleet_->rules_->Record((token < token_ || session != session_ ? "late 409 " : "late do at ") +
                           name_ + " " + late_command_bodies_[i].second);
    if (token >= token_ && session == session_) {
      SetToken(token);
      Execute(document);
    }
    late_command_bodies_.erase(late_command_bodies_.begin() + static_cast<ptrdiff_t>(i--));
  }
  for (size_t i = 0; i < late_report_bodies_.size(); ++i) {
    if (now < late_report_bodies_[i].first) continue;
    const size_t to = random_() % outbound_.size();
    client_->Call(outbound_[to]->endpoint(),
                  {"POST", "/checkin", late_report_bodies_[i].second, kReportTimeoutSeconds},
                  [](const HttpResult&) {});
    fleet_->rules_->Record("late copy of a report of " + name_ + " " +
                           late_report_bodies_[i].second);
    late_report_bodies_.erase(late_report_bodies_.begin() + static_cast<ptrdiff_t>(i--));
  }
}

std::string Worker::NextReport() {
  ++sequence_;
  std::string rows;
  for (const Task& task : tasks_) {
    rows += rows.empty() ? "{" : ",{";
    rows += "\"faena\":" + Quote(task.name) + ",\"intento\":" + std::to_string(task.attempt) +
            ",\"estado\":" + Quote(task.state);
    if (task.state == "ended") rows += ",\"motivo\":" + Quote(task.reason);
    if (task.saved) rows += ",\"saved\":true";
    rows += "}";
  }
  return "{\"cubierta\":" + Quote(name_) + ",\"endpoint\":" + Quote(inbound_->endpoint().Text()) +
         ",\"casco\":" + Quote(type_.name) + ",\"muelle\":" + Quote(zone_) +
         ",\"prestados\":false,\"guardia\":" + std::to_string(session_) +
         ",\"correlativo\":" + std::to_string(sequence_) + ",\"mando\":" + std::to_string(token_) +
         ",\"aviso_s\":null,\"faenas\":[" + rows + "]}";
}

void Worker::SendReport() {
  awaiting_ = true;
  changed_ = false;
  last_report_at_ = SteadySeconds();
  const std::string body = NextReport();
  fleet_->rules_->Record("report " + name_ + " to " + fleet_->controllers_[controller_].label +
                         " " + body);
  if (Draw(0, 1) < late_reports_) {
    late_report_bodies_.emplace_back(SteadySeconds() + Draw(2, 3 * fleet_->options_.lease_s), body);
  }
  client_->Call(outbound_[controller_]->endpoint(),
                {"POST", "/checkin", body, kReportTimeoutSeconds},
                [this, session = session_, sent_at = last_report_at_](const HttpResult& result) {
                  if (alive_) HandleResponse(session, sent_at, result);
                });
}

void Worker::TryNext() {
  controller_ = (controller_ + 1) % outbound_.size();
  next_report_at_ = SteadySeconds() + kRetrySeconds;
}

void Worker::HandleResponse(uint64_t session, double sent_at, const HttpResult& result) {
  awaiting_ = false;
  fleet_->rules_->Record("response to " + name_ + " " + std::to_string(result.status) + " " +
                         result.body);
  const double now = SteadySeconds();
  // A hanging machine reads its responses when it goes on: the time for this one is over then.
  if (hangs() || now - sent_at > kReportTimeoutSeconds) return TryNext();
  rapidjson::Document document;
  const bool parsed = ParseJson(result.body, &document) && document.IsObject();
  if (result.status == 421 && parsed) {
    std::string label;
    JsonString(document, "capitan", &label);
    for (size_t i = 0; i < outbound_.size(); ++i) {
      if (fleet_->controllers_[i].label != label || i == controller_) continue;
      controller_ = i;
      next_report_at_ = now + 0.1;
      return;
    }
    return TryNext();
  }
  if (result.status != 200 || !parsed) return TryNext();
  next_report_at_ = now + fleet_->options_.report_s * Draw(0.75, 1.25);
  uint64_t token = 0;
  if (session != session_ || !JsonU64(document, "mando", &token) || token < token_) return;
  lease_start_ = std::max(lease_start_, sent_at);
  SetToken(token);
  Execute(document);
}

void Worker::SetToken(uint64_t token) {
  if (token <= token_) return;
  token_ = token;
  const double now = SteadySeconds();
  if (now - token_change_at_ < fleet_->options_.lease_s / 2) return;
  token_change_at_ = now;
  changed_ = true;
}

void Worker::Execute(const JsonValue& body) {
  const JsonValue* commands = JsonMember(body, "ordenes");
  if (commands == nullptr) return;
  for (const auto& command : commands->GetArray()) {
    std::string operation;
    std::string name;
    uint64_t attempt = 0;
    JsonString(command, "maniobra", &operation);
    JsonString(command, "faena", &name);
    JsonU64(command, "intento", &attempt);
    const auto it = std::find_if(tasks_.begin(), tasks_.end(), [&](const Task& task) {
      return task.name == name && task.attempt == attempt;
    });
    if (operation == "launch") {
      if (it == tasks_.end()) Launch(name, attempt);
    } else if (it == tasks_.end()) {
      continue;
    } else if (operation == "stop") {
      double grace_s = 0;
      JsonNumber(command, "tregua_s", &grace_s);
      Stop(&*it, grace_s);
    } else if (operation == "clear" && it->state == "ended") {
      fleet_->rules_->Record("cleared " + name + " on " + name_);
      tasks_.erase(it);
      changed_ = true;
    }
  }
}

void Worker::Launch(const std::string& name, uint64_t attempt) {
  const JobSpec* spec = fleet_->rules_->Find(JobOf(name));
  bool in_use = false;
  double cores = 0;
  double memory_gb = 0;
  for (const Task& task : tasks_) {
    if (task.state == "ended") continue;
    in_use = in_use || task.name == name;
    const JobSpec* other = fleet_->rules_->Find(JobOf(task.name));
    cores += other->cores;
    memory_gb += other->memory_gb;
  }
  Task& task = tasks_.emplace_back();
  task.name = name;
  task.attempt = attempt;
  changed_ = true;
  if (spec == nullptr) return End(&task, "unknown");
  if (in_use) return End(&task, "in_use");
  if (cores + spec->cores > type_.cores + 1e-6 ||
      memory_gb + spec->memory_gb > type_.memory_gb + 1e-6) {
    return End(&task, "no_room");
  }
  task.state = "pulling";
  task.next_at =
      SteadySeconds() +
      (images_.contains(spec->image) ? 0 : spec->image_gb / fleet_->options_.fetch_gb_per_s);
}

void Worker::End(Task* task, const char* reason, bool saved) {
  task->state = "ended";
  task->reason = reason;
  task->saved = saved;
  changed_ = true;
  fleet_->rules_->Ended(task->name, name_, std::string(reason) == "done");
}

void Worker::Stop(Task* task, double grace_s) {
  if (task->state == "ended") return;
  const JobSpec* spec = fleet_->rules_->Find(JobOf(task->name));
  if (task->state == "running" && spec->checkpoint_interval_s > 0 &&
      grace_s >= spec->checkpoint_grace_s) {
    task->state = "flushing";
    task->next_at = SteadySeconds() + spec->checkpoint_grace_s;
    changed_ = true;
  } else if (task->state != "flushing" || grace_s <= 0) {
    End(task, "stopped");
  }
}

void Worker::Step(Task* task, double now) {
  if (task->state == "ended" || now < task->next_at) return;
  const JobSpec* spec = fleet_->rules_->Find(JobOf(task->name));
  if (task->state == "flushing") {
    End(task, "stopped", true);
  } else if (task->state == "gathering") {
    End(task, "incomplete");
  } else if (task->state == "running") {
    if (spec->gang) return;
    if (faulty_) return End(task, "error");
    if (!spec->service) End(task, "done");
  } else if (task->state == "pulling") {
    images_.insert(spec->image);
    fleet_->rules_->Started(task->name, {name_, zone_, type_.name, false});
    task->state = "running";
    task->started_at = now;
    changed_ = true;
    if (spec->gang) {
      task->state = "gathering";
      task->next_at = now + fleet_->options_.gang_wait_s;
      return;
    }
    double run_s = fleet_->RunSeconds(spec->id);
    if (fleet_->rules_->IsDone(task->name)) run_s = 0;
    task->next_at = now + (faulty_ ? std::min(run_s, kFaultyTaskSeconds) : run_s);
  }
}

void Worker::ExpireLease() {
  fleet_->rules_->Record("lease of " + name_ + " expired in session " + std::to_string(session_));
  for (Task& task : tasks_) {
    if (task.state != "ended") fleet_->rules_->Ended(task.name, name_, false);
  }
  tasks_.clear();
  ++session_;
  lease_start_ = SteadySeconds();
  changed_ = true;
}

void Worker::Tick() {
  if (!alive_) return;
  const double now = SteadySeconds();
  if (hangs()) {
    if (hung_since_ < 0) hung_since_ = now;
    return;
  }
  if (hung_since_ >= 0) {
    // Nothing was executed meanwhile.
    for (Task& task : tasks_) task.next_at += now - hung_since_;
    hung_since_ = -1;
  }
  if (now - lease_start_ > fleet_->options_.lease_s) ExpireLease();
  for (Queued& queued : std::exchange(queued_, {})) Handle(queued.request, queued.reply);
  HandleLate();
  for (size_t i = 0; i < tasks_.size(); ++i) Step(&tasks_[i], now);
  const bool due =
      now >= next_report_at_ || (changed_ && now - last_report_at_ >= kMinReportGapSeconds);
  if (!awaiting_ && due && now - last_report_at_ >= kMinReportGapSeconds) SendReport();
}

Fleet::Fleet(Loop* loop, FleetOptions options, std::vector<Controller> controllers, Rules* rules)
    : loop_(loop),
      options_(std::move(options)),
      controllers_(std::move(controllers)),
      rules_(rules),
      cloud_endpoint_(FreeEndpoint()),
      cloud_(loop, cloud_endpoint_, HttpServerLimits(),
             [this](const HttpMessage& request, const HttpServer::Reply& reply) {
               HandleCloud(request, reply);
             }),
      ticker_(loop, [this] { Tick(); }) {
  ticker_.Start(kTickSeconds, kTickSeconds);
}

const MachineType* Fleet::TypeOf(const std::string& name) const {
  for (const MachineType& type : options_.types) {
    if (type.name == name) return &type;
  }
  return nullptr;
}

double Fleet::RunSeconds(const std::string& job) const {
  const auto it = run_s_.find(job);
  return it == run_s_.end() ? 10 : it->second;
}

std::string Fleet::NewName() {
  char name[16];
  std::snprintf(name, sizeof name, "m-%06d", next_machine_++);
  return name;
}

Worker* Fleet::AddMachine(const std::string& type, const std::string& zone) {
  const std::string name = NewName();
  Machine& machine = machines_[name];
  machine.type = type;
  machine.zone = zone;
  machine.rented_at = SteadySeconds() - kMachineUpAge;
  machine.up_at = machine.rented_at;
  machine.worker = std::make_unique<Worker>(this, name, *TypeOf(type), zone);
  return machine.worker.get();
}

std::vector<Worker*> Fleet::workers() {
  std::vector<Worker*> list;
  for (auto& [name, machine] : machines_) {
    if (machine.worker && machine.worker->alive()) list.push_back(machine.worker.get());
  }
  return list;
}

Worker* Fleet::Find(const std::string& name) {
  const auto it = machines_.find(name);
  return it == machines_.end() ? nullptr : it->second.worker.get();
}

void Fleet::TickGangs(double now) {
  struct Member {
    Worker* worker;
    size_t position;
  };
  std::map<std::pair<std::string, uint64_t>, std::vector<Member>> gangs;
  for (Worker* worker : workers()) {
    if (worker->hangs()) continue;
    for (size_t i = 0; i < worker->tasks_.size(); ++i) {
      const Worker::Task& task = worker->tasks_[i];
      const JobSpec* spec = rules_->Find(JobOf(task.name));
      if (spec == nullptr || !spec->gang) continue;
      if (task.state == "gathering" || task.state == "running") {
        gangs[{spec->id, task.attempt}].push_back({worker, i});
      }
    }
  }
  for (auto& [key, members] : gangs) {
    const JobSpec* spec = rules_->Find(key.first);
    const bool complete = members.size() == spec->task_count;
    bool ran = false;
    for (const Member& member : members) {
      ran = ran || member.worker->tasks_[member.position].state == "running";
    }
    for (const Member& member : members) {
      Worker::Task& task = member.worker->tasks_[member.position];
      if (complete && task.state == "gathering" && !ran) {
        task.state = "running";
        task.started_at = now;
        task.next_at = now + RunSeconds(spec->id);
        member.worker->changed_ = true;
      } else if (task.state == "running" && complete && now >= task.next_at) {
        member.worker->End(&task, "done");
      } else if (task.state == "running" && !complete) {
        // Its members did not complete: one is gone or hangs.
        bool completed = false;
        for (uint32_t i = 0; i < spec->task_count; ++i) {
          completed = completed || rules_->IsDone(spec->id + "/" + std::to_string(i));
        }
        member.worker->End(&task, completed ? "done" : "peers");
      }
    }
  }
}

void Fleet::Tick() {
  const double now = SteadySeconds();
  for (auto& [name, machine] : machines_) {
    if (machine.gone_at < 0 && !machine.worker && now >= machine.up_at) {
      machine.worker = std::make_unique<Worker>(this, name, *TypeOf(machine.type), machine.zone);
      rules_->Record("machine " + name + " is up");
    }
    if (machine.worker) machine.worker->Tick();
  }
  TickGangs(now);
  rules_->Check();
}

void Fleet::HandleCloud(const HttpMessage& request, const HttpServer::Reply& reply) {
  if (SteadySeconds() < cloud_outage_until_) {
    reply(Make(503, "{\"error\":\"trouble\"}"));
  } else if (request.target == "/flavors") {
    reply(ListTypes());
  } else if (request.target == "/machines/return") {
    reply(Return(request.body));
  } else if (request.target == "/machines" && request.method == "POST") {
    reply(Rent(request.body));
  } else {
    reply(List());
  }
}

HttpResponse Fleet::ListTypes() const {
  std::string zones;
  for (const std::string& zone : options_.zones) zones += (zones.empty() ? "" : ",") + Quote(zone);
  std::string rows;
  for (const MachineType& type : options_.types) {
    rows += (rows.empty() ? "" : ",") + std::string("{\"name\":") + Quote(type.name) +
            ",\"cores\":" + std::to_string(type.cores) +
            ",\"gpus\":0,\"memory_gb\":" + std::to_string(type.memory_gb) +
            ",\"cache_gb\":35,\"pull_gb_per_s\":" + std::to_string(options_.fetch_gb_per_s) +
            ",\"hourly\":" + std::to_string(type.price) +
            ",\"low_price\":" + std::to_string(type.price / 3) +
            ",\"startup_s\":" + std::to_string(options_.boot_s) + ",\"muelles\":[" + zones + "]}";
  }
  return Make(200, "{\"cascos\":[" + rows + "]}");
}

HttpResponse Fleet::Rent(const std::string& body) {
  ++rentals_seen_;
  rapidjson::Document document;
  std::string request;
  std::string type;
  std::string zone;
  uint64_t count = 0;
  bool spot = false;
  if (!ParseJson(body, &document) || !JsonString(document, "flete", &request) ||
      !JsonString(document, "casco", &type) || !JsonString(document, "muelle", &zone) ||
      !JsonU64(document, "how_many", &count) || count == 0 || count > 50 ||
      TypeOf(type) == nullptr) {
    return Make(400, "{}");
  }
  deckhall::JsonBool(document, "prestados", &spot);
  if (rentals_.contains(request)) return Make(200, rentals_[request]);
  int rented = 0;
  for (const auto& [name, machine] : machines_) {
    if (machine.gone_at < 0 && machine.up_at > machine.rented_at) ++rented;
  }
  std::string names;
  for (; !spot && count > 0 && rented < options_.capacity; --count, ++rented) {
    const std::string name = NewName();
    Machine& machine = machines_[name];
    machine.type = type;
    machine.zone = zone;
    machine.rented_at = SteadySeconds();
    machine.up_at = machine.rented_at + options_.boot_s;
    names += (names.empty() ? "" : ",") + Quote(name);
  }
  rules_->Record("rental " + body + " -> [" + names + "]");
  if (names.empty()) return Make(503, "{\"error\":\"no capacity\"}");
  rentals_[request] = "{\"cubiertas\":[" + names + "]}";
  return Make(200, rentals_[request]);
}

HttpResponse Fleet::Return(const std::string& body) {
  rapidjson::Document document;
  const JsonValue* names = nullptr;
  if (ParseJson(body, &document)) names = JsonMember(document, "cubiertas");
  if (names == nullptr || !names->IsArray() || names->Size() > 100) return Make(400, "{}");
  rules_->Record("return " + body);
  for (const auto& name : names->GetArray()) {
    const auto it = machines_.find(name.GetString());
    if (it == machines_.end() || it->second.gone_at >= 0) continue;
    it->second.gone_at = SteadySeconds();
    if (it->second.worker) it->second.worker->Die();
  }
  return Make(200, "{}");
}

HttpResponse Fleet::List() const {
  const double shown_at = SteadySeconds() - options_.list_lag_s;
  std::string rows;
  for (const auto& [name, machine] : machines_) {
    if (machine.rented_at > shown_at) continue;
    if (machine.gone_at >= 0 && machine.gone_at <= shown_at) continue;
    const bool up = machine.up_at <= shown_at;
    rows += (rows.empty() ? "" : ",") + std::string("{\"name_id\":") + Quote(name) +
            ",\"endpoint\":" +
            Quote(machine.worker ? machine.worker->inbound().endpoint().Text() : "") +
            ",\"casco\":" + Quote(machine.type) + ",\"muelle\":" + Quote(machine.zone) +
            ",\"prestados\":false,\"estado\":" + Quote(up ? "running" : "starting") +
            ",\"age_s\":" + std::to_string(shown_at - machine.rented_at) + "}";
  }
  return Make(200, "{\"cubiertas\":[" + rows + "],\"truncated\":false}");
}

}  // namespace review
