// Amounts of the schedulable resources, and arithmetic on them.
#pragma once

namespace deckhall {

// Resources of a machine, or resources that a task uses.
//
// Besides what the tasks run on, the heartbeat of a machine is limited: it lists all of its tasks
// in one message of bounded length.
struct Resources {
  double cores = 0;
  double gpus = 0;
  double memory_gb = 0;
  double heartbeat_bytes = 0;  // see MaxTaskStatusBytes()
};

// Tolerance for comparisons, since floating-point sums of decimal amounts are not exact.
constexpr double kResourceEpsilon = 1e-6;

inline Resources& operator+=(Resources& sum, const Resources& added) {
  sum.cores += added.cores;
  sum.gpus += added.gpus;
  sum.memory_gb += added.memory_gb;
  sum.heartbeat_bytes += added.heartbeat_bytes;
  return sum;
}

inline Resources& operator-=(Resources& rest, const Resources& taken) {
  rest.cores -= taken.cores;
  rest.gpus -= taken.gpus;
  rest.memory_gb -= taken.memory_gb;
  rest.heartbeat_bytes -= taken.heartbeat_bytes;
  return rest;
}

}  // namespace deckhall
