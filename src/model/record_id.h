// The id by which a job or a machine names its durable record.
//
// `RecordId` and `kNoRecord` are still defined next to the record store, which hands the ids out
// and guarantees that an id is not used again while its record exists. This header is the only
// place in src/model that depends on src/state.
#pragma once

#include "state/record_store.h"
