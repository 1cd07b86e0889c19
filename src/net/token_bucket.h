// Token bucket rate limiter. Callers of low priority can leave a reserve for the others.
#pragma once

#include <algorithm>

namespace deckhall {

class TokenBucket {
 public:
  TokenBucket(double rate, double burst) : rate_(rate), burst_(burst), level_(burst) {}

  // Takes `n` tokens if at least `reserve` tokens remain.
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
  // Empties the bucket after the remote side rejected a request: its count is lower than this one.
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
