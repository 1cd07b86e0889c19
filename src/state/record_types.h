// Identifiers, limits and priorities shared by the parts of the record store.
//
// A record is a small JSON text. Records are grouped into pages: a page is one key of the state
// service, and its value is the JSON array of its records.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "model/record_id.h"

namespace deckhall {

// Identifies a page in the memory of this process; it is not persisted.
using PageIndex = uint32_t;
constexpr PageIndex kNoPage = UINT32_MAX;

// A page key is this prefix followed by a decimal number of at least six digits.
constexpr std::string_view kPageKeyPrefix = "deckhall/pages/";
// Size of the value of a page without records: the brackets of an empty JSON array.
constexpr size_t kEmptyPageBytes = 2;
// Bytes of a page that are not available to a single record: the brackets, and a margin.
constexpr size_t kPageOverheadBytes = 16;

// How soon a changed record must be written. A higher value is more urgent.
enum class WritePriority : uint8_t {
  kBackground,  // after `background_delay_s`, batched, as far as the write budget allows
  kDeferred,    // after `deferred_delay_s`, following immediate writes
  kImmediate,   // at once, as a client waits for the commit
};

// Limits of the state service, and the delays that batch writes. Sizes are in bytes, delays in
// seconds. The limits are those of PROTOCOL, "POST /txn" and "Limits and errors".
struct RecordStoreLimits {
  // Largest value that remains accepted: the smaller of the current and the announced limit.
  size_t max_value_bytes = 8 << 10;
  // Reserved size up to which further records are added to a page.
  size_t fill_bytes = 8 << 10;
  // Largest value accepted until the announced limits take effect.
  size_t current_max_value_bytes = 8 << 10;
  // Largest number of puts and deletes in one transaction.
  size_t max_transaction_ops = 12;
  // Burst of the write token bucket, in puts.
  double write_burst = 16;
  // How long a background write waits for others to be batched with.
  double background_delay_s = 0.7;
  // How long a deferred write waits before it is due.
  double deferred_delay_s = 0.4;
};

}  // namespace deckhall
