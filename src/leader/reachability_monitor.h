// Detects whether missing responses are caused by single machines, or by this node or its network.
//
// When most requests to workers fail at once, the cause is probably on this node's side. Machines
// must then not be declared dead quickly, and a leader for which this persists should resign.
// Machines that are already known to be unreachable, or are in a suspected zone, are not counted,
// since they give no new information about this node. Owned by Leader; FailureDetector and
// CommandDispatcher record the outcomes of their requests.
#pragma once

#include <cstddef>

#include "fleet/fleet.h"
#include "leader/partition_detector.h"
#include "net/clock.h"

namespace deckhall {

// Numbers of machines, counted in one pass over the fleet.
struct FleetHealth {
  size_t up = 0;            // have sent a heartbeat and are not being released
  size_t busy = 0;          // machines up that run tasks
  size_t unresponsive = 0;  // machines up that did not respond to their last probe
  size_t one_way = 0;       // machines up that send heartbeats, but requests to them are lost
  size_t unreconciled = 0;  // may run tasks of a former leader and are not reconciled yet
};

class ReachabilityMonitor {
 public:
  ReachabilityMonitor(const PartitionDetector* partition_detector, const Clock* clock)
      : partition_detector_(partition_detector), clock_(clock) {}

  // Records whether the machine responded to a probe or command.
  void RecordOutcome(const Machine& machine, bool responded);
  // Assesses the outcomes so far and the fleet's health. Called once per liveness check; the weight
  // of earlier outcomes is halved at each call. `now` is steady time, in seconds.
  void Update(const FleetHealth& health, double now);
  // Whether so many machines are unresponsive that this node or its network is probably at fault.
  bool IsFleetMostlyUnresponsive() const { return fleet_mostly_unresponsive_; }
  // Seconds for which most machines have not responded to this node, even if their heartbeats
  // arrive through other nodes; 0 if they respond.
  double UnreachableSeconds() const;

 private:
  // Outcomes of recent probes and commands.
  struct RecentOutcomes {
    double responses = 0;          // decaying count
    double timeouts = 0;           // decaying count
    int consecutive_timeouts = 0;  // since the last response
    double last_response_at = 0;   // steady time, in seconds
  };

  bool AreWorkersUnreachable(const FleetHealth& health, double now) const;

  const PartitionDetector* partition_detector_;
  const Clock* clock_;
  RecentOutcomes recent_;
  bool fleet_mostly_unresponsive_ = false;
  double unreachable_since_ = -1;  // steady time, in seconds; negative if reachable
};

}  // namespace deckhall
