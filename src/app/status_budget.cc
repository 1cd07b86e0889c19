#include "app/status_budget.h"

#include <limits>

namespace deckhall {
StatusBudget::StatusBudget(double rate)
    : rate_(rate),
      bucket_(rate, rate),
      unanswered_refused_at_(-std::numeric_limits<double>::infinity()) {}

bool StatusBudget::Admit(const std::string& job, double now) {
  ForgetOld(now);
  const auto known = jobs_.find(job);
  const bool answered = known != jobs_.end() && now < known->second.answered_until;
  const bool overdue = known != jobs_.end() && known->second.exists && !answered;
  if (answered) {
    return now >= unanswered_refused_at_ + kCatchUp &&
           bucket_.Take(now, 1, rate_ * kKeptForUnanswered);
  }
  if (!bucket_.Take(now, 1, overdue ? 0 : rate_ * kKeptForOverdue)) {
    unanswered_refused_at_ = now;
    return false;
  }
  jobs_[job].answered_until = now + kAnswerExpected;
  return true;
}

void StatusBudget::Answered(const std::string& job, bool exists, double now) {
  Entry& entry = jobs_[job];
  entry.answered_until = now + kAnswerLasts;
  entry.exists = exists;
}

void StatusBudget::ForgetOld(double now) {
  if (now < next_cleanup_) return;
  next_cleanup_ = now + kAnswerLasts;
  std::erase_if(jobs_, [now](const auto& item) {
    const Entry& entry = item.second;
    return now > entry.answered_until + (entry.exists ? 2 * kAnswerLasts : 0);
  });
}

}  // namespace deckhall
