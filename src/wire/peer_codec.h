// Cap'n Proto frames that the controllers exchange. On a connection, each frame is a little-endian
// 32-bit length in bytes followed by a flat message.
//
// Frames of other versions are compatible: unknown fields are ignored, unknown enum values are
// replaced by known ones. All functions are stateless and thread-safe.
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

// State that a controller periodically sends to its peers.
struct PeerPing {
  std::string label;              // of the sender
  uint64_t instance = 0;          // differs after each restart of the process
  bool lease_valid = false;       // the sender considers its own lease valid
  bool holds_leader_key = false;  // the sender still answers heartbeats for its term
  bool term_confirmed = false;    // the sender's process has read the term from the state service
  uint64_t term = 0;              // the highest known term
  std::string leader;             // label of that term's leader, empty if unknown
  std::vector<std::string> reachable_peers;  // labels of the peers heard from recently
};

// A message and its routing data.
struct PeerFrame {
  uint64_t id = 0;     // of the call; its response has the same id
  std::string target;  // label of the destination controller
  uint8_t hops = 0;    // number of times the frame was forwarded
  std::variant<std::monostate, PeerPing, JobRequest, JobResponse, Heartbeat, HeartbeatResponse>
      body;
};

// Longest accepted frame, without its length prefix.
constexpr size_t kMaxFrameBytes = 4 << 20;

// Appends the frame with its length prefix.
void EncodeFrame(const PeerFrame& frame, std::string* out);
// `bytes` is the frame without its length prefix. Returns nothing if the frame is not valid.
std::optional<PeerFrame> DecodeFrame(std::string_view bytes);

}  // namespace deckhall
