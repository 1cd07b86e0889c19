#include "mesh/mesh.h"

#include <algorithm>

namespace deckhall {
namespace {

constexpr double kPingIntervalSeconds = 0.3;
constexpr double kAliveSeconds = 1.0;  // a peer heard within this is there
constexpr double kSuspicionSeconds = 10;
constexpr double kRefusalSeconds = 1.5;
constexpr double kForwardTimeoutSeconds = 2;
constexpr uint8_t kMaxHops = 1;
constexpr size_t kNoPeer = SIZE_MAX;

}  // namespace

Mesh::Mesh(PeerTransport* transport, const Clock* clock, std::string label, uint64_t instance,
           std::vector<Peer> peers, size_t max_pending, RequestHandler server)
    : transport_(transport),
      clock_(clock),
      label_(std::move(label)),
      instance_(instance),
      max_pending_calls_(max_pending),
      request_handler_(std::move(server)),
      term_freshness_(peers.size()) {
  for (Peer& peer : peers) {
    peers_.emplace_back();
    peers_.back().peer = std::move(peer);
  }
}

PeerPing Mesh::BuildPing() const {
  PeerPing ping;
  ping.label = label_;
  ping.instance = instance_;
  ping.lease_valid = lease_valid_;
  ping.holds_leader_key = holds_leader_key_;
  ping.term_confirmed = term_confirmed_;
  ping.term = holds_leader_key_ ? term_ : highest_term_;
  ping.leader = holds_leader_key_ ? label_ : LeaderAmongLivePeers();
  for (const PeerState& link : peers_) {
    if (IsAlive(link)) ping.reachable_peers.push_back(link.peer.label);
  }
  return ping;
}

void Mesh::SetLeadership(bool leading, bool holding, uint64_t term) {
  const bool changed = leading != lease_valid_ || holding != holds_leader_key_;
  lease_valid_ = leading;
  holds_leader_key_ = holding;
  term_ = term;
  if (leading || holding) highest_term_ = std::max(highest_term_, term);
  if (changed) SendPings();
}

// A peer that says itself that it leads, in the highest term heard.
std::string Mesh::LeaderAmongLivePeers() const {
  const PeerState* best = nullptr;
  for (const PeerState& link : peers_) {
    if (!IsAlive(link) || (!link.last_ping.lease_valid && !link.last_ping.holds_leader_key))
      continue;
    if (best == nullptr || link.last_ping.term > best->last_ping.term) best = &link;
  }
  return best == nullptr ? std::string() : best->peer.label;
}

std::string Mesh::Leader() const {
  if (lease_valid_ || holds_leader_key_) return label_;
  std::string direct = LeaderAmongLivePeers();
  if (!direct.empty()) return direct;
  const PeerState* best = nullptr;
  for (const PeerState& link : peers_) {
    const PeerPing& ping = link.last_ping;
    if (!IsAlive(link) || ping.leader.empty() || ping.leader == label_) continue;
    if (best == nullptr || ping.term > best->last_ping.term) best = &link;
  }
  return best == nullptr ? std::string() : best->last_ping.leader;
}

bool Mesh::IsAlive(const PeerState& link) const {
  return clock_->Now() - link.last_heard_at < kAliveSeconds;
}

bool Mesh::IsAlive(const std::string& label) const {
  const size_t at = Find(label);
  return at != kNoPeer && IsAlive(peers_[at]);
}

bool Mesh::IsSiteSuspected(const std::string& site) const {
  return std::any_of(peers_.begin(), peers_.end(), [this, &site](const PeerState& link) {
    return link.peer.site == site && clock_->Now() - link.last_missed_at < kSuspicionSeconds;
  });
}

double Mesh::NoLaterTermSince(uint64_t term) const {
  return highest_term_ > term ? TermFreshness::kNever : term_freshness_.Since(clock_->Now());
}

void Mesh::ConfirmTerm(uint64_t term) {
  term_confirmed_ = true;
  highest_term_ = std::max(highest_term_, term);
}

bool Mesh::RefusesConnections(const std::string& label) const {
  const size_t at = Find(label);
  return at != kNoPeer && clock_->Now() - peers_[at].last_refused_at < kRefusalSeconds;
}

double Mesh::SecondsSincePeerHeard() const {
  double best = 1e9;
  for (const PeerState& link : peers_) best = std::min(best, clock_->Now() - link.last_heard_at);
  return best;
}

size_t Mesh::Find(const std::string& label) const {
  for (size_t i = 0; i < peers_.size(); ++i) {
    if (peers_[i].peer.label == label) return i;
  }
  return kNoPeer;
}

size_t Mesh::Route(const std::string& label) const {
  const size_t straight = Find(label);
  if (straight != kNoPeer && IsAlive(peers_[straight]) && transport_->IsConnected(straight)) {
    return straight;
  }
  for (size_t i = 0; i < peers_.size(); ++i) {
    const auto& reaches = peers_[i].last_ping.reachable_peers;
    if (i != straight && IsAlive(peers_[i]) && transport_->IsConnected(i) &&
        std::find(reaches.begin(), reaches.end(), label) != reaches.end()) {
      return i;
    }
  }
  return kNoPeer;
}

void Mesh::Tick() {
  const double now = clock_->Now();
  if (now >= next_ping_at_) {
    next_ping_at_ = now + kPingIntervalSeconds;
    SendPings();
  }
  std::vector<uint64_t> late;
  for (auto& [id, p] : pending_calls_) {
    if (now >= p.deadline) late.push_back(id);
  }
  for (uint64_t id : late) Complete(id, std::monostate());
}

void Mesh::SendPings() {
  const double now = clock_->Now();
  for (size_t i = 0; i < peers_.size(); ++i) {
    if (!IsAlive(peers_[i])) peers_[i].last_missed_at = now;
    if (!transport_->IsConnected(i)) continue;
    PeerFrame frame;
    frame.target = peers_[i].peer.label;
    frame.id = static_cast<uint64_t>(now * 1000);  // comes back with the answer
    frame.body = BuildPing();
    transport_->Send(i, frame);
  }
}

void Mesh::HandleResponse(size_t peer, PeerFrame frame) {
  PeerState& link = peers_[peer];
  if (auto* ping = std::get_if<PeerPing>(&frame.body)) {
    link.last_heard_at = clock_->Now();
    link.last_ping = *ping;
    term_freshness_.RecordPing(peer, static_cast<double>(frame.id) / 1000, ping->term_confirmed);
    ApplyPing(*ping);
  } else if (frame.id != 0) {
    Complete(frame.id, std::move(frame.body));
  }
}

void Mesh::ApplyPing(const PeerPing& ping) {
  if (ping.term <= highest_term_) return;
  highest_term_ = ping.term;
  if (on_higher_term) on_higher_term(ping.term);
}

void Mesh::HandleRequest(PeerFrame frame, const std::function<void(const PeerFrame&)>& send) {
  auto answer = [send, id = frame.id](Body body) {
    PeerFrame reply;
    reply.id = id;
    reply.body = std::move(body);
    send(reply);
  };
  if (auto* ping = std::get_if<PeerPing>(&frame.body)) {
    ApplyPing(*ping);
    answer(BuildPing());
    return;
  }
  if (frame.target == label_) {
    request_handler_(std::move(frame.body), std::move(answer));
    return;
  }
  // Passed on once at most, and only along a straight link.
  const size_t at = Find(frame.target);
  if (frame.hops >= kMaxHops || pending_calls_.size() >= max_pending_calls_ || at == kNoPeer ||
      !IsAlive(peers_[at])) {
    answer(std::monostate());
    return;
  }
  const uint64_t id = next_call_id_++;
  pending_calls_[id] = {std::move(answer), clock_->Now() + kForwardTimeoutSeconds};
  frame.id = id;
  ++frame.hops;
  transport_->Send(at, frame);
}

void Mesh::Call(const std::string& label, Body body, double timeout_s, ResponseCallback done) {
  const uint64_t id = next_call_id_++;
  const size_t at = pending_calls_.size() < max_pending_calls_ ? Route(label) : kNoPeer;
  pending_calls_[id] = {std::move(done), clock_->Now() + (at == kNoPeer ? 0 : timeout_s)};
  if (at == kNoPeer) return;
  PeerFrame frame;
  frame.id = id;
  frame.target = label;
  frame.body = std::move(body);
  transport_->Send(at, frame);
}

void Mesh::Complete(uint64_t id, Body body) {
  auto it = pending_calls_.find(id);
  if (it == pending_calls_.end()) return;
  ResponseCallback done = std::move(it->second.done);
  pending_calls_.erase(it);
  done(std::move(body));
}

}  // namespace deckhall
