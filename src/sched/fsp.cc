#include "sched/fsp.h"

#include <algorithm>
#include <limits>

namespace deckhall {
namespace {

constexpr double kTiny = 1e-9;
// Beyond so many steps the rest is ranked by what is left over the present
// share: the order of the far end of a long queue matters little.
constexpr size_t kMaxSteps = 200;

// Jobs that reach their cap first are those with the least cap per weight. The
// order stays as jobs complete.
std::vector<size_t> ByCap(const std::vector<FspJob>& jobs) {
  std::vector<size_t> order;
  for (size_t i = 0; i < jobs.size(); ++i) {
    if (jobs[i].remaining > kTiny && jobs[i].cap > 0 && jobs[i].weight > 0) order.push_back(i);
  }
  std::sort(order.begin(), order.end(), [&jobs](size_t a, size_t b) {
    const double x = jobs[a].cap * jobs[b].weight;
    const double y = jobs[b].cap * jobs[a].weight;
    return x != y ? x < y : a < b;
  });
  return order;
}

void Share(const std::vector<FspJob>& jobs, const std::vector<size_t>& order, double capacity,
           std::vector<double>* share) {
  double weights = 0;
  for (size_t i : order) weights += jobs[i].weight;
  for (size_t i : order) {
    const double fair = capacity * jobs[i].weight / std::max(weights, kTiny);
    (*share)[i] = std::min(fair, jobs[i].cap);
    capacity -= (*share)[i];
    weights -= jobs[i].weight;
  }
}

// Runs until the next job completes or the time is over; returns the time run.
// Completed jobs leave the order, with nothing left. Negative: nobody has a share.
double Step(std::vector<FspJob>* jobs, std::vector<size_t>* order, double capacity, double most,
            std::vector<double>* share) {
  Share(*jobs, *order, capacity, share);
  double step = most;
  bool moves = false;
  for (size_t i : *order) {
    if ((*share)[i] <= kTiny) continue;
    moves = true;
    step = std::min(step, (*jobs)[i].remaining / (*share)[i]);
  }
  if (!moves) return -1;
  for (size_t i : *order) {
    FspJob& job = (*jobs)[i];
    job.remaining = std::max(0.0, job.remaining - (*share)[i] * step);
    if (job.remaining <= 1e-6) job.remaining = 0;
  }
  std::erase_if(*order, [jobs](size_t i) { return (*jobs)[i].remaining == 0; });
  return step;
}

}  // namespace

std::vector<double> FspShares(const std::vector<FspJob>& jobs, double capacity) {
  std::vector<double> share(jobs.size(), 0);
  Share(jobs, ByCap(jobs), capacity, &share);
  return share;
}

void FspAdvance(std::vector<FspJob>* jobs, double capacity, double dt) {
  std::vector<size_t> order = ByCap(*jobs);
  std::vector<double> share(jobs->size(), 0);
  while (dt > kTiny && !order.empty()) {
    const double step = Step(jobs, &order, capacity, dt, &share);
    if (step < 0) return;
    dt -= std::max(step, 1e-6);
  }
}

std::vector<double> FspFinish(std::vector<FspJob> jobs, double capacity) {
  std::vector<double> finish(jobs.size(), 0);
  std::vector<size_t> order = ByCap(jobs);
  std::vector<double> share(jobs.size(), 0);
  double now = 0;
  for (size_t round = 0; !order.empty(); ++round) {
    const std::vector<size_t> open = order;
    const double step = round >= kMaxSteps ? -1
                                           : Step(&jobs, &order, capacity,
                                                  std::numeric_limits<double>::infinity(), &share);
    if (step < 0) {
      for (size_t i : order) finish[i] = now + jobs[i].remaining / std::max(share[i], 1e-3);
      break;
    }
    now += step;
    for (size_t i : open) {
      if (jobs[i].remaining == 0) finish[i] = now;
    }
  }
  return finish;
}

}  // namespace deckhall
