// Garbage collection of ended jobs: drops specs that are no longer needed.
//
// A spec is kept until no machine can still run a task of the job, since stop commands for such
// tasks are built from it. The state that users can query is kept for ever. Owned by Leader.
#pragma once

#include "config/settings.h"
#include "net/clock.h"
#include "state/job_store.h"

namespace deckhall {

class EndedJobCollector {
 public:
  EndedJobCollector(JobStore* job_store, const Clock* clock, const Settings* settings)
      : job_store_(job_store), clock_(clock), settings_(settings) {}

  // Drops the specs that are no longer needed.
  void CollectEndedJobs();

 private:
  // Whether a task of the job may still run on a machine, or its end is not acknowledged yet.
  bool IsSpecNeeded(const Job& job, double now) const;

  JobStore* job_store_;
  const Clock* clock_;
  const Settings* settings_;
};

}  // namespace deckhall
