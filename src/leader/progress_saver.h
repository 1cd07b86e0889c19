// Periodic saving of what a later leader would rather not estimate anew.
//
// Saves the remaining work of jobs, by which they are ranked, and, less often, hints on which
// images machines have cached. Nothing depends on these for safety: writes have background
// priority and may be lost. Owned by Leader.
#pragma once

#include "config/tuning.h"
#include "fleet/cache_hints.h"
#include "state/job_store.h"

namespace deckhall {

class ProgressSaver {
 public:
  ProgressSaver(JobStore* job_store, CacheHints* cache_hints, const Tuning* tuning)
      : job_store_(job_store), cache_hints_(cache_hints), tuning_(tuning) {}

  // The records were loaded at this steady time, in seconds: saving starts an interval later.
  void Start(double now);
  // Saves what is due at this steady time.
  void SaveIfDue(double now);

 private:
  void SaveRemainingWork();

  JobStore* job_store_;
  CacheHints* cache_hints_;
  const Tuning* tuning_;
  double next_progress_save_ = 0;  // steady times, in seconds
  double next_hints_save_ = 0;
};

}  // namespace deckhall
