#include "state/job_store.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace deckhall {

JobIndex JobStore::Find(const std::string& id) const {
  auto it = index_.find(id);
  return it == index_.end() ? kNoIndex : it->second;
}

void JobStore::IndexNames(Job& job) {
  job.has_spec = true;
  job.team = teams.Add(job.spec.team);
  job.image = images.Add(job.spec.image);
  job.job_class = classes.Add(job.spec.job_class);
  job.required_zone = job.spec.zone.empty() ? kNoIndex : zones.Add(job.spec.zone);
  if (job.spec.allowed_types) {
    job.allowed_types.assign(1, 0);
    for (const std::string& name : *job.spec.allowed_types) {
      const uint32_t type_index = types.Add(name);
      if (type_index >= job.allowed_types.size()) job.allowed_types.resize(type_index + 1, 0);
      job.allowed_types[type_index] = 1;
    }
  }
  job.tasks.resize(job.spec.task_count);
}

bool JobStore::LoadRecord(RecordId record_id, const std::string& text) {
  std::optional<DecodedJobRecord> decoded = DecodeJobRecord(text);
  if (!decoded) return false;
  if (auto* chunk = std::get_if<DoneTasksChunk>(&*decoded)) {
    loaded_chunks_.push_back({std::move(*chunk), record_id});
  } else {
    AddLoadedJob(record_id, std::get<JobRecord>(std::move(*decoded)));
  }
  return true;
}

void JobStore::AddLoadedJob(RecordId record_id, JobRecord record) {
  Job job;
  job.record_id = record_id;
  job.id = std::move(record.job_id);
  job.acknowledged = true;
  job.accepted_in_earlier_term = true;
  job.lifecycle = record.lifecycle;
  job.end_acknowledged = job.lifecycle != JobLifecycle::kActive;
  if (record.has_spec) {
    job.spec = std::move(record.spec);
    job.submitted_wall = record.submitted_wall;
    job.stored_remaining_core_seconds = record.remaining_core_seconds;
    IndexNames(job);
    if (!record.done_bits.empty())
      loaded_chunks_.push_back({{job.id, 0, std::move(record.done_bits)}, kNoRecord});
  }
  index_[job.id] = static_cast<JobIndex>(jobs_.size());
  jobs_.push_back(std::move(job));
}

void JobStore::FinishLoad(double now, double wall) {
  for (const LoadedChunk& chunk : loaded_chunks_) ApplyLoadedChunk(chunk);
  loaded_chunks_.clear();
  for (JobIndex job_index = 0; job_index < jobs_.size(); ++job_index) {
    if (jobs_[job_index].has_spec) FinishLoadingJob(job_index, now, wall);
  }
  EndGangsWithDoneTask(now);
}

void JobStore::ApplyLoadedChunk(const LoadedChunk& chunk) {
  const JobIndex job_index = Find(chunk.done_tasks.job_id);
  if (job_index == kNoIndex || !jobs_[job_index].has_spec) {
    // The job's spec was dropped, but the removal of this record was not committed.
    if (chunk.record_id != kNoRecord) record_store_->Remove(chunk.record_id);
    return;
  }
  Job& job = jobs_[job_index];
  AttachChunkRecord(job, chunk);
  for (size_t task_index : DecodeDoneTasks(chunk.done_tasks)) {
    if (task_index < job.tasks.size()) job.tasks[task_index].phase = TaskPhase::kDone;
  }
}

void JobStore::AttachChunkRecord(Job& job, const LoadedChunk& chunk) {
  const uint32_t number = chunk.done_tasks.chunk;
  if (number == 0) return;
  ResizeChunkRecords(job);
  if (number > job.chunk_record_ids.size()) return;
  job.chunk_record_ids[number - 1] = chunk.record_id;
  record_store_->Reserve(chunk.record_id, kChunkReserveBytes);
}

void JobStore::CountLoadedTasks(Job& job) {
  job.tasks_done = 0;
  job.tasks_unreconciled = 0;
  for (Task& task : job.tasks) {
    if (task.phase == TaskPhase::kDone) {
      ++job.tasks_done;
    } else {
      task.phase = TaskPhase::kUnreconciled;
      ++job.tasks_unreconciled;
    }
  }
}

