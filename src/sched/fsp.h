// Fair Sojourn Protocol: ranks jobs by when a simulated weighted processor-sharing schedule would
// complete them (the paper, 3.2 and 3.3). Pure.
#pragma once

#include <vector>

namespace deckhall {

// A job in the simulated schedule.
struct FspJob {
  double remaining = 0;  // core-seconds still to do
  double weight = 1;
  double cap = 0;  // cores that its unfinished tasks can use at once
};

// Cores that each job gets of `capacity`: by weight, none more than its cap (water-filling).
std::vector<double> FspShares(const std::vector<FspJob>& jobs, double capacity);

// Advances the simulated schedule by `seconds`, on `capacity` cores.
void FspAdvance(std::vector<FspJob>* jobs, double capacity, double seconds);

// Virtual finish times: seconds from now until each job is complete, if none arrives meanwhile.
std::vector<double> FspFinish(std::vector<FspJob> jobs, double capacity);

}  // namespace deckhall
