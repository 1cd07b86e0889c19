// The evictions in flight, from the selection of a replica until its replacement is available. Each
// is durable before the stop of its replica is requested, so that a new leader can resume it.
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
  kAdopted,    // started by an earlier leader; its outcome is not known yet
  kRecording,  // selected; its record is being written to the state service
  kStopping,   // the stop of its replica was requested
  kReplacing,  // the replica has stopped; its replacement is not available yet
};

struct Eviction {
  std::string drain;
  JobIndex job = kNoIndex;
  uint32_t task_index = 0;
  MachineIndex source_machine = kNoIndex;  // kNoIndex if unknown to this leader
  uint64_t attempt_number = 0;
  EvictionPhase phase = EvictionPhase::kRecording;
  double phase_since = 0;
  uint32_t replacement_attempts = 0;            // time-outs of replacements
  MachineIndex replacement_machine = kNoIndex;  // where capacity is reserved
  RecordId record_id = kNoRecord;
};

class EvictionTracker {
 public:
  EvictionTracker(JobStore* job_store, Fleet* fleet, RecordStore* record_store, const Clock* clock)
      : job_store_(job_store), fleet_(fleet), record_store_(record_store), clock_(clock) {}

  // Loads a record if it is an eviction.
  bool LoadRecord(RecordId record_id, const std::string& text);
  // Called after all records were loaded. Drops the evictions of jobs that have ended.
  void FinishLoad();

  // Starts an eviction and queues its record for an immediate write.
  Eviction& Begin(const std::string& drain, JobIndex job, uint32_t task_index,
                  MachineIndex source_machine, uint64_t attempt_number);
  bool IsRecordDurable(const Eviction& eviction) const {
    return record_store_->IsDurable(eviction.record_id);
  }
  void SetPhase(Eviction* eviction, EvictionPhase phase);
  // Drops the evictions for which `is_finished` returns true, with their records.
  template <class Predicate>
  void RemoveIf(Predicate is_finished) {
    std::vector<Eviction> kept;
    for (Eviction& eviction : evictions_) {
      if (is_finished(&eviction)) {
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
    RecordId record_id;
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
