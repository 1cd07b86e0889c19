#include "sched/fsp.h"

#include <algorithm>
#include <limits>

namespace deckhall {
namespace {

constexpr double kEpsilon = 1e-9;
// Bounds the work: after this many completions, the other jobs are ranked by their current shares.
constexpr size_t kMaxCompletions = 200;
// Remaining work up to this is a rounding error.
constexpr double kDoneCoreSeconds = 1e-6;
constexpr double kMinShareCores = 1e-3;
constexpr double kMinStepSeconds = 1e-6;

// Unfinished jobs by max_cores / weight, which is the order in which they reach their max_cores.
// The order remains valid as jobs complete.
std::vector<size_t> OrderByMaxCoresPerWeight(const std::vector<FspJob>& jobs) {
  std::vector<size_t> order;
  for (size_t i = 0; i < jobs.size(); ++i) {
    if (jobs[i].remaining_core_seconds > kEpsilon && jobs[i].max_cores > 0 && jobs[i].weight > 0)
      order.push_back(i);
  }
  std::sort(order.begin(), order.end(), [&jobs](size_t a, size_t b) {
    const double x = jobs[a].max_cores * jobs[b].weight;
    const double y = jobs[b].max_cores * jobs[a].weight;
    return x != y ? x < y : a < b;
  });
  return order;
}

void ComputeShares(const std::vector<FspJob>& jobs, const std::vector<size_t>& order,
                   double capacity, std::vector<double>* share) {
  double weights = 0;
  for (size_t i : order) weights += jobs[i].weight;
  for (size_t i : order) {
    const double fair = capacity * jobs[i].weight / std::max(weights, kEpsilon);
    (*share)[i] = std::min(fair, jobs[i].max_cores);
    capacity -= (*share)[i];
    weights -= jobs[i].weight;
  }
}

// Advances until the next job completes, by at most `max_seconds`. Removes completed jobs from
// `order`. Returns the seconds advanced; negative if no job has a share.
double AdvanceToCompletion(std::vector<FspJob>* jobs, std::vector<size_t>* order, double capacity,
                           double max_seconds, std::vector<double>* share) {
  ComputeShares(*jobs, *order, capacity, share);
  double step = max_seconds;
  bool any_share = false;
  for (size_t i : *order) {
    if ((*share)[i] <= kEpsilon) continue;
    any_share = true;
    step = std::min(step, (*jobs)[i].remaining_core_seconds / (*share)[i]);
  }
  if (!any_share) return -1;
  for (size_t i : *order) {
    FspJob& job = (*jobs)[i];
    job.remaining_core_seconds = std::max(0.0, job.remaining_core_seconds - (*share)[i] * step);
    if (job.remaining_core_seconds <= kDoneCoreSeconds) job.remaining_core_seconds = 0;
  }
  std::erase_if(*order, [jobs](size_t i) { return (*jobs)[i].remaining_core_seconds == 0; });
  return step;
}

}  // namespace

std::vector<double> FspShares(const std::vector<FspJob>& jobs, double capacity) {
  std::vector<double> share(jobs.size(), 0);
  ComputeShares(jobs, OrderByMaxCoresPerWeight(jobs), capacity, &share);
  return share;
}

void FspAdvance(std::vector<FspJob>* jobs, double capacity, double seconds) {
  std::vector<size_t> order = OrderByMaxCoresPerWeight(*jobs);
  std::vector<double> share(jobs->size(), 0);
  while (seconds > kEpsilon && !order.empty()) {
    const double step = AdvanceToCompletion(jobs, &order, capacity, seconds, &share);
    if (step < 0) return;
    seconds -= std::max(step, kMinStepSeconds);
  }
}

std::vector<double> FspFinish(std::vector<FspJob> jobs, double capacity) {
  std::vector<double> finish(jobs.size(), 0);
  std::vector<size_t> order = OrderByMaxCoresPerWeight(jobs);
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
        finish[i] = now + jobs[i].remaining_core_seconds / std::max(share[i], kMinShareCores);
      break;
    }
    now += step;
    for (size_t i : unfinished) {
      if (jobs[i].remaining_core_seconds == 0) finish[i] = now;
    }
  }
  return finish;
}

}  // namespace deckhall
