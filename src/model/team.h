// A team as configured: what it is guaranteed, and its quota.
//
// Owned by the settings; never changes while a leader is in office.
#pragma once

#include <string>

namespace deckhall {

struct Team {
  std::string name;
  double cores = 0;      // guaranteed cores; 0: none
  double cores_max = 0;  // quota in cores; 0: unlimited
  double gpus = 0;       // guaranteed GPUs; 0: none
  double gpus_max = 0;   // quota in GPUs; 0: unlimited
};

}  // namespace deckhall
