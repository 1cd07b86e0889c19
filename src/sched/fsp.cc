#include "sched/fsp.h"

#include <algorithm>
#include <limits>

namespace deckhall {
namespace {

constexpr double kTiny = 1e-9;
// Bounds the work: after so many completions the rest is ranked by its present share.
constexpr size_t kMaxCompletions = 200;
// Work below this is rounding.
constexpr double kDoneCoreSeconds = 1e-6;
constexpr double kMinShareCores = 1e-3;
constexpr double kMinStepSeconds = 1e-6;

// Unfinished jobs by cap over weight: in this order they reach their cap. The order holds as
// jobs complete.
std::vector<size_t> OrderByCap(const std::vector<FspJob>& jobs) {
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

void ComputeShares(const std::vector<FspJob>& jobs, const std::vector<size_t>& order,
                   double capacity, std::vector<double>* share) {
  double weights = 0;
  for (size_t i : order) weights += jobs[i].weight;
  for (size_t i : order) {
    const double fair = capacity * jobs[i].weight / std::max(weights, kTiny);
    (*share)[i] = std::min(fair, jobs[i].cap);
    capacity -= (*share)[i];
    weights -= jobs[i].weight;
  }
}

// Advances until the next job completes, at most by `most` seconds. Completed jobs leave the
// order. Returns the seconds advanced; negative: no job has a share.
double AdvanceToCompletion(std::vector<FspJob>* jobs, std::vector<size_t>* order, double capacity,
                           double most, std::vector<double>* share) {
  ComputeShares(*jobs, *order, capacity, share);
  double step = most;
  bool any_share = false;
  for (size_t i : *order) {
    if ((*share)[i] <= kTiny) continue;
    any_share = true;
    step = std::min(step, (*jobs)[i].remaining / (*share)[i]);
  }
  if (!any_share) return -1;
  for (size_t i : *order) {
    FspJob& job = (*jobs)[i];
    job.remaining = std::max(0.0, job.remaining - (*share)[i] * step);
    if (job.remaining <= kDoneCoreSeconds) job.remaining = 0;
  }
  std::erase_if(*order, [jobs](size_t i) { return (*jobs)[i].remaining == 0; });
  return step;
}

}  // namespace

std::vector<double> FspShares(const std::vector<FspJob>& jobs, double capacity) {
  std::vector<double> share(jobs.size(), 0);
  ComputeShares(jobs, OrderByCap(jobs), capacity, &share);
  return share;
}

void FspAdvance(std::vector<FspJob>* jobs, double capacity, double seconds) {
  std::vector<size_t> order = OrderByCap(*jobs);
  std::vector<double> share(jobs->size(), 0);
  while (seconds > kTiny && !order.empty()) {
    const double step = AdvanceToCompletion(jobs, &order, capacity, seconds, &share);
    if (step < 0) return;
    seconds -= std::max(step, kMinStepSeconds);
  }
}

std::vector<double> FspFinish(std::vector<FspJob> jobs, double capacity) {
  std::vector<double> finish(jobs.size(), 0);
  std::vector<size_t> order = OrderByCap(jobs);
  std::vector<double> share(jobs.size(), 0);
  double now = 0;
  for (size_t round = 0; !order.empty(); ++round) {
    const std::vector<size_t> unfinished = order;
    const double step = round >= kMaxCompletions
                            ? -1
                            : AdvanceToCompletion(&jobs, &order, capacity,
                                                  std::numeric_limits<double>::infinity(), &share);
    if (step < 0) {
      for (size_t i : order)
        finish[i] = now + jobs[i].remaining / std::max(share[i], kMinShareCores);
      break;
    }
    now += step;
    for (size_t i : unfinished) {
      if (jobs[i].remaining == 0) finish[i] = now;
    }
  }
  return finish;
}

}  // namespace deckhall
