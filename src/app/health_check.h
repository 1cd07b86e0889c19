// Whether this controller can serve users, as reported by GET /up.
//
// A controller is healthy while it leads with a valid lease or knows another leader, and during a
// failover while its peers are alive, since one of them will soon lead. It becomes unhealthy only
// after a timeout, because the load balancer is slow to readmit a controller (PROTOCOL, "Users ->
// controller nodes").
//
// Owned by `Controller`. All times are seconds of the steady clock.
#pragma once

#include <string>
#include <utility>

namespace deckhall {

class HealthCheck {
 public:
  // `label` is that of this controller.
  explicit HealthCheck(std::string label) : label_(std::move(label)) {}

  // `leader`: the label of the known leader, empty if there is none. `lease_valid`: whether this
  // controller holds a valid lease. A controller that holds the leader key without a valid lease
  // can't reach the state service and serves no users, though it still responds to heartbeats for
  // a grace period. `seconds_since_peer_response`: the time since any peer last responded.
  void Update(double now, const std::string& leader, bool lease_valid,
              double seconds_since_peer_response) {
    const bool can_serve = !leader.empty() && (leader != label_ || lease_valid);
    if (can_serve) leader_known_at_ = now;
    if (HasKnownLeader() && seconds_since_peer_response < kIsolationTimeoutSeconds) {
      peers_alive_at_ = now;
    }
  }

  bool IsHealthy(double now) const {
    return HasKnownLeader() && (now - leader_known_at_ < kIsolationTimeoutSeconds ||
                                now - peers_alive_at_ < kIsolationTimeoutSeconds);
  }

 private:
  static constexpr double kIsolationTimeoutSeconds = 3;

  // Whether any leader has been known since this process started.
  bool HasKnownLeader() const { return leader_known_at_ >= 0; }

  std::string label_;
  double leader_known_at_ = -1;   // negative if none has been known
  double peers_alive_at_ = -1e9;  // initially long before any time of the steady clock
};

}  // namespace deckhall
