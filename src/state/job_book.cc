#include "state/job_book.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "wire/job_codec.h"

namespace deckhall {
namespace {

// Finished tasks are bits; so many of them go into one row.
constexpr uint32_t kChunk = 4096;
constexpr size_t kChunkReserve = kChunk / 4 + 60;
// What the other fields of a row may grow by.
constexpr size_t kGrowth = 24;

uint32_t Parts(uint32_t tasks) { return (tasks + kChunk - 1) / kChunk; }

std::string HexBits(const std::vector<Task>& tasks, uint32_t from, uint32_t to) {
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

JobIdx JobBook::Find(const std::string& id) const {
  auto it = index_.find(id);
  return it == index_.end() ? kNone : it->second;
}

void JobBook::Attach(Job& job) {
  job.full = true;
  job.team = teams.Add(job.spec.team);
  job.image = images.Add(job.spec.image);
  job.job_class = classes.Add(job.spec.job_class);
  job.zone = job.spec.zone.empty() ? kNone : zones.Add(job.spec.zone);
  if (job.spec.allowed_types) {
    job.types.assign(1, 0);
    for (const std::string& name : *job.spec.allowed_types) {
      const uint32_t t = types.Add(name);
      if (t >= job.types.size()) job.types.resize(t + 1, 0);
      job.types[t] = 1;
    }
  }
  job.tasks.resize(job.spec.task_count);
}

bool JobBook::LoadRow(RowId row, const std::string& text) {
  rapidjson::Document doc;
  if (!ParseJson(text, &doc) || !doc.IsObject()) return false;
  std::string id;
  std::string state;
  if (JsonString(doc, "b", &id)) {
    Bits bits;
    uint64_t part = 0;
    bits.id = id;
    bits.row = row;
    JsonU64(doc, "p", &part);
    bits.part = static_cast<uint32_t>(part);
    JsonString(doc, "d", &bits.hex);
    loaded_bits_.push_back(std::move(bits));
    return true;
  }
  Job job;
  job.row = row;
  job.acknowledged = job.from_store = true;
  JsonString(doc, "s", &state);
  job.life = state == "d" ? JobLife::kDone : state == "c" ? JobLife::kCancelled : JobLife::kLive;
  job.end_acknowledged = job.life != JobLife::kLive;
  const JsonValue* spec = JsonMember(doc, "j");
  if (spec != nullptr) {
    if (!ReadJob(*spec, &job.spec).empty()) return false;
    job.id = job.spec.id;
    JsonNumber(doc, "t", &job.submitted_wall);
    JsonNumber(doc, "v", &job.saved_left);
    Attach(job);
    std::string hex;
    if (JsonString(doc, "d", &hex)) loaded_bits_.push_back({job.id, 0, hex, kNoRow});
  } else if (!JsonString(doc, "x", &job.id)) {
    return false;
  }
  index_[job.id] = static_cast<JobIdx>(jobs_.size());
  jobs_.push_back(std::move(job));
  return true;
}

void JobBook::FinishLoad(double now, double wall) {
  for (const Bits& bits : loaded_bits_) {
    const JobIdx j = Find(bits.id);
    if (j == kNone || !jobs_[j].full) {
      if (bits.row != kNoRow) store_->Remove(bits.row);
      continue;
    }
    Job& job = jobs_[j];
    if (bits.part > 0) {
      job.chunks.resize(std::max<size_t>(job.chunks.size(), Parts(job.spec.task_count) - 1),
                        kNoRow);
      if (bits.part <= job.chunks.size()) {
        job.chunks[bits.part - 1] = bits.row;
        store_->Reserve(bits.row, kChunkReserve);
      }
    }
    for (size_t i = 0; i < bits.hex.size(); ++i) {
      const char c = bits.hex[i];
      const int v = c <= '9' ? c - '0' : c - 'a' + 10;
      for (uint32_t b = 0; b < 4; ++b) {
        const size_t t = static_cast<size_t>(bits.part) * kChunk + i * 4 + b;
        if (((v >> b) & 1) != 0 && t < job.tasks.size()) job.tasks[t].phase = TaskPhase::kDone;
      }
    }
  }
  loaded_bits_.clear();
  for (JobIdx j = 0; j < jobs_.size(); ++j) {
    Job& job = jobs_[j];
    if (!job.full) continue;
    job.done = job.unseen = 0;
    for (Task& t : job.tasks) {
      if (t.phase == TaskPhase::kDone) {
        ++job.done;
      } else {
        t.phase = TaskPhase::kUnseen;
        ++job.unseen;
      }
    }
    store_->Reserve(job.row, ReserveOf(job, MainText(job)));
    job.ended_at = job.life == JobLife::kLive ? -1 : now;
    job.waiting_since = now;
    job.starved_since = now - std::max(0.0, wall - job.submitted_wall);
    if (job.life != JobLife::kLive) {
      ended_jobs_.push_back(j);
      continue;
    }
    live_.push_back(j);
    live_tasks_ += job.tasks.size();
  }
  EndGangsWithADoneTask(now);
}

// A leader of an earlier version wrote only those of a gang's tasks that it had heard of;
// they are done together, and none may start again.
void JobBook::EndGangsWithADoneTask(double now) {
  const std::vector<JobIdx> live = live_;
  for (JobIdx j : live) {
    if (!jobs_[j].spec.gang || jobs_[j].done == 0) continue;
    AllDone(j);
    End(j, JobLife::kDone, now);
  }
}

JobIdx JobBook::Create(const JobSpec& spec, double wall) {
  const auto j = static_cast<JobIdx>(jobs_.size());
  jobs_.emplace_back();
  Job& job = jobs_.back();
  job.id = spec.id;
  job.spec = spec;
  job.submitted_wall = wall;
  Attach(job);
  for (uint32_t i = spec.task_count; i-- > 0;) job.waiting.push_back(i);
  index_[spec.id] = j;
  live_.push_back(j);
  live_tasks_ += spec.task_count;
  Save(j, WriteUrgency::kNow);
  on_life(j);
  return j;
}

std::string JobBook::EndText(const Job& job) const {
  rapidjson::StringBuffer buffer;
  JsonWriter w(buffer);
  w.StartObject();
  PutString(w, "s", job.life == JobLife::kDone ? "d" : "c");
  PutString(w, "x", job.id);
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::string JobBook::MainText(const Job& job) const {
  if (!job.full) return EndText(job);
  rapidjson::StringBuffer buffer;
  JsonWriter w(buffer);
  w.SetMaxDecimalPlaces(3);
  w.StartObject();
  if (job.life != JobLife::kLive) PutString(w, "s", job.life == JobLife::kDone ? "d" : "c");
  w.Key("j");
  WriteJob(w, job.spec);
  w.Key("t");
  w.Double(job.submitted_wall);
  if (!job.spec.service) {
    w.Key("v");
    w.Double(job.left);
  }
  const std::string hex =
      HexBits(job.tasks, 0, std::min<uint32_t>(kChunk, static_cast<uint32_t>(job.tasks.size())));
  if (!hex.empty()) PutString(w, "d", hex);
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::string JobBook::ChunkText(const Job& job, uint32_t part) const {
  const auto size = static_cast<uint32_t>(job.tasks.size());
  const std::string hex = HexBits(job.tasks, part * kChunk, std::min(size, (part + 1) * kChunk));
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

size_t JobBook::ReserveOf(const Job& job, const std::string& text) const {
  if (!job.full || job.life != JobLife::kLive || job.spec.service) return text.size();
  // The bits of finished tasks come to be, and numbers get longer.
  const auto bits = std::min<uint32_t>(kChunk, static_cast<uint32_t>(job.tasks.size()));
  const size_t now = HexBits(job.tasks, 0, bits).size();
  return text.size() + (bits + 3) / 4 - now + kGrowth;
}

bool JobBook::FitsRow(const JobSpec& spec) const {
  Job job;
  job.id = spec.id;
  job.spec = spec;
  job.full = true;
  job.tasks.resize(std::min(spec.task_count, kChunk));
  return ReserveOf(job, MainText(job)) <= store_->most_bytes();
}

void JobBook::Save(JobIdx j, WriteUrgency urgency) {
  Job& job = jobs_[j];
  std::string text = MainText(job);
  // Accepted under larger limits: its end must be kept, its description need not.
  if (job.life != JobLife::kLive && text.size() > store_->most_bytes()) text = EndText(job);
  const size_t reserve = ReserveOf(job, text);
  if (job.row == kNoRow) {
    job.row = store_->Add(std::move(text), reserve, urgency);
  } else {
    store_->Set(job.row, std::move(text), reserve, urgency);
  }
}

bool JobBook::Durable(JobIdx j) const { return store_->Durable(jobs_[j].row); }

bool JobBook::TaskDurable(JobIdx j, uint32_t task) const {
  const Job& job = jobs_[j];
  const uint32_t part = task / kChunk;
  if (part == 0 || !job.full) return store_->Durable(job.row);
  return part <= job.chunks.size() && job.chunks[part - 1] != kNoRow &&
         store_->Durable(job.chunks[part - 1]);
}

double JobBook::Lateness(JobIdx j, double wall) const {
  const Job& job = jobs_[j];
  if (!job.spec.deadline_s) return -1;
  return wall - job.submitted_wall - *job.spec.deadline_s;
}

void JobBook::Place(JobIdx j, uint32_t task, MachIdx machine, uint64_t attempt) {
  Job& job = jobs_[j];
  Task& t = job.tasks[task];
  if (t.phase == TaskPhase::kUnseen) --job.unseen;
  if (t.phase == TaskPhase::kWaiting) {
    auto it = std::find(job.waiting.rbegin(), job.waiting.rend(), task);
    if (it != job.waiting.rend()) job.waiting.erase(std::next(it).base());
  }
  t.phase = TaskPhase::kPlaced;
  t.machine = machine;
  t.attempt = attempt;
  ++job.placed;
}

void JobBook::Unplace(JobIdx j, uint32_t task) {
  Job& job = jobs_[j];
  Task& t = job.tasks[task];
  if (t.phase != TaskPhase::kPlaced) return;
  t.phase = TaskPhase::kWaiting;
  t.machine = kNone;
  t.attempt = 0;
  --job.placed;
  job.waiting.push_back(task);
}

void JobBook::SeenFree(JobIdx j, uint32_t task) {
  Job& job = jobs_[j];
  Task& t = job.tasks[task];
  if (t.phase != TaskPhase::kUnseen) return;
  t.phase = TaskPhase::kWaiting;
  --job.unseen;
  job.waiting.push_back(task);
}

void JobBook::MarkDone(Job* job, uint32_t task) {
  Task& t = job->tasks[task];
  if (t.phase == TaskPhase::kDone) return;
  if (t.phase == TaskPhase::kPlaced) --job->placed;
  if (t.phase == TaskPhase::kUnseen) --job->unseen;
  if (t.phase == TaskPhase::kWaiting) std::erase(job->waiting, task);
  t.phase = TaskPhase::kDone;
  t.machine = kNone;
  ++job->done;
}

void JobBook::SaveChunk(Job* job, uint32_t part) {
  if (part == 0) return;  // in the job's own row
  job->chunks.resize(std::max<size_t>(job->chunks.size(), Parts(job->spec.task_count) - 1), kNoRow);
  RowId& row = job->chunks[part - 1];
  std::string text = ChunkText(*job, part);
  if (row == kNoRow) {
    row = store_->Add(std::move(text), kChunkReserve, WriteUrgency::kLazy);
  } else {
    store_->Set(row, std::move(text), kChunkReserve, WriteUrgency::kLazy);
  }
}

void JobBook::Done(JobIdx j, uint32_t task) {
  Job& job = jobs_[j];
  if (job.tasks[task].phase == TaskPhase::kDone) return;
  MarkDone(&job, task);
  SaveChunk(&job, task / kChunk);
}

void JobBook::AllDone(JobIdx j) {
  Job& job = jobs_[j];
  if (job.done == job.tasks.size()) return;
  job.waiting.clear();
  for (uint32_t task = 0; task < job.tasks.size(); ++task) MarkDone(&job, task);
  for (uint32_t part = 1; part < Parts(job.spec.task_count); ++part) SaveChunk(&job, part);
}

void JobBook::RemoveFrom(std::vector<JobIdx>* list, JobIdx j) {
  list->erase(std::remove(list->begin(), list->end(), j), list->end());
}

void JobBook::End(JobIdx j, JobLife life, double now) {
  Job& job = jobs_[j];
  if (job.life != JobLife::kLive) return;
  job.life = life;
  job.ended_at = now;
  RemoveFrom(&live_, j);
  live_tasks_ -= job.tasks.size();
  ended_jobs_.push_back(j);
  Save(j, life == JobLife::kCancelled ? WriteUrgency::kNow : WriteUrgency::kSoon);
  on_life(j);
}

void JobBook::DropSpec(JobIdx j) {
  Job& job = jobs_[j];
  RemoveFrom(&ended_jobs_, j);
  job.full = false;
  job.tasks = {};
  job.waiting = {};
  job.spec = JobSpec();
  job.unseen = job.placed = 0;
  for (RowId row : job.chunks) {
    if (row != kNoRow) store_->Remove(row);
  }
  job.chunks.clear();
  Save(j, WriteUrgency::kLazy);
}

}  // namespace deckhall
