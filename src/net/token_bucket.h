// A rate budget with a burst; a reserve can be kept for what goes first.
#pragma once

#include <algorithm>

namespace deckhall {

class TokenBucket {
 public:
  TokenBucket(double rate, double burst) : rate_(rate), burst_(burst), level_(burst) {}

  // Takes `n` if that leaves `reserve` untouched.
  bool Take(double now, double n, double reserve = 0) {
    Refill(now);
    if (level_ - n < reserve) return false;
    level_ -= n;
    return true;
  }
  double Level(double now) {
    Refill(now);
    return level_;
  }
  // The other side refused: its count and ours differ.
  void Drain() { level_ = std::min(level_, 0.0); }

 private:
  void Refill(double now) {
    if (last_ >= 0) level_ = std::min(burst_, level_ + (now - last_) * rate_);
    last_ = now;
  }

  double rate_;
  double burst_;
  double level_;
  double last_ = -1;
};

}  // namespace deckhall
