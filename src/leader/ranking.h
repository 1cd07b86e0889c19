// Which array goes first: the paper's imagined run over the jobs in the book,
// with guarantees before it and a bound on how long a job may be passed over.
#pragma once

#include <vector>

#include "leader/free_capacity.h"

namespace deckhall {

class Ranking {
 public:
  Ranking(JobStore* job_store, const FreeCapacity* free_capacity, const Clock* clock,
          const Tuning* tuning)
      : job_store_(job_store), free_capacity_(free_capacity), clock_(clock), tuning_(tuning) {}

  // None of its tasks found a place for so long that it goes first once.
  bool IsStarved(const Job& job, double now) const;
  // A job came or went: ranks are refreshed before the next use.
  void Invalidate() { next_refresh_ = 0; }
  // Refreshes the ranks if that is due.
  void Refresh();
  // Arrays, the first to be served first.
  const std::vector<JobIndex>& order() const { return order_; }
  // A task completed after running for so long.
  void RecordRuntime(const Job& job, double run_s);
  // Expected run time of one of its tasks.
  double ExpectedTaskSeconds(const Job& job) const;
  // Work left by the present estimate, in core-seconds.
  double RemainingCoreSeconds(const Job& job) const;

 private:
  struct ClassStats {
    double log_ratio = 0;  // real over estimated run time
    double weight = 0;
  };

  void ApplyGuarantees();

  JobStore* job_store_;
  const FreeCapacity* free_capacity_;
  const Clock* clock_;
  const Tuning* tuning_;
  double next_refresh_ = 0;
  double ranked_at_ = -1;
  std::vector<JobIndex> order_;
  std::vector<ClassStats> classes_;
};

}  // namespace deckhall
