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
  int ttl_ms = 2500;
  double renew_s = 0.5;
  double drift = 0.002;  // of our clock against the state service's
};

class Election {
 public:
  static constexpr const char* kKey = "deckhall/leader";

  Election(KeyValueStore* state, const Clock* clock, ElectionOptions options);

  void Tick();
  // Holds the key as far as it knows, though perhaps no longer by its clock.
  bool holding() const { return stage_ == Stage::kHolding; }
  // Holds it surely, now.
  bool Trusted() const { return holding() && clock_->Now() < trusted_until_; }
  double trusted_until() const { return trusted_until_; }
  uint64_t term() const { return term_; }
  // The holder last seen, which may be gone by now; empty when there was none.
  const std::string& leader_label() const { return leader_label_; }
  uint64_t leader_term() const { return leader_term_; }
  // Who held it before us, as far as was seen.
  const std::string& former_label() const { return former_label_; }

  // A higher term exists, or a write met one: stop at once.
  void Abdicate(const char* why);
  // Others can lead better now: gives the lease back and lets them go first.
  void StepDown(const char* why, double pause_s);

  std::function<void(uint64_t term)> on_won;
  // The state service showed that no term above this one has begun yet.
  std::function<void(uint64_t bound)> on_known;
  std::function<void()> on_lost;

 private:
  enum class Stage { kLooking, kWatching, kGranting, kClaiming, kHolding };

  void Look();
  void Seen(const KeyValueResponse& answer);
  void Watch(uint64_t revision);
  void RunForIt();
  void Claim(uint64_t lease, double sent);
  void Won(uint64_t term);
  void Renew();
  void Retry(double after_s);

  KeyValueStore* state_;
  const Clock* clock_;
  ElectionOptions options_;
  std::mt19937_64 random_;
  Stage stage_ = Stage::kLooking;
  bool busy_ = false;
  int renewing_ = 0;
  uint64_t epoch_ = 0;  // answers to what an earlier stage asked are dropped
  uint64_t lease_ = 0;
  uint64_t term_ = 0;
  uint64_t leader_term_ = 0;
  std::string leader_label_;
  std::string former_label_;
  double trusted_until_ = -1;
  double granted_at_ = 0;
  double next_ = 0;
  double not_before_ = -1;  // runs for it no sooner
};

}  // namespace deckhall
