#include "leader/demand_collector.h"

#include <algorithm>
#include <cmath>

#include "wire/worker_codec.h"

namespace deckhall {
namespace {

// A job with this many consecutive failures adds no demand.
constexpr uint32_t kFailingJobFailures = 3;
constexpr double kMinTaskCores = 0.1;

bool IsSameRequest(const ResourceRequest& first, const ResourceRequest& second) {
  auto types_of = [](const ResourceRequest& request) {
    return request.allowed_types == nullptr ? std::vector<char>() : *request.allowed_types;
  };
  return first.cores == second.cores && first.memory_gb == second.memory_gb &&
         first.gpus == second.gpus && first.required_zone == second.required_zone &&
         first.spot_tolerant == second.spot_tolerant && types_of(first) == types_of(second);
}

// Adds to an equal demand at position `from` or later, or appends a new one. The planner's work
// thus grows with the number of distinct requests, not of jobs. Lengths of task names don't make
// requests distinct; the longest one counts.
void AddDemand(std::vector<ResourceDemand>* demands, size_t from, const ResourceRequest& request,
               uint32_t count) {
  for (size_t i = from; i < demands->size(); ++i) {
    ResourceDemand& demand = (*demands)[i];
    if (demand.single_zone || !IsSameRequest(demand.request, request)) continue;
    demand.count += count;
    demand.request.heartbeat_bytes =
        std::max(demand.request.heartbeat_bytes, request.heartbeat_bytes);
    return;
  }
  ResourceDemand demand;
  demand.request = request;
  demand.count = count;
  demands->push_back(demand);
}

}  // namespace

DemandCollector::DemandCollector(const JobStore* job_store, const FreeCapacity* free_capacity,
                                 const Ranking* ranking,
                                 const EvictionController* eviction_controller, const Clock* clock,
                                 const Tuning* tuning)
    : job_store_(job_store),
      free_capacity_(free_capacity),
      ranking_(ranking),
      eviction_controller_(eviction_controller),
      clock_(clock),
      tuning_(tuning) {}

DemandCollector::QuotaLeft DemandCollector::TeamQuotas() const {
  QuotaLeft quota(job_store_->teams.size());
  for (uint32_t team = 0; team < quota.size(); ++team) {
    quota[team] = free_capacity_->TeamQuotaLeft(team);
  }
  return quota;
}

uint32_t DemandCollector::TakeQuota(const Job& job, uint32_t tasks, QuotaLeft* quota) {
  double& left = (*quota)[job.team];
  if (job.spec.cores > 0) {
    const double fitting = std::max(0.0, std::floor(left / job.spec.cores + kResourceEpsilon));
    tasks = std::min<uint32_t>(tasks, static_cast<uint32_t>(fitting));
  }
  left -= tasks * job.spec.cores;
  return tasks;
}

ResourceRequest DemandCollector::RequestFor(const Job& job) const {
  ResourceRequest request = free_capacity_->RequestFor(job, {}, {});
  request.failed_machines = nullptr;
  return request;
}

bool DemandCollector::WaitsForCapacity(const Job& job, double now) {
  return job.lifecycle == JobLifecycle::kActive && !job.waiting_tasks.empty() &&
         now >= job.backoff_until && job.consecutive_failures < kFailingJobFailures;
}

DemandCollector::Backlog DemandCollector::ArrayBacklog(double now) const {
  Backlog backlog;
  for (JobIndex job_index : ranking_->order()) {
    const Job& job = (*job_store_)[job_index];
    if (!WaitsForCapacity(job, now) || job.spec.gang) continue;
    const double cores = job.spec.cores * static_cast<double>(job.waiting_tasks.size());
    backlog.cores += cores;
    backlog.core_seconds += cores * ranking_->ExpectedTaskSeconds(job);
  }
  return backlog;
}

void DemandCollector::AddServices(QuotaLeft* quota, Demands* demands) const {
  for (JobIndex job_index : job_store_->active_jobs()) {
    const Job& job = (*job_store_)[job_index];
    if (!job.spec.service || job.waiting_tasks.empty()) continue;
    const uint32_t tasks = TakeQuota(job, static_cast<uint32_t>(job.waiting_tasks.size()), quota);
    if (tasks > 0) AddDemand(demands, 0, RequestFor(job), tasks);
  }
}

// A replica that a drain evicts next needs capacity elsewhere before it is stopped.
void DemandCollector::AddEvictions(Demands* demands) const {
  for (JobIndex job_index : eviction_controller_->jobs_awaiting_capacity()) {
    AddDemand(demands, 0, RequestFor((*job_store_)[job_index]), 1);
  }
}

double DemandCollector::AddHeadroom(Demands* demands) const {
  const double replica_cores = free_capacity_->largest_replica_cores();
  if (replica_cores <= 0) return 0;
  ResourceRequest request;
  request.cores = replica_cores;
  request.memory_gb = free_capacity_->largest_replica_memory_gb();
  request.heartbeat_bytes = static_cast<double>(MaxTaskStatusBytes(kMaxTaskNameBytes));
  // Cores of ordinary machines that preemptible tasks use count as headroom.
  const double headroom = free_capacity_->headroom();
  const double missing = std::max(0.0, headroom - free_capacity_->preemptible_reserve());
  const auto replicas = static_cast<uint32_t>(std::ceil(missing / replica_cores));
  if (replicas > 0) AddDemand(demands, demands->size(), request, replicas);
  return std::max(0.0, missing - headroom * tuning_->headroom_reserved_share);
}

void DemandCollector::AddGangs(double now, QuotaLeft* quota, Demands* demands) const {
  const size_t first_gang = demands->size();
  for (JobIndex job_index : ranking_->order()) {
    const Job& job = (*job_store_)[job_index];
    if (!job.spec.gang || !WaitsForCapacity(job, now)) continue;
    if (job.waiting_tasks.size() < job.tasks.size()) continue;
    const auto tasks = static_cast<uint32_t>(job.waiting_tasks.size());
    if (TakeQuota(job, tasks, quota) != tasks) continue;
    if (job.spec.single_zone) {
      demands->push_back({RequestFor(job), tasks, true});
    } else {
      AddDemand(demands, first_gang, RequestFor(job), tasks);
    }
  }
}

void DemandCollector::AddArrays(double now, double cores, QuotaLeft* quota,
                                Demands* demands) const {
  const size_t first_array = demands->size();
  for (JobIndex job_index : ranking_->order()) {
    const Job& job = (*job_store_)[job_index];
    if (cores <= 0) break;
    if (!WaitsForCapacity(job, now) || job.spec.gang) continue;
    const double task_cores = std::max(job.spec.cores, kMinTaskCores);
    const double wanted = std::min<double>(static_cast<double>(job.waiting_tasks.size()),
                                           std::ceil(cores / task_cores));
    const uint32_t tasks = TakeQuota(job, static_cast<uint32_t>(wanted), quota);
    if (tasks == 0) continue;
    cores -= tasks * task_cores;
    AddDemand(demands, first_array, RequestFor(job), tasks);
  }
}

DemandCollector::Result DemandCollector::Collect() const {
  const double now = clock_->Now();
  Result result;
  QuotaLeft quota = TeamQuotas();
  AddServices(&quota, &result.demands);
  AddEvictions(&result.demands);
  const double preemptible_cores = AddHeadroom(&result.demands);
  const Backlog backlog = ArrayBacklog(now);
  result.waiting_array_cores = backlog.cores;
  AddGangs(now, &quota, &result.demands);
  // Enough cores to work off the backlog within Tuning::backlog_drain_s.
  const double array_cores =
      std::min(backlog.cores, backlog.core_seconds / tuning_->backlog_drain_s) - preemptible_cores;
  AddArrays(now, array_cores, &quota, &result.demands);
  return result;
}

}  // namespace deckhall
