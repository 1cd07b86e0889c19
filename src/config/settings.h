// The platform's settings: a JSON file that the platform provides to each controller.
//
// Settings that were read successfully are complete: all required names and addresses are present,
// and all amounts are positive. Unknown fields are ignored. The file is read once at start-up; the
// settings are constant from then on. The field names of the file appear only in settings.cc.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "common/result.h"
#include "config/peer.h"
#include "model/team.h"
#include "net/tcp.h"

namespace deckhall {

// Limits of the state service.
struct StateLimits {
  double rps = 50;        // requests per second
  double write_rps = 20;  // puts and deletes per second
  double value_kb = 8;    // size of a value in KiB
  int txn_ops = 12;       // puts and deletes per transaction
};

struct Settings {
  std::string label;           // this controller's name among its peers
  std::string site;            // this controller's zone; may be empty
  Endpoint serve_on;           // listening address for users and workers
  Endpoint mesh_addr;          // listening address for the other controllers
  std::vector<Peer> siblings;  // the other controllers
  Endpoint cloud;
  Endpoint state;
  std::vector<std::string> zones;
  std::vector<Team> teams;
  double heartbeat_interval_s = 3;
  double lease_s = 30;      // a worker that gets no response for this long kills its tasks
  double cancel_s = 55;     // maximum time for the tasks of a cancelled job to end
  double gang_wait_s = 35;  // how long a gang's task waits for the gang's other tasks to start
  // The tasks of a running gang detect the loss of one of them within this time.
  double gang_loss_detection_s = 8;
  StateLimits current_state_limits;    // in force at start-up
  StateLimits effective_state_limits;  // minimum of current and announced (`state.next`)
  double cloud_rps = 4;                // requests per second
  double cloud_list_lag_s = 8;         // staleness of the machine list; sometimes twice as long
  int max_sockets = 1000;              // maximum of open sockets of this process
  double quota_cores = 1;              // processor quota of this process
  double quota_memory_mb = 128;        // memory quota of this process
  double wall_clock_bound_ms = 1000;   // maximum clock difference between two hosts
};

// Division of the sockets: 3/10 for connections to workers, 120 for the state service, the cloud
// and the other controllers, the rest (at least 40) for incoming connections of users and workers.
inline int WorkerConnections(const Settings& settings) { return settings.max_sockets * 3 / 10; }
inline int ServedConnections(const Settings& settings) {
  return std::max(40, settings.max_sockets - WorkerConnections(settings) - 120);
}
// Half of the controllers, rounded up, must be able to hold the connections of all workers. When
// fewer are up, a full connection table closes the connection that has been idle longest, and its
// worker reconnects for the next heartbeat.
inline int MaxMachines(const Settings& settings) {
  const int controllers = static_cast<int>(settings.siblings.size()) + 1;
  return ServedConnections(settings) * ((controllers + 1) / 2);
}

// Unfinished jobs and their tasks may each use a quarter of the memory quota. The size of a job
// includes its stored record; that of a task holds whether it is waiting or placed.
constexpr double kBytesPerJob = 2048;
constexpr double kBytesPerTask = 64;
inline size_t MaxActiveJobs(const Settings& settings) {
  return static_cast<size_t>(settings.quota_memory_mb * 1e6 / 4 / kBytesPerJob);
}
inline size_t MaxActiveTasks(const Settings& settings) {
  return static_cast<size_t>(settings.quota_memory_mb * 1e6 / 4 / kBytesPerTask);
}
// Each user who waits for a response holds a connection to one of the controllers.
inline size_t MaxPendingResponses(const Settings& settings) {
  return static_cast<size_t>(ServedConnections(settings)) * (settings.siblings.size() + 1);
}

// Each client whose request is forwarded holds a connection to this controller; as many requests
// again may be relayed for a controller that can't reach the leader.
inline size_t MaxForwardedRequests(const Settings& settings) {
  return static_cast<size_t>(ServedConnections(settings)) * 2;
}

enum class SettingsErrorKind {
  kNotJsonObject,  // the text as a whole
  kMissing,        // the field is missing
  kMissingMember,  // member `detail` of an element of the field
  kInvalidMember,  // member `detail` of an element of the field
  kNotAddress,     // `detail`: the text of the field
  kNotPositiveNumber,
  kNotList,
  kNotObject,
  kNotStrings,         // a list with an element that is not a string
  kDuplicateOwnLabel,  // a sibling has this controller's label, `detail`
};

// The reason why a text is not a valid settings file.
struct SettingsError {
  SettingsErrorKind kind;
  std::string field = {};  // path of the field, as shown to operators
  std::string detail = {};
};

// The error in one line, for operators.
std::string DescribeError(const SettingsError& error);

// Reads and checks the text of the file. Missing optional fields keep their defaults.
Result<Settings, SettingsError> ReadSettings(const std::string& text);

}  // namespace deckhall
