#include "fleet/command_builder.h"

#include <algorithm>
#include <optional>
#include <vector>

#include "fleet/fencing.h"
#include "fleet/task_name.h"
#include "wire/worker_codec.h"

namespace deckhall {
namespace {

// An unconfirmed command is sent again after this time.
constexpr double kRetrySeconds = 3.0;

bool IsStopDue(const TaskAttempt& attempt, double now) {
  return now - attempt.stop_sent_at > kRetrySeconds;
}

// Whether the attempt is to be stopped and was reported, so that the agent can execute a stop.
bool NeedsStop(const TaskAttempt& attempt) {
  return !attempt.released && !attempt.wanted && attempt.reported;
}

// Whether no message of the last seconds that may have arrived had the command that the attempt
// needs.
bool IsCommandDue(const TaskAttempt& attempt, double now) {
  if (NeedsStop(attempt) && IsStopDue(attempt, now)) return true;
  return now - attempt.last_command_at > kRetrySeconds;
}

Command MakeCommand(CommandOp operation, const TaskAttempt& attempt, double grace_period_s = 0) {
  return {operation, attempt.task_name, attempt.number, grace_period_s};
}

Command MakeStop(const TaskAttempt& attempt, double now) {
  // An attempt that outlives its grace period gets no more time to checkpoint.
  const bool is_overdue = attempt.first_stop_sent_at >= 0 &&
                          now - attempt.first_stop_sent_at > attempt.grace_period_s + kRetrySeconds;
  return MakeCommand(CommandOp::kStop, attempt, is_overdue ? 0 : attempt.grace_period_s);
}

void RecordFirstStop(TaskAttempt* attempt, double now) {
  if (attempt->first_stop_sent_at < 0) attempt->first_stop_sent_at = now;
}

}  // namespace

CommandBuilder::CommandBuilder(const JobStore* job_store, MachineRegistry* machines,
                               AttemptTracker* attempts, const Clock* clock)
    : job_store_(job_store), machines_(machines), attempts_(attempts), clock_(clock) {}

CommandBatch CommandBuilder::BuildCommands(MachineIndex machine_index, bool may_launch,
                                           CommandChannel channel) {
  const Machine& machine = (*machines_)[machine_index];
  CommandBatch batch;
  if (!machine.reconciled) return batch;
  ResolveUnwantedLaunches(machine_index);
  // Raising the token by a direct command would make the agent reject a response in transit, which
  // renews its lease. Acknowledgements can wait for the next heartbeat.
  if (channel == CommandChannel::kHeartbeatResponse) FenceOffExitedAttempts(machine_index);
  if (!AddDueStops(machine_index, &batch)) return batch;
  if (!AddAcknowledgements(machine_index, &batch)) return batch;
  if (may_launch && HasAcknowledgedToken(machine)) AddLaunches(machine_index, &batch);
  return batch;
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

template <class NeedsCommand, class MakeCommand, class RecordSent>
bool CommandBuilder::AddCommands(MachineIndex machine_index, NeedsCommand needs_command,
                                 MakeCommand make_command, RecordSent record_sent,
                                 CommandBatch* batch) {
  const double now = clock_->Now();
  std::vector<TaskAttempt*> attempts;
  for (TaskAttempt& attempt : (*machines_)[machine_index].attempts) {
    if (needs_command(attempt)) attempts.push_back(&attempt);
  }
  // Otherwise, if messages are lost or stops take long, the same ones would find no room each time.
  std::stable_sort(attempts.begin(), attempts.end(),
                   [](const TaskAttempt* first, const TaskAttempt* second) {
                     return first->last_command_at < second->last_command_at;
                   });
  for (TaskAttempt* attempt : attempts) {
    if (!batch->Add(make_command(*attempt))) {
      // One that was sent just now is probably being executed.
      if (IsCommandDue(*attempt, now)) machines_->MarkChanged(machine_index);
      return false;
    }
    attempt->last_command_at = now;
    record_sent(attempt);
  }
  return true;
}

bool CommandBuilder::AddDueStops(MachineIndex machine_index, CommandBatch* batch) {
  const double now = clock_->Now();
  return AddCommands(
      machine_index,
      [now](const TaskAttempt& attempt) { return NeedsStop(attempt) && IsStopDue(attempt, now); },
      [now](const TaskAttempt& attempt) { return MakeStop(attempt, now); },
      [now](TaskAttempt* attempt) {
        RecordFirstStop(attempt, now);
        attempt->stop_sent_at = now;
      },
      batch);
}

bool CommandBuilder::AddAcknowledgements(MachineIndex machine_index, CommandBatch* batch) {
  const Machine& machine = (*machines_)[machine_index];
  return AddCommands(
      machine_index,
      [this, &machine](const TaskAttempt& attempt) { return MayAcknowledge(machine, attempt); },
      [](const TaskAttempt& attempt) { return MakeCommand(CommandOp::kAcknowledgeExit, attempt); },
      [](TaskAttempt*) {}, batch);
}

bool CommandBuilder::AddLaunches(MachineIndex machine_index, CommandBatch* batch) {
  const uint64_t fencing_token = (*machines_)[machine_index].fencing_token;
  return AddCommands(
      machine_index,
      [](const TaskAttempt& attempt) {
        return !attempt.released && attempt.wanted && !attempt.reported;
      },
      [](const TaskAttempt& attempt) { return MakeCommand(CommandOp::kStart, attempt); },
      [fencing_token](TaskAttempt* attempt) { attempt->launch_fencing_token = fencing_token; },
      batch);
}

bool CommandBuilder::MayAcknowledge(const Machine& machine, const TaskAttempt& attempt) const {
  return IsExitDurable(attempt) && !MayLaunchUnder(machine.fencing_token, attempt);
}

bool CommandBuilder::IsExitDurable(const TaskAttempt& attempt) const {
  if (!attempt.released) return false;
  if (attempt.exit_reason != ExitReason::kDone || attempt.job == kNoIndex) return true;
  // After the acknowledgement the agent forgets the attempt, and only the job record shows that the
  // task is done.
  return job_store_->IsTaskDurable(attempt.job, attempt.task_index);
}

CommandBatch CommandBuilder::BuildStops(MachineIndex machine_index) {
  const double now = clock_->Now();
  CommandBatch batch;
  // Does not postpone the next direct stop, since the response may be lost.
  AddCommands(
      machine_index, NeedsStop,
      [now](const TaskAttempt& attempt) { return MakeStop(attempt, now); },
      [now](TaskAttempt* attempt) { RecordFirstStop(attempt, now); }, &batch);
  return batch;
}

CommandBatch CommandBuilder::BuildStopsOfEndedJobs(MachineIndex machine_index,
                                                   const Heartbeat& heartbeat) {
  CommandBatch batch;
  for (const TaskStatus& status : heartbeat.tasks) {
    if (status.state == TaskState::kExited || !HasJobEnded(status.task_name)) continue;
    if (batch.Add({CommandOp::kStop, status.task_name, status.attempt, 0})) continue;
    machines_->MarkChanged(machine_index);
    break;
  }
  return batch;
}

bool CommandBuilder::HasJobEnded(const std::string& task_name) const {
  const std::optional<TaskName> name = ParseTaskName(task_name);
  if (!name) return false;
  const JobIndex job_index = job_store_->Find(name->job_id);
  if (job_index == kNoIndex) return false;
  return (*job_store_)[job_index].lifecycle != JobLifecycle::kActive;
}

bool CommandBuilder::HasCommands(MachineIndex machine_index, bool may_launch) const {
  const Machine& machine = (*machines_)[machine_index];
  if (!HasAcknowledgedToken(machine)) return true;
  const double now = clock_->Now();
  size_t heartbeat_bytes = 0;
  bool has_acknowledgement = false;
  for (const TaskAttempt& attempt : machine.attempts) {
    heartbeat_bytes += MaxTaskStatusBytes(attempt.task_name.size());
    if (attempt.released) {
      has_acknowledgement =
          has_acknowledgement || (IsCommandDue(attempt, now) && MayAcknowledge(machine, attempt));
      continue;
    }
    const bool has_command = attempt.wanted ? !attempt.reported && may_launch
                                            : !attempt.reported || IsStopDue(attempt, now);
    if (has_command) return true;
  }
  // An agent with more tasks than its heartbeat has room for, which an earlier version placed, can
  // send no heartbeat before some of them are acknowledged.
  return has_acknowledgement && heartbeat_bytes > kHeartbeatTaskBytes;
}

void CommandBuilder::RecordRefused(MachineIndex machine_index) {
  for (TaskAttempt& attempt : (*machines_)[machine_index].attempts)
    attempt.stop_sent_at = kStopNotSentAt;
}

void CommandBuilder::FenceOffSentCommands(MachineIndex machine_index) {
  machines_->RaiseRequiredToken(machine_index, "no response to a command");
}

}  // namespace deckhall
