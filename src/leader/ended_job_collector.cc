#include "leader/ended_job_collector.h"

#include <vector>

#include "leader/leader_timing.h"

namespace deckhall {

bool EndedJobCollector::IsSpecNeeded(const Job& job, double now) const {
  const double keep_seconds =
      settings_->cancel_s + settings_->lease_s + GracePeriodSeconds(*settings_);
  return now - job.ended_at < keep_seconds || job.tasks_unreconciled > 0 || !job.end_acknowledged ||
         job.attempt_count != 0;
}

void EndedJobCollector::CollectEndedJobs() {
  const double now = clock_->Now();
  // Copied, since DropSpec() removes the job from the list.
  const std::vector<JobIndex> ended_jobs = job_store_->ended_jobs();
  for (JobIndex job_index : ended_jobs) {
    if (!IsSpecNeeded((*job_store_)[job_index], now)) job_store_->DropSpec(job_index);
  }
}

}  // namespace deckhall
