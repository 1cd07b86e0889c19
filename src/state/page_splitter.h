// Splits pages that are larger than the state service accepts.
//
// Pages may have been filled under larger limits than those in force. A split moves records to
// new pages in memory first; the pages of the split are then written in one transaction. Until
// that transaction is committed (ConfirmSplit) or rejected (UndoSplit), SplitState ties the
// pages together.
//
// Guarantees: every record stays on exactly one page, in memory and in the state service.
// Owned by RecordStore.
#pragma once

#include <vector>

#include "state/record_pages.h"

namespace deckhall {

class PageSplitter {
 public:
  PageSplitter(RecordPages* pages, const RecordStoreLimits* limits)
      : pages_(pages), limits_(limits) {}

  // Whether the page could outgrow the limit for values, and can be split.
  bool IsOversized(PageIndex page_index) const;
  // Makes all oversized pages due as background writes; they are split when they are sent.
  void ScheduleOversizedPages();

  // Moves records of an oversized page to new pages, as many as one transaction can write.
  // Does nothing if its records can't be distributed.
  void SplitPage(PageIndex origin);
  // The transaction with the split was committed: its pages are independent.
  void ConfirmSplit(PageIndex origin);
  // The transaction with the split was rejected: its records return to the origin.
  void UndoSplit(PageIndex origin);

  // The pages that one transaction has to write together: all of the split that has this
  // origin, or the page alone.
  std::vector<PageIndex> PagesCommittedWith(PageIndex origin) const;

 private:
  RecordPages* pages_;
  const RecordStoreLimits* limits_;
};

}  // namespace deckhall
