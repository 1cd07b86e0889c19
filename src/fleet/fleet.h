// The leader's view of the machines in the cluster and of the task attempts on them.
//
// Fleet holds the desired and the observed state of every machine and turns the difference into
// commands. It is a facade over MachineRegistry (the known machines), AttemptTracker (desired state
// and resources of attempts), HeartbeatApplier with AttemptReconciler and ExitHandler (observed
// state), and CommandBuilder.
//
// Guarantees: a launched attempt holds its resources, and remains the current attempt of its task,
// until the agent has shown that the attempt is absent and can no longer start, or until the
// agent's lease has expired.
//
// Owned by Leader, for one term. Not thread-safe: used from the event loop only.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/attempt_reconciler.h"
#include "fleet/attempt_tracker.h"
#include "fleet/command_builder.h"
#include "fleet/exit_handler.h"
#include "fleet/fencing.h"
#include "fleet/fleet_events.h"
#include "fleet/fleet_options.h"
#include "fleet/heartbeat_applier.h"
#include "fleet/machine_registry.h"
#include "model/job.h"
#include "model/machine.h"
#include "net/clock.h"
#include "state/job_store.h"

namespace deckhall {

// The public members of FleetEvents are part of the interface: the leader sets the callbacks and
// resets `placement_needed`.
class Fleet : public FleetEvents {
 public:
  // The job store and the clock must outlive this object.
  Fleet(JobStore* job_store, const Clock* clock, uint64_t term, FleetOptions options);
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Machines. See MachineRegistry.

  // kNoIndex if no machine has this name.
  MachineIndex Find(const std::string& name) const { return machines_.Find(name); }
  MachineIndex Add(const std::string& name) { return machines_.Add(name); }
  Machine& operator[](MachineIndex machine_index) { return machines_[machine_index]; }
  const Machine& operator[](MachineIndex machine_index) const { return machines_[machine_index]; }
  uint32_t size() const { return machines_.size(); }
  // Machines that were not removed, in the order in which they were added.
  const std::vector<MachineIndex>& active() const { return machines_.active(); }
  // Requeues and erases all attempts on the machine and removes it; `reason` is for the log. Does
  // nothing if the machine is already removed.
  void RemoveMachine(MachineIndex machine_index, const char* reason);
  // Removes the next changed machine from the queue and returns it; nullopt if the queue is empty.
  std::optional<MachineIndex> PopChanged() { return machines_.PopChanged(); }
  void MarkChanged(MachineIndex machine_index) { machines_.MarkChanged(machine_index); }
  void InvalidateAllCapacity() { machines_.InvalidateAllCapacity(); }
  // Records that every attempt that can be on the machine is known.
  void MarkReconciled(MachineIndex machine_index) { machines_.MarkReconciled(machine_index); }
  // Fencing tokens raised since the begin of the term, for the log.
  uint64_t tokens_raised() const { return machines_.tokens_raised(); }
  // Active machines that may run attempts of an earlier leader and are not reconciled.
  uint32_t CountUnreconciled() const { return machines_.CountUnreconciled(); }

  // Attempts. See AttemptTracker.

  // An attempt number that was never used before.
  uint64_t NewAttemptNumber() { return attempts_.NewAttemptNumber(); }
  // Places a task; its launch is sent with the next commands.
  void PlaceTask(MachineIndex machine_index, JobIndex job_index, uint32_t task_index,
                 uint64_t attempt_number, bool placed_by_aging = false) {
    attempts_.PlaceTask(machine_index, job_index, task_index, attempt_number, placed_by_aging);
  }
  // Null if the attempt is not on the machine or was acknowledged.
  TaskAttempt* FindAttempt(MachineIndex machine_index, JobIndex job_index, uint32_t task_index,
                           uint64_t attempt_number) {
    return attempts_.Find(machine_index, job_index, task_index, attempt_number);
  }
  // Sets the desired state of an attempt to stopped; `grace_period_s` is its time to checkpoint.
  void RequestStop(MachineIndex machine_index, TaskAttempt* attempt, double grace_period_s) {
    attempts_.RequestStop(machine_index, attempt, grace_period_s);
  }
  void RequestStopOfJob(JobIndex job_index) { attempts_.RequestStopOfJob(job_index); }
  // For a machine on which nothing runs any more: erases its attempts and requeues the tasks of
  // those that had not exited. `reason` is for the log.
  void ReleaseAttempts(MachineIndex machine_index, const char* reason) {
    attempts_.RequeueAndEraseAll(machine_index, reason);
  }
  // The resources that the attempts of each team hold, by team index.
  const std::vector<ResourceUsage>& team_usage() const { return attempts_.team_usage(); }

