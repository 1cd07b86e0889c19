// Machines and the attempts on them: what is wanted there, what was seen there,
// and the commands that make up the difference.
#pragma once

#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "model/model.h"
#include "net/clock.h"
#include "state/job_store.h"

namespace deckhall {

struct FleetOptions {
  double lease_s = 30;
  double former_leader_grace_s = 20;  // how long a former leader may go on answering reports
  double clock_drift = 0.002;
  double wall_clock_bound_s = 1;  // how far clocks may be from the true time of day
};

// Tokens and attempts carry the term in their high bits.
constexpr int kTermShift = 24;
inline uint64_t TermOf(uint64_t token) { return token >> kTermShift; }

// Session and number of a machine's message; a larger one is newer.
struct HeartbeatVersion {
  uint64_t agent_epoch = 0;
  uint64_t sequence = 0;
};

struct ResourceUsage {
  double cores = 0;
  double gpus = 0;
};

// Is told what may disturb users' work, as it happens.
class DisruptionObserver {
 public:
  virtual ~DisruptionObserver() = default;
  // The condition of a replica may have changed.
  virtual void ReplicaChanged(JobIndex job_index, uint32_t task_index) = 0;
  // A task of an array that has not ended was lost or told to stop.
  virtual void ArrayTaskStopped(JobIndex job_index) = 0;
  // A job was accepted, or is over.
  virtual void JobChanged(JobIndex job_index) = 0;
};

class Fleet {
 public:
  Fleet(JobStore* job_store, const Clock* clock, uint64_t term, FleetOptions options);

  MachineIndex Find(const std::string& name) const;
  MachineIndex Add(const std::string& name);
  Machine& operator[](MachineIndex machine_index) { return machines_[machine_index]; }
  const Machine& operator[](MachineIndex machine_index) const { return machines_[machine_index]; }
  uint32_t size() const { return static_cast<uint32_t>(machines_.size()); }
  // Those that are not gone, in the order they became known.
  const std::vector<MachineIndex>& active() const { return active_; }

  // Takes in a report or a command's answer. False when it is older than what is
  // known already.
  bool ApplyHeartbeat(MachineIndex machine_index, const Heartbeat& heartbeat);
  // The same for an answer to a question asked when `asked` was the newest known:
  // shows that the machine hears, and whether its worker began anew meanwhile.
  void ApplyProbeResponse(MachineIndex machine_index, const Heartbeat& heartbeat,
                          HeartbeatVersion asked);
  HeartbeatVersion VersionOf(MachineIndex machine_index) const {
    return {machines_[machine_index].agent_epoch, machines_[machine_index].sequence};
  }
  // A question stayed unanswered.
  void RecordUnreachable(MachineIndex machine_index);
  // Has shown that it heard the token it would get commands with.
  static bool HasAcknowledgedToken(const Machine& machine) {
    return machine.acknowledged_token >= machine.fencing_token;
  }
  // Has shown a token of this term: a former leader's answers don't reach it any more.
  bool KnowsCurrentTerm(const Machine& machine) const {
    return TermOf(machine.acknowledged_token) == term_;
  }
  // Puts a task there; the launch goes out with the next commands.
  void PlaceTask(MachineIndex machine_index, JobIndex job, uint32_t task_index,
                 uint64_t attempt_number, bool passed = false);
  // A number never used for an attempt before.
  uint64_t NewAttemptNumber() { return next_attempt_number_++; }
  // The attempt, if it is there and was not cleared; null otherwise.
  TaskAttempt* FindAttempt(MachineIndex machine_index, JobIndex job_index, uint32_t task_index,
                           uint64_t attempt_number);
  // Wants the slot gone.
  void RequestStop(MachineIndex machine_index, TaskAttempt* attempt, double grace_s);
  void RequestStopOfJob(JobIndex job);
  // What to tell the machine now. Launches only if `launch`.
  std::vector<Command> BuildCommands(MachineIndex machine_index, bool launch);
  // The stops alone, told before or not: an earlier one may be lost on its way.
  std::vector<Command> BuildStops(MachineIndex machine_index);
  // Stops for what the report lists of jobs that are over, whoever started it.
  std::vector<Command> BuildStopsOfEndedJobs(const Heartbeat& heartbeat) const;
  // True when there is something to tell it.
  bool HasCommands(MachineIndex machine_index, bool launch) const;
  // An answer to a command is missing: what was sent may still come.
  void FenceOffSentCommands(MachineIndex machine_index);
  // Nothing is on it any more.
  void ReleaseAttempts(MachineIndex machine_index, const char* why);
  void RemoveMachine(MachineIndex machine_index, const char* why);
  // Machines that an earlier leader's tasks may be on, not accounted for yet.
  uint32_t CountUnreconciled() const;
  void MarkReconciled(MachineIndex machine_index);
  // The lease surely ran out: whatever was on it was killed by the worker.
  bool IsLeaseExpired(const Machine& machine, double now, double term_began) const;

  // What the tasks of each team take, by the team's index.
  const std::vector<ResourceUsage>& team_usage() const { return team_usage_; }
  // Machines about which something changed: each is handed out once.
  bool PopChanged(MachineIndex* m);
  void MarkChanged(MachineIndex machine_index);
  // The picture of every machine's room is out of date.
  void InvalidateAllCapacity();

  // A task ended; `slot.why` tells how. Called after the books were changed.
  std::function<void(MachineIndex, const TaskAttempt&)> on_attempt_exited;
  // A machine that an earlier leader used is accounted for.
  std::function<void()> on_machine_reconciled = [] {};
  // May be null.
  DisruptionObserver* observer = nullptr;
  // Something changed that the placer should look at.
  bool placement_needed = false;

 private:
  TaskAttempt* FindReportedAttempt(Machine& machine, const TaskStatus& status);
  void AdoptAttempt(MachineIndex machine_index, const TaskStatus& status);
  void ApplyTaskStatus(MachineIndex machine_index, TaskAttempt* attempt, const TaskStatus& status);
  void HandleExit(MachineIndex machine_index, TaskAttempt* attempt);
  void RequeueTask(MachineIndex machine_index, const TaskAttempt& attempt);
  void SetRunning(TaskAttempt* attempt, bool now_running);
  bool MayAcknowledgeExit(const TaskAttempt& attempt) const;
  // What was not seen of a job that is done is not to be launched again.
  void RequestStopOfUnreported(JobIndex job);
  TaskAttempt& AddAttempt(MachineIndex machine_index, TaskAttempt attempt);
  // The slot takes no room any more.
  void ReleaseResources(MachineIndex machine_index, TaskAttempt* attempt);
  void EraseAttempt(MachineIndex machine_index, size_t at);
  Command BuildStop(TaskAttempt* attempt) const;
  void InvalidateMachine(MachineIndex machine_index);
  // Tells the observer that the attempt's condition changed, or that it was ended early.
  void NotifyReplicaChanged(const TaskAttempt& attempt);
  void NotifyArrayTaskStopped(const TaskAttempt& attempt);
  void HandleAgentRestart(MachineIndex machine_index, const Heartbeat& heartbeat);

  JobStore* job_store_;
  const Clock* clock_;
  uint64_t term_;
  FleetOptions options_;
  std::vector<Machine> machines_;
  std::vector<MachineIndex> active_;
  std::deque<MachineIndex> changed_machines_;
  std::vector<ResourceUsage> team_usage_;
  std::unordered_map<std::string, MachineIndex> index_;
  uint64_t next_attempt_number_;
};

}  // namespace deckhall
