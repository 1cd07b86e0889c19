// The time bounds on which lease expiry is judged. Set once, from the settings.
#pragma once

namespace deckhall {

struct FleetOptions {
  double lease_s = 30;                // an agent kills its tasks when its lease has run out
  double former_leader_grace_s = 20;  // for how long a former leader may still answer heartbeats
  double clock_drift = 0.002;         // relative drift between any two steady clocks, at most
  double wall_clock_bound_s = 1;      // distance of any wall clock from the true time, at most
};

}  // namespace deckhall
