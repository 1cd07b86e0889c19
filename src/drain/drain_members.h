// Which machines each drain names: cordons them, and learns of new ones.
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

  // The drains in force, and since when each is, by the time of day; machines that no drain
  // names any more take tasks again.
  void ApplyPolicy(std::shared_ptr<const DisruptionPolicy> policy, std::vector<double> since_wall);
  // Takes in machines that became known, or whose address did. Returns whether any was added.
  bool Sync();
  // Machines of a drain, by its place in the policy; those that are gone stay among them until
  // they are removed.
  const Roaring& MachinesOf(size_t drain) const { return members_[drain]; }
  void Remove(size_t drain, MachineIndex machine_index) { members_[drain].remove(machine_index); }
  // Whether a drain wants such machines gone, so that none is to be rented. Drains never close
  // all that can be rented: then those that would are about the machines that were there when
  // they began, and new ones replace those.
  bool PreventsScaleOut(const std::string& type, const std::string& zone) const;

 private:
  // Whether the drain is about the machines that were there when it began.
  bool ReplacesOnly(const DrainRequest& drain) const;
  void CountPools();
  bool IsIdentified(const Machine& machine) const;
  bool Add(MachineIndex machine_index);

  JobStore* job_store_;
  Fleet* fleet_;
  Provisioner* provisioner_;
  std::shared_ptr<const DisruptionPolicy> policy_;
  std::vector<double> since_wall_;
  size_t pool_count_ = 0;            // that can be rented
  bool all_pools_closed_ = false;    // by the drains together, if they did
  bool selects_by_network_ = false;  // some drain asks for addresses
  std::vector<Roaring> members_;
  Roaring unidentified_;          // machines whose type or address is not known yet
  uint32_t next_unexamined_ = 0;  // machines from this one on are new
};

}  // namespace deckhall
