#include "state/transaction_builder.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "state/rejection_handler.h"

namespace deckhall {
namespace {

// Less than the 64 KiB that the state service allows for a transaction, as sizes are estimates.
constexpr size_t kMaxTransactionBytes = 56 << 10;
// Estimated size of a transaction, and of each page in it, in addition to the values.
constexpr size_t kTransactionOverheadBytes = 200;
constexpr size_t kMutationOverheadBytes = 80;

}  // namespace

TransactionBuilder::TransactionBuilder(const Precondition& leadership,
                                       const RecordStoreLimits* limits, RecordPages* pages,
                                       const PageSplitter* splitter)
    : limits_(limits), pages_(pages), splitter_(splitter) {
  result_.transaction.preconditions.push_back(leadership);
  result_.request_bytes = kTransactionOverheadBytes;
}

bool TransactionBuilder::MayJoin(PageIndex origin) const {
  if (IsEmpty()) return true;
  if (pages_->page(origin).rejection.isolated) return false;
  const size_t puts = splitter_->PagesCommittedWith(origin).size();
  return result_.pages.size() + puts <= limits_->max_transaction_ops;
}

bool TransactionBuilder::AddPage(PageIndex origin, double now) {
  EncodedPages encoded = EncodePagesCommittedWith(origin);
  const size_t largest = std::max(result_.largest_value_bytes, encoded.largest_value_bytes);
  if (largest > limits_->max_value_bytes && !MayAddOversizedValue(origin, largest, now)) {
    return false;
  }
  if (!IsEmpty() && result_.request_bytes + encoded.request_bytes > kMaxTransactionBytes)
    return false;
  Append(std::move(encoded));
  return true;
}

TransactionBuilder::EncodedPages TransactionBuilder::EncodePagesCommittedWith(
    PageIndex origin) const {
  EncodedPages encoded;
  encoded.pages = splitter_->PagesCommittedWith(origin);
  for (PageIndex page_index : encoded.pages) {
    const std::string& value =
        encoded.values.emplace_back(pages_->EncodePage(pages_->page(page_index)));
    encoded.request_bytes += value.size() + kMutationOverheadBytes;
    encoded.largest_value_bytes = std::max(encoded.largest_value_bytes, value.size());
  }
  return encoded;
}

bool TransactionBuilder::MayAddOversizedValue(PageIndex origin, size_t value_bytes, double now) {
  RecordPage& page = pages_->page(origin);
  // It may be rejected together with all pages in its transaction, and would delay the others.
  page.rejection.isolated = true;
  if (value_bytes <= limits_->current_max_value_bytes) return IsEmpty();
  page.rejection.backoff_until = now + kRejectedPageBackoffSeconds;
  if (!std::exchange(page.rejection.oversize_logged, true)) {
    spdlog::error("page={} bytes={}: value exceeds the limit, write postponed", page.key,
                  value_bytes);
  }
  return false;
}

void TransactionBuilder::Append(EncodedPages encoded) {
  result_.request_bytes += encoded.request_bytes;
  result_.largest_value_bytes = std::max(result_.largest_value_bytes, encoded.largest_value_bytes);
  for (size_t i = 0; i < encoded.pages.size(); ++i) {
    const PageIndex page_index = encoded.pages[i];
    const RecordPage& page = pages_->page(page_index);
    result_.transaction.preconditions.push_back({page.key, page.version});
    result_.transaction.mutations.push_back({page.key, std::move(encoded.values[i]), 0});
    result_.pages.push_back(page_index);
    pages_->MarkInFlight(page_index);
  }
}

}  // namespace deckhall
