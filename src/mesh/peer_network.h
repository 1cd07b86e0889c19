// Peer membership and remote procedure calls between controllers, over the same frames. This class
// only dispatches frames to PeerMembership or PeerRpc; see peer_membership.h and peer_rpc.h for
// their guarantees.
//
// Owned by `Controller`. Does no I/O itself: received frames are passed to its methods, and frames
// are sent through the `PeerTransport`. Single-threaded.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "config/peer.h"
#include "mesh/peer_membership.h"
#include "mesh/peer_rpc.h"
#include "mesh/peer_transport.h"
#include "net/clock.h"

namespace deckhall {

class PeerNetwork {
 public:
  // Sends one frame over the connection on which a request was received.
  using FrameSender = std::function<void(const PeerFrame&)>;

  // See the constructors of `PeerMembership` and `PeerRpc`.
  PeerNetwork(PeerTransport* transport, const Clock* clock, const std::string& label,
              uint64_t instance, std::vector<Peer> peers, size_t max_pending_calls,
              PeerRpc::RequestHandler request_handler);
  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;

  PeerMembership& membership() { return membership_; }
  const PeerMembership& membership() const { return membership_; }
  PeerRpc& rpc() { return rpc_; }

  // Sends due pings and fails expired calls.
  void Tick();
  // Handles a response: a frame received on the outbound connection to the peer.
  void HandleResponse(size_t peer, PeerFrame frame);
  // Handles a request: a frame received on a connection that a peer opened. The response is sent
  // through `send`, at once or later.
  void HandleRequest(PeerFrame frame, const FrameSender& send);

 private:
  const Clock* clock_;
  PeerMembership membership_;
  PeerRpc rpc_;
};

}  // namespace deckhall
