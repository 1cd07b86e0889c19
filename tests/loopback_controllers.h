// Controller processes on the loopback interface, which can be killed, suspended and restarted, and
// runs of the program's other commands.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "net/tcp.h"

namespace deckhall {

struct LoopbackSettings {
  std::vector<std::string> zones;
  std::vector<std::string> teams;
  double heartbeat_interval_s = 1;
  double lease_s = 8;
  double cancel_s = 16;
};

class LoopbackControllers {
 public:
  LoopbackControllers(size_t count, const Endpoint& state, const Endpoint& cloud,
                      const LoopbackSettings& settings);
  ~LoopbackControllers();
  LoopbackControllers(const LoopbackControllers&) = delete;
  LoopbackControllers& operator=(const LoopbackControllers&) = delete;

  size_t size() const { return nodes_.size(); }
  const std::vector<Endpoint>& endpoints() const { return endpoints_; }
  // Index of the controller with this label; SIZE_MAX if there is none.
  size_t IndexOf(const std::string& label) const;
  void Start(size_t node);
  void Kill(size_t node);
  void Freeze(size_t node);
  void Resume(size_t node);
  bool IsRunning(size_t node) const { return nodes_[node].pid > 0; }
  // Counts the processes that exited without Kill().
  int UnexpectedExits();
  // Writes the disruption file of a controller, which gets its path at the next start.
  void WritePolicy(size_t node, const std::string& text);
  // Starts the program with these arguments and returns the path of its output file.
  std::string RunCommand(const std::vector<std::string>& arguments, pid_t* pid);
  std::string ConfigOf(size_t node) const;
  std::string LogOf(size_t node) const;

 private:
  struct Node {
    std::string label;
    pid_t pid = -1;
  };

  std::string folder_;
  std::vector<Node> nodes_;
  std::vector<Endpoint> endpoints_;
  int unexpected_exits_ = 0;
  int commands_ = 0;
};

// Returns the exit status of the process without blocking; -1 if it is still running.
int ExitStatus(pid_t pid);
std::string ReadFile(const std::string& path);

}  // namespace deckhall
