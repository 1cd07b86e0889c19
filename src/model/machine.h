// A machine as the leader knows it: identity, what its agent reported, commands and probes in
// flight, scheduling constraints, and the attempts on it.
//
// Owned by Fleet, which never removes an entry: `removed` is set instead, so that an index stays
// valid for the term.
//
// Invariant: the sums over attempts equal what the attempts that are not `released` hold; Fleet
// alone changes `attempts` and the sums. `acknowledged_token` falls only when the agent has
// restarted.
//
// Fields ending in `_at`, `_since` and `_until` are seconds of this controller's steady clock;
// `_wall` is time of day in seconds since the epoch.
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
  double discovered_at = 0;  // first known in this term
  double up_at = -1;         // first heartbeat; negative: none
  double idle_since = -1;    // negative: not idle
  bool registered = false;   // named by a stored record, the cloud or a scale-out request
  bool up = false;           // sent a heartbeat
  bool removed = false;
  bool scaling_in = false;   // to be returned to the cloud
  bool return_sent = false;  // the cloud was asked to take it back

  // Failover reconciliation.
  bool reconciled = false;               // every attempt that can be on it is known
  bool may_run_former_attempts = false;  // an earlier leader may have placed tasks on it

  // Version of the last heartbeat, and fencing. See PROTOCOL, "Tokens".
  uint64_t agent_epoch = 1;
  uint64_t sequence = 0;
  uint64_t fencing_token = 0;       // sent with the next commands
  uint64_t acknowledged_token = 0;  // highest token the agent has shown
  bool suspected = false;           // sent a heartbeat that contradicts its history: probe it soon

  // Liveness: heartbeats received, and how the agent is reached from here.
  bool partitioned = false;            // silent, in a zone that is cut off: probably alive
  int unreachable_count = 0;           // probes without response since last_acknowledged_at
  double unreachable_since = -1;       // the first of them; negative: none
  double last_heard_at = -1e9;         // last heartbeat or response
  double lease_renewed_at = -1e9;      // last heartbeat answered with 200
  double last_acknowledged_at = -1e9;  // last proof that it receives what is sent to it

  // Bound on lease expiry: no heartbeat was answered since this time of day; negative: not
  // stated. It is in the record, so that a later leader knows when the lease ends; heartbeats
  // are answered again only after its withdrawal is durable.
  double unrenewed_since_wall = -1;
  bool withdrawing_expiry_bound = false;  // the withdrawal is not durable yet

  // Direct commands and probes.
  bool command_in_flight = false;
  bool probe_in_flight = false;
  bool queued_for_update = false;    // in the queue of changed machines, see Fleet::PopChanged
  int command_failures = 0;          // in a row
  int probe_failures = 0;            // in a row
  double command_backoff_until = 0;  // no direct command before
  double probe_backoff_until = 0;    // no probe before

  // Scheduling constraints.
  bool unschedulable = false;        // gets no new tasks
  bool cordoned = false;             // gets no new tasks since a drain names it
  bool scale_in_when_empty = false;  // a drain wants it returned once it is empty
  bool consolidating = false;        // its replicas are moved elsewhere, then it is returned
  double consolidating_since = 0;
  double last_move_at = -1e9;  // last replica told to move
  double preemption_at = -1;   // the cloud takes the spot machine away; negative: no notice
  double no_room_until = 0;    // an attempt was refused for lack of room: none before
  double quarantined_until = 0;
  int quarantine_count = 0;  // since the last success on it
  int task_failures = 0;     // since the last success or quarantine

  // Capacity.
  bool capacity_stale = true;           // FreeCapacity has to read it again
  std::vector<uint32_t> cached_images;  // in JobStore::images; likely cached, latest use last

  // Attempts, and sums over those that hold resources.
  std::vector<TaskAttempt> attempts;
  uint32_t active_attempts = 0;
  double used_cores = 0;
  double used_gpus = 0;
  double used_memory_gb = 0;
  double service_cores = 0;
  double preemptible_cores = 0;
};

}  // namespace deckhall
