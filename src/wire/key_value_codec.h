// JSON codec of the state service (PROTOCOL, "Controller nodes -> state service").
//
// Values are JSON text. Decoded values are serialized again, without white space.
// All functions are stateless and thread-safe. Decoders return nothing if the body is malformed.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/json.h"

namespace deckhall {

struct KeyValue {
  std::string key;
  std::string value;     // JSON text
  uint64_t version = 0;  // revision of the last change of the key
};

// The transaction is committed only if the key has this version.
struct Precondition {
  std::string key;
  uint64_t version = 0;  // 0 if the key must not exist
};

// Writes or deletes a key.
struct Mutation {
  std::string key;
  std::string value;   // JSON text; the key is deleted if empty
  uint64_t lease = 0;  // the key is deleted when this lease ends; 0 for no lease
};

// Atomic compare-and-swap: applies all mutations if every precondition holds, else none.
struct Transaction {
  std::vector<Precondition> preconditions;
  std::vector<Mutation> mutations;
};

// One page of entries, sorted by key.
struct KeyValuePage {
  std::vector<KeyValue> entries;
  bool truncated = false;  // further pages follow
  uint64_t revision = 0;   // of the store when the page was read
};

std::string EncodeTransaction(const Transaction& transaction);
// The lease ends if it is not renewed for `ttl_ms` milliseconds.
std::string EncodeLeaseGrant(int ttl_ms);

std::optional<KeyValue> DecodeKeyValue(std::string_view body);
std::optional<KeyValuePage> DecodeKeyValues(std::string_view body);
// Reads the revision from the response to a transaction or a watch, or from a 404.
std::optional<uint64_t> DecodeRevision(std::string_view body);
// Id of the lease, never 0.
std::optional<uint64_t> DecodeLeaseGrant(std::string_view body);

}  // namespace deckhall
