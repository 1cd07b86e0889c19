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
    std::vector<ResourceDemand> demands;  // in the order in which they are to be met
    double waiting_array_cores = 0;       // of all waiting tasks of arrays
  };

  DemandCollector(const JobStore* job_store, const FreeCapacity* free_capacity,
                  const Ranking* ranking, const EvictionController* eviction_controller,
                  const Clock* clock, const Tuning* tuning);

  Result Collect() const;

 private:
  using Demands = std::vector<ResourceDemand>;
  // What each team may still use, in cores, as demands take it.
  using QuotaLeft = std::vector<double>;

  // The waiting tasks of arrays.
  struct Backlog {
    double cores = 0;
    double core_seconds = 0;
  };

  QuotaLeft TeamQuotas() const;
  // Takes the cores of up to `tasks` tasks out of the team's quota; returns for how many it is.
  static uint32_t TakeQuota(const Job& job, uint32_t tasks, QuotaLeft* quota);
  ResourceRequest RequestFor(const Job& job) const;
  // Whether the job waits for room, and not for a retry.
  static bool WaitsForRoom(const Job& job, double now);
  Backlog ArrayBacklog(double now) const;

  void AddServices(QuotaLeft* quota, Demands* demands) const;
  void AddEvictions(Demands* demands) const;
  // Adds what is missing of the headroom. Returns the cores of it that arrays may use meanwhile.
  double AddHeadroom(Demands* demands) const;
  void AddGangs(double now, QuotaLeft* quota, Demands* demands) const;
  // Adds tasks of arrays by rank, for so many cores.
  void AddArrays(double now, double cores, QuotaLeft* quota, Demands* demands) const;

  const JobStore* job_store_;
  const FreeCapacity* free_capacity_;
  const Ranking* ranking_;
  const EvictionController* eviction_controller_;
  const Clock* clock_;
  const Tuning* tuning_;
};

}  // namespace deckhall
