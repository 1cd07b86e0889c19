// Makes one disruption policy count for all controllers: the one with the highest revision that
// any of them was given. It is kept in the state service under a key of its own, which versions
// that do not know it leave alone.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "drain/policy.h"
#include "net/clock.h"
#include "state/key_value_store.h"

namespace deckhall {

class PolicyReplicator {
 public:
  static constexpr const char* kKey = "deckhall/disruption";

  PolicyReplicator(KeyValueStore* state, const Clock* clock, const Settings* settings)
      : key_value_store_(state), clock_(clock), settings_(settings) {}

  // The policy of this controller's own file. Without one nothing is read or written.
  void Offer(std::shared_ptr<const DisruptionPolicy> local);
  void Tick();
  // Reads the state service at the next tick.
  void ReadSoon() { next_read_at_ = 0; }

  // Null until the state service was read.
  const std::shared_ptr<const DisruptionPolicy>& in_force() const { return in_force_; }
  // Whether the state service named it in answer to a question sent at `since` or later, and
  // not long ago: a budget that is lowered holds everywhere within kFreshFor.
  bool IsConfirmed(double since) const;
  static constexpr double kConfirmationSeconds = 8;  // seconds

 private:
  void Read();
  void HandleStoredPolicy(const KeyValueResponse& response, double asked_at);
  void Write(uint64_t version);
  // Takes over what another controller stored. False: it is no policy.
  bool Adopt(const std::string& value);
  void LogOnce(const std::string& what);

  KeyValueStore* key_value_store_;
  const Clock* clock_;
  const Settings* settings_;
  std::shared_ptr<const DisruptionPolicy> local_;
  std::shared_ptr<const DisruptionPolicy> in_force_;
  double confirmed_at_ = -1;  // when the question was sent whose answer last named it
  double next_read_at_ = 0;
  bool call_in_flight_ = false;
  std::string complained_;  // last complaint, said once
};

// The stored form; `deckhall check` tells whether it fits a value of the state service.
std::string EncodePolicy(const DisruptionPolicy& policy);
// The largest stored form that the state service surely takes, in bytes.
size_t MaxPolicyBytes(const Settings& settings);

}  // namespace deckhall
