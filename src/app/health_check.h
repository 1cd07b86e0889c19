// Whether this node can serve users: it, or a node it can reach, leads; or its
// peers are there and one of them soon will. Changes slowly, since the load
// balancer does.
#pragma once

#include <string>

namespace deckhall {

class HealthCheck {
 public:
  explicit HealthCheck(std::string self) : self_(std::move(self)) {}

  // `leader` is the node that leads or holds on, as far as known here. A holder
  // that lost the state service, and with it its own trust, is none to users,
  // though it goes on answering its workers for a while.
  void Update(double now, const std::string& leader, bool trusted, double peers_silent_s) {
    if (!leader.empty() && (leader != self_ || trusted)) leader_seen_at_ = now;
    if (leader_seen_at_ >= 0 && peers_silent_s < kIsolatedSeconds) peers_seen_at_ = now;
  }
  bool IsHealthy(double now) const {
    return leader_seen_at_ >= 0 &&
           (now - leader_seen_at_ < kIsolatedSeconds || now - peers_seen_at_ < kIsolatedSeconds);
  }

  static constexpr double kIsolatedSeconds = 3;

 private:
  std::string self_;
  double leader_seen_at_ = -1;
  double peers_seen_at_ = -1e9;
};

}  // namespace deckhall
