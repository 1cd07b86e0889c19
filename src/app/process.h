// The process: the controller with its event loop, connections and clock.
#pragma once

#include <memory>

#include "api/http_api.h"
#include "app/controller.h"
#include "app/policy_file.h"
#include "cloud/cloud_client.h"
#include "fleet/http_worker_client.h"
#include "mesh/peer_connections.h"
#include "state/key_value_client.h"

namespace deckhall {

class SystemClock : public Clock {
 public:
  double Now() const override { return SteadySeconds(); }
  double Wall() const override { return WallSeconds(); }
};

class Process {
 public:
  // `disruption_file` may be empty: then there are neither budgets nor drains.
  Process(Loop* loop, const Settings& settings, const Tuning& tuning,
          const std::string& disruption_file);
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

 private:
  void Tick();

  SystemClock clock_;
  KeyValueClient key_value_client_;
  CloudClient cloud_client_;
  HttpWorkerClient worker_client_;
  PeerConnections peer_connections_;
  Controller controller_;
  HttpApi http_api_;
  HttpServer server_;
  Timer tick_timer_;
  Timer immediate_tick_;
  Settings settings_;
  PolicyFile policy_file_;
  double next_log_at_ = 0;
  double next_policy_check_at_ = 0;
};

}  // namespace deckhall
