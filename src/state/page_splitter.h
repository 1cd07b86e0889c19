// Splits pages that are larger than the state service accepts.
//
// Pages may have been filled under larger limits than those in force. A split first moves records
// to new pages in memory; the pages of the split are then written in one transaction. Until that
// transaction is committed (ConfirmSplit) or rejected (UndoSplit), SplitState links the pages.
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

  // Whether the page may outgrow the value limit and can be split.
  bool IsOversized(PageIndex page_index) const;
  // Makes all oversized pages due as background writes. They are split when they are sent.
  void ScheduleOversizedPages();

  // Moves records of an oversized page to new pages, at most as many pages as one transaction can
  // write. Does nothing if the records can't be distributed.
  void SplitPage(PageIndex origin);
  // Called when the transaction with the split was committed. Its pages become independent.
  void ConfirmSplit(PageIndex origin);
  // Called when the transaction with the split was rejected. Its records return to the origin.
  void UndoSplit(PageIndex origin);

  // Returns the pages that must be written in one transaction: all pages of the split with this
  // origin, or only the page itself.
  std::vector<PageIndex> PagesCommittedWith(PageIndex origin) const;

 private:
  RecordPages* pages_;
  const RecordStoreLimits* limits_;
};

}  // namespace deckhall
