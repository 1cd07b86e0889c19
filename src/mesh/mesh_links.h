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

class MeshLinks : public MeshTransport {
 public:
  MeshLinks(Loop* loop, const Clock* clock, const Endpoint& listen, const std::vector<Peer>& peers);
  // Frames go to the mesh from now on.
  void Start(Mesh* mesh);

  bool Connected(size_t peer) const override;
  void Send(size_t peer, const PeerFrame& frame) override;

 private:
  struct Link {
    Peer peer;
    std::unique_ptr<TcpConn> tcp;
    std::string in;
    std::string out;  // frames of this turn of the loop
    double heard = -1e9;
    double tried = -1e9;
    double connected_at = 0;
    size_t index = 0;
  };
  struct Inbound {
    std::unique_ptr<TcpConn> tcp;
    std::string in;
    std::string out;
  };

  void Tick();
  // Many frames of one turn go out together: relayed questions come by the hundred.
  void Flush();
  void Dial(Link* link);
  void Hangup(Link* link);
  void Accept(std::unique_ptr<TcpConn> tcp);
  void Drop(uint64_t inbound);
  void Answer(uint64_t id, const PeerFrame& frame);
  // False when the stream is broken.
  static bool Split(std::string* in, std::string_view bytes,
                    const std::function<void(PeerFrame)>& each);

  Loop* loop_;
  const Clock* clock_;
  Mesh* mesh_ = nullptr;
  std::vector<std::unique_ptr<Link>> links_;
  std::map<uint64_t, Inbound> inbound_;
  uint64_t next_id_ = 1;
  std::vector<std::unique_ptr<TcpConn>> dropped_;
  Timer reaper_;
  Timer ticker_;
  BeforeWait flusher_;
  TcpListener listener_;
};

}  // namespace deckhall
