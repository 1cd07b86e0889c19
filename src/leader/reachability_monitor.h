// Whether missing responses are the fault of single machines, or of this node and its network.
//
// When most requests to workers fail at once, the cause is rather on this node's side: machines
// must then not be declared dead quickly, and a leader that stays so should resign. Machines that
// are already known to be unreachable, or are in a suspected zone, don't count, since they say
// nothing new about this node. Owned by Leader; fed by FailureDetector and CommandDispatcher.
#pragma once

#include <cstddef>

#include "fleet/fleet.h"
#include "leader/partition_detector.h"
#include "net/clock.h"

namespace deckhall {

// Counts of one pass over the fleet.
struct FleetHealth {
  size_t up = 0;            // have sent a heartbeat and are not being returned
  size_t busy = 0;          // of those up: run tasks
  size_t unresponsive = 0;  // of those up: did not respond to their last probe
  size_t one_way = 0;       // of those up: send heartbeats, but no request reaches them
  size_t unreconciled = 0;  // may run a former leader's tasks and were not reconciled yet
};

class ReachabilityMonitor {
 public:
  ReachabilityMonitor(const PartitionDetector* partition_detector, const Clock* clock)
      : partition_detector_(partition_detector), clock_(clock) {}

  // The machine responded to a probe or command, or did not.
  void RecordOutcome(const Machine& machine, bool responded);
  // Judges anew from the outcomes so far and the fleet's health. Called once per liveness check:
  // older outcomes count for half at each call. `now` is steady time, in seconds.
  void Update(const FleetHealth& health, double now);
  // Whether so much of the fleet is unresponsive that this node's network is rather at fault.
  bool IsFleetMostlyUnresponsive() const { return fleet_mostly_unresponsive_; }
  // Seconds for which most machines have not responded to this node although their heartbeats
  // arrive by way of other nodes; 0 when they do respond.
  double UnreachableSeconds() const;

 private:
  // Probes and commands of the last moments.
  struct RecentOutcomes {
    double responses = 0;  // decaying counts
    double timeouts = 0;
    int consecutive_timeouts = 0;  // since the last response
    double last_response_at = 0;   // steady time, in seconds
  };

  bool HasLostWorkers(const FleetHealth& health, double now) const;

  const PartitionDetector* partition_detector_;
  const Clock* clock_;
  RecentOutcomes recent_;
  bool fleet_mostly_unresponsive_ = false;
  double unreachable_since_ = -1;  // steady time, in seconds; negative: reachable
};

}  // namespace deckhall
