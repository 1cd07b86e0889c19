// The picture of free room: one node for each machine, refreshed only where
// something changed, and what each team uses.
#pragma once

#include <unordered_map>
#include <utility>
#include <vector>

#include "cloud/rentals.h"
#include "config/settings.h"
#include "config/tuning.h"
#include "fleet/fleet.h"
#include "sched/placement.h"

namespace deckhall {

class FreeCapacity {
 public:
  FreeCapacity(JobStore* job_store, Fleet* fleet, Rentals* rentals, RecordStore* record_store,
               const Clock* clock, const Settings* settings, const Tuning* tuning);

  // Takes in what changed since the last call.
  void Refresh();
  bool Usable(const Machine& m) const;
  // Within what reports that come as they should leave between them.
  bool HeardLately(const Machine& m) const;
  // Whether the job could be on such a machine at all.
  static bool MayBeOn(const Job& job, const Machine& m);
  // By team index; unknown teams have none.
  const Team* TeamOf(uint32_t team) const;
  // Whether the limit of its team leaves room for so many more tasks of the job.
  bool TeamRoom(const Job& job, size_t tasks = 1) const;
  // Cores the team may still use, a large number without a limit.
  double TeamLeft(uint32_t team) const;
  const ResourceUsage& UseOf(uint32_t team) const { return use_[team]; }
  // What a task of the job needs; the vectors must outlive it.
  Need NeedOf(const Job& job, const std::vector<char>& zones,
              const std::vector<uint32_t>& siblings) const;
  // Zones that may take one more task, given where its tasks are. False: none may.
  bool ZoneRoom(const Job& job, const std::vector<uint32_t>& on, std::vector<char>* zones) const;
  // The task takes its room in the picture.
  void Take(const Job& job, uint32_t node);

  std::vector<Node>& nodes() { return nodes_; }  // by machine
  const std::vector<Node>& nodes() const { return nodes_; }
  // Machines that may take a task of at least these cores.
  std::vector<uint32_t> Open(double least_cores) const;
  double free_ordinary() const { return free_ordinary_; }
  double free_spot() const { return free_spot_; }
  // Cores of ordinary machines that services may claim from arrays.
  double lent_reserve() const { return lent_reserve_; }
  // Room for replicas to come back after machines are lost, and for those that
  // arrive while a new machine boots.
  double headroom() const { return headroom_; }
  double unit_cores() const { return unit_cores_; }
  double unit_memory() const { return unit_memory_; }
  // Cores of all machines that are up.
  double capacity() const { return capacity_; }
  // Room for one task of the job there is kept from everybody else.
  void HoldRoom(MachineIndex m, const Job& job);
  void ReleaseRoom(MachineIndex m, const Job& job);
  // The machine's node, as it is now.
  const Node& Current(MachineIndex m);
  // Cores that drains will need elsewhere: machines that have them are not given back as idle.
  void SetRoomAhead(double cores) { room_ahead_ = cores; }
  double room_ahead() const { return room_ahead_; }
  // Cores of services that arrive.
  void ServiceArrived(const Job& job);
  // Zones that are cut off from here, by index: nothing is rented there, and what
  // services run there will need room elsewhere when the leases end.
  void SetCut(std::vector<char> zones) { cut_ = std::move(zones); }
  bool Cut(uint32_t zone) const { return zone < cut_.size() && cut_[zone] != 0; }
  // How often a node was looked at or made anew.
  uint64_t steps = 0;

 private:
  void Remake(MachineIndex m);
  void CountUse();
  double Threatened() const;

  JobStore* job_store_;
  Fleet* fleet_;
  Rentals* rentals_;
  RecordStore* record_store_;
  const Clock* clock_;
  const Settings* settings_;
  const Tuning* tuning_;
  std::vector<Node> nodes_;
  std::vector<ResourceUsage> use_;
  std::vector<const Team*> teams_;  // by team index
  std::vector<char> cut_;
  std::unordered_map<MachineIndex, Amounts> held_;
  double room_ahead_ = 0;
  double free_ordinary_ = 0;
  double free_spot_ = 0;
  double lent_reserve_ = 0;
  double headroom_ = 0;
  double unit_cores_ = 0;
  double unit_memory_ = 0;
  double capacity_ = 1;
  double service_rate_ = 0;  // cores of services arriving per second
  double rate_at_ = -1;
};

}  // namespace deckhall
