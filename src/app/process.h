// The process: the controller with its event loop, connections and clock.
#pragma once

#include <memory>

#include "api/front.h"
#include "app/controller.h"
#include "app/policy_file.h"
#include "cloud/cloud_client.h"
#include "fleet/worker_client.h"
#include "mesh/mesh_links.h"
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
  KeyValueClient state_;
  CloudClient cloud_;
  WorkerClient workers_;
  MeshLinks links_;
  Controller controller_;
  Front front_;
  HttpServer server_;
  Timer ticker_;
  Timer kick_;
  Settings settings_;
  PolicyFile policy_file_;
  double next_log_ = 0;
  double next_policy_ = 0;
};

}  // namespace deckhall
