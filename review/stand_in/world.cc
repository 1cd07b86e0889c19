#include "world.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>

#include "wire/job_codec.h"

extern char** environ;

namespace review {
namespace {

using deckhall::HttpResult;
using deckhall::JobSpec;

constexpr double kStatusTimeoutSeconds = 2;
constexpr double kRequestTimeoutSeconds = 5;
constexpr double kRetrySeconds = 1;
constexpr double kGiveUpSeconds = 60;
constexpr unsigned kLongestTestSeconds = 118;
constexpr size_t kMaxNodes = 16;

// The controllers that run, for the signal handler.
volatile pid_t running[kMaxNodes];

// Ends what the test started when the test itself is ended or takes too long.
void EndAll(int) {
  for (size_t i = 0; i < kMaxNodes; ++i) {
    if (running[i] > 0) kill(running[i], SIGKILL);
  }
  _exit(2);
}

std::string Quote(const std::string& text) { return "\"" + text + "\""; }

std::string Join(const std::vector<std::string>& parts) {
  std::string out;
  for (const std::string& part : parts) out += (out.empty() ? "" : ",") + part;
  return out;
}

std::string EncodeJob(const JobSpec& spec) {
  rapidjson::StringBuffer buffer;
  deckhall::JsonWriter writer(buffer);
  deckhall::WriteJob(writer, spec);
  // WriteJob leaves out what is null or false; a user's submission has every field.
  std::string text = buffer.GetString();
  auto add = [&text](const std::string& field, const std::string& value) {
    if (text.find("\"" + field + "\":") != std::string::npos) return;
    text.insert(text.size() - 1, ",\"" + field + "\":" + value);
  };
  for (const char* flag : {"one_zone", "apart", "prestados"}) add(flag, "false");
  for (const char* amount : {"gpus", "bitacora_s", "estiba_s"}) add(amount, "0.0");
  for (const char* nullable : {"cascos", "muelle", "arribo_s"}) add(nullable, "null");
  return text;
}

}  // namespace

World::World(const WorldOptions& options, const std::string& command)
    : users_(&loop_, 400, 1 << 20) {
  signal(SIGPIPE, SIG_IGN);
  for (int number : {SIGINT, SIGTERM, SIGHUP, SIGALRM}) signal(number, EndAll);
  if (options.may_take_long) {
    signal(SIGALRM, SIG_IGN);
  } else {
    alarm(kLongestTestSeconds);
  }
  std::istringstream words(command);
  for (std::string word; words >> word;) command_.push_back(word);
  std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  folder_ = mkdtemp(pattern.data());
  rules_ = std::make_unique<Rules>(options.record_path, options.cancel_s, options.teams);
  state_ = std::make_unique<StateService>(&loop_);
  state_->SetLimits({options.state_rps, options.state_write_rps, options.state_value_kb,
                     static_cast<size_t>(options.state_txn_ops)});
  std::vector<Controller> controllers;
  for (size_t i = 0; i < options.controller_zones.size(); ++i) {
    Node& node = nodes_.emplace_back();
    node.label = "cubierta-" + std::to_string(i);
    node.users = FreeEndpoint();
    node.mesh = FreeEndpoint();
    node.door = state_->AddDoor();
    node.state_way = std::make_unique<Proxy>(&loop_, state_->endpoint(node.door));
    controllers.push_back({node.label, node.users});
  }
  for (Node& from : nodes_) {
    for (Node& to : nodes_) from.mesh_ways.push_back(std::make_unique<Proxy>(&loop_, to.mesh));
  }
  FleetOptions fleet = options.fleet;
  fleet.zones = options.zones;
  fleet_ = std::make_unique<Fleet>(&loop_, fleet, controllers, rules_.get());
  for (Node& node : nodes_) node.cloud_way = std::make_unique<Proxy>(&loop_, fleet_->cloud());
  WriteSettings(options);
}

World::~World() {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (IsRunning(i)) Kill(i);
  }
  std::error_code ignored;
  if (std::getenv("KEEP_LOGS") == nullptr) std::filesystem::remove_all(folder_, ignored);
}

