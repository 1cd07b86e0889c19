// The picture of free room: one node for each machine, refreshed only where
// something changed, and what each team uses.
#pragma once

#include <unordered_map>
#include <utility>
#include <vector>

#include "cloud/provisioner.h"
#include "config/settings.h"
#include "config/tuning.h"
#include "fleet/fleet.h"
#include "sched/placement.h"

namespace deckhall {

class FreeCapacity {
 public:
  FreeCapacity(JobStore* job_store, Fleet* fleet, Provisioner* provisioner,
               RecordStore* record_store, const Clock* clock, const Settings* settings,
               const Tuning* tuning);

  // Takes in what changed since the last call.
  void Refresh();
  bool IsUsable(const Machine& machine) const;
  // Within what reports that come as they should leave between them.
  bool IsHeardRecently(const Machine& machine) const;
  // Whether the job could be on such a machine at all.
  static bool MayRunOn(const Job& job, const Machine& machine);
  // By team index; unknown teams have none.
  const Team* TeamOf(uint32_t team_index) const;
  // Whether the limit of its team leaves room for so many more tasks of the job.
  bool HasTeamQuota(const Job& job, size_t tasks = 1) const;
  // Cores the team may still use, a large number without a limit.
  double TeamQuotaLeft(uint32_t team_index) const;
  const ResourceUsage& UsageOf(uint32_t team_index) const { return usage_[team_index]; }
  // What a task of the job needs; the vectors must outlive it.
  ResourceRequest RequestFor(const Job& job, const std::vector<char>& zones,
                             const std::vector<uint32_t>& siblings) const;
  // Zones that may take one more task, given where its tasks are. False: none may.
  bool AllowedZones(const Job& job, const std::vector<uint32_t>& on,
                    std::vector<char>* zones) const;
  // The task takes its room in the picture.
  void Allocate(const Job& job, uint32_t node);

  std::vector<MachineCapacity>& capacities() { return capacities_; }  // by machine
  const std::vector<MachineCapacity>& capacities() const { return capacities_; }
  // Machines that may take a task of at least these cores.
  std::vector<uint32_t> MachinesWithRoom(double least_cores) const;
  double free_ordinary() const { return free_ordinary_; }
  double free_spot() const { return free_spot_; }
  // Cores of ordinary machines that services may claim from arrays.
  double preemptible_reserve() const { return preemptible_reserve_; }
  // Room for replicas to come back after machines are lost, and for those that
  // arrive while a new machine boots.
  double headroom() const { return headroom_; }
  double largest_replica_cores() const { return largest_replica_cores_; }
  double largest_replica_memory_gb() const { return largest_replica_memory_gb_; }
  // Cores of all machines that are up.
  double total_cores() const { return total_cores_; }
  // Room for one task of the job there is kept from everybody else.
  void ReserveRoom(MachineIndex machine_index, const Job& job);
  void ReleaseRoom(MachineIndex machine_index, const Job& job);
  // The machine's node, as it is now.
  const MachineCapacity& Current(MachineIndex machine_index);
  // Cores that drains will need elsewhere: machines that have them are not given back as idle.
  void SetPlannedCores(double cores) { planned_cores_ = cores; }
  double planned_cores() const { return planned_cores_; }
  // Cores of services that arrive.
  void RecordServiceArrival(const Job& job);
  // Zones that are cut off from here, by index: nothing is rented there, and what
  // services run there will need room elsewhere when the leases end.
  void SetPartitionedZones(std::vector<char> zones) { partitioned_zones_ = std::move(zones); }
  bool IsPartitioned(uint32_t zone) const {
    return zone < partitioned_zones_.size() && partitioned_zones_[zone] != 0;
  }
  // How often a node was looked at or made anew.
  uint64_t work_units = 0;

 private:
  void RebuildCapacity(MachineIndex machine_index);
  void CountUsage();
  double PartitionedServiceCores() const;

  JobStore* job_store_;
  Fleet* fleet_;
  Provisioner* provisioner_;
  RecordStore* record_store_;
  const Clock* clock_;
  const Settings* settings_;
  const Tuning* tuning_;
  std::vector<MachineCapacity> capacities_;
  std::vector<ResourceUsage> usage_;
  std::vector<const Team*> teams_;  // by team index
  std::vector<char> partitioned_zones_;
  std::unordered_map<MachineIndex, Resources> reserved_;
  double planned_cores_ = 0;
  double free_ordinary_ = 0;
  double free_spot_ = 0;
  double preemptible_reserve_ = 0;
  double headroom_ = 0;
  double largest_replica_cores_ = 0;
  double largest_replica_memory_gb_ = 0;
  double total_cores_ = 1;
  double arriving_service_cores_per_s_ = 0;  // cores of services arriving per second
  double arrival_rate_updated_at_ = -1;
};

}  // namespace deckhall
