#include "state/record_pages.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <utility>

#include "wire/json.h"

namespace deckhall {
namespace {

// Bytes between two records on a page.
constexpr size_t kSeparatorBytes = 1;

// Returns the number in a page's key, or 0 if there is none.
uint64_t ParsePageNumber(const std::string& key) {
  const std::string digits = key.substr(kPageKeyPrefix.size());
  uint64_t number = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), number);
  return number;
}

std::string FormatPageKey(uint64_t number) {
  char digits[32];
  std::snprintf(digits, sizeof digits, "%06llu", static_cast<unsigned long long>(number));
  return std::string(kPageKeyPrefix) + digits;
}

std::string EncodeJson(const JsonValue& value) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  value.Accept(writer);
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace

void RecordPages::Clear() {
  records_.clear();
  pages_.clear();
  next_page_number_ = 0;
  unreadable_pages_ = 0;
}

void RecordPages::AddStoredPage(const KeyValue& entry) {
  // Page numbers may have gaps, where a transaction was never executed. Numbering by the count of
  // pages could therefore reuse the key of an existing page.
  next_page_number_ = std::max(next_page_number_, ParsePageNumber(entry.key) + 1);
  const PageIndex page_index = page_count();
  RecordPage& page = pages_.emplace_back();
  page.key = entry.key;
  page.version = entry.version;
  rapidjson::Document document;
  if (ParseJson(entry.value, &document) && document.IsArray()) {
    AddStoredRecords(document, page_index);
    return;
  }
  spdlog::error("page={}: value is not a JSON array, page left unchanged", entry.key);
  page.reserved_bytes = limits_->fill_bytes;
  ++unreadable_pages_;
}

void RecordPages::AddStoredRecords(const JsonValue& items, PageIndex page_index) {
  for (const JsonValue& item : items.GetArray()) {
    const RecordId record_id = record_count();
    StoredRecord& record = records_.emplace_back();
    record.text = EncodeJson(item);
    record.reserve_bytes = record.text.size() + kSeparatorBytes;
    record.in_use = true;
    AppendToPage(record_id, page_index);
  }
}

RecordId RecordPages::AllocateRecord() {
  if (free_records_.empty()) {
    records_.emplace_back();
    return record_count() - 1;
  }
  const RecordId record_id = free_records_.back();
  free_records_.pop_back();
  records_[record_id] = StoredRecord();
  return record_id;
}

RecordId RecordPages::Add(std::string text, size_t reserve_bytes, WritePriority priority) {
  const RecordId record_id = AllocateRecord();
  StoredRecord& record = records_[record_id];
  record.reserve_bytes = std::max(reserve_bytes, text.size()) + kSeparatorBytes;
  record.text = std::move(text);
  record.in_use = true;
  record.dirty = true;
  AppendToPage(record_id, ChoosePage(record.reserve_bytes));
  MarkDirty(record.page, priority);
  return record_id;
}

void RecordPages::Update(RecordId record_id, std::string text, size_t reserve_bytes,
                         WritePriority priority) {
  StoredRecord& record = records_[record_id];
  if (record.text == text) {
    if (record.dirty) MarkDirty(record.page, priority);
    return;
  }
  record.text = std::move(text);
  record.dirty = true;
  Reserve(record_id, reserve_bytes);
  MarkDirty(record.page, priority);
}

void RecordPages::Remove(RecordId record_id) {
  StoredRecord& record = records_[record_id];
  if (!record.in_use) return;
  RecordPage& page = pages_[record.page];
  page.reserved_bytes -= record.reserve_bytes;
  page.records.erase(std::find(page.records.begin(), page.records.end(), record_id));
  MarkDirty(record.page, WritePriority::kBackground);
  record = StoredRecord();
  free_records_.push_back(record_id);
}

void RecordPages::Reserve(RecordId record_id, size_t reserve_bytes) {
  StoredRecord& record = records_[record_id];
  RecordPage& page = pages_[record.page];
  const size_t needed_bytes = std::max(reserve_bytes, record.text.size()) + kSeparatorBytes;
  page.reserved_bytes = page.reserved_bytes - record.reserve_bytes + needed_bytes;
  record.reserve_bytes = needed_bytes;
}

PageIndex RecordPages::ChoosePage(size_t bytes) {
  // Prefers the fullest page with enough space, so that few pages are dirty at a time.
  PageIndex best = kNoPage;
  for (PageIndex i = 0; i < page_count(); ++i) {
    const RecordPage& page = pages_[i];
    // A record added to such a page would have to wait for the response, or for the whole split.
    if (page.in_flight || page.split.IsSplitting()) continue;
    if (page.reserved_bytes + bytes > limits_->fill_bytes) continue;
    if (best == kNoPage || page.reserved_bytes > pages_[best].reserved_bytes) best = i;
  }
  return best != kNoPage ? best : AddPage();
}

PageIndex RecordPages::AddPage() {
  pages_.emplace_back().key = FormatPageKey(next_page_number_++);
  return page_count() - 1;
}

void RecordPages::AppendToPage(RecordId record_id, PageIndex page_index) {
  StoredRecord& record = records_[record_id];
  RecordPage& page = pages_[page_index];
  record.page = page_index;
  page.records.push_back(record_id);
  page.reserved_bytes += record.reserve_bytes;
}

std::vector<RecordId> RecordPages::TakeRecords(PageIndex page_index) {
  RecordPage& page = pages_[page_index];
  page.reserved_bytes = kEmptyPageBytes;
  return std::exchange(page.records, {});
}

void RecordPages::MarkDirty(PageIndex page_index, WritePriority priority) {
  const PageIndex origin = pages_[page_index].split.origin;
  DirtyState& changes = pages_[origin == kNoPage ? page_index : origin].changes;
  const double now = clock_->Now();
  if (!changes.dirty) changes.dirty_since = now;
  if (priority == WritePriority::kDeferred && changes.priority == WritePriority::kBackground)
    changes.deferred_since = now;
  changes.dirty = true;
  changes.priority = std::max(changes.priority, priority);
}

void RecordPages::MarkInFlight(PageIndex page_index) {
  RecordPage& page = pages_[page_index];
  page.changes.dirty = false;
  page.changes.priority = WritePriority::kBackground;
  page.in_flight = true;
  for (RecordId record_id : page.records) {
    StoredRecord& record = records_[record_id];
    record.in_flight = record.dirty;
    record.dirty = false;
  }
}

void RecordPages::MarkCommitted(PageIndex page_index, uint64_t version) {
  RecordPage& page = pages_[page_index];
  page.in_flight = false;
  page.version = version;
  for (RecordId record_id : page.records) records_[record_id].in_flight = false;
}

void RecordPages::MarkCommitFailed(PageIndex page_index, double now) {
  RecordPage& page = pages_[page_index];
  page.in_flight = false;
  for (RecordId record_id : page.records) {
    StoredRecord& record = records_[record_id];
    if (record.in_flight) record.dirty = true;
    record.in_flight = false;
  }
  DirtyState& changes = page.changes;
  if (!changes.dirty) changes.dirty_since = now - limits_->background_delay_s;
  changes.dirty = true;
  changes.priority = WritePriority::kImmediate;
}

std::string RecordPages::EncodePage(const RecordPage& page) const {
  std::string value = "[";
  for (RecordId record_id : page.records) {
    if (value.size() > 1) value += ',';
    value += records_[record_id].text;
  }
  value += ']';
  return value;
}

}  // namespace deckhall
