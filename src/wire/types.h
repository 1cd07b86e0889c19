// Types of the messages that deckhall exchanges with users, workers and the cloud (PROTOCOL).
//
// Plain data; its only invariants are those stated below. The codecs in this directory map the
// field names on the wire to these names and validate incoming messages. Durations are in seconds,
// memory and image sizes in gigabytes, prices per hour.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/command_batch.h"

namespace deckhall {

// Priority of a job. A job may preempt jobs of lower priority.
enum class Priority : uint8_t { kIdle = 0, kNormal = 1, kUrgent = 2, kProduction = 3 };

// A job as its user submitted it: a service (its replicas run until the job is cancelled), a gang
// (all tasks run at the same time), or otherwise an array of independent tasks.
struct JobSpec {
  std::string id;  // "job-" and digits
  std::string job_class;
  std::string team;
  bool service = false;
  bool gang = false;
  Priority priority = Priority::kNormal;
  uint32_t task_count = 0;
  // Resources of one task.
  double cores = 0;
  double gpus = 0;
  double memory_gb = 0;
  std::string image;
  double image_gb = 0;
  // Placement constraints.
  std::optional<std::vector<std::string>> allowed_types;  // any machine type if unset
  std::string zone;                                       // any zone if empty
  bool single_zone = false;                               // all tasks in one zone
  bool anti_affinity = false;                             // at most half of the tasks in one zone
  bool spot_tolerant = false;                             // may run on spot machines
  // Durations.
  double estimated_runtime_s = 0;    // of one task; 0 for services
  double checkpoint_interval_s = 0;  // 0 without checkpoints
  double checkpoint_grace_s = 0;     // to write a checkpoint when a task is stopped
  std::optional<double> deadline_s;  // measured from the submission
};

// State of a job as shown to users.
enum class JobState : uint8_t { kPending = 0, kRunning = 1, kDone = 2, kCancelled = 3 };

// State of a task attempt on a machine.
enum class TaskState : uint8_t {
  kFetching = 0,  // the image is being fetched
  kRunning = 1,
  kCheckpointing = 2,  // stopping; the checkpoint is being written
  kExited = 3,
  kWaitingForGang = 4
};

enum class ExitReason : uint8_t {
  kNone = 0,
  kDone = 1,
  kStopped = 2,
  kError = 3,                 // also stands for reasons unknown to this version
  kInsufficientCapacity = 4,  // refused: the free resources are insufficient
  kAttemptConflict = 5,       // refused: another attempt of the task is present
  kUnknownTask = 6,           // refused: no such job or task
  kGangMemberLost = 7,        // another task of its gang ended
  kGangIncomplete = 8         // its gang was not complete in time
};

// State of one task attempt, as reported by the machine's worker.
struct TaskStatus {
  std::string task_name;  // job id, slash, index: "job-000412/3"
  uint64_t attempt = 0;
  TaskState state = TaskState::kFetching;
  ExitReason exit_reason = ExitReason::kNone;  // only with kExited
  bool checkpointed = false;                   // only with kExited: a checkpoint was written
};

// Sent by a worker at each interval, and as its response to probes and commands. Of two heartbeats
// from one machine, the one with the larger (agent_epoch, sequence) is newer.
struct Heartbeat {
  std::string machine;
  std::string endpoint;  // where the worker accepts requests
  std::string type;
  std::string zone;
  bool spot = false;
  uint64_t agent_epoch = 0;    // starts at 1; incremented each time the worker's lease expires
  uint64_t sequence = 0;       // within the agent epoch
  uint64_t fencing_token = 0;  // the highest seen by the worker
  std::optional<double> preemption_notice_s;  // time until the cloud reclaims the machine
  std::vector<TaskStatus> tasks;
};

// Response to a heartbeat. 200 renews the worker's lease and carries commands under the fencing
// token, 421 redirects the worker to another controller, and 503 asks it to retry here or
// elsewhere.
struct HeartbeatResponse {
  int status = 503;
  uint64_t fencing_token = 0;
  std::string redirect_to;  // with 421: the leader's label, empty if unknown
  CommandBatch commands;
};

enum class JobOperation : uint8_t { kGet = 0, kCancel = 1, kSubmit = 2 };

// A user's request about one job. Requests are idempotent.
struct JobRequest {
  JobOperation operation = JobOperation::kGet;
  std::string job_id;
  std::string validation_error;  // only with kSubmit: the fault in the body, empty if valid
  JobSpec job;                   // only with kSubmit
};

// Response to a JobRequest. `status` is an HTTP status code. The state and the counts are set with
// 200 and 201, the error with all others.
struct JobResponse {
  int status = 503;
  JobState state = JobState::kPending;
  uint32_t tasks_done = 0;
  uint32_t tasks_running = 0;
  std::string error;
  int retry_after_s = 0;  // with 503
};

// Response 503: the request cannot be served at present. `reason` is shown to the user.
inline JobResponse UnavailableResponse(const char* reason, int retry_after_s = 1) {
  JobResponse response;
  response.status = 503;
  response.error = reason;
  response.retry_after_s = retry_after_s;
  return response;
}

// Machine type offered by the cloud.
struct MachineType {
  std::string name;
  double cores = 0;
  double gpus = 0;
  double memory_gb = 0;
  double cache_gb = 0;        // image cache
  double fetch_gb_per_s = 0;  // bandwidth shared by concurrent image fetches
  double price = 0;
  double spot_price = 0;
  double boot_s = 0;  // nominal
  std::vector<std::string> zones;
};

enum class InstanceState : uint8_t { kStarting = 0, kRunning = 1, kFailed = 2 };

// Machine as listed by the cloud. The list may be stale.
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
