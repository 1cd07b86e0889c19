#include "state/job_store.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "wire/job_codec.h"

namespace deckhall {
namespace {

// Finished tasks are bits; so many of them go into one row.
constexpr uint32_t kTasksPerChunk = 4096;
constexpr size_t kChunkReserveBytes = kTasksPerChunk / 4 + 60;
// What the other fields of a row may grow by.
constexpr size_t kRecordGrowthBytes = 24;

uint32_t ChunkCount(uint32_t tasks) { return (tasks + kTasksPerChunk - 1) / kTasksPerChunk; }

std::string EncodeDoneBits(const std::vector<Task>& tasks, uint32_t from, uint32_t to) {
  static const char* const kDigits = "0123456789abcdef";
  std::string out;
  for (uint32_t i = from; i < to; i += 4) {
    unsigned v = 0;
    for (uint32_t b = 0; b < 4 && i + b < to; ++b) {
      if (tasks[i + b].phase == TaskPhase::kDone) v |= 1U << b;
    }
    out += kDigits[v];
  }
  while (!out.empty() && out.back() == '0') out.pop_back();
  return out;
}

}  // namespace

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
      const uint32_t t = types.Add(name);
      if (t >= job.allowed_types.size()) job.allowed_types.resize(t + 1, 0);
      job.allowed_types[t] = 1;
    }
  }
  job.tasks.resize(job.spec.task_count);
}

bool JobStore::LoadRecord(RecordId record_id, const std::string& text) {
  rapidjson::Document doc;
  if (!ParseJson(text, &doc) || !doc.IsObject()) return false;
  std::string id;
  std::string state;
  if (JsonString(doc, "b", &id)) {
    DoneTasksChunk bits;
    uint64_t part = 0;
    bits.job_id = id;
    bits.record_id = record_id;
    JsonU64(doc, "p", &part);
    bits.part = static_cast<uint32_t>(part);
    JsonString(doc, "d", &bits.hex);
    loaded_chunks_.push_back(std::move(bits));
    return true;
  }
  Job job;
  job.record_id = record_id;
  job.acknowledged = job.accepted_in_earlier_term = true;
  JsonString(doc, "s", &state);
  job.lifecycle = state == "d"   ? JobLifecycle::kDone
                  : state == "c" ? JobLifecycle::kCancelled
                                 : JobLifecycle::kActive;
  job.end_acknowledged = job.lifecycle != JobLifecycle::kActive;
  const JsonValue* spec = JsonMember(doc, "j");
  if (spec != nullptr) {
    if (!ReadJob(*spec, &job.spec).empty()) return false;
    job.id = job.spec.id;
    JsonNumber(doc, "t", &job.submitted_wall);
    JsonNumber(doc, "v", &job.stored_remaining_core_seconds);
    IndexNames(job);
    std::string hex;
    if (JsonString(doc, "d", &hex)) loaded_chunks_.push_back({job.id, 0, hex, kNoRecord});
  } else if (!JsonString(doc, "x", &job.id)) {
    return false;
  }
  index_[job.id] = static_cast<JobIndex>(jobs_.size());
  jobs_.push_back(std::move(job));
  return true;
}

