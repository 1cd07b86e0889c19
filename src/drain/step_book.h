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
#include "state/row_store.h"

namespace deckhall {

enum class StepPhase : uint8_t {
  kAdopted,    // begun by an earlier leader; what came of it is not known yet
  kRecording,  // chosen; its row is on the way to the state service
  kStopping,   // its replica was told to stop
  kReplacing,  // the replica is gone; its replacement starts, or has to prove itself
};

struct DrainStep {
  std::string drain;
  JobIdx job = kNone;
  uint32_t task = 0;
  MachIdx from = kNone;  // kNone: not known to this leader
  uint64_t attempt = 0;
  StepPhase phase = StepPhase::kRecording;
  double phase_since = 0;
  uint32_t tries = 0;     // machines tried for the replacement
  MachIdx place = kNone;  // where room is held for it
  RowId row = kNoRow;
};

class StepBook {
 public:
  StepBook(JobBook* book, Fleet* fleet, RowStore* store, const Clock* clock)
      : book_(book), fleet_(fleet), store_(store), clock_(clock) {}

  // Reads one row if it is a step.
  bool LoadRow(RowId row, const std::string& text);
  // After all rows: steps of jobs that are over are dropped.
  void FinishLoad();

  // Begins a step; its row goes out at once.
  DrainStep& Begin(const std::string& drain, JobIdx job, uint32_t task, MachIdx from,
                   uint64_t attempt);
  bool Durable(const DrainStep& step) const { return store_->Durable(step.row); }
  void SetPhase(DrainStep* step, StepPhase phase);
  // Forgets the steps for which `over` is true.
  template <class Over>
  void RemoveIf(Over over) {
    std::vector<DrainStep> kept;
    for (DrainStep& step : steps_) {
      if (over(&step)) {
        store_->Remove(step.row);
      } else {
        kept.push_back(std::move(step));
      }
    }
    steps_ = std::move(kept);
  }

  std::vector<DrainStep>& steps() { return steps_; }
  const std::vector<DrainStep>& steps() const { return steps_; }
  bool Moving(JobIdx job, uint32_t task) const;
  uint64_t CountOf(const std::string& drain) const;

 private:
  struct Loaded {
    RowId row;
    StepRecord record;
  };

  JobBook* book_;
  Fleet* fleet_;
  RowStore* store_;
  const Clock* clock_;
  std::vector<DrainStep> steps_;
  std::vector<Loaded> loaded_;
};

}  // namespace deckhall
