// Applies heartbeats and probe responses to a machine: rejects outdated ones, detects agent
// restarts, records fencing tokens and preemption notices, then has the attempts reconciled.
//
// Guarantees: an older heartbeat never overwrites the state that a newer one set. Attempts are
// reconciled only after the agent has reported a token of this term, since until then a command of
// a former leader may still start or stop tasks on the machine.
//
// Owned by Fleet.
#pragma once

#include <cstdint>

#include "fleet/attempt_reconciler.h"
#include "fleet/attempt_tracker.h"
#include "fleet/fencing.h"
#include "fleet/machine_registry.h"
#include "net/clock.h"
#include "wire/types.h"

namespace deckhall {

class HeartbeatApplier {
 public:
  HeartbeatApplier(MachineRegistry* machines, AttemptTracker* attempts,
                   AttemptReconciler* reconciler, const Clock* clock, uint64_t term);

  // Applies a heartbeat, or the state in a response of the agent. Returns false, and changes at
  // most `suspected`, if it is not newer than the last one applied.
  bool ApplyHeartbeat(MachineIndex machine_index, const Heartbeat& heartbeat);

  // Applies the response to a probe or direct command; `version_at_probe` was the newest version
  // known when it was sent. The response proves that the agent is reachable, and shows whether it
  // has restarted.
  void ApplyProbeResponse(MachineIndex machine_index, const Heartbeat& heartbeat,
                          HeartbeatVersion version_at_probe);

  // Records that a command or probe got no usable response. From the second failure in a row on,
  // requeues the attempts whose launch was never sent.
  void RecordUnreachable(MachineIndex machine_index);

 private:
  // Whether an older heartbeat may come from an agent that has restarted and reset its epoch,
  // sequence or token, rather than be a delayed copy. Only a probe can distinguish the two.
  static bool IsSuspicious(const Machine& machine, const Heartbeat& heartbeat);
  void RecordLiveness(MachineIndex machine_index, double now);
  // Handles an agent whose lease expired and which began a new epoch without tasks.
  void HandleNewEpoch(MachineIndex machine_index);
  // Handles an agent that restarted under the same name with an epoch it has used before.
  void HandleAgentRestart(MachineIndex machine_index, const Heartbeat& heartbeat);
  void ApplyFencingToken(MachineIndex machine_index, uint64_t reported_token, double now);
  void ApplyPreemptionNotice(MachineIndex machine_index, double notice_s, double now);

  MachineRegistry* machines_;
  AttemptTracker* attempts_;
  AttemptReconciler* reconciler_;
  const Clock* clock_;
  uint64_t term_;
};

}  // namespace deckhall
