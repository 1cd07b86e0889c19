// Remote procedure calls between controllers.
//
// Guarantees and invariants:
//  - The callback of each call is called exactly once: with the response, or with `NoResponse`
//    if the call failed or timed out. It is never called from within `Call`.
//  - A frame for a controller that can't be reached directly is forwarded at most once, by one
//    other peer.
//  - The number of pending calls is bounded; calls beyond the bound fail at the next tick.
//  - Each call sends its request at most once, and the request may have been executed even if the
//    call gets no response: callers send only idempotent requests.
//
// Owned by `PeerNetwork`. Single-threaded; all times are seconds of the steady clock.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <variant>

#include "mesh/peer_membership.h"
#include "mesh/peer_transport.h"
#include "net/clock.h"
#include "wire/peer_codec.h"

namespace deckhall {

// A request or response, by its type.
using PeerMessage = decltype(PeerFrame::body);
// The alternative of a `PeerMessage` that reports a call that failed or timed out.
using NoResponse = std::monostate;

class PeerRpc {
 public:
  using ResponseCallback = std::function<void(PeerMessage)>;
  // Serves a request that a peer sent to this controller.
  using RequestHandler = std::function<void(PeerMessage, ResponseCallback)>;

  // At most `max_pending_calls` calls are pending at once, forwarded ones included. The pointers
  // must outlive this object.
  PeerRpc(PeerTransport* transport, const Clock* clock, const PeerMembership* membership,
          size_t max_pending_calls, RequestHandler request_handler);

  // Sends a request to the controller with this label. Without a route to it, `done` is called with
  // `NoResponse` at the next tick; otherwise `done` is called after at most `timeout_s` seconds.
  void Call(const std::string& label, PeerMessage request, double timeout_s, ResponseCallback done);
  // Serves a request of a peer, or forwards it if it is for another controller.
  void HandleRequest(PeerFrame frame, ResponseCallback respond);
  // Completes the call that this frame responds to; ignores the frame if the call is not pending.
  void HandleResponse(PeerFrame frame);
  // Completes the calls whose deadline has passed.
  void FailExpiredCalls(double now);

 private:
  struct PendingCall {
    ResponseCallback done;
    double deadline = 0;
  };

  void Forward(PeerFrame frame, ResponseCallback respond);
  void Complete(uint64_t call_id, PeerMessage response);

  PeerTransport* transport_;
  const Clock* clock_;
  const PeerMembership* membership_;
  size_t max_pending_calls_;
  RequestHandler request_handler_;
  std::map<uint64_t, PendingCall> pending_calls_;  // by call id
  uint64_t next_call_id_ = 1;                      // 0 is not a call id
};

}  // namespace deckhall
