// Applies heartbeats and probe responses to a machine: their order, agent restarts, fencing
// tokens, preemption notices; then has the attempts reconciled.
//
// Guarantees: an older heartbeat never overwrites the state a newer one set. Attempts are
// reconciled only after the agent has shown a token of this term, since before that a command of
// a former leader may still change what runs there.
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

  // Applies a heartbeat, or the one in the response to a command. False if it is not newer than
  // the last one applied; nothing but `suspected` is changed then.
  bool ApplyHeartbeat(MachineIndex machine_index, const Heartbeat& heartbeat);

  // Applies the response to a probe or direct command that was sent when `version_at_probe` was the
  // newest known. It proves that the agent is reachable, and reveals whether it has restarted.
  void ApplyProbeResponse(MachineIndex machine_index, const Heartbeat& heartbeat,
                          HeartbeatVersion version_at_probe);

  // A command or probe got no usable response. From the second time on, attempts that were never
  // sent there are requeued.
  void RecordUnreachable(MachineIndex machine_index);

 private:
  // An older heartbeat is a late copy, or comes from an agent that has restarted and counts from
  // the start again. Only a probe can tell.
  static bool IsSuspicious(const Machine& machine, const Heartbeat& heartbeat);
  void RecordHeard(MachineIndex machine_index, double now);
  // The agent's lease expired, and it began a new epoch without tasks.
  void HandleNewEpoch(MachineIndex machine_index);
  // The agent restarted under the same name, with an epoch it has used before.
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
