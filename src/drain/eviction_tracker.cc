#include "drain/eviction_tracker.h"

#include <algorithm>

namespace deckhall {

bool EvictionTracker::LoadRecord(RecordId record_id, const std::string& text) {
  std::optional<EvictionRecord> record = DecodeEviction(text);
  if (!record) return false;
  loaded_.push_back({record_id, std::move(*record)});
  return true;
}

void EvictionTracker::FinishLoad() {
  for (const Loaded& loaded : loaded_) {
    const EvictionRecord& record = loaded.record;
    const JobIndex job_index = job_store_->Find(record.job);
    const bool is_active = job_index != kNoIndex && (*job_store_)[job_index].has_spec &&
                           (*job_store_)[job_index].lifecycle == JobLifecycle::kActive &&
                           record.task < (*job_store_)[job_index].tasks.size();
    if (!is_active) {
      record_store_->Remove(loaded.record_id);
      continue;
    }
    Eviction eviction;
    eviction.drain = record.drain;
    eviction.job = job_index;
    eviction.task_index = static_cast<uint32_t>(record.task);
    eviction.source_machine = fleet_->Find(record.machine);
    eviction.attempt_number = record.attempt;
    eviction.phase = EvictionPhase::kAdopted;
    eviction.phase_since = clock_->Now();
    eviction.record_id = loaded.record_id;
    evictions_.push_back(std::move(eviction));
  }
  loaded_.clear();
}

Eviction& EvictionTracker::Begin(const std::string& drain, JobIndex job, uint32_t task_index,
                                 MachineIndex source_machine, uint64_t attempt_number) {
  EvictionRecord record;
  record.drain = drain;
  record.job = (*job_store_)[job].id;
  record.task = task_index;
  record.machine = (*fleet_)[source_machine].name;
  record.attempt = attempt_number;
  record.since_wall = clock_->Wall();
  const std::string text = EncodeEviction(record);
  Eviction eviction;
  eviction.drain = drain;
  eviction.job = job;
  eviction.task_index = task_index;
  eviction.source_machine = source_machine;
  eviction.attempt_number = attempt_number;
  eviction.phase_since = clock_->Now();
  eviction.record_id = record_store_->Add(text, text.size(), WritePriority::kImmediate);
  evictions_.push_back(std::move(eviction));
  return evictions_.back();
}

void EvictionTracker::SetPhase(Eviction* eviction, EvictionPhase phase) {
  eviction->phase = phase;
  eviction->phase_since = clock_->Now();
}

bool EvictionTracker::IsEvicting(JobIndex job, uint32_t task_index) const {
  return std::any_of(evictions_.begin(), evictions_.end(),
                     [job, task_index](const Eviction& eviction) {
                       return eviction.job == job && eviction.task_index == task_index;
                     });
}

uint64_t EvictionTracker::CountEvictions(const std::string& drain) const {
  return static_cast<uint64_t>(
      std::count_if(evictions_.begin(), evictions_.end(),
                    [&drain](const Eviction& eviction) { return eviction.drain == drain; }));
}

}  // namespace deckhall
