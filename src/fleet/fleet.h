// Machines and the attempts on them: what is wanted there, what was seen there,
// and the commands that make up the difference.
#pragma once

#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "fleet/model.h"
#include "net/clock.h"
#include "state/job_book.h"

namespace deckhall {

struct FleetOptions {
  double lease_s = 30;
  double former_grace_s = 20;  // how long a former leader may go on answering reports
  double drift = 0.002;
  double wall_bound_s = 1;  // how far clocks may be from the true time of day
};

// Tokens and attempts carry the term in their high bits.
constexpr int kTermShift = 24;
inline uint64_t TermOf(uint64_t token) { return token >> kTermShift; }

// Session and number of a machine's message; a larger one is newer.
struct Stamp {
  uint64_t session = 0;
  uint64_t seq = 0;
};

struct Use {
  double cores = 0;
  double gpus = 0;
};

// Is told what may disturb users' work, as it happens.
class DisruptionObserver {
 public:
  virtual ~DisruptionObserver() = default;
  // The condition of a replica may have changed.
  virtual void ReplicaChanged(JobIdx j, uint32_t task) = 0;
  // A task of an array that has not ended was lost or told to stop.
  virtual void ArrayTaskStopped(JobIdx j) = 0;
  // A job was accepted, or is over.
  virtual void JobChanged(JobIdx j) = 0;
};

class Fleet {
 public:
  Fleet(JobBook* book, const Clock* clock, uint64_t term, FleetOptions options);

  MachIdx Find(const std::string& name) const;
  MachIdx Add(const std::string& name);
  Machine& operator[](MachIdx m) { return machines_[m]; }
  const Machine& operator[](MachIdx m) const { return machines_[m]; }
  uint32_t size() const { return static_cast<uint32_t>(machines_.size()); }
  // Those that are not gone, in the order they became known.
  const std::vector<MachIdx>& active() const { return active_; }

  // Takes in a report or a command's answer. False when it is older than what is
  // known already.
  bool Process(MachIdx m, const Heartbeat& report);
  // The same for an answer to a question asked when `asked` was the newest known:
  // shows that the machine hears, and whether its worker began anew meanwhile.
  void Answered(MachIdx m, const Heartbeat& report, Stamp asked);
  Stamp StampOf(MachIdx m) const { return {machines_[m].session, machines_[m].seq}; }
  // A question stayed unanswered.
  void ProbeFailed(MachIdx m);
  // Has shown that it heard the token it would get commands with.
  static bool Hears(const Machine& m) { return m.seen_token >= m.token; }
  // Has shown a token of this term: a former leader's answers don't reach it any more.
  bool Ours(const Machine& m) const { return TermOf(m.seen_token) == term_; }
  // Puts a task there; the launch goes out with the next commands.
  void Place(MachIdx m, JobIdx job, uint32_t task, uint64_t attempt, bool passed = false);
  // A number never used for an attempt before.
  uint64_t NewAttempt() { return next_attempt_++; }
  // The attempt, if it is there and was not cleared; null otherwise.
  PlacedAttempt* AttemptOf(MachIdx m, JobIdx j, uint32_t task, uint64_t attempt);
  // Wants the slot gone.
  void Unwant(MachIdx m, PlacedAttempt* slot, double grace_s);
  void UnwantJob(JobIdx job);
  // What to tell the machine now. Launches only if `launch`.
  std::vector<Command> Commands(MachIdx m, bool launch);
  // The stops alone, told before or not: an earlier one may be lost on its way.
  std::vector<Command> Stops(MachIdx m);
  // Stops for what the report lists of jobs that are over, whoever started it.
  std::vector<Command> StopsOfEnded(const Heartbeat& report) const;
  // True when there is something to tell it.
  bool HasCommands(MachIdx m, bool launch) const;
  // An answer to a command is missing: what was sent may still come.
  void Unanswered(MachIdx m);
  // Nothing is on it any more.
  void LoseAll(MachIdx m, const char* why);
  void MarkGone(MachIdx m, const char* why);
  // Machines that an earlier leader's tasks may be on, not accounted for yet.
  uint32_t Unaccounted() const;
  void Account(MachIdx m);
  // The lease surely ran out: whatever was on it was killed by the worker.
  bool LeaseOver(const Machine& m, double now, double term_began) const;

  // What the tasks of each team take, by the team's index.
  const std::vector<Use>& team_use() const { return team_use_; }
  // Machines about which something changed: each is handed out once.
  bool TakeChanged(MachIdx* m);
  void MarkChanged(MachIdx m);
  // The picture of every machine's room is out of date.
  void AllStale();

  // A task ended; `slot.why` tells how. Called after the books were changed.
  std::function<void(MachIdx, const PlacedAttempt&)> on_exit;
  // A machine that an earlier leader used is accounted for.
  std::function<void()> on_accounted = [] {};
  // May be null.
  DisruptionObserver* observer = nullptr;
  // Something changed that the placer should look at.
  bool changed = false;

 private:
  PlacedAttempt* FindAttempt(Machine& m, const TaskStatus& t);
  void Adopt(MachIdx m, const TaskStatus& t);
  void Apply(MachIdx m, PlacedAttempt* slot, const TaskStatus& t);
  void Exited(MachIdx m, PlacedAttempt* slot);
  void FreeTask(MachIdx m, const PlacedAttempt& slot);
  void RecountRunning(PlacedAttempt* slot, bool now_running);
  bool MayForget(const PlacedAttempt& slot) const;
  // What was not seen of a job that is done is not to be launched again.
  void UnwantUnseen(JobIdx job);
  PlacedAttempt& AddAttempt(MachIdx m, PlacedAttempt slot);
  // The slot takes no room any more.
  void Vacate(MachIdx m, PlacedAttempt* slot);
  void EraseAttempt(MachIdx m, size_t at);
  Command StopOf(PlacedAttempt* slot) const;
  void Changed(MachIdx m);
  // Tells the observer that the attempt's condition changed, or that it was ended early.
  void NoteChange(const PlacedAttempt& slot);
  void NoteEarlyEnd(const PlacedAttempt& slot);
  void BeganAnew(MachIdx m, const Heartbeat& report);

  JobBook* book_;
  const Clock* clock_;
  uint64_t term_;
  FleetOptions options_;
  std::vector<Machine> machines_;
  std::vector<MachIdx> active_;
  std::deque<MachIdx> touched_;
  std::vector<Use> team_use_;
  std::unordered_map<std::string, MachIdx> index_;
  uint64_t next_attempt_;
};

}  // namespace deckhall
