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
  uint32_t tasks = 0;
  double cores = 0;
  double gpus = 0;
  double memory_gb = 0;
  std::string image;
  double image_gb = 0;
  std::optional<std::vector<std::string>> types;  // none: any type
  std::string zone;                               // empty: any zone
  bool one_zone = false;
  bool apart = false;
  bool spot = false;
  double estimate_s = 0;
  double checkpoint_s = 0;
  double save_s = 0;
  std::optional<double> deadline_s;
};

enum class JobState : uint8_t { kPending = 0, kRunning = 1, kDone = 2, kCancelled = 3 };

enum class TaskState : uint8_t {
  kFetching = 0,
  kRunning = 1,
  kSaving = 2,
  kExited = 3,
  kGathering = 4
};

enum class ExitWhy : uint8_t {
  kNone = 0,
  kDone = 1,
  kStopped = 2,
  kError = 3,
  kNoRoom = 4,
  kInUse = 5,
  kUnknown = 6,
  kPeers = 7,      // another task of its gang ended
  kIncomplete = 8  // its gang did not come together in time
};

struct TaskReport {
  std::string task;  // "job-000412/3"
  uint64_t attempt = 0;
  TaskState state = TaskState::kFetching;
  ExitWhy why = ExitWhy::kNone;
  bool saved = false;
};

struct Report {
  std::string machine;
  std::string endpoint;
  std::string type;
  std::string zone;
  bool spot = false;
  uint64_t session = 0;
  uint64_t seq = 0;
  uint64_t token = 0;
  std::optional<double> notice_s;
  std::vector<TaskReport> tasks;
};

enum class CommandOp : uint8_t { kStart = 0, kStop = 1, kForget = 2 };

struct Command {
  CommandOp op = CommandOp::kStart;
  std::string task;
  uint64_t attempt = 0;
  double grace_s = 0;
};

// Answer to a worker's report.
struct ReportResponse {
  int status = 503;
  uint64_t token = 0;
  std::string report_to;  // with 421
  std::vector<Command> commands;
};

enum class UserOp : uint8_t { kGet = 0, kCancel = 1, kSubmit = 2 };

struct UserRequest {
  UserOp op = UserOp::kGet;
  std::string id;
  std::string invalid;  // submit: why the body is no valid job; empty when it is
  JobSpec job;
};

struct UserResponse {
  int status = 503;
  JobState state = JobState::kPending;
  uint32_t done = 0;
  uint32_t running = 0;
  std::string error;
  int retry_after_s = 0;
};

// 503: the request can't be served now; the user is told when to come back.
inline UserResponse Unavailable(const char* why, int retry_after_s = 1) {
  UserResponse response;
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

enum class ListedState : uint8_t { kStarting = 0, kRunning = 1, kFailed = 2 };

struct ListedMachine {
  std::string name;
  std::string endpoint;
  std::string type;
  std::string zone;
  bool spot = false;
  ListedState state = ListedState::kStarting;
  double age_s = 0;
};

}  // namespace deckhall
