// Cap'n Proto frames between the controllers. On a connection each frame is a little-endian
// 32-bit length and a flat message.
//
// Frames of controllers of other versions are read: unknown fields are ignored, unknown values of
// enums are replaced. Functions keep no state and are safe to call from anywhere.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "wire/types.h"

namespace deckhall {

// What a controller tells the others about itself, over and over.
struct PeerPing {
  std::string label;              // the sender's
  uint64_t instance = 0;          // differs after each start of its process
  bool lease_valid = false;       // it trusts its own lease now
  bool holds_leader_key = false;  // it still answers heartbeats for its term
  bool term_confirmed = false;    // the term is what the state service showed this process
  uint64_t term = 0;              // the highest it knows
  std::string leader;             // of that term; empty: not known
  std::vector<std::string> reachable_peers;  // labels of those it heard lately
};

// One message, and where it goes.
struct PeerFrame {
  uint64_t id = 0;     // of a call; its response has the same
  std::string target;  // label of the controller it is for
  uint8_t hops = 0;    // how often it was passed on
  std::variant<std::monostate, PeerPing, JobRequest, JobResponse, Heartbeat, HeartbeatResponse>
      body;
};

// Bytes of the longest frame that is accepted, without its length.
constexpr size_t kMaxFrame = 4 << 20;

// Appends the frame, length first.
void EncodeFrame(const PeerFrame& frame, std::string* out);
// `bytes` are the message without its length. Empty when they are no frame.
std::optional<PeerFrame> DecodeFrame(std::string_view bytes);

}  // namespace deckhall
