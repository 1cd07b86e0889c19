// What is durable of drains: how far each has come, and the evictions in flight. Records of the
// record store, which the leader writes; a version that does not know them keeps them as they are.
// Wall times are seconds since 1970.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace deckhall {

enum class DrainState : uint8_t { kActive, kPaused, kDone };

// How far a drain has come.
struct DrainProgress {
  std::string drain;
  DrainState state = DrainState::kActive;
  double since_wall = 0;  // it was first taken up
  uint64_t machines_done = 0;
  uint64_t machines_left = 0;
  uint64_t replicas_moved = 0;
  uint64_t replicas_moving = 0;
  uint64_t tasks_stopped = 0;   // of arrays
  uint64_t steps_given_up = 0;  // evictions left to the ordinary placement
  std::string why;              // it does not go on now; empty: it does
  double waiting_since_wall = 0;

  bool operator==(const DrainProgress&) const = default;
};

// A replica that is being moved off a machine. Durable before the replica is told to stop.
struct EvictionRecord {
  std::string drain;
  std::string job;
  uint64_t task = 0;     // its index in the job
  std::string machine;   // that it leaves
  uint64_t attempt = 0;  // the one that is stopped
  double since_wall = 0;
};

// Bytes of the longest EncodeProgress, so that its page has room for it.
constexpr size_t kProgressBytes = 640;

// `why` is cut to what fits.
std::string EncodeProgress(const DrainProgress& progress);
std::string EncodeEviction(const EvictionRecord& eviction);

// Empty when the text is no such record.
std::optional<DrainProgress> DecodeProgress(std::string_view text);
std::optional<EvictionRecord> DecodeEviction(std::string_view text);

// The state as it is stored, and as operators read it.
const char* DrainStateName(DrainState state);

}  // namespace deckhall