void JobStore::FinishLoadingJob(JobIndex job_index, double now, double wall) {
  Job& job = jobs_[job_index];
  CountLoadedTasks(job);
  record_store_->Reserve(job.record_id, JobRecordReserve(job, EncodeJobRecord(job)));
  job.ended_at = job.lifecycle == JobLifecycle::kActive ? -1 : now;
  job.waiting_since = now;
  job.starved_since = now - std::max(0.0, wall - job.submitted_wall);
  if (job.lifecycle != JobLifecycle::kActive) {
    ended_jobs_.push_back(job_index);
    return;
  }
  active_jobs_.push_back(job_index);
  active_task_count_ += job.tasks.size();
}

// The tasks of a gang complete together and must not be started again. Leaders of earlier versions
// stored only the tasks whose completion had been reported to them.
void JobStore::EndGangsWithDoneTask(double now) {
  const std::vector<JobIndex> active = active_jobs_;  // EndJob changes the list
  for (JobIndex job_index : active) {
    if (!jobs_[job_index].spec.gang || jobs_[job_index].tasks_done == 0) continue;
    MarkAllTasksDone(job_index);
    EndJob(job_index, JobLifecycle::kDone, now);
  }
}

JobIndex JobStore::Create(const JobSpec& spec, double wall) {
  const auto job_index = static_cast<JobIndex>(jobs_.size());
  jobs_.emplace_back();
  Job& job = jobs_.back();
  job.id = spec.id;
  job.spec = spec;
  job.submitted_wall = wall;
  IndexNames(job);
  for (uint32_t i = spec.task_count; i-- > 0;) job.waiting_tasks.push_back(i);
  index_[spec.id] = job_index;
  active_jobs_.push_back(job_index);
  active_task_count_ += spec.task_count;
  Save(job_index, WritePriority::kImmediate);
  on_lifecycle_change(job_index);
  return job_index;
}

bool JobStore::FitsRecord(const JobSpec& spec) const {
  Job job;
  job.id = spec.id;
  job.spec = spec;
  job.has_spec = true;
  job.tasks.resize(std::min(spec.task_count, kTasksPerChunk));
  return JobRecordReserve(job, EncodeJobRecord(job)) <= record_store_->max_record_bytes();
}

void JobStore::Save(JobIndex job_index, WritePriority priority) {
  Job& job = jobs_[job_index];
  std::string text = EncodeJobRecord(job);
  // The job was accepted under larger limits: its end must be kept, its spec may be dropped.
  if (job.lifecycle != JobLifecycle::kActive && text.size() > record_store_->max_record_bytes())
    text = EncodeEndRecord(job);
  const size_t reserve_bytes = JobRecordReserve(job, text);
  if (job.record_id == kNoRecord) {
    job.record_id = record_store_->Add(std::move(text), reserve_bytes, priority);
  } else {
    record_store_->Update(job.record_id, std::move(text), reserve_bytes, priority);
  }
}

bool JobStore::IsDurable(JobIndex job_index) const {
  return record_store_->IsDurable(jobs_[job_index].record_id);
}

bool JobStore::IsTaskDurable(JobIndex job_index, uint32_t task_index) const {
  const Job& job = jobs_[job_index];
  const uint32_t chunk = task_index / kTasksPerChunk;
  if (chunk == 0 || !job.has_spec) return record_store_->IsDurable(job.record_id);
  if (chunk > job.chunk_record_ids.size()) return false;
  const RecordId record_id = job.chunk_record_ids[chunk - 1];
  return record_id != kNoRecord && record_store_->IsDurable(record_id);
}

double JobStore::SecondsPastDeadline(JobIndex job_index, double wall) const {
  const Job& job = jobs_[job_index];
  if (!job.spec.deadline_s) return -1;
  return wall - job.submitted_wall - *job.spec.deadline_s;
}

void JobStore::MarkPlaced(JobIndex job_index, uint32_t task_index, MachineIndex machine,
                          uint64_t attempt_number) {
  Job& job = jobs_[job_index];
  Task& task = job.tasks[task_index];
  if (task.phase == TaskPhase::kUnreconciled) --job.tasks_unreconciled;
  if (task.phase == TaskPhase::kWaiting) {
    auto it = std::find(job.waiting_tasks.rbegin(), job.waiting_tasks.rend(), task_index);
    if (it != job.waiting_tasks.rend()) job.waiting_tasks.erase(std::next(it).base());
  }
  task.phase = TaskPhase::kPlaced;
  task.machine = machine;
  task.attempt = attempt_number;
  ++job.tasks_placed;
}

