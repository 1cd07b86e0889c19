// The stored form of jobs: JSON texts for RecordStore. Pure functions.
//
// A job has one record of its own. It holds the job's spec until some time after its end; then
// only the id and the end are kept. Finished tasks are stored as bits, in chunks of
// kTasksPerChunk: the first chunk in the job's own record, each further one in a record.
//
//   own record       {"s":end,"j":spec,"t":submitted,"v":remaining,"d":bits}
//   own record, end  {"s":end,"x":id}
//   chunk record     {"b":id,"p":chunk,"d":bits}
//
// `end` is "d" (done) or "c" (cancelled), and missing while the job is active. `bits` has a
// hexadecimal digit for four tasks, the first task in the lowest bit; zeros at its end are left
// out. Earlier versions read and write the same bytes (tests/golden_rows_test.cc).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "model/job.h"

namespace deckhall {

// Tasks whose bits are stored in one record.
constexpr uint32_t kTasksPerChunk = 4096;
// Bytes to which a chunk record may grow: one digit for four tasks, and its other fields.
constexpr size_t kChunkReserveBytes = kTasksPerChunk / 4 + 60;

// A job's own record.
struct JobRecord {
  std::string job_id;
  JobLifecycle lifecycle = JobLifecycle::kActive;
  bool has_spec = false;  // false: only the end is kept, and the fields below are not set
  JobSpec spec;
  double submitted_wall = 0;           // time of day, in seconds since the epoch
  double remaining_core_seconds = -1;  // negative: not stored
  std::string done_bits;               // of the first chunk
};

// Which of a chunk's tasks are done.
struct DoneTasksChunk {
  std::string job_id;
  uint32_t chunk = 0;
  std::string done_bits;
};

using DecodedJobRecord = std::variant<JobRecord, DoneTasksChunk>;

// Decodes a record's text. No value: it is no record of a job, or can't be read.
std::optional<DecodedJobRecord> DecodeJobRecord(const std::string& text);
// The positions in the job of the tasks that a chunk names as done. They may exceed the number
// of its tasks if the record is corrupt.
std::vector<size_t> DecodeDoneTasks(const DoneTasksChunk& chunk);

// The job's own record, as much of the job as is kept.
std::string EncodeJobRecord(const Job& job);
// The job's own record without its spec: only its end.
std::string EncodeEndRecord(const Job& job);
// The record of one of the further chunks.
std::string EncodeChunkRecord(const Job& job, uint32_t chunk);

// Size in bytes to which the job's own record may grow from its present `text`.
size_t JobRecordReserve(const Job& job, const std::string& text);
// How many chunks the bits of so many tasks take.
uint32_t ChunkCount(uint32_t task_count);

}  // namespace deckhall
