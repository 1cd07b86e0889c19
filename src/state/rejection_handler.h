// What the record store does after the state service rejected a transaction as invalid.
//
// The limits of the state service can be lowered without notice (PROTOCOL, "POST /txn": 400).
// A rejection does not name its cause, so it is narrowed down: pages that were rejected together
// are sent in isolation; a page that was rejected in isolation shows that its value is too large,
// lowers the limit, and is split or retried after a backoff.
//
// Guarantees: a page that is always rejected holds up no other page. Owned by GroupCommit.
#pragma once

#include <vector>

#include "state/page_splitter.h"
#include "state/record_pages.h"

namespace deckhall {

// After a rejection in isolation a page is not sent for this long, unless it can be split.
constexpr double kRejectedPageBackoffSeconds = 5;

class RejectionHandler {
 public:
  // `limits` is lowered here as rejections show smaller ones.
  RejectionHandler(const Clock* clock, RecordStoreLimits* limits, RecordPages* pages,
                   PageSplitter* splitter)
      : clock_(clock),
        limits_(limits),
        configured_max_ops_(limits->max_transaction_ops),
        pages_(pages),
        splitter_(splitter) {}

  // A transaction was committed whose largest value had this size: smaller values are not the
  // cause of later rejections.
  void NoteAcceptedValue(size_t value_bytes);
  // The transaction that wrote these pages was rejected. `largest_value_bytes` is the size of
  // its largest value.
  void HandleRejection(const std::vector<PageIndex>& rejected_pages, size_t largest_value_bytes);

 private:
  void IsolatePages(const std::vector<PageIndex>& rejected_pages);
  void HandleIsolatedRejection(PageIndex page_index, size_t value_bytes);
  void LowerValueLimit(size_t rejected_bytes);

  const Clock* clock_;
  RecordStoreLimits* limits_;
  size_t configured_max_ops_;
  size_t accepted_bytes_ = 0;  // largest value committed since pages were last isolated
  RecordPages* pages_;
  PageSplitter* splitter_;
};

}  // namespace deckhall
