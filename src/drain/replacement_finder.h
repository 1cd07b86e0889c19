// Finds a machine for the replacement of a replica that is to be evicted. A search examines a
// bounded number of machines, whatever the size of the fleet; the next search continues after them.
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
    BlockedState blocked;  // why no machine was found
  };
  // Finds a machine for the replica of the job that leaves `source_machine`. `allow_fetch`:
  // accept a machine that has to fetch the image.
  Result Find(JobIndex job_index, MachineIndex source_machine, bool allow_fetch);
  // Whether the machine can run one more task of the job now, beside the job's present tasks.
  bool StillFits(JobIndex job_index, MachineIndex machine_index);
  uint64_t examined() const { return examined_; }

 private:
  void RefreshCandidates();
  // Returns machines that may have free capacity, from another part of the fleet at each call.
  std::vector<uint32_t> NextCandidates();

  JobStore* job_store_;
  FreeCapacity* free_capacity_;
  const Clock* clock_;
  Roaring candidates_;  // machines with free capacity at the last refresh
  double candidates_refreshed_at_ = -1;
  uint32_t next_candidate_ = 0;  // the next search starts at this machine
  uint64_t examined_ = 0;
};

}  // namespace deckhall
