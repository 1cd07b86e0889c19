// Snapshot of the fleet's free capacity and of each team's usage, for placement and autoscaling.
//
// Holds one MachineCapacity per machine, rebuilt only if Machine::capacity_stale is set. Owned by
// the leader, which calls Refresh() before each placement pass and each scaling plan; the totals
// are those of the last call.
#pragma once

#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cloud/provisioner.h"
#include "config/settings.h"
#include "config/tuning.h"
#include "fleet/fleet.h"
#include "sched/placement.h"

namespace deckhall {

// By zone index: nonzero if a task may run in the zone. All zones are allowed if empty.
using ZoneMask = std::vector<char>;

// Resources that one task of the job uses.
Resources TaskResources(const Job& job);
// Resources that the attempt uses on its machine.
Resources AttemptResources(const TaskAttempt& attempt);

class FreeCapacity {
 public:
  FreeCapacity(JobStore* job_store, Fleet* fleet, Provisioner* provisioner,
               RecordStore* record_store, const Clock* clock, const Settings* settings,
               const Tuning* tuning);

  // Updates the capacities, the totals and the usage.
  void Refresh();

  // The machine's current capacity; does not update the totals.
  const MachineCapacity& Current(MachineIndex machine_index);

  // By machine index, as of the last Refresh(), minus allocations since then.
  std::vector<MachineCapacity>& capacities() { return capacities_; }
  const std::vector<MachineCapacity>& capacities() const { return capacities_; }

  // Whether new tasks can be placed on the machine now.
  bool IsUsable(const Machine& machine) const;
  // Whether the age of its last heartbeat is within the limit for a healthy machine.
  bool HasRecentHeartbeat(const Machine& machine) const;
  // Whether the job's type, zone and spot constraints allow the machine.
  static bool MayRunOn(const Job& job, const Machine& machine);

  // The settings of the team; null if it has none.
  const Team* TeamOf(uint32_t team_index) const;
  // Whether the team's quota allows `tasks` more tasks of the job.
  bool HasTeamQuota(const Job& job, size_t tasks = 1) const;
  // Cores left in the team's quota; very large if it has no limit.
  double TeamQuotaLeft(uint32_t team_index) const;
  // Usage of the team, including tasks on unreconciled machines.
  const ResourceUsage& UsageOf(uint32_t team_index) const { return usage_[team_index]; }

  // The request of one task of the job. It keeps pointers to the vectors.
  ResourceRequest RequestFor(const Job& job, const ZoneMask& zones,
                             const std::vector<uint32_t>& sibling_machines) const;
  // Zones in which the job's zone rules allow one more task, given the machines of its tasks (one
  // entry per task). No value if the rules can't be evaluated, since the location of an
  // unreconciled task is not known.
  std::optional<ZoneMask> AllowedZones(const Job& job, const std::vector<uint32_t>& machines) const;
  // Subtracts a task's resources from the snapshot and adds them to the team's usage.
  void Allocate(const Job& job, MachineIndex machine_index);
  // Usable machines with at least `min_cores` free cores.
  std::vector<uint32_t> MachinesWithFreeCores(double min_cores) const;

  // Free cores of usable machines.
  double free_ordinary() const { return free_ordinary_; }
  double free_spot() const { return free_spot_; }
  // Cores of ordinary machines in use by preemptible tasks.
  double preemptible_reserve() const { return preemptible_reserve_; }
  // Cores to keep free for the replicas of lost machines and for services that arrive while a new
  // machine boots.
  double headroom() const { return headroom_; }
  double largest_replica_cores() const { return largest_replica_cores_; }
  double largest_replica_memory_gb() const { return largest_replica_memory_gb_; }
  // Cores of all machines that are up, at least 1.
  double total_cores() const { return total_cores_; }

  // Reserve resources on a machine for one task of the job, and release them.
  void ReserveResources(MachineIndex machine_index, const Job& job);
  void ReleaseReservation(MachineIndex machine_index, const Job& job);

  // Cores that drains will need on other machines; scale-in keeps that many free.
  void SetPlannedCores(double cores) { planned_cores_ = cores; }
  double planned_cores() const { return planned_cores_; }

  // Adds the cores of a newly accepted service to the arrival rate.
  void RecordServiceArrival(const Job& job);

  // Partitioned zones, by index. They are not scaled out, and the services that run there will
  // need capacity in other zones when their leases expire.
  void SetPartitionedZones(std::vector<char> zones) { partitioned_zones_ = std::move(zones); }
  bool IsPartitioned(uint32_t zone) const {
    return zone < partitioned_zones_.size() && partitioned_zones_[zone] != 0;
  }

  // Capacities examined or rebuilt so far, by which tests bound the cost in large fleets.
  uint64_t work_units = 0;

 private:
  // Cores that services use.
  struct ServiceCores {
    double total = 0;
    double max_per_machine = 0;
  };

  void ResolveTeams();
  void RebuildCapacity(MachineIndex machine_index);
  ServiceCores SumCapacities();
  void FindLargestReplica();
  double ComputeHeadroom(const ServiceCores& service_cores) const;
  void CountUsage();
  // Total capacity of the unreconciled machines that may run attempts of an earlier leader; no
  // value if there is no such machine.
  std::optional<ResourceUsage> UnreconciledCapacity() const;
  std::vector<ResourceUsage> UnreconciledUsage() const;
  double PartitionedServiceCores() const;

  JobStore* job_store_;
  Fleet* fleet_;
  Provisioner* provisioner_;
  RecordStore* record_store_;
  const Clock* clock_;
  const Settings* settings_;
  const Tuning* tuning_;
  std::vector<MachineCapacity> capacities_;  // by machine
  std::vector<ResourceUsage> usage_;         // by team
  std::vector<const Team*> teams_;           // by team
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
  double arriving_service_cores_per_s_ = 0;
  double arrival_rate_updated_at_ = -1;  // negative if no service arrived yet
};

}  // namespace deckhall
