// Decides which dirty pages are due, and whether the write budget allows sending them.
//
// Guarantees: reads RecordPages without changing it. Writes of lower priority leave write tokens
// for those of higher priority; their effective priority rises with age, so that a steady flow of
// immediate writes can't starve them.
//
// Owned by GroupCommit.
#pragma once

#include <vector>

#include "state/record_pages.h"

namespace deckhall {

// A page whose changes are due to be written.
struct DuePage {
  PageIndex index = kNoPage;
  WritePriority priority = WritePriority::kBackground;  // effective priority
  double dirty_since = 0;                               // steady time, in seconds
};

class WriteScheduler {
 public:
  WriteScheduler(const RecordPages* pages, const RecordStoreLimits* limits)
      : pages_(pages), limits_(limits) {}

  // Returns the pages to write at steady time `now`, by descending effective priority, then by age
  // of the oldest change. While a transaction is in flight, background writes are not due.
  std::vector<DuePage> ListDuePages(double now, bool has_transaction_in_flight) const;

  // Whether `puts` puts that must be sent in one transaction may be sent at this priority, with
  // `available_tokens` in the write token bucket.
  bool HasWriteBudget(size_t puts, double available_tokens, WritePriority priority) const;

 private:
  bool IsDue(PageIndex page_index, WritePriority priority, double now,
             bool has_transaction_in_flight) const;
  WritePriority EffectivePriority(const DirtyState& changes, double now) const;
  bool HasSinglePutBudget(double available_tokens, WritePriority priority) const;
  // The most tokens that a write waits for. As the bucket may never be full, waiting for more could
  // take forever.
  double UsableBurst() const;

  const RecordPages* pages_;
  const RecordStoreLimits* limits_;
};

}  // namespace deckhall