  // Heartbeats and probes. See HeartbeatApplier.

  // False if the heartbeat is not newer than the last one applied.
  bool ApplyHeartbeat(MachineIndex machine_index, const Heartbeat& heartbeat) {
    return heartbeats_.ApplyHeartbeat(machine_index, heartbeat);
  }
  // Applies the response to a probe or direct command; `version_at_probe` was the newest version
  // known when it was sent.
  void ApplyProbeResponse(MachineIndex machine_index, const Heartbeat& heartbeat,
                          HeartbeatVersion version_at_probe) {
    heartbeats_.ApplyProbeResponse(machine_index, heartbeat, version_at_probe);
  }
  // The newest heartbeat version known.
  HeartbeatVersion VersionOf(MachineIndex machine_index) const {
    return {machines_[machine_index].agent_epoch, machines_[machine_index].sequence};
  }
  // Records that the agent refused a message without executing any of its commands, so that stops
  // in it do not count as sent.
  void RecordRefused(MachineIndex machine_index) { commands_.RecordRefused(machine_index); }
  // Records that a command or probe got no usable response.
  void RecordUnreachable(MachineIndex machine_index) {
    heartbeats_.RecordUnreachable(machine_index);
  }
  // See HasAcknowledgedToken() in fleet/fencing.h.
  static bool HasAcknowledgedToken(const Machine& machine) {
    return deckhall::HasAcknowledgedToken(machine);
  }
  // Whether the agent has reported a token of this term, and hence accepts no responses of a former
  // leader.
  bool KnowsCurrentTerm(const Machine& machine) const {
    return TermOf(machine.acknowledged_token) == term_;
  }
  // Whether the agent is guaranteed to have killed all tasks on the machine. Both times are seconds
  // of the steady clock.
  bool IsLeaseExpired(const Machine& machine, double now, double term_began_at) const;

  // Commands. See CommandBuilder.

  // The commands to send now by `channel`; includes launches only if `may_launch`. May raise the
  // fencing token with which they must be sent.
  CommandBatch BuildCommands(MachineIndex machine_index, bool may_launch, CommandChannel channel) {
    return commands_.BuildCommands(machine_index, may_launch, channel);
  }
  // Stops for attempts to be stopped, including stops that were sent before.
  CommandBatch BuildStops(MachineIndex machine_index) {
    return commands_.BuildStops(machine_index);
  }
  // Stops for the tasks in the machine's `heartbeat` whose jobs have ended.
  CommandBatch BuildStopsOfEndedJobs(MachineIndex machine_index, const Heartbeat& heartbeat) {
    return commands_.BuildStopsOfEndedJobs(machine_index, heartbeat);
  }
  // Whether commands should be sent now.
  bool HasCommands(MachineIndex machine_index, bool may_launch) const {
    return commands_.HasCommands(machine_index, may_launch);
  }
  // Raises the fencing token, so that the agent rejects everything that was sent before as soon as
  // it has seen a later command. `reason` is for the log.
  void RaiseFencingToken(MachineIndex machine_index, const char* reason) {
    machines_.RaiseFencingToken(machine_index, reason);
  }
  // Raises the fencing token after a command got no response, so that the agent rejects the command
  // if it arrives late.
  void FenceOffSentCommands(MachineIndex machine_index) {
    commands_.FenceOffSentCommands(machine_index);
  }

 private:
  const Clock* clock_;
  uint64_t term_;
  FleetOptions options_;
  MachineRegistry machines_;
  AttemptTracker attempts_;
  ExitHandler exits_;
  AttemptReconciler reconciler_;
  HeartbeatApplier heartbeats_;
  CommandBuilder commands_;
};

}  // namespace deckhall
