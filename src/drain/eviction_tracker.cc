#include "drain/eviction_tracker.h"

#include <algorithm>

namespace deckhall {

bool EvictionTracker::LoadRecord(RecordId row, const std::string& text) {
  EvictionRecord record;
  if (!DecodeEviction(text, &record)) return false;
  loaded_.push_back({row, std::move(record)});
  return true;
}

void EvictionTracker::FinishLoad() {
  for (const Loaded& loaded : loaded_) {
    const EvictionRecord& record = loaded.record;
    const JobIndex j = job_store_->Find(record.job);
    const bool live = j != kNoIndex && (*job_store_)[j].has_spec &&
                      (*job_store_)[j].lifecycle == JobLifecycle::kActive &&
                      record.task < (*job_store_)[j].tasks.size();
    if (!live) {
      record_store_->Remove(loaded.row);
      continue;
    }
    Eviction step;
    step.drain = record.drain;
    step.job = j;
    step.task_index = static_cast<uint32_t>(record.task);
    step.from = fleet_->Find(record.machine);
    step.attempt_number = record.attempt;
    step.phase = EvictionPhase::kAdopted;
    step.phase_since = clock_->Now();
    step.record_id = loaded.row;
    evictions_.push_back(std::move(step));
  }
  loaded_.clear();
}

Eviction& EvictionTracker::Begin(const std::string& drain, JobIndex job, uint32_t task,
                                 MachineIndex from, uint64_t attempt) {
  EvictionRecord record;
  record.drain = drain;
  record.job = (*job_store_)[job].id;
  record.task = task;
  record.machine = (*fleet_)[from].name;
  record.attempt = attempt;
  record.since_wall = clock_->Wall();
  const std::string text = EncodeEviction(record);
  Eviction step;
  step.drain = drain;
  step.job = job;
  step.task_index = task;
  step.from = from;
  step.attempt_number = attempt;
  step.phase_since = clock_->Now();
  step.record_id = record_store_->Add(text, text.size(), WritePriority::kImmediate);
  evictions_.push_back(std::move(step));
  return evictions_.back();
}

void EvictionTracker::SetPhase(Eviction* step, EvictionPhase phase) {
  step->phase = phase;
  step->phase_since = clock_->Now();
}

bool EvictionTracker::IsEvicting(JobIndex job, uint32_t task) const {
  return std::any_of(evictions_.begin(), evictions_.end(), [job, task](const Eviction& step) {
    return step.job == job && step.task_index == task;
  });
}

uint64_t EvictionTracker::CountEvictions(const std::string& drain) const {
  return static_cast<uint64_t>(
      std::count_if(evictions_.begin(), evictions_.end(),
                    [&drain](const Eviction& step) { return step.drain == drain; }));
}

}  // namespace deckhall
