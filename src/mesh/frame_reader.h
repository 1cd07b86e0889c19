// Splits the byte stream of a peer connection into frames, each of which is a little-endian 32-bit
// length and a message of that many bytes (see wire/peer_codec.h).
//
// Invariant: between calls only the bytes of one incomplete frame are buffered, at most
// `kMaxFrameBytes` bytes and the length. Owned by the connection whose stream it reads.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "wire/peer_codec.h"

namespace deckhall {

class FrameReader {
 public:
  using FrameHandler = std::function<void(PeerFrame)>;

  // Appends received bytes and calls `handle_frame` for each complete frame, in order. False if the
  // stream is malformed (a frame is too large or can't be decoded): the connection must then be
  // closed, since the start of the next frame is unknown.
  [[nodiscard]] bool Read(std::string_view bytes, const FrameHandler& handle_frame);
  // Drops an incomplete frame. Called for a new connection.
  void Reset() { buffer_.clear(); }

 private:
  std::string buffer_;
};

}  // namespace deckhall
