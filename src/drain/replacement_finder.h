// Finds a place for a replica that is to be moved. A search looks at a bounded number of
// machines, whatever the size of the fleet; the next one goes on behind them.
#pragma once

#include <roaring/roaring.hh>
#include <vector>

#include "drain/blocked_reason.h"
#include "leader/free_capacity.h"

namespace deckhall {

class ReplacementFinder {
 public:
  ReplacementFinder(JobStore* job_store, FreeCapacity* free_capacity, const Clock* clock)
      : job_store_(job_store), free_capacity_(free_capacity), clock_(clock) {}

  struct Result {
    MachineIndex machine = kNoIndex;
    bool has_image = false;
    BlockedState blocked;  // why there is none
  };
  // A place for one replica of the job that leaves `from`. `fetch`: where its image has to be
  // fetched will do.
  Result Find(JobIndex job_index, MachineIndex from, bool fetch);
  // Whether the job may have one more task there now, beside those that it has.
  bool StillFits(JobIndex job_index, MachineIndex place);
  uint64_t examined() const { return examined_; }

 private:
  void RefreshCandidates();
  // Some machines that may have room, another part of the fleet each time.
  std::vector<uint32_t> NextCandidates();

  JobStore* job_store_;
  FreeCapacity* free_capacity_;
  const Clock* clock_;
  Roaring candidates_;  // machines that had some room a moment ago
  double candidates_refreshed_at_ = -1;
  uint32_t next_candidate_ = 0;  // the next search begins with this machine
  uint64_t examined_ = 0;
};

}  // namespace deckhall
