// Snapshot of the fleet's free capacity and of each team's usage, for placement and scaling.
//
// One MachineCapacity for each machine, rebuilt only where Machine::capacity_stale says so. Owned
// by the leader; Refresh() is called before each placement pass and each scaling plan, and the
// sums are those of the last call.
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

// By zone index, not zero where a task may go; empty: everywhere.
using ZoneMask = std::vector<char>;

// What one task of the job takes.
Resources TaskResources(const Job& job);
// What the attempt takes on its machine.
Resources AttemptResources(const TaskAttempt& attempt);

class FreeCapacity {
 public:
  FreeCapacity(JobStore* job_store, Fleet* fleet, Provisioner* provisioner,
               RecordStore* record_store, const Clock* clock, const Settings* settings,
               const Tuning* tuning);

  // Brings capacities, sums and usage up to date.
  void Refresh();

  // The machine's capacity as it is now, without the sums.
  const MachineCapacity& Current(MachineIndex machine_index);

  // By machine index, as of the last Refresh() less what was allocated since.
  std::vector<MachineCapacity>& capacities() { return capacities_; }
  const std::vector<MachineCapacity>& capacities() const { return capacities_; }

  // Whether the machine takes new tasks now.
  bool IsUsable(const Machine& machine) const;
  // Whether its last heartbeat is not older than a healthy machine's may be.
  bool IsHeardRecently(const Machine& machine) const;
  // Whether the job may run on such a machine at all.
  static bool MayRunOn(const Job& job, const Machine& machine);

  // The settings of a team by its index; null for a team without settings.
  const Team* TeamOf(uint32_t team_index) const;
  // Whether the team's limit leaves quota for so many more tasks of the job.
  bool HasTeamQuota(const Job& job, size_t tasks = 1) const;
  // Cores that the team may still use; very large without a limit.
  double TeamQuotaLeft(uint32_t team_index) const;
  // Usage of the team, tasks on machines that are not reconciled included.
  const ResourceUsage& UsageOf(uint32_t team_index) const { return usage_[team_index]; }

  // The request of one task of the job. It borrows the vectors.
  ResourceRequest RequestFor(const Job& job, const ZoneMask& zones,
                             const std::vector<uint32_t>& sibling_machines) const;
  // Zones that may take one more task by the job's zone rules, given the machines of its tasks
  // (one entry a task). None: the rules can't be judged now, since a task may be anywhere.
  std::optional<ZoneMask> AllowedZones(const Job& job, const std::vector<uint32_t>& machines) const;
  // Takes a task's resources out of the snapshot and adds them to the team's usage.
  void Allocate(const Job& job, MachineIndex machine_index);
  // Usable machines with at least so many free cores.
  std::vector<uint32_t> MachinesWithRoom(double min_cores) const;

  // Free cores of usable machines.
  double free_ordinary() const { return free_ordinary_; }
  double free_spot() const { return free_spot_; }
  // Cores of ordinary machines in use by preemptible tasks.
  double preemptible_reserve() const { return preemptible_reserve_; }
  // Cores to keep free: for replicas of lost machines, and for services that arrive while a new
  // machine boots.
  double headroom() const { return headroom_; }
  double largest_replica_cores() const { return largest_replica_cores_; }
  double largest_replica_memory_gb() const { return largest_replica_memory_gb_; }
  // Cores of all machines that are up; at least 1.
  double total_cores() const { return total_cores_; }

  // Reserves resources of a machine for one task of the job, and releases them.
  void ReserveRoom(MachineIndex machine_index, const Job& job);
  void ReleaseRoom(MachineIndex machine_index, const Job& job);

  // Cores that drains will need elsewhere; machines that have them are not scaled in.
  void SetPlannedCores(double cores) { planned_cores_ = cores; }
  double planned_cores() const { return planned_cores_; }

  // A service was accepted: its cores count for the rate of arrivals.
  void RecordServiceArrival(const Job& job);

  // Zones behind a network partition, by index: not scaled out, and what services run there will
  // need capacity elsewhere when the leases expire.
  void SetPartitionedZones(std::vector<char> zones) { partitioned_zones_ = std::move(zones); }
  bool IsPartitioned(uint32_t zone) const {
    return zone < partitioned_zones_.size() && partitioned_zones_[zone] != 0;
  }

  // Capacities examined or rebuilt so far; tests bound the work as the fleet grows.
  uint64_t work_units = 0;

 private:
  // Cores in use by services.
  struct ServiceCores {
    double total = 0;
    double most_on_a_machine = 0;
  };

  void ResolveTeams();
  void RebuildCapacity(MachineIndex machine_index);
  ServiceCores SumCapacities();
  void FindLargestReplica();
  double ComputeHeadroom(const ServiceCores& service_cores) const;
  void CountUsage();
  // Whether machines that are not reconciled may run attempts of an earlier leader, and what
  // they could hold at most.
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
  double arrival_rate_updated_at_ = -1;  // negative: no service arrived yet
};

}  // namespace deckhall
