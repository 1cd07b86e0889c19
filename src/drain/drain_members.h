// Tracks which machines each drain selects, new ones included, and cordons them.
#pragma once

#include <memory>
#include <roaring/roaring.hh>
#include <string>
#include <vector>

#include "cloud/provisioner.h"
#include "drain/policy.h"
#include "fleet/fleet.h"

namespace deckhall {

class DrainMembers {
 public:
  DrainMembers(JobStore* job_store, Fleet* fleet, Provisioner* provisioner)
      : job_store_(job_store), fleet_(fleet), provisioner_(provisioner) {}

  // Sets the policy in force and the wall time at which each of its drains started. Machines that
  // no drain selects any more are uncordoned.
  void ApplyPolicy(std::shared_ptr<const DisruptionPolicy> policy, std::vector<double> since_wall);
  // Adds machines that became known, or whose type or address did, to the drains that select them.
  // Returns whether any was added.
  bool Sync();
  // Machines of a drain, given by its index in the policy. Machines that left the fleet stay
  // members until Remove().
  const Roaring& MachinesOf(size_t drain) const { return members_[drain]; }
  void Remove(size_t drain, MachineIndex machine_index) { members_[drain].remove(machine_index); }
  // Whether a drain covers all machines of this type and zone, so that none may be provisioned.
  // Drains never block all pools: if together they cover every pool, each is limited to the
  // machines that existed when it started, and new machines replace those.
  bool PreventsScaleOut(const std::string& type, const std::string& zone) const;

 private:
  // Whether the drain is limited to the machines that existed when it started.
  bool CoversOnlyExistingMachines(const DrainRequest& drain) const;
  void UpdatePools();
  bool IsIdentified(const Machine& machine) const;
  bool Add(MachineIndex machine_index);

  JobStore* job_store_;
  Fleet* fleet_;
  Provisioner* provisioner_;
  std::shared_ptr<const DisruptionPolicy> policy_;
  std::vector<double> since_wall_;
  size_t pool_count_ = 0;            // pools in which machines can be provisioned
  bool all_pools_drained_ = false;   // the drains together cover every pool
  bool selects_by_network_ = false;  // some drain selects by address
  std::vector<Roaring> members_;
  Roaring unidentified_;          // machines whose type or address is not known yet
  uint32_t next_unexamined_ = 0;  // machines from this index on are new
};

}  // namespace deckhall
