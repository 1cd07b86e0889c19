// The controllers among themselves: who is alive, who leads, and the way there.
// What a user or a worker asks of any node is passed to the leader, through the
// third node when the straight way is blocked.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "mesh/quiet.h"
#include "net/clock.h"
#include "net/tcp.h"
#include "wire/mesh_codec.h"

namespace deckhall {

struct Peer {
  std::string label;
  std::string site;
  Endpoint at;
};

class Mesh {
 public:
  using Body = decltype(MeshFrame::body);
  using Reply = std::function<void(Body)>;  // monostate: no answer
  // Answers what another node passed to this one.
  using Server = std::function<void(Body, Reply)>;

  Mesh(Loop* loop, const Clock* clock, std::string label, uint64_t instance, const Endpoint& listen,
       std::vector<Peer> peers, Server server);

  // What this node says of itself from now on.
  void SetLeading(bool leading, bool holding, uint64_t term);
  // The leader as gossip has it, or who last was and still holds on; empty when
  // none was heard of lately.
  std::string Leader() const;
  uint64_t HighestTerm() const { return highest_term_; }
  // Asks a node; `done` is called once, from the loop.
  void Ask(const std::string& label, Body body, double timeout_s, Reply done);
  // True when the peer was heard lately.
  bool Hears(const std::string& label) const;
  // True when a peer of that site was not heard at some time of late: it is down,
  // or cut off from here, and its zone's workers may need time to find a way.
  bool Doubtful(const std::string& site) const;
  // A time at which surely no other node led a term above this one: each peer has
  // said so in answer to something sent then or later. Held-back packets can't
  // make it younger than it is, and a process that was started anew and has not
  // yet asked the state service is not believed: its predecessor may have led.
  double QuietSince(uint64_t term) const;
  // The state service showed this process that no later term has begun so far.
  void NoteTerm(uint64_t term);
  // Connections to the peer are refused, rather than silent.
  bool Refuses(const std::string& label) const;
  // Time since any peer was heard.
  double Silence() const;

  std::function<void(uint64_t term)> on_higher_term;

 private:
  struct Link {
    Peer peer;
    std::unique_ptr<TcpConn> tcp;
    std::string in;
    double heard = -1e9;
    double missed = -1e9;  // last time it was not heard
    double tried = -1e9;
    double connected_at = 0;
    double refused = -1e9;  // an attempt to connect failed at once
    MeshPing last;
    size_t index = 0;
  };
  struct Inbound {
    std::unique_ptr<TcpConn> tcp;
    std::string in;
  };
  struct Pending {
    Reply done;
    double deadline = 0;
  };

  void Tick();
  void Dial(Link* link);
  void Hangup(Link* link);
  void Accept(std::unique_ptr<TcpConn> tcp);
  // False when the stream is broken.
  bool Split(std::string* in, std::string_view bytes, const std::function<void(MeshFrame)>& each);
  void OnPing(const MeshPing& ping);
  void Serve(uint64_t conn, MeshFrame frame);
  void Settle(uint64_t id, Body body);
  void Send(Link* link, const MeshFrame& frame);
  Link* Find(const std::string& label);
  // The link over which frames for the label go now.
  Link* Route(const std::string& label);
  MeshPing SelfPing() const;
  std::string FreshLeader() const;

  Loop* loop_;
  const Clock* clock_;
  std::string label_;
  uint64_t instance_;
  Server server_;
  bool leading_ = false;
  bool holding_ = false;
  uint64_t term_ = 0;
  uint64_t highest_term_ = 0;
  bool informed_ = false;
  Quiet quiet_;
  std::vector<std::unique_ptr<Link>> links_;
  std::map<uint64_t, Inbound> inbound_;
  std::map<uint64_t, Pending> pending_;
  uint64_t next_id_ = 1;
  std::vector<std::unique_ptr<TcpConn>> dropped_;
  Timer reaper_;
  Timer ticker_;
  TcpListener listener_;
};

}  // namespace deckhall
