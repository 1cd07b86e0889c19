#include "leader/heartbeat_handler.h"

#include <algorithm>
#include <utility>

#include "leader/leader_timing.h"

namespace deckhall {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpMisdirected = 421;

}  // namespace

HeartbeatHandler::HeartbeatHandler(Dependencies dependencies) : deps_(std::move(dependencies)) {}

double HeartbeatHandler::GracePeriodEnd() const {
  // The grace period begins when the last successful renewal was sent, or when all peers last
  // confirmed that they know no later term, whichever is later. In an outage of the state service
  // that affects every node, no other controller can become leader, so tasks keep their leases.
  double since = deps_.lease->LeaseValidUntil() - deps_.tuning->lease_ms / 1000.0;
  if (deps_.no_later_term_since) {
    since = std::max(since, deps_.no_later_term_since(deps_.term));
  }
  return since + GracePeriodSeconds(*deps_.settings);
}

HeartbeatResponse HeartbeatHandler::HandleHeartbeat(const Heartbeat& heartbeat,
                                                    bool records_loaded) {
  HeartbeatResponse declined;
  const double now = deps_.clock->Now();
  if (!deps_.heartbeat_validator->IsPlausible(heartbeat)) {
    declined.status = kHttpMisdirected;
    return declined;
  }
  const bool lease_valid = deps_.lease->IsLeaseValid();
  if (!records_loaded || (!lease_valid && now > GracePeriodEnd())) return declined;
  const MachineIndex machine_index = FindOrAddMachine(heartbeat, lease_valid);
  // A heartbeat of a removed machine is a delayed copy.
  if (machine_index == kNoIndex || (*deps_.fleet)[machine_index].removed) return declined;
  if (!deps_.lease_expiry_bounds->HasNoBound(machine_index)) {
    if (lease_valid) {
      deps_.lease_expiry_bounds->WithdrawBounds((*deps_.fleet)[machine_index].zone);
    }
    return declined;
  }
  if (!deps_.fleet->ApplyHeartbeat(machine_index, heartbeat)) {
    return HandleStaleHeartbeat(machine_index, heartbeat);
  }
  return RenewLease(machine_index, heartbeat, lease_valid, now);
}

MachineIndex HeartbeatHandler::FindOrAddMachine(const Heartbeat& heartbeat, bool lease_valid) {
  const MachineIndex machine_index = deps_.fleet->Find(heartbeat.machine);
  if (machine_index != kNoIndex || !lease_valid) return machine_index;
  return deps_.provisioner->AddUnexpectedMachine(heartbeat);
}

HeartbeatResponse HeartbeatHandler::AcceptedResponse(MachineIndex machine_index) const {
  HeartbeatResponse response;
  response.status = kHttpOk;
  response.fencing_token = (*deps_.fleet)[machine_index].fencing_token;
  return response;
}

// Handles a heartbeat that is a delayed copy, or that a response to a command has overtaken. It
// does not renew the lease in this leader's view.
HeartbeatResponse HeartbeatHandler::HandleStaleHeartbeat(MachineIndex machine_index,
                                                         const Heartbeat& heartbeat) {
  HeartbeatResponse response = AcceptedResponse(machine_index);
  if ((*deps_.fleet)[machine_index].suspected) {
    deps_.heartbeat_validator->RecordImplausible(heartbeat.machine, "outdated heartbeat");
  }
  // The worker may nevertheless take this response as a renewal of its lease, so the tasks of ended
  // jobs must be stopped.
  response.commands = deps_.fleet->BuildStopsOfEndedJobs(machine_index, heartbeat);
  return response;
}

void HeartbeatHandler::UpdateRecord(MachineIndex machine_index, const Heartbeat& heartbeat) {
  Machine& machine = (*deps_.fleet)[machine_index];
  if (machine.endpoint != heartbeat.endpoint) {
    machine.endpoint = heartbeat.endpoint;
    if (machine.record_id != kNoRecord || machine.registered) {
      deps_.provisioner->SaveMachine(machine_index, WritePriority::kDeferred);
    }
  }
  // A machine that no record, cloud listing or scale-out request named is recorded only once it has
  // shown that requests reach it; a delayed heartbeat of a removed machine never shows that.
  if (machine.reconciled && machine.record_id == kNoRecord &&
      Fleet::HasAcknowledgedToken(machine)) {
    deps_.provisioner->SaveMachine(machine_index, WritePriority::kDeferred);
  }
}

HeartbeatResponse HeartbeatHandler::RenewLease(MachineIndex machine_index,
                                               const Heartbeat& heartbeat, bool lease_valid,
                                               double now) {
  HeartbeatResponse response = AcceptedResponse(machine_index);
  UpdateRecord(machine_index, heartbeat);
  Machine& machine = (*deps_.fleet)[machine_index];
  if (!machine.reconciled) {
    // Tasks are adopted only after the machine has shown a token of this term. But this response
    // renews the machine's lease and may be the last one of this term, so cancelled tasks must be
    // stopped with it.
    response.commands = deps_.fleet->BuildStopsOfEndedJobs(machine_index, heartbeat);
  } else if (machine.command_in_flight || machine.scaling_in) {
    // In a partition, direct commands may be lost repeatedly, and the cloud may be down. So every
    // response includes the stop commands; otherwise a cancelled task could exceed its time limit.
    response.commands = deps_.fleet->BuildStops(machine_index);
  } else {
    // Launches need a valid lease of the leader; stops and clears don't.
    response.commands =
        deps_.fleet->BuildCommands(machine_index, lease_valid, CommandChannel::kHeartbeatResponse);
    // Building commands may increase the token.
    response.fencing_token = machine.fencing_token;
  }
  deps_.command_log->LogCommands(machine, response.commands, CommandChannel::kHeartbeatResponse);
  machine.lease_renewed_at = now;
  return response;
}

}  // namespace deckhall
