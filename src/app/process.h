// The controller process: connects a `Controller` and its `HttpApi` to the event loop, the sockets
// and the system's clocks. It only connects these components and decides nothing itself.
//
// Owned by main(). The members are destroyed in reverse order of their declaration, so each may
// refer to those above it.
#pragma once

#include <memory>
#include <string>

#include "api/http_api.h"
#include "app/controller.h"
#include "app/policy_file.h"
#include "cloud/cloud_client.h"
#include "fleet/http_worker_client.h"
#include "mesh/peer_connections.h"
#include "state/key_value_client.h"

namespace deckhall {

// The clocks of the operating system.
class SystemClock : public Clock {
 public:
  double Now() const override { return SteadySeconds(); }
  double Wall() const override { return WallSeconds(); }
};

class Process {
 public:
  // Listens on the addresses in the settings and serves requests while the loop runs. With an empty
  // `disruption_file` this controller applies neither budgets nor drains. Throws std::runtime_error
  // when an address can't be used.
  Process(Loop* loop, const Settings& settings, const Tuning& tuning,
          const std::string& disruption_file);
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

 private:
  // The functions through which `http_api_` reaches `controller_`.
  HttpApi::Backend BuildBackend();
  void Tick();
  void CheckPolicyFile(double now);
  // Logs statistics and closes idle connections to workers.
  void DoHousekeeping(double now);

  SystemClock clock_;
  KeyValueClient key_value_client_;
  CloudClient cloud_client_;
  HttpWorkerClient worker_client_;
  PeerConnections peer_connections_;
  Controller controller_;
  HttpApi http_api_;
  HttpServer server_;
  Timer tick_timer_;
  Timer immediate_tick_;  // fires at the end of the current loop iteration when the controller has
                          // work
  Settings settings_;
  PolicyFile policy_file_;
  double next_housekeeping_at_ = 0;
  double next_policy_check_at_ = 0;
};

}  // namespace deckhall
