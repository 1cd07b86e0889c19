#include "leader/command_dispatcher.h"

#include <algorithm>
#include <cmath>
#include <optional>

#include "leader/leader_timing.h"

namespace deckhall {
namespace {

constexpr double kCommandTimeoutSeconds = 1.5;
constexpr double kMinCommandBurst = 20;
constexpr double kCommandBurstsPerSecond = 4;
// A command is sent even if the budget is used up: PushPendingCommands() checks the budget before
// each machine.
constexpr double kUnlimitedDebt = -1e9;
// Backoff of a machine that does not respond; doubles up to kMaxCommandBackoffSeconds.
constexpr double kCommandBackoffSeconds = 0.25;
constexpr int kMaxCommandBackoffDoublings = 6;
constexpr double kMaxCommandBackoffSeconds = 4;
constexpr double kConflictBackoffSeconds = 0.2;
constexpr int kHttpConflict = 409;

TokenBucket CommandBudget(const Settings& settings, const Tuning& tuning) {
  const double rate = WorkerCallsPerSecond(settings, tuning) * tuning.command_share;
  return {rate, std::max(kMinCommandBurst, rate / kCommandBurstsPerSecond)};
}

}  // namespace

CommandDispatcher::CommandDispatcher(const Dependencies& dependencies, const Settings& settings,
                                     const Tuning& tuning)
    : deps_(dependencies), budget_(CommandBudget(settings, tuning)) {}

void CommandDispatcher::PushPendingCommands(double now) {
  while (budget_.Level(now) >= 1) {
    const std::optional<MachineIndex> changed = deps_.fleet->PopChanged();
    if (!changed) return;
    PushCommands(*changed);
  }
}

bool CommandDispatcher::MaySendNow(const Machine& machine) const {
  return !machine.command_in_flight && !machine.removed && !machine.scaling_in &&
         !machine.endpoint.empty() && deps_.clock->Now() >= machine.command_backoff_until;
}

void CommandDispatcher::PushCommands(MachineIndex machine_index) {
  const Machine& machine = (*deps_.fleet)[machine_index];
  ++work_units_;
  // Also called for responses, which may arrive after the lease has expired.
  if (!deps_.lease->IsLeaseValid() || !MaySendNow(machine)) return;
  const bool send_token = !machine.reconciled && (machine.may_run_former_attempts || machine.up);
  const bool may_launch = deps_.lease_expiry_bounds->HasNoBound(machine_index);
  if (!send_token && (!machine.up || !deps_.fleet->HasCommands(machine_index, may_launch))) return;
  const CommandBatch commands =
      deps_.fleet->BuildCommands(machine_index, may_launch, CommandChannel::kDirect);
  if (commands.empty() && !send_token && Fleet::HasAcknowledgedToken(machine)) return;
  Send(machine_index, commands);
}

void CommandDispatcher::Send(MachineIndex machine_index, const CommandBatch& commands) {
  Machine& machine = (*deps_.fleet)[machine_index];
  machine.command_in_flight = true;
  budget_.Take(deps_.clock->Now(), 1, kUnlimitedDebt);
  deps_.command_log->LogCommands(machine, commands, CommandChannel::kDirect);
  const HeartbeatVersion version = deps_.fleet->VersionOf(machine_index);
  deps_.workers->SendCommands(machine.endpoint, machine.fencing_token, machine.agent_epoch,
                              commands, kCommandTimeoutSeconds,
                              [this, machine_index, version](const WorkerResponse& response) {
                                HandleResponse(machine_index, response, version);
                              });
}

void CommandDispatcher::HandleResponse(MachineIndex machine_index, const WorkerResponse& response,
                                       HeartbeatVersion version) {
  Machine& machine = (*deps_.fleet)[machine_index];
  const double now = deps_.clock->Now();
  machine.command_in_flight = false;
  if (machine.removed) return;
  const bool from_machine = response.has_heartbeat && response.heartbeat.machine == machine.name;
  deps_.reachability_monitor->RecordOutcome(machine, from_machine || response.refused);
  if (!from_machine || response.status == kHttpConflict)
    deps_.command_log->LogFailure(machine, response);
  if (response.refused) {
    HandleRefusal(machine_index);
    return;
  }
  if (!from_machine) {
    HandleMissingResponse(machine_index, response);
    return;
  }
  if (!deps_.heartbeat_validator->IsPlausible(response.heartbeat)) {
    // A machine whose heartbeats stay implausible counts as unreachable and is scaled in.
    machine.command_backoff_until = now + kMaxCommandBackoffSeconds;
    deps_.fleet->RecordUnreachable(machine_index);
    return;
  }
  machine.command_failures = 0;
  if (response.status == kHttpConflict) {
    machine.command_backoff_until = now + kConflictBackoffSeconds;
  }
  deps_.fleet->ApplyProbeResponse(machine_index, response.heartbeat, version);
  if (machine.record_id == kNoRecord && machine.reconciled) {
    deps_.provisioner->SaveMachine(machine_index, WritePriority::kDeferred);
  }
  PushCommands(machine_index);
}

void CommandDispatcher::BackOff(Machine* machine) const {
  ++machine->command_failures;
  const int doublings = std::min(machine->command_failures, kMaxCommandBackoffDoublings);
  machine->command_backoff_until =
      deps_.clock->Now() +
      std::min(kMaxCommandBackoffSeconds, kCommandBackoffSeconds * std::pow(2.0, doublings));
}

void CommandDispatcher::HandleRefusal(MachineIndex machine_index) {
  BackOff(&(*deps_.fleet)[machine_index]);
  deps_.fleet->RecordRefused(machine_index);
  deps_.fleet->MarkChanged(machine_index);
}

void CommandDispatcher::HandleMissingResponse(MachineIndex machine_index,
                                              const WorkerResponse& response) {
  Machine& machine = (*deps_.fleet)[machine_index];
  BackOff(&machine);
  deps_.fleet->RecordUnreachable(machine_index);
  if (response.has_heartbeat) {
    deps_.heartbeat_validator->RecordImplausible(machine.name,
                                                 "another machine responds at its endpoint");
  }
  if (response.sent) deps_.fleet->FenceOffSentCommands(machine_index);
}

}  // namespace deckhall
