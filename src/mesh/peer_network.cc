#include "mesh/peer_network.h"

#include <utility>
#include <variant>

namespace deckhall {

PeerNetwork::PeerNetwork(PeerTransport* transport, const Clock* clock, const std::string& label,
                         uint64_t instance, std::vector<Peer> peers, size_t max_pending_calls,
                         PeerRpc::RequestHandler request_handler)
    : clock_(clock),
      membership_(transport, clock, label, instance, std::move(peers)),
      rpc_(transport, clock, &membership_, max_pending_calls, std::move(request_handler)) {}

void PeerNetwork::Tick() {
  const double now = clock_->Now();
  membership_.SendPingsIfDue(now);
  rpc_.FailExpiredCalls(now);
}

void PeerNetwork::HandleResponse(size_t peer, PeerFrame frame) {
  if (const auto* ping = std::get_if<PeerPing>(&frame.body)) {
    membership_.HandlePingResponse(peer, frame.id, *ping);
  } else {
    rpc_.HandleResponse(std::move(frame));
  }
}

void PeerNetwork::HandleRequest(PeerFrame frame, const FrameSender& send) {
  auto respond = [send, id = frame.id](PeerMessage message) {
    PeerFrame response;
    response.id = id;
    response.body = std::move(message);
    send(response);
  };
  if (const auto* ping = std::get_if<PeerPing>(&frame.body)) {
    respond(membership_.HandlePing(*ping));
  } else {
    rpc_.HandleRequest(std::move(frame), std::move(respond));
  }
}

}  // namespace deckhall
