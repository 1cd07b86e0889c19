// Plausibility of what workers send: heartbeats, and the state in responses to probes and commands.
//
// Guarantee: a message that contradicts what is surely known (its machine's type, zone or kind, or
// the highest fencing token that any controller can have issued) is reported as implausible, so
// that callers change nothing because of it. Owned by Leader, shared by HeartbeatHandler,
// CommandDispatcher and FailureDetector.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "fleet/fleet.h"
#include "leader/leadership_lease.h"

namespace deckhall {

class HeartbeatValidator {
 public:
  // Told why the term must be over.
  using LeadershipLostCallback = std::function<void(const char* reason)>;

  HeartbeatValidator(const JobStore* job_store, const Fleet* fleet, const LeadershipLease* lease,
                     const Clock* clock, uint64_t term, LeadershipLostCallback on_leadership_lost);

  // False when the heartbeat can't be true; it must then change nothing. A fencing token of a
  // later term, seen without a valid lease, also ends the term.
  bool IsPlausible(const Heartbeat& heartbeat);
  // Counts a message that was ignored; logs at most one per second.
  void RecordImplausible(const std::string& machine, const char* reason);
  // Messages ignored in this term.
  uint64_t implausible_heartbeats() const { return implausible_heartbeats_; }

 private:
  // Whether type, zone and kind are those known of the machine.
  bool MatchesMachine(const Heartbeat& heartbeat) const;

  const JobStore* job_store_;
  const Fleet* fleet_;
  const LeadershipLease* lease_;
  const Clock* clock_;
  const uint64_t term_;
  const LeadershipLostCallback on_leadership_lost_;
  uint64_t implausible_heartbeats_ = 0;
  double logged_at_ = -1e9;  // steady time, in seconds
};

}  // namespace deckhall
