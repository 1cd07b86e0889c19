// What the controllers tell each other: who leads in which term, and what users and
// workers ask of a node that does not lead. Frames in and time in, frames out; the
// connections are behind MeshTransport.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "mesh/term_freshness.h"
#include "net/clock.h"
#include "net/tcp.h"
#include "wire/mesh_codec.h"

namespace deckhall {

struct Peer {
  std::string label;
  std::string site;
  Endpoint at;
};

// One link to each peer, by index, that this node keeps dialled.
class MeshTransport {
 public:
  virtual ~MeshTransport() = default;
  virtual bool Connected(size_t peer) const = 0;
  virtual void Send(size_t peer, const PeerFrame& frame) = 0;
};

class Mesh {
 public:
  using Body = decltype(PeerFrame::body);
  using Reply = std::function<void(Body)>;  // monostate: no answer
  // Answers what another node passed to this one.
  using Server = std::function<void(Body, Reply)>;

  Mesh(MeshTransport* transport, const Clock* clock, std::string label, uint64_t instance,
       std::vector<Peer> peers, size_t max_pending, Server server);

  void Tick();
  // A frame came over the link to the peer, in answer to one of ours.
  void OnAnswer(size_t peer, PeerFrame frame);
  // A frame came over a link that a peer dialled.
  void OnRequest(PeerFrame frame, const std::function<void(const PeerFrame&)>& answer);
  // An attempt to connect to the peer failed at once.
  void OnRefused(size_t peer) { links_[peer].refused = clock_->Now(); }

  // What this node says of itself from now on.
  void SetLeading(bool leading, bool holding, uint64_t term);
  // The leader as gossip has it, or who last was and still holds on; empty when
  // none was heard of lately.
  std::string Leader() const;
  uint64_t HighestTerm() const { return highest_term_; }
  // Asks a node; `done` is called once, from Tick or OnAnswer.
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
  double NoLaterTermSince(uint64_t term) const;
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
    double heard = -1e9;
    double missed = -1e9;   // last time it was not heard
    double refused = -1e9;  // an attempt to connect failed at once
    PeerPing last;
  };
  struct Pending {
    Reply done;
    double deadline = 0;
  };

  void SendPings();
  void OnPing(const PeerPing& ping);
  void Settle(uint64_t id, Body body);
  // The index of the peer, or of none.
  size_t Find(const std::string& label) const;
  bool Hears(const Link& link) const;
  // The link over which frames for the label go now.
  size_t Route(const std::string& label) const;
  PeerPing SelfPing() const;
  std::string FreshLeader() const;

  MeshTransport* transport_;
  const Clock* clock_;
  std::string label_;
  uint64_t instance_;
  size_t max_pending_;
  Server server_;
  bool leading_ = false;
  bool holding_ = false;
  uint64_t term_ = 0;
  uint64_t highest_term_ = 0;
  bool informed_ = false;
  TermFreshness term_freshness_;
  std::vector<Link> links_;
  std::map<uint64_t, Pending> pending_;
  uint64_t next_id_ = 1;
  double next_ping_ = 0;
};

}  // namespace deckhall
