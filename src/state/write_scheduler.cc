#include "state/write_scheduler.h"

#include <algorithm>

namespace deckhall {
namespace {

// A deferred write becomes immediate after this multiple of `deferred_delay_s`.
constexpr double kDeferredMaxDelays = 3;
// Age at which a background write becomes deferred.
constexpr double kBackgroundMaxDelaySeconds = 5;
// Write tokens reserved for immediate writes.
constexpr double kWriteTokensKeptForImmediate = 2;
// Largest share of the burst that a write waits for.
constexpr double kUsableBurstShare = 0.9;

bool IsMoreUrgent(const DuePage& a, const DuePage& b) {
  return a.priority != b.priority ? a.priority > b.priority : a.dirty_since < b.dirty_since;
}

}  // namespace

std::vector<DuePage> WriteScheduler::ListDuePages(double now,
                                                  bool has_transaction_in_flight) const {
  std::vector<DuePage> due;
  for (PageIndex i = 0; i < pages_->page_count(); ++i) {
    const DirtyState& changes = pages_->page(i).changes;
    const WritePriority priority = EffectivePriority(changes, now);
    if (!IsDue(i, priority, now, has_transaction_in_flight)) continue;
    due.push_back({i, priority, changes.dirty_since});
  }
  std::stable_sort(due.begin(), due.end(), IsMoreUrgent);
  return due;
}

bool WriteScheduler::IsDue(PageIndex page_index, WritePriority priority, double now,
                           bool has_transaction_in_flight) const {
  const RecordPage& page = pages_->page(page_index);
  if (!page.changes.dirty || page.in_flight || now < page.rejection.backoff_until) return false;
  // The other pages of a split are written together with their origin.
  if (page.split.IsSplitting() && page.split.origin != page_index) return false;
  if (priority != WritePriority::kBackground) return true;
  // Background writes are batched, so that more changes share a transaction and take fewer puts.
  return now - page.changes.dirty_since >= limits_->background_delay_s &&
         !has_transaction_in_flight;
}

WritePriority WriteScheduler::EffectivePriority(const DirtyState& changes, double now) const {
  switch (changes.priority) {
    case WritePriority::kImmediate:
      break;
    case WritePriority::kDeferred: {
      const double waiting_s = now - changes.deferred_since;
      if (waiting_s < limits_->deferred_delay_s) return WritePriority::kBackground;
      return waiting_s < kDeferredMaxDelays * limits_->deferred_delay_s ? WritePriority::kDeferred
                                                                        : WritePriority::kImmediate;
    }
    case WritePriority::kBackground:
      return now - changes.dirty_since < kBackgroundMaxDelaySeconds ? WritePriority::kBackground
                                                                    : WritePriority::kDeferred;
  }
  return WritePriority::kImmediate;
}

bool WriteScheduler::HasWriteBudget(size_t puts, double available_tokens,
                                    WritePriority priority) const {
  if (puts <= 1) return HasSinglePutBudget(available_tokens, priority);
  const double needed_tokens = static_cast<double>(puts) + kWriteTokensKeptForImmediate;
  return available_tokens >= std::min(needed_tokens, UsableBurst());
}

bool WriteScheduler::HasSinglePutBudget(double available_tokens, WritePriority priority) const {
  switch (priority) {
    case WritePriority::kImmediate:
      return available_tokens >= 1;
    case WritePriority::kDeferred:
      return available_tokens >= 1 + kWriteTokensKeptForImmediate;
    case WritePriority::kBackground:
      break;
  }
  const double needed_tokens = std::max(1 + 2 * kWriteTokensKeptForImmediate,
                                        static_cast<double>(limits_->max_transaction_ops) / 3);
  return available_tokens >= std::min(needed_tokens, UsableBurst());
}

double WriteScheduler::UsableBurst() const { return limits_->write_burst * kUsableBurstShare; }

}  // namespace deckhall
