// Identifiers, limits and priorities shared by the parts of the record store.
//
// A record is a small JSON text. Records are grouped on pages: a page is one key of the state
// service whose value is the JSON array of its records.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "model/record_id.h"

namespace deckhall {

// Names a page while this process holds it; it is not stored.
using PageIndex = uint32_t;
constexpr PageIndex kNoPage = UINT32_MAX;

// Page keys: this prefix and a decimal number of at least six digits.
constexpr std::string_view kPageKeyPrefix = "deckhall/pages/";
// Bytes of a page without records: the brackets of an empty JSON array.
constexpr size_t kEmptyPageBytes = 2;
// Bytes of a page that a single record can't use: the brackets, with a margin.
constexpr size_t kPageOverheadBytes = 16;

// How soon a changed record has to be durable. A higher value is more urgent.
enum class WritePriority : uint8_t {
  kBackground,  // after `background_delay_s`, with other writes, as the write budget allows
  kDeferred,    // after `deferred_delay_s`, behind immediate writes
  kImmediate,   // at once: somebody waits for the commit
};

// Limits of the state service, and the delays that group writes. Sizes are in bytes, delays in
// seconds. The limits are those of PROTOCOL, "POST /txn" and "Limits and errors".
struct RecordStoreLimits {
  // Largest value that may be relied on: the smaller of the present and the announced limit.
  size_t max_value_bytes = 8 << 10;
  // Reserved size up to which a page takes further records.
  size_t fill_bytes = 8 << 10;
  // Largest value accepted until the announced limits are in force.
  size_t current_max_value_bytes = 8 << 10;
  // Puts and deletes in one transaction.
  size_t max_transaction_ops = 12;
  // Puts that can be sent at once: the burst of the write token bucket.
  double write_burst = 16;
  // How long a background write waits for others to share its transaction.
  double background_delay_s = 0.7;
  // How long a deferred write waits before it is due.
  double deferred_delay_s = 0.4;
};

}  // namespace deckhall
