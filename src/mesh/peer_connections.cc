#include "mesh/peer_connections.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace deckhall {
namespace {

constexpr double kTickSeconds = 0.1;
constexpr double kRedialSeconds = 0.5;
constexpr double kRefusedWithinSeconds = 0.3;
constexpr double kSilentConnectionSeconds = 1.5;  // a link silent for this long is dialled anew
constexpr double kHeardRecentlySeconds = 2;
constexpr size_t kMaxInbound = 64;
constexpr size_t kMaxUnsentBytes = 1 << 20;

}  // namespace

PeerConnections::PeerConnections(Loop* loop, const Clock* clock, const Endpoint& listen,
                                 const std::vector<Peer>& peers)
    : loop_(loop),
      clock_(clock),
      deletion_timer_(loop, [this] { dropped_.clear(); }),
      maintenance_timer_(loop, [this] { MaintainConnections(); }),
      flush_before_wait_(loop, [this] { Flush(); }),
      listener_(loop, listen, [this](std::unique_ptr<TcpConn> c) { Accept(std::move(c)); }) {
  for (const Peer& peer : peers) {
    outbound_.push_back(std::make_unique<OutboundConnection>());
    outbound_.back()->peer = peer;
    outbound_.back()->index = outbound_.size() - 1;
  }
}

void PeerConnections::Start(Mesh* mesh) {
  mesh_ = mesh;
  maintenance_timer_.Start(0, kTickSeconds);
}

bool PeerConnections::IsConnected(size_t peer) const {
  const auto& tcp = outbound_[peer]->connection;
  return tcp && tcp->connected();
}

void PeerConnections::Send(size_t peer, const PeerFrame& frame) {
  OutboundConnection& link = *outbound_[peer];
  if (!link.connection || link.connection->unsent() + link.unsent_frames.size() > kMaxUnsentBytes)
    return;
  EncodeFrame(frame, &link.unsent_frames);
}

void PeerConnections::Flush() {
  for (auto& link : outbound_) {
    if (link->unsent_frames.empty()) continue;
    if (link->connection) link->connection->Send(link->unsent_frames);
    link->unsent_frames.clear();
  }
  for (auto& [id, inbound] : inbound_) {
    if (inbound.unsent_frames.empty()) continue;
    inbound.connection->Send(inbound.unsent_frames);
    inbound.unsent_frames.clear();
  }
}

void PeerConnections::MaintainConnections() {
  const double now = clock_->Now();
  for (auto& link : outbound_) {
    if (link->connection &&
        now - std::max(link->last_heard_at, link->connected_at) > kSilentConnectionSeconds)
      Disconnect(link.get());
    if (!link->connection && now - link->last_dialled_at > kRedialSeconds) Dial(link.get());
  }
}

void PeerConnections::Dial(OutboundConnection* link) {
  link->last_dialled_at = link->connected_at = clock_->Now();
  link->received.clear();
  link->unsent_frames.clear();
  link->connection = TcpConn::Connect(loop_, link->peer.at);
  if (!link->connection) return;
  link->connection->SetCallbacks(
      [this, link](std::string_view bytes) {
        const bool ok = SplitFrames(&link->received, bytes, [this, link](PeerFrame f) {
          link->last_heard_at = clock_->Now();
          mesh_->HandleResponse(link->index, std::move(f));
        });
        if (!ok) Disconnect(link);
      },
      [this, link] { Disconnect(link); });
}

void PeerConnections::Disconnect(OutboundConnection* link) {
  if (!link->connection) return;
  const double now = clock_->Now();
  const bool refused =
      !link->connection->connected() && now - link->last_dialled_at < kRefusedWithinSeconds;
  if (refused) mesh_->RecordRefusedConnection(link->index);
  if (now - link->last_heard_at < kHeardRecentlySeconds) {
    spdlog::info("the way to {} is {}", link->peer.label, refused ? "refused" : "lost");
  }
  link->connection->Abandon();
  dropped_.push_back(std::move(link->connection));
  deletion_timer_.Start(0);
}

void PeerConnections::Accept(std::unique_ptr<TcpConn> tcp) {
  if (inbound_.size() >= kMaxInbound) inbound_.erase(inbound_.begin());
  const uint64_t id = next_id_++;
  TcpConn* raw = tcp.get();
  inbound_[id].connection = std::move(tcp);
  raw->SetCallbacks(
      [this, id](std::string_view bytes) {
        auto it = inbound_.find(id);
        if (it == inbound_.end()) return;
        std::string in = std::move(it->second.received);
        const bool ok = SplitFrames(&in, bytes, [this, id](PeerFrame f) {
          mesh_->HandleRequest(std::move(f),
                               [this, id](const PeerFrame& a) { SendResponse(id, a); });
        });
        it = inbound_.find(id);
        if (it == inbound_.end()) return;
        it->second.received = std::move(in);
        if (!ok) DropInbound(id);
      },
      [this, id] { DropInbound(id); });
}

void PeerConnections::DropInbound(uint64_t inbound) {
  auto it = inbound_.find(inbound);
  if (it == inbound_.end()) return;
  it->second.connection->Abandon();
  dropped_.push_back(std::move(it->second.connection));
  inbound_.erase(it);
  deletion_timer_.Start(0);
}

void PeerConnections::SendResponse(uint64_t id, const PeerFrame& frame) {
  auto it = inbound_.find(id);
  if (it == inbound_.end()) return;
  InboundConnection& inbound = it->second;
  if (inbound.connection->unsent() + inbound.unsent_frames.size() > kMaxUnsentBytes) return;
  EncodeFrame(frame, &inbound.unsent_frames);
}

bool PeerConnections::SplitFrames(std::string* in, std::string_view bytes,
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
