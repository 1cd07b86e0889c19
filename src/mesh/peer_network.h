// What this controller knows of and exchanges with its peers: membership and remote procedure
// calls over the same frames. This class only tells the two kinds of frames apart; see
// peer_membership.h and peer_rpc.h for what each guarantees.
//
// Owned by `Controller`. Free of I/O: frames and time come in through the methods, frames go out
// through the `PeerTransport`. Single-threaded.
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
  // Sends one frame back over the connection that a request came in on.
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
  // Handles a frame that came in over the outbound connection to the peer: a response.
  void HandleResponse(size_t peer, PeerFrame frame);
  // Handles a frame that came in over a connection that a peer opened: a request. The response is
  // sent through `send`, at once or later.
  void HandleRequest(PeerFrame frame, const FrameSender& send);

 private:
  const Clock* clock_;
  PeerMembership membership_;
  PeerRpc rpc_;
};

}  // namespace deckhall
