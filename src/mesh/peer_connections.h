// The TCP connections between the controllers: a persistent outbound one to each peer, and the
// inbound ones that the peers opened.
//
// Guarantees and invariants:
//  - Outbound connections carry the requests of this controller and the responses to them; inbound
//    ones carry the requests of peers and this controller's responses.
//  - An outbound connection is reopened after it was closed, or if no frame was received on it for
//    some time.
//  - The bytes buffered on each connection are bounded; further frames are dropped.
//  - A connection is never destroyed from within one of its own callbacks.
//
// Owned by `Process`, which also owns the `PeerNetwork` that handles received frames. Runs on the
// event loop; all times are seconds of the steady clock.
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
#include "net/deferred_deletion.h"
#include "net/loop.h"
#include "net/tcp.h"

namespace deckhall {

class PeerConnections : public PeerTransport {
 public:
  // Listens on `listen` at once. Throws std::runtime_error when that address can't be used.
  PeerConnections(Loop* loop, const Clock* clock, const Endpoint& listen,
                  const std::vector<Peer>& peers);

  // Opens the outbound connections and passes received frames to `network` from now on. Called
  // once, before the loop runs. `network` must outlive the last iteration of the loop.
  void Start(PeerNetwork* network);

  bool IsConnected(size_t peer) const override;
  void Send(size_t peer, const PeerFrame& frame) override;

 private:
  static constexpr double kNever = -1e9;  // long before any time of the steady clock

  // A connection with its buffers for received and unsent frames.
  struct FramedConnection {
    std::unique_ptr<TcpConn> tcp;  // null while an outbound connection is closed
    FrameReader reader;
    std::string unsent_frames;  // encoded in this loop iteration

    // Encodes the frame for the next flush, or drops it if the buffer limit is reached.
    void Enqueue(const PeerFrame& frame);
    // Passes the encoded frames to the socket.
    void Flush();
  };
  struct OutboundConnection : FramedConnection {
    size_t index = 0;  // of the peer
    Peer peer;
    double last_received_at = kNever;
    double last_dialled_at = kNever;
  };
  using InboundConnection = FramedConnection;

  // Closes outbound connections on which nothing is received, and reopens closed ones.
  void MaintainConnections();
  // Sends the frames encoded in this loop iteration, with one system call for many small frames.
  void FlushConnections();
  void Dial(OutboundConnection* connection);
  void ReceiveResponses(OutboundConnection* connection, std::string_view bytes);
  void Disconnect(OutboundConnection* connection);
  void Accept(std::unique_ptr<TcpConn> tcp);
  void ReceiveRequests(uint64_t inbound_id, std::string_view bytes);
  void SendResponse(uint64_t inbound_id, const PeerFrame& frame);
  void CloseInbound(uint64_t inbound_id);
  // Destroys the connection in a later loop iteration.
  void DeleteLater(std::unique_ptr<TcpConn> tcp);

  Loop* loop_;
  const Clock* clock_;
  PeerNetwork* network_ = nullptr;
  std::vector<std::unique_ptr<OutboundConnection>> outbound_;  // by peer
  std::map<uint64_t, InboundConnection> inbound_;              // by id, the oldest first
  uint64_t next_inbound_id_ = 1;
  DeferredDeletion<TcpConn> closed_;
  Timer maintenance_timer_;
  BeforeWait flush_before_wait_;
  TcpListener listener_;
};

}  // namespace deckhall
