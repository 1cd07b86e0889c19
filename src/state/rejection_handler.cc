#include "state/rejection_handler.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace deckhall {
namespace {

// The value limit is never lowered below this size.
constexpr size_t kMinValueLimitBytes = 256;

// Returns the value limit to try after a value of this size was rejected: three quarters of it.
constexpr size_t NextValueLimit(size_t rejected_bytes) {
  return std::max(kMinValueLimitBytes, rejected_bytes / 4 * 3);
}

// Records fill up to 85 % of the value limit; the rest is left for their growth.
constexpr size_t FillBytes(size_t max_value_bytes) { return max_value_bytes / 20 * 17; }

}  // namespace

void RejectionHandler::NoteAcceptedValue(size_t value_bytes) {
  largest_accepted_bytes_ = std::max(largest_accepted_bytes_, value_bytes);
}

void RejectionHandler::HandleRejection(const std::vector<PageIndex>& rejected_pages,
                                       size_t largest_value_bytes) {
  const PageIndex first = rejected_pages.front();
  if (splitter_->PagesCommittedWith(first).size() < rejected_pages.size()) {
    IsolatePages(rejected_pages);
  } else {
    HandleIsolatedRejection(first, largest_value_bytes);
  }
}

void RejectionHandler::IsolatePages(const std::vector<PageIndex>& rejected_pages) {
  for (PageIndex page_index : rejected_pages) pages_->page(page_index).rejection.isolated = true;
  limits_->max_transaction_ops = std::max<size_t>(1, rejected_pages.size() / 2);
  largest_accepted_bytes_ = 0;
  spdlog::warn(
      "rejected_pages={} max_transaction_ops={}: transaction rejected, operation limit lowered",
      rejected_pages.size(), limits_->max_transaction_ops);
}

void RejectionHandler::HandleIsolatedRejection(PageIndex page_index, size_t value_bytes) {
  const bool was_expected = value_bytes > limits_->max_value_bytes;
  if (was_expected) {
    // The announced limit has taken effect.
    limits_->current_max_value_bytes = limits_->max_value_bytes;
  } else if (value_bytes > largest_accepted_bytes_) {
    LowerValueLimit(value_bytes);
  }
  RecordPage& page = pages_->page(page_index);
  // After an indeterminate outcome the split may have been committed, so it is sent again as is.
  if (!page.split.parts.empty() && !page.split.indeterminate) splitter_->UndoSplit(page_index);
  if (was_expected || !splitter_->IsOversized(page_index)) {
    page.rejection.backoff_until = clock_->Now() + kRejectedPageBackoffSeconds;
  }
}

void RejectionHandler::LowerValueLimit(size_t rejected_bytes) {
  // The rejections were caused by the size of the value, not by the number of operations.
  limits_->max_transaction_ops = configured_max_ops_;
  limits_->max_value_bytes = std::min(limits_->max_value_bytes, NextValueLimit(rejected_bytes));
  limits_->fill_bytes = std::min(limits_->fill_bytes, FillBytes(limits_->max_value_bytes));
  spdlog::warn("rejected_value_bytes={} max_value_bytes={}: value rejected, value limit lowered",
               rejected_bytes, limits_->max_value_bytes);
  splitter_->ScheduleOversizedPages();
}

}  // namespace deckhall
