// Order in which arrays and gangs get free capacity: the paper's Fair Sojourn Protocol over the
// unfinished jobs (sched/fsp.h). Guaranteed jobs rank before the others, and aging bounds
// starvation.
//
// Owned by the leader of a term. Ranks and remaining work are stored in the jobs; learned run times
// are kept in memory here and are lost when the term ends.
#pragma once

#include <vector>

#include "leader/free_capacity.h"

namespace deckhall {

class Ranking {
 public:
  Ranking(JobStore* job_store, const FreeCapacity* free_capacity, const Clock* clock,
          const Tuning* tuning)
      : job_store_(job_store), free_capacity_(free_capacity), clock_(clock), tuning_(tuning) {}

  // Aging: whether none of the job's tasks was placed for Tuning::starvation_s. Such a job is
  // ranked first for one task, regardless of its size, team or priority. Its quota, its zones and
  // the tasks that may be preempted for it don't change.
  bool IsStarved(const Job& job, double now) const;

  // Called when a job was added or has ended: the next Refresh() recomputes the ranks.
  void Invalidate() { next_refresh_ = 0; }

  // Recomputes the ranks if they are invalid or older than Tuning::refresh_s.
  void Refresh();

  // Arrays and gangs by rank, as of the last Refresh(). Some may have ended since then.
  const std::vector<JobIndex>& order() const { return order_; }

  // Updates the statistics of the job's class after a task completed in `run_s` seconds.
  void RecordRuntime(const Job& job, double run_s);

  // Expected run time of one task, in seconds: the user's estimate, corrected by the run times of
  // the job's class so far.
  double ExpectedTaskSeconds(const Job& job) const;

  // Expected remaining work, in core-seconds.
  double RemainingCoreSeconds(const Job& job) const;

 private:
  // Run-time statistics of a class of jobs.
  struct ClassStats {
    double log_ratio = 0;  // mean logarithm of actual over estimated run time
    double weight = 0;     // number of tasks in the mean
  };

  void MarkGuaranteedJobs();
  // Simulates the time since the last refresh and updates the jobs' remaining work and virtual
  // finish times.
  void AdvanceVirtualSchedule(const std::vector<JobIndex>& arrays, double now);
  double WeightOf(const Job& job) const;
  void CorrectExhaustedEstimate(Job* job) const;
  bool RanksBefore(const Job& first, const Job& second, double now) const;

  JobStore* job_store_;
  const FreeCapacity* free_capacity_;
  const Clock* clock_;
  const Tuning* tuning_;
  double next_refresh_ = 0;
  double ranked_at_ = -1;  // negative if never ranked
  std::vector<JobIndex> order_;
  std::vector<ClassStats> classes_;
};

}  // namespace deckhall