void JobStore::FinishLoad(double now, double wall) {
  for (const DoneTasksChunk& bits : loaded_chunks_) {
    const JobIndex job_index = Find(bits.job_id);
    if (job_index == kNoIndex || !jobs_[job_index].has_spec) {
      if (bits.record_id != kNoRecord) record_store_->Remove(bits.record_id);
      continue;
    }
    Job& job = jobs_[job_index];
    if (bits.part > 0) {
      job.chunk_record_ids.resize(
          std::max<size_t>(job.chunk_record_ids.size(), ChunkCount(job.spec.task_count) - 1),
          kNoRecord);
      if (bits.part <= job.chunk_record_ids.size()) {
        job.chunk_record_ids[bits.part - 1] = bits.record_id;
        record_store_->Reserve(bits.record_id, kChunkReserveBytes);
      }
    }
    for (size_t i = 0; i < bits.hex.size(); ++i) {
      const char c = bits.hex[i];
      const int v = c <= '9' ? c - '0' : c - 'a' + 10;
      for (uint32_t b = 0; b < 4; ++b) {
        const size_t t = static_cast<size_t>(bits.part) * kTasksPerChunk + i * 4 + b;
        if (((v >> b) & 1) != 0 && t < job.tasks.size()) job.tasks[t].phase = TaskPhase::kDone;
      }
    }
  }
  loaded_chunks_.clear();
  for (JobIndex job_index = 0; job_index < jobs_.size(); ++job_index) {
    Job& job = jobs_[job_index];
    if (!job.has_spec) continue;
    job.tasks_done = job.tasks_unreconciled = 0;
    for (Task& task : job.tasks) {
      if (task.phase == TaskPhase::kDone) {
        ++job.tasks_done;
      } else {
        task.phase = TaskPhase::kUnreconciled;
        ++job.tasks_unreconciled;
      }
    }
    record_store_->Reserve(job.record_id, RecordReserve(job, EncodeJobRecord(job)));
    job.ended_at = job.lifecycle == JobLifecycle::kActive ? -1 : now;
    job.waiting_since = now;
    job.starved_since = now - std::max(0.0, wall - job.submitted_wall);
    if (job.lifecycle != JobLifecycle::kActive) {
      ended_jobs_.push_back(job_index);
      continue;
    }
    active_jobs_.push_back(job_index);
    active_task_count_ += job.tasks.size();
  }
  EndGangsWithDoneTask(now);
}

