// Interface to the state service: a small key-value store with strong consistency,
// compare-and-swap transactions and leases (PROTOCOL, "Controller nodes -> state service").
//
// Guarantees: every call invokes its `done` exactly once, and never from within the call itself.
// Concurrent calls may be executed in any order.
//
// Implemented by KeyValueClient over HTTP, and by fakes in tests. Owned by the process. A response
// may come at any time: users that are destroyed earlier bind `done` to a CallbackScope, as
// ScopedKeyValueStore does. All calls are made on the event loop's thread.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "wire/key_value_codec.h"

namespace deckhall {

// The outcome of a request, and whether it was executed.
enum class KeyValueStatus {
  // Executed.
  kOk,
  // Not executed, and never will be: a compare-and-swap condition did not hold (409), the lease
  // has ended (404), or a watch is too far behind (410). The caller must read again.
  kConflict,
  // Not executed, and never will be in this form: the request itself was rejected (400), for
  // example because it is too large.
  kInvalid,
  // Not executed, and never will be: it exceeded a rate limit (429 or the client's own token
  // bucket), the service has an outage (503), or it was not sent. The caller may retry after a
  // backoff.
  kUnavailable,
  // Indeterminate outcome: no response was received, or it could not be decoded. The request may
  // have been executed, or may still be executed later. It may be sent again only if its
  // preconditions exclude a second execution.
  kIndeterminate
};

// The response to a request. Each field is set only for the requests named at it.
struct KeyValueResponse {
  KeyValueStatus status = KeyValueStatus::kIndeterminate;
  // Commit, Watch, List, and Get of a missing key: the revision. GrantLease: the lease id.
  uint64_t revision_or_lease = 0;
  bool found = false;             // Get: the key exists
  bool truncated = false;         // List: more keys follow the last entry
  std::vector<KeyValue> entries;  // Get: at most one; List: sorted by key
};

class KeyValueStore {
 public:
  using Done = std::function<void(KeyValueResponse)>;
  virtual ~KeyValueStore() = default;

  // Executes all mutations atomically if every precondition holds. The version of every written
  // key becomes the response's revision. A precondition with version 0 requires that the key does
  // not exist.
  virtual void Commit(const Transaction& transaction, Done done) = 0;
  // Reads one key. For a missing key the response is kOk with `found` false.
  virtual void Get(const std::string& key, Done done) = 0;
  // Reads the keys with this prefix that sort after `after`; all of them if `after` is empty.
  virtual void List(const std::string& prefix, const std::string& after, Done done) = 0;
  // Creates a lease that expires `ttl_ms` milliseconds after its last renewal. When it ends, the
  // keys attached to it are removed.
  virtual void GrantLease(int ttl_ms, Done done) = 0;
  // Renews a lease; kConflict if it has ended. If there is no response within `timeout_s` seconds,
  // the outcome is kIndeterminate: the lease may have been renewed.
  virtual void KeepAliveLease(uint64_t lease, double timeout_s, Done done) = 0;
  // Ends a lease; kConflict if it has already ended.
  virtual void RevokeLease(uint64_t lease, Done done) = 0;
  // Waits until a key with the prefix has changed after revision `after`, for at most `hold_ms`
  // milliseconds; kConflict if that revision is too old to watch from.
  virtual void Watch(const std::string& prefix, uint64_t after, int hold_ms, Done done) = 0;
  // The level of the write token bucket, in puts. Commit takes one token per mutation; callers
  // leave some tokens for writes of higher priority.
  virtual double AvailableWriteTokens() = 0;
};

}  // namespace deckhall