void JobStore::MarkWaiting(JobIndex job_index, uint32_t task_index) {
  Job& job = jobs_[job_index];
  Task& task = job.tasks[task_index];
  if (task.phase != TaskPhase::kPlaced) return;
  task.phase = TaskPhase::kWaiting;
  task.machine = kNoIndex;
  task.attempt = 0;
  --job.tasks_placed;
  job.waiting_tasks.push_back(task_index);
}

void JobStore::ReleaseUnreconciledTask(JobIndex job_index, uint32_t task_index) {
  Job& job = jobs_[job_index];
  Task& task = job.tasks[task_index];
  if (task.phase != TaskPhase::kUnreconciled) return;
  task.phase = TaskPhase::kWaiting;
  --job.tasks_unreconciled;
  job.waiting_tasks.push_back(task_index);
}

void JobStore::SetTaskDone(Job& job, uint32_t task_index) {
  Task& task = job.tasks[task_index];
  if (task.phase == TaskPhase::kDone) return;
  if (task.phase == TaskPhase::kPlaced) --job.tasks_placed;
  if (task.phase == TaskPhase::kUnreconciled) --job.tasks_unreconciled;
  if (task.phase == TaskPhase::kWaiting) std::erase(job.waiting_tasks, task_index);
  task.phase = TaskPhase::kDone;
  task.machine = kNoIndex;
  ++job.tasks_done;
}

void JobStore::ResizeChunkRecords(Job& job) {
  const size_t further_chunks = ChunkCount(job.spec.task_count) - 1;
  job.chunk_record_ids.resize(std::max(job.chunk_record_ids.size(), further_chunks), kNoRecord);
}

void JobStore::SaveChunk(Job& job, uint32_t chunk) {
  if (chunk == 0) return;
  ResizeChunkRecords(job);
  RecordId& record_id = job.chunk_record_ids[chunk - 1];
  std::string text = EncodeChunkRecord(job, chunk);
  if (record_id == kNoRecord) {
    record_id = record_store_->Add(std::move(text), kChunkReserveBytes, WritePriority::kBackground);
  } else {
    record_store_->Update(record_id, std::move(text), kChunkReserveBytes,
                          WritePriority::kBackground);
  }
}

void JobStore::MarkTaskDone(JobIndex job_index, uint32_t task_index) {
  Job& job = jobs_[job_index];
  if (job.tasks[task_index].phase == TaskPhase::kDone) return;
  SetTaskDone(job, task_index);
  SaveChunk(job, task_index / kTasksPerChunk);
}

void JobStore::MarkAllTasksDone(JobIndex job_index) {
  Job& job = jobs_[job_index];
  if (job.tasks_done == job.tasks.size()) return;
  job.waiting_tasks.clear();
  for (uint32_t task_index = 0; task_index < job.tasks.size(); ++task_index)
    SetTaskDone(job, task_index);
  for (uint32_t chunk = 1; chunk < ChunkCount(job.spec.task_count); ++chunk) SaveChunk(job, chunk);
}

void JobStore::EndJob(JobIndex job_index, JobLifecycle lifecycle, double now) {
  Job& job = jobs_[job_index];
  if (job.lifecycle != JobLifecycle::kActive) return;
  job.lifecycle = lifecycle;
  job.ended_at = now;
  std::erase(active_jobs_, job_index);
  active_task_count_ -= job.tasks.size();
  ended_jobs_.push_back(job_index);
  Save(job_index, lifecycle == JobLifecycle::kCancelled ? WritePriority::kImmediate
                                                        : WritePriority::kDeferred);
  on_lifecycle_change(job_index);
}

void JobStore::DropSpec(JobIndex job_index) {
  Job& job = jobs_[job_index];
  std::erase(ended_jobs_, job_index);
  job.has_spec = false;
  job.tasks = {};
  job.waiting_tasks = {};
  job.spec = JobSpec();
  job.tasks_unreconciled = job.tasks_placed = 0;
  for (RecordId record_id : job.chunk_record_ids) {
    if (record_id != kNoRecord) record_store_->Remove(record_id);
  }
  job.chunk_record_ids.clear();
  Save(job_index, WritePriority::kBackground);
}

}  // namespace deckhall
