// Pages that are larger than the state service will take: how they are split, and what is
// learnt from a transaction that was rejected.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "state/page_split.h"
#include "state/record_store.h"

namespace deckhall {
namespace {

// Of the size of a rejected value, what is tried next; and no limit is taken to be lower.
constexpr size_t kMinValueLimitBytes = 256;
constexpr size_t NextValueLimit(size_t refused_bytes) {
  return std::max(kMinValueLimitBytes, refused_bytes / 4 * 3);
}
// To this part of the limit pages are filled.
constexpr size_t FillBytes(size_t most_bytes) { return most_bytes / 20 * 17; }

}  // namespace

bool RecordStore::IsOversized(const Page& page) const {
  return page.reserved > limits_.max_value_bytes && page.records.size() > 1 &&
         page.split_origin == kNoPage;
}

void RecordStore::SplitLargePages() {
  size_t large = 0;
  for (uint32_t i = 0; i < pages_.size(); ++i) {
    if (!IsOversized(pages_[i])) continue;
    ++large;
    // Lazily, behind what users wait for, but not later than other lazy writes.
    MarkDirty(i, WritePriority::kBackground);
    pages_[i].dirty_since -= limits_.background_delay_s;
  }
  if (large > 0) {
    spdlog::info("{} of {} pages are larger than {} bytes: they are split", large, pages_.size(),
                 limits_.max_value_bytes);
  }
}

void RecordStore::SplitPage(uint32_t origin) {
  const std::vector<RecordId> rows = pages_[origin].records;
  std::vector<RecordSize> sizes;
  sizes.reserve(rows.size());
  for (RecordId record_id : rows)
    sizes.push_back({records_[record_id].reserve, records_[record_id].text.size() + 1});
  const SplitLimits limits{limits_.fill_bytes, limits_.max_value_bytes,
                           limits_.max_transaction_ops};
  const RecordGroups groups = PlanPageSplit(sizes, limits);
  if (groups.size() < 2) return;
  std::vector<uint32_t> parts = {origin};
  for (size_t g = 1; g < groups.size(); ++g) {
    NewPage();
    parts.push_back(static_cast<uint32_t>(pages_.size() - 1));
  }
  pages_[origin].records.clear();
  pages_[origin].reserved = kEmptyPageBytes;
  for (size_t g = 0; g < groups.size(); ++g) {
    Page& page = pages_[parts[g]];
    page.split_origin = origin;
    for (size_t k : groups[g]) {
      page.records.push_back(rows[k]);
      page.reserved += records_[rows[k]].reserve;
      records_[rows[k]].page = parts[g];
    }
  }
  pages_[origin].split_parts = std::move(parts);
  pages_[origin].split_indeterminate = false;
}

void RecordStore::UndoSplit(uint32_t origin) {
  const std::vector<uint32_t> parts = pages_[origin].split_parts;
  ConfirmSplit(origin);
  for (uint32_t part : parts) {
    if (part == origin) continue;
    Page& page = pages_[part];
    Page& whole = pages_[origin];
    for (RecordId record_id : page.records) {
      records_[record_id].page = origin;
      whole.records.push_back(record_id);
      whole.reserved += records_[record_id].reserve;
    }
    page.records.clear();
    page.reserved = kEmptyPageBytes;
    page.dirty = false;
  }
}

void RecordStore::ConfirmSplit(uint32_t origin) {
  Page& whole = pages_[origin];
  for (uint32_t i : std::exchange(whole.split_parts, {})) {
    Page& part = pages_[i];
    part.split_origin = kNoPage;
    // Changes of any part were noted at the origin.
    if (!whole.dirty || i == origin) continue;
    part.dirty = true;
    part.priority = std::max(part.priority, whole.priority);
    part.dirty_since = whole.dirty_since;
    part.deferred_since = whole.deferred_since;
  }
}

std::vector<uint32_t> RecordStore::PagesCommittedWith(uint32_t page) const {
  return pages_[page].split_parts.empty() ? std::vector<uint32_t>{page} : pages_[page].split_parts;
}

void RecordStore::LearnValueLimit(size_t refused_bytes) {
  // The number of operations was not at fault after all.
  limits_.max_transaction_ops = configured_max_ops_;
  limits_.max_value_bytes = std::min(limits_.max_value_bytes, NextValueLimit(refused_bytes));
  limits_.fill_bytes = std::min(limits_.fill_bytes, FillBytes(limits_.max_value_bytes));
  spdlog::warn("the state service refuses values of {} bytes: at most {} from now on",
               refused_bytes, limits_.max_value_bytes);
  SplitLargePages();
}

void RecordStore::HandleRejection(const std::vector<uint32_t>& sent, size_t largest) {
  const uint32_t first = sent.front();
  if (PagesCommittedWith(first).size() < sent.size()) {
    // Each goes alone once, so that those that fit do not wait for one that does not.
    for (uint32_t i : sent) pages_[i].isolated = true;
    limits_.max_transaction_ops = std::max<size_t>(1, sent.size() / 2);
    accepted_bytes_ = 0;
    spdlog::warn("the state service rejects a transaction of {} pages: at most {} from now on",
                 sent.size(), limits_.max_transaction_ops);
    return;
  }
  const bool expected = largest > limits_.max_value_bytes;
  if (expected) {
    // The announced limit is in force by now.
    limits_.current_max_value_bytes = limits_.max_value_bytes;
  } else if (largest > accepted_bytes_) {
    LearnValueLimit(largest);
  }
  if (!pages_[first].split_parts.empty() && !pages_[first].split_indeterminate) UndoSplit(first);
  if (expected || !IsOversized(pages_[first])) {
    pages_[first].backoff_until = clock_->Now() + kRejectedPageBackoffSeconds;
  }
}

}  // namespace deckhall
