#include "mesh/peer_rpc.h"

#include <optional>
#include <utility>
#include <vector>

namespace deckhall {
namespace {

constexpr double kForwardTimeoutSeconds = 2;
constexpr uint8_t kMaxHops = 1;
constexpr uint64_t kNoCallId = 0;

}  // namespace

PeerRpc::PeerRpc(PeerTransport* transport, const Clock* clock, const PeerMembership* membership,
                 size_t max_pending_calls, RequestHandler request_handler)
    : transport_(transport),
      clock_(clock),
      membership_(membership),
      max_pending_calls_(max_pending_calls),
      request_handler_(std::move(request_handler)) {}

void PeerRpc::Call(const std::string& label, PeerMessage request, double timeout_s,
                   ResponseCallback done) {
  const uint64_t call_id = next_call_id_++;
  std::optional<size_t> next_hop;
  if (pending_calls_.size() < max_pending_calls_) next_hop = membership_->FindNextHop(label);
  // A call without a route fails at the next tick: `done` must not run within this function.
  pending_calls_[call_id] = {std::move(done), clock_->Now() + (next_hop ? timeout_s : 0)};
  if (!next_hop) return;
  PeerFrame frame;
  frame.id = call_id;
  frame.target = label;
  frame.body = std::move(request);
  transport_->Send(*next_hop, frame);
}

void PeerRpc::HandleRequest(PeerFrame frame, ResponseCallback respond) {
  if (frame.target == membership_->label()) {
    request_handler_(std::move(frame.body), std::move(respond));
  } else {
    Forward(std::move(frame), std::move(respond));
  }
}

void PeerRpc::Forward(PeerFrame frame, ResponseCallback respond) {
  const std::optional<size_t> target = membership_->FindLivePeer(frame.target);
  if (frame.hops >= kMaxHops || pending_calls_.size() >= max_pending_calls_ || !target) {
    respond(NoResponse());
    return;
  }
  const uint64_t call_id = next_call_id_++;
  pending_calls_[call_id] = {std::move(respond), clock_->Now() + kForwardTimeoutSeconds};
  frame.id = call_id;
  ++frame.hops;
  transport_->Send(*target, frame);
}

void PeerRpc::HandleResponse(PeerFrame frame) {
  if (frame.id != kNoCallId) Complete(frame.id, std::move(frame.body));
}

void PeerRpc::FailExpiredCalls(double now) {
  std::vector<uint64_t> expired;
  for (const auto& [call_id, call] : pending_calls_) {
    if (now >= call.deadline) expired.push_back(call_id);
  }
  for (const uint64_t call_id : expired) Complete(call_id, NoResponse());
}

void PeerRpc::Complete(uint64_t call_id, PeerMessage response) {
  const auto call = pending_calls_.find(call_id);
  if (call == pending_calls_.end()) return;
  const ResponseCallback done = std::move(call->second.done);
  pending_calls_.erase(call);
  done(std::move(response));
}

}  // namespace deckhall
