// The time bounds used to determine lease expiry. Set once, from the settings.
#pragma once

namespace deckhall {

struct FleetOptions {
  double lease_s = 30;                // an agent kills its tasks when its lease has expired
  double former_leader_grace_s = 20;  // how long a former leader may still respond to heartbeats
  double clock_drift = 0.002;         // maximum relative drift between any two steady clocks
  double wall_clock_bound_s = 1;      // maximum error of any wall clock
};

}  // namespace deckhall
