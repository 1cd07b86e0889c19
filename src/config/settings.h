// What the platform and the operators hand over.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "mesh/mesh.h"
#include "model/model.h"
#include "net/tcp.h"

namespace deckhall {

// What the state service allows in a value, a transaction and a second.
struct StateLimits {
  double rps = 50;
  double write_rps = 20;
  double value_kb = 8;
  int txn_ops = 12;
};

struct Settings {
  std::string label;
  std::string site;
  Endpoint serve_on;
  Endpoint mesh_addr;
  std::vector<Peer> siblings;
  Endpoint cloud;
  Endpoint state;
  std::vector<std::string> zones;
  std::vector<Team> teams;
  double heartbeat_interval_s = 3;
  double lease_s = 30;
  double cancel_s = 55;
  double gang_wait_s = 35;  // a gathering task waits so long for the rest of its gang
  double gang_loss_detection_s =
      8;  // the tasks of a running gang notice a lost one within this time
  StateLimits current_state_limits;    // in force when the process starts
  StateLimits effective_state_limits;  // the smaller of those and the announced ones (`state.next`)
  double cloud_rps = 4;
  double cloud_lag_s = 8;
  int max_sockets = 1000;
  double quota_cores = 1;        // of the processor, for this process
  double quota_memory_mb = 128;  // for this process
  double wall_clock_bound_ms = 1000;
};

// Sockets are shared out: most for whoever connects to us, some kept open to
// workers, the rest for the state service, the cloud and the other controllers.
inline int WorkerConnections(const Settings& settings) { return settings.max_sockets * 3 / 10; }
inline int ServedConnections(const Settings& settings) {
  return std::max(40, settings.max_sockets - WorkerConnections(settings) - 120);
}
// Half of the controllers, rounded up, are to hold every worker. Should fewer be up, a full
// table drops the connection idle longest, and workers come again with their next report.
inline int MaxMachines(const Settings& settings) {
  const int controllers = static_cast<int>(settings.siblings.size()) + 1;
  return ServedConnections(settings) * ((controllers + 1) / 2);
}

// Unfinished jobs and their tasks may take a quarter of the memory each; so much is one
// of them with its row, and so much a task, waiting or placed.
constexpr double kBytesPerJob = 2048;
constexpr double kBytesPerTask = 64;
inline size_t MaxActiveJobs(const Settings& settings) {
  return static_cast<size_t>(settings.quota_memory_mb * 1e6 / 4 / kBytesPerJob);
}
inline size_t MaxActiveTasks(const Settings& settings) {
  return static_cast<size_t>(settings.quota_memory_mb * 1e6 / 4 / kBytesPerTask);
}
// Users who wait for an answer each hold a connection to some controller.
inline size_t MaxPendingResponses(const Settings& settings) {
  return static_cast<size_t>(ServedConnections(settings)) * (settings.siblings.size() + 1);
}

// Each asker holds a connection here; as many come from a node that can't reach the leader.
inline size_t MaxForwardedRequests(const Settings& settings) {
  return static_cast<size_t>(ServedConnections(settings)) * 2;
}

// Returns the reason why the text is no settings file, or an empty string.
std::string ReadSettings(const std::string& text, Settings* out);

}  // namespace deckhall
