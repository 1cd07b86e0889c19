// The state service's messages.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/json.h"

namespace deckhall {

struct KvRow {
  std::string key;
  std::string value;  // JSON text
  uint64_t version = 0;
};

struct TxnCondition {
  std::string key;
  uint64_t version = 0;
};

struct TxnWrite {
  std::string key;
  std::string value;  // JSON text; empty deletes
  uint64_t lease = 0;
};

struct Txn {
  std::vector<TxnCondition> conditions;
  std::vector<TxnWrite> writes;
};

std::string EncodeTxn(const Txn& txn);
std::string EncodeGrant(int ttl_ms);
bool DecodeRow(std::string_view body, KvRow* out);
bool DecodeRows(std::string_view body, std::vector<KvRow>* rows, bool* truncated,
                uint64_t* revision);
// Any answer with a revision: a transaction's, a watch's, a 404's.
bool DecodeRevision(std::string_view body, uint64_t* revision);
bool DecodeGrant(std::string_view body, uint64_t* lease);

}  // namespace deckhall
