#include "mesh/frame_reader.h"

#include <spdlog/spdlog.h>

#include <cstdint>
#include <optional>
#include <utility>

namespace deckhall {
namespace {

constexpr size_t kLengthBytes = 4;
constexpr size_t kBitsPerByte = 8;

// Decodes the little-endian length at the beginning of `bytes`, which has at least `kLengthBytes`.
uint32_t DecodeLength(std::string_view bytes) {
  uint32_t length = 0;
  for (size_t i = 0; i < kLengthBytes; ++i) {
    length |= static_cast<uint32_t>(static_cast<unsigned char>(bytes[i])) << (kBitsPerByte * i);
  }
  return length;
}

}  // namespace

bool FrameReader::Read(std::string_view bytes, const FrameHandler& handle_frame) {
  buffer_.append(bytes);
  size_t position = 0;
  while (buffer_.size() - position >= kLengthBytes) {
    const std::string_view rest = std::string_view(buffer_).substr(position);
    const uint32_t length = DecodeLength(rest);
    if (length > kMaxFrameBytes) return false;
    if (rest.size() - kLengthBytes < length) break;
    std::optional<PeerFrame> frame = DecodeFrame(rest.substr(kLengthBytes, length));
    if (!frame) {
      spdlog::warn("closing peer connection: received a frame that can't be decoded");
      return false;
    }
    position += kLengthBytes + length;
    handle_frame(std::move(*frame));
  }
  buffer_.erase(0, position);
  return true;
}

}  // namespace deckhall
