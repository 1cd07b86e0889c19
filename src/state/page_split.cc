#include "state/page_split.h"

#include <algorithm>
#include <utility>

#include "state/record_types.h"

namespace deckhall {
namespace {

// First-fit packing by the member `size`.
RecordGroups PackFirstFit(const std::vector<RecordSize>& records, size_t RecordSize::*size,
                          size_t page_bytes) {
  RecordGroups groups;
  std::vector<size_t> used_bytes;
  for (size_t i = 0; i < records.size(); ++i) {
    const size_t bytes = records[i].*size;
    size_t group = 0;
    while (group < groups.size() && used_bytes[group] + bytes > page_bytes) ++group;
    if (group == groups.size()) {
      groups.emplace_back();
      used_bytes.push_back(kEmptyPageBytes);
    }
    groups[group].push_back(i);
    used_bytes[group] += bytes;
  }
  return groups;
}

// Moves the records of all groups beyond the first `max_groups` to the first group.
void MergeExcessGroups(RecordGroups& groups, size_t max_groups) {
  while (groups.size() > max_groups) {
    const std::vector<size_t> excess = std::move(groups.back());
    groups.pop_back();
    groups.front().insert(groups.front().end(), excess.begin(), excess.end());
  }
}

}  // namespace

RecordGroups PlanPageSplit(const std::vector<RecordSize>& records, const SplitLimits& limits) {
  RecordGroups groups = PackFirstFit(records, &RecordSize::reserve_bytes, limits.fill_bytes);
  // Full pages can be split again later, whereas this split must fit into one transaction.
  if (groups.size() > limits.max_pages)
    groups = PackFirstFit(records, &RecordSize::text_bytes, limits.max_value_bytes);
  MergeExcessGroups(groups, std::max<size_t>(limits.max_pages, 1));
  return groups;
}

}  // namespace deckhall
