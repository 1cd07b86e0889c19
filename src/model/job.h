// A job, its tasks, and what the scheduler keeps about it.
//
// Owned by JobStore, which keeps the counts below in step with the phases of the tasks and writes
// the durable part as a record. A job is never removed; some time after its end its spec and
// tasks are dropped.
//
// Fields ending in `_at` and `_since` and `backoff_until` are seconds of this controller's steady
// clock; `_wall` is time of day in seconds since the epoch.
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
  bool has_spec = false;              // `spec` and `tasks` are present
  uint32_t team = kNoIndex;           // in JobStore::teams
  uint32_t image = kNoIndex;          // in JobStore::images
  uint32_t job_class = kNoIndex;      // in JobStore::classes
  uint32_t required_zone = kNoIndex;  // in JobStore::zones; kNoIndex: any zone
  std::vector<char> allowed_types;    // by index in JobStore::types; empty: any type
  double submitted_wall = 0;
  double ended_at = -1;  // when it was done or cancelled; negative: it was not

  // Tasks, and their number by phase.
  std::vector<Task> tasks;
  std::vector<uint32_t> waiting_tasks;  // stack of the indices of waiting tasks
  uint32_t tasks_unreconciled = 0;
  uint32_t tasks_placed = 0;
  uint32_t tasks_done = 0;
  uint32_t tasks_running = 0;  // reported as running

  // Attempts on machines.
  std::vector<uint32_t> machines;  // one entry for each attempt that holds resources
  uint32_t attempt_count = 0;      // includes attempts that exited and are not acknowledged

  // Durability.
  RecordId record_id = kNoRecord;
  std::vector<RecordId> chunk_record_ids;  // further records with the tasks that are done
  bool acknowledged = false;               // accepted durably
  bool end_acknowledged = false;  // its end is durable; stays true when the record is rewritten
  bool accepted_in_earlier_term = false;

  // Ranking. Arrays are ordered by the time at which an ideal fair-sharing run ends them.
  double remaining_core_seconds = 0;          // work left, in that run
  double virtual_finish_time = 0;             // when that run ends it
  uint32_t rank = 0;                          // among the arrays; 0 is first
  double stored_remaining_core_seconds = -1;  // as in its record; negative: not stored
  bool guaranteed = false;                    // within what its team is guaranteed

  // Failures since the last success, and the backoff they cause.
  uint32_t consecutive_failures = 0;
  double last_failure_at = -1e9;
  std::vector<uint32_t> failed_machines;  // indices of the machines they were on
  double backoff_until = 0;

  // Waiting.
  double waiting_since = 0;  // when its first waiting task began to wait
  double starved_since = 0;  // no task was placed since; see Ranking

  // Gang scheduling: the current attempt of the whole gang, see GangSupervisor.
  uint64_t gang_attempt = 0;      // number shared by its task attempts; 0: none
  double gang_waiting_since = 0;  // when the attempt was placed
  bool gang_started = false;      // a task of it was reported as running or checkpointing
  bool gang_broken = false;       // a task of it exited without success: it can't complete
};

}  // namespace deckhall
