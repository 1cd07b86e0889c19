// Log of the commands that a leader sends to agents, for the analysis of incidents.
//
// Writes one line at level info for each message with commands, and for each direct message that
// was rejected or got no response: with machine, agent epoch, fencing tokens and what is left of
// the leader's lease. A token bucket bounds the number of lines, whatever the size of the fleet;
// messages beyond it are only counted. A summary with all counts is written once a minute. Owned by
// Leader.
#pragma once

#include <cstdint>
#include <vector>

#include "fleet/command_builder.h"
#include "fleet/worker_client.h"
#include "leader/leadership_lease.h"
#include "model/machine.h"
#include "net/clock.h"
#include "net/token_bucket.h"
#include "wire/types.h"

namespace deckhall {

class CommandLog {
 public:
  CommandLog(const LeadershipLease* lease, const Clock* clock, uint64_t term);

  // Logs commands that are sent to the machine under its current token; does nothing if there are
  // none.
  void LogCommands(const Machine& machine, const CommandBatch& commands, CommandChannel channel);
  // Logs a direct message that was not executed, or of which this is not known.
  void LogFailure(const Machine& machine, const WorkerResponse& response);
  // Writes the summary if it is due. `tokens_raised` counts since the begin of the term; `now` is
  // steady time, in seconds.
  void LogSummaryIfDue(double now, uint64_t tokens_raised);

 private:
  // Counts since the last summary.
  struct Counts {
    uint64_t launches = 0;
    uint64_t stops = 0;
    uint64_t acknowledgements = 0;
    uint64_t failures = 0;
    uint64_t suppressed = 0;  // messages without a line of their own
  };

  void Count(const Command& command);
  // Whether a line may be written; counts it as suppressed otherwise.
  bool TakeLine();

  const LeadershipLease* lease_;
  const Clock* clock_;
  uint64_t term_;
  TokenBucket lines_;
  Counts counts_;
  uint64_t tokens_raised_before_ = 0;
  double next_summary_at_ = 0;
};

}  // namespace deckhall
