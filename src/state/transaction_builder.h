// Combines pages into one compare-and-swap transaction.
//
// The transaction is committed only if the leader key still has the version of this term and every
// page has the version last seen (PROTOCOL, "POST /txn"). Sending it again after an indeterminate
// outcome is therefore safe: at most one of the attempts is executed.
//
// Used by GroupCommit, one builder for each transaction.
#pragma once

#include <string>
#include <vector>

#include "state/page_splitter.h"
#include "state/record_pages.h"

namespace deckhall {

// A transaction that writes pages.
struct PageTransaction {
  Transaction transaction;
  std::vector<PageIndex> pages;
  size_t request_bytes = 0;        // estimated size of the request
  size_t largest_value_bytes = 0;  // size of the largest value
};

class TransactionBuilder {
 public:
  // `leadership` is the precondition that holds during this leader's term.
  TransactionBuilder(const Precondition& leadership, const RecordStoreLimits* limits,
                     RecordPages* pages, const PageSplitter* splitter);

  bool IsEmpty() const { return result_.pages.empty(); }
  // Whether this page, with the pages that must be committed with it, may be added, given the
  // operation limit and the isolation of rejected pages.
  bool MayJoin(PageIndex origin) const;
  // Adds the page, with the pages that must be committed with it, and marks them as in flight.
  // Returns false and adds nothing if their sizes do not allow it. `now` is steady time in seconds.
  bool AddPage(PageIndex origin, double now);
  // The transaction with all pages added so far.
  const PageTransaction& result() const { return result_; }

 private:
  // The pages of one AddPage, with their values.
  struct EncodedPages {
    std::vector<PageIndex> pages;
    std::vector<std::string> values;
    size_t request_bytes = 0;
    size_t largest_value_bytes = 0;
  };
  EncodedPages EncodePagesCommittedWith(PageIndex origin) const;
  bool MayAddOversizedValue(PageIndex origin, size_t value_bytes, double now);
  void Append(EncodedPages encoded);

  const RecordStoreLimits* limits_;
  RecordPages* pages_;
  const PageSplitter* splitter_;
  PageTransaction result_;
};

}  // namespace deckhall
