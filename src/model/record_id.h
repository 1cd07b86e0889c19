// The id by which a job or a machine names its durable record.
#pragma once

#include <cstdint>

namespace deckhall {

// Names a record while this process holds it; it is not stored. RecordStore hands the ids out; the
// id of a removed record is given to a later one.
using RecordId = uint32_t;
constexpr RecordId kNoRecord = UINT32_MAX;

}  // namespace deckhall
