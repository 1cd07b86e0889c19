#include "app/request_forwarder.h"

#include <utility>
#include <variant>
#include <vector>

namespace deckhall {
namespace {

// So long a request waits for the next leader once the one that was asked is gone.
constexpr double kLeaderlessFor = 1;  // seconds

}  // namespace

JobResponse NoLeaderResponse() { return UnavailableResponse("no leader can be reached"); }

RequestForwarder::RequestForwarder(PeerNetwork* peer_network, const Clock* clock,
                                   ServeHere serve_here)
    : peer_network_(peer_network), clock_(clock), serve_here_(std::move(serve_here)) {}

void RequestForwarder::Send(JobRequest request, double timeout_s, Done done) {
  Tick();
  const uint64_t id = next_id_++;
  pending_[id] = {std::move(request), std::move(done), "", clock_->Now() + timeout_s};
  SendToController(id, leader_);
}

void RequestForwarder::SendToController(uint64_t id, const std::string& target) {
  PendingRequest& pending = pending_.at(id);
  pending.target = target;
  const double remaining = pending.deadline - clock_->Now();
  peer_network_->rpc().Call(target, pending.request, remaining,
                            [this, id, target](const PeerMessage& body) {
                              const auto it = pending_.find(id);
                              // What a former leader says no longer counts: the next one may have
                              // decided since.
                              if (it == pending_.end() || it->second.target != target) return;
                              const auto* response = std::get_if<JobResponse>(&body);
                              Complete(id, response == nullptr ? NoLeaderResponse() : *response);
                            });
}

void RequestForwarder::Complete(uint64_t id, const JobResponse& response) {
  const auto it = pending_.find(id);
  if (it == pending_.end()) return;
  const Done done = std::move(it->second.done);
  pending_.erase(it);
  done(response);
}

void RequestForwarder::Redirect(const std::string& leader) {
  std::vector<uint64_t> elsewhere;
  for (const auto& [id, pending] : pending_) {
    if (pending.target != leader) elsewhere.push_back(id);
  }
  for (const uint64_t id : elsewhere) {
    const JobRequest request = pending_.at(id).request;
    const auto done = [this, id](const JobResponse& response) { Complete(id, response); };
    if (!serve_here_(request, done)) {
      SendToController(id, leader);
      continue;
    }
    // Unless it was answered at once: late answers to what was sent before are dropped.
    const auto it = pending_.find(id);
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
  if (!leader_.empty() || now < leaderless_since_ + kLeaderlessFor) return;
  while (!pending_.empty()) Complete(pending_.begin()->first, NoLeaderResponse());
}

}  // namespace deckhall
