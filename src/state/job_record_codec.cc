#include "state/job_record_codec.h"

#include <algorithm>
#include <utility>

#include "wire/job_codec.h"

namespace deckhall {
namespace {

// Bytes by which the fields other than `bits` may grow.
constexpr size_t kRecordGrowthBytes = 24;
constexpr uint32_t kTasksPerDigit = 4;
// Digits after the decimal point of stored numbers.
constexpr int kMaxDecimalPlaces = 3;

constexpr const char* kDoneCode = "d";
constexpr const char* kCancelledCode = "c";

const char* LifecycleCode(JobLifecycle lifecycle) {
  return lifecycle == JobLifecycle::kDone ? kDoneCode : kCancelledCode;
}

JobLifecycle ParseLifecycle(const std::string& lifecycle_code) {
  if (lifecycle_code == kDoneCode) return JobLifecycle::kDone;
  if (lifecycle_code == kCancelledCode) return JobLifecycle::kCancelled;
  return JobLifecycle::kActive;
}

// Number of the job's tasks whose bits are in its own record.
uint32_t FirstChunkSize(const Job& job) {
  return std::min<uint32_t>(kTasksPerChunk, static_cast<uint32_t>(job.tasks.size()));
}

unsigned EncodeDoneDigit(const std::vector<Task>& tasks, uint32_t begin, uint32_t end) {
  unsigned digit = 0;
  for (uint32_t bit = 0; bit < kTasksPerDigit && begin + bit < end; ++bit) {
    if (tasks[begin + bit].phase == TaskPhase::kDone) digit |= 1U << bit;
  }
  return digit;
}

std::string EncodeDoneBits(const std::vector<Task>& tasks, uint32_t begin, uint32_t end) {
  static constexpr const char* kDigits = "0123456789abcdef";
  std::string bits;
  for (uint32_t i = begin; i < end; i += kTasksPerDigit)
    bits += kDigits[EncodeDoneDigit(tasks, i, end)];
  while (!bits.empty() && bits.back() == '0') bits.pop_back();
  return bits;
}

DoneTasksChunk DecodeChunk(const rapidjson::Document& document, std::string job_id) {
  DoneTasksChunk chunk;
  chunk.job_id = std::move(job_id);
  uint64_t number = 0;
  JsonU64(document, "p", &number);
  chunk.chunk = static_cast<uint32_t>(number);
  JsonString(document, "d", &chunk.done_bits);
  return chunk;
}

std::optional<JobRecord> DecodeOwnRecord(const rapidjson::Document& document) {
  JobRecord record;
  std::string lifecycle_code;
  JsonString(document, "s", &lifecycle_code);
  record.lifecycle = ParseLifecycle(lifecycle_code);
  const JsonValue* spec = JsonMember(document, "j");
  if (spec == nullptr) {
    if (!JsonString(document, "x", &record.job_id)) return std::nullopt;
    return record;
  }
  Result<JobSpec, JobSpecError> read = ReadJob(*spec);
  if (!read) return std::nullopt;
  record.spec = std::move(read.value());
  record.has_spec = true;
  record.job_id = record.spec.id;
  JsonNumber(document, "t", &record.submitted_wall);
  JsonNumber(document, "v", &record.remaining_core_seconds);
  JsonString(document, "d", &record.done_bits);
  return record;
}

}  // namespace

std::optional<DecodedJobRecord> DecodeJobRecord(const std::string& text) {
  rapidjson::Document document;
  if (!ParseJson(text, &document) || !document.IsObject()) return std::nullopt;
  std::string chunk_job_id;
  if (JsonString(document, "b", &chunk_job_id)) {
    return DecodeChunk(document, std::move(chunk_job_id));
  }
  std::optional<JobRecord> record = DecodeOwnRecord(document);
  if (!record) return std::nullopt;
  return std::move(*record);
}

std::vector<size_t> DecodeDoneTasks(const DoneTasksChunk& chunk) {
  std::vector<size_t> positions;
  const size_t first = static_cast<size_t>(chunk.chunk) * kTasksPerChunk;
  for (size_t i = 0; i < chunk.done_bits.size(); ++i) {
    const char c = chunk.done_bits[i];
    const int digit = c <= '9' ? c - '0' : c - 'a' + 10;
    for (uint32_t bit = 0; bit < kTasksPerDigit; ++bit) {
      if (((digit >> bit) & 1) != 0) positions.push_back(first + i * kTasksPerDigit + bit);
    }
  }
  return positions;
}

std::string EncodeJobRecord(const Job& job) {
  if (!job.has_spec) return EncodeEndRecord(job);
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.SetMaxDecimalPlaces(kMaxDecimalPlaces);
  writer.StartObject();
  if (job.lifecycle != JobLifecycle::kActive) PutString(writer, "s", LifecycleCode(job.lifecycle));
  writer.Key("j");
  WriteJob(writer, job.spec);
  writer.Key("t");
  writer.Double(job.submitted_wall);
  if (!job.spec.service) {
    writer.Key("v");
    writer.Double(job.remaining_core_seconds);
  }
  const std::string done_bits = EncodeDoneBits(job.tasks, 0, FirstChunkSize(job));
  if (!done_bits.empty()) PutString(writer, "d", done_bits);
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::string EncodeEndRecord(const Job& job) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  PutString(writer, "s", LifecycleCode(job.lifecycle));
  PutString(writer, "x", job.id);
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::string EncodeChunkRecord(const Job& job, uint32_t chunk) {
  const auto task_count = static_cast<uint32_t>(job.tasks.size());
  const uint32_t end = std::min(task_count, (chunk + 1) * kTasksPerChunk);
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  PutString(writer, "b", job.id);
  writer.Key("p");
  writer.Uint(chunk);
  PutString(writer, "d", EncodeDoneBits(job.tasks, chunk * kTasksPerChunk, end));
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

size_t JobRecordReserve(const Job& job, const std::string& text) {
  if (!job.has_spec || job.lifecycle != JobLifecycle::kActive || job.spec.service)
    return text.size();
  const uint32_t task_count = FirstChunkSize(job);
  const size_t digits = EncodeDoneBits(job.tasks, 0, task_count).size();
  const size_t max_digits = (task_count + kTasksPerDigit - 1) / kTasksPerDigit;
  return text.size() + max_digits - digits + kRecordGrowthBytes;
}

uint32_t ChunkCount(uint32_t task_count) {
  return (task_count + kTasksPerChunk - 1) / kTasksPerChunk;
}

}  // namespace deckhall
