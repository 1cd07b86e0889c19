// All machines known in this term, and a queue of those that changed.
//
// Guarantees: an index is valid for the term, since entries are never erased; `active()` lists the
// machines that were not removed; a changed machine is in the queue at most once.
//
// Owned by Fleet. References to machines are valid until the next Add().
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "fleet/fleet_events.h"
#include "model/machine.h"
#include "net/clock.h"

namespace deckhall {

class MachineRegistry {
 public:
  MachineRegistry(const Clock* clock, uint64_t term, FleetEvents* events);

  // The last machine added under this name; kNoIndex if there is none.
  MachineIndex Find(const std::string& name) const;
  // Adds a machine. Its fencing token is the lowest of the term.
  MachineIndex Add(const std::string& name);
  Machine& operator[](MachineIndex machine_index) { return machines_[machine_index]; }
  const Machine& operator[](MachineIndex machine_index) const { return machines_[machine_index]; }
  uint32_t size() const { return static_cast<uint32_t>(machines_.size()); }
  // Machines that were not removed, in the order in which they were added.
  const std::vector<MachineIndex>& active() const { return active_; }

  // Marks an active machine, which must hold no attempts, as removed.
  void Remove(MachineIndex machine_index);

  // Queues the machine for the next round of commands.
  void MarkChanged(MachineIndex machine_index);
  // Removes the first machine from the queue and returns it; nullopt if the queue is empty.
  std::optional<MachineIndex> PopChanged();
  // Marks the free capacity of the machine as outdated and queues the machine, since commands may
  // be due.
  void InvalidateMachine(MachineIndex machine_index);
  // Marks the free capacity of all active machines as outdated.
  void InvalidateAllCapacity();
  // Raises the fencing token, so that the agent rejects everything that was sent before as soon as
  // it has seen a later command. `reason` is for the log.
  void RaiseFencingToken(MachineIndex machine_index, const char* reason);
  // The same; in addition, no launches are sent until the agent has reported the new token.
  void RaiseRequiredToken(MachineIndex machine_index, const char* reason);
  // Tokens raised so far.
  uint64_t tokens_raised() const { return tokens_raised_; }

  // Records that every attempt that can be on the machine is known.
  void MarkReconciled(MachineIndex machine_index);
  // Active machines that may run attempts of an earlier leader and are not reconciled.
  uint32_t CountUnreconciled() const;

 private:
  const Clock* clock_;
  uint64_t term_;
  FleetEvents* events_;
  uint64_t tokens_raised_ = 0;
  std::vector<Machine> machines_;
  std::vector<MachineIndex> active_;
  std::deque<MachineIndex> changed_;
  std::unordered_map<std::string, MachineIndex> index_by_name_;
};

}  // namespace deckhall
