// Periodically saves estimates that a later leader would otherwise have to recompute.
//
// Saves the remaining work of jobs, which determines their ranks, and, less often, hints on which
// images the machines have cached. Correctness doesn't depend on this data, so its writes have
// background priority and may be lost. Owned by Leader.
#pragma once

#include "config/tuning.h"
#include "fleet/cache_hints.h"
#include "state/job_store.h"

namespace deckhall {

class ProgressSaver {
 public:
  ProgressSaver(JobStore* job_store, CacheHints* cache_hints, const Tuning* tuning)
      : job_store_(job_store), cache_hints_(cache_hints), tuning_(tuning) {}

  // Called when the records were loaded, at steady time `now` in seconds. The first save is due one
  // interval later.
  void Start(double now);
  // Saves the data that is due at steady time `now`.
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
