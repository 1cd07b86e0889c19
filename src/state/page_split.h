// Distributes the records of an oversized page over several pages. A pure function: PageSplitter
// carries the plan out.
#pragma once

#include <cstddef>
#include <vector>

namespace deckhall {

// Sizes of a record in bytes, its separator included.
struct RecordSize {
  size_t reserve_bytes = 0;  // to which the record may grow
  size_t text_bytes = 0;     // of its present text
};

struct SplitLimits {
  size_t fill_bytes = 0;       // reserved size up to which a page is filled
  size_t max_value_bytes = 0;  // largest value that the state service accepts
  size_t max_pages = 0;        // pages that one transaction may write
};

// Positions of the records, by page. The first group stays on the page that is split.
using RecordGroups = std::vector<std::vector<size_t>>;

// Distributes `records`, each to exactly one group, over at most `max_pages` pages (at least
// one). By reserved size if that takes few enough pages, else by present size. Records without a
// place stay in the first group, which then remains too large. A record larger than a page gets
// a group of its own.
RecordGroups PlanPageSplit(const std::vector<RecordSize>& records, const SplitLimits& limits);

}  // namespace deckhall
