// One task of a job: its phase, and its current attempt.
//
// Owned by its Job. Only JobStore changes the phase, and keeps the counters of the job consistent
// with it.
#pragma once

#include <cstdint>

#include "model/name_index.h"

namespace deckhall {

enum class TaskPhase : uint8_t {
  kWaiting,       // waiting to be placed
  kUnreconciled,  // after a failover: may be on a machine that is not reconciled yet
  kPlaced,        // has an attempt on a machine
  kDone           // completed; final
};

struct Task {
  TaskPhase phase = TaskPhase::kWaiting;
  // The current attempt: its machine and its number. Valid in phase kPlaced only.
  uint32_t machine = kNoIndex;
  uint64_t attempt = 0;
};

}  // namespace deckhall
