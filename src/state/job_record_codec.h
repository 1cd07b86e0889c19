// Encodes jobs as JSON texts for RecordStore, and decodes them. Pure functions.
//
// A job has one record of its own. It holds the job's spec until some time after its end; from then
// on only the id and the end are kept. Finished tasks are stored as bits, in chunks of
// kTasksPerChunk: the first chunk in the job's own record, each further chunk in a separate record.
//
//   own record       {"s":end,"j":spec,"t":submitted,"v":remaining,"d":bits}
//   own record, end  {"s":end,"x":id}
//   chunk record     {"b":id,"p":chunk,"d":bits}
//
// `end` is "d" (done) or "c" (cancelled), and absent while the job is active. `bits` has one
// hexadecimal digit per four tasks, the first task in the lowest bit; trailing zeros are omitted.
// Earlier versions read and write the same bytes (tests/golden_rows_test.cc).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "model/job.h"

namespace deckhall {

// Number of tasks whose bits are stored in one record.
constexpr uint32_t kTasksPerChunk = 4096;
// Size to which a chunk record may grow: one digit per four tasks, and its other fields.
constexpr size_t kChunkReserveBytes = kTasksPerChunk / 4 + 60;

// A job's own record.
struct JobRecord {
  std::string job_id;
  JobLifecycle lifecycle = JobLifecycle::kActive;
  bool has_spec = false;  // if false, only the end is kept and the fields below are unset
  JobSpec spec;
  double submitted_wall = 0;           // wall-clock time, in seconds since the epoch
  double remaining_core_seconds = -1;  // negative if not stored
  std::string done_bits;               // of the first chunk
};

// The finished tasks of one chunk.
struct DoneTasksChunk {
  std::string job_id;
  uint32_t chunk = 0;
  std::string done_bits;
};

using DecodedJobRecord = std::variant<JobRecord, DoneTasksChunk>;

// Decodes a record's text. Returns no value if it is not a job's record or can't be decoded.
std::optional<DecodedJobRecord> DecodeJobRecord(const std::string& text);
// Returns the indices, within the job, of the tasks that a chunk marks as done. They may exceed the
// number of the job's tasks if the record is corrupt.
std::vector<size_t> DecodeDoneTasks(const DoneTasksChunk& chunk);

// Returns the job's own record, or its end record if its spec was dropped.
std::string EncodeJobRecord(const Job& job);
// Returns the job's own record without its spec: only its id and its end.
std::string EncodeEndRecord(const Job& job);
// Returns the record of a chunk other than the first.
std::string EncodeChunkRecord(const Job& job, uint32_t chunk);

// Size in bytes to which the job's own record may grow from its current `text`.
size_t JobRecordReserve(const Job& job, const std::string& text);
// Number of chunks that hold the bits of `task_count` tasks.
uint32_t ChunkCount(uint32_t task_count);

}  // namespace deckhall
