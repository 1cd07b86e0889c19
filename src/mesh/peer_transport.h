// The interface through which frames leave for the peers. `PeerConnections` implements it over TCP;
// the tests implement it in memory.
#pragma once

#include <cstddef>

#include "wire/peer_codec.h"

namespace deckhall {

// One outbound connection to each peer. Peers are numbered by their position in the settings.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;
  // True while the outbound connection to the peer is established.
  virtual bool IsConnected(size_t peer) const = 0;
  // Sends the frame at most once. It is dropped silently when there is no connection or too much
  // is buffered on it: callers rely on their own timeouts.
  virtual void Send(size_t peer, const PeerFrame& frame) = 0;
};

}  // namespace deckhall
