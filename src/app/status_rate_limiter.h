// Rate limit for the status requests that one controller admits.
//
// Guarantees: at most `rate` requests per second are admitted, with a burst of one second, and the
// budget is shared so that no job starves while the leader responds. Three classes of jobs compete
// for it, in this order:
//   - overdue: known here, and not answered for `kAnswerLastsSeconds`;
//   - unanswered: not asked about here so far;
//   - answered lately: they use what the others leave, and nothing for `kCatchUpSeconds` after one
//     of the others was refused.
// An admitted job counts as answered for `kAnswerExpectedSeconds`, so that repeats of a request in
// flight don't use up the budget.
//
// Hence, while the leader responds: let N jobs be asked about at this controller, each at least
// every p <= `kCatchUpSeconds` seconds, and let
//   T = max(1, p) * N / (rate * (1 - kKeptForOverdue)).
// If T <= `kAnswerLastsSeconds`, each of them is answered again within
// `kAnswerLastsSeconds` + T + p seconds, however often others are asked about: while one of them is
// refused, each of the others takes at most one request out of the budget.
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
  // How long an answer lasts: a job that was not answered since is overdue.
  static constexpr double kAnswerLastsSeconds = 30;
  // How long an admitted request may take; then the job is unanswered again.
  static constexpr double kAnswerExpectedSeconds = 2;
  static constexpr double kCatchUpSeconds = 6;

  // Fractions of the burst that are reserved for requests of a higher class.
  static constexpr double kKeptForOverdue = 0.25;
  static constexpr double kKeptForUnanswered = 0.5;

  // `rate` is in requests per second.
  explicit StatusRateLimiter(double rate);

  // Whether a status request about the job is admitted at time `now`.
  bool Admit(const std::string& job, double now);
  // Records that a user was told the state of the job, or, with `exists` false, that there is none.
  void RecordAnswer(const std::string& job, bool exists, double now);
  // The number of jobs remembered; bounded by the rate, since only admitted ones are.
  size_t size() const { return jobs_.size(); }

 private:
  struct Entry {
    double answered_until = 0;
    bool exists = false;
  };

  // Forgets jobs that have not been asked about for long.
  void ForgetOldJobs(double now);

  double rate_;
  TokenBucket bucket_;
  std::unordered_map<std::string, Entry> jobs_;
  double overdue_or_unanswered_refused_at_;
  double next_cleanup_at_ = 0;
};

}  // namespace deckhall
