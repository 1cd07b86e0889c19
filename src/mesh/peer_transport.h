// The interface for sending frames to peers. `PeerConnections` implements it over TCP; the tests
// implement it in memory.
#pragma once

#include <cstddef>

#include "wire/peer_codec.h"

namespace deckhall {

// One outbound connection to each peer. Peers are identified by their position in the settings.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;
  // True while the outbound connection to the peer is established.
  virtual bool IsConnected(size_t peer) const = 0;
  // Sends the frame at most once. The frame is dropped silently if there is no connection or its
  // buffer limit is reached, so callers need their own timeouts.
  virtual void Send(size_t peer, const PeerFrame& frame) = 0;
};

}  // namespace deckhall
