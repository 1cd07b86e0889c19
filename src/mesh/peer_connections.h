// The connections between the controllers: one dialled to each peer and kept, and those
// that the peers dialled.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "mesh/mesh.h"

namespace deckhall {

class PeerConnections : public PeerTransport {
 public:
  PeerConnections(Loop* loop, const Clock* clock, const Endpoint& listen,
                  const std::vector<Peer>& peers);
  // Frames go to the mesh from now on.
  void Start(Mesh* mesh);

  bool IsConnected(size_t peer) const override;
  void Send(size_t peer, const PeerFrame& frame) override;

 private:
  struct OutboundConnection {
    Peer peer;
    std::unique_ptr<TcpConn> connection;
    std::string received;
    std::string unsent_frames;  // frames of this turn of the loop
    double last_heard_at = -1e9;
    double last_dialled_at = -1e9;
    double connected_at = 0;
    size_t index = 0;
  };
  struct InboundConnection {
    std::unique_ptr<TcpConn> connection;
    std::string received;
    std::string unsent_frames;
  };

  void MaintainConnections();
  // Many frames of one turn go out together: relayed questions come by the hundred.
  void Flush();
  void Dial(OutboundConnection* link);
  void Disconnect(OutboundConnection* link);
  void Accept(std::unique_ptr<TcpConn> tcp);
  void DropInbound(uint64_t inbound);
  void SendResponse(uint64_t id, const PeerFrame& frame);
  // False when the stream is broken.
  static bool SplitFrames(std::string* in, std::string_view bytes,
                          const std::function<void(PeerFrame)>& each);

  Loop* loop_;
  const Clock* clock_;
  Mesh* mesh_ = nullptr;
  std::vector<std::unique_ptr<OutboundConnection>> outbound_;
  std::map<uint64_t, InboundConnection> inbound_;
  uint64_t next_id_ = 1;
  std::vector<std::unique_ptr<TcpConn>> dropped_;
  Timer deletion_timer_;
  Timer maintenance_timer_;
  BeforeWait flush_before_wait_;
  TcpListener listener_;
};

}  // namespace deckhall
