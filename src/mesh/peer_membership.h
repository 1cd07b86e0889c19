// Peer membership: which controllers are alive, which of them leads, and in which term.
//
// Every controller pings every peer at a fixed interval over its outbound connection. A ping and
// its response carry the same state (`PeerPing`): the sender's label, whether it leads, its term,
// and which peers it reaches itself.
//
// Guarantees and invariants:
//  - The highest known term never decreases. `on_higher_term` is called once for each increase that
//    a peer reported.
//  - Liveness is a local estimate from ping responses. It decides about routes and suspicion, never
//    about leadership: only the lease in the state service does (see leader/election.h).
//  - `NoLaterTermSince` is conservative: delayed packets make it older, never younger.
//
// Owned by `PeerNetwork`. Single-threaded; all times are seconds of the steady clock.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "config/peer.h"
#include "mesh/peer_transport.h"
#include "mesh/term_freshness.h"
#include "net/clock.h"
#include "wire/peer_codec.h"

namespace deckhall {

class PeerMembership {
 public:
  // `label` and `instance` identify this controller and this process of it. `transport` and `clock`
  // must outlive this object.
  PeerMembership(PeerTransport* transport, const Clock* clock, std::string label, uint64_t instance,
                 std::vector<Peer> peers);

  // Pings all peers when the ping interval has passed.
  void SendPingsIfDue(double now);
  // Applies a peer's ping and returns the response to it.
  PeerPing HandlePing(const PeerPing& ping);
  // Applies the response of a peer to an earlier ping with the same frame id.
  void HandlePingResponse(size_t peer, uint64_t frame_id, const PeerPing& ping);
  // Records that the peer actively refused a connection attempt.
  void RecordRefusedConnection(size_t peer);

  // Sets what the pings of this controller announce, and sends them at once when it changed.
  // `lease_valid`: it holds a valid lease; `holds_leader_key`: it holds the leader key, as far as
  // it knows; `term`: the term of both.
  void SetLeadership(bool lease_valid, bool holds_leader_key, uint64_t term);
  // Records that no term above `term` had begun when the state service was last read.
  void ConfirmTerm(uint64_t term);

  // The label of the current leader, or of one that still holds the leader key; empty when none is
  // known. A peer's own announcement takes precedence over what other peers know of it.
  std::string Leader() const;
  // A time up to which no other controller can have led a term above `term`: each peer confirmed
  // that in response to a ping sent then or later. `TermFreshness::kNever` when a higher term is
  // known.
  double NoLaterTermSince(uint64_t term) const;

  // Whether the peer with this label responded recently. False for unknown labels.
  bool IsAlive(const std::string& label) const;
  // Whether a peer of this site was missing at some recent time: it is down or partitioned from
  // this controller, and the workers of its zone may need time to fail over to another controller.
  bool IsSiteSuspected(const std::string& site) const;
  // Whether the peer with this label recently refused a connection attempt.
  bool RefusesConnections(const std::string& label) const;
  // Seconds since any peer last responded to a ping; very large when none ever did.
  double SecondsSinceLastResponse() const;

  const std::string& label() const { return label_; }
  // The peer with this label if it is alive.
  std::optional<size_t> FindLivePeer(const std::string& label) const;
  // The peer to send a frame for `label` to: the target itself when it is alive and connected,
  // otherwise a live and connected peer that reaches it.
  std::optional<size_t> FindNextHop(const std::string& label) const;

  // Called when a peer reports a term above all terms known so far.
  std::function<void(uint64_t term)> on_higher_term;

 private:
  static constexpr double kNever = -1e9;  // long before any time of the steady clock

  struct PeerState {
    Peer peer;
    double last_response_at = kNever;
    double last_missing_at = kNever;  // when a ping was due while the peer was not alive
    double last_refused_at = kNever;
    PeerPing last_ping;
  };

  void SendPings();
  void SendPing(size_t peer, double now);
  PeerPing BuildPing() const;
  void ApplyPing(const PeerPing& ping);
  bool IsAlive(const PeerState& state) const;
  // Whether the peer is a live and connected relay that reaches `label`.
  bool CanRelayTo(const std::string& label, size_t peer) const;
  std::optional<size_t> FindPeer(const std::string& label) const;
  // The live peer that announces leadership in the highest term; empty without one.
  std::string AnnouncedLeader() const;
  // The leader known to the live peer with the highest term; empty without one.
  std::string LeaderKnownToPeers() const;

  PeerTransport* transport_;
  const Clock* clock_;
  std::string label_;
  uint64_t instance_;
  bool lease_valid_ = false;
  bool holds_leader_key_ = false;
  uint64_t term_ = 0;
  uint64_t highest_term_ = 0;
  bool term_confirmed_ = false;  // this process has read the leader key
  TermFreshness term_freshness_;
  std::vector<PeerState> peers_;
  double next_ping_at_ = 0;
};

}  // namespace deckhall
