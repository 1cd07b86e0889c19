// What is durable of drains: how far each has come, and the steps in flight. Rows of the row
// store; a version that does not know them keeps them as they are.
#pragma once

#include <cstdint>
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
  uint64_t tasks_stopped = 0;  // of arrays
  uint64_t steps_given_up = 0;
  std::string why;  // it does not go on now; empty: it does
  double waiting_since_wall = 0;

  bool operator==(const DrainProgress&) const = default;
};

// A replica that is being moved off a machine. Durable before the replica is told to stop.
struct EvictionRecord {
  std::string drain;
  std::string job;
  uint64_t task = 0;
  std::string machine;
  uint64_t attempt = 0;  // the one that is stopped
  double since_wall = 0;
};

// What the longest row takes, so that its page has room for it.
constexpr size_t kProgressBytes = 640;

std::string EncodeProgress(const DrainProgress& progress);
std::string EncodeEviction(const EvictionRecord& step);
// False when the text is no such row.
bool DecodeProgress(std::string_view text, DrainProgress* out);
bool DecodeEviction(std::string_view text, EvictionRecord* out);
const char* DrainStateName(DrainState state);

}  // namespace deckhall
