// The paper's ranking: an imagined weighted processor-sharing run over the
// unfinished jobs; who would finish first there goes first here.
#pragma once

#include <vector>

namespace deckhall {

struct FspJob {
  double remaining = 0;  // core-seconds still to do in the imagined run
  double weight = 1;
  double cap = 0;  // cores its unfinished tasks can use at once
};

// Cores each job gets of `capacity`: by weight, none more than its cap.
std::vector<double> FspShares(const std::vector<FspJob>& jobs, double capacity);

// Lets the imagined run go on for `dt` seconds.
void FspAdvance(std::vector<FspJob>* jobs, double capacity, double dt);

// Seconds from now until each job is complete in the imagined run, should no
// other job arrive.
std::vector<double> FspFinish(std::vector<FspJob> jobs, double capacity);

}  // namespace deckhall
