// Sends commands directly to workers, between their heartbeats.
//
// Sends each changed machine its launches, stops and clears, and announces this term's fencing
// token to machines that are not reconciled. At most one request per machine is in flight. Nothing
// is sent without a valid lease, and no launch while a bound on the machine's lease expiry is in
// effect. A command that got no response may still arrive, so the machine's fencing token is raised
// before the next one. Commands that find no room in a message go out in another one as soon as
// the machine has responded. Direct commands renew no lease. Owned by Leader.
// PROTOCOL: "POST /do", "Delayed messages".
#pragma once

#include "config/settings.h"
#include "config/tuning.h"
#include "fleet/worker_client.h"
#include "leader/command_log.h"
#include "leader/heartbeat_validator.h"
#include "leader/lease_expiry_bounds.h"
#include "leader/reachability_monitor.h"
#include "net/token_bucket.h"

namespace deckhall {

class CommandDispatcher {
 public:
  struct Dependencies {
    Fleet* fleet;
    Provisioner* provisioner;
    HeartbeatValidator* heartbeat_validator;
    LeaseExpiryBounds* lease_expiry_bounds;
    ReachabilityMonitor* reachability_monitor;
    WorkerClient* workers;
    CommandLog* command_log;
    const LeadershipLease* lease;
    const Clock* clock;
  };

  CommandDispatcher(const Dependencies& dependencies, const Settings& settings,
                    const Tuning& tuning);

  // Sends commands to changed machines, as far as the budget allows. `now` is steady time, in
  // seconds.
  void PushPendingCommands(double now);
  // Machines checked so far; tests bound the work as the fleet grows.
  uint64_t work_units() const { return work_units_; }

 private:
  void PushCommands(MachineIndex machine_index);
  bool MaySendNow(const Machine& machine) const;
  void Send(MachineIndex machine_index, const CommandBatch& commands);
  void HandleResponse(MachineIndex machine_index, const WorkerResponse& response,
                      HeartbeatVersion version);
  // Delays the machine's next command, for longer after each failure.
  void BackOff(Machine* machine) const;
  // Handles a request that the agent refused without executing it. The agent is reachable, and the
  // request can't be executed late.
  void HandleRefusal(MachineIndex machine_index);
  // Handles a request without response, or with one from another machine at this endpoint.
  void HandleMissingResponse(MachineIndex machine_index, const WorkerResponse& response);

  const Dependencies deps_;
  TokenBucket budget_;
  uint64_t work_units_ = 0;
};

}  // namespace deckhall
