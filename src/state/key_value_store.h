// What the control code asks of the state service: a small key-value store with strong
// consistency, compare-and-swap transactions and leases (PROTOCOL, "Controller nodes -> state
// service").
//
// Guarantees: every call leads to exactly one call of its `done`, never from within the call
// itself. Calls that are sent at the same time may be executed in any order.
//
// Implemented by KeyValueClient over HTTP, and by fakes in tests. The owner is the process; users
// hold a pointer, and must outlive the requests they sent. One thread, that of the event loop.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "wire/key_value_codec.h"

namespace deckhall {

// How a request ended, and what the caller may conclude about its execution.
enum class KeyValueStatus {
  // Executed.
  kOk,
  // Not executed, and never will be: a compare-and-swap condition did not hold (409), the lease
  // has ended (404), or a watch is too far behind (410). The caller has to read again.
  kConflict,
  // Not executed, and never will be in this form: the request itself is rejected (400), for
  // example as too large.
  kInvalid,
  // Not executed, and never will be: above a rate limit (429 or the client's own token bucket),
  // an outage (503), or not sent. The caller may retry after a backoff.
  kUnavailable,
  // Indeterminate outcome: no response, or none that could be read. The request may have been
  // executed, or may yet be executed later. Only a request whose conditions exclude a second
  // execution may be sent again.
  kIndeterminate
};

// The response to any request. Fields that the request doesn't name are not set.
struct KeyValueResponse {
  KeyValueStatus status = KeyValueStatus::kIndeterminate;
  // Commit, Watch, List, and Get of a missing key: the revision. GrantLease: the lease.
  uint64_t number = 0;
  bool found = false;             // Get: the key exists
  bool truncated = false;         // List: there are further keys after the last entry
  std::vector<KeyValue> entries;  // Get: at most one; List: sorted by key
};

class KeyValueStore {
 public:
  using Done = std::function<void(KeyValueResponse)>;
  virtual ~KeyValueStore() = default;

  // Executes all mutations atomically if every precondition holds. All keys written get the
  // response's revision as their version. Version 0 in a precondition: the key does not exist.
  virtual void Commit(const Transaction& transaction, Done done) = 0;
  // Reads one key. A missing key is kOk with `found` false.
  virtual void Get(const std::string& key, Done done) = 0;
  // Reads the keys with this prefix that sort after `after`; "" begins with the first.
  virtual void List(const std::string& prefix, const std::string& after, Done done) = 0;
  // Creates a lease that ends `ttl_ms` milliseconds after its last renewal. When it ends, the
  // keys attached to it are removed.
  virtual void GrantLease(int ttl_ms, Done done) = 0;
  // Renews a lease; kConflict if it has ended. No response within `timeout_s` seconds is
  // kIndeterminate: the lease may have been renewed.
  virtual void KeepAliveLease(uint64_t lease, double timeout_s, Done done) = 0;
  // Ends a lease; kConflict if it has ended before.
  virtual void RevokeLease(uint64_t lease, Done done) = 0;
  // Waits until a key with the prefix has changed after revision `after`, for at most `hold_ms`
  // milliseconds; kConflict if that revision is too old to watch from.
  virtual void Watch(const std::string& prefix, uint64_t after, int hold_ms, Done done) = 0;
  // The level of the write token bucket, in puts. Commit takes one for each mutation; callers
  // leave some of them for writes of higher priority.
  virtual double AvailableWriteTokens() = 0;
};

}  // namespace deckhall
