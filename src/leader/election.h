// Who leads: the holder of one key that is bound to a short lease. The key's
// revision is the term. The holder trusts its lease by its own clock only,
// counted from when it sent the renewal.
#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <string>

#include "net/clock.h"
#include "state/key_value_store.h"

namespace deckhall {

struct ElectionOptions {
  std::string label;
  uint64_t instance = 0;
  int lease_ttl_ms = 2500;
  double keep_alive_interval_s = 0.5;
  double clock_drift = 0.002;  // of our clock against the state service's
};

class Election {
 public:
  static constexpr const char* kKey = "deckhall/leader";

  Election(KeyValueStore* state, const Clock* clock, ElectionOptions options);

  void Tick();
  // Holds the key as far as it knows, though perhaps no longer by its clock.
  bool HoldsKey() const { return stage_ == Stage::kLeading; }
  // Holds it surely, now.
  bool IsLeaseValid() const { return HoldsKey() && clock_->Now() < lease_valid_until_; }
  double lease_valid_until() const { return lease_valid_until_; }
  uint64_t term() const { return term_; }
  // The holder last seen, which may be gone by now; empty when there was none.
  const std::string& leader_label() const { return leader_label_; }
  uint64_t leader_term() const { return leader_term_; }
  // Who held it before us, as far as was seen.
  const std::string& former_leader_label() const { return former_leader_label_; }

  // A higher term exists, or a write met one: stop at once.
  void LoseLeadership(const char* why);
  // Others can lead better now: gives the lease back and lets them go first.
  void Resign(const char* why, double pause_s);

  std::function<void(uint64_t term)> on_elected;
  // The state service showed that no term above this one has begun yet.
  std::function<void(uint64_t bound)> on_term_bound;
  std::function<void()> on_leadership_lost;

 private:
  enum class Stage { kReadingKey, kWatchingKey, kGrantingLease, kAcquiringKey, kLeading };

  void ReadLeaderKey();
  void HandleLeaderKey(const KeyValueResponse& response);
  void WatchKey(uint64_t revision);
  void Campaign();
  void AcquireKey(uint64_t lease, double sent);
  void BecomeLeader(uint64_t term);
  void KeepAliveLease();
  void RetryAfter(double after_s);

  KeyValueStore* key_value_store_;
  const Clock* clock_;
  ElectionOptions options_;
  std::mt19937_64 random_;
  Stage stage_ = Stage::kReadingKey;
  bool call_in_flight_ = false;
  int keep_alives_in_flight_ = 0;
  uint64_t call_epoch_ = 0;  // answers to what an earlier stage asked are dropped
  uint64_t lease_id_ = 0;
  uint64_t term_ = 0;
  uint64_t leader_term_ = 0;
  std::string leader_label_;
  std::string former_leader_label_;
  double lease_valid_until_ = -1;
  double lease_requested_at_ = 0;
  double next_action_at_ = 0;
  double campaign_not_before_ = -1;  // runs for it no sooner
};

}  // namespace deckhall
