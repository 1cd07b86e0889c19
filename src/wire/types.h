// The messages that deckhall exchanges with users, workers and the cloud, in the domain's own
// terms.
//
// Plain data without invariants beyond those named; the codecs beside this file map the words of
// the wire to these names, once, and check what comes in. Source: PROTOCOL. Durations are in
// seconds, memory and images in gigabytes, prices for an hour.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace deckhall {

// Of a job; a higher one may preempt a lower one.
enum class Priority : uint8_t { kIdle = 0, kNormal = 1, kUrgent = 2, kProduction = 3 };

// What a user asks for. A job is a service (its replicas run until they are cancelled), a gang (all
// its tasks run at the same time), or else an array of independent tasks.
struct JobSpec {
  std::string id;  // "job-" and digits
  std::string job_class;
  std::string team;
  bool service = false;
  bool gang = false;
  Priority priority = Priority::kNormal;
  uint32_t task_count = 0;
  // What one task takes.
  double cores = 0;
  double gpus = 0;
  double memory_gb = 0;
  std::string image;
  double image_gb = 0;
  // Where tasks may run.
  std::optional<std::vector<std::string>> allowed_types;  // none: any machine type
  std::string zone;                                       // empty: any zone
  bool single_zone = false;                               // all tasks in one zone
  bool anti_affinity = false;                             // at most half of the tasks in one zone
  bool spot_tolerant = false;                             // may run on spot machines
  // Times.
  double estimated_runtime_s = 0;    // of one task; 0 for services
  double checkpoint_interval_s = 0;  // 0: no checkpoints
  double checkpoint_grace_s = 0;     // that a task needs to write a checkpoint when it is stopped
  std::optional<double> deadline_s;  // after the submission
};

// As users read it.
enum class JobState : uint8_t { kPending = 0, kRunning = 1, kDone = 2, kCancelled = 3 };

// Of a task attempt on a machine.
enum class TaskState : uint8_t {
  kFetching = 0,  // its image
  kRunning = 1,
  kCheckpointing = 2,  // told to stop, and writing its checkpoint
  kExited = 3,
  kWaitingForGang = 4
};

enum class ExitReason : uint8_t {
  kNone = 0,
  kDone = 1,
  kStopped = 2,
  kError = 3,           // also reasons that this version does not know
  kNoRoom = 4,          // refused: the machine has not enough resources
  kInUse = 5,           // refused: another attempt of the task is there
  kUnknown = 6,         // refused: no such job or task
  kGangMemberLost = 7,  // another task of its gang ended
  kGangIncomplete = 8   // its gang did not come together in time
};

// One attempt of a task, as the machine's worker sees it.
struct TaskStatus {
  std::string task_name;  // job id, slash, index: "job-000412/3"
  uint64_t attempt = 0;
  TaskState state = TaskState::kFetching;
  ExitReason exit_reason = ExitReason::kNone;  // of kExited
  bool checkpointed = false;                   // of kExited: a checkpoint was written at the stop
};

// What a worker sends at each interval, and answers probes and commands with. Of two heartbeats of
// a machine the one with the larger (agent_epoch, sequence) is newer.
struct Heartbeat {
  std::string machine;
  std::string endpoint;  // where the worker takes direct requests
  std::string type;
  std::string zone;
  bool spot = false;
  uint64_t agent_epoch = 0;    // starts at 1, raised each time the worker's lease expires
  uint64_t sequence = 0;       // within the epoch
  uint64_t fencing_token = 0;  // the highest that the worker has seen
  std::optional<double> preemption_notice_s;  // until the cloud takes the machine
  std::vector<TaskStatus> tasks;
};

// kAcknowledgeExit: the worker may forget the exited attempt.
enum class CommandOp : uint8_t { kStart = 0, kStop = 1, kAcknowledgeExit = 2 };

// What a worker is told to do with one attempt.
struct Command {
  CommandOp operation = CommandOp::kStart;
  std::string task_name;
  uint64_t attempt = 0;
  double grace_period_s = 0;  // of kStop: for a checkpoint
};

// The response to a heartbeat. 200 renews the worker's lease and carries commands under the fencing
// token; 421 sends it to another controller; 503 asks it to try again or elsewhere.
struct HeartbeatResponse {
  int status = 503;
  uint64_t fencing_token = 0;
  std::string redirect_to;  // with 421: the leader's label; empty: unknown
  std::vector<Command> commands;
};

enum class JobOperation : uint8_t { kGet = 0, kCancel = 1, kSubmit = 2 };

// A user's request about one job. Requests are idempotent.
struct JobRequest {
  JobOperation operation = JobOperation::kGet;
  std::string job_id;
  std::string validation_error;  // of kSubmit: why the body is no valid job; empty: it is
  JobSpec job;                   // of kSubmit
};

// `status` is an HTTP status; with 200 and 201 the state and counts hold, else the error.
struct JobResponse {
  int status = 503;
  JobState state = JobState::kPending;
  uint32_t tasks_done = 0;
  uint32_t tasks_running = 0;
  std::string error;
  int retry_after_s = 0;  // with 503
};

// 503: the request can't be served now. `why` is shown to the user.
inline JobResponse UnavailableResponse(const char* why, int retry_after_s = 1) {
  JobResponse response;
  response.status = 503;
  response.error = why;
  response.retry_after_s = retry_after_s;
  return response;
}

// A machine type that the cloud offers.
struct MachineType {
  std::string name;
  double cores = 0;
  double gpus = 0;
  double memory_gb = 0;
  double cache_gb = 0;        // for images
  double fetch_gb_per_s = 0;  // shared by concurrent fetches
  double price = 0;
  double spot_price = 0;
  double boot_s = 0;  // nominal
  std::vector<std::string> zones;
};

enum class InstanceState : uint8_t { kStarting = 0, kRunning = 1, kFailed = 2 };

// A machine as the cloud lists it; the list may lag.
struct CloudInstance {
  std::string name;
  std::string endpoint;
  std::string type;
  std::string zone;
  bool spot = false;
  InstanceState state = InstanceState::kStarting;
  double age_s = 0;
};

}  // namespace deckhall
