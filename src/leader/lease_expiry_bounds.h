// Persisted bounds on the lease expiry of machines in partitioned zones.
//
// While a machine is partitioned, nobody on this side renews its lease. The time of day since when
// is stored with the machine's record, so that the leader after a failover need not wait a whole
// lease of its own before it replaces what ran there. Invariant: from before a bound is stored
// until its withdrawal is durable, this leader neither renews that machine's lease nor launches a
// task there; otherwise a later leader could take a live lease for expired. Owned by Leader.
// PROTOCOL: "Workers -> controller nodes" (leases), "Outages and cuts".
#pragma once

#include "cloud/provisioner.h"
#include "fleet/fleet.h"

namespace deckhall {

class LeaseExpiryBounds {
 public:
  LeaseExpiryBounds(const RecordStore* record_store, Fleet* fleet, Provisioner* provisioner,
                    const Clock* clock);

  // Stores since when the machine's lease was surely not renewed. Does nothing when that is not
  // known: a former leader may still answer a machine that has not shown this term's token.
  void RecordBound(MachineIndex machine_index);
  // Withdraws the bounds of all machines in the zone; they stay in effect until that is durable.
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
