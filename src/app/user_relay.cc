#include "app/user_relay.h"

#include <utility>
#include <variant>
#include <vector>

namespace deckhall {
namespace {

// So long a request waits for the next leader once the one that was asked is gone.
constexpr double kLeaderlessFor = 1;  // seconds

}  // namespace

JobResponse NoLeaderResponse() { return UnavailableResponse("no leader can be reached"); }

UserRelay::UserRelay(Mesh* mesh, const Clock* clock, ServeHere serve_here)
    : mesh_(mesh), clock_(clock), serve_here_(std::move(serve_here)) {}

void UserRelay::Send(JobRequest request, double timeout_s, Done done) {
  Tick();
  const uint64_t id = next_id_++;
  pending_[id] = {std::move(request), std::move(done), "", clock_->Now() + timeout_s};
  SendTo(id, leader_);
}

void UserRelay::SendTo(uint64_t id, const std::string& target) {
  Pending& pending = pending_.at(id);
  pending.target = target;
  const double remaining = pending.deadline - clock_->Now();
  mesh_->Ask(target, pending.request, remaining, [this, id, target](const Mesh::Body& body) {
    const auto it = pending_.find(id);
    // What a former leader says no longer counts: the next one may have decided since.
    if (it == pending_.end() || it->second.target != target) return;
    const auto* response = std::get_if<JobResponse>(&body);
    Finish(id, response == nullptr ? NoLeaderResponse() : *response);
  });
}

void UserRelay::Finish(uint64_t id, const JobResponse& response) {
  const auto it = pending_.find(id);
  if (it == pending_.end()) return;
  const Done done = std::move(it->second.done);
  pending_.erase(it);
  done(response);
}

void UserRelay::Redirect(const std::string& leader) {
  std::vector<uint64_t> elsewhere;
  for (const auto& [id, pending] : pending_) {
    if (pending.target != leader) elsewhere.push_back(id);
  }
  for (const uint64_t id : elsewhere) {
    const JobRequest request = pending_.at(id).request;
    const auto done = [this, id](const JobResponse& response) { Finish(id, response); };
    if (!serve_here_(request, done)) {
      SendTo(id, leader);
      continue;
    }
    // Unless it was answered at once: late answers to what was sent before are dropped.
    const auto it = pending_.find(id);
    if (it != pending_.end()) it->second.target = leader;
  }
}

void UserRelay::Tick() {
  const double now = clock_->Now();
  const std::string leader = mesh_->Leader();
  if (leader != leader_) {
    leader_ = leader;
    leaderless_since_ = now;
    if (!leader.empty()) Redirect(leader);
  }
  if (!leader_.empty() || now < leaderless_since_ + kLeaderlessFor) return;
  while (!pending_.empty()) Finish(pending_.begin()->first, NoLeaderResponse());
}

}  // namespace deckhall
