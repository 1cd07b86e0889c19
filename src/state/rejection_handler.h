// Handles transactions that the state service rejected as invalid.
//
// The limits of the state service can be lowered without notice (PROTOCOL, "POST /txn": 400). As a
// rejection does not state its cause, the cause is narrowed down: pages that were rejected together
// are sent in isolation. If a page is rejected in isolation, its value is too large: the value
// limit is lowered, and the page is split or retried after a backoff.
//
// Guarantees: a page that is always rejected does not delay any other page. Owned by GroupCommit.
#pragma once

#include <vector>

#include "state/page_splitter.h"
#include "state/record_pages.h"

namespace deckhall {

// Backoff after a rejection in isolation, unless the page can be split.
constexpr double kRejectedPageBackoffSeconds = 5;

class RejectionHandler {
 public:
  // `limits` is lowered by this class when rejections show that smaller ones are in force.
  RejectionHandler(const Clock* clock, RecordStoreLimits* limits, RecordPages* pages,
                   PageSplitter* splitter)
      : clock_(clock),
        limits_(limits),
        configured_max_ops_(limits->max_transaction_ops),
        pages_(pages),
        splitter_(splitter) {}

  // Called when a transaction was committed whose largest value had this size. Values up to this
  // size are then not the cause of later rejections.
  void NoteAcceptedValue(size_t value_bytes);
  // Called when the transaction with these pages was rejected. `largest_value_bytes` is the size
  // of its largest value.
  void HandleRejection(const std::vector<PageIndex>& rejected_pages, size_t largest_value_bytes);

 private:
  void IsolatePages(const std::vector<PageIndex>& rejected_pages);
  void HandleIsolatedRejection(PageIndex page_index, size_t value_bytes);
  void LowerValueLimit(size_t rejected_bytes);

  const Clock* clock_;
  RecordStoreLimits* limits_;
  size_t configured_max_ops_;
  size_t largest_accepted_bytes_ = 0;  // largest value committed since pages were last isolated
  RecordPages* pages_;
  PageSplitter* splitter_;
};

}  // namespace deckhall
