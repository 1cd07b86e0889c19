// Demand for machines: the resources that waiting tasks, drains and the headroom need.
//
// Read-only; owned by Autoscaler. Uses the sums of FreeCapacity's last Refresh().
#pragma once

#include <vector>

#include "drain/eviction_controller.h"
#include "leader/free_capacity.h"
#include "leader/ranking.h"
#include "sched/scale_out_plan.h"

namespace deckhall {

class DemandCollector {
 public:
  struct Result {
    std::vector<ResourceDemand> demands;  // highest priority first
    double waiting_array_cores = 0;       // of all waiting tasks of arrays
  };

  DemandCollector(const JobStore* job_store, const FreeCapacity* free_capacity,
                  const Ranking* ranking, const EvictionController* eviction_controller,
                  const Clock* clock, const Tuning* tuning);

  Result Collect() const;

 private:
  using Demands = std::vector<ResourceDemand>;
  // Cores that each team may still use; demands are deducted as they are added.
  using QuotaLeft = std::vector<double>;

  // The waiting tasks of arrays.
  struct Backlog {
    double cores = 0;
    double core_seconds = 0;
  };

  QuotaLeft TeamQuotas() const;
  // Deducts the cores of up to `tasks` tasks from the team's quota; returns the number of tasks
  // that the quota allows.
  static uint32_t TakeQuota(const Job& job, uint32_t tasks, QuotaLeft* quota);
  ResourceRequest RequestFor(const Job& job) const;
  // Whether the job waits for free capacity rather than for a retry.
  static bool WaitsForCapacity(const Job& job, double now);
  Backlog ArrayBacklog(double now) const;

  void AddServices(QuotaLeft* quota, Demands* demands) const;
  void AddEvictions(Demands* demands) const;
  // Adds the missing part of the headroom. Returns how many of its cores arrays may use as
  // preemptible capacity.
  double AddHeadroom(Demands* demands) const;
  void AddGangs(double now, QuotaLeft* quota, Demands* demands) const;
  // Adds tasks of arrays in rank order, up to `cores`.
  void AddArrays(double now, double cores, QuotaLeft* quota, Demands* demands) const;

  const JobStore* job_store_;
  const FreeCapacity* free_capacity_;
  const Ranking* ranking_;
  const EvictionController* eviction_controller_;
  const Clock* clock_;
  const Tuning* tuning_;
};

}  // namespace deckhall
