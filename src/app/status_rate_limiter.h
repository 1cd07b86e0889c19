// Bounds the status requests that one controller takes, and shares them out so that no
// job is refused again and again while the leader answers.
#pragma once

#include <string>
#include <unordered_map>

#include "net/token_bucket.h"

namespace deckhall {

// Admits `rate` requests a second at most, with a burst of one second. Three kinds of jobs
// compete for them, in this order:
//   - overdue ones: known here, and not answered for kAnswerLasts;
//   - those not asked about here so far;
//   - those answered lately: they use what the others leave, and nothing for kCatchUp after
//     one of the others was refused.
// An admitted job counts as answered for kAnswerExpected, so that repeats of a request that
// is on its way don't use up the budget. Hence, while the leader answers: let N jobs be
// asked about at this controller, each at least every p <= kCatchUp seconds, and let
// T = max(1, p) * N / (rate * (1 - kKeptForOverdue)). If T <= kAnswerLasts, each of them is
// answered again within kAnswerLasts + T + p seconds, however often others are asked about: while
// one of them is refused, each of the others takes at most one request out of the budget.
class StatusRateLimiter {
 public:
  static constexpr double kAnswerLastsSeconds = 30;    // seconds
  static constexpr double kAnswerExpectedSeconds = 2;  // seconds
  static constexpr double kCatchUpSeconds = 6;         // seconds

  // Parts of the burst that only requests of a more pressing kind may use.
  static constexpr double kKeptForOverdue = 0.25;
  static constexpr double kKeptForUnanswered = 0.5;

  explicit StatusRateLimiter(double rate);

  // Whether a status request about the job is taken at time `now`.
  bool Admit(const std::string& job, double now);
  // A user was told the state of the job, or, with `exists` false, that there is none.
  void RecordAnswer(const std::string& job, bool exists, double now);
  // Jobs remembered; bounded by the rate, since only admitted ones are.
  size_t size() const { return jobs_.size(); }

 private:
  struct Entry {
    double answered_until = 0;
    bool exists = false;
  };

  void ForgetOld(double now);

  double rate_;
  TokenBucket bucket_;
  std::unordered_map<std::string, Entry> jobs_;
  double unanswered_refused_at_;
  double next_cleanup_ = 0;
};

}  // namespace deckhall
