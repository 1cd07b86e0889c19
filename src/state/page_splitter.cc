#include "state/page_splitter.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "state/page_split.h"

namespace deckhall {

bool PageSplitter::IsOversized(PageIndex page_index) const {
  const RecordPage& page = pages_->page(page_index);
  return page.reserved_bytes > limits_->max_value_bytes && page.records.size() > 1 &&
         !page.split.IsSplitting();
}

void PageSplitter::ScheduleOversizedPages() {
  size_t oversized = 0;
  for (PageIndex i = 0; i < pages_->page_count(); ++i) {
    if (!IsOversized(i)) continue;
    ++oversized;
    pages_->MarkDirty(i, WritePriority::kBackground);
    // Due at once, without the delay that batches background writes.
    pages_->page(i).changes.dirty_since -= limits_->background_delay_s;
  }
  if (oversized == 0) return;
  spdlog::info("oversized_pages={} pages={} max_value_bytes={}: splitting oversized pages",
               oversized, pages_->page_count(), limits_->max_value_bytes);
}

void PageSplitter::SplitPage(PageIndex origin) {
  std::vector<RecordSize> sizes;
  sizes.reserve(pages_->page(origin).records.size());
  for (RecordId record_id : pages_->page(origin).records) {
    const StoredRecord& record = pages_->record(record_id);
    sizes.push_back({record.reserve_bytes, record.text.size() + 1});
  }
  const SplitLimits limits{limits_->fill_bytes, limits_->max_value_bytes,
                           limits_->max_transaction_ops};
  const RecordGroups groups = PlanPageSplit(sizes, limits);
  if (groups.size() < 2) return;

  std::vector<PageIndex> parts = {origin};
  while (parts.size() < groups.size()) parts.push_back(pages_->AddPage());
  const std::vector<RecordId> records = pages_->TakeRecords(origin);
  for (size_t group = 0; group < groups.size(); ++group) {
    pages_->page(parts[group]).split.origin = origin;
    for (size_t position : groups[group]) pages_->AppendToPage(records[position], parts[group]);
  }
  SplitState& split = pages_->page(origin).split;
  split.parts = std::move(parts);
  split.indeterminate = false;
}

void PageSplitter::ConfirmSplit(PageIndex origin) {
  RecordPage& origin_page = pages_->page(origin);
  const DirtyState& changes = origin_page.changes;
  for (PageIndex part_index : std::exchange(origin_page.split.parts, {})) {
    RecordPage& part = pages_->page(part_index);
    part.split.origin = kNoPage;
    // MarkDirty recorded the changes of all parts at the origin.
    if (!changes.dirty || part_index == origin) continue;
    part.changes.dirty = true;
    part.changes.priority = std::max(part.changes.priority, changes.priority);
    part.changes.dirty_since = changes.dirty_since;
    part.changes.deferred_since = changes.deferred_since;
  }
}

void PageSplitter::UndoSplit(PageIndex origin) {
  const std::vector<PageIndex> parts = pages_->page(origin).split.parts;
  ConfirmSplit(origin);
  for (PageIndex part : parts) {
    if (part == origin) continue;
    for (RecordId record_id : pages_->TakeRecords(part)) pages_->AppendToPage(record_id, origin);
    pages_->page(part).changes.dirty = false;
  }
}

std::vector<PageIndex> PageSplitter::PagesCommittedWith(PageIndex origin) const {
  const std::vector<PageIndex>& parts = pages_->page(origin).split.parts;
  return parts.empty() ? std::vector<PageIndex>{origin} : parts;
}

}  // namespace deckhall
