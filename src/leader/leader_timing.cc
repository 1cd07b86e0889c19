#include "leader/leader_timing.h"

#include <algorithm>

namespace deckhall {

// A task whose cancellation another leader has confirmed must end within cancel_s, even on a
// machine that gets responses from this leader only. So the grace period and the lease must
// together be shorter than cancel_s.
double GracePeriodSeconds(const Settings& settings) {
  return std::max(0.0, (settings.cancel_s - settings.lease_s) * 0.9 - 1.5);
}

double WorkerCallsPerSecond(const Settings& settings, const Tuning& tuning) {
  return settings.quota_cores * 1000 / tuning.worker_call_ms;
}

}  // namespace deckhall
