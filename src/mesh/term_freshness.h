// Tracks a time up to which certainly no other controller has led a later term: each peer confirmed
// this in response to a ping sent at that time or later.
//
// Invariants: the confirmed time of a peer is the send time of a ping and never decreases, so a
// delayed response can't make it wrong. Owned by `PeerMembership`. Times are seconds of the steady
// clock.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace deckhall {

class TermFreshness {
 public:
  explicit TermFreshness(size_t peer_count) : confirmed_at_(peer_count, kNever) {}

  // Records that the peer knew of no later term when it responded to the ping sent at `sent_at`.
  // `term_confirmed`: the peer's process has read the leader key since it started. Otherwise the
  // response is ignored, since a former process of that controller may have led a later term.
  void RecordPing(size_t peer, double sent_at, bool term_confirmed) {
    if (term_confirmed) confirmed_at_[peer] = std::max(confirmed_at_[peer], sent_at);
  }
  // The earliest confirmed time of all peers, at most `now`; `kNever` while a confirmation is
  // missing.
  double Since(double now) const {
    double since = now;
    for (const double at : confirmed_at_) since = std::min(since, at);
    return since;
  }

  static constexpr double kNever = -1e9;  // long before any time of the steady clock

 private:
  std::vector<double> confirmed_at_;  // by peer index
};

}  // namespace deckhall
