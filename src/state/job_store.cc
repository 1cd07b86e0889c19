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

bool JobStore::LoadRecord(RecordId row, const std::string& text) {
  rapidjson::Document doc;
  if (!ParseJson(text, &doc) || !doc.IsObject()) return false;
  std::string id;
  std::string state;
  if (JsonString(doc, "b", &id)) {
    DoneTasksChunk bits;
    uint64_t part = 0;
    bits.job_id = id;
    bits.record_id = row;
    JsonU64(doc, "p", &part);
    bits.part = static_cast<uint32_t>(part);
    JsonString(doc, "d", &bits.hex);
    loaded_chunks_.push_back(std::move(bits));
    return true;
  }
  Job job;
  job.record_id = row;
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
    const JobIndex j = Find(bits.job_id);
    if (j == kNoIndex || !jobs_[j].has_spec) {
      if (bits.record_id != kNoRecord) record_store_->Remove(bits.record_id);
      continue;
    }
    Job& job = jobs_[j];
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
  for (JobIndex j = 0; j < jobs_.size(); ++j) {
    Job& job = jobs_[j];
    if (!job.has_spec) continue;
    job.tasks_done = job.tasks_unreconciled = 0;
    for (Task& t : job.tasks) {
      if (t.phase == TaskPhase::kDone) {
        ++job.tasks_done;
      } else {
        t.phase = TaskPhase::kUnreconciled;
        ++job.tasks_unreconciled;
      }
    }
    record_store_->Reserve(job.record_id, RecordReserve(job, EncodeJobRecord(job)));
    job.ended_at = job.lifecycle == JobLifecycle::kActive ? -1 : now;
    job.waiting_since = now;
    job.starved_since = now - std::max(0.0, wall - job.submitted_wall);
    if (job.lifecycle != JobLifecycle::kActive) {
      ended_jobs_.push_back(j);
      continue;
    }
    active_jobs_.push_back(j);
    active_task_count_ += job.tasks.size();
  }
  EndGangsWithDoneTask(now);
}

// A leader of an earlier version wrote only those of a gang's tasks that it had heard of;
// they are done together, and none may start again.
void JobStore::EndGangsWithDoneTask(double now) {
  const std::vector<JobIndex> live = active_jobs_;
  for (JobIndex j : live) {
    if (!jobs_[j].spec.gang || jobs_[j].tasks_done == 0) continue;
    MarkAllTasksDone(j);
    EndJob(j, JobLifecycle::kDone, now);
  }
}

JobIndex JobStore::Create(const JobSpec& spec, double wall) {
  const auto j = static_cast<JobIndex>(jobs_.size());
  jobs_.emplace_back();
  Job& job = jobs_.back();
  job.id = spec.id;
  job.spec = spec;
  job.submitted_wall = wall;
  IndexNames(job);
  for (uint32_t i = spec.task_count; i-- > 0;) job.waiting_tasks.push_back(i);
  index_[spec.id] = j;
  active_jobs_.push_back(j);
  active_task_count_ += spec.task_count;
  Save(j, WritePriority::kImmediate);
  on_lifecycle_change(j);
  return j;
}

