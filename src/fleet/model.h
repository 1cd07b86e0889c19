// The leader's picture: jobs, tasks, machines and what is on them. Names were
// mapped to dense indices at the door.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "state/row_store.h"
#include "wire/types.h"

namespace deckhall {

using JobIdx = uint32_t;
using MachIdx = uint32_t;
constexpr uint32_t kNone = UINT32_MAX;

// Gives each name its index, in order of first appearance.
class Names {
 public:
  uint32_t Add(const std::string& name) {
    auto [it, fresh] = index_.emplace(name, static_cast<uint32_t>(names_.size()));
    if (fresh) names_.push_back(name);
    return it->second;
  }
  uint32_t Find(const std::string& name) const {
    auto it = index_.find(name);
    return it == index_.end() ? kNone : it->second;
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
  kUnseen,  // after a takeover: may be on a machine that is not accounted for
  kPlaced,
  kDone
};

struct Task {
  TaskPhase phase = TaskPhase::kWaiting;
  uint8_t fails = 0;
  uint32_t machine = kNone;
  uint64_t attempt = 0;
};

enum class JobLife : uint8_t { kLive, kDone, kCancelled };

struct Job {
  std::string id;
  JobSpec spec;
  JobLife life = JobLife::kLive;
  bool full = false;  // has its spec and tasks
  uint32_t team = kNone;
  uint32_t image = kNone;
  uint32_t job_class = kNone;
  uint32_t zone = kNone;  // the only allowed zone
  double submitted_wall = 0;
  double ended_at = -1;     // steady time at which it was done or cancelled
  std::vector<char> types;  // allowed machine types by index; empty: any
  std::vector<Task> tasks;
  std::vector<uint32_t> waiting;  // stack of waiting tasks
  std::vector<uint32_t> on;       // machines its attempts take room on, one entry each
  uint32_t attempts = 0;          // all its attempts on machines, ended ones included
  uint32_t unseen = 0;
  uint32_t placed = 0;
  uint32_t done = 0;
  uint32_t running = 0;  // seen running
  RowId row = kNoRow;
  std::vector<RowId> chunks;      // further rows of finished tasks
  bool acknowledged = false;      // accepted durably
  bool end_acknowledged = false;  // its end is durable; stays true when its row is rewritten
  bool from_store = false;        // accepted in an earlier term

  // Ranking.
  double left = 0;    // core-seconds left in the imagined run
  double finish = 0;  // when the imagined run completes it
  uint32_t rank = 0;  // among the arrays; 0 goes first
  double saved_left = -1;
  bool guaranteed = false;

  // Failures without a success between, and the machines they were on.
  uint32_t fail_streak = 0;
  double failed_at = -1e9;  // the last of them
  std::vector<uint32_t> failed_on;
  double backoff_until = 0;
  double waiting_since = 0;
  double starved_since = 0;  // none of its tasks was placed since; see Ranking

  // Of a gang: its present attempt, see GangKeeper.
  uint64_t gang_attempt = 0;
  double gathering_since = 0;
  bool gang_started = false;  // a task of the attempt was seen running or saving
  bool gang_broken = false;   // a task of the attempt ended or failed: it can't complete
};

// One attempt that is, may be, or was on a machine until it is cleared there.
struct PlacedAttempt {
  JobIdx job = kNone;
  uint32_t task = 0;
  uint64_t attempt = 0;
  std::string name;  // "job-000412/3"
  bool keep = true;  // false: it shall go
  double grace_s = 0;
  double stop_sent = -1e9;
  double stop_first = -1;
  uint64_t launch_token = 0;  // of the last launch sent; 0: none
  bool seen = false;
  TaskState state = TaskState::kFetching;
  ExitReason why = ExitReason::kNone;
  bool gone = false;  // exited; no longer takes room
  double launched_at = 0;
  double running_since = -1;
  bool service = false;
  bool preemptible = false;  // an array's task that gives way to replicas
  bool passed = false;       // its job went first since it had been passed over for long
  // What it takes, and from whose limit.
  uint32_t team = kNone;
  double cores = 0;
  double gpus = 0;
  double memory_gb = 0;
};

struct Machine {
  std::string name;
  std::string endpoint;
  uint32_t type = kNone;
  uint32_t zone = kNone;
  RowId row = kNoRow;

  // What it is and does, as flags.
  bool spot = false;
  bool up = false;         // has reported
  bool accounted = false;  // nothing unknown can be on it
  bool may_hold = false;   // an earlier leader may have started tasks on it
  bool gone = false;
  bool returning = false;
  bool return_sent = false;
  bool drain = false;           // takes no new tasks
  bool emptying = false;        // its replicas move elsewhere, then it goes back
  bool cordoned = false;        // a drain names it: takes no new tasks
  bool drained = false;         // a drain names it, and wants it returned once it is empty
  bool listed = false;          // the state service, the cloud or a rental named it
  bool suspect = false;         // said something that does not fit: ask it soon
  bool taking_back = false;     // unanswered_since is being withdrawn
  bool cut = false;             // silent in a zone that is cut off: rather alive than lost
  bool do_busy = false;         // a direct command is on its way
  bool probing = false;         // a probe is on its way
  bool marked_changed = false;  // waits to be looked at, see Fleet::TakeChanged
  bool stale = true;            // the picture of its free room is out of date

  int fails = 0;  // probes that failed since failing_since
  int do_fails = 0;
  int probe_fails = 0;
  int sick_count = 0;
  int task_fails = 0;  // since the last success

  uint64_t session = 1;
  uint64_t seq = 0;
  uint64_t token = 0;  // the one to give commands with
  uint64_t seen_token = 0;

  // Times of this controller's steady clock, in seconds.
  double emptying_since = 0;
  double moved_at = -1e9;     // last replica told to move
  double failing_since = -1;  // first probe unanswered since it last showed that it hears
  double hears_at = -1e9;     // it last showed that it hears
  double known_at = 0;        // first heard of, in this term
  double up_at = -1;
  double heard_at = -1e9;     // last report or answer
  double answered_at = -1e9;  // last report we answered with 200
  double notice_until = -1;   // the cloud takes it away
  double do_after = 0;        // no direct command before
  double probe_after = 0;
  double no_room_until = 0;
  double sick_until = 0;
  double idle_since = -1;

  double rented_wall = 0;  // time of day
  // Time of day since which surely nobody answered its reports; negative: not said. It is
  // in the row, so that a later leader knows when the lease ends; no report is answered
  // before it is taken back.
  double unanswered_since = -1;

  std::vector<uint32_t> images;  // likely cached
  std::vector<PlacedAttempt> attempts;
  // Sums over the attempts that take room.
  uint32_t busy = 0;
  double used_cores = 0;
  double used_gpus = 0;
  double used_memory = 0;
  double service_cores = 0;
  double lent_cores = 0;
};

}  // namespace deckhall
