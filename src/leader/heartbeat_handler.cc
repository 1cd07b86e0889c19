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
  // Counted from when the last successful renewal was sent, or from when all peers last confirmed
  // that they know of no later term: in an outage of the state service that affects every node,
  // nobody can succeed this leader, and tasks keep their leases.
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
  // A removed machine's heartbeat is a delayed copy.
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

// Overtaken by a response to a command, or a delayed copy: it renews nothing here.
HeartbeatResponse HeartbeatHandler::HandleStaleHeartbeat(MachineIndex machine_index,
                                                         const Heartbeat& heartbeat) {
  HeartbeatResponse response = AcceptedResponse(machine_index);
  if ((*deps_.fleet)[machine_index].suspected) {
    deps_.heartbeat_validator->RecordImplausible(heartbeat.machine, "outdated heartbeat");
  }
  // To the worker this response may renew its lease all the same.
  response.commands = deps_.fleet->BuildStopsOfEndedJobs(heartbeat);
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
  // A machine that no record, cloud or request named is recorded once it has shown that requests
  // reach it; the delayed heartbeat of a machine that is gone never does.
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
    // No task is adopted before the machine has shown this term's token. But this response renews
    // its lease, perhaps the last one before this term ends: cancelled tasks must not outlive it.
    response.commands = deps_.fleet->BuildStopsOfEndedJobs(heartbeat);
  } else if (machine.command_in_flight || machine.scaling_in) {
    // A direct command may be lost again and again in a partition, and the cloud may be down: stops
    // go with every response, or a cancelled task could outlive its time limit.
    response.commands = deps_.fleet->BuildStops(machine_index);
  } else {
    // Stops and clears need no valid lease; launches do.
    response.commands = deps_.fleet->BuildCommands(machine_index, lease_valid);
    // Building commands may raise the token.
    response.fencing_token = machine.fencing_token;
  }
  machine.lease_renewed_at = now;
  return response;
}

}  // namespace deckhall