// A leader of an earlier version wrote only those of a gang's tasks that it had heard of;
// they are done together, and none may start again.
void JobStore::EndGangsWithDoneTask(double now) {
  const std::vector<JobIndex> live = active_jobs_;
  for (JobIndex job_index : live) {
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

std::string JobStore::EncodeEndRecord(const Job& job) const {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  PutString(writer, "s", job.lifecycle == JobLifecycle::kDone ? "d" : "c");
  PutString(writer, "x", job.id);
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::string JobStore::EncodeJobRecord(const Job& job) const {
  if (!job.has_spec) return EncodeEndRecord(job);
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.SetMaxDecimalPlaces(3);
  writer.StartObject();
  if (job.lifecycle != JobLifecycle::kActive)
    PutString(writer, "s", job.lifecycle == JobLifecycle::kDone ? "d" : "c");
  writer.Key("j");
  WriteJob(writer, job.spec);
  writer.Key("t");
  writer.Double(job.submitted_wall);
  if (!job.spec.service) {
    writer.Key("v");
    writer.Double(job.remaining_core_seconds);
  }
  const std::string hex = EncodeDoneBits(
      job.tasks, 0, std::min<uint32_t>(kTasksPerChunk, static_cast<uint32_t>(job.tasks.size())));
  if (!hex.empty()) PutString(writer, "d", hex);
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::string JobStore::EncodeChunkRecord(const Job& job, uint32_t part) const {
  const auto size = static_cast<uint32_t>(job.tasks.size());
  const std::string hex =
      EncodeDoneBits(job.tasks, part * kTasksPerChunk, std::min(size, (part + 1) * kTasksPerChunk));
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  PutString(writer, "b", job.id);
  writer.Key("p");
  writer.Uint(part);
  PutString(writer, "d", hex);
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

size_t JobStore::RecordReserve(const Job& job, const std::string& text) const {
  if (!job.has_spec || job.lifecycle != JobLifecycle::kActive || job.spec.service)
    return text.size();
  // The bits of finished tasks come to be, and numbers get longer.
  const auto bits = std::min<uint32_t>(kTasksPerChunk, static_cast<uint32_t>(job.tasks.size()));
  const size_t now = EncodeDoneBits(job.tasks, 0, bits).size();
  return text.size() + (bits + 3) / 4 - now + kRecordGrowthBytes;
}

bool JobStore::FitsRecord(const JobSpec& spec) const {
  Job job;
  job.id = spec.id;
  job.spec = spec;
  job.has_spec = true;
  job.tasks.resize(std::min(spec.task_count, kTasksPerChunk));
  return RecordReserve(job, EncodeJobRecord(job)) <= record_store_->max_record_bytes();
}

void JobStore::Save(JobIndex job_index, WritePriority priority) {
  Job& job = jobs_[job_index];
  std::string text = EncodeJobRecord(job);
  // Accepted under larger limits: its end must be kept, its description need not.
  if (job.lifecycle != JobLifecycle::kActive && text.size() > record_store_->max_record_bytes())
    text = EncodeEndRecord(job);
  const size_t reserve = RecordReserve(job, text);
  if (job.record_id == kNoRecord) {
    job.record_id = record_store_->Add(std::move(text), reserve, priority);
  } else {
    record_store_->Update(job.record_id, std::move(text), reserve, priority);
  }
}

bool JobStore::IsDurable(JobIndex job_index) const {
  return record_store_->IsDurable(jobs_[job_index].record_id);
}

bool JobStore::IsTaskDurable(JobIndex job_index, uint32_t task_index) const {
  const Job& job = jobs_[job_index];
  const uint32_t part = task_index / kTasksPerChunk;
  if (part == 0 || !job.has_spec) return record_store_->IsDurable(job.record_id);
  return part <= job.chunk_record_ids.size() && job.chunk_record_ids[part - 1] != kNoRecord &&
         record_store_->IsDurable(job.chunk_record_ids[part - 1]);
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

void JobStore::SetTaskDone(Job* job, uint32_t task_index) {
  Task& task = job->tasks[task_index];
  if (task.phase == TaskPhase::kDone) return;
  if (task.phase == TaskPhase::kPlaced) --job->tasks_placed;
  if (task.phase == TaskPhase::kUnreconciled) --job->tasks_unreconciled;
  if (task.phase == TaskPhase::kWaiting) std::erase(job->waiting_tasks, task_index);
  task.phase = TaskPhase::kDone;
  task.machine = kNoIndex;
  ++job->tasks_done;
}

void JobStore::SaveChunk(Job* job, uint32_t part) {
  if (part == 0) return;  // in the job's own row
  job->chunk_record_ids.resize(
      std::max<size_t>(job->chunk_record_ids.size(), ChunkCount(job->spec.task_count) - 1),
      kNoRecord);
  RecordId& row = job->chunk_record_ids[part - 1];
  std::string text = EncodeChunkRecord(*job, part);
  if (row == kNoRecord) {
    row = record_store_->Add(std::move(text), kChunkReserveBytes, WritePriority::kBackground);
  } else {
    record_store_->Update(row, std::move(text), kChunkReserveBytes, WritePriority::kBackground);
  }
}

void JobStore::MarkTaskDone(JobIndex job_index, uint32_t task_index) {
  Job& job = jobs_[job_index];
  if (job.tasks[task_index].phase == TaskPhase::kDone) return;
  SetTaskDone(&job, task_index);
  SaveChunk(&job, task_index / kTasksPerChunk);
}

void JobStore::MarkAllTasksDone(JobIndex job_index) {
  Job& job = jobs_[job_index];
  if (job.tasks_done == job.tasks.size()) return;
  job.waiting_tasks.clear();
  for (uint32_t task_index = 0; task_index < job.tasks.size(); ++task_index)
    SetTaskDone(&job, task_index);
  for (uint32_t part = 1; part < ChunkCount(job.spec.task_count); ++part) SaveChunk(&job, part);
}

void JobStore::RemoveFrom(std::vector<JobIndex>* list, JobIndex job_index) {
  list->erase(std::remove(list->begin(), list->end(), job_index), list->end());
}

void JobStore::EndJob(JobIndex job_index, JobLifecycle life, double now) {
  Job& job = jobs_[job_index];
  if (job.lifecycle != JobLifecycle::kActive) return;
  job.lifecycle = life;
  job.ended_at = now;
  RemoveFrom(&active_jobs_, job_index);
  active_task_count_ -= job.tasks.size();
  ended_jobs_.push_back(job_index);
  Save(job_index,
       life == JobLifecycle::kCancelled ? WritePriority::kImmediate : WritePriority::kDeferred);
  on_lifecycle_change(job_index);
}

void JobStore::DropSpec(JobIndex job_index) {
  Job& job = jobs_[job_index];
  RemoveFrom(&ended_jobs_, job_index);
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
