// A machine as the leader knows it: its identity, the state reported by its agent, commands and
// probes in flight, scheduling constraints, and the task attempts on it.
//
// Owned by Fleet. Fleet never erases an entry but sets `removed`, so that an index stays valid for
// the term.
//
// Invariants: the resource sums equal the resources of the attempts that are not `released`; only
// Fleet changes `attempts` and the sums. `acknowledged_token` decreases only when the agent has
// restarted; `required_token` is at most `fencing_token`.
//
// Fields ending in `_at`, `_since` and `_until` are in seconds of this controller's steady clock;
// fields ending in `_wall` are wall-clock times, in seconds since the epoch.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "model/name_index.h"
#include "model/record_id.h"
#include "model/task_attempt.h"

namespace deckhall {

struct Machine {
  // Identity.
  std::string name;
  std::string endpoint;      // host:port of its agent
  uint32_t type = kNoIndex;  // in JobStore::types
  uint32_t zone = kNoIndex;  // in JobStore::zones
  RecordId record_id = kNoRecord;
  bool spot = false;

  // Lifecycle.
  double provisioned_at_wall = 0;
  double discovered_at = 0;  // when this leader first learned of it
  double up_at = -1;         // time of the first heartbeat; negative if none
  double idle_since = -1;    // negative if not idle
  bool registered = false;   // known from a stored record, the cloud or a scale-out request
  bool up = false;           // has sent a heartbeat in this term
  bool removed = false;
  bool scaling_in = false;    // to be released to the cloud
  bool release_sent = false;  // its release was requested from the cloud

  // Failover reconciliation.
  bool reconciled = false;               // all attempts that may be on it are known
  bool may_run_former_attempts = false;  // attempts of earlier leaders may be on it

  // Version of the last heartbeat, and fencing tokens. See PROTOCOL, "Tokens".
  uint64_t agent_epoch = 1;
  uint64_t sequence = 0;
  uint64_t fencing_token = 0;       // sent with the next commands
  uint64_t required_token = 0;      // no launch is sent before the agent has reported it
  uint64_t acknowledged_token = 0;  // highest token reported by the agent
  bool suspected = false;           // a heartbeat contradicted earlier ones; to be probed soon

  // Liveness, and reachability of the agent from this controller.
  bool partitioned = false;            // no heartbeats, but its zone is partitioned: probably alive
  int unreachable_count = 0;           // unanswered probes since last_acknowledged_at
  double unreachable_since = -1;       // time of the first of these; negative if none
  double last_heard_at = -1e9;         // last heartbeat or response received
  double lease_renewed_at = -1e9;      // last heartbeat that was answered with 200
  double last_acknowledged_at = -1e9;  // last proof that requests reach the agent

  // Bound on lease expiry: no heartbeat has been answered since this wall-clock time; negative if
  // there is no bound. It is stored in the machine's record, from which a later leader derives when
  // the lease expires. Heartbeats are answered again only once its withdrawal is durable.
  double unrenewed_since_wall = -1;
  bool withdrawing_expiry_bound = false;  // withdrawn, but not durably yet

  // Commands and probes sent to the agent outside heartbeat responses.
  bool command_in_flight = false;
  bool probe_in_flight = false;
  bool queued_for_update = false;    // in Fleet's queue of changed machines, see PopChanged
  int command_failures = 0;          // consecutive
  int probe_failures = 0;            // consecutive
  double command_backoff_until = 0;  // no direct command is sent before
  double probe_backoff_until = 0;    // no probe is sent before

  // Scheduling constraints.
  bool unschedulable = false;        // excluded from new placements
  bool cordoned = false;             // excluded from new placements by a drain
  bool scale_in_when_empty = false;  // released once empty, as a drain requests
  bool consolidating = false;  // its replicas are moved to other machines, then it is released
  double consolidating_since = 0;
  double last_move_at = -1e9;  // when a replica was last instructed to move
  double preemption_at = -1;   // when the cloud reclaims the spot machine; negative if no notice
  double insufficient_capacity_until = 0;  // its agent refused an attempt; no placement before
  double quarantined_until = 0;
  int quarantine_count = 0;  // quarantines since the last successful attempt
  int task_failures = 0;     // failed attempts since the last success or quarantine

  // Capacity.
  bool capacity_stale = true;           // FreeCapacity must recompute this machine
  std::vector<uint32_t> cached_images;  // in JobStore::images; probably cached, latest use last

  // Attempts, and the sums over those that hold resources.
  std::vector<TaskAttempt> attempts;
  uint32_t active_attempts = 0;
  double used_cores = 0;
  double used_gpus = 0;
  double used_memory_gb = 0;
  double service_cores = 0;
  double preemptible_cores = 0;
};

}  // namespace deckhall
