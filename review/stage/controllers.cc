#include "controllers.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <stdexcept>

extern char** environ;

namespace stage {
namespace {

constexpr pid_t kNoProcess = -1;
// Below the ports that Linux gives to outgoing connections, so that none of these takes the port of
// a controller that is down.
constexpr int kFirstPort = 20000;
constexpr int kLastPort = 32000;
constexpr int kPortAttempts = 1000;

std::string Quote(const std::string& text) { return "\"" + text + "\""; }

template <class Range, class Format>
std::string Join(const Range& range, const Format& format) {
  std::string joined;
  for (const auto& item : range) joined += (joined.empty() ? "" : ",") + format(item);
  return joined;
}

bool IsFree(const deckhall::Endpoint& endpoint) {
  const int socket_fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr);
  const bool bound = bind(socket_fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
  close(socket_fd);
  return bound;
}

pid_t Spawn(std::vector<std::string> arguments, const std::string& log) {
  std::vector<char*> pointers;
  for (std::string& argument : arguments) pointers.push_back(argument.data());
  pointers.push_back(nullptr);
  const pid_t parent = getpid();
  const pid_t process = fork();
  if (process < 0) throw std::runtime_error("cannot start " + arguments[0]);
  if (process > 0) return process;
  // No process outlives the case, however the case ends.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log_fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (getppid() != parent || log_fd < 0 || dup2(log_fd, STDERR_FILENO) < 0) _exit(127);
  execve(pointers[0], pointers.data(), environ);
  _exit(127);
}

}  // namespace

deckhall::Endpoint FreeEndpoint() {
  static std::mt19937 random(std::random_device{}());
  std::uniform_int_distribution<int> ports(kFirstPort, kLastPort);
  for (int attempt = 0; attempt < kPortAttempts; ++attempt) {
    const deckhall::Endpoint endpoint{"127.0.0.1", static_cast<uint16_t>(ports(random))};
    if (IsFree(endpoint)) return endpoint;
  }
  throw std::runtime_error("no free port");
}

Controllers::Controllers(const std::string& command, const Deployment& deployment,
                         const deckhall::Endpoint& state, const deckhall::Endpoint& cloud)
    : command_(command), processes_(kCount, kNoProcess) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "deckhall-review-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("no temporary folder");
  folder_ = pattern;
  for (size_t i = 0; i < kCount; ++i) {
    endpoints_.push_back(FreeEndpoint());
    mesh_.push_back(FreeEndpoint());
  }
  for (size_t i = 0; i < kCount; ++i) WriteSettings(i, deployment, state, cloud);
}

Controllers::~Controllers() {
  for (size_t i = 0; i < kCount; ++i) Kill(i);
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

size_t Controllers::IndexOf(const std::string& label) {
  size_t index = 0;
  while (index < kCount && LabelOf(index) != label) ++index;
  return index;
}

std::string Controllers::SettingsPath(size_t index) const {
  return folder_ + "/" + LabelOf(index) + ".json";
}

std::string Controllers::LogOf(size_t index) const {
  std::ifstream file(folder_ + "/" + LabelOf(index) + ".log");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void Controllers::WriteSettings(size_t index, const Deployment& deployment,
                                const deckhall::Endpoint& state,
                                const deckhall::Endpoint& cloud) const {
  const auto site_of = [&deployment](size_t i) {
    return Quote(deployment.zones[i % deployment.zones.size()]);
  };
  std::string siblings;
  for (size_t i = 0; i < kCount; ++i) {
    if (i == index) continue;
    siblings += (siblings.empty() ? "" : ",") + ("{\"label\":" + Quote(LabelOf(i))) +
                ",\"site\":" + site_of(i) + ",\"endpoint\":" + Quote(mesh_[i].Text()) + "}";
  }
  const auto team_text = [](const Team& team) {
    return "{\"name\":" + Quote(team.name) + ",\"cpus\":" + std::to_string(team.cpus) +
           ",\"cpus_max\":" + std::to_string(team.cpus_max) + ",\"gpus\":0.0,\"gpus_max\":0.0}";
  };
  std::ofstream(SettingsPath(index))
      << "{\"label\":" << Quote(LabelOf(index)) << ",\"site\":" << site_of(index)
      << ",\"serve_on\":" << Quote(endpoints_[index].Text())
      << ",\"mesh_addr\":" << Quote(mesh_[index].Text()) << ",\"siblings\":[" << siblings
      << "],\"external\":{\"cloud\":" << Quote(cloud.Text()) << ",\"state\":" << Quote(state.Text())
      << "},\"cluster\":{\"size\":" << kCount << ",\"zones\":[" << Join(deployment.zones, Quote)
      << "],\"teams\":[" << Join(deployment.teams, team_text)
      << "],\"objectives\":[],\"workers\":{\"report_s\":" << deployment.report_s
      << ",\"lease_s\":" << deployment.lease_s
      << ",\"gang_wait_s\":35.0,\"gang_peer_s\":8.0,\"cancel_s\":" << deployment.cancel_s
      << "},\"state\":{\"rps\":250.0,\"write_rps\":40.0,\"value_kb\":16.0,\"txn_ops\":32},"
      << "\"cloud\":{\"rps\":10.0,\"list_lag_s\":" << deployment.list_lag_s
      << "},\"quota\":{\"cores\":0.16,\"mem_mb\":200.0,\"max_sockets\":" << deployment.max_sockets
      << "},\"time_bound_ms\":100.0}}\n";
}

void Controllers::Start(size_t index) {
  std::vector<std::string> arguments;
  std::istringstream words(command_);
  for (std::string word; words >> word;) arguments.push_back(word);
  arguments.push_back(SettingsPath(index));
  processes_[index] = Spawn(std::move(arguments), folder_ + "/" + LabelOf(index) + ".log");
}

void Controllers::Kill(size_t index) {
  if (processes_[index] == kNoProcess) return;
  kill(processes_[index], SIGKILL);
  int status = 0;
  waitpid(processes_[index], &status, 0);
  processes_[index] = kNoProcess;
}

size_t Controllers::MemoryBytes(size_t index) const {
  if (!IsRunning(index)) return 0;
  std::ifstream status("/proc/" + std::to_string(processes_[index]) + "/status");
  constexpr std::string_view kField = "RssAnon:";
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(kField)) return std::stoul(line.substr(kField.size())) * 1024;
  }
  return 0;
}

bool Controllers::HasEnded() {
  for (pid_t& process : processes_) {
    int status = 0;
    if (process == kNoProcess || waitpid(process, &status, WNOHANG) != process) continue;
    process = kNoProcess;
    return true;
  }
  return false;
}

}  // namespace stage
