// Leader election: at most one controller leads at a time.
//
// The leader is the holder of one key in the state service, which is bound to a short lease. The
// key is created in a transaction that requires its absence; its revision is the term. When the
// lease expires, the state service removes the key, and the next controller creates it again with
// a higher revision.
//
// Guarantees and invariants:
//  - At any time `IsLeaseValid()` is true on at most one controller. The holder computes the expiry
//    by its own steady clock alone: the time to live is counted from when the request for the grant
//    or keep-alive was sent, less the greatest drift between the clocks.
//  - Each leader has a higher term than all leaders before it.
//  - A response to a request of an earlier stage is ignored.
//
// | stage          | waits for                       | ended by: next stage                     |
// |----------------|---------------------------------|------------------------------------------|
// | kReadingKey    | the value of the leader key     | absent: kGrantingLease                   |
// |                |                                 | held by another controller: kWatchingKey |
// |                |                                 | created by this process: kLeading        |
// | kWatchingKey   | a change of the key (long poll) | response or failure: kReadingKey         |
// | kGrantingLease | a short pause, then a new lease | granted: kAcquiringKey                   |
// |                |                                 | failed or recently resigned: kReadingKey |
// | kAcquiringKey  | a transaction creating the key  | committed: kLeading                      |
// |                |                                 | conflict or unknown outcome: kReadingKey |
// | kLeading       | responses to keep-alives        | lease expired, higher term or            |
// |                |                                 | resignation: kReadingKey                 |
//
// Source: "Controller nodes -> state service" in PROTOCOL (leases, transactions, /follow).
// Owned by `Controller`. Single-threaded; all times are seconds of the steady clock.
#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <string>

#include "leader/leader_key.h"
#include "leader/leadership_loss_reason.h"
#include "net/clock.h"
#include "state/key_value_store.h"

namespace deckhall {

struct ElectionOptions {
  std::string label;      // of this controller
  uint64_t instance = 0;  // of this process; unique, not 0
  int lease_ttl_ms = 2500;
  double keep_alive_interval_s = 0.5;
  double clock_drift = 0.002;  // greatest relative drift against the state service's clock
};

class Election {
 public:
  static constexpr const char* kKey = "deckhall/leader";

  // The pointers must outlive this object and the calls to the store.
  Election(KeyValueStore* key_value_store, const Clock* clock, ElectionOptions options);

  // Sends the requests that are due. Must be called frequently.
  void Tick();

  // Whether this process holds the leader key as far as it knows. The lease may have expired.
  bool HoldsKey() const { return stage_ == Stage::kLeading; }
  // Whether this process certainly holds the leader key at this moment.
  bool IsLeaseValid() const { return HoldsKey() && clock_->Now() < lease_valid_until_; }
  // The time at which the lease expires unless renewed; negative while this process does not lead.
  double lease_valid_until() const { return lease_valid_until_; }
  // The latest term that this process led; 0 before the first.
  uint64_t term() const { return term_; }
  // The holder of the leader key when it was last read; empty if the key was absent.
  const std::string& leader_label() const { return leader_label_; }
  // The term of the last known holder of the leader key.
  uint64_t leader_term() const { return leader_term_; }
  // The last known holder other than this process, possibly a former process of the same
  // controller; empty if there was none.
  const std::string& former_leader_label() const { return former_leader_label_; }

  // Stops leading at once. The lease is left to expire.
  void LoseLeadership(LeadershipLossReason reason);
  // Stops leading, revokes the lease, and does not campaign for `pause_s` seconds, so that another
  // controller takes over.
  void Resign(LeadershipLossReason reason, double pause_s);

  // Called when this process begins to lead the term.
  std::function<void(uint64_t term)> on_elected;
  // Called when the state service showed that no term above `bound` had begun.
  std::function<void(uint64_t bound)> on_term_bound;
  // Called when this process no longer leads.
  std::function<void()> on_leadership_lost;

 private:
  // See the table above.
  enum class Stage { kReadingKey, kWatchingKey, kGrantingLease, kAcquiringKey, kLeading };

  void ReadLeaderKey();
  void HandleLeaderKeyResponse(const KeyValueResponse& response);
  void HandleAbsentKey(uint64_t revision);
  void HandleHeldKey(const KeyValue& entry);
  // Whether this process created the key in a transaction whose response was lost.
  bool IsOwnAcquisition(const LeaderKey& key) const;
  // Whether a former process of this controller holds the key.
  bool IsFromFormerProcess(const LeaderKey& key) const;
  void WatchKey(uint64_t revision);
  void HandleWatchResponse(const KeyValueResponse& response, double watched_since);
  void Campaign();
  void HandleLeaseResponse(const KeyValueResponse& response, double requested_at);
  void AcquireKey(uint64_t lease_id, double lease_requested_at);
  void HandleAcquisitionResponse(const KeyValueResponse& response);
  void BecomeLeader(uint64_t term);
  void KeepAliveLease();
  void HandleKeepAliveResponse(const KeyValueResponse& response, double sent_at);
  void RevokeLease(uint64_t lease_id);
  // Enters a stage whose first step is due in about `delay_s` seconds.
  void EnterStage(Stage stage, double delay_s);
  // Makes the next step due in about `delay_s` seconds; the delay is randomized.
  void DelayNextStep(double delay_s);
  // Marks a call as in flight. Returns a handler that ignores the response if the stage was left in
  // the meantime.
  KeyValueStore::Done BeginCall(std::function<void(const KeyValueResponse&)> handle_response);
  // The expiry of a lease that was granted or kept alive by a request sent at `requested_at`.
  double LeaseValidUntil(double requested_at) const;
  double LeaseTtlSeconds() const;

  KeyValueStore* key_value_store_;
  const Clock* clock_;
  ElectionOptions options_;
  std::mt19937_64 random_;
  Stage stage_ = Stage::kReadingKey;
  bool call_in_flight_ = false;    // unused in kLeading
  int keep_alives_in_flight_ = 0;  // used in kLeading only
  uint64_t call_epoch_ = 0;        // responses to calls of older epochs are ignored
  uint64_t lease_id_ = 0;          // 0 if there is none
  uint64_t term_ = 0;
  uint64_t leader_term_ = 0;
  std::string leader_label_;
  std::string former_leader_label_;
  double lease_valid_until_ = -1;
  double lease_requested_at_ = 0;
  double next_step_at_ = 0;  // in kLeading: time of the next keep-alive
  double campaign_not_before_ = -1;
};

}  // namespace deckhall
