// One attempt to run a task on one machine: the desired state, the observed state, and the
// resources it holds.
//
// Owned by its Machine from its placement, or from the first heartbeat that lists it if an earlier
// leader placed it. Erased once its exit is acknowledged, the agent has lost it, or the agent can
// no longer start it; until then it may be about to start, running, or exited. It holds resources
// until `released` is set.
//
// Times are in seconds of this controller's steady clock.
#pragma once

#include <cstdint>
#include <string>

#include "model/name_index.h"
#include "wire/types.h"

namespace deckhall {

// Value of TaskAttempt::stop_sent_at when no stop was sent: far enough in the past that a stop is
// due at once.
constexpr double kStopNotSentAt = -1e9;
// Value of TaskAttempt::last_command_at when no command was sent.
constexpr double kNoCommandAt = -1e9;

struct TaskAttempt {
  // Identity.
  JobIndex job = kNoIndex;  // kNoIndex if this leader does not know the job
  uint32_t task_index = 0;
  uint64_t number = 0;    // attempt number, shared by the tasks of a gang. See TermOf()
  std::string task_name;  // "job-000412/3"

  // Desired state.
  bool wanted = true;         // false if it is to be stopped
  double grace_period_s = 0;  // time it is given to checkpoint when stopped

  // Commands sent.
  double stop_sent_at = kStopNotSentAt;  // last stop command
  double first_stop_sent_at = -1;        // negative if none was sent
  // Last message with the command that it needs now: its launch, its stop, or the acknowledgement
  // of its exit.
  double last_command_at = kNoCommandAt;
  // Highest token with which a launch of it may have been sent; 0 if none was, or if the agent
  // rejects them all.
  uint64_t launch_fencing_token = 0;

  // Observed state, from the last heartbeat that listed it.
  bool reported = false;  // listed by at least one heartbeat
  TaskState state = TaskState::kFetching;
  ExitReason exit_reason = ExitReason::kNone;
  double launched_at = 0;     // when it was placed or adopted
  double running_since = -1;  // negative if not running

  // Resources held, and the team whose quota they count towards.
  bool released = false;  // holds no resources, as it has exited
  uint32_t team = kNoIndex;
  double cores = 0;
  double gpus = 0;
  double memory_gb = 0;

  // Scheduling class.
  bool service = false;
  bool preemptible = false;      // a task of an array; may be preempted by replicas
  bool placed_by_aging = false;  // its job was placed ahead of its rank since it had starved
};

}  // namespace deckhall
