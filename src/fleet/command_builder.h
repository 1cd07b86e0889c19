// Builds the commands to an agent from the difference between the desired and the observed state of
// its machine.
//
// Guarantees: no launch is sent before the agent has reported the token that launches require; an
// exit is acknowledged only after the completion of its task is durable, and only with a token
// higher than that of every launch of the attempt that was ever sent; an attempt that was launched
// and is no longer wanted is fenced off before its task can be placed again.
//
// Owned by Fleet. All commands are idempotent (PROTOCOL, "Tokens" and the section before it).
#pragma once

#include <vector>

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
  std::vector<Command> BuildCommands(MachineIndex machine_index, bool may_launch,
                                     CommandChannel channel);

  // Stops for all attempts to be stopped, including stops that were sent before, since these may be
  // lost.
  std::vector<Command> BuildStops(MachineIndex machine_index);

  // Stops for the tasks in `heartbeat` whose jobs have ended, including attempts launched by an
  // earlier leader.
  std::vector<Command> BuildStopsOfEndedJobs(const Heartbeat& heartbeat) const;

  // Whether commands should be sent now. Acknowledgements of exits alone are no reason to.
  bool HasCommands(MachineIndex machine_index, bool may_launch) const;

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
  std::vector<Command> BuildStopsAndAcknowledgements(MachineIndex machine_index);
  std::vector<Command> BuildLaunches(MachineIndex machine_index);
  // Whether the agent may forget the attempt, apart from its launches.
  bool IsExitDurable(const TaskAttempt& attempt) const;

  const JobStore* job_store_;
  MachineRegistry* machines_;
  AttemptTracker* attempts_;
  const Clock* clock_;
};

}  // namespace deckhall
