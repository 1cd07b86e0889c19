// Pages that are larger than the state service will take: how they are split, and what is
// learnt from a transaction that was rejected.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "state/page_split.h"
#include "state/row_store.h"

namespace deckhall {
namespace {

// Of the size of a rejected value, what is tried next; and no limit is taken to be lower.
constexpr size_t kLeastValue = 256;
constexpr size_t NextValueLimit(size_t refused_bytes) {
  return std::max(kLeastValue, refused_bytes / 4 * 3);
}
// To this part of the limit pages are filled.
constexpr size_t FillOf(size_t most_bytes) { return most_bytes / 20 * 17; }

}  // namespace

bool RowStore::TooLarge(const Page& page) const {
  return page.reserved > limits_.most_bytes && page.rows.size() > 1 && page.origin == kNoPage;
}

void RowStore::SplitLargePages() {
  size_t large = 0;
  for (uint32_t i = 0; i < pages_.size(); ++i) {
    if (!TooLarge(pages_[i])) continue;
    ++large;
    // Lazily, behind what users wait for, but not later than other lazy writes.
    MarkDirty(i, WriteUrgency::kLazy);
    pages_[i].since -= limits_.lazy_s;
  }
  if (large > 0) {
    spdlog::info("{} of {} pages are larger than {} bytes: they are split", large, pages_.size(),
                 limits_.most_bytes);
  }
}

void RowStore::Split(uint32_t origin) {
  const std::vector<RowId> rows = pages_[origin].rows;
  std::vector<RowSize> sizes;
  sizes.reserve(rows.size());
  for (RowId id : rows) sizes.push_back({rows_[id].reserve, rows_[id].text.size() + 1});
  const SplitLimits limits{limits_.value_bytes, limits_.most_bytes, limits_.txn_ops};
  const RowGroups groups = PlanSplit(sizes, limits);
  if (groups.size() < 2) return;
  std::vector<uint32_t> parts = {origin};
  for (size_t g = 1; g < groups.size(); ++g) {
    NewPage();
    parts.push_back(static_cast<uint32_t>(pages_.size() - 1));
  }
  pages_[origin].rows.clear();
  pages_[origin].reserved = kEmptyPage;
  for (size_t g = 0; g < groups.size(); ++g) {
    Page& page = pages_[parts[g]];
    page.origin = origin;
    for (size_t k : groups[g]) {
      page.rows.push_back(rows[k]);
      page.reserved += rows_[rows[k]].reserve;
      rows_[rows[k]].page = parts[g];
    }
  }
  pages_[origin].parts = std::move(parts);
  pages_[origin].unsure = false;
}

void RowStore::UndoSplit(uint32_t origin) {
  const std::vector<uint32_t> parts = pages_[origin].parts;
  ConfirmSplit(origin);
  for (uint32_t part : parts) {
    if (part == origin) continue;
    Page& page = pages_[part];
    Page& whole = pages_[origin];
    for (RowId id : page.rows) {
      rows_[id].page = origin;
      whole.rows.push_back(id);
      whole.reserved += rows_[id].reserve;
    }
    page.rows.clear();
    page.reserved = kEmptyPage;
    page.dirty = false;
  }
}

void RowStore::ConfirmSplit(uint32_t origin) {
  Page& whole = pages_[origin];
  for (uint32_t i : std::exchange(whole.parts, {})) {
    Page& part = pages_[i];
    part.origin = kNoPage;
    // Changes of any part were noted at the origin.
    if (!whole.dirty || i == origin) continue;
    part.dirty = true;
    part.urgency = std::max(part.urgency, whole.urgency);
    part.since = whole.since;
    part.soon_since = whole.soon_since;
  }
}

std::vector<uint32_t> RowStore::UnitOf(uint32_t page) const {
  return pages_[page].parts.empty() ? std::vector<uint32_t>{page} : pages_[page].parts;
}

void RowStore::LearnValueLimit(size_t refused_bytes) {
  // The number of operations was not at fault after all.
  limits_.txn_ops = stated_ops_;
  limits_.most_bytes = std::min(limits_.most_bytes, NextValueLimit(refused_bytes));
  limits_.value_bytes = std::min(limits_.value_bytes, FillOf(limits_.most_bytes));
  spdlog::warn("the state service refuses values of {} bytes: at most {} from now on",
               refused_bytes, limits_.most_bytes);
  SplitLargePages();
}

void RowStore::Rejected(const std::vector<uint32_t>& sent, size_t largest) {
  const uint32_t first = sent.front();
  if (UnitOf(first).size() < sent.size()) {
    // Each goes alone once, so that those that fit do not wait for one that does not.
    for (uint32_t i : sent) pages_[i].alone = true;
    limits_.txn_ops = std::max<size_t>(1, sent.size() / 2);
    accepted_bytes_ = 0;
    spdlog::warn("the state service rejects a transaction of {} pages: at most {} from now on",
                 sent.size(), limits_.txn_ops);
    return;
  }
  const bool expected = largest > limits_.most_bytes;
  if (expected) {
    // The announced limit is in force by now.
    limits_.present_bytes = limits_.most_bytes;
  } else if (largest > accepted_bytes_) {
    LearnValueLimit(largest);
  }
  if (!pages_[first].parts.empty() && !pages_[first].unsure) UndoSplit(first);
  if (expected || !TooLarge(pages_[first])) {
    pages_[first].held_until = clock_->Now() + kHoldRejected;
  }
}

}  // namespace deckhall
