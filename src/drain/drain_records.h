// The durable state of drains: the progress of each, and the evictions in flight. The leader writes
// them to the record store; versions that do not know these records keep them unchanged. Wall times
// are seconds since 1970.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace deckhall {

enum class DrainState : uint8_t { kActive, kPaused, kDone };

struct DrainProgress {
  std::string drain;
  DrainState state = DrainState::kActive;
  double since_wall = 0;  // when the drain started
  uint64_t machines_done = 0;
  uint64_t machines_left = 0;
  uint64_t replicas_moved = 0;
  uint64_t replicas_moving = 0;
  uint64_t tasks_stopped = 0;       // tasks of arrays
  uint64_t evictions_given_up = 0;  // left to regular placement
  std::string blocked_reason;       // empty if the drain is not blocked
  double waiting_since_wall = 0;

  bool operator==(const DrainProgress&) const = default;
};

// An eviction in flight. It is durable before the stop of its replica is requested.
struct EvictionRecord {
  std::string drain;
  std::string job;
  uint64_t task = 0;     // index in the job
  std::string machine;   // from which the replica is evicted
  uint64_t attempt = 0;  // that is stopped
  double since_wall = 0;
};

// Upper bound on the size of EncodeProgress, reserved in the record's page.
constexpr size_t kMaxProgressBytes = 640;

// Truncates `blocked_reason` to fit into kMaxProgressBytes.
std::string EncodeProgress(const DrainProgress& progress);
std::string EncodeEviction(const EvictionRecord& eviction);

// Return nullopt if the text is not such a record.
std::optional<DrainProgress> DecodeProgress(std::string_view text);
std::optional<EvictionRecord> DecodeEviction(std::string_view text);

// The name of the state in records and in output for operators.
const char* DrainStateName(DrainState state);

}  // namespace deckhall
