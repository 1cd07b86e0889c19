// One task of a job: its phase, and the attempt that stands for it.
//
// Owned by its Job. The phase is changed by JobStore only, which keeps the counts of the job in
// step with it.
#pragma once

#include <cstdint>

#include "model/name_index.h"

namespace deckhall {

enum class TaskPhase : uint8_t {
  kWaiting,       // to be placed
  kUnreconciled,  // after a failover: may run on a machine that is not reconciled yet
  kPlaced,        // has an attempt on a machine
  kDone           // completed; final
};

struct Task {
  TaskPhase phase = TaskPhase::kWaiting;
  // The attempt that counts for the task. Valid in phase kPlaced only.
  uint32_t machine = kNoIndex;
  uint64_t attempt = 0;
};

}  // namespace deckhall
