// Finds a place for a replica that is to be moved. A search looks at a bounded number of
// machines, whatever the size of the fleet; the next one goes on behind them.
#pragma once

#include <roaring/roaring.hh>
#include <vector>

#include "drain/wait_reason.h"
#include "leader/free_capacity.h"

namespace deckhall {

class PlaceFinder {
 public:
  PlaceFinder(JobStore* job_store, FreeCapacity* free_capacity, const Clock* clock)
      : job_store_(job_store), free_capacity_(free_capacity), clock_(clock) {}

  struct Result {
    MachineIndex machine = kNoIndex;
    bool has_image = false;
    Wait wait;  // why there is none
  };
  // A place for one replica of the job that leaves `from`. `fetch`: where its image has to be
  // fetched will do.
  Result Find(JobIndex j, MachineIndex from, bool fetch);
  // Whether the job may have one more task there now, beside those that it has.
  bool StillFits(JobIndex j, MachineIndex place);
  uint64_t looked_at() const { return looked_at_; }

 private:
  void RefreshOpen();
  // Some machines that may have room, another part of the fleet each time.
  std::vector<uint32_t> Some();

  JobStore* job_store_;
  FreeCapacity* free_capacity_;
  const Clock* clock_;
  Roaring open_;  // machines that had some room a moment ago
  double open_at_ = -1;
  uint32_t next_ = 0;  // the next search begins with this machine
  uint64_t looked_at_ = 0;
};

}  // namespace deckhall
