// Decides what runs where.
#pragma once

#include <functional>
#include <vector>

#include "leader/free_capacity.h"
#include "leader/gang_placer.h"
#include "leader/preemption.h"
#include "leader/ranking.h"

namespace deckhall {

class Placer {
 public:
  Placer(JobStore* job_store, Fleet* fleet, FreeCapacity* free_capacity, Ranking* ranking,
         Rentals* rentals, const DisruptionLedger* ledger, const Clock* clock,
         const Tuning* tuning);

  // Gives free room to waiting tasks.
  void Pass();
  // Called in each pass with a fresh picture of free room, before anything is placed.
  std::function<void()> on_refreshed = [] {};

 private:
  // A need for which this pass found no place: neither will it for a larger one.
  struct FailedNeed {
    double cores;
    double memory_gb;
    double gpus;
    uint32_t zone;
    bool spot_ok;
    const std::vector<char>* types;
  };
  // Places up to `most` waiting tasks; `here`: only where the image is already.
  void PlaceSome(JobIndex j, bool here, size_t most);
  void PlaceService(JobIndex j);
  void PreemptForArray(JobIndex j);
  // Seconds to fetch its image, on the slowest type.
  double FetchSeconds(const Job& job) const;
  double Patience(const Job& job) const;
  double Reserve(const Job& job) const;
  bool FailedBefore(const Need& need) const;
  void Put(JobIndex j, uint32_t node, uint64_t attempt);
  JobStore* job_store_;
  Fleet* fleet_;
  FreeCapacity* free_capacity_;
  Ranking* ranking_;
  Rentals* rentals_;
  const Clock* clock_;
  const Tuning* tuning_;
  std::vector<uint32_t> open_;
  std::vector<FailedNeed> failed_needs_;
  Preemption preemption_;
  GangPlacer gangs_;
  bool contended_ = false;  // more tasks wait than there is room
};

}  // namespace deckhall
