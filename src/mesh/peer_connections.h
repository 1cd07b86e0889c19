// The TCP connections between the controllers: an outbound one to each peer, which is kept open,
// and the inbound ones that the peers opened.
//
// Guarantees and invariants:
//  - Requests go out and their responses come in on outbound connections; inbound ones carry the
//    requests of peers and this controller's responses.
//  - An outbound connection that is closed, or on which nothing was received for a while, is
//    opened again.
//  - The bytes buffered on each connection are bounded; further frames are dropped.
//  - A connection is never destroyed from within one of its own callbacks.
//
// Owned by `Process`, which also owns the `PeerNetwork` that the frames go to. Runs on the event
// loop; all times are seconds of the steady clock.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "config/peer.h"
#include "mesh/frame_reader.h"
#include "mesh/peer_network.h"
#include "mesh/peer_transport.h"
#include "net/clock.h"
#include "net/loop.h"
#include "net/tcp.h"

namespace deckhall {

class PeerConnections : public PeerTransport {
 public:
  // Listens on `listen` at once. Throws std::runtime_error when that address can't be used.
  PeerConnections(Loop* loop, const Clock* clock, const Endpoint& listen,
                  const std::vector<Peer>& peers);

  // Opens the outbound connections; received frames go to `network` from now on. Called once,
  // before the loop runs. `network` must outlive the loop's last turn.
  void Start(PeerNetwork* network);

  bool IsConnected(size_t peer) const override;
  void Send(size_t peer, const PeerFrame& frame) override;

 private:
  static constexpr double kNever = -1e9;  // long before any time of the steady clock

  // A connection with the frames that are on their way over it.
  struct FramedConnection {
    std::unique_ptr<TcpConn> tcp;  // null while an outbound connection is closed
    FrameReader reader;
    std::string unsent_frames;  // encoded in this turn of the loop

    // Encodes the frame for the next flush, or drops it when too much is buffered.
    void Enqueue(const PeerFrame& frame);
    // Passes the encoded frames on to the socket.
    void Flush();
  };
  struct OutboundConnection : FramedConnection {
    size_t index = 0;  // of the peer
    Peer peer;
    double last_received_at = kNever;
    double last_dialled_at = kNever;
  };
  using InboundConnection = FramedConnection;

  // Closes silent outbound connections and opens closed ones.
  void MaintainConnections();
  // Sends what was encoded in this turn of the loop: one system call for many small frames.
  void FlushConnections();
  void Dial(OutboundConnection* connection);
  void ReceiveResponses(OutboundConnection* connection, std::string_view bytes);
  void Disconnect(OutboundConnection* connection);
  void Accept(std::unique_ptr<TcpConn> tcp);
  void ReceiveRequests(uint64_t inbound_id, std::string_view bytes);
  void SendResponse(uint64_t inbound_id, const PeerFrame& frame);
  void CloseInbound(uint64_t inbound_id);
  // Destroys the connection in a later turn of the loop.
  void DeleteLater(std::unique_ptr<TcpConn> tcp);

  Loop* loop_;
  const Clock* clock_;
  PeerNetwork* network_ = nullptr;
  std::vector<std::unique_ptr<OutboundConnection>> outbound_;  // by peer
  std::map<uint64_t, InboundConnection> inbound_;              // by id, the oldest first
  uint64_t next_inbound_id_ = 1;
  std::vector<std::unique_ptr<TcpConn>> closed_;
  Timer deletion_timer_;
  Timer maintenance_timer_;
  BeforeWait flush_before_wait_;
  TcpListener listener_;
};

}  // namespace deckhall
