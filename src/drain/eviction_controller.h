// Carries out drains step by step: chooses which replica leaves which machine next, as far as
// the budgets allow, follows each step until its replacement is healthy, and lets empty machines
// go back to the cloud by the ordinary path.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "drain/disruption_ledger.h"
#include "drain/drain_members.h"
#include "drain/drain_records.h"
#include "drain/eviction_tracker.h"
#include "drain/replacement_finder.h"
#include "leader/gang_supervisor.h"

namespace deckhall {

struct EvictionDependencies {
  JobStore* job_store = nullptr;
  Fleet* fleet = nullptr;
  FreeCapacity* free_capacity = nullptr;
  Provisioner* provisioner = nullptr;
  GangSupervisor* gang_supervisor = nullptr;
  RecordStore* record_store = nullptr;
  DisruptionLedger* ledger = nullptr;
  const Clock* clock = nullptr;
};

class EvictionController {
 public:
  explicit EvictionController(const EvictionDependencies& ports);

  // Reads one row if it is one of ours; FinishLoad() after all rows, Use() only after that.
  bool LoadRecord(RecordId record_id, const std::string& text);
  void FinishLoad();
  // The policy in force, null without one; `confirmed` as for DisruptionLedger::ApplyPolicy.
  void ApplyPolicy(std::shared_ptr<const DisruptionPolicy> policy, bool confirmed);
  // Called a few times a second.
  void Tick();
  // Puts replacements where room was held for them. Called with a fresh picture of free room,
  // before anything else is placed.
  void PlaceReplacements();

  // A drain wants no such machines: none is rented.
  bool PreventsScaleOut(const std::string& type, const std::string& zone) const {
    return members_.PreventsScaleOut(type, zone);
  }
  // Jobs whose replicas will need room elsewhere next, one entry each.
  const std::vector<JobIndex>& jobs_needing_room() const { return jobs_needing_room_; }
  // Progress of the drains in force, in the order of the policy.
  std::vector<DrainProgress> Progress() const;
  const EvictionTracker& eviction_tracker() const { return eviction_tracker_; }
  // Machines, replicas and places looked at so far, to bound the work as the fleet grows.
  uint64_t work_units() const { return examined_ + places_.examined(); }

 private:
  // One drain of the policy in force.
  struct Drain {
    const DrainRequest* order = nullptr;
    DrainProgress progress;
    RecordId record_id = kNoRecord;
    std::string stored_text;  // of its row
    std::vector<MachineIndex>
        queue;  // its machines, those that are emptied with least effort first
    size_t cursor = 0;
    double sorted_at = -1;
    double last_eviction_at = -1;  // it last began a step: others go first
    double last_progress_at = 0;   // something last went on
    BlockedState blocked;          // as last found
  };
  // A job whose replacement did not become healthy.
  struct Backoff {
    double until = 0;
    double seconds = 0;
  };

  bool InForce(const std::string& drain) const;
  Drain* Find(const std::string& drain);
  void AdvanceEvictions();
  // False: the step is over.
  bool Advance(Eviction* eviction);
  bool AdvanceAdopted(Eviction* eviction);
  bool AdvanceRecording(Eviction* eviction);
  bool AdvanceReplacing(Eviction* eviction);
  // Tells the replica of a durable step to stop. False: it no longer may.
  bool StopReplica(Eviction* eviction);
  // The replacement is late: another machine is tried. False: the step is given up.
  bool TryElsewhere(Eviction* eviction);
  void ReservePlace(Eviction* eviction, MachineIndex place);
  void ReleasePlace(Eviction* eviction);
  double ReplacementTimeout(const Eviction& eviction) const;

  void StartEvictions();
  // Looks at the drain's next machines; true when a step was begun.
  bool StartEvictionOf(Drain* drain, size_t* looks);
  // True when something was begun there.
  bool Examine(Drain* drain, MachineIndex machine_index);
  bool ExamineReplica(Drain* drain, MachineIndex machine_index, const TaskAttempt& attempt);
  bool ExamineArrayTask(Drain* drain, MachineIndex machine_index, TaskAttempt* attempt);
  BlockedState BlockedFromMoving(MachineIndex machine_index, const TaskAttempt& attempt) const;
  void MoveStuckReplica(MachineIndex machine_index, const TaskAttempt& attempt);
  void SortMachines(Drain* drain);
  // Its type is not on offer, nor on any machine.
  bool HasUnknownType(const Drain& drain) const;
  bool IsPastDeadline(const Drain& drain) const;
  void RefreshDrain(Drain* drain);
  void SaveProgress(Drain* drain);
  void RecordProgress(const std::string& drain);
  TaskAttempt* FindEvictedAttempt(const Eviction& eviction);
  static double GracePeriodOf(const Job& job);

  JobStore* job_store_;
  Fleet* fleet_;
  FreeCapacity* free_capacity_;
  Provisioner* provisioner_;
  GangSupervisor* gangs_;
  RecordStore* record_store_;
  DisruptionLedger* ledger_;
  const Clock* clock_;
  DrainMembers members_;
  EvictionTracker eviction_tracker_;
  ReplacementFinder places_;
  std::shared_ptr<const DisruptionPolicy> policy_;
  bool confirmed_ = false;
  std::deque<Drain> drains_;
  std::map<std::string, std::pair<RecordId, DrainProgress>> loaded_;  // not in the policy so far
  std::map<JobIndex, Backoff> backoffs_;
  std::map<JobIndex, double> image_wait_since_;
  std::vector<JobIndex> jobs_needing_room_;
  double next_write_ = 0;
  uint64_t examined_ = 0;
};

}  // namespace deckhall
