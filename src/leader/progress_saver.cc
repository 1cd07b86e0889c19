#include "leader/progress_saver.h"

#include <cmath>

namespace deckhall {
namespace {

// Interval between saves of the hints, in intervals between saves of the remaining work.
constexpr double kHintsIntervalFactor = 3;
// Smaller changes of a job's remaining work are not written.
constexpr double kMinRelativeChange = 0.1;
constexpr double kMinChangeCoreSeconds = 1;

bool IsStoredWorkCurrent(const Job& job) {
  if (job.stored_remaining_core_seconds < 0) return false;
  return std::abs(job.remaining_core_seconds - job.stored_remaining_core_seconds) <
         kMinRelativeChange * job.stored_remaining_core_seconds + kMinChangeCoreSeconds;
}

}  // namespace

void ProgressSaver::Start(double now) {
  next_progress_save_ = now + tuning_->progress_save_s;
  next_hints_save_ = now + kHintsIntervalFactor * tuning_->progress_save_s;
}

void ProgressSaver::SaveIfDue(double now) {
  if (now >= next_progress_save_) {
    next_progress_save_ = now + tuning_->progress_save_s;
    SaveRemainingWork();
  }
  if (now >= next_hints_save_) {
    next_hints_save_ = now + kHintsIntervalFactor * tuning_->progress_save_s;
    cache_hints_->Save();
  }
}

void ProgressSaver::SaveRemainingWork() {
  for (JobIndex job_index : job_store_->active_jobs()) {
    Job& job = (*job_store_)[job_index];
    if (job.spec.service || !job.acknowledged || IsStoredWorkCurrent(job)) continue;
    job.stored_remaining_core_seconds = job.remaining_core_seconds;
    job_store_->Save(job_index, WritePriority::kBackground);
  }
}

}  // namespace deckhall
