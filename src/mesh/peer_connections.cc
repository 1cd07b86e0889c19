#include "mesh/peer_connections.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace deckhall {
namespace {

constexpr double kMaintenanceIntervalSeconds = 0.1;
constexpr double kRedialIntervalSeconds = 0.5;
// A connection attempt that fails within this time counts as refused by the peer.
constexpr double kRefusalTimeoutSeconds = 0.3;
// An outbound connection is closed when no frame was received on it for this time. Peers ping each
// other far more often.
constexpr double kReceiveTimeoutSeconds = 1.5;
// A disconnect is logged only within this time after the last received frame, so that the loss of a
// peer is logged once and not with every failed redial.
constexpr double kLossLogWindowSeconds = 2;
constexpr size_t kMaxInboundConnections = 64;
constexpr size_t kMaxUnsentBytes = 1 << 20;

}  // namespace

void PeerConnections::FramedConnection::Enqueue(const PeerFrame& frame) {
  if (tcp->unsent() + unsent_frames.size() > kMaxUnsentBytes) return;
  EncodeFrame(frame, &unsent_frames);
}

void PeerConnections::FramedConnection::Flush() {
  if (unsent_frames.empty()) return;
  if (tcp) tcp->Send(unsent_frames);
  unsent_frames.clear();
}

PeerConnections::PeerConnections(Loop* loop, const Clock* clock, const Endpoint& listen,
                                 const std::vector<Peer>& peers)
    : loop_(loop),
      clock_(clock),
      closed_(loop),
      maintenance_timer_(loop, [this] { MaintainConnections(); }),
      flush_before_wait_(loop, [this] { FlushConnections(); }),
      listener_(loop, listen, [this](std::unique_ptr<TcpConn> tcp) { Accept(std::move(tcp)); }) {
  for (const Peer& peer : peers) {
    auto connection = std::make_unique<OutboundConnection>();
    connection->index = outbound_.size();
    connection->peer = peer;
    outbound_.push_back(std::move(connection));
  }
}

void PeerConnections::Start(PeerNetwork* network) {
  network_ = network;
  maintenance_timer_.Start(0, kMaintenanceIntervalSeconds);
}

bool PeerConnections::IsConnected(size_t peer) const {
  const std::unique_ptr<TcpConn>& tcp = outbound_[peer]->tcp;
  return tcp && tcp->connected();
}

void PeerConnections::Send(size_t peer, const PeerFrame& frame) {
  OutboundConnection& connection = *outbound_[peer];
  if (connection.tcp) connection.Enqueue(frame);
}

void PeerConnections::FlushConnections() {
  for (auto& connection : outbound_) connection->Flush();
  for (auto& [inbound_id, connection] : inbound_) connection.Flush();
}

void PeerConnections::MaintainConnections() {
  const double now = clock_->Now();
  for (auto& connection : outbound_) {
    const double active_at = std::max(connection->last_received_at, connection->last_dialled_at);
    if (connection->tcp && now - active_at > kReceiveTimeoutSeconds) Disconnect(connection.get());
    const bool redial_due = now - connection->last_dialled_at > kRedialIntervalSeconds;
    if (!connection->tcp && redial_due) Dial(connection.get());
  }
}

void PeerConnections::Dial(OutboundConnection* connection) {
  connection->last_dialled_at = clock_->Now();
  connection->reader.Reset();
  connection->unsent_frames.clear();
  connection->tcp = TcpConn::Connect(loop_, connection->peer.endpoint);
  if (!connection->tcp) return;
  connection->tcp->SetCallbacks(
      [this, connection](std::string_view bytes) { ReceiveResponses(connection, bytes); },
      [this, connection] { Disconnect(connection); });
}

void PeerConnections::ReceiveResponses(OutboundConnection* connection, std::string_view bytes) {
  const bool well_formed = connection->reader.Read(bytes, [this, connection](PeerFrame frame) {
    connection->last_received_at = clock_->Now();
    network_->HandleResponse(connection->index, std::move(frame));
  });
  if (!well_formed) Disconnect(connection);
}

void PeerConnections::Disconnect(OutboundConnection* connection) {
  if (!connection->tcp) return;
  const double now = clock_->Now();
  const bool refused =
      !connection->tcp->connected() && now - connection->last_dialled_at < kRefusalTimeoutSeconds;
  if (refused) network_->membership().RecordRefusedConnection(connection->index);
  if (now - connection->last_received_at < kLossLogWindowSeconds) {
    spdlog::info("peer={}: {}", connection->peer.label,
                 refused ? "connection refused" : "disconnected");
  }
  DeleteLater(std::move(connection->tcp));
}

void PeerConnections::Accept(std::unique_ptr<TcpConn> tcp) {
  if (inbound_.size() >= kMaxInboundConnections) CloseInbound(inbound_.begin()->first);
  const uint64_t inbound_id = next_inbound_id_++;
  tcp->SetCallbacks(
      [this, inbound_id](std::string_view bytes) { ReceiveRequests(inbound_id, bytes); },
      [this, inbound_id] { CloseInbound(inbound_id); });
  inbound_[inbound_id].tcp = std::move(tcp);
}

void PeerConnections::ReceiveRequests(uint64_t inbound_id, std::string_view bytes) {
  auto connection = inbound_.find(inbound_id);
  if (connection == inbound_.end()) return;
  // A request handler may close this connection, so its reader is moved out while it is used.
  FrameReader reader = std::move(connection->second.reader);
  const bool well_formed = reader.Read(bytes, [this, inbound_id](PeerFrame frame) {
    network_->HandleRequest(std::move(frame), [this, inbound_id](const PeerFrame& response) {
      SendResponse(inbound_id, response);
    });
  });
  connection = inbound_.find(inbound_id);
  if (connection == inbound_.end()) return;
  connection->second.reader = std::move(reader);
  if (!well_formed) CloseInbound(inbound_id);
}

void PeerConnections::SendResponse(uint64_t inbound_id, const PeerFrame& frame) {
  const auto connection = inbound_.find(inbound_id);
  if (connection != inbound_.end()) connection->second.Enqueue(frame);
}

void PeerConnections::CloseInbound(uint64_t inbound_id) {
  const auto connection = inbound_.find(inbound_id);
  if (connection == inbound_.end()) return;
  DeleteLater(std::move(connection->second.tcp));
  inbound_.erase(connection);
}

void PeerConnections::DeleteLater(std::unique_ptr<TcpConn> tcp) {
  tcp->Abandon();
  closed_.Add(std::move(tcp));
}

}  // namespace deckhall
