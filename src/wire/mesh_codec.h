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

struct MeshPing {
  std::string label;
  uint64_t instance = 0;
  bool leading = false;
  bool holding = false;
  bool informed = false;
  uint64_t term = 0;
  std::string leader;
  std::vector<std::string> reaches;
};

struct MeshFrame {
  uint64_t id = 0;
  std::string target;
  uint8_t hops = 0;
  std::variant<std::monostate, MeshPing, UserRequest, UserResponse, Report, ReportResponse> body;
};

constexpr size_t kMaxFrame = 4 << 20;

// Appends the frame, length first.
void EncodeFrame(const MeshFrame& frame, std::string* out);
// False when the bytes are no frame.
bool DecodeFrame(std::string_view bytes, MeshFrame* frame);

}  // namespace deckhall
