// Real controller processes on the loopback interface, which can be killed, frozen and started
// again; and the commands of the program, run beside them.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "net/tcp.h"

namespace deckhall {

struct LoopbackSettings {
  std::vector<std::string> zones;
  std::vector<std::string> teams;
  double report_s = 1;
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
  const std::vector<Endpoint>& served() const { return served_; }
  // Of the controller with this label; SIZE_MAX: there is none.
  size_t IndexOf(const std::string& label) const;
  void Start(size_t node);
  void Kill(size_t node);
  void Freeze(size_t node);
  void Thaw(size_t node);
  bool Running(size_t node) const { return nodes_[node].pid > 0; }
  // Processes that ended by themselves.
  int EndedByThemselves();
  // Writes the disruption file of a controller; from the next start on it is used.
  void WritePolicy(size_t node, const std::string& text);
  // Starts the program with these arguments; its output goes to the file that is returned.
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
  std::vector<Endpoint> served_;
  int ended_ = 0;
  int commands_ = 0;
};

// Waits for the process and returns its exit status; -1 while it runs.
int ExitStatus(pid_t pid);
std::string ReadWhole(const std::string& path);

}  // namespace deckhall
