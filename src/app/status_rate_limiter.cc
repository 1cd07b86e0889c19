#include "app/status_rate_limiter.h"

#include <limits>

namespace deckhall {
namespace {

constexpr double kNever = -std::numeric_limits<double>::infinity();
constexpr double kTokensPerRequest = 1;

}  // namespace

StatusRateLimiter::StatusRateLimiter(double rate)
    : rate_(rate), bucket_(rate, rate), overdue_or_unanswered_refused_at_(kNever) {}

bool StatusRateLimiter::Admit(const std::string& job, double now) {
  ForgetOldJobs(now);
  const auto known = jobs_.find(job);
  const bool answered = known != jobs_.end() && now < known->second.answered_until;
  const bool overdue = known != jobs_.end() && known->second.exists && !answered;
  if (answered) {
    return now >= overdue_or_unanswered_refused_at_ + kCatchUpSeconds &&
           bucket_.Take(now, kTokensPerRequest, rate_ * kKeptForUnanswered);
  }
  if (!bucket_.Take(now, kTokensPerRequest, overdue ? 0 : rate_ * kKeptForOverdue)) {
    overdue_or_unanswered_refused_at_ = now;
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

void StatusRateLimiter::ForgetOldJobs(double now) {
  if (now < next_cleanup_at_) return;
  next_cleanup_at_ = now + kAnswerLastsSeconds;
  std::erase_if(jobs_, [now](const auto& item) {
    const Entry& entry = item.second;
    // An existing job stays for a while once it is overdue, so that its class is known.
    const double kept_s = entry.exists ? 2 * kAnswerLastsSeconds : 0;
    return now > entry.answered_until + kept_s;
  });
}

}  // namespace deckhall
