// A small deployment on loopback: state service, cloud, workers and users are stand-ins, the
// controllers are processes of the project's own program, started with the deploy file's command.
#pragma once

#include <sys/types.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fleet.h"
#include "net/http_client.h"
#include "rules.h"
#include "state_service.h"

namespace review {

struct WorldOptions {
  std::vector<std::string> zones = {"a"};
  std::vector<std::string> controller_zones = {"a", "a", "a"};
  std::vector<Team> teams;
  FleetOptions fleet;  // zones are filled in
  double cancel_s = 55;
  double quota_cores = 0.16;
  double state_rps = 250;
  double state_write_rps = 40;
  double state_value_kb = 16;
  int state_txn_ops = 32;
  // Announced limits of the state service; none if value_kb is 0.
  StateService::Limits next_state{0, 0, 0, 0};
  double cloud_rps = 10;
  double memory_mb = 200;
  int sockets = 3500;
  std::string record_path;
  bool may_take_long = false;  // no case: longer than 120 s
};

class World {
 public:
  // `command` is the program with its arguments, without the path of the settings file.
  World(const WorldOptions& options, const std::string& command);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  Loop* loop() { return &loop_; }
  Rules& rules() { return *rules_; }
  StateService& state() { return *state_; }
  Fleet& fleet() { return *fleet_; }
  size_t size() const { return nodes_.size(); }

  // Controllers.
  void Start(size_t node);
  void StartAll();
  void Kill(size_t node);
  void Freeze(size_t node);
  void Resume(size_t node);
  bool IsRunning(size_t node) const { return nodes_[node].pid > 0; }
  // Index of the controller that holds the leader key; SIZE_MAX if none runs.
  size_t Leader();
  // How many controllers ended by themselves so far; recorded as a broken rule.
  size_t UnexpectedEnds();
  StateService::Door& state_door(size_t node) { return state_->door(nodes_[node].door); }
  Proxy& state_way(size_t node) { return *nodes_[node].state_way; }
  Proxy& cloud_way(size_t node) { return *nodes_[node].cloud_way; }
  // The way that connections from one controller to another take.
  Proxy& mesh_way(size_t from, size_t to) { return *nodes_[from].mesh_ways[to]; }

  // Users. Submissions and cancellations are repeated as PROTOCOL says. `node` SIZE_MAX: any.
  void Submit(const deckhall::JobSpec& spec, double run_s, size_t node = SIZE_MAX);
  // The same submission again.
  void Resubmit(const deckhall::JobSpec& spec, size_t node = SIZE_MAX);
  void Cancel(const std::string& job, size_t node = SIZE_MAX);
  void Ask(const std::string& job, size_t node = SIZE_MAX);

  // Runs the loop until the condition holds; false if it doesn't within that time.
  bool RunUntil(const std::function<bool()>& condition, double timeout_s);
  void Run(double seconds);

 private:
  struct Node {
    std::string label;
    std::string config;
    Endpoint users;
    Endpoint mesh;
    size_t door = 0;
    std::unique_ptr<Proxy> state_way;
    std::unique_ptr<Proxy> cloud_way;
    std::vector<std::unique_ptr<Proxy>> mesh_ways;
    pid_t pid = -1;
    bool frozen = false;
  };

  void WriteSettings(const WorldOptions& options);
  size_t PickNode();
  void Send(const std::string& operation, const std::string& job, const std::string& body,
            size_t node, double first_at);

  Loop loop_;
  std::vector<std::string> command_;
  std::string folder_;
  std::unique_ptr<Rules> rules_;
  std::unique_ptr<StateService> state_;
  std::unique_ptr<Fleet> fleet_;
  std::vector<Node> nodes_;
  deckhall::HttpClient users_;
  std::vector<std::unique_ptr<Timer>> retries_;
  std::mt19937_64 random_{std::random_device{}()};
  size_t unexpected_ends_ = 0;
};

// The job of a user with plain values.
deckhall::JobSpec MakeJob(int number, const std::string& team, uint32_t tasks, double cores);

// Prints the verdict and returns the exit status of a case: 1 if one of the rules was broken.
int Verdict(World& world, const std::vector<std::string>& rules);

bool TroubleWanted();

// The deployment solsur-arequipa as BRIEF and DEPLOY give it, without machines.
WorldOptions SolsurArequipa(const std::string& record_path);

}  // namespace review
