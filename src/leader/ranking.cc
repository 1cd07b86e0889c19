#include "leader/ranking.h"

#include <algorithm>
#include <cmath>

#include "sched/fsp.h"

namespace deckhall {
namespace {

// The ratio of actual to estimated run time is clamped to this range.
constexpr double kMinRuntimeRatio = 0.05;
constexpr double kMaxRuntimeRatio = 20;
// Cap on the task count of the mean, beyond which the influence of older tasks decays.
constexpr double kMaxClassWeight = 200;
// The user's estimate has the weight of this many completed tasks.
constexpr double kEstimateWeight = 10;
constexpr double kMinTaskSeconds = 1;
constexpr double kMinTaskCores = 0.1;
constexpr double kMinRemainingCoreSeconds = 1e-3;
// If tasks take longer than estimated by more than this factor, the estimate is taken as wrong.
constexpr double kUnderestimatedRatio = 1.2;
constexpr double kCorrectedWorkShare = 0.5;

bool SubmittedBefore(const Job& first, const Job& second) {
  if (first.submitted_wall != second.submitted_wall) {
    return first.submitted_wall < second.submitted_wall;
  }
  return first.id < second.id;
}

}  // namespace

void Ranking::RecordRuntime(const Job& job, double run_s) {
  if (job.job_class >= classes_.size()) classes_.resize(job.job_class + 1);
  if (job.spec.estimated_runtime_s <= 0 || run_s <= 0) return;
  ClassStats& stats = classes_[job.job_class];
  const double log_ratio = std::log(
      std::clamp(run_s / job.spec.estimated_runtime_s, kMinRuntimeRatio, kMaxRuntimeRatio));
  stats.weight = std::min(stats.weight + 1, kMaxClassWeight);
  stats.log_ratio += (log_ratio - stats.log_ratio) / stats.weight;
}

double Ranking::ExpectedTaskSeconds(const Job& job) const {
  double ratio = 1;
  if (job.job_class < classes_.size()) {
    const ClassStats& stats = classes_[job.job_class];
    ratio = std::exp(stats.log_ratio * stats.weight / (stats.weight + kEstimateWeight));
  }
  return std::max(kMinTaskSeconds, job.spec.estimated_runtime_s * ratio);
}

double Ranking::RemainingCoreSeconds(const Job& job) const {
  const auto tasks = static_cast<double>(job.tasks.size() - job.tasks_done);
  return std::max(tasks * std::max(job.spec.cores, kMinTaskCores) * ExpectedTaskSeconds(job),
                  kMinRemainingCoreSeconds);
}

// A job is guaranteed while it and its team's earlier unfinished jobs fit into the team's
// guarantee.
void Ranking::MarkGuaranteedJobs() {
  std::vector<JobIndex> order = job_store_->active_jobs();
  std::sort(order.begin(), order.end(), [this](JobIndex a, JobIndex b) {
    return SubmittedBefore((*job_store_)[a], (*job_store_)[b]);
  });
  std::vector<ResourceUsage> requested(job_store_->teams.size());
  for (JobIndex job_index : order) {
    Job& job = (*job_store_)[job_index];
    const Team* team = free_capacity_->TeamOf(job.team);
    ResourceUsage& sum = requested[job.team];
    const auto tasks = static_cast<double>(job.tasks.size());
    sum.cores += tasks * job.spec.cores;
    sum.gpus += tasks * job.spec.gpus;
    job.guaranteed = team != nullptr && team->guaranteed_cores > 0 &&
                     sum.cores <= team->guaranteed_cores + kResourceEpsilon &&
                     sum.gpus <= team->guaranteed_gpus + kResourceEpsilon;
  }
}

bool Ranking::IsStarved(const Job& job, double now) const {
  return !job.waiting_tasks.empty() && now - job.starved_since > tuning_->starvation_s;
}

// Corrects the remaining work of a job that has completed in the virtual schedule but not in
// reality. Otherwise a job with too low an estimate would keep the first rank until it ends. A job
// that was only kept waiting is not corrected.
void Ranking::CorrectExhaustedEstimate(Job* job) const {
  if (job->remaining_core_seconds > 0 || job->tasks_done == 0) return;
  const double estimated = job->spec.estimated_runtime_s * job->spec.cores;
  if (ExpectedTaskSeconds(*job) * job->spec.cores > estimated * kUnderestimatedRatio) {
    job->remaining_core_seconds = RemainingCoreSeconds(*job) * kCorrectedWorkShare;
  }
}

double Ranking::WeightOf(const Job& job) const {
  const double priority_weights[] = {tuning_->weight_idle, tuning_->weight_normal,
                                     tuning_->weight_urgent, tuning_->weight_production};
  const Team* team = free_capacity_->TeamOf(job.team);
  const double team_weight =
      team != nullptr && team->guaranteed_cores > 0 ? team->guaranteed_cores : 1.0;
  return team_weight * priority_weights[static_cast<int>(job.spec.priority)];
}

void Ranking::AdvanceVirtualSchedule(const std::vector<JobIndex>& arrays, double now) {
  std::vector<FspJob> schedule;
  for (JobIndex job_index : arrays) {
    Job& job = (*job_store_)[job_index];
    CorrectExhaustedEstimate(&job);
    const auto unfinished = static_cast<double>(job.tasks.size() - job.tasks_done);
    FspJob entry;
    entry.remaining_core_seconds = job.remaining_core_seconds;
    entry.weight = WeightOf(job);
    entry.max_cores = std::max(kMinTaskCores, unfinished * job.spec.cores);
    schedule.push_back(entry);
  }
  if (ranked_at_ >= 0) FspAdvance(&schedule, free_capacity_->total_cores(), now - ranked_at_);
  const std::vector<double> finish = FspFinish(schedule, free_capacity_->total_cores());
  for (size_t i = 0; i < arrays.size(); ++i) {
    Job& job = (*job_store_)[arrays[i]];
    job.remaining_core_seconds = schedule[i].remaining_core_seconds;
    job.virtual_finish_time = finish[i];
  }
}

bool Ranking::RanksBefore(const Job& first, const Job& second, double now) const {
  const bool first_starved = IsStarved(first, now);
  if (first_starved != IsStarved(second, now)) return first_starved;
  if (first.guaranteed != second.guaranteed) return first.guaranteed;
  if (first.virtual_finish_time != second.virtual_finish_time) {
    return first.virtual_finish_time < second.virtual_finish_time;
  }
  return SubmittedBefore(first, second);
}

void Ranking::Refresh() {
  const double now = clock_->Now();
  if (now < next_refresh_) return;
  std::vector<JobIndex> arrays;
  for (JobIndex job_index : job_store_->active_jobs()) {
    if (!(*job_store_)[job_index].spec.service) arrays.push_back(job_index);
  }
  AdvanceVirtualSchedule(arrays, now);
  MarkGuaranteedJobs();
  std::sort(arrays.begin(), arrays.end(), [this, now](JobIndex a, JobIndex b) {
    return RanksBefore((*job_store_)[a], (*job_store_)[b], now);
  });
  for (size_t i = 0; i < arrays.size(); ++i) {
    (*job_store_)[arrays[i]].rank = static_cast<uint32_t>(i);
  }
  order_ = std::move(arrays);
  ranked_at_ = now;
  next_refresh_ = now + tuning_->refresh_s;
}

}  // namespace deckhall
