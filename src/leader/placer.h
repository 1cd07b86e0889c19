// Placement: gives free capacity to waiting tasks, in passes.
//
// Services go first, by priority; then arrays and gangs by rank (leader/ranking.h). The best-ranked
// job with a task that fits gets the capacity; running tasks are left to end, except where
// Preemptor allows it. Owned by the leader; launches go out with the machines' next commands.
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

  // One pass over all waiting tasks.
  void PlaceWaitingTasks();

  // Called in each pass with fresh capacities, before anything is placed.
  std::function<void()> on_refreshed = [] {};

 private:
  // A request for which this pass found no machine: a larger one will find none either.
  struct FailedRequest {
    Resources resources;
    uint32_t required_zone;
    bool spot_tolerant;
    const std::vector<char>* allowed_types;

    bool Covers(const ResourceRequest& request) const;
  };

  // What waits as a pass begins.
  struct Backlog {
    std::vector<JobIndex> services;
    double array_cores = 0;
    double min_task_cores = 0;  // of the smallest task
    bool empty = true;
  };

  Backlog CollectBacklog() const;
  void PlaceServices(std::vector<JobIndex> services);
  void PlaceArrays(double now);
  // Places up to `max_tasks` waiting tasks; with `cached_only` only where the image is cached.
  void PlaceTasks(JobIndex job_index, bool cached_only, size_t max_tasks);
  // How many tasks of a job that keeps failing may be tried now.
  size_t LimitFailingJob(const Job& job, size_t max_tasks) const;
  // Whether a task of the job fits beside so many ordinary cores that it must leave.
  bool MayUseOrdinaryMachines(const Job& job, double reserve) const;
  void PlaceService(JobIndex job_index);
  void PreemptForArray(JobIndex job_index);
  // Seconds to fetch the job's image on the slowest machine type.
  double FetchSeconds(const Job& job) const;
  // Delay scheduling: for so long an array waits for a machine with its image.
  double FetchPatienceSeconds(const Job& job) const;
  // Ordinary cores that the job must leave to replicas.
  double HeadroomReserve(const Job& job) const;
  bool FailedBefore(const ResourceRequest& request) const;
  void PlaceOn(JobIndex job_index, MachineIndex machine_index, uint64_t attempt_number);

  JobStore* job_store_;
  Fleet* fleet_;
  FreeCapacity* free_capacity_;
  Ranking* ranking_;
  Provisioner* provisioner_;
  const Clock* clock_;
  const Tuning* tuning_;
  std::vector<uint32_t> machines_with_room_;
  std::vector<FailedRequest> failed_requests_;
  Preemptor preemptor_;
  GangPlacer gang_placer_;
  bool contended_ = false;  // more array cores wait than are free
};

}  // namespace deckhall
