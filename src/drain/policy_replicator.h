// Agrees on one disruption policy among all controllers: the one with the highest revision of their
// files. It is stored in the state service under a key of its own, which versions that do not know
// it ignore.
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

  // Sets the policy of this controller's own file. Without one, nothing is read or written.
  void SetLocalPolicy(std::shared_ptr<const DisruptionPolicy> local);
  void Tick();
  // Makes the next tick read the stored policy.
  void ScheduleRead() { next_read_at_ = 0; }

  // Null until a policy was read from the state service.
  const std::shared_ptr<const DisruptionPolicy>& in_force() const { return in_force_; }
  // Whether the state service returned the policy in force to a read sent at `since` or later, less
  // than kConfirmationSeconds ago: a lowered budget takes effect everywhere within that time.
  bool IsConfirmed(double since) const;
  static constexpr double kConfirmationSeconds = 8;

 private:
  void Read();
  void HandleStoredPolicy(const KeyValueResponse& response, double requested_at);
  void Write(uint64_t version);
  // Puts the stored policy in force. Returns false if it is invalid.
  bool Adopt(const std::string& value);
  void LogOnce(const std::string& message);

  KeyValueStore* key_value_store_;
  const Clock* clock_;
  const Settings* settings_;
  std::shared_ptr<const DisruptionPolicy> local_;
  std::shared_ptr<const DisruptionPolicy> in_force_;
  double confirmed_at_ = -1;  // when the last read that returned it was sent
  double next_read_at_ = 0;
  bool call_in_flight_ = false;
  std::string last_logged_error_;  // not repeated by LogOnce()
};

// Returns the stored form of the policy; `deckhall check` compares its size with MaxPolicyBytes.
std::string EncodePolicy(const DisruptionPolicy& policy);
// Size in bytes up to which the state service accepts a stored policy.
size_t MaxPolicyBytes(const Settings& settings);

}  // namespace deckhall
