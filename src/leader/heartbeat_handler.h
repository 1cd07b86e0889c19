// Handling of workers' heartbeats, and the responses that renew the workers' leases.
//
// A response with status 200 renews the machine's lease. So it is sent only while this leader
// certainly leads, or within the grace period of a leader that can't renew its own lease, and never
// while a bound on the machine's lease expiry is in effect. Stop commands are included in every
// response with this status; launches need a valid lease of the leader. The response to an
// implausible heartbeat has status 421. The default status makes the worker try another node. Owned
// by Leader. PROTOCOL: "POST /checkin".
#pragma once

#include <functional>

#include "config/settings.h"
#include "config/tuning.h"
#include "leader/command_log.h"
#include "leader/heartbeat_validator.h"
#include "leader/lease_expiry_bounds.h"

namespace deckhall {

class HeartbeatHandler {
 public:
  // Returns a steady time, in seconds, up to which certainly no later term had begun.
  using NoLaterTermSince = std::function<double(uint64_t term)>;

  struct Dependencies {
    Fleet* fleet;
    Provisioner* provisioner;
    HeartbeatValidator* heartbeat_validator;
    LeaseExpiryBounds* lease_expiry_bounds;
    CommandLog* command_log;
    const LeadershipLease* lease;
    const Clock* clock;
    const Settings* settings;
    const Tuning* tuning;
    uint64_t term;
    NoLaterTermSince no_later_term_since;  // unknown if unset
  };

  explicit HeartbeatHandler(Dependencies dependencies);

  // Applies the heartbeat and builds the response. Before the records are loaded, no heartbeat is
  // applied, since the machine's tasks are not known yet.
  HeartbeatResponse HandleHeartbeat(const Heartbeat& heartbeat, bool records_loaded);

 private:
  // The steady time, in seconds, until which machines' leases are renewed although this leader's
  // own lease is not valid.
  double GracePeriodEnd() const;
  // The machine's index; kNoIndex if the machine is unknown and must not be added now.
  MachineIndex FindOrAddMachine(const Heartbeat& heartbeat, bool lease_valid);
  HeartbeatResponse HandleStaleHeartbeat(MachineIndex machine_index, const Heartbeat& heartbeat);
  void UpdateRecord(MachineIndex machine_index, const Heartbeat& heartbeat);
  HeartbeatResponse RenewLease(MachineIndex machine_index, const Heartbeat& heartbeat,
                               bool lease_valid, double now);
  // Status 200 with the machine's fencing token.
  HeartbeatResponse AcceptedResponse(MachineIndex machine_index) const;

  const Dependencies deps_;
};

}  // namespace deckhall
