// Order in which arrays get free capacity: the paper's Fair Sojourn Protocol over the unfinished
// jobs (sched/fsp.h), with teams' guarantees before it and aging as the bound on starvation.
//
// Owned by the leader of a term. Ranks and remaining work live in the jobs; learned run times live
// here and are lost with the term.
#pragma once

#include <vector>

#include "leader/free_capacity.h"

namespace deckhall {

class Ranking {
 public:
  Ranking(JobStore* job_store, const FreeCapacity* free_capacity, const Clock* clock,
          const Tuning* tuning)
      : job_store_(job_store), free_capacity_(free_capacity), clock_(clock), tuning_(tuning) {}

  // Aging: none of the job's tasks was placed for Tuning::starvation_s. It then goes first once,
  // whatever its size, team or priority; its quota, its zones and what may be preempted for it
  // stay as they are.
  bool IsStarved(const Job& job, double now) const;

  // A job came or went: ranks are computed anew before the next use.
  void Invalidate() { next_refresh_ = 0; }

  // Computes the ranks if they are invalid or older than Tuning::refresh_s.
  void Refresh();

  // Arrays and gangs by rank, as of the last Refresh(). Jobs may have ended since.
  const std::vector<JobIndex>& order() const { return order_; }

  // Learns from a task of the job that completed after `run_s` seconds.
  void RecordRuntime(const Job& job, double run_s);

  // Expected run time of one task, in seconds: the user's estimate, corrected by what the job's
  // class took so far.
  double ExpectedTaskSeconds(const Job& job) const;

  // Work that is left by present expectation, in core-seconds.
  double RemainingCoreSeconds(const Job& job) const;

 private:
  // What is known of the run times of a class of jobs.
  struct ClassStats {
    double log_ratio = 0;  // mean logarithm of real over estimated run time
    double weight = 0;     // tasks that it stands for
  };

  void MarkGuaranteedJobs();
  // Simulates the time since the last refresh and notes remaining work and virtual finish times.
  void AdvanceVirtualSchedule(const std::vector<JobIndex>& arrays, double now);
  double WeightOf(const Job& job) const;
  void CorrectExhaustedEstimate(Job* job) const;
  bool RanksBefore(const Job& first, const Job& second, double now) const;

  JobStore* job_store_;
  const FreeCapacity* free_capacity_;
  const Clock* clock_;
  const Tuning* tuning_;
  double next_refresh_ = 0;
  double ranked_at_ = -1;  // negative: never
  std::vector<JobIndex> order_;
  std::vector<ClassStats> classes_;
};

}  // namespace deckhall
