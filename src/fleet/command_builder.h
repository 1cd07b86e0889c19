// Builds the commands to an agent from the difference between the desired and the observed state of
// its machine.
//
// Guarantees: no launch is sent before the agent has reported the token that launches require; an
// exit is acknowledged only after the completion of its task is durable, and only with a token
// higher than that of every launch of the attempt that was ever sent; an attempt that was launched
// and is no longer wanted is fenced off before its task can be placed again.
//
// A message holds as many commands as fit into its limit (CommandBatch): stops first, then
// acknowledgements, then launches, and of each kind those first for which no command was sent for
// longest. Commands that find no room do not count as sent; the machine is queued for another
// message at once.
//
// Owned by Fleet. All commands are idempotent (PROTOCOL, "Tokens" and the section before it).
#pragma once

#include <string>

#include "fleet/attempt_tracker.h"
#include "fleet/machine_registry.h"
#include "net/clock.h"
#include "state/job_store.h"
#include "wire/types.h"

namespace deckhall {

// How commands reach the agent.
enum class CommandChannel { kDirect, kHeartbeatResponse };

class CommandBuilder {
 public:
  CommandBuilder(const JobStore* job_store, MachineRegistry* machines, AttemptTracker* attempts,
                 const Clock* clock);

  // The commands to send now by `channel`; includes launches only if `may_launch`. Empty for a
  // machine that is not reconciled. May raise the fencing token with which they must be sent; for
  // acknowledgements, only a heartbeat response does. Must not be called while a direct command is
  // in flight, which the agent would then reject.
  CommandBatch BuildCommands(MachineIndex machine_index, bool may_launch, CommandChannel channel);

  // Stops for attempts to be stopped, including stops that were sent before, since these may be
  // lost.
  CommandBatch BuildStops(MachineIndex machine_index);

  // Stops for the tasks in the machine's `heartbeat` whose jobs have ended, including attempts
  // launched by an earlier leader.
  CommandBatch BuildStopsOfEndedJobs(MachineIndex machine_index, const Heartbeat& heartbeat);

  // Whether commands should be sent now. Acknowledgements of exits alone are no reason to, unless
  // the agent's next heartbeat may be too long.
  bool HasCommands(MachineIndex machine_index, bool may_launch) const;

  // Records that the agent refused a message without executing any of its commands, so that stops
  // in it do not count as sent.
  void RecordRefused(MachineIndex machine_index);

  // Raises the fencing token after a command got no response, so that the agent rejects the command
  // if it arrives late. Otherwise a late launch could start its attempt again after the exit was
  // acknowledged.
  void FenceOffSentCommands(MachineIndex machine_index);

 private:
  // Drops unwanted attempts that were never launched, and fences off those launched with the
  // current token.
  void ResolveUnwantedLaunches(MachineIndex machine_index);
  // Raises the token if otherwise a copy of a launch could start an attempt again after the
  // acknowledgement of its exit.
  void FenceOffExitedAttempts(MachineIndex machine_index);
  // Each of these appends commands to the batch and records them as sent. False if one found no
  // room; the machine is then queued for another message.
  bool AddDueStops(MachineIndex machine_index, CommandBatch* batch);
  bool AddAcknowledgements(MachineIndex machine_index, CommandBatch* batch);
  bool AddLaunches(MachineIndex machine_index, CommandBatch* batch);
  // Appends a command for each of the machine's attempts that `needs_command`; calls `record_sent`
  // for those that found room.
  template <class NeedsCommand, class MakeCommand, class RecordSent>
  bool AddCommands(MachineIndex machine_index, NeedsCommand needs_command, MakeCommand make_command,
                   RecordSent record_sent, CommandBatch* batch);
  // Whether the name is that of a task of a job that is done or cancelled.
  bool HasJobEnded(const std::string& task_name) const;
  // Whether the agent may be told to forget the attempt now.
  bool MayAcknowledge(const Machine& machine, const TaskAttempt& attempt) const;
  // Whether the agent may forget the attempt, apart from its launches.
  bool IsExitDurable(const TaskAttempt& attempt) const;

  const JobStore* job_store_;
  MachineRegistry* machines_;
  AttemptTracker* attempts_;
  const Clock* clock_;
};

}  // namespace deckhall