void World::WriteSettings(const WorldOptions& options) {
  std::vector<std::string> zones;
  for (const std::string& zone : options.zones) zones.push_back(Quote(zone));
  std::vector<std::string> teams;
  for (const Team& team : options.teams) {
    std::ostringstream text;
    text << "{\"name\":" << Quote(team.name) << ",\"cpus\":" << team.cores
         << ",\"cpus_max\":" << team.cores_max << ",\"gpus\":0.0,\"gpus_max\":0.0}";
    teams.push_back(text.str());
  }
  std::ostringstream announced;
  if (options.next_state.value_kb > 0) {
    announced << ",\"next\":{\"rps\":" << options.next_state.rps
              << ",\"write_rps\":" << options.next_state.write_rps
              << ",\"value_kb\":" << options.next_state.value_kb
              << ",\"txn_ops\":" << options.next_state.txn_ops << "}";
  }
  const std::string next = announced.str();
  for (size_t i = 0; i < nodes_.size(); ++i) {
    Node& node = nodes_[i];
    std::vector<std::string> siblings;
    for (size_t j = 0; j < nodes_.size(); ++j) {
      if (j == i) continue;
      siblings.push_back("{\"label\":" + Quote(nodes_[j].label) +
                         ",\"site\":" + Quote(options.controller_zones[j]) +
                         ",\"endpoint\":" + Quote(node.mesh_ways[j]->endpoint().Text()) + "}");
    }
    node.config = folder_ + "/" + node.label + ".json";
    std::ofstream(node.config)
        << "{\"label\":" << Quote(node.label) << ",\"site\":" << Quote(options.controller_zones[i])
        << ",\"serve_on\":" << Quote(node.users.Text())
        << ",\"mesh_addr\":" << Quote(node.mesh.Text()) << ",\"siblings\":[" << Join(siblings)
        << "],\"external\":{\"cloud\":" << Quote(node.cloud_way->endpoint().Text())
        << ",\"state\":" << Quote(node.state_way->endpoint().Text())
        << "},\"cluster\":{\"size\":" << nodes_.size() << ",\"zones\":[" << Join(zones)
        << "],\"teams\":[" << Join(teams)
        << "],\"objectives\":[],\"workers\":{\"report_s\":" << options.fleet.report_s
        << ",\"lease_s\":" << options.fleet.lease_s
        << ",\"gang_wait_s\":35.0,\"gang_peer_s\":8.0,\"cancel_s\":" << options.cancel_s
        << "},\"state\":{\"rps\":" << options.state_rps
        << ",\"write_rps\":" << options.state_write_rps
        << ",\"value_kb\":" << options.state_value_kb << ",\"txn_ops\":" << options.state_txn_ops
        << next << "},\"cloud\":{\"rps\":" << options.cloud_rps
        << ",\"list_lag_s\":" << options.fleet.list_lag_s
        << "},\"quota\":{\"cores\":" << options.quota_cores << ",\"mem_mb\":" << options.memory_mb
        << ",\"max_sockets\":" << options.sockets << "},\"time_bound_ms\":100.0}}";
  }
}

void World::Start(size_t index) {
  Node& node = nodes_[index];
  std::vector<std::string> words = command_;
  words.push_back(node.config);
  std::vector<char*> argv;
  for (std::string& word : words) argv.push_back(word.data());
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  const std::string log = folder_ + "/" + node.label + ".log";
  posix_spawn_file_actions_addopen(&actions, 2, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  if (posix_spawn(&node.pid, argv[0], &actions, nullptr, argv.data(), environ) != 0) {
    node.pid = -1;
    throw std::runtime_error("cannot start " + command_[0]);
  }
  posix_spawn_file_actions_destroy(&actions);
  running[index] = node.pid;
  node.frozen = false;
  rules_->Record("controller " + node.label + " started");
}

void World::StartAll() {
  for (size_t i = 0; i < nodes_.size(); ++i) Start(i);
}

void World::Kill(size_t index) {
  Node& node = nodes_[index];
  kill(node.pid, SIGKILL);
  waitpid(node.pid, nullptr, 0);
  running[index] = -1;
  node.pid = -1;
  rules_->Record("controller " + node.label + " killed");
}

void World::Freeze(size_t index) {
  kill(nodes_[index].pid, SIGSTOP);
  nodes_[index].frozen = true;
  rules_->Record("controller " + nodes_[index].label + " stopped");
}

void World::Resume(size_t index) {
  kill(nodes_[index].pid, SIGCONT);
  nodes_[index].frozen = false;
  rules_->Record("controller " + nodes_[index].label + " continued");
}

size_t World::Leader() {
  const std::string label = state_->Leader();
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].label == label && IsRunning(i)) return i;
  }
  return SIZE_MAX;
}

size_t World::UnexpectedEnds() {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    Node& node = nodes_[i];
    int status = 0;
    if (node.pid <= 0 || waitpid(node.pid, &status, WNOHANG) != node.pid) continue;
    running[i] = -1;
    node.pid = -1;
    ++unexpected_ends_;
    rules_->Break("crash",
                  node.label + " ended by itself, " +
                      (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                           : "status " + std::to_string(WEXITSTATUS(status))));
  }
  return unexpected_ends_;
}

