// Validation of workers' messages: heartbeats, and the state in responses to probes and commands.
//
// Guarantee: a message is reported as implausible if it contradicts facts that are certain, namely
// its machine's type, zone or kind (spot or not), or the highest fencing token that any controller
// can have issued. Callers must then ignore it. Owned by Leader, shared by HeartbeatHandler,
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
  // Called with the reason why the term must be over.
  using LeadershipLostCallback = std::function<void(const char* reason)>;

  HeartbeatValidator(const JobStore* job_store, const Fleet* fleet, const LeadershipLease* lease,
                     const Clock* clock, uint64_t term, LeadershipLostCallback on_leadership_lost);

  // Returns false if the heartbeat is implausible; the caller must then ignore it. A fencing token
  // of a later term that arrives while this leader's lease is not valid also ends the term.
  bool IsPlausible(const Heartbeat& heartbeat);
  // Counts an ignored message; logs at most one of them per second.
  void RecordImplausible(const std::string& machine, const char* reason);
  // Number of messages ignored in this term.
  uint64_t implausible_heartbeats() const { return implausible_heartbeats_; }

 private:
  // Whether type, zone and kind match the known machine; true if it is not known.
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
