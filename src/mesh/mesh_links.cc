#include "mesh/mesh_links.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace deckhall {
namespace {

constexpr double kTick = 0.1;
constexpr double kRedial = 0.5;
constexpr double kRefusedWithin = 0.3;
constexpr double kStuck = 1.5;  // a link silent for this long is dialled anew
constexpr double kHeardLately = 2;
constexpr size_t kMaxInbound = 64;
constexpr size_t kMaxUnsent = 1 << 20;

}  // namespace

MeshLinks::MeshLinks(Loop* loop, const Clock* clock, const Endpoint& listen,
                     const std::vector<Peer>& peers)
    : loop_(loop),
      clock_(clock),
      reaper_(loop, [this] { dropped_.clear(); }),
      ticker_(loop, [this] { Tick(); }),
      flusher_(loop, [this] { Flush(); }),
      listener_(loop, listen, [this](std::unique_ptr<TcpConn> c) { Accept(std::move(c)); }) {
  for (const Peer& p : peers) {
    links_.push_back(std::make_unique<Link>());
    links_.back()->peer = p;
    links_.back()->index = links_.size() - 1;
  }
}

void MeshLinks::Start(Mesh* mesh) {
  mesh_ = mesh;
  ticker_.Start(0, kTick);
}

bool MeshLinks::Connected(size_t peer) const {
  const auto& tcp = links_[peer]->tcp;
  return tcp && tcp->connected();
}

void MeshLinks::Send(size_t peer, const PeerFrame& frame) {
  Link& link = *links_[peer];
  if (!link.tcp || link.tcp->unsent() + link.out.size() > kMaxUnsent) return;
  EncodeFrame(frame, &link.out);
}

void MeshLinks::Flush() {
  for (auto& link : links_) {
    if (link->out.empty()) continue;
    if (link->tcp) link->tcp->Send(link->out);
    link->out.clear();
  }
  for (auto& [id, inbound] : inbound_) {
    if (inbound.out.empty()) continue;
    inbound.tcp->Send(inbound.out);
    inbound.out.clear();
  }
}

void MeshLinks::Tick() {
  const double now = clock_->Now();
  for (auto& link : links_) {
    if (link->tcp && now - std::max(link->heard, link->connected_at) > kStuck) Hangup(link.get());
    if (!link->tcp && now - link->tried > kRedial) Dial(link.get());
  }
}

void MeshLinks::Dial(Link* link) {
  link->tried = link->connected_at = clock_->Now();
  link->in.clear();
  link->out.clear();
  link->tcp = TcpConn::Connect(loop_, link->peer.at);
  if (!link->tcp) return;
  link->tcp->SetCallbacks(
      [this, link](std::string_view bytes) {
        const bool ok = Split(&link->in, bytes, [this, link](PeerFrame f) {
          link->heard = clock_->Now();
          mesh_->OnAnswer(link->index, std::move(f));
        });
        if (!ok) Hangup(link);
      },
      [this, link] { Hangup(link); });
}

void MeshLinks::Hangup(Link* link) {
  if (!link->tcp) return;
  const double now = clock_->Now();
  const bool refused = !link->tcp->connected() && now - link->tried < kRefusedWithin;
  if (refused) mesh_->OnRefused(link->index);
  if (now - link->heard < kHeardLately) {
    spdlog::info("the way to {} is {}", link->peer.label, refused ? "refused" : "lost");
  }
  link->tcp->Abandon();
  dropped_.push_back(std::move(link->tcp));
  reaper_.Start(0);
}

void MeshLinks::Accept(std::unique_ptr<TcpConn> tcp) {
  if (inbound_.size() >= kMaxInbound) inbound_.erase(inbound_.begin());
  const uint64_t id = next_id_++;
  TcpConn* raw = tcp.get();
  inbound_[id].tcp = std::move(tcp);
  raw->SetCallbacks(
      [this, id](std::string_view bytes) {
        auto it = inbound_.find(id);
        if (it == inbound_.end()) return;
        std::string in = std::move(it->second.in);
        const bool ok = Split(&in, bytes, [this, id](PeerFrame f) {
          mesh_->OnRequest(std::move(f), [this, id](const PeerFrame& a) { Answer(id, a); });
        });
        it = inbound_.find(id);
        if (it == inbound_.end()) return;
        it->second.in = std::move(in);
        if (!ok) Drop(id);
      },
      [this, id] { Drop(id); });
}

void MeshLinks::Drop(uint64_t inbound) {
  auto it = inbound_.find(inbound);
  if (it == inbound_.end()) return;
  it->second.tcp->Abandon();
  dropped_.push_back(std::move(it->second.tcp));
  inbound_.erase(it);
  reaper_.Start(0);
}

void MeshLinks::Answer(uint64_t id, const PeerFrame& frame) {
  auto it = inbound_.find(id);
  if (it == inbound_.end()) return;
  Inbound& inbound = it->second;
  if (inbound.tcp->unsent() + inbound.out.size() > kMaxUnsent) return;
  EncodeFrame(frame, &inbound.out);
}

bool MeshLinks::Split(std::string* in, std::string_view bytes,
                      const std::function<void(PeerFrame)>& each) {
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
    PeerFrame frame;
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

}  // namespace deckhall
