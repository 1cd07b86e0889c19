// One attempt to run a task on one machine: the desired state, the observed state, and the
// resources it holds.
//
// Owned by its Machine, from the placement (or from the first heartbeat that lists an attempt of
// an earlier leader) until it is erased: the agent acknowledged it, lost it, or never can start
// it. It may therefore be running, about to start, or exited. It holds resources until
// `released` is set.
//
// Times are seconds of this controller's steady clock.
#pragma once

#include <cstdint>
#include <string>

#include "model/name_index.h"
#include "wire/types.h"

namespace deckhall {

// In TaskAttempt::stop_sent_at: so long ago that a stop is due at once.
constexpr double kStopNotSentAt = -1e9;

struct TaskAttempt {
  // Identity.
  JobIndex job = kNoIndex;  // kNoIndex: a job this leader does not know
  uint32_t task_index = 0;
  uint64_t number = 0;    // of the attempt; the tasks of a gang share it. See TermOf()
  std::string task_name;  // "job-000412/3"

  // Desired state.
  bool wanted = true;         // false: to be stopped
  double grace_period_s = 0;  // time to checkpoint when it is stopped

  // Commands sent.
  double stop_sent_at = kStopNotSentAt;  // last stop
  double first_stop_sent_at = -1;        // negative: none was sent
  uint64_t launch_fencing_token = 0;     // of the last launch sent; 0: none can be on its way

  // Observed state, as of the last heartbeat that listed it.
  bool reported = false;  // a heartbeat listed it
  TaskState state = TaskState::kFetching;
  ExitReason exit_reason = ExitReason::kNone;
  double launched_at = 0;     // when it was placed or adopted
  double running_since = -1;  // negative: not running

  // Resources held, and the team whose quota they count against.
  bool released = false;  // exited; holds no resources
  uint32_t team = kNoIndex;
  double cores = 0;
  double gpus = 0;
  double memory_gb = 0;

  // Scheduling class.
  bool service = false;
  bool preemptible = false;      // an array's task that may be preempted by replicas
  bool placed_by_aging = false;  // its job went first since it had starved
};

}  // namespace deckhall
