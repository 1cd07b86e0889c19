#include "mesh/mesh.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace deckhall {
namespace {

constexpr double kPingEvery = 0.3;
constexpr double kFresh = 1.0;  // a peer heard within this is there
constexpr double kDoubt = 10;
constexpr double kRedial = 0.5;
constexpr double kRefusal = 1.5;
constexpr double kRefusedWithin = 0.3;
constexpr double kStuck = 1.5;  // a link silent for this long is dialled anew
constexpr size_t kMaxInbound = 64;
constexpr size_t kMaxPending = 2000;
constexpr size_t kMaxUnsent = 1 << 20;
constexpr uint8_t kMaxHops = 1;

}  // namespace

Mesh::Mesh(Loop* loop, const Clock* clock, std::string label, uint64_t instance,
           const Endpoint& listen, std::vector<Peer> peers, Server server)
    : loop_(loop),
      clock_(clock),
      label_(std::move(label)),
      instance_(instance),
      server_(std::move(server)),
      quiet_(peers.size()),
      reaper_(loop, [this] { dropped_.clear(); }),
      ticker_(loop, [this] { Tick(); }),
      listener_(loop, listen, [this](std::unique_ptr<TcpConn> c) { Accept(std::move(c)); }) {
  for (Peer& p : peers) {
    links_.push_back(std::make_unique<Link>());
    links_.back()->peer = std::move(p);
    links_.back()->index = links_.size() - 1;
  }
  ticker_.Start(0, kPingEvery);
}

MeshPing Mesh::SelfPing() const {
  MeshPing ping;
  ping.label = label_;
  ping.instance = instance_;
  ping.leading = leading_;
  ping.holding = holding_;
  ping.informed = informed_;
  ping.term = holding_ ? term_ : highest_term_;
  ping.leader = holding_ ? label_ : FreshLeader();
  for (const auto& link : links_) {
    if (Hears(link->peer.label)) ping.reaches.push_back(link->peer.label);
  }
  return ping;
}

void Mesh::SetLeading(bool leading, bool holding, uint64_t term) {
  const bool changed = leading != leading_ || holding != holding_;
  leading_ = leading;
  holding_ = holding;
  term_ = term;
  if (leading || holding) highest_term_ = std::max(highest_term_, term);
  if (changed) Tick();
}

// A peer that says itself that it leads, in the highest term heard.
std::string Mesh::FreshLeader() const {
  const Link* best = nullptr;
  for (const auto& link : links_) {
    if (!Hears(link->peer.label) || (!link->last.leading && !link->last.holding)) continue;
    if (best == nullptr || link->last.term > best->last.term) best = link.get();
  }
  return best == nullptr ? std::string() : best->peer.label;
}

std::string Mesh::Leader() const {
  if (leading_ || holding_) return label_;
  std::string direct = FreshLeader();
  if (!direct.empty()) return direct;
  const Link* best = nullptr;
  for (const auto& link : links_) {
    const MeshPing& p = link->last;
    if (!Hears(link->peer.label) || p.leader.empty() || p.leader == label_) continue;
    if (best == nullptr || p.term > best->last.term) best = link.get();
  }
  return best == nullptr ? std::string() : best->last.leader;
}

bool Mesh::Hears(const std::string& label) const {
  for (const auto& link : links_) {
    if (link->peer.label == label) return clock_->Now() - link->heard < kFresh;
  }
  return false;
}

bool Mesh::Doubtful(const std::string& site) const {
  for (const auto& link : links_) {
    if (link->peer.site == site && clock_->Now() - link->missed < kDoubt) return true;
  }
  return false;
}

double Mesh::QuietSince(uint64_t term) const {
  return highest_term_ > term ? Quiet::kNever : quiet_.Since(clock_->Now());
}

void Mesh::NoteTerm(uint64_t term) {
  informed_ = true;
  highest_term_ = std::max(highest_term_, term);
}

bool Mesh::Refuses(const std::string& label) const {
  return std::any_of(links_.begin(), links_.end(), [this, &label](const auto& link) {
    return link->peer.label == label && clock_->Now() - link->refused < kRefusal;
  });
}

double Mesh::Silence() const {
  double best = 1e9;
  for (const auto& link : links_) best = std::min(best, clock_->Now() - link->heard);
  return best;
}

Mesh::Link* Mesh::Find(const std::string& label) {
  for (auto& link : links_) {
    if (link->peer.label == label) return link.get();
  }
  return nullptr;
}

Mesh::Link* Mesh::Route(const std::string& label) {
  Link* straight = Find(label);
  if (straight != nullptr && Hears(label) && straight->tcp && straight->tcp->connected()) {
    return straight;
  }
  for (auto& link : links_) {
    const auto& reaches = link->last.reaches;
    if (link.get() != straight && Hears(link->peer.label) && link->tcp && link->tcp->connected() &&
        std::find(reaches.begin(), reaches.end(), label) != reaches.end()) {
      return link.get();
    }
  }
  return nullptr;
}

void Mesh::Send(Link* link, const MeshFrame& frame) {
  if (!link->tcp || link->tcp->unsent() > kMaxUnsent) return;
  std::string out;
  EncodeFrame(frame, &out);
  link->tcp->Send(out);
}

void Mesh::Tick() {
  const double now = clock_->Now();
  for (auto& link : links_) {
    if (!Hears(link->peer.label)) link->missed = now;
    if (link->tcp && now - std::max(link->heard, link->connected_at) > kStuck) Hangup(link.get());
    if (!link->tcp && now - link->tried > kRedial) Dial(link.get());
    if (link->tcp && link->tcp->connected()) {
      MeshFrame frame;
      frame.target = link->peer.label;
      frame.id = static_cast<uint64_t>(now * 1000);  // comes back with the answer
      frame.body = SelfPing();
      Send(link.get(), frame);
    }
  }
  std::vector<uint64_t> late;
  for (auto& [id, p] : pending_) {
    if (now >= p.deadline) late.push_back(id);
  }
  for (uint64_t id : late) Settle(id, std::monostate());
}

