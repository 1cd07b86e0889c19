// How the rows of a page are shared out among smaller pages. Pure.
#pragma once

#include <cstddef>
#include <vector>

namespace deckhall {

struct RecordSize {
  size_t reserve = 0;  // to which the row may grow, its separator included
  size_t text = 0;     // what it takes now, its separator included
};

struct SplitLimits {
  size_t fill_bytes = 0;       // to which pages are filled
  size_t max_value_bytes = 0;  // of a value, or it is refused
  size_t max_pages = 0;        // that one transaction may write
};

// Row numbers by page; the first group stays on the page that is split. Rows that have
// no place in `most_pages` pages stay there too, and then it remains too large.
using RecordGroups = std::vector<std::vector<size_t>>;

RecordGroups PlanPageSplit(const std::vector<RecordSize>& rows, const SplitLimits& limits);

}  // namespace deckhall
