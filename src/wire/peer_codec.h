// Cap'n Proto frames between the controllers. On a connection each frame is a
// little-endian 32-bit length and a flat message.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "wire/types.h"

namespace deckhall {

struct PeerPing {
  std::string label;
  uint64_t instance = 0;
  bool lease_valid = false;
  bool holds_leader_key = false;
  bool term_confirmed = false;
  uint64_t term = 0;
  std::string leader;
  std::vector<std::string> reachable_peers;
};

struct PeerFrame {
  uint64_t id = 0;
  std::string target;
  uint8_t hops = 0;
  std::variant<std::monostate, PeerPing, JobRequest, JobResponse, Heartbeat, HeartbeatResponse>
      body;
};

constexpr size_t kMaxFrame = 4 << 20;

// Appends the frame, length first.
void EncodeFrame(const PeerFrame& frame, std::string* out);
// False when the bytes are no frame.
bool DecodeFrame(std::string_view bytes, PeerFrame* frame);

}  // namespace deckhall