void Mesh::Dial(Link* link) {
  link->tried = link->connected_at = clock_->Now();
  link->in.clear();
  link->tcp = TcpConn::Connect(loop_, link->peer.at);
  if (!link->tcp) return;
  link->tcp->SetCallbacks(
      [this, link](std::string_view bytes) {
        const bool ok = Split(&link->in, bytes, [this, link](MeshFrame f) {
          if (auto* ping = std::get_if<MeshPing>(&f.body)) {
            link->heard = clock_->Now();
            link->last = *ping;
            quiet_.Heard(link->index, static_cast<double>(f.id) / 1000, ping->informed);
            OnPing(*ping);
          } else if (f.id != 0) {
            Settle(f.id, std::move(f.body));
          }
        });
        if (!ok) Hangup(link);
      },
      [this, link] { Hangup(link); });
}

void Mesh::Hangup(Link* link) {
  if (!link->tcp) return;
  const double now = clock_->Now();
  const bool refused = !link->tcp->connected() && now - link->tried < kRefusedWithin;
  if (refused) link->refused = now;
  if (now - link->heard < kRedial * 4) {
    spdlog::info("the way to {} is {}", link->peer.label, refused ? "refused" : "lost");
  }
  link->tcp->Abandon();
  dropped_.push_back(std::move(link->tcp));
  reaper_.Start(0);
}

void Mesh::Accept(std::unique_ptr<TcpConn> tcp) {
  if (inbound_.size() >= kMaxInbound) inbound_.erase(inbound_.begin());
  const uint64_t id = next_id_++;
  TcpConn* raw = tcp.get();
  inbound_[id].tcp = std::move(tcp);
  auto drop = [this, id] {
    auto it = inbound_.find(id);
    if (it == inbound_.end()) return;
    it->second.tcp->Abandon();
    dropped_.push_back(std::move(it->second.tcp));
    inbound_.erase(it);
    reaper_.Start(0);
  };
  raw->SetCallbacks(
      [this, id, drop](std::string_view bytes) {
        auto it = inbound_.find(id);
        if (it == inbound_.end()) return;
        std::string in = std::move(it->second.in);
        const bool ok = Split(&in, bytes, [this, id](MeshFrame f) { Serve(id, std::move(f)); });
        it = inbound_.find(id);
        if (it == inbound_.end()) return;
        it->second.in = std::move(in);
        if (!ok) drop();
      },
      drop);
}

bool Mesh::Split(std::string* in, std::string_view bytes,
                 const std::function<void(MeshFrame)>& each) {
  in->append(bytes);
  size_t at = 0;
  while (in->size() - at >= 4) {
    uint32_t n = 0;
    for (int i = 0; i < 4; ++i) {
      n |= static_cast<uint32_t>(static_cast<unsigned char>((*in)[at + static_cast<size_t>(i)]))
           << (8 * i);
    }
    if (n > kMaxFrame) return false;
    if (in->size() - at - 4 < n) break;
    MeshFrame frame;
    if (!DecodeFrame(std::string_view(*in).substr(at + 4, n), &frame)) {
      spdlog::warn("mesh: unreadable frame dropped with its connection");
      return false;
    }
    at += 4 + n;
    each(std::move(frame));
  }
  in->erase(0, at);
  return true;
}

void Mesh::OnPing(const MeshPing& ping) {
  if (ping.term > highest_term_) {
    highest_term_ = ping.term;
    if (on_higher_term) on_higher_term(ping.term);
  }
}

void Mesh::Serve(uint64_t conn, MeshFrame frame) {
  auto answer = [this, conn, id = frame.id](Body body) {
    auto it = inbound_.find(conn);
    if (it == inbound_.end() || it->second.tcp->unsent() > kMaxUnsent) return;
    MeshFrame reply;
    reply.id = id;
    reply.body = std::move(body);
    std::string out;
    EncodeFrame(reply, &out);
    it->second.tcp->Send(out);
  };
  if (auto* ping = std::get_if<MeshPing>(&frame.body)) {
    OnPing(*ping);
    answer(SelfPing());
    return;
  }
  if (frame.target == label_) {
    server_(std::move(frame.body), std::move(answer));
    return;
  }
  // Passed on once at most, and only along a straight link.
  Link* link = Find(frame.target);
  if (frame.hops >= kMaxHops || link == nullptr || !Hears(frame.target)) {
    answer(std::monostate());
    return;
  }
  const uint64_t id = next_id_++;
  pending_[id] = {std::move(answer), clock_->Now() + 2.0};
  frame.id = id;
  ++frame.hops;
  Send(link, frame);
}

void Mesh::Ask(const std::string& label, Body body, double timeout_s, Reply done) {
  const uint64_t id = next_id_++;
  Link* link = pending_.size() < kMaxPending ? Route(label) : nullptr;
  pending_[id] = {std::move(done), clock_->Now() + (link == nullptr ? 0 : timeout_s)};
  if (link == nullptr) return;
  MeshFrame frame;
  frame.id = id;
  frame.target = label;
  frame.body = std::move(body);
  Send(link, frame);
}

void Mesh::Settle(uint64_t id, Body body) {
  auto it = pending_.find(id);
  if (it == pending_.end()) return;
  Reply done = std::move(it->second.done);
  pending_.erase(it);
  done(std::move(body));
}

}  // namespace deckhall
