// Messages of the state service (PROTOCOL, "Controller nodes -> state service").
//
// Values are JSON text: one that was read is rendered anew, without white space.
// Functions keep no state and are safe to call from anywhere. A decoder's result is empty
// when the body is malformed.
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
  uint64_t version = 0;  // the revision of its last change
};

// The transaction is carried out only when the key has this version.
struct Precondition {
  std::string key;
  uint64_t version = 0;  // 0: the key doesn't exist
};

// A put, or a delete.
struct Mutation {
  std::string key;
  std::string value;   // JSON text; empty deletes
  uint64_t lease = 0;  // the key goes when this lease ends; 0: it stays
};

// A compare-and-swap: all mutations, or none.
struct Transaction {
  std::vector<Precondition> preconditions;
  std::vector<Mutation> mutations;
};

// Entries in the order of their keys.
struct KeyValuePage {
  std::vector<KeyValue> entries;
  bool truncated = false;  // more follow the last one
  uint64_t revision = 0;   // of the store, at the time of the list
};

std::string EncodeTransaction(const Transaction& transaction);
// `ttl_ms`: the lease ends when it is not kept alive for so many milliseconds.
std::string EncodeLeaseGrant(int ttl_ms);

std::optional<KeyValue> DecodeKeyValue(std::string_view body);
std::optional<KeyValuePage> DecodeKeyValues(std::string_view body);
// Any answer with a revision: a transaction's, a watch's, a 404's.
std::optional<uint64_t> DecodeRevision(std::string_view body);
// The lease's id, never 0.
std::optional<uint64_t> DecodeLeaseGrant(std::string_view body);

}  // namespace deckhall
