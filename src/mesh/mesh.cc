#include "mesh/mesh.h"

#include <algorithm>

namespace deckhall {
namespace {

constexpr double kPingEvery = 0.3;
constexpr double kFresh = 1.0;  // a peer heard within this is there
constexpr double kDoubt = 10;
constexpr double kRefusal = 1.5;
constexpr double kPassedOnFor = 2;
constexpr uint8_t kMaxHops = 1;
constexpr size_t kNoLink = SIZE_MAX;

}  // namespace

Mesh::Mesh(MeshTransport* transport, const Clock* clock, std::string label, uint64_t instance,
           std::vector<Peer> peers, size_t max_pending, Server server)
    : transport_(transport),
      clock_(clock),
      label_(std::move(label)),
      instance_(instance),
      max_pending_(max_pending),
      server_(std::move(server)),
      term_freshness_(peers.size()) {
  for (Peer& p : peers) {
    links_.emplace_back();
    links_.back().peer = std::move(p);
  }
}

PeerPing Mesh::SelfPing() const {
  PeerPing ping;
  ping.label = label_;
  ping.instance = instance_;
  ping.lease_valid = leading_;
  ping.holds_leader_key = holding_;
  ping.term_confirmed = informed_;
  ping.term = holding_ ? term_ : highest_term_;
  ping.leader = holding_ ? label_ : FreshLeader();
  for (const Link& link : links_) {
    if (Hears(link)) ping.reachable_peers.push_back(link.peer.label);
  }
  return ping;
}

void Mesh::SetLeading(bool leading, bool holding, uint64_t term) {
  const bool changed = leading != leading_ || holding != holding_;
  leading_ = leading;
  holding_ = holding;
  term_ = term;
  if (leading || holding) highest_term_ = std::max(highest_term_, term);
  if (changed) SendPings();
}

// A peer that says itself that it leads, in the highest term heard.
std::string Mesh::FreshLeader() const {
  const Link* best = nullptr;
  for (const Link& link : links_) {
    if (!Hears(link) || (!link.last.lease_valid && !link.last.holds_leader_key)) continue;
    if (best == nullptr || link.last.term > best->last.term) best = &link;
  }
  return best == nullptr ? std::string() : best->peer.label;
}

std::string Mesh::Leader() const {
  if (leading_ || holding_) return label_;
  std::string direct = FreshLeader();
  if (!direct.empty()) return direct;
  const Link* best = nullptr;
  for (const Link& link : links_) {
    const PeerPing& p = link.last;
    if (!Hears(link) || p.leader.empty() || p.leader == label_) continue;
    if (best == nullptr || p.term > best->last.term) best = &link;
  }
  return best == nullptr ? std::string() : best->last.leader;
}

bool Mesh::Hears(const Link& link) const { return clock_->Now() - link.heard < kFresh; }

bool Mesh::Hears(const std::string& label) const {
  const size_t at = Find(label);
  return at != kNoLink && Hears(links_[at]);
}

bool Mesh::Doubtful(const std::string& site) const {
  return std::any_of(links_.begin(), links_.end(), [this, &site](const Link& link) {
    return link.peer.site == site && clock_->Now() - link.missed < kDoubt;
  });
}

double Mesh::NoLaterTermSince(uint64_t term) const {
  return highest_term_ > term ? TermFreshness::kNever : term_freshness_.Since(clock_->Now());
}

void Mesh::NoteTerm(uint64_t term) {
  informed_ = true;
  highest_term_ = std::max(highest_term_, term);
}

bool Mesh::Refuses(const std::string& label) const {
  const size_t at = Find(label);
  return at != kNoLink && clock_->Now() - links_[at].refused < kRefusal;
}

double Mesh::Silence() const {
  double best = 1e9;
  for (const Link& link : links_) best = std::min(best, clock_->Now() - link.heard);
  return best;
}

size_t Mesh::Find(const std::string& label) const {
  for (size_t i = 0; i < links_.size(); ++i) {
    if (links_[i].peer.label == label) return i;
  }
  return kNoLink;
}

size_t Mesh::Route(const std::string& label) const {
  const size_t straight = Find(label);
  if (straight != kNoLink && Hears(links_[straight]) && transport_->Connected(straight)) {
    return straight;
  }
  for (size_t i = 0; i < links_.size(); ++i) {
    const auto& reaches = links_[i].last.reachable_peers;
    if (i != straight && Hears(links_[i]) && transport_->Connected(i) &&
        std::find(reaches.begin(), reaches.end(), label) != reaches.end()) {
      return i;
    }
  }
  return kNoLink;
}

void Mesh::Tick() {
  const double now = clock_->Now();
  if (now >= next_ping_) {
    next_ping_ = now + kPingEvery;
    SendPings();
  }
  std::vector<uint64_t> late;
  for (auto& [id, p] : pending_) {
    if (now >= p.deadline) late.push_back(id);
  }
  for (uint64_t id : late) Settle(id, std::monostate());
}

void Mesh::SendPings() {
  const double now = clock_->Now();
  for (size_t i = 0; i < links_.size(); ++i) {
    if (!Hears(links_[i])) links_[i].missed = now;
    if (!transport_->Connected(i)) continue;
    PeerFrame frame;
    frame.target = links_[i].peer.label;
    frame.id = static_cast<uint64_t>(now * 1000);  // comes back with the answer
    frame.body = SelfPing();
    transport_->Send(i, frame);
  }
}

void Mesh::OnAnswer(size_t peer, PeerFrame frame) {
  Link& link = links_[peer];
  if (auto* ping = std::get_if<PeerPing>(&frame.body)) {
    link.heard = clock_->Now();
    link.last = *ping;
    term_freshness_.Heard(peer, static_cast<double>(frame.id) / 1000, ping->term_confirmed);
    OnPing(*ping);
  } else if (frame.id != 0) {
    Settle(frame.id, std::move(frame.body));
  }
}

void Mesh::OnPing(const PeerPing& ping) {
  if (ping.term <= highest_term_) return;
  highest_term_ = ping.term;
  if (on_higher_term) on_higher_term(ping.term);
}

void Mesh::OnRequest(PeerFrame frame, const std::function<void(const PeerFrame&)>& send) {
  auto answer = [send, id = frame.id](Body body) {
    PeerFrame reply;
    reply.id = id;
    reply.body = std::move(body);
    send(reply);
  };
  if (auto* ping = std::get_if<PeerPing>(&frame.body)) {
    OnPing(*ping);
    answer(SelfPing());
    return;
  }
  if (frame.target == label_) {
    server_(std::move(frame.body), std::move(answer));
    return;
  }
  // Passed on once at most, and only along a straight link.
  const size_t at = Find(frame.target);
  if (frame.hops >= kMaxHops || pending_.size() >= max_pending_ || at == kNoLink ||
      !Hears(links_[at])) {
    answer(std::monostate());
    return;
  }
  const uint64_t id = next_id_++;
  pending_[id] = {std::move(answer), clock_->Now() + kPassedOnFor};
  frame.id = id;
  ++frame.hops;
  transport_->Send(at, frame);
}

void Mesh::Ask(const std::string& label, Body body, double timeout_s, Reply done) {
  const uint64_t id = next_id_++;
  const size_t at = pending_.size() < max_pending_ ? Route(label) : kNoLink;
  pending_[id] = {std::move(done), clock_->Now() + (at == kNoLink ? 0 : timeout_s)};
  if (at == kNoLink) return;
  PeerFrame frame;
  frame.id = id;
  frame.target = label;
  frame.body = std::move(body);
  transport_->Send(at, frame);
}

void Mesh::Settle(uint64_t id, Body body) {
  auto it = pending_.find(id);
  if (it == pending_.end()) return;
  Reply done = std::move(it->second.done);
  pending_.erase(it);
  done(std::move(body));
}

}  // namespace deckhall
