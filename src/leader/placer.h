// Decides what runs where, and which machines there should be.
#pragma once

#include <string>
#include <vector>

#include "app/settings.h"
#include "app/tuning.h"
#include "cloud/rentals.h"
#include "fleet/fleet.h"
#include "sched/capacity.h"
#include "sched/fsp.h"
#include "sched/placement.h"

namespace deckhall {

class Placer {
 public:
  Placer(JobBook* book, Fleet* fleet, Rentals* rentals, RowStore* store, const Clock* clock,
         const Settings* settings, const Tuning* tuning);

  // A job came or went: ranks are refreshed before the next pass.
  void JobsChanged() { rank_due_ = 0; }
  void Arrived(JobIdx j);
  // A task completed after running for so long.
  void Observed(const Job& job, double run_s);
  // Gives free room to waiting tasks.
  void Pass();
  // Rents and returns machines.
  void Plan();
  // Teams by their name's index; unknown teams have none.
  const Team* TeamOf(uint32_t team) const;
  // Allowed machine types of a job, by type index; empty: any.
  std::vector<char> TypeMask(const JobSpec& spec) const;
  bool Usable(const Machine& m) const;
  // Whether the job could be on such a machine at all.
  bool MayBeOn(const Job& job, const Machine& m) const;
  // Expected run time of one of its tasks.
  double TaskSeconds(const Job& job) const;
  // Work left by the present estimate, in core-seconds.
  double WorkLeft(const Job& job) const;

 private:
  struct TeamUse {
    double cores = 0;
    double gpus = 0;
  };
  struct ClassStats {
    double log_ratio = 0;  // real over estimated run time
    double weight = 0;
  };

  void Rank();
  void Guarantees();
  void BuildNodes();
  void BuildUse();
  bool TeamRoom(const Job& job) const;
  Need NeedOf(JobIdx j, std::vector<char>* types, std::vector<char>* zones,
              std::vector<uint32_t>* siblings) const;
  bool ZoneRoom(const Job& job, std::vector<char>* zones, const std::vector<uint32_t>& on) const;
  int PlaceSome(JobIdx j, bool hold_back);
  double Patience(const Job& job) const;
  void PlaceGang(JobIdx j);
  void HoldFor(const Need& need, uint32_t tasks);
  void Preempt(JobIdx j);
  void Put(JobIdx j, uint32_t task, Node* node, uint64_t attempt);
  Node NodeOf(MachIdx m) const;
  double ServiceHeadroom(double* unit_cores, double* unit_memory) const;
  // Cores of ordinary machines that services may claim from arrays.
  double Preemptible() const;
  void ReturnIdle(double headroom);
  void Consolidate();
  void MoveOne(MachIdx m);
  void WantedMachines();

  JobBook* book_;
  Fleet* fleet_;
  Rentals* rentals_;
  RowStore* store_;
  const Clock* clock_;
  const Settings* settings_;
  const Tuning* tuning_;
  double rank_due_ = 0;
  double ranked_at_ = -1;
  double capacity_ = 1;
  std::vector<JobIdx> ranked_;
  std::vector<Node> nodes_;
  std::vector<TeamUse> use_;
  std::vector<ClassStats> classes_;
  std::vector<uint32_t> team_index_;  // team name index -> settings index
  double service_rate_ = 0;           // cores of services arriving per second
  double rate_at_ = -1;
  double headroom_ = 0;
  bool contended_ = false;  // more tasks wait than there is room
};

}  // namespace deckhall
