#include "leader/leader_options.h"

#include <algorithm>

#include "leader/leader_timing.h"
#include "state/key_value_client.h"

namespace deckhall {
namespace {

constexpr double kBytesPerKb = 1024;
// The remaining share of a page is reserved for records that grow.
constexpr double kPageFillShare = 0.85;
// Instances are listed in one of this many requests that the cloud's rate limit allows.
constexpr double kRequestsPerInstanceList = 4;
constexpr double kMinListIntervalSeconds = 2;
constexpr double kMaxListIntervalSeconds = 10;

}  // namespace

RecordStoreLimits RecordStoreLimitsFrom(const Settings& settings) {
  const StateLimits& effective = settings.effective_state_limits;
  RecordStoreLimits limits;
  limits.max_value_bytes = static_cast<size_t>(effective.value_kb * kBytesPerKb);
  limits.fill_bytes = static_cast<size_t>(effective.value_kb * kBytesPerKb * kPageFillShare);
  limits.current_max_value_bytes =
      static_cast<size_t>(settings.current_state_limits.value_kb * kBytesPerKb);
  limits.max_transaction_ops = static_cast<size_t>(std::max(1, effective.txn_ops));
  limits.write_burst = WriteBurst(effective.write_rps);
  return limits;
}

FleetOptions FleetOptionsFrom(const Settings& settings) {
  FleetOptions options;
  options.lease_s = settings.lease_s;
  options.former_leader_grace_s = GracePeriodSeconds(settings);
  options.wall_clock_bound_s = settings.wall_clock_bound_ms / 1000;
  return options;
}

ProvisionerOptions ProvisionerOptionsFrom(const Settings& settings) {
  ProvisionerOptions options;
  options.list_lag_s = settings.cloud_list_lag_s;
  options.list_interval_s = std::clamp(kRequestsPerInstanceList / settings.cloud_rps,
                                       kMinListIntervalSeconds, kMaxListIntervalSeconds);
  return options;
}

}  // namespace deckhall
