// The platform's settings: a JSON file that the platform hands to each controller.
//
// Settings that were read are complete: the names and addresses are there, and all amounts are
// positive. Unknown fields are ignored. Read once, at the start, and constant from then on. The
// names of the file appear only in settings.cc.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "common/result.h"
#include "config/peer.h"
#include "model/team.h"
#include "net/tcp.h"

namespace deckhall {

// What the state service allows in a value, a transaction and a second.
struct StateLimits {
  double rps = 50;        // requests a second
  double write_rps = 20;  // puts and deletes a second
  double value_kb = 8;    // KiB of a value
  int txn_ops = 12;       // puts and deletes of a transaction
};

struct Settings {
  std::string label;           // this controller's name among its peers
  std::string site;            // where it runs; may be empty
  Endpoint serve_on;           // for users and workers
  Endpoint mesh_addr;          // for the other controllers
  std::vector<Peer> siblings;  // the other controllers
  Endpoint cloud;
  Endpoint state;
  std::vector<std::string> zones;
  std::vector<Team> teams;
  double heartbeat_interval_s = 3;
  double lease_s = 30;      // of a worker: without an answer for so long it kills its tasks
  double cancel_s = 55;     // within which the tasks of a cancelled job are to end
  double gang_wait_s = 35;  // a waiting task waits so long for the rest of its gang
  // The tasks of a running gang notice a lost one within this time.
  double gang_loss_detection_s = 8;
  StateLimits current_state_limits;    // in force when the process starts
  StateLimits effective_state_limits;  // the smaller of those and the announced ones (`state.next`)
  double cloud_rps = 4;                // requests a second
  double cloud_lag_s = 8;              // of the list of machines; sometimes twice as much
  int max_sockets = 1000;              // open at the same time, in this process
  double quota_cores = 1;              // of the processor, for this process
  double quota_memory_mb = 128;        // for this process
  double wall_clock_bound_ms = 1000;   // clocks of two hosts differ by less
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

enum class SettingsErrorKind {
  kNotJsonObject,  // the whole text
  kMissing,        // the field
  kMissingMember,  // `detail` of one of the field's rows
  kInvalidMember,  // `detail` of one of the field's rows
  kNotAddress,     // `detail` is what the field has
  kNotPositiveNumber,
  kNotList,
  kNotObject,
  kNotNames,  // a list of other things than strings
  kOwnLabel,  // `detail`: a sibling has this controller's label
};

// Why a text is no settings file.
struct SettingsError {
  SettingsErrorKind kind;
  std::string field = {};  // the path to it, as operators read it
  std::string detail = {};
};

// The error in one line, for operators.
std::string DescribeError(const SettingsError& error);

// Reads and checks the text of the file. What it leaves out keeps its default.
Result<Settings, SettingsError> ReadSettings(const std::string& text);

}  // namespace deckhall
