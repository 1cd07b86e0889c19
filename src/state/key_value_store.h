// What the core asks of the state service.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "wire/key_value_codec.h"

namespace deckhall {

enum class KeyValueStatus {
  kOk,
  kConflict,      // a condition did not hold, or a lease is gone
  kInvalid,       // surely not executed, nor ever as it is: 400
  kUnavailable,   // surely not executed: 429, 503, budget
  kIndeterminate  // no answer: executed, or not, or later
};

struct KeyValueResponse {
  KeyValueStatus status = KeyValueStatus::kIndeterminate;
  uint64_t number = 0;  // revision, or the lease granted
  bool found = false;   // Get
  bool truncated = false;
  std::vector<KeyValue> entries;
};

class KeyValueStore {
 public:
  using Done = std::function<void(KeyValueResponse)>;
  virtual ~KeyValueStore() = default;

  virtual void Commit(const Transaction& transaction, Done done) = 0;
  virtual void Get(const std::string& key, Done done) = 0;
  virtual void List(const std::string& prefix, const std::string& after, Done done) = 0;
  virtual void GrantLease(int ttl_ms, Done done) = 0;
  virtual void KeepAliveLease(uint64_t lease, double timeout_s, Done done) = 0;
  virtual void RevokeLease(uint64_t lease, Done done) = 0;
  // Returns when a key with the prefix changed after the revision, or in time.
  virtual void Watch(const std::string& prefix, uint64_t after, int hold_ms, Done done) = 0;
  // How many puts may go out now, leaving a part for what can't wait.
  virtual double AvailableWriteTokens() = 0;
};

}  // namespace deckhall
