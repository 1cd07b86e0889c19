// Plans the distribution of an oversized page's records over several pages. A pure function;
// PageSplitter executes the plan.
#pragma once

#include <cstddef>
#include <vector>

namespace deckhall {

// Sizes of a record in bytes, separator included.
struct RecordSize {
  size_t reserve_bytes = 0;  // size to which the record may grow
  size_t text_bytes = 0;     // size of its current text
};

struct SplitLimits {
  size_t fill_bytes = 0;       // reserved size up to which records are added to a page
  size_t max_value_bytes = 0;  // largest value that the state service accepts
  size_t max_pages = 0;        // largest number of pages that one transaction may write
};

// Positions of the records, grouped by page. The first group stays on the page that is split.
using RecordGroups = std::vector<std::vector<size_t>>;

// Distributes `records`, each to exactly one group, over at most `max_pages` pages (at least one).
// Records are packed by reserved size if that takes at most `max_pages` pages, otherwise by current
// size. Records that fit on none of the pages stay in the first group, which then remains too
// large. A record larger than a page gets a group of its own.
RecordGroups PlanPageSplit(const std::vector<RecordSize>& records, const SplitLimits& limits);

}  // namespace deckhall
