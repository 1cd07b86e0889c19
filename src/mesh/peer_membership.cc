#include "mesh/peer_membership.h"

#include <algorithm>
#include <utility>

namespace deckhall {
namespace {

constexpr double kPingIntervalSeconds = 0.3;
// A peer that responded within this time is alive. The time covers three pings.
constexpr double kLivenessTimeoutSeconds = 1.0;
constexpr double kSiteSuspicionSeconds = 10;
constexpr double kRefusalRetentionSeconds = 1.5;
constexpr double kNoResponseSeconds = 1e9;  // if no peer ever responded
constexpr double kMillisecondsPerSecond = 1000;

// The frame id of a ping is its send time in milliseconds. The response carries the same id, so
// that no state is needed for pings in flight.
uint64_t PingFrameId(double sent_at) {
  return static_cast<uint64_t>(sent_at * kMillisecondsPerSecond);
}

double PingSentAt(uint64_t frame_id) {
  return static_cast<double>(frame_id) / kMillisecondsPerSecond;
}

}  // namespace

PeerMembership::PeerMembership(PeerTransport* transport, const Clock* clock, std::string label,
                               uint64_t instance, std::vector<Peer> peers)
    : transport_(transport),
      clock_(clock),
      label_(std::move(label)),
      instance_(instance),
      term_freshness_(peers.size()) {
  for (Peer& peer : peers) {
    peers_.emplace_back();
    peers_.back().peer = std::move(peer);
  }
}

void PeerMembership::SendPingsIfDue(double now) {
  if (now < next_ping_at_) return;
  next_ping_at_ = now + kPingIntervalSeconds;
  SendPings();
}

void PeerMembership::SendPings() {
  const double now = clock_->Now();
  for (size_t i = 0; i < peers_.size(); ++i) {
    if (!IsAlive(peers_[i])) peers_[i].last_missing_at = now;
    if (transport_->IsConnected(i)) SendPing(i, now);
  }
}

void PeerMembership::SendPing(size_t peer, double now) {
  PeerFrame frame;
  frame.target = peers_[peer].peer.label;
  frame.id = PingFrameId(now);
  frame.body = BuildPing();
  transport_->Send(peer, frame);
}

PeerPing PeerMembership::BuildPing() const {
  PeerPing ping;
  ping.label = label_;
  ping.instance = instance_;
  ping.lease_valid = lease_valid_;
  ping.holds_leader_key = holds_leader_key_;
  ping.term_confirmed = term_confirmed_;
  ping.term = holds_leader_key_ ? term_ : highest_term_;
  ping.leader = holds_leader_key_ ? label_ : AnnouncedLeader();
  for (const PeerState& state : peers_) {
    if (IsAlive(state)) ping.reachable_peers.push_back(state.peer.label);
  }
  return ping;
}

PeerPing PeerMembership::HandlePing(const PeerPing& ping) {
  ApplyPing(ping);
  return BuildPing();
}

void PeerMembership::HandlePingResponse(size_t peer, uint64_t frame_id, const PeerPing& ping) {
  PeerState& state = peers_[peer];
  state.last_response_at = clock_->Now();
  state.last_ping = ping;
  term_freshness_.RecordPing(peer, PingSentAt(frame_id), ping.term_confirmed);
  ApplyPing(ping);
}

void PeerMembership::ApplyPing(const PeerPing& ping) {
  if (ping.term <= highest_term_) return;
  highest_term_ = ping.term;
  if (on_higher_term) on_higher_term(ping.term);
}

void PeerMembership::RecordRefusedConnection(size_t peer) {
  peers_[peer].last_refused_at = clock_->Now();
}

void PeerMembership::SetLeadership(bool lease_valid, bool holds_leader_key, uint64_t term) {
  const bool changed = lease_valid != lease_valid_ || holds_leader_key != holds_leader_key_;
  lease_valid_ = lease_valid;
  holds_leader_key_ = holds_leader_key;
  term_ = term;
  if (lease_valid || holds_leader_key) highest_term_ = std::max(highest_term_, term);
  if (changed) SendPings();
}

void PeerMembership::ConfirmTerm(uint64_t term) {
  term_confirmed_ = true;
  highest_term_ = std::max(highest_term_, term);
}

std::string PeerMembership::Leader() const {
  if (lease_valid_ || holds_leader_key_) return label_;
  std::string announced = AnnouncedLeader();
  return announced.empty() ? LeaderKnownToPeers() : announced;
}

std::string PeerMembership::AnnouncedLeader() const {
  const PeerState* best = nullptr;
  for (const PeerState& state : peers_) {
    const bool leads = state.last_ping.lease_valid || state.last_ping.holds_leader_key;
    if (!leads || !IsAlive(state)) continue;
    if (best == nullptr || state.last_ping.term > best->last_ping.term) best = &state;
  }
  return best == nullptr ? std::string() : best->peer.label;
}

std::string PeerMembership::LeaderKnownToPeers() const {
  const PeerState* best = nullptr;
  for (const PeerState& state : peers_) {
    const PeerPing& ping = state.last_ping;
    if (!IsAlive(state) || ping.leader.empty() || ping.leader == label_) continue;
    if (best == nullptr || ping.term > best->last_ping.term) best = &state;
  }
  return best == nullptr ? std::string() : best->last_ping.leader;
}

double PeerMembership::NoLaterTermSince(uint64_t term) const {
  return highest_term_ > term ? TermFreshness::kNever : term_freshness_.Since(clock_->Now());
}

bool PeerMembership::IsAlive(const PeerState& state) const {
  return clock_->Now() - state.last_response_at < kLivenessTimeoutSeconds;
}

bool PeerMembership::IsAlive(const std::string& label) const {
  return FindLivePeer(label).has_value();
}

bool PeerMembership::IsSiteSuspected(const std::string& site) const {
  return std::any_of(peers_.begin(), peers_.end(), [this, &site](const PeerState& state) {
    return state.peer.site == site && clock_->Now() - state.last_missing_at < kSiteSuspicionSeconds;
  });
}

bool PeerMembership::RefusesConnections(const std::string& label) const {
  const std::optional<size_t> peer = FindPeer(label);
  return peer && clock_->Now() - peers_[*peer].last_refused_at < kRefusalRetentionSeconds;
}

double PeerMembership::SecondsSinceLastResponse() const {
  double shortest = kNoResponseSeconds;
  for (const PeerState& state : peers_) {
    shortest = std::min(shortest, clock_->Now() - state.last_response_at);
  }
  return shortest;
}

std::optional<size_t> PeerMembership::FindPeer(const std::string& label) const {
  for (size_t i = 0; i < peers_.size(); ++i) {
    if (peers_[i].peer.label == label) return i;
  }
  return std::nullopt;
}

std::optional<size_t> PeerMembership::FindLivePeer(const std::string& label) const {
  const std::optional<size_t> peer = FindPeer(label);
  return peer && IsAlive(peers_[*peer]) ? peer : std::nullopt;
}

std::optional<size_t> PeerMembership::FindNextHop(const std::string& label) const {
  const std::optional<size_t> target = FindPeer(label);
  if (target && IsAlive(peers_[*target]) && transport_->IsConnected(*target)) return target;
  for (size_t i = 0; i < peers_.size(); ++i) {
    if (i != target && CanRelayTo(label, i)) return i;
  }
  return std::nullopt;
}

bool PeerMembership::CanRelayTo(const std::string& label, size_t peer) const {
  const std::vector<std::string>& reachable = peers_[peer].last_ping.reachable_peers;
  return IsAlive(peers_[peer]) && transport_->IsConnected(peer) &&
         std::find(reachable.begin(), reachable.end(), label) != reachable.end();
}

}  // namespace deckhall
