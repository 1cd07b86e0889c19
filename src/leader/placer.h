// Decides what runs where.
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

  // Gives free room to waiting tasks.
  void PlaceWaitingTasks();
  // Called in each pass with a fresh picture of free room, before anything is placed.
  std::function<void()> on_refreshed = [] {};

 private:
  // A need for which this pass found no place: neither will it for a larger one.
  struct FailedRequest {
    double cores;
    double memory_gb;
    double gpus;
    uint32_t zone;
    bool spot_tolerant;
    const std::vector<char>* allowed_types;
  };
  // Places up to `most` waiting tasks; `here`: only where the image is already.
  void PlaceTasks(JobIndex job_index, bool here, size_t most);
  void PlaceService(JobIndex job_index);
  void PreemptForArray(JobIndex job_index);
  // Seconds to fetch its image, on the slowest type.
  double FetchSeconds(const Job& job) const;
  double FetchPatienceSeconds(const Job& job) const;
  double HeadroomReserve(const Job& job) const;
  bool FailedBefore(const ResourceRequest& request) const;
  void PlaceOn(JobIndex job_index, uint32_t node, uint64_t attempt_number);
  JobStore* job_store_;
  Fleet* fleet_;
  FreeCapacity* free_capacity_;
  Ranking* ranking_;
  Provisioner* provisioner_;
  const Clock* clock_;
  const Tuning* tuning_;
  std::vector<uint32_t> open_machines_;
  std::vector<FailedRequest> failed_requests_;
  Preemptor preemption_;
  GangPlacer gangs_;
  bool contended_ = false;  // more tasks wait than there is room
};

}  // namespace deckhall