std::string JobStore::EncodeEndRecord(const Job& job) const {
  rapidjson::StringBuffer buffer;
  JsonWriter w(buffer);
  w.StartObject();
  PutString(w, "s", job.lifecycle == JobLifecycle::kDone ? "d" : "c");
  PutString(w, "x", job.id);
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::string JobStore::EncodeJobRecord(const Job& job) const {
  if (!job.has_spec) return EncodeEndRecord(job);
  rapidjson::StringBuffer buffer;
  JsonWriter w(buffer);
  w.SetMaxDecimalPlaces(3);
  w.StartObject();
  if (job.lifecycle != JobLifecycle::kActive)
    PutString(w, "s", job.lifecycle == JobLifecycle::kDone ? "d" : "c");
  w.Key("j");
  WriteJob(w, job.spec);
  w.Key("t");
  w.Double(job.submitted_wall);
  if (!job.spec.service) {
    w.Key("v");
    w.Double(job.remaining_core_seconds);
  }
  const std::string hex = EncodeDoneBits(
      job.tasks, 0, std::min<uint32_t>(kTasksPerChunk, static_cast<uint32_t>(job.tasks.size())));
  if (!hex.empty()) PutString(w, "d", hex);
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::string JobStore::EncodeChunkRecord(const Job& job, uint32_t part) const {
  const auto size = static_cast<uint32_t>(job.tasks.size());
  const std::string hex =
      EncodeDoneBits(job.tasks, part * kTasksPerChunk, std::min(size, (part + 1) * kTasksPerChunk));
  rapidjson::StringBuffer buffer;
  JsonWriter w(buffer);
  w.StartObject();
  PutString(w, "b", job.id);
  w.Key("p");
  w.Uint(part);
  PutString(w, "d", hex);
  w.EndObject();
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

void JobStore::Save(JobIndex j, WritePriority urgency) {
  Job& job = jobs_[j];
  std::string text = EncodeJobRecord(job);
  // Accepted under larger limits: its end must be kept, its description need not.
  if (job.lifecycle != JobLifecycle::kActive && text.size() > record_store_->max_record_bytes())
    text = EncodeEndRecord(job);
  const size_t reserve = RecordReserve(job, text);
  if (job.record_id == kNoRecord) {
    job.record_id = record_store_->Add(std::move(text), reserve, urgency);
  } else {
    record_store_->Update(job.record_id, std::move(text), reserve, urgency);
  }
}

bool JobStore::IsDurable(JobIndex j) const { return record_store_->IsDurable(jobs_[j].record_id); }

bool JobStore::IsTaskDurable(JobIndex j, uint32_t task) const {
  const Job& job = jobs_[j];
  const uint32_t part = task / kTasksPerChunk;
  if (part == 0 || !job.has_spec) return record_store_->IsDurable(job.record_id);
  return part <= job.chunk_record_ids.size() && job.chunk_record_ids[part - 1] != kNoRecord &&
         record_store_->IsDurable(job.chunk_record_ids[part - 1]);
}

double JobStore::SecondsPastDeadline(JobIndex j, double wall) const {
  const Job& job = jobs_[j];
  if (!job.spec.deadline_s) return -1;
  return wall - job.submitted_wall - *job.spec.deadline_s;
}

void JobStore::MarkPlaced(JobIndex j, uint32_t task, MachineIndex machine, uint64_t attempt) {
  Job& job = jobs_[j];
  Task& t = job.tasks[task];
  if (t.phase == TaskPhase::kUnreconciled) --job.tasks_unreconciled;
  if (t.phase == TaskPhase::kWaiting) {
    auto it = std::find(job.waiting_tasks.rbegin(), job.waiting_tasks.rend(), task);
    if (it != job.waiting_tasks.rend()) job.waiting_tasks.erase(std::next(it).base());
  }
  t.phase = TaskPhase::kPlaced;
  t.machine = machine;
  t.attempt = attempt;
  ++job.tasks_placed;
}

void JobStore::MarkWaiting(JobIndex j, uint32_t task) {
  Job& job = jobs_[j];
  Task& t = job.tasks[task];
  if (t.phase != TaskPhase::kPlaced) return;
  t.phase = TaskPhase::kWaiting;
  t.machine = kNoIndex;
  t.attempt = 0;
  --job.tasks_placed;
  job.waiting_tasks.push_back(task);
}

void JobStore::ReleaseUnreconciledTask(JobIndex j, uint32_t task) {
  Job& job = jobs_[j];
  Task& t = job.tasks[task];
  if (t.phase != TaskPhase::kUnreconciled) return;
  t.phase = TaskPhase::kWaiting;
  --job.tasks_unreconciled;
  job.waiting_tasks.push_back(task);
}

void JobStore::SetTaskDone(Job* job, uint32_t task) {
  Task& t = job->tasks[task];
  if (t.phase == TaskPhase::kDone) return;
  if (t.phase == TaskPhase::kPlaced) --job->tasks_placed;
  if (t.phase == TaskPhase::kUnreconciled) --job->tasks_unreconciled;
  if (t.phase == TaskPhase::kWaiting) std::erase(job->waiting_tasks, task);
  t.phase = TaskPhase::kDone;
  t.machine = kNoIndex;
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

void JobStore::MarkTaskDone(JobIndex j, uint32_t task) {
  Job& job = jobs_[j];
  if (job.tasks[task].phase == TaskPhase::kDone) return;
  SetTaskDone(&job, task);
  SaveChunk(&job, task / kTasksPerChunk);
}

void JobStore::MarkAllTasksDone(JobIndex j) {
  Job& job = jobs_[j];
  if (job.tasks_done == job.tasks.size()) return;
  job.waiting_tasks.clear();
  for (uint32_t task = 0; task < job.tasks.size(); ++task) SetTaskDone(&job, task);
  for (uint32_t part = 1; part < ChunkCount(job.spec.task_count); ++part) SaveChunk(&job, part);
}

void JobStore::RemoveFrom(std::vector<JobIndex>* list, JobIndex j) {
  list->erase(std::remove(list->begin(), list->end(), j), list->end());
}

void JobStore::EndJob(JobIndex j, JobLifecycle life, double now) {
  Job& job = jobs_[j];
  if (job.lifecycle != JobLifecycle::kActive) return;
  job.lifecycle = life;
  job.ended_at = now;
  RemoveFrom(&active_jobs_, j);
  active_task_count_ -= job.tasks.size();
  ended_jobs_.push_back(j);
  Save(j, life == JobLifecycle::kCancelled ? WritePriority::kImmediate : WritePriority::kDeferred);
  on_lifecycle_change(j);
}

void JobStore::DropSpec(JobIndex j) {
  Job& job = jobs_[j];
  RemoveFrom(&ended_jobs_, j);
  job.has_spec = false;
  job.tasks = {};
  job.waiting_tasks = {};
  job.spec = JobSpec();
  job.tasks_unreconciled = job.tasks_placed = 0;
  for (RecordId row : job.chunk_record_ids) {
    if (row != kNoRecord) record_store_->Remove(row);
  }
  job.chunk_record_ids.clear();
  Save(j, WritePriority::kBackground);
}

}  // namespace deckhall
