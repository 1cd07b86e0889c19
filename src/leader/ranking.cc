#include "leader/ranking.h"

#include <algorithm>
#include <cmath>

#include "sched/fsp.h"

namespace deckhall {
namespace {

constexpr double kEps = 1e-6;

}  // namespace

void Ranking::RecordRuntime(const Job& job, double run_s) {
  if (job.job_class >= classes_.size()) classes_.resize(job.job_class + 1);
  if (job.spec.estimated_runtime_s <= 0 || run_s <= 0) return;
  ClassStats& stats = classes_[job.job_class];
  const double x = std::log(std::clamp(run_s / job.spec.estimated_runtime_s, 0.05, 20.0));
  stats.weight = std::min(stats.weight + 1, 200.0);
  stats.log_ratio += (x - stats.log_ratio) / stats.weight;
}

double Ranking::ExpectedTaskSeconds(const Job& job) const {
  double ratio = 1;
  if (job.job_class < classes_.size()) {
    const ClassStats& stats = classes_[job.job_class];
    // The owners' word counts like ten finished tasks.
    ratio = std::exp(stats.log_ratio * stats.weight / (stats.weight + 10));
  }
  return std::max(1.0, job.spec.estimated_runtime_s * ratio);
}

double Ranking::RemainingCoreSeconds(const Job& job) const {
  const auto tasks = static_cast<double>(job.tasks.size() - job.tasks_done);
  return std::max(tasks * std::max(job.spec.cores, 0.1) * ExpectedTaskSeconds(job), 1e-3);
}

void Ranking::ApplyGuarantees() {
  std::vector<JobIndex> order = job_store_->active_jobs();
  std::sort(order.begin(), order.end(), [this](JobIndex a, JobIndex b) {
    const Job& x = (*job_store_)[a];
    const Job& y = (*job_store_)[b];
    if (x.submitted_wall != y.submitted_wall) return x.submitted_wall < y.submitted_wall;
    return x.id < y.id;
  });
  std::vector<ResourceUsage> sum(job_store_->teams.size());
  for (JobIndex job_index : order) {
    Job& job = (*job_store_)[job_index];
    const Team* team = free_capacity_->TeamOf(job.team);
    ResourceUsage& s = sum[job.team];
    const auto n = static_cast<double>(job.tasks.size());
    s.cores += n * job.spec.cores;
    s.gpus += n * job.spec.gpus;
    job.guaranteed = team != nullptr && team->cores > 0 && s.cores <= team->cores + kEps &&
                     s.gpus <= team->gpus + kEps;
  }
}

// None of its tasks found a place for so long: it goes first once, whatever its
// size, team or priority. Otherwise a stream of jobs ranked better could keep it
// waiting for ever. Its limit, its zones and who may be stopped for it stay as
// they are.
bool Ranking::IsStarved(const Job& job, double now) const {
  return !job.waiting_tasks.empty() && now - job.starved_since > tuning_->starvation_s;
}

void Ranking::Refresh() {
  const double now = clock_->Now();
  if (now < next_refresh_) return;
  const double weights[] = {tuning_->weight_idle, tuning_->weight_normal, tuning_->weight_urgent,
                            tuning_->weight_production};
  std::vector<JobIndex> arrays;
  std::vector<FspJob> run;
  for (JobIndex job_index : job_store_->active_jobs()) {
    Job& job = (*job_store_)[job_index];
    if (job.spec.service) continue;
    arrays.push_back(job_index);
    if (job.remaining_core_seconds <= 0 && job.tasks_done > 0) {
      // Over in the imagined run and not in the real one. Unless it was only
      // kept waiting, its estimate was too low: it is measured anew, or it would
      // hold the first rank for good.
      const double est = job.spec.estimated_runtime_s * job.spec.cores;
      if (ExpectedTaskSeconds(job) * job.spec.cores > est * 1.2)
        job.remaining_core_seconds = RemainingCoreSeconds(job) * 0.5;
    }
    FspJob f;
    f.remaining = job.remaining_core_seconds;
    const Team* team = free_capacity_->TeamOf(job.team);
    f.weight = (team != nullptr && team->cores > 0 ? team->cores : 1.0) *
               weights[static_cast<int>(job.spec.priority)];
    f.cap = std::max(0.1, static_cast<double>(job.tasks.size() - job.tasks_done) * job.spec.cores);
    run.push_back(f);
  }
  if (ranked_at_ >= 0) FspAdvance(&run, free_capacity_->total_cores(), now - ranked_at_);
  const auto finish = FspFinish(run, free_capacity_->total_cores());
  for (size_t i = 0; i < arrays.size(); ++i) {
    (*job_store_)[arrays[i]].remaining_core_seconds = run[i].remaining;
    (*job_store_)[arrays[i]].virtual_finish_time = finish[i];
  }
  ApplyGuarantees();
  std::sort(arrays.begin(), arrays.end(), [this, now](JobIndex a, JobIndex b) {
    const Job& x = (*job_store_)[a];
    const Job& y = (*job_store_)[b];
    if (IsStarved(x, now) != IsStarved(y, now)) return IsStarved(x, now);
    if (x.guaranteed != y.guaranteed) return x.guaranteed;
    if (x.virtual_finish_time != y.virtual_finish_time)
      return x.virtual_finish_time < y.virtual_finish_time;
    if (x.submitted_wall != y.submitted_wall) return x.submitted_wall < y.submitted_wall;
    return x.id < y.id;
  });
  for (size_t i = 0; i < arrays.size(); ++i) {
    (*job_store_)[arrays[i]].rank = static_cast<uint32_t>(i);
  }
  order_ = std::move(arrays);
  ranked_at_ = now;
  next_refresh_ = now + tuning_->refresh_s;
}

}  // namespace deckhall
