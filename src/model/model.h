// The leader's picture: jobs, tasks, machines and what is on them. Names were
// mapped to dense indices at the door.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "state/record_store.h"
#include "wire/types.h"

namespace deckhall {

using JobIndex = uint32_t;
using MachineIndex = uint32_t;
constexpr uint32_t kNoIndex = UINT32_MAX;

// Gives each name its index, in order of first appearance.
class NameIndex {
 public:
  uint32_t Add(const std::string& name) {
    auto [it, fresh] = index_.emplace(name, static_cast<uint32_t>(names_.size()));
    if (fresh) names_.push_back(name);
    return it->second;
  }
  uint32_t Find(const std::string& name) const {
    auto it = index_.find(name);
    return it == index_.end() ? kNoIndex : it->second;
  }
  const std::string& operator[](uint32_t i) const { return names_[i]; }
  uint32_t size() const { return static_cast<uint32_t>(names_.size()); }

 private:
  std::unordered_map<std::string, uint32_t> index_;
  std::vector<std::string> names_;
};

struct Team {
  std::string name;
  double cores = 0;      // guaranteed; 0: none
  double cores_max = 0;  // 0: no limit
  double gpus = 0;
  double gpus_max = 0;
};

enum class TaskPhase : uint8_t {
  kWaiting,
  kUnreconciled,  // after a takeover: may be on a machine that is not accounted for
  kPlaced,
  kDone
};

struct Task {
  TaskPhase phase = TaskPhase::kWaiting;
  uint8_t failures = 0;
  uint32_t machine = kNoIndex;
  uint64_t attempt = 0;
};

enum class JobLifecycle : uint8_t { kActive, kDone, kCancelled };

struct Job {
  std::string id;
  JobSpec spec;
  JobLifecycle lifecycle = JobLifecycle::kActive;
  bool has_spec = false;  // has its spec and tasks
  uint32_t team = kNoIndex;
  uint32_t image = kNoIndex;
  uint32_t job_class = kNoIndex;
  uint32_t required_zone = kNoIndex;  // the only allowed zone
  double submitted_wall = 0;
  double ended_at = -1;             // steady time at which it was done or cancelled
  std::vector<char> allowed_types;  // allowed machine types by index; empty: any
  std::vector<Task> tasks;
  std::vector<uint32_t> waiting_tasks;  // stack of waiting tasks
  std::vector<uint32_t> machines;       // machines its attempts take room on, one entry each
  uint32_t attempt_count = 0;           // all its attempts on machines, ended ones included
  uint32_t tasks_unreconciled = 0;
  uint32_t tasks_placed = 0;
  uint32_t tasks_done = 0;
  uint32_t tasks_running = 0;  // seen running
  RecordId record_id = kNoRecord;
  std::vector<RecordId> chunk_record_ids;  // further rows of finished tasks
  bool acknowledged = false;               // accepted durably
  bool end_acknowledged = false;  // its end is durable; stays true when its row is rewritten
  bool accepted_in_earlier_term = false;  // accepted in an earlier term

  // Ranking.
  double remaining_core_seconds = 0;  // core-seconds left in the imagined run
  double virtual_finish_time = 0;     // when the imagined run completes it
  uint32_t rank = 0;                  // among the arrays; 0 goes first
  double stored_remaining_core_seconds = -1;
  bool guaranteed = false;

  // Failures without a success between, and the machines they were on.
  uint32_t consecutive_failures = 0;
  double last_failure_at = -1e9;  // the last of them
  std::vector<uint32_t> failed_machines;
  double backoff_until = 0;
  double waiting_since = 0;
  double starved_since = 0;  // none of its tasks was placed since; see Ranking

