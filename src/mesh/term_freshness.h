// Since when surely no other controller has led a later term: each peer has said
// so in answer to something sent at that time or later.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace deckhall {

class TermFreshness {
 public:
  explicit TermFreshness(size_t peers) : confirmed_at_(peers, kNever) {}

  // The peer knew of no later term when it answered what was sent at `asked_at`.
  // The word of a process that has not yet asked the state service since it was
  // started counts for nothing: its predecessor may have led, and been forgotten.
  void RecordPing(size_t peer, double asked_at, bool informed) {
    if (informed) confirmed_at_[peer] = std::max(confirmed_at_[peer], asked_at);
  }
  double Since(double now) const {
    double since = now;
    for (double at : confirmed_at_) since = std::min(since, at);
    return since;
  }

  static constexpr double kNever = -1e9;

 private:
  std::vector<double> confirmed_at_;
};

}  // namespace deckhall
