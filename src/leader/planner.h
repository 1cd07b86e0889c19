// Decides which machines there should be.
#pragma once

#include <vector>

#include "drain/drainer.h"
#include "leader/free_capacity.h"
#include "leader/ranking.h"
#include "sched/capacity.h"

namespace deckhall {

class Planner {
 public:
  Planner(JobStore* job_store, Fleet* fleet, FreeCapacity* free_capacity, const Ranking* ranking,
          Rentals* rentals, const DisruptionLedger* ledger, const Drainer* drainer,
          const Clock* clock, const Settings* settings, const Tuning* tuning);

  // Rents and returns machines.
  void Plan();

 private:
  std::vector<Offer> Offers(std::vector<Node>* bins, int* machines) const;
  std::vector<Want> Wants(double* waiting);
  void Rent();
  void ReturnIdle();
  bool ReturnIfUseless(MachineIndex m, double boot);
  void Consolidate();
  void MoveOne(MachineIndex m);

  JobStore* job_store_;
  Fleet* fleet_;
  FreeCapacity* free_capacity_;
  const Ranking* ranking_;
  Rentals* rentals_;
  const DisruptionLedger* ledger_;
  const Drainer* drainer_;
  const Clock* clock_;
  const Settings* settings_;
  const Tuning* tuning_;
};

}  // namespace deckhall
