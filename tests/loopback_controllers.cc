#include "loopback_controllers.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "loopback_state.h"

extern char** environ;

namespace deckhall {
namespace {

pid_t Spawn(const std::vector<std::string>& arguments, const std::string& output) {
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments) argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, output.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                   0600);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  pid_t pid = -1;
  EXPECT_EQ(posix_spawn(&pid, argv[0], &actions, nullptr, argv.data(), environ), 0);
  posix_spawn_file_actions_destroy(&actions);
  return pid;
}

std::string Quote(const std::string& text) { return "\"" + text + "\""; }

std::string Join(const std::vector<std::string>& parts) {
  std::string out;
  for (const std::string& part : parts) out += (out.empty() ? "" : ",") + part;
  return out;
}

}  // namespace

int ExitStatus(pid_t pid) {
  int status = 0;
  if (waitpid(pid, &status, WNOHANG) != pid) return -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

std::string ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

LoopbackControllers::LoopbackControllers(size_t count, const Endpoint& state, const Endpoint& cloud,
                                         const LoopbackSettings& settings) {
  std::string pattern = (std::filesystem::temp_directory_path() / "deckhall-XXXXXX").string();
  folder_ = mkdtemp(pattern.data());
  std::vector<Endpoint> peer_endpoints;
  for (size_t i = 0; i < count; ++i) {
    nodes_.push_back({"n" + std::to_string(i), -1});
    endpoints_.push_back(FreeEndpoint("127.0.0.1"));
    peer_endpoints.push_back(FreeEndpoint("127.0.0.1"));
  }
  std::vector<std::string> zones;
  for (const std::string& zone : settings.zones) zones.push_back(Quote(zone));
  std::vector<std::string> teams;
  for (const std::string& team : settings.teams) teams.push_back("{\"name\":" + Quote(team) + "}");
  for (size_t i = 0; i < count; ++i) {
    std::vector<std::string> siblings;
    for (size_t j = 0; j < count; ++j) {
      if (j == i) continue;
      siblings.push_back("{\"label\":" + Quote(nodes_[j].label) +
                         ",\"site\":" + zones[j % zones.size()] +
                         ",\"endpoint\":" + Quote(peer_endpoints[j].Text()) + "}");
    }
    std::ofstream(ConfigOf(i))
        << "{\"label\":" << Quote(nodes_[i].label) << ",\"site\":" << zones[i % zones.size()]
        << ",\"serve_on\":" << Quote(endpoints_[i].Text())
        << ",\"mesh_addr\":" << Quote(peer_endpoints[i].Text()) << ",\"siblings\":["
        << Join(siblings) << "],\"external\":{\"cloud\":" << Quote(cloud.Text())
        << ",\"state\":" << Quote(state.Text()) << "},\"cluster\":{\"size\":" << count
        << ",\"zones\":[" << Join(zones) << "],\"teams\":[" << Join(teams)
        << "],\"workers\":{\"report_s\":" << settings.heartbeat_interval_s
        << ",\"lease_s\":" << settings.lease_s << ",\"cancel_s\":" << settings.cancel_s
        << "},\"state\":{\"rps\":500,\"write_rps\":200,\"value_kb\":8,\"txn_ops\":16},"
        << "\"cloud\":{\"rps\":20,\"list_lag_s\":1},"
        << "\"quota\":{\"cores\":1,\"mem_mb\":200,\"max_sockets\":1000},\"time_bound_ms\":100}}";
  }
}

LoopbackControllers::~LoopbackControllers() {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (IsRunning(i)) Kill(i);
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

std::string LoopbackControllers::ConfigOf(size_t node) const {
  return folder_ + "/" + nodes_[node].label + ".json";
}

std::string LoopbackControllers::LogOf(size_t node) const {
  return folder_ + "/" + nodes_[node].label + ".log";
}

size_t LoopbackControllers::IndexOf(const std::string& label) const {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].label == label) return i;
  }
  return SIZE_MAX;
}

void LoopbackControllers::WritePolicy(size_t node, const std::string& text) {
  // The rename is atomic, so the controller never reads a partial file.
  const std::string path = folder_ + "/" + nodes_[node].label + ".sexp";
  std::ofstream(path + ".new") << text;
  std::filesystem::rename(path + ".new", path);
}

void LoopbackControllers::Start(size_t node) {
  const std::string policy = folder_ + "/" + nodes_[node].label + ".sexp";
  // The last controller can run another version, for tests of mixed versions.
  const char* other = std::getenv("DECKHALL_LOOPBACK_OTHER");
  const bool is_other = other != nullptr && node + 1 == nodes_.size();
  std::vector<std::string> arguments = {is_other ? other : DECKHALL_BINARY, "serve"};
  if (!is_other && std::filesystem::exists(policy)) {
    arguments.insert(arguments.end(), {"--disruption", policy});
  }
  arguments.insert(arguments.end(), {"--config", ConfigOf(node)});
  nodes_[node].pid = Spawn(arguments, LogOf(node));
}

void LoopbackControllers::Kill(size_t node) {
  kill(nodes_[node].pid, SIGKILL);
  int status = 0;
  waitpid(nodes_[node].pid, &status, 0);
  nodes_[node].pid = -1;
}

void LoopbackControllers::Freeze(size_t node) { kill(nodes_[node].pid, SIGSTOP); }

void LoopbackControllers::Resume(size_t node) { kill(nodes_[node].pid, SIGCONT); }

int LoopbackControllers::UnexpectedExits() {
  for (Node& node : nodes_) {
    if (node.pid <= 0 || ExitStatus(node.pid) < 0) continue;
    node.pid = -1;
    ++unexpected_exits_;
  }
  return unexpected_exits_;
}

std::string LoopbackControllers::RunCommand(const std::vector<std::string>& arguments, pid_t* pid) {
  std::string output = folder_ + "/command-" + std::to_string(commands_++) + ".out";
  std::vector<std::string> all = {DECKHALL_BINARY};
  all.insert(all.end(), arguments.begin(), arguments.end());
  *pid = Spawn(all, output);
  return output;
}

}  // namespace deckhall
