// Peer membership: which controllers are alive, which one leads, and in which term.
//
// Every controller pings every peer at a fixed interval over its outbound connection. A ping and
// its response carry the same kind of state (`PeerPing`): the sender's label, whether it leads, its
// term, and which peers it can reach.
//
// Guarantees and invariants:
//  - The highest known term never decreases. `on_higher_term` is called once for each increase that
//    a peer reported.
//  - Liveness is a local estimate from ping responses. It determines routes and suspicion, never
//    leadership, which only the lease in the state service determines (see leader/election.h).
//  - `NoLaterTermSince` is conservative: delayed packets can only make the time it returns earlier.
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
  // `label` identifies this controller, `instance` this process of it. `transport` and `clock` must
  // outlive this object.
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

  // Sets the leadership state that the pings of this controller announce, and sends pings at once
  // if it changed. `lease_valid`: this controller holds a valid lease; `holds_leader_key`: it holds
  // the leader key, as far as it knows; `term`: the term of both.
  void SetLeadership(bool lease_valid, bool holds_leader_key, uint64_t term);
  // Records that no term above `term` had begun when this process last read the state service.
  void ConfirmTerm(uint64_t term);

  // The label of the current leader, or of a controller that still holds the leader key; empty if
  // no leader is known. A peer's own announcement takes precedence over reports by other peers.
  std::string Leader() const;
  // A time up to which no other controller can have led a term above `term`, since each peer
  // confirmed this in response to a ping sent at that time or later. `TermFreshness::kNever` if a
  // higher term is known.
  double NoLaterTermSince(uint64_t term) const;

  // Whether the peer with this label responded recently. False for unknown labels.
  bool IsAlive(const std::string& label) const;
  // Whether a peer of this site was not alive recently: it is down or partitioned from this
  // controller, and the workers of its zone may need time to fail over to another controller.
  bool IsSiteSuspected(const std::string& site) const;
  // Whether the peer with this label recently refused a connection attempt.
  bool RefusesConnections(const std::string& label) const;
  // Seconds since any peer last responded to a ping; very large if no peer ever did.
  double SecondsSinceLastResponse() const;

  const std::string& label() const { return label_; }
  // The peer with this label; nullopt if it is unknown or not alive.
  std::optional<size_t> FindLivePeer(const std::string& label) const;
  // The peer to send a frame for `label` to: the target itself if it is alive and connected,
  // otherwise a live and connected peer that can reach it; nullopt if there is no such peer.
  std::optional<size_t> FindNextHop(const std::string& label) const;

  // Called when a peer reports a term above all terms known so far. May be empty.
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
  // The live peer that announces leadership in the highest term; empty if there is no such peer.
  std::string AnnouncedLeader() const;
  // The leader known to the live peer with the highest term; empty if no live peer knows one.
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
