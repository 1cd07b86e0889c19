// A team as configured: its guaranteed resources and its quotas.
//
// Owned by the settings; never changes during a leader's term.
#pragma once

#include <string>

namespace deckhall {

struct Team {
  std::string name;
  double guaranteed_cores = 0;  // 0 if none
  double cores_max = 0;         // quota; 0 if unlimited
  double guaranteed_gpus = 0;   // 0 if none
  double gpus_max = 0;          // quota; 0 if unlimited
};

}  // namespace deckhall
