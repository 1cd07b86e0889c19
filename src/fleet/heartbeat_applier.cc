#include "fleet/heartbeat_applier.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace deckhall {
namespace {

// Messages of an agent that may be reordered in transit without raising suspicion.
constexpr uint64_t kMaxReorderedMessages = 16;

// Commands or probes without a usable response, in a row, after which attempts whose launch was
// never sent are requeued.
constexpr int kUnreachableLimit = 2;

HeartbeatVersion VersionOf(const Machine& machine) {
  return {machine.agent_epoch, machine.sequence};
}

HeartbeatVersion VersionOf(const Heartbeat& heartbeat) {
  return {heartbeat.agent_epoch, heartbeat.sequence};
}

}  // namespace

HeartbeatApplier::HeartbeatApplier(MachineRegistry* machines, AttemptTracker* attempts,
                                   AttemptReconciler* reconciler, const Clock* clock, uint64_t term)
    : machines_(machines),
      attempts_(attempts),
      reconciler_(reconciler),
      clock_(clock),
      term_(term) {}

bool HeartbeatApplier::ApplyHeartbeat(MachineIndex machine_index, const Heartbeat& heartbeat) {
  Machine& machine = (*machines_)[machine_index];
  if (!VersionOf(heartbeat).IsNewerThan(VersionOf(machine))) {
    if (IsSuspicious(machine, heartbeat)) machine.suspected = true;
    return false;
  }
  const double now = clock_->Now();
  RecordLiveness(machine_index, now);
  if (heartbeat.agent_epoch > machine.agent_epoch) HandleNewEpoch(machine_index);
  machine.agent_epoch = heartbeat.agent_epoch;
  machine.sequence = heartbeat.sequence;
  ApplyFencingToken(machine_index, heartbeat.fencing_token, now);
  if (heartbeat.preemption_notice_s)
    ApplyPreemptionNotice(machine_index, *heartbeat.preemption_notice_s, now);
  if (!machine.reconciled) {
    if (TermOf(heartbeat.fencing_token) < term_) return true;
    machines_->MarkReconciled(machine_index);
  }
  reconciler_->Reconcile(machine_index, heartbeat);
  return true;
}

bool HeartbeatApplier::IsSuspicious(const Machine& machine, const Heartbeat& heartbeat) {
  return heartbeat.agent_epoch < machine.agent_epoch ||
         heartbeat.sequence + kMaxReorderedMessages < machine.sequence ||
         TermOf(heartbeat.fencing_token) < TermOf(machine.acknowledged_token);
}

void HeartbeatApplier::RecordLiveness(MachineIndex machine_index, double now) {
  Machine& machine = (*machines_)[machine_index];
  machine.last_heard_at = now;
  machine.probe_failures = 0;
  if (machine.up) return;
  machine.up = true;
  machine.up_at = now;
  machines_->InvalidateMachine(machine_index);
}

void HeartbeatApplier::HandleNewEpoch(MachineIndex machine_index) {
  Machine& machine = (*machines_)[machine_index];
  if (!machine.attempts.empty()) attempts_->RequeueAndEraseAll(machine_index, "new agent epoch");
  // The lease expired, so responses may not reach the agent, and its heartbeats alone do not prove
  // that they do. No launches are sent until it acknowledges a token issued after this point.
  machines_->RaiseRequiredToken(machine_index, "new agent epoch");
}

void HeartbeatApplier::ApplyFencingToken(MachineIndex machine_index, uint64_t reported_token,
                                         double now) {
  Machine& machine = (*machines_)[machine_index];
  if (!HasAcknowledgedToken(machine) && reported_token >= machine.required_token) {
    machine.last_acknowledged_at = now;
    machine.unreachable_since = -1;
    machine.unreachable_count = 0;
    machines_->InvalidateMachine(machine_index);
  }
  machine.acknowledged_token = std::max(machine.acknowledged_token, reported_token);
  // A higher token of this term was not recorded here as issued. Tokens issued from now on must not
  // be lower.
  if (TermOf(reported_token) == term_ && reported_token > machine.fencing_token)
    machine.fencing_token = reported_token;
}

void HeartbeatApplier::ApplyPreemptionNotice(MachineIndex machine_index, double notice_s,
                                             double now) {
  Machine& machine = (*machines_)[machine_index];
  if (machine.preemption_at >= 0) return;
  machine.preemption_at = now + notice_s;
  machines_->InvalidateMachine(machine_index);
  spdlog::info("machine={} notice_s={}: preemption notice received", machine.name, notice_s);
}

void HeartbeatApplier::ApplyProbeResponse(MachineIndex machine_index, const Heartbeat& heartbeat,
                                          HeartbeatVersion version_at_probe) {
  Machine& machine = (*machines_)[machine_index];
  machine.last_acknowledged_at = clock_->Now();
  machine.unreachable_since = -1;
  machine.unreachable_count = 0;
  machine.suspected = false;
  machine.probe_failures = 0;
  // Without a restart, the response would be newer than every heartbeat received before the probe.
  const bool has_restarted =
      !VersionOf(heartbeat).IsNewerThan(version_at_probe) && heartbeat.sequence > 0;
  if (has_restarted) HandleAgentRestart(machine_index, heartbeat);
  ApplyHeartbeat(machine_index, heartbeat);
}

void HeartbeatApplier::HandleAgentRestart(MachineIndex machine_index, const Heartbeat& heartbeat) {
  Machine& machine = (*machines_)[machine_index];
  spdlog::info("machine={} epoch={} sequence={}: agent restarted", machine.name,
               heartbeat.agent_epoch, heartbeat.sequence);
  machine.agent_epoch = heartbeat.agent_epoch;
  // One lower, so that ApplyHeartbeat() accepts this heartbeat as newer. Attempts that the agent
  // lost are then unlisted, and are released once none of their launches can be executed any more.
  machine.sequence = heartbeat.sequence - 1;
  machine.acknowledged_token = heartbeat.fencing_token;
  machines_->InvalidateMachine(machine_index);
}

void HeartbeatApplier::RecordUnreachable(MachineIndex machine_index) {
  Machine& machine = (*machines_)[machine_index];
  if (machine.unreachable_since < 0) machine.unreachable_since = clock_->Now();
  ++machine.unreachable_count;
  // Stops that were sent may be lost, so the response to the next heartbeat repeats them.
  for (TaskAttempt& attempt : machine.attempts) attempt.stop_sent_at = kStopNotSentAt;
  machine.capacity_stale = true;
  if (machine.unreachable_count < kUnreachableLimit) return;
  for (size_t i = machine.attempts.size(); i-- > 0;) {
    const TaskAttempt& attempt = machine.attempts[i];
    const bool may_be_there =
        attempt.released || attempt.reported || attempt.launch_fencing_token != 0;
    if (!may_be_there) attempts_->RequeueAndErase(machine_index, i);
  }
}

}  // namespace deckhall
