// The steps in flight: replicas that are being moved off machines, from the choice until the
// replacement is healthy. Each is durable before its replica is told to stop, and found again
// by a new leader.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "drain/drain_records.h"
#include "drain/wait_reason.h"
#include "fleet/fleet.h"
#include "state/record_store.h"

namespace deckhall {

enum class StepPhase : uint8_t {
  kAdopted,    // begun by an earlier leader; what came of it is not known yet
  kRecording,  // chosen; its row is on the way to the state service
  kStopping,   // its replica was told to stop
  kReplacing,  // the replica is gone; its replacement starts, or has to prove itself
};

struct DrainStep {
  std::string drain;
  JobIndex job = kNoIndex;
  uint32_t task = 0;
  MachineIndex from = kNoIndex;  // kNone: not known to this leader
  uint64_t attempt = 0;
  StepPhase phase = StepPhase::kRecording;
  double phase_since = 0;
  uint32_t tries = 0;             // machines tried for the replacement
  MachineIndex place = kNoIndex;  // where room is held for it
  RecordId row = kNoRecord;
};

class StepBook {
 public:
  StepBook(JobStore* job_store, Fleet* fleet, RecordStore* record_store, const Clock* clock)
      : job_store_(job_store), fleet_(fleet), record_store_(record_store), clock_(clock) {}

  // Reads one row if it is a step.
  bool LoadRow(RecordId row, const std::string& text);
  // After all rows: steps of jobs that are over are dropped.
  void FinishLoad();

  // Begins a step; its row goes out at once.
  DrainStep& Begin(const std::string& drain, JobIndex job, uint32_t task, MachineIndex from,
                   uint64_t attempt);
  bool Durable(const DrainStep& step) const { return record_store_->IsDurable(step.row); }
  void SetPhase(DrainStep* step, StepPhase phase);
  // Forgets the steps for which `over` is true.
  template <class Over>
  void RemoveIf(Over over) {
    std::vector<DrainStep> kept;
    for (DrainStep& step : steps_) {
      if (over(&step)) {
        record_store_->Remove(step.row);
      } else {
        kept.push_back(std::move(step));
      }
    }
    steps_ = std::move(kept);
  }

  std::vector<DrainStep>& steps() { return steps_; }
  const std::vector<DrainStep>& steps() const { return steps_; }
  bool Moving(JobIndex job, uint32_t task) const;
  uint64_t CountOf(const std::string& drain) const;

 private:
  struct Loaded {
    RecordId row;
    StepRecord record;
  };

  JobStore* job_store_;
  Fleet* fleet_;
  RecordStore* record_store_;
  const Clock* clock_;
  std::vector<DrainStep> steps_;
  std::vector<Loaded> loaded_;
};

}  // namespace deckhall
