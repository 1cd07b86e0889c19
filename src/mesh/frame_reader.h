// Splits the byte stream of a peer connection into frames: each is a little-endian 32-bit length
// and a message of that many bytes (see wire/peer_codec.h).
//
// Invariant: between calls only the bytes of an incomplete frame are buffered, at most
// `kMaxFrameBytes` and its length. Owned by the connection whose stream it reads.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "wire/peer_codec.h"

namespace deckhall {

class FrameReader {
 public:
  using FrameHandler = std::function<void(PeerFrame)>;

  // Appends received bytes and calls `handle_frame` for each frame that is complete, in order.
  // False when the stream is malformed (a frame too large or undecodable): the connection must
  // then be closed, as the next frame can't be found.
  [[nodiscard]] bool Read(std::string_view bytes, const FrameHandler& handle_frame);
  // Drops an incomplete frame; for a new connection.
  void Reset() { buffer_.clear(); }

 private:
  std::string buffer_;
};

}  // namespace deckhall
