#include "app/request_forwarder.h"

#include <utility>
#include <variant>
#include <vector>

namespace deckhall {
namespace {

// Gives a failover time to complete before users have to retry.
constexpr double kLeaderlessGracePeriodSeconds = 1;

}  // namespace

JobResponse NoLeaderResponse() { return UnavailableResponse("no leader can be reached"); }

RequestForwarder::RequestForwarder(PeerNetwork* peer_network, const Clock* clock,
                                   LocalServer serve_locally)
    : peer_network_(peer_network), clock_(clock), serve_locally_(std::move(serve_locally)) {}

void RequestForwarder::Send(JobRequest request, double timeout_s, JobResponseCallback done) {
  Tick();
  const uint64_t request_id = next_request_id_++;
  pending_[request_id] = {std::move(request), std::move(done), "", clock_->Now() + timeout_s};
  SendTo(leader_, request_id);
}

void RequestForwarder::SendTo(const std::string& target, uint64_t request_id) {
  PendingRequest& pending = pending_.at(request_id);
  pending.target = target;
  const double remaining_s = pending.deadline - clock_->Now();
  auto handle_response = [this, request_id, target](const PeerMessage& message) {
    const auto it = pending_.find(request_id);
    const bool superseded = it == pending_.end() || it->second.target != target;
    if (superseded) return;
    const auto* response = std::get_if<JobResponse>(&message);
    Complete(request_id, response == nullptr ? NoLeaderResponse() : *response);
  };
  peer_network_->rpc().Call(target, pending.request, remaining_s, std::move(handle_response));
}

void RequestForwarder::Complete(uint64_t request_id, const JobResponse& response) {
  const auto it = pending_.find(request_id);
  if (it == pending_.end()) return;
  const JobResponseCallback done = std::move(it->second.done);
  pending_.erase(it);
  done(response);
}

void RequestForwarder::Redirect(const std::string& leader) {
  std::vector<uint64_t> misdirected;
  for (const auto& [request_id, pending] : pending_) {
    if (pending.target != leader) misdirected.push_back(request_id);
  }
  for (const uint64_t request_id : misdirected) {
    const JobRequest request = pending_.at(request_id).request;
    const auto done = [this, request_id](const JobResponse& response) {
      Complete(request_id, response);
    };
    if (!serve_locally_(request, done)) {
      SendTo(leader, request_id);
      continue;
    }
    // If the request is still pending, responses of its former target are ignored from now on.
    const auto it = pending_.find(request_id);
    if (it != pending_.end()) it->second.target = leader;
  }
}

void RequestForwarder::Tick() {
  const double now = clock_->Now();
  const std::string leader = peer_network_->membership().Leader();
  if (leader != leader_) {
    leader_ = leader;
    leaderless_since_ = now;
    if (!leader.empty()) Redirect(leader);
  }
  const bool grace_period_over = now >= leaderless_since_ + kLeaderlessGracePeriodSeconds;
  if (leader_.empty() && grace_period_over) FailAll();
}

void RequestForwarder::FailAll() {
  while (!pending_.empty()) Complete(pending_.begin()->first, NoLeaderResponse());
}

}  // namespace deckhall
