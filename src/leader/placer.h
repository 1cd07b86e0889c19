// Places waiting tasks on machines with free capacity, in passes.
//
// Services are placed first, by priority, then arrays and gangs by rank (leader/ranking.h). Free
// capacity goes to the best-ranked job with a task that fits. Running tasks are not interrupted
// unless Preemptor allows it. Owned by the leader; launches are sent with the next commands to the
// machines.
#pragma once

#include <functional>
#include <vector>

#include "leader/free_capacity.h"
#include "leader/gang_placer.h"
#include "leader/preemptor.h"
#include "leader/ranking.h"

namespace deckhall {

class Placer {
 public:
  Placer(JobStore* job_store, Fleet* fleet, FreeCapacity* free_capacity, Ranking* ranking,
         Provisioner* provisioner, const DisruptionLedger* ledger, const Clock* clock,
         const Tuning* tuning);

  // Runs one pass over all waiting tasks.
  void PlaceWaitingTasks();

  // Called in each pass after the capacities are refreshed and before any task is placed.
  std::function<void()> on_refreshed = [] {};

 private:
  // A request for which this pass found no machine. A larger request can't succeed either.
  struct FailedRequest {
    Resources resources;
    uint32_t required_zone;
    bool spot_tolerant;
    const std::vector<char>* allowed_types;

    bool Covers(const ResourceRequest& request) const;
  };

  // Waiting work at the beginning of a pass.
  struct Backlog {
    std::vector<JobIndex> services;
    double array_cores = 0;
    double min_task_cores = 0;  // of the smallest task
    bool empty = true;
  };

  Backlog CollectBacklog() const;
  void PlaceServices(std::vector<JobIndex> services);
  void PlaceArrays(double now);
  // Places up to `max_tasks` waiting tasks; if `cached_only`, only on machines with a cached image.
  void PlaceTasks(JobIndex job_index, bool cached_only, size_t max_tasks);
  // Limits how many tasks of a repeatedly failing job may be started now.
  size_t LimitFailingJob(const Job& job, size_t max_tasks) const;
  // Whether a task of the job fits on ordinary machines if `reserve` of their cores stay free.
  bool MayUseOrdinaryMachines(const Job& job, double reserve) const;
  void PlaceService(JobIndex job_index);
  void PreemptForArray(JobIndex job_index);
  // Seconds to fetch the job's image on the slowest machine type.
  double FetchSeconds(const Job& job) const;
  // Delay scheduling: how long an array waits for a machine that has its image.
  double LocalityDelaySeconds(const Job& job) const;
  // Cores of ordinary machines that the job must leave free for replicas.
  double HeadroomReserve(const Job& job) const;
  bool FailedInThisPass(const ResourceRequest& request) const;
  void PlaceOn(JobIndex job_index, MachineIndex machine_index, uint64_t attempt_number);

  JobStore* job_store_;
  Fleet* fleet_;
  FreeCapacity* free_capacity_;
  Ranking* ranking_;
  Provisioner* provisioner_;
  const Clock* clock_;
  const Tuning* tuning_;
  std::vector<uint32_t> candidate_machines_;
  std::vector<FailedRequest> failed_requests_;
  Preemptor preemptor_;
  GangPlacer gang_placer_;
  bool contended_ = false;  // waiting arrays need more cores than are free
};

}  // namespace deckhall
