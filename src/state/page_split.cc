#include "state/page_split.h"

#include <algorithm>

namespace deckhall {
namespace {

// Of a page, what its brackets take.
constexpr size_t kBrackets = 2;

// First fit: each row goes to the first page with room. One that is larger than a page
// gets a page of its own.
RecordGroups Pack(const std::vector<RecordSize>& rows, size_t RecordSize::*size,
                  size_t page_bytes) {
  RecordGroups groups;
  std::vector<size_t> used;
  for (size_t i = 0; i < rows.size(); ++i) {
    const size_t bytes = rows[i].*size;
    size_t at = 0;
    while (at < groups.size() && used[at] + bytes > page_bytes) ++at;
    if (at == groups.size()) {
      groups.emplace_back();
      used.push_back(kBrackets);
    }
    groups[at].push_back(i);
    used[at] += bytes;
  }
  return groups;
}

}  // namespace

RecordGroups PlanPageSplit(const std::vector<RecordSize>& rows, const SplitLimits& limits) {
  RecordGroups groups = Pack(rows, &RecordSize::reserve, limits.fill_bytes);
  // Tight pages are split again later; what matters now is one transaction.
  if (groups.size() > limits.max_pages)
    groups = Pack(rows, &RecordSize::text, limits.max_value_bytes);
  const size_t most = std::max<size_t>(limits.max_pages, 1);
  while (groups.size() > most) {
    std::vector<size_t> rest = std::move(groups.back());
    groups.pop_back();
    groups.front().insert(groups.front().end(), rest.begin(), rest.end());
  }
  return groups;
}

}  // namespace deckhall
