#include "app/status_rate_limiter.h"

#include <limits>

namespace deckhall {
StatusRateLimiter::StatusRateLimiter(double rate)
    : rate_(rate),
      bucket_(rate, rate),
      unanswered_refused_at_(-std::numeric_limits<double>::infinity()) {}

bool StatusRateLimiter::Admit(const std::string& job, double now) {
  ForgetOld(now);
  const auto known = jobs_.find(job);
  const bool answered = known != jobs_.end() && now < known->second.answered_until;
  const bool overdue = known != jobs_.end() && known->second.exists && !answered;
  if (answered) {
    return now >= unanswered_refused_at_ + kCatchUpSeconds &&
           bucket_.Take(now, 1, rate_ * kKeptForUnanswered);
  }
  if (!bucket_.Take(now, 1, overdue ? 0 : rate_ * kKeptForOverdue)) {
    unanswered_refused_at_ = now;
    return false;
  }
  jobs_[job].answered_until = now + kAnswerExpectedSeconds;
  return true;
}

void StatusRateLimiter::RecordAnswer(const std::string& job, bool exists, double now) {
  Entry& entry = jobs_[job];
  entry.answered_until = now + kAnswerLastsSeconds;
  entry.exists = exists;
}

void StatusRateLimiter::ForgetOld(double now) {
  if (now < next_cleanup_) return;
  next_cleanup_ = now + kAnswerLastsSeconds;
  std::erase_if(jobs_, [now](const auto& item) {
    const Entry& entry = item.second;
    return now > entry.answered_until + (entry.exists ? 2 * kAnswerLastsSeconds : 0);
  });
}

}  // namespace deckhall
