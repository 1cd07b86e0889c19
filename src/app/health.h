// Whether this node can serve users: it, or a node it can reach, leads; or its
// peers are there and one of them soon will. Changes slowly, since the load
// balancer does.
#pragma once

#include <string>

namespace deckhall {

class Health {
 public:
  explicit Health(std::string self) : self_(std::move(self)) {}

  // `leader` is the node that leads or holds on, as far as known here. A holder
  // that lost the state service, and with it its own trust, is none to users,
  // though it goes on answering its workers for a while.
  void Note(double now, const std::string& leader, bool trusted, double peers_silent_s) {
    if (!leader.empty() && (leader != self_ || trusted)) leader_at_ = now;
    if (leader_at_ >= 0 && peers_silent_s < kIsolated) peers_at_ = now;
  }
  bool Up(double now) const {
    return leader_at_ >= 0 && (now - leader_at_ < kIsolated || now - peers_at_ < kIsolated);
  }

  static constexpr double kIsolated = 3;

 private:
  std::string self_;
  double leader_at_ = -1;
  double peers_at_ = -1e9;
};

}  // namespace deckhall
