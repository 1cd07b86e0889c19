// The id by which a job or a machine refers to its durable record.
#pragma once

#include <cstdint>

namespace deckhall {

// Identifies a record in the memory of this process; it is not persisted. RecordStore assigns the
// ids and reuses those of removed records.
using RecordId = uint32_t;
constexpr RecordId kNoRecord = UINT32_MAX;

}  // namespace deckhall
