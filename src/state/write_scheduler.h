// Which dirty pages are due, and whether the write budget allows sending them.
//
// Guarantees: pure decisions over RecordPages; nothing is changed here. A write of lower
// priority leaves write tokens for those of higher priority, and its effective priority rises
// with its age, so that a steady flow of immediate writes can't starve it.
//
// Owned by GroupCommit.
#pragma once

#include <vector>

#include "state/record_pages.h"

namespace deckhall {

// A page whose changes are to be written now.
struct DuePage {
  PageIndex index = kNoPage;
  WritePriority priority = WritePriority::kBackground;  // effective
  double dirty_since = 0;                               // steady time, in seconds
};

class WriteScheduler {
 public:
  WriteScheduler(const RecordPages* pages, const RecordStoreLimits* limits)
      : pages_(pages), limits_(limits) {}

  // The pages to write at steady time `now`, the highest effective priority first, then the
  // oldest change. While a transaction is in flight, background writes are not due.
  std::vector<DuePage> ListDuePages(double now, bool has_transaction_in_flight) const;

  // Whether `puts` puts that have to go together may be sent at this priority, with
  // `available_tokens` in the write token bucket.
  bool HasWriteBudget(size_t puts, double available_tokens, WritePriority priority) const;

 private:
  bool IsDue(PageIndex page_index, WritePriority priority, double now,
             bool has_transaction_in_flight) const;
  WritePriority EffectivePriority(const DirtyState& changes, double now) const;
  bool HasSinglePutBudget(double available_tokens, WritePriority priority) const;
  // Waiting for more tokens than this could take for ever: the bucket may never be full.
  double UsableBurst() const;

  const RecordPages* pages_;
  const RecordStoreLimits* limits_;
};

}  // namespace deckhall
