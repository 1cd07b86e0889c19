// The steps in flight: replicas that are being moved off machines, from the choice until the
// replacement is healthy. Each is durable before its replica is told to stop, and found again
// by a new leader.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "drain/blocked_reason.h"
#include "drain/drain_records.h"
#include "fleet/fleet.h"
#include "state/record_store.h"

namespace deckhall {

enum class EvictionPhase : uint8_t {
  kAdopted,    // begun by an earlier leader; what came of it is not known yet
  kRecording,  // chosen; its row is on the way to the state service
  kStopping,   // its replica was told to stop
  kReplacing,  // the replica is gone; its replacement starts, or has to prove itself
};

struct Eviction {
  std::string drain;
  JobIndex job = kNoIndex;
  uint32_t task_index = 0;
  MachineIndex from = kNoIndex;  // kNone: not known to this leader
  uint64_t attempt_number = 0;
  EvictionPhase phase = EvictionPhase::kRecording;
  double phase_since = 0;
  uint32_t tries = 0;                           // machines tried for the replacement
  MachineIndex replacement_machine = kNoIndex;  // where room is held for it
  RecordId record_id = kNoRecord;
};

class EvictionTracker {
 public:
  EvictionTracker(JobStore* job_store, Fleet* fleet, RecordStore* record_store, const Clock* clock)
      : job_store_(job_store), fleet_(fleet), record_store_(record_store), clock_(clock) {}

  // Reads one row if it is a step.
  bool LoadRecord(RecordId record_id, const std::string& text);
  // After all rows: steps of jobs that are over are dropped.
  void FinishLoad();

  // Begins a step; its row goes out at once.
  Eviction& Begin(const std::string& drain, JobIndex job, uint32_t task_index, MachineIndex from,
                  uint64_t attempt_number);
  bool Durable(const Eviction& eviction) const {
    return record_store_->IsDurable(eviction.record_id);
  }
  void SetPhase(Eviction* eviction, EvictionPhase phase);
  // Forgets the steps for which `over` is true.
  template <class Over>
  void RemoveIf(Over over) {
    std::vector<Eviction> kept;
    for (Eviction& eviction : evictions_) {
      if (over(&eviction)) {
        record_store_->Remove(eviction.record_id);
      } else {
        kept.push_back(std::move(eviction));
      }
    }
    evictions_ = std::move(kept);
  }

  std::vector<Eviction>& evictions() { return evictions_; }
  const std::vector<Eviction>& evictions() const { return evictions_; }
  bool IsEvicting(JobIndex job, uint32_t task_index) const;
  uint64_t CountEvictions(const std::string& drain) const;

 private:
  struct Loaded {
    RecordId row;
    EvictionRecord record;
  };

  JobStore* job_store_;
  Fleet* fleet_;
  RecordStore* record_store_;
  const Clock* clock_;
  std::vector<Eviction> evictions_;
  std::vector<Loaded> loaded_;
};

}  // namespace deckhall
