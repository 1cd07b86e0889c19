// The state service's messages.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/json.h"

namespace deckhall {

struct KeyValue {
  std::string key;
  std::string value;  // JSON text
  uint64_t version = 0;
};

struct Precondition {
  std::string key;
  uint64_t version = 0;
};

struct Mutation {
  std::string key;
  std::string value;  // JSON text; empty deletes
  uint64_t lease = 0;
};

struct Transaction {
  std::vector<Precondition> preconditions;
  std::vector<Mutation> mutations;
};

std::string EncodeTransaction(const Transaction& transaction);
std::string EncodeLeaseGrant(int ttl_ms);
bool DecodeKeyValue(std::string_view body, KeyValue* out);
bool DecodeKeyValues(std::string_view body, std::vector<KeyValue>* rows, bool* truncated,
                     uint64_t* revision);
// Any answer with a revision: a transaction's, a watch's, a 404's.
bool DecodeRevision(std::string_view body, uint64_t* revision);
bool DecodeLeaseGrant(std::string_view body, uint64_t* lease);

}  // namespace deckhall
