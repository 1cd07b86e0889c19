#include "fleet/command_builder.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "fleet/fencing.h"
#include "fleet/task_name.h"

namespace deckhall {
namespace {

// An unconfirmed stop is sent again after this time.
constexpr double kStopRetrySeconds = 3.0;

bool IsStopDue(const TaskAttempt& attempt, double now) {
  return now - attempt.stop_sent_at > kStopRetrySeconds;
}

// Whether the attempt is to be stopped and was reported, so that the agent can execute a stop.
bool NeedsStop(const TaskAttempt& attempt) {
  return !attempt.released && !attempt.wanted && attempt.reported;
}

Command MakeCommand(CommandOp operation, const TaskAttempt& attempt, double grace_period_s = 0) {
  return {operation, attempt.task_name, attempt.number, grace_period_s};
}

Command MakeStop(TaskAttempt* attempt, double now) {
  if (attempt->first_stop_sent_at < 0) attempt->first_stop_sent_at = now;
  // An attempt that outlives its grace period gets no more time to checkpoint.
  const bool is_overdue =
      now - attempt->first_stop_sent_at > attempt->grace_period_s + kStopRetrySeconds;
  return MakeCommand(CommandOp::kStop, *attempt, is_overdue ? 0 : attempt->grace_period_s);
}

}  // namespace

CommandBuilder::CommandBuilder(const JobStore* job_store, MachineRegistry* machines,
                               AttemptTracker* attempts, const Clock* clock)
    : job_store_(job_store), machines_(machines), attempts_(attempts), clock_(clock) {}

std::vector<Command> CommandBuilder::BuildCommands(MachineIndex machine_index, bool may_launch,
                                                   CommandChannel channel) {
  const Machine& machine = (*machines_)[machine_index];
  if (!machine.reconciled) return {};
  ResolveUnwantedLaunches(machine_index);
  // Raising the token by a direct command would make the agent reject a response in transit, which
  // renews its lease. Acknowledgements can wait for the next heartbeat.
  if (channel == CommandChannel::kHeartbeatResponse) FenceOffExitedAttempts(machine_index);
  std::vector<Command> commands = BuildStopsAndAcknowledgements(machine_index);
  if (!may_launch || !HasAcknowledgedToken(machine)) return commands;
  for (Command& launch : BuildLaunches(machine_index)) commands.push_back(std::move(launch));
  return commands;
}

void CommandBuilder::ResolveUnwantedLaunches(MachineIndex machine_index) {
  const Machine& machine = (*machines_)[machine_index];
  for (size_t i = machine.attempts.size(); i-- > 0;) {
    const TaskAttempt& attempt = machine.attempts[i];
    if (attempt.wanted || attempt.reported) continue;
    if (attempt.launch_fencing_token == 0) {
      attempts_->RequeueAndErase(machine_index, i);
    } else if (MayLaunchUnder(machine.fencing_token, attempt)) {
      // The launch may still be executed; the higher token fences it off.
      machines_->RaiseRequiredToken(machine_index, "unwanted launch");
    }
  }
}

void CommandBuilder::FenceOffExitedAttempts(MachineIndex machine_index) {
  const Machine& machine = (*machines_)[machine_index];
  const bool must_fence_off = std::any_of(
      machine.attempts.begin(), machine.attempts.end(), [&](const TaskAttempt& attempt) {
        return IsExitDurable(attempt) && MayLaunchUnder(machine.fencing_token, attempt);
      });
  if (must_fence_off) machines_->RaiseFencingToken(machine_index, "launch of an exited attempt");
}

std::vector<Command> CommandBuilder::BuildStopsAndAcknowledgements(MachineIndex machine_index) {
  const double now = clock_->Now();
  Machine& machine = (*machines_)[machine_index];
  std::vector<Command> commands;
  for (TaskAttempt& attempt : machine.attempts) {
    if (IsExitDurable(attempt)) {
      if (!MayLaunchUnder(machine.fencing_token, attempt))
        commands.push_back(MakeCommand(CommandOp::kAcknowledgeExit, attempt));
    } else if (NeedsStop(attempt) && IsStopDue(attempt, now)) {
      commands.push_back(MakeStop(&attempt, now));
      attempt.stop_sent_at = now;
    }
  }
  return commands;
}

std::vector<Command> CommandBuilder::BuildLaunches(MachineIndex machine_index) {
  Machine& machine = (*machines_)[machine_index];
  std::vector<Command> commands;
  for (TaskAttempt& attempt : machine.attempts) {
    if (attempt.released || !attempt.wanted || attempt.reported) continue;
    commands.push_back(MakeCommand(CommandOp::kStart, attempt));
    attempt.launch_fencing_token = machine.fencing_token;
  }
  return commands;
}

bool CommandBuilder::IsExitDurable(const TaskAttempt& attempt) const {
  if (!attempt.released) return false;
  if (attempt.exit_reason != ExitReason::kDone || attempt.job == kNoIndex) return true;
  // After the acknowledgement the agent forgets the attempt, and only the job record shows that the
  // task is done.
  return job_store_->IsTaskDurable(attempt.job, attempt.task_index);
}

std::vector<Command> CommandBuilder::BuildStops(MachineIndex machine_index) {
  const double now = clock_->Now();
  std::vector<Command> commands;
  for (TaskAttempt& attempt : (*machines_)[machine_index].attempts) {
    if (NeedsStop(attempt)) commands.push_back(MakeStop(&attempt, now));
  }
  return commands;
}

std::vector<Command> CommandBuilder::BuildStopsOfEndedJobs(const Heartbeat& heartbeat) const {
  std::vector<Command> commands;
  for (const TaskStatus& status : heartbeat.tasks) {
    if (status.state == TaskState::kExited) continue;
    const std::optional<TaskName> name = ParseTaskName(status.task_name);
    if (!name) continue;
    const JobIndex job_index = job_store_->Find(name->job_id);
    if (job_index == kNoIndex) continue;
    if ((*job_store_)[job_index].lifecycle == JobLifecycle::kActive) continue;
    commands.push_back({CommandOp::kStop, status.task_name, status.attempt, 0});
  }
  return commands;
}

bool CommandBuilder::HasCommands(MachineIndex machine_index, bool may_launch) const {
  const Machine& machine = (*machines_)[machine_index];
  if (!HasAcknowledgedToken(machine)) return true;
  const double now = clock_->Now();
  for (const TaskAttempt& attempt : machine.attempts) {
    if (attempt.released) continue;
    const bool has_command = attempt.wanted ? !attempt.reported && may_launch
                                            : !attempt.reported || IsStopDue(attempt, now);
    if (has_command) return true;
  }
  return false;
}

void CommandBuilder::FenceOffSentCommands(MachineIndex machine_index) {
  machines_->RaiseRequiredToken(machine_index, "no response to a command");
}

}  // namespace deckhall
