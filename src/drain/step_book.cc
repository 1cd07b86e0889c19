#include "drain/step_book.h"

#include <algorithm>

namespace deckhall {

bool StepBook::LoadRow(RecordId row, const std::string& text) {
  StepRecord record;
  if (!DecodeStep(text, &record)) return false;
  loaded_.push_back({row, std::move(record)});
  return true;
}

void StepBook::FinishLoad() {
  for (const Loaded& loaded : loaded_) {
    const StepRecord& record = loaded.record;
    const JobIndex j = job_store_->Find(record.job);
    const bool live = j != kNoIndex && (*job_store_)[j].has_spec &&
                      (*job_store_)[j].lifecycle == JobLifecycle::kActive &&
                      record.task < (*job_store_)[j].tasks.size();
    if (!live) {
      record_store_->Remove(loaded.row);
      continue;
    }
    DrainStep step;
    step.drain = record.drain;
    step.job = j;
    step.task = static_cast<uint32_t>(record.task);
    step.from = fleet_->Find(record.machine);
    step.attempt = record.attempt;
    step.phase = StepPhase::kAdopted;
    step.phase_since = clock_->Now();
    step.row = loaded.row;
    steps_.push_back(std::move(step));
  }
  loaded_.clear();
}

DrainStep& StepBook::Begin(const std::string& drain, JobIndex job, uint32_t task, MachineIndex from,
                           uint64_t attempt) {
  StepRecord record;
  record.drain = drain;
  record.job = (*job_store_)[job].id;
  record.task = task;
  record.machine = (*fleet_)[from].name;
  record.attempt = attempt;
  record.since_wall = clock_->Wall();
  const std::string text = EncodeStep(record);
  DrainStep step;
  step.drain = drain;
  step.job = job;
  step.task = task;
  step.from = from;
  step.attempt = attempt;
  step.phase_since = clock_->Now();
  step.row = record_store_->Add(text, text.size(), WritePriority::kImmediate);
  steps_.push_back(std::move(step));
  return steps_.back();
}

void StepBook::SetPhase(DrainStep* step, StepPhase phase) {
  step->phase = phase;
  step->phase_since = clock_->Now();
}

bool StepBook::Moving(JobIndex job, uint32_t task) const {
  return std::any_of(steps_.begin(), steps_.end(), [job, task](const DrainStep& step) {
    return step.job == job && step.task == task;
  });
}

uint64_t StepBook::CountOf(const std::string& drain) const {
  return static_cast<uint64_t>(
      std::count_if(steps_.begin(), steps_.end(),
                    [&drain](const DrainStep& step) { return step.drain == drain; }));
}

}  // namespace deckhall
