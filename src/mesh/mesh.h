// What the controllers tell each other: who leads in which term, and what users and
// workers ask of a node that does not lead. Frames in and time in, frames out; the
// connections are behind PeerTransport.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "mesh/term_freshness.h"
#include "net/clock.h"
#include "net/tcp.h"
#include "wire/peer_codec.h"

namespace deckhall {

struct Peer {
  std::string label;
  std::string site;
  Endpoint at;
};

// One link to each peer, by index, that this node keeps dialled.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;
  virtual bool IsConnected(size_t peer) const = 0;
  virtual void Send(size_t peer, const PeerFrame& frame) = 0;
};

class Mesh {
 public:
  using Body = decltype(PeerFrame::body);
  using ResponseCallback = std::function<void(Body)>;  // monostate: no answer
  // Answers what another node passed to this one.
  using RequestHandler = std::function<void(Body, ResponseCallback)>;

  Mesh(PeerTransport* transport, const Clock* clock, std::string label, uint64_t instance,
       std::vector<Peer> peers, size_t max_pending, RequestHandler server);

  void Tick();
  // A frame came over the link to the peer, in answer to one of ours.
  void HandleResponse(size_t peer, PeerFrame frame);
  // A frame came over a link that a peer dialled.
  void HandleRequest(PeerFrame frame, const std::function<void(const PeerFrame&)>& answer);
  // An attempt to connect to the peer failed at once.
  void RecordRefusedConnection(size_t peer) { peers_[peer].last_refused_at = clock_->Now(); }

  // What this node says of itself from now on.
  void SetLeadership(bool leading, bool holding, uint64_t term);
  // The leader as gossip has it, or who last was and still holds on; empty when
  // none was heard of lately.
  std::string Leader() const;
  uint64_t HighestTerm() const { return highest_term_; }
  // Asks a node; `done` is called once, from Tick or OnAnswer.
  void Call(const std::string& label, Body body, double timeout_s, ResponseCallback done);
  // True when the peer was heard lately.
  bool IsAlive(const std::string& label) const;
  // True when a peer of that site was not heard at some time of late: it is down,
  // or cut off from here, and its zone's workers may need time to find a way.
  bool IsSiteSuspected(const std::string& site) const;
  // A time at which surely no other node led a term above this one: each peer has
  // said so in answer to something sent then or later. Held-back packets can't
  // make it younger than it is, and a process that was started anew and has not
  // yet asked the state service is not believed: its predecessor may have led.
  double NoLaterTermSince(uint64_t term) const;
  // The state service showed this process that no later term has begun so far.
  void ConfirmTerm(uint64_t term);
  // Connections to the peer are refused, rather than silent.
  bool RefusesConnections(const std::string& label) const;
  // Time since any peer was heard.
  double SecondsSincePeerHeard() const;

  std::function<void(uint64_t term)> on_higher_term;

 private:
  struct PeerState {
    Peer peer;
    double last_heard_at = -1e9;
    double last_missed_at = -1e9;   // last time it was not heard
    double last_refused_at = -1e9;  // an attempt to connect failed at once
    PeerPing last_ping;
  };
  struct PendingCall {
    ResponseCallback done;
    double deadline = 0;
  };

  void SendPings();
  void ApplyPing(const PeerPing& ping);
  void Complete(uint64_t id, Body body);
  // The index of the peer, or of none.
  size_t Find(const std::string& label) const;
  bool IsAlive(const PeerState& link) const;
  // The link over which frames for the label go now.
  size_t Route(const std::string& label) const;
  PeerPing BuildPing() const;
  std::string LeaderAmongLivePeers() const;

  PeerTransport* transport_;
  const Clock* clock_;
  std::string label_;
  uint64_t instance_;
  size_t max_pending_calls_;
  RequestHandler request_handler_;
  bool lease_valid_ = false;
  bool holds_leader_key_ = false;
  uint64_t term_ = 0;
  uint64_t highest_term_ = 0;
  bool term_confirmed_ = false;
  TermFreshness term_freshness_;
  std::vector<PeerState> peers_;
  std::map<uint64_t, PendingCall> pending_calls_;
  uint64_t next_call_id_ = 1;
  double next_ping_at_ = 0;
};

}  // namespace deckhall
