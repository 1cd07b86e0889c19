// What deckhall exchanges with the outside, in its own words. The names used on
// the wire appear only in the codecs next to this file.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace deckhall {

enum class Priority : uint8_t { kIdle = 0, kNormal = 1, kUrgent = 2, kProduction = 3 };

struct JobSpec {
  std::string id;
  std::string job_class;
  std::string team;
  bool service = false;
  bool gang = false;  // all its tasks run at the same time
  Priority priority = Priority::kNormal;
  uint32_t task_count = 0;
  double cores = 0;
  double gpus = 0;
  double memory_gb = 0;
  std::string image;
  double image_gb = 0;
  std::optional<std::vector<std::string>> allowed_types;  // none: any type
  std::string zone;                                       // empty: any zone
  bool single_zone = false;
  bool anti_affinity = false;
  bool spot_tolerant = false;
  double estimated_runtime_s = 0;
  double checkpoint_interval_s = 0;
  double checkpoint_grace_s = 0;
  std::optional<double> deadline_s;
};

enum class JobState : uint8_t { kPending = 0, kRunning = 1, kDone = 2, kCancelled = 3 };

enum class TaskState : uint8_t {
  kFetching = 0,
  kRunning = 1,
  kCheckpointing = 2,
  kExited = 3,
  kWaitingForGang = 4
};

enum class ExitReason : uint8_t {
  kNone = 0,
  kDone = 1,
  kStopped = 2,
  kError = 3,
  kNoRoom = 4,
  kInUse = 5,
  kUnknown = 6,
  kGangMemberLost = 7,  // another task of its gang ended
  kGangIncomplete = 8   // its gang did not come together in time
};

struct TaskStatus {
  std::string task_name;  // "job-000412/3"
  uint64_t attempt = 0;
  TaskState state = TaskState::kFetching;
  ExitReason exit_reason = ExitReason::kNone;
  bool checkpointed = false;
};

struct Heartbeat {
  std::string machine;
  std::string endpoint;
  std::string type;
  std::string zone;
  bool spot = false;
  uint64_t agent_epoch = 0;
  uint64_t sequence = 0;
  uint64_t fencing_token = 0;
  std::optional<double> preemption_notice_s;
  std::vector<TaskStatus> tasks;
};

enum class CommandOp : uint8_t { kStart = 0, kStop = 1, kAcknowledgeExit = 2 };

struct Command {
  CommandOp operation = CommandOp::kStart;
  std::string task_name;
  uint64_t attempt = 0;
  double grace_period_s = 0;
};

// Answer to a worker's report.
struct HeartbeatResponse {
  int status = 503;
  uint64_t fencing_token = 0;
  std::string redirect_to;  // with 421
  std::vector<Command> commands;
};

enum class JobOperation : uint8_t { kGet = 0, kCancel = 1, kSubmit = 2 };

struct JobRequest {
  JobOperation operation = JobOperation::kGet;
  std::string job_id;
  std::string validation_error;  // submit: why the body is no valid job; empty when it is
  JobSpec job;
};

struct JobResponse {
  int status = 503;
  JobState state = JobState::kPending;
  uint32_t tasks_done = 0;
  uint32_t tasks_running = 0;
  std::string error;
  int retry_after_s = 0;
};

// 503: the request can't be served now; the user is told when to come back.
inline JobResponse UnavailableResponse(const char* why, int retry_after_s = 1) {
  JobResponse response;
  response.status = 503;
  response.error = why;
  response.retry_after_s = retry_after_s;
  return response;
}

struct MachineType {
  std::string name;
  double cores = 0;
  double gpus = 0;
  double memory_gb = 0;
  double cache_gb = 0;
  double fetch_gb_per_s = 0;
  double price = 0;
  double spot_price = 0;
  double boot_s = 0;
  std::vector<std::string> zones;
};

enum class InstanceState : uint8_t { kStarting = 0, kRunning = 1, kFailed = 2 };

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