  // Of a gang: its present attempt, see GangSupervisor.
  uint64_t gang_attempt = 0;
  double gang_waiting_since = 0;
  bool gang_started = false;  // a task of the attempt was seen running or saving
  bool gang_broken = false;   // a task of the attempt ended or failed: it can't complete
};

// One attempt that is, may be, or was on a machine until it is cleared there.
struct TaskAttempt {
  JobIndex job = kNoIndex;
  uint32_t task_index = 0;
  uint64_t number = 0;
  std::string task_name;  // "job-000412/3"
  bool wanted = true;     // false: it shall go
  double grace_period_s = 0;
  double stop_sent_at = -1e9;
  double first_stop_sent_at = -1;
  uint64_t launch_fencing_token = 0;  // of the last launch sent; 0: none
  bool reported = false;
  TaskState state = TaskState::kFetching;
  ExitReason exit_reason = ExitReason::kNone;
  bool released = false;  // exited; no longer takes room
  double launched_at = 0;
  double running_since = -1;
  bool service = false;
  bool preemptible = false;      // an array's task that gives way to replicas
  bool placed_by_aging = false;  // its job went first since it had been passed over for long
  // What it takes, and from whose limit.
  uint32_t team = kNoIndex;
  double cores = 0;
  double gpus = 0;
  double memory_gb = 0;
};

struct Machine {
  std::string name;
  std::string endpoint;
  uint32_t type = kNoIndex;
  uint32_t zone = kNoIndex;
  RecordId record_id = kNoRecord;

  // What it is and does, as flags.
  bool spot = false;
  bool up = false;                       // has reported
  bool reconciled = false;               // nothing unknown can be on it
  bool may_run_former_attempts = false;  // an earlier leader may have started tasks on it
  bool removed = false;
  bool scaling_in = false;
  bool return_sent = false;
  bool unschedulable = false;        // takes no new tasks
  bool consolidating = false;        // its replicas move elsewhere, then it goes back
  bool cordoned = false;             // a drain names it: takes no new tasks
  bool scale_in_when_empty = false;  // a drain names it, and wants it returned once it is empty
  bool registered = false;           // the state service, the cloud or a rental named it
  bool suspected = false;            // said something that does not fit: ask it soon
  bool withdrawing_expiry_bound = false;  // unanswered_since is being withdrawn
  bool partitioned = false;        // silent in a zone that is cut off: rather alive than lost
  bool command_in_flight = false;  // a direct command is on its way
  bool probe_in_flight = false;    // a probe is on its way
  bool queued_for_update = false;  // waits to be looked at, see Fleet::PopChanged
  bool capacity_stale = true;      // the picture of its free room is out of date

  int unreachable_count = 0;  // probes that failed since failing_since
  int command_failures = 0;
  int probe_failures = 0;
  int quarantine_count = 0;
  int task_failures = 0;  // since the last success

  uint64_t agent_epoch = 1;
  uint64_t sequence = 0;
  uint64_t fencing_token = 0;  // the one to give commands with
  uint64_t acknowledged_token = 0;

  // Times of this controller's steady clock, in seconds.
  double consolidating_since = 0;
  double last_move_at = -1e9;          // last replica told to move
  double unreachable_since = -1;       // first probe unanswered since it last showed that it hears
  double last_acknowledged_at = -1e9;  // it last showed that it hears
  double discovered_at = 0;            // first heard of, in this term
  double up_at = -1;
  double last_heard_at = -1e9;       // last report or answer
  double lease_renewed_at = -1e9;    // last report we answered with 200
  double preemption_at = -1;         // the cloud takes it away
  double command_backoff_until = 0;  // no direct command before
  double probe_backoff_until = 0;
  double no_room_until = 0;
  double quarantined_until = 0;
  double idle_since = -1;

  double provisioned_at_wall = 0;  // time of day
  // Time of day since which surely nobody answered its reports; negative: not said. It is
  // in the row, so that a later leader knows when the lease ends; no report is answered
  // before it is taken back.
  double unrenewed_since_wall = -1;

  std::vector<uint32_t> cached_images;  // likely cached
  std::vector<TaskAttempt> attempts;
  // Sums over the attempts that take room.
  uint32_t active_attempts = 0;
  double used_cores = 0;
  double used_gpus = 0;
  double used_memory_gb = 0;
  double service_cores = 0;
  double preemptible_cores = 0;
};

}  // namespace deckhall
