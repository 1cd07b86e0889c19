// Persisted bounds on the lease expiry of machines in partitioned zones.
//
// While a machine is partitioned, no controller on this side of the partition renews its lease. The
// time of day since which this holds is stored in the machine's record. So after a failover the new
// leader need not wait a whole lease period of its own before it replaces the machine's tasks.
//
// Invariant: from before a bound is stored until its withdrawal is durable, this leader neither
// renews that machine's lease nor launches a task there; otherwise a later leader could consider a
// valid lease expired. Owned by Leader. PROTOCOL: "Workers -> controller nodes" (leases), "Outages
// and cuts".
#pragma once

#include "cloud/provisioner.h"
#include "fleet/fleet.h"

namespace deckhall {

class LeaseExpiryBounds {
 public:
  LeaseExpiryBounds(const RecordStore* record_store, Fleet* fleet, Provisioner* provisioner,
                    const Clock* clock);

  // Stores the time since which the machine's lease was certainly not renewed. Does nothing if that
  // is not known: a former leader may still renew the lease of a machine that has not shown a token
  // of this term.
  void RecordBound(MachineIndex machine_index);
  // Withdraws the bounds of all machines in the zone. Each stays in effect until its withdrawal is
  // durable.
  void WithdrawBounds(uint32_t zone);
  // Whether no bound of the machine is in effect, so that its lease may be renewed.
  bool HasNoBound(MachineIndex machine_index);

 private:
  const RecordStore* record_store_;
  Fleet* fleet_;
  Provisioner* provisioner_;
  const Clock* clock_;
};

}  // namespace deckhall
