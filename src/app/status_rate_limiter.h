// Rate limiter for the status requests that one controller admits.
//
// Guarantees: at most `rate` requests per second are admitted, with a burst of one second, and no
// job starves while the leader responds. Three classes of jobs compete for the budget, in this
// order of priority:
//   - overdue: jobs known to exist whose last response is older than `kOverdueAfterSeconds`;
//   - unanswered: jobs without a recent response that are not known to exist;
//   - answered recently: these use the budget that the other classes leave, and are refused for
//     `kCatchUpSeconds` after a request of another class was refused.
// An admitted job counts as answered for `kResponseTimeoutSeconds`, so that repeated requests for
// it don't use up the budget while the first one is in flight.
//
// Hence, while the leader responds: let N jobs be queried at this controller, each at least every
// p <= `kCatchUpSeconds` seconds, and let
//   T = max(1, p) * N / (rate * (1 - kReservedForOverdueShare)).
// If T <= `kOverdueAfterSeconds`, each of them is answered again within
// `kOverdueAfterSeconds` + T + p seconds, however often other jobs are queried: while one of the N
// is refused, each of the others uses at most one request of the budget.
//
// Owned by `Controller`. Single-threaded; all times are seconds of the steady clock.
#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

#include "net/token_bucket.h"

namespace deckhall {

class StatusRateLimiter {
 public:
  // An existing job becomes overdue when its last response is this old.
  static constexpr double kOverdueAfterSeconds = 30;
  // How long an admitted request may take. A job without a response by then is overdue or
  // unanswered again.
  static constexpr double kResponseTimeoutSeconds = 2;
  // Jobs answered recently are refused for this long after a job of another class was refused.
  static constexpr double kCatchUpSeconds = 6;

  // Shares of the burst that are reserved for requests of a class of higher priority.
  static constexpr double kReservedForOverdueShare = 0.25;
  static constexpr double kReservedForUnansweredShare = 0.5;

  // `rate` is in requests per second.
  explicit StatusRateLimiter(double rate);

  // Whether a status request about the job is admitted at time `now`.
  bool Admit(const std::string& job, double now);
  // Records that a user got the state of the job or, with `exists` false, that no such job exists.
  void RecordResponse(const std::string& job, bool exists, double now);
  // The number of jobs tracked; bounded by the rate, since only admitted jobs are tracked.
  size_t size() const { return jobs_.size(); }

 private:
  struct Entry {
    double answered_until = 0;
    bool exists = false;
  };

  // Removes jobs that have not been queried for long.
  void RemoveExpiredJobs(double now);

  double rate_;
  TokenBucket bucket_;
  std::unordered_map<std::string, Entry> jobs_;
  double overdue_or_unanswered_refused_at_;
  double next_cleanup_at_ = 0;
};

}  // namespace deckhall
