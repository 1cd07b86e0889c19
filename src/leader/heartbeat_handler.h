// Heartbeats of workers and the responses that renew their leases.
//
// A response with status 200 renews the machine's lease, so it is given only while this leader
// surely leads, or within the grace period after its lease was last valid, and never while a bound
// on the machine's lease expiry is in effect. Commands for tasks that are to stop go with every
// response; launches need a valid lease. Status 421 answers an implausible heartbeat, and the
// default status sends the worker to another node. Owned by Leader. PROTOCOL: "POST /checkin".
#pragma once

#include <functional>

#include "config/settings.h"
#include "config/tuning.h"
#include "leader/heartbeat_validator.h"
#include "leader/lease_expiry_bounds.h"

namespace deckhall {

class HeartbeatHandler {
 public:
  // A steady time, in seconds, at which surely no later term had begun.
  using NoLaterTermSince = std::function<double(uint64_t term)>;

  struct Dependencies {
    Fleet* fleet;
    Provisioner* provisioner;
    HeartbeatValidator* heartbeat_validator;
    LeaseExpiryBounds* lease_expiry_bounds;
    const LeadershipLease* lease;
    const Clock* clock;
    const Settings* settings;
    const Tuning* tuning;
    uint64_t term;
    NoLaterTermSince no_later_term_since;  // may be empty: not known
  };

  explicit HeartbeatHandler(Dependencies dependencies);

  // Applies the heartbeat and builds the response. Without the loaded records nothing is applied,
  // since nothing is known of the machine's tasks yet.
  HeartbeatResponse HandleHeartbeat(const Heartbeat& heartbeat, bool records_loaded);

 private:
  // The steady time, in seconds, until which leases are renewed without a valid leader's lease.
  double GracePeriodEnd() const;
  // The machine's index; kNoIndex when it is unknown and may not be added now.
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
