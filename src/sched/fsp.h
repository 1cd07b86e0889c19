// Fair Sojourn Protocol: ranks jobs by their completion times in a simulated schedule of weighted
// processor sharing (the paper, 3.2 and 3.3). Has no state or side effects.
#pragma once

#include <vector>

namespace deckhall {

// A job in the simulated schedule.
struct FspJob {
  double remaining_core_seconds = 0;  // of work
  double weight = 1;
  double max_cores = 0;  // that its unfinished tasks can use at once
};

// Cores that each job gets of `capacity`: in proportion to its weight, up to its `max_cores`
// (water-filling).
std::vector<double> FspShares(const std::vector<FspJob>& jobs, double capacity);

// Advances the simulated schedule by `seconds`, on `capacity` cores.
void FspAdvance(std::vector<FspJob>* jobs, double capacity, double seconds);

// Virtual finish times: seconds from now until each job completes if no other job arrives.
std::vector<double> FspFinish(std::vector<FspJob> jobs, double capacity);

}  // namespace deckhall
