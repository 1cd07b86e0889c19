// The project's own controllers as processes on loopback, started with the run command of the
// deploy file.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "net/tcp.h"

namespace stage {

// A port on 127.0.0.1 that was free when it was looked for.
deckhall::Endpoint FreeEndpoint();

struct Team {
  std::string name;
  double cpus = 0;
  double cpus_max = 0;
};

// Settings of a small deployment.
struct Deployment {
  std::vector<std::string> zones = {"sierra-sur"};
  std::vector<Team> teams;
  double report_s = 3;
  double lease_s = 12;
  double cancel_s = 30;
  double list_lag_s = 1;
  int max_sockets = 1000;
};

class Controllers {
 public:
  // `command` is the run command of the deploy file, to which the path of the settings is appended.
  // Settings and logs are kept in a temporary folder.
  Controllers(const std::string& command, const Deployment& deployment,
              const deckhall::Endpoint& state, const deckhall::Endpoint& cloud);
  // Ends all processes and removes the folder.
  ~Controllers();
  Controllers(const Controllers&) = delete;
  Controllers& operator=(const Controllers&) = delete;

  static constexpr size_t kCount = 3;
  const std::vector<deckhall::Endpoint>& endpoints() const { return endpoints_; }
  static std::string LabelOf(size_t index) { return "cubierta-" + std::to_string(index); }
  // Index of the controller with this label; kCount if there is none.
  static size_t IndexOf(const std::string& label);
  void Start(size_t index);
  void Kill(size_t index);
  bool IsRunning(size_t index) const { return processes_[index] > 0; }
  // Bytes of anonymous memory that the process holds; 0 if it does not run.
  size_t MemoryBytes(size_t index) const;
  // Whether a process has ended that was not killed.
  bool HasEnded();
  std::string LogOf(size_t index) const;

 private:
  std::string SettingsPath(size_t index) const;
  void WriteSettings(size_t index, const Deployment& deployment, const deckhall::Endpoint& state,
                     const deckhall::Endpoint& cloud) const;

  std::string command_;
  std::string folder_;
  std::vector<deckhall::Endpoint> endpoints_;
  std::vector<deckhall::Endpoint> mesh_;
  std::vector<pid_t> processes_;
};

}  // namespace stage
