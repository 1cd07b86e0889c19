#include "sched/fsp.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace deckhall {
namespace {

constexpr double kTiny = 1e-9;
// Beyond so many steps the rest is ranked by what is left over the present
// share: the order of the far end of a long queue matters little.
constexpr size_t kMaxSteps = 200;

}  // namespace

std::vector<double> FspShares(const std::vector<FspJob>& jobs, double capacity) {
  std::vector<double> share(jobs.size(), 0);
  std::vector<size_t> order;
  double weights = 0;
  for (size_t i = 0; i < jobs.size(); ++i) {
    if (jobs[i].left <= kTiny || jobs[i].cap <= 0 || jobs[i].weight <= 0) continue;
    order.push_back(i);
    weights += jobs[i].weight;
  }
  // Jobs that reach their cap first are those with the least cap per weight.
  std::sort(order.begin(), order.end(), [&jobs](size_t a, size_t b) {
    return jobs[a].cap * jobs[b].weight < jobs[b].cap * jobs[a].weight;
  });
  for (size_t i : order) {
    const double fair = capacity * jobs[i].weight / weights;
    share[i] = std::min(fair, jobs[i].cap);
    capacity -= share[i];
    weights -= jobs[i].weight;
    if (weights <= kTiny) weights = kTiny;
  }
  return share;
}

void FspAdvance(std::vector<FspJob>* jobs, double capacity, double dt) {
  while (dt > kTiny) {
    const auto share = FspShares(*jobs, capacity);
    double step = dt;
    for (size_t i = 0; i < jobs->size(); ++i) {
      if (share[i] > kTiny) step = std::min(step, (*jobs)[i].left / share[i]);
    }
    bool moved = false;
    for (size_t i = 0; i < jobs->size(); ++i) {
      if (share[i] <= kTiny) continue;
      moved = true;
      (*jobs)[i].left = std::max(0.0, (*jobs)[i].left - share[i] * step);
      if ((*jobs)[i].left < kTiny) (*jobs)[i].left = 0;
    }
    if (!moved) return;
    dt -= std::max(step, 1e-6);
  }
}

std::vector<double> FspFinish(std::vector<FspJob> jobs, double capacity) {
  std::vector<double> finish(jobs.size(), 0);
  std::vector<char> open(jobs.size(), 0);
  size_t left = 0;
  for (size_t i = 0; i < jobs.size(); ++i) {
    if (jobs[i].left > kTiny) {
      open[i] = 1;
      ++left;
    }
  }
  double now = 0;
  for (size_t round = 0; left > 0; ++round) {
    const auto share = FspShares(jobs, capacity);
    double step = std::numeric_limits<double>::infinity();
    for (size_t i = 0; i < jobs.size(); ++i) {
      if (open[i] != 0 && share[i] > kTiny) step = std::min(step, jobs[i].left / share[i]);
    }
    if (step == std::numeric_limits<double>::infinity() || round >= kMaxSteps) {
      for (size_t i = 0; i < jobs.size(); ++i) {
        if (open[i] != 0) finish[i] = now + jobs[i].left / std::max(share[i], 1e-3);
      }
      break;
    }
    now += step;
    for (size_t i = 0; i < jobs.size(); ++i) {
      if (open[i] == 0) continue;
      jobs[i].left -= share[i] * step;
      if (jobs[i].left <= 1e-6) {
        jobs[i].left = 0;
        open[i] = 0;
        finish[i] = now;
        --left;
      }
    }
  }
  return finish;
}

}  // namespace deckhall
