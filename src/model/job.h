// A job, its tasks, and the scheduling state of the job.
//
// Owned by JobStore, which keeps the counters below consistent with the phases of the tasks and
// writes the durable part as a record. A job is never removed; some time after its end its spec
// and tasks are dropped.
//
// Fields ending in `_at`, `_since` and `_until` are in seconds of this controller's steady clock;
// fields ending in `_wall` are wall-clock times, in seconds since the epoch.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "model/name_index.h"
#include "model/record_id.h"
#include "model/task.h"
#include "wire/types.h"

namespace deckhall {

enum class JobLifecycle : uint8_t { kActive, kDone, kCancelled };

struct Job {
  // Identity and specification.
  std::string id;
  JobSpec spec;
  JobLifecycle lifecycle = JobLifecycle::kActive;
  bool has_spec = false;              // `spec` and `tasks` have not been dropped
  uint32_t team = kNoIndex;           // in JobStore::teams
  uint32_t image = kNoIndex;          // in JobStore::images
  uint32_t job_class = kNoIndex;      // in JobStore::classes
  uint32_t required_zone = kNoIndex;  // in JobStore::zones; any zone if kNoIndex
  std::vector<char> allowed_types;    // by index in JobStore::types; any type if empty
  double submitted_wall = 0;
  double ended_at = -1;  // when it was done or cancelled; negative if active

  // Tasks, and their counts by phase.
  std::vector<Task> tasks;
  std::vector<uint32_t> waiting_tasks;  // task indices, used as a stack
  uint32_t tasks_unreconciled = 0;
  uint32_t tasks_placed = 0;
  uint32_t tasks_done = 0;
  uint32_t tasks_running = 0;  // reported as running by an agent

  // Attempts on machines.
  std::vector<uint32_t> machines;  // one entry per attempt that holds resources
  uint32_t attempt_count = 0;      // includes exited attempts whose exit is not acknowledged

  // Durability.
  RecordId record_id = kNoRecord;
  std::vector<RecordId> chunk_record_ids;  // records of finished tasks beyond the first chunk
  bool acknowledged = false;               // its acceptance is durable
  bool end_acknowledged = false;           // its end is durable; never reset by a later write
  bool accepted_in_earlier_term = false;

  // Ranking. Arrays are ordered by their finish time in an idealized fair-share schedule.
  double remaining_core_seconds = 0;          // work left in that schedule
  double virtual_finish_time = 0;             // its finish time in that schedule
  uint32_t rank = 0;                          // position among the arrays; 0 is first
  double stored_remaining_core_seconds = -1;  // value in its record; negative if not stored
  bool guaranteed = false;                    // within the guaranteed resources of its team

  // Failures since the last success, and the resulting backoff.
  uint32_t consecutive_failures = 0;
  double last_failure_at = -1e9;
  std::vector<uint32_t> failed_machines;  // indices of the machines on which they occurred
  double backoff_until = 0;

  // Waiting.
  double waiting_since = 0;  // when the first of its waiting tasks began to wait
  double starved_since = 0;  // no task has been placed since; see Ranking

  // Gang scheduling: the current attempt of the whole gang. See GangSupervisor.
  uint64_t gang_attempt = 0;      // number shared by its task attempts; 0 if none
  double gang_waiting_since = 0;  // when the attempt was placed
  bool gang_started = false;      // one of its tasks was reported as running or checkpointing
  bool gang_broken = false;       // one of its tasks exited without success; it can't complete
};

}  // namespace deckhall