size_t World::PickNode() {
  for (int tries = 0; tries < 20; ++tries) {
    const size_t node = random_() % nodes_.size();
    if (IsRunning(node) && !nodes_[node].frozen) return node;
  }
  return random_() % nodes_.size();
}

void World::Send(const std::string& operation, const std::string& job, const std::string& body,
                 size_t node, double first_at) {
  const double asked_at = rules_->Now();
  const size_t target = node == SIZE_MAX ? PickNode() : node;
  deckhall::HttpCall call{"POST", "/api/jobs", body, kRequestTimeoutSeconds};
  if (operation == "cancel") call.path = "/api/jobs/" + job + "/cancel";
  if (operation == "ask") call = {"GET", "/api/jobs/" + job, "", kStatusTimeoutSeconds};
  rules_->Record("send " + operation + " " + job + " to " + nodes_[target].label +
                 (body.empty() ? "" : " " + body));
  users_.Call(
      nodes_[target].users, call,
      [this, operation, job, body, node, first_at, asked_at](const HttpResult& result) {
        std::string state;
        rapidjson::Document document;
        if (deckhall::ParseJson(result.body, &document)) {
          deckhall::JsonString(document, "estado", &state);
        }
        rules_->Answered(job, operation.c_str(), asked_at, result.status, state);
        const bool final = result.status == 200 || result.status == 201 || result.status == 400 ||
                           result.status == 422;
        if (final || operation == "ask" || rules_->Now() - first_at > kGiveUpSeconds) return;
        retries_.push_back(
            std::make_unique<Timer>(&loop_, [this, operation, job, body, node, first_at] {
              Send(operation, job, body, node, first_at);
            }));
        retries_.back()->Start(std::max(kRetrySeconds, static_cast<double>(result.retry_after_s)));
      });
}

void World::Submit(const JobSpec& spec, double run_s, size_t node) {
  rules_->Submitted(spec);
  fleet_->SetRunSeconds(spec.id, run_s);
  Send("submit", spec.id, EncodeJob(spec), node, rules_->Now());
}

void World::Resubmit(const JobSpec& spec, size_t node) {
  Send("submit", spec.id, EncodeJob(spec), node, rules_->Now());
}

void World::Cancel(const std::string& job, size_t node) {
  rules_->CancelAsked(job);
  Send("cancel", job, "", node, rules_->Now());
}

void World::Ask(const std::string& job, size_t node) { Send("ask", job, "", node, rules_->Now()); }

bool World::RunUntil(const std::function<bool()>& condition, double timeout_s) {
  const double end = SteadySeconds() + timeout_s;
  bool holds = false;
  Timer poll(&loop_, [&] {
    holds = condition();
    if (holds || SteadySeconds() > end) loop_.Stop();
  });
  poll.Start(0, 0.01);
  loop_.Run();
  return holds;
}

void World::Run(double seconds) {
  RunUntil([] { return false; }, seconds);
}

JobSpec MakeJob(int number, const std::string& team, uint32_t tasks, double cores) {
  JobSpec spec;
  char id[24];
  std::snprintf(id, sizeof id, "job-%06d", number);
  spec.id = id;
  spec.job_class = "factura-mes";
  spec.team = team;
  spec.task_count = tasks;
  spec.cores = cores;
  spec.memory_gb = 0.1;
  spec.image = "img-01";
  spec.image_gb = 0.1;
  spec.estimated_runtime_s = 20;
  return spec;
}

int Verdict(World& world, const std::vector<std::string>& rules) {
  int status = 0;
  for (const std::string& rule : rules) {
    if (world.rules().violations(rule) > 0) status = 1;
  }
  for (const std::string& line : world.rules().violations()) std::cout << line << "\n";
  std::cout << (status == 1 ? "the rule was broken" : "the rule held") << std::endl;
  world.rules().Record(status == 1 ? "verdict: the rule was broken" : "verdict: the rule held");
  return status;
}

WorldOptions SolsurArequipa(const std::string& record_path) {
  WorldOptions options;
  options.record_path = record_path;
  options.zones = {"sierra-sur"};
  options.controller_zones = {"sierra-sur", "sierra-sur", "sierra-sur"};
  options.teams = {{"cobranza", 64, 112}, {"campo", 24, 80},   {"contabilidad", 48, 152},
                   {"atencion", 24, 96},  {"tarifas", 24, 96}, {"sistemas", 48, 152}};
  options.fleet.types = {
      {"pequena", 4, 16, 0.3}, {"mediana", 8, 32, 0.58}, {"grande", 16, 128, 1.25}};
  options.fleet.report_s = 3;
  options.fleet.lease_s = 30;
  options.fleet.boot_s = 50;
  options.fleet.list_lag_s = 8;
  return options;
}

bool TroubleWanted() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace review
