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
  RemoveExpiredJobs(now);
  const auto found = jobs_.find(job);
  const bool answered = found != jobs_.end() && now < found->second.answered_until;
  const bool overdue = found != jobs_.end() && found->second.exists && !answered;
  if (answered) {
    return now >= overdue_or_unanswered_refused_at_ + kCatchUpSeconds &&
           bucket_.Take(now, kTokensPerRequest, rate_ * kReservedForUnansweredShare);
  }
  if (!bucket_.Take(now, kTokensPerRequest, overdue ? 0 : rate_ * kReservedForOverdueShare)) {
    overdue_or_unanswered_refused_at_ = now;
    return false;
  }
  jobs_[job].answered_until = now + kResponseTimeoutSeconds;
  return true;
}

void StatusRateLimiter::RecordResponse(const std::string& job, bool exists, double now) {
  Entry& entry = jobs_[job];
  entry.answered_until = now + kOverdueAfterSeconds;
  entry.exists = exists;
}

void StatusRateLimiter::RemoveExpiredJobs(double now) {
  if (now < next_cleanup_at_) return;
  next_cleanup_at_ = now + kOverdueAfterSeconds;
  std::erase_if(jobs_, [now](const auto& item) {
    const Entry& entry = item.second;
    // An existing job is kept for some time after it became overdue, so that its class is known.
    const double retention_s = entry.exists ? 2 * kOverdueAfterSeconds : 0;
    return now > entry.answered_until + retention_s;
  });
}

}  // namespace deckhall
