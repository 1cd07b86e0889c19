// Commands to an agent: the difference between the desired and the observed state of its machine.
//
// Guarantees: no launch is sent before the agent has acknowledged the current fencing token; an
// exit is acknowledged only after the completion of its task is durable; an attempt that was
// launched and is not wanted any more is fenced off before its task can be placed again.
//
// Owned by Fleet. All commands can be repeated (PROTOCOL, "Tokens" and the section before it).
#pragma once

#include <vector>

#include "fleet/attempt_tracker.h"
#include "fleet/machine_registry.h"
#include "net/clock.h"
#include "state/job_store.h"
#include "wire/types.h"

namespace deckhall {

class CommandBuilder {
 public:
  CommandBuilder(const JobStore* job_store, MachineRegistry* machines, AttemptTracker* attempts,
                 const Clock* clock);

  // The commands to send now, recorded as sent. Launches only if `may_launch`. None for a machine
  // that is not reconciled.
  std::vector<Command> BuildCommands(MachineIndex machine_index, bool may_launch);

  // All stops that are due, whether they were sent before or not: an earlier one may be lost.
  std::vector<Command> BuildStops(MachineIndex machine_index);

  // Stops for the tasks in `heartbeat` whose jobs have ended, whoever launched them.
  std::vector<Command> BuildStopsOfEndedJobs(const Heartbeat& heartbeat) const;

  // Whether it is worth sending commands now. Acknowledgements of exits can wait.
  bool HasCommands(MachineIndex machine_index, bool may_launch) const;

  // A command got no response and may be executed late. A higher token fences it off: a late
  // launch would otherwise start its attempt again after the exit was acknowledged.
  void FenceOffSentCommands(MachineIndex machine_index);

 private:
  // Drops unwanted attempts that were never launched, and fences off those launched with the
  // current token.
  void ResolveUnwantedLaunches(MachineIndex machine_index);
  std::vector<Command> BuildStopsAndAcknowledgements(MachineIndex machine_index);
  std::vector<Command> BuildLaunches(MachineIndex machine_index);
  bool MayAcknowledgeExit(const TaskAttempt& attempt) const;

  const JobStore* job_store_;
  MachineRegistry* machines_;
  AttemptTracker* attempts_;
  const Clock* clock_;
};

}  // namespace deckhall
