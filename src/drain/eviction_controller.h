// Carries out drains one eviction at a time: selects the next replica to evict as far as the
// budgets allow, tracks each eviction until its replacement is available, and leaves the release of
// empty machines to the regular scale-in.
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
  explicit EvictionController(const EvictionDependencies& dependencies);

  // Loads a record if it is a drain's progress or an eviction. FinishLoad() follows all records,
  // and the first ApplyPolicy() follows FinishLoad().
  bool LoadRecord(RecordId record_id, const std::string& text);
  void FinishLoad();
  // Sets the policy in force, which may be null. `confirmed`: see DisruptionLedger::ApplyPolicy.
  void ApplyPolicy(std::shared_ptr<const DisruptionPolicy> policy, bool confirmed);
  // Called several times a second.
  void Tick();
  // Places replacements on the machines where capacity is reserved for them. Called after the free
  // capacity was refreshed and before any other placement.
  void PlaceReplacements();

  // Whether a drain covers all machines of this type and zone, so that none may be provisioned.
  bool PreventsScaleOut(const std::string& type, const std::string& zone) const {
    return members_.PreventsScaleOut(type, zone);
  }
  // Jobs of replicas that are to be evicted next and need capacity elsewhere, one entry a replica.
  const std::vector<JobIndex>& jobs_awaiting_capacity() const { return jobs_awaiting_capacity_; }
  // Progress of the drains of the policy, in its order.
  std::vector<DrainProgress> Progress() const;
  const EvictionTracker& eviction_tracker() const { return eviction_tracker_; }
  // Machines, attempts and evictions examined so far; tests use it to bound the work as the fleet
  // grows.
  uint64_t work_units() const { return examined_ + replacement_finder_.examined(); }

 private:
  // One drain of the policy in force.
  struct Drain {
    const DrainRequest* request = nullptr;
    DrainProgress progress;
    RecordId record_id = kNoRecord;
    std::string stored_text;          // last text written to its record
    std::vector<MachineIndex> queue;  // its machines by ascending cores of services
    size_t cursor = 0;                // of `queue`
    double sorted_at = -1;            // negative if never sorted
    double last_eviction_at = -1;     // drains with earlier evictions go first
    double last_progress_at = 0;  // last start or end of an eviction, array stop or machine removal
    BlockedState blocked;         // most recent reason
  };
  // The backoff of a job whose replacement did not become available in time.
  struct Backoff {
    double until = 0;
    double seconds = 0;
  };

  bool IsActiveDrain(const std::string& drain) const;
  Drain* Find(const std::string& drain);
  void AdvanceEvictions();
  // Returns false when the eviction has ended; so do the functions for its phases.
  bool Advance(Eviction* eviction);
  bool AdvanceAdopted(Eviction* eviction);
  bool AdvanceRecording(Eviction* eviction);
  bool AdvanceReplacing(Eviction* eviction);
  // Requests the stop of the replica once its eviction is durable. Returns false if the stop is no
  // longer allowed.
  bool StopReplica(Eviction* eviction);
  // Tries another machine after a replacement timed out. Returns false if the eviction is given up.
  bool RetryReplacement(Eviction* eviction);
  void ReserveReplacementCapacity(Eviction* eviction, MachineIndex machine_index);
  void ReleaseReplacementCapacity(Eviction* eviction);
  double ReplacementTimeout(const Eviction& eviction) const;

  void StartEvictions();
  // Examines the drain's next machines until an eviction or a stop was started there. Returns
  // whether one was.
  bool StartNextEviction(Drain* drain, size_t* remaining);
  // Returns whether an eviction or a stop was started on the machine.
  bool Examine(Drain* drain, MachineIndex machine_index);
  bool ExamineReplica(Drain* drain, MachineIndex machine_index, const TaskAttempt& attempt);
  bool ExamineArrayTask(Drain* drain, MachineIndex machine_index, TaskAttempt* attempt);
  BlockedState BlockedFromMoving(MachineIndex machine_index, const TaskAttempt& attempt) const;
  void MoveStuckReplica(MachineIndex machine_index, const TaskAttempt& attempt);
  void SortMachines(Drain* drain);
  // Whether the cloud does not offer the drain's machine type and no machine was drained so far.
  bool HasUnknownType(const Drain& drain) const;
  bool IsPastDeadline(const Drain& drain) const;
  void RefreshDrain(Drain* drain);
  void WriteProgress(Drain* drain);
  void MarkProgress(const std::string& drain);
  TaskAttempt* FindEvictedAttempt(const Eviction& eviction);
  static double GracePeriodOf(const Job& job);

  JobStore* job_store_;
  Fleet* fleet_;
  FreeCapacity* free_capacity_;
  Provisioner* provisioner_;
  GangSupervisor* gang_supervisor_;
  RecordStore* record_store_;
  DisruptionLedger* ledger_;
  const Clock* clock_;
  DrainMembers members_;
  EvictionTracker eviction_tracker_;
  ReplacementFinder replacement_finder_;
  std::shared_ptr<const DisruptionPolicy> policy_;
  bool confirmed_ = false;
  std::deque<Drain> drains_;
  std::map<std::string, std::pair<RecordId, DrainProgress>> loaded_progress_;  // not in the policy
  std::map<JobIndex, Backoff> backoffs_;
  std::map<JobIndex, double> image_wait_since_;
  std::vector<JobIndex> jobs_awaiting_capacity_;
  double next_write_at_ = 0;
  uint64_t examined_ = 0;
};

}  // namespace deckhall
