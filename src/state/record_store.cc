#include "state/record_store.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <string_view>
#include <utility>

namespace deckhall {
namespace {

constexpr size_t kMaxTransactionBytes = 56 << 10;
// Of a transaction, and of each page in it, what is not value.
constexpr size_t kTransactionOverheadBytes = 200;
constexpr size_t kMutationOverheadBytes = 80;
constexpr int kMaxTransactionsInFlight = 4;
// What is kSoon becomes as urgent as the rest after so many times `soon_s`.
constexpr double kDeferredMaxDelays = 3;
// Seconds after which what is kLazy is sent like what is kSoon.
constexpr double kBackgroundMaxDelaySeconds = 5;
// Puts of the budget that only what is kNow may use.
constexpr double kWriteTokensKeptForImmediate = 2;
// More than this part of the burst is never waited for.
constexpr double kUsableBurstShare = 0.9;

}  // namespace

RecordStore::RecordStore(KeyValueStore* state, const Clock* clock, RecordStoreLimits limits,
                         std::string leader_key, uint64_t term)
    : key_value_store_(state),
      clock_(clock),
      limits_(limits),
      configured_max_ops_(limits.max_transaction_ops),
      leader_key_(std::move(leader_key)),
      term_(term) {}

void RecordStore::Load(Loaded done) {
  // An earlier try may have come half-way; its pages would be there twice.
  records_.clear();
  pages_.clear();
  next_page_number_ = 0;
  unreadable_pages_ = 0;
  LoadPagesAfter("", std::move(done));
}

void RecordStore::LoadPagesAfter(const std::string& after, Loaded done) {
  key_value_store_->List(std::string(kPrefix), after,
                         [this, done = std::move(done)](const KeyValueResponse& response) {
                           if (response.status != KeyValueStatus::kOk) {
                             done(false, {});
                             return;
                           }
                           for (const KeyValue& entry : response.entries) {
                             rapidjson::Document doc;
                             Page page;
                             page.key = entry.key;
                             page.version = entry.version;
                             // Pages may be missing in between: their transaction was never carried
                             // out. A number taken twice would make two pages overwrite each other.
                             const std::string number = entry.key.substr(kPrefix.size());
                             uint64_t n = 0;
                             std::from_chars(number.data(), number.data() + number.size(), n);
                             next_page_number_ = std::max(next_page_number_, n + 1);
                             const auto index = static_cast<uint32_t>(pages_.size());
                             if (ParseJson(entry.value, &doc) && doc.IsArray()) {
                               for (const auto& item : doc.GetArray()) {
                                 rapidjson::StringBuffer buffer;
                                 JsonWriter writer(buffer);
                                 item.Accept(writer);
                                 Record row;
                                 row.text.assign(buffer.GetString(), buffer.GetSize());
                                 row.reserve = row.text.size() + 1;
                                 row.page = index;
                                 row.in_use = true;
                                 page.reserved += row.reserve;
                                 page.records.push_back(static_cast<RecordId>(records_.size()));
                                 records_.push_back(std::move(row));
                               }
                             } else {
                               spdlog::error("page {} is unreadable and left alone", entry.key);
                               page.reserved = limits_.fill_bytes;
                               ++unreadable_pages_;
                             }
                             pages_.push_back(std::move(page));
                           }
                           if (response.truncated && !response.entries.empty()) {
                             LoadPagesAfter(response.entries.back().key, done);
                             return;
                           }
                           std::vector<std::pair<RecordId, std::string>> out;
                           for (RecordId i = 0; i < records_.size(); ++i)
                             out.emplace_back(i, records_[i].text);
                           done(true, std::move(out));
                         });
}

uint32_t RecordStore::ChoosePage(size_t bytes) {
  // The fullest page with room, so that few pages are dirty at a time.
  uint32_t best = UINT32_MAX;
  for (uint32_t i = 0; i < pages_.size(); ++i) {
    const Page& page = pages_[i];
    // A page on its way takes no new row: that would have to wait for its answer.
    // Nor does one whose split is not confirmed: the row would wait for all of it.
    if (page.in_flight || page.split_origin != kNoPage) continue;
    if (page.reserved + bytes > limits_.fill_bytes) continue;
    if (best == UINT32_MAX || page.reserved > pages_[best].reserved) best = i;
  }
  if (best != UINT32_MAX) return best;
  NewPage();
  return static_cast<uint32_t>(pages_.size() - 1);
}

RecordStore::Page& RecordStore::NewPage() {
  Page page;
  char name[32];
  std::snprintf(name, sizeof name, "%06llu", static_cast<unsigned long long>(next_page_number_++));
  page.key = std::string(kPrefix) + name;
  pages_.push_back(std::move(page));
  return pages_.back();
}

void RecordStore::MarkDirty(uint32_t index, WritePriority priority) {
  const uint32_t origin = pages_[index].split_origin;
  Page& page = pages_[origin == kNoPage ? index : origin];
  const double now = clock_->Now();
  if (!page.dirty) page.dirty_since = now;
  if (priority == WritePriority::kDeferred && page.priority == WritePriority::kBackground)
    page.deferred_since = now;
  page.dirty = true;
  page.priority = std::max(page.priority, priority);
}

RecordId RecordStore::Add(std::string text, size_t reserve, WritePriority priority) {
  RecordId record_id;
  if (free_records_.empty()) {
    record_id = static_cast<RecordId>(records_.size());
    records_.emplace_back();
  } else {
    record_id = free_records_.back();
    free_records_.pop_back();
  }
  Record& row = records_[record_id];
  row = Record();
  row.reserve = std::max(reserve, text.size()) + 1;
  row.text = std::move(text);
  row.page = ChoosePage(row.reserve);
  row.in_use = row.dirty = true;
  pages_[row.page].reserved += row.reserve;
  pages_[row.page].records.push_back(record_id);
  MarkDirty(row.page, priority);
  return record_id;
}

void RecordStore::Update(RecordId record_id, std::string text, size_t reserve,
                         WritePriority priority) {
  Record& row = records_[record_id];
  if (row.text == text) {
    if (row.dirty) MarkDirty(row.page, priority);
    return;
  }
  Page& page = pages_[row.page];
  const size_t want = std::max(reserve, text.size()) + 1;
  page.reserved = page.reserved - row.reserve + want;
  row.reserve = want;
  row.text = std::move(text);
  row.dirty = true;
  MarkDirty(row.page, priority);
}

void RecordStore::Reserve(RecordId record_id, size_t reserve) {
  Record& row = records_[record_id];
  const size_t want = std::max(reserve, row.text.size()) + 1;
  pages_[row.page].reserved += want - row.reserve;
  row.reserve = want;
}

void RecordStore::Remove(RecordId record_id) {
  Record& row = records_[record_id];
  if (!row.in_use) return;
  Page& page = pages_[row.page];
  page.reserved -= row.reserve;
  page.records.erase(std::find(page.records.begin(), page.records.end(), record_id));
  MarkDirty(row.page, WritePriority::kBackground);
  row = Record();
  free_records_.push_back(record_id);
}

std::string RecordStore::EncodePage(const Page& page) const {
  std::string out = "[";
  for (RecordId record_id : page.records) {
    if (out.size() > 1) out += ',';
    out += records_[record_id].text;
  }
  out += ']';
  return out;
}

void RecordStore::Flush() {
  while (SendTransaction()) {
  }
}

WritePriority RecordStore::EffectivePriority(const Page& page, double now) const {
  // Even a steady flow of urgent writes does not hold up the others for ever.
  switch (page.priority) {
    case WritePriority::kImmediate:
      break;
    case WritePriority::kDeferred: {
      const double waits = now - page.deferred_since;
      if (waits < limits_.deferred_delay_s) return WritePriority::kBackground;
      return waits < kDeferredMaxDelays * limits_.deferred_delay_s ? WritePriority::kDeferred
                                                                   : WritePriority::kImmediate;
    }
    case WritePriority::kBackground:
      return now - page.dirty_since < kBackgroundMaxDelaySeconds ? WritePriority::kBackground
                                                                 : WritePriority::kDeferred;
  }
  return WritePriority::kImmediate;
}

std::vector<RecordStore::DuePage> RecordStore::DuePages(double now) const {
  std::vector<DuePage> due;
  for (uint32_t i = 0; i < pages_.size(); ++i) {
    const Page& page = pages_[i];
    if (!page.dirty || page.in_flight || now < page.backoff_until) continue;
    // The parts of a split go out with their origin.
    if (page.split_origin != kNoPage && page.split_origin != i) continue;
    const WritePriority priority = EffectivePriority(page, now);
    // Only what is urgent overtakes: the more goes together, the fewer puts.
    const bool waits =
        now - page.dirty_since < limits_.background_delay_s || transactions_in_flight_ > 0;
    if (priority == WritePriority::kBackground && waits) continue;
    due.push_back({i, priority, page.dirty_since});
  }
  std::stable_sort(due.begin(), due.end(), [](const DuePage& a, const DuePage& b) {
    return a.priority != b.priority ? a.priority > b.priority : a.dirty_since < b.dirty_since;
  });
  return due;
}

bool RecordStore::HasWriteBudget(double room, WritePriority priority) const {
  // What can wait leaves budget for what can't.
  switch (priority) {
    case WritePriority::kImmediate:
      return room >= 1;
    case WritePriority::kDeferred:
      return room >= 1 + kWriteTokensKeptForImmediate;
    case WritePriority::kBackground:
      break;
  }
  const double kept = std::max(1 + 2 * kWriteTokensKeptForImmediate,
                               static_cast<double>(limits_.max_transaction_ops) / 3);
  return room >= std::min(kept, limits_.write_burst * kUsableBurstShare);
}

bool RecordStore::HasWriteBudgetFor(size_t puts, double room, WritePriority priority) const {
  if (puts <= 1) return HasWriteBudget(room, priority);
  // The pages of a split go out together, as far as the burst allows.
  const double wanted = static_cast<double>(puts) + kWriteTokensKeptForImmediate;
  return room >= std::min(wanted, limits_.write_burst * kUsableBurstShare);
}

bool RecordStore::SendTransaction() {
  const double now = clock_->Now();
  if (stopped_ || conflict_pending_ || resolving_conflict_ || now < retry_after_ ||
      transactions_in_flight_ >= kMaxTransactionsInFlight) {
    return false;
  }
  const std::vector<DuePage> due = DuePages(now);
  if (due.empty()) return false;
  double room = key_value_store_->AvailableWriteTokens();
  OutgoingTransaction out;
  out.transaction.preconditions.push_back({leader_key_, term_});
  out.bytes = kTransactionOverheadBytes;
  for (const DuePage& page : due) {
    if (IsOversized(pages_[page.index])) SplitPage(page.index);
    const size_t puts = PagesCommittedWith(page.index).size();
    const bool alone = pages_[page.index].isolated;
    if (!out.pages.empty() && (alone || out.pages.size() + puts > limits_.max_transaction_ops))
      break;
    if (!HasWriteBudgetFor(puts, room, page.priority)) break;
    if (!AddToTransaction(page, &out)) {
      if (out.pages.empty()) continue;
      break;
    }
    room -= static_cast<double>(puts);
    if (pages_[page.index].isolated) break;
  }
  if (out.pages.empty()) return false;
  ++transactions_in_flight_;
  key_value_store_->Commit(
      out.transaction,
      [this, sent = out.pages, largest = out.largest_value_bytes](
          const KeyValueResponse& response) { HandleCommitResponse(sent, largest, response); });
  return true;
}

bool RecordStore::AddToTransaction(const DuePage& due, OutgoingTransaction* out) {
  const std::vector<uint32_t> unit = PagesCommittedWith(due.index);
  std::vector<std::string> values;
  size_t total = out->bytes;
  size_t largest = out->largest_value_bytes;
  for (uint32_t i : unit) {
    values.push_back(EncodePage(pages_[i]));
    total += values.back().size() + kMutationOverheadBytes;
    largest = std::max(largest, values.back().size());
  }
  Page& first = pages_[due.index];
  if (largest > limits_.max_value_bytes) {
    // Perhaps refused, with all that goes along: the others must not wait for it.
    first.isolated = true;
    if (largest > limits_.current_max_value_bytes) {
      first.backoff_until = clock_->Now() + kRejectedPageBackoffSeconds;
      if (!std::exchange(first.oversize_logged, true)) {
        spdlog::error("page {} is too large to be written: {} bytes", first.key, largest);
      }
      return false;
    }
    if (!out->pages.empty()) return false;
  }
  if (!out->pages.empty() && total > kMaxTransactionBytes) return false;
  out->bytes = total;
  out->largest_value_bytes = largest;
  for (size_t k = 0; k < unit.size(); ++k) {
    Page& page = pages_[unit[k]];
    out->transaction.preconditions.push_back({page.key, page.version});
    out->transaction.mutations.push_back({page.key, std::move(values[k]), 0});
    out->pages.push_back(unit[k]);
    page.dirty = false;
    page.priority = WritePriority::kBackground;
    page.in_flight = true;
    for (RecordId record_id : page.records) {
      records_[record_id].in_flight = records_[record_id].dirty;
      records_[record_id].dirty = false;
    }
  }
  return true;
}

void RecordStore::HandleCommitResponse(const std::vector<uint32_t>& sent, size_t largest,
                                       const KeyValueResponse& response) {
  if (stopped_) return;
  const double now = clock_->Now();
  const bool ok = response.status == KeyValueStatus::kOk;
  --transactions_in_flight_;
  for (uint32_t i : sent) {
    Page& page = pages_[i];
    page.in_flight = false;
    if (ok) page.version = response.number;
    for (RecordId record_id : page.records) {
      if (!ok && records_[record_id].in_flight) records_[record_id].dirty = true;
      records_[record_id].in_flight = false;
    }
    if (!ok) {
      if (!page.dirty) page.dirty_since = now - limits_.background_delay_s;
      page.dirty = true;
      page.priority = WritePriority::kImmediate;
    }
  }
  if (ok) {
    accepted_bytes_ = std::max(accepted_bytes_, largest);
    for (uint32_t i : sent) {
      pages_[i].isolated = false;
      if (pages_[i].split_origin == i) ConfirmSplit(i);
    }
  }
  for (uint32_t i : sent) {
    if (response.status == KeyValueStatus::kIndeterminate) pages_[i].split_indeterminate = true;
  }
  if (response.status == KeyValueStatus::kInvalid) HandleRejection(sent, largest);
  // No answer: the same pages are written again under the same versions. Should
  // the first try be applied late, the second meets a conflict, never both.
  if (response.status == KeyValueStatus::kConflict) conflict_pending_ = true;
  if (response.status == KeyValueStatus::kUnavailable) retry_after_ = now + 0.1;
  // Versions read while something is in flight could be older than its answer.
  if (conflict_pending_ && transactions_in_flight_ == 0) {
    conflict_pending_ = false;
    ResolveConflict();
  }
  if (ok && on_commit) on_commit();
  Flush();
}

void RecordStore::ResolveConflict() {
  // Only this term's holder writes pages, so a version that differs is our own
  // unanswered transaction, applied after all - or the term is over.
  resolving_conflict_ = true;
  key_value_store_->Get(leader_key_, [this](const KeyValueResponse& leader) {
    if (stopped_) return;
    if (leader.status != KeyValueStatus::kOk) {
      resolving_conflict_ = false;
      retry_after_ = clock_->Now() + 0.2;
      return;
    }
    if (!leader.found || leader.entries[0].version != term_) {
      spdlog::warn("a write met another term: this one is over");
      if (on_leadership_lost) on_leadership_lost();
      return;
    }
    RereadPageVersions("");
  });
}

void RecordStore::RereadPageVersions(const std::string& after) {
  key_value_store_->List(std::string(kPrefix), after, [this](const KeyValueResponse& response) {
    if (response.status == KeyValueStatus::kOk) {
      for (const KeyValue& entry : response.entries) {
        for (Page& page : pages_) {
          if (page.key == entry.key) page.version = entry.version;
        }
      }
      if (response.truncated && !response.entries.empty() && !stopped_) {
        RereadPageVersions(response.entries.back().key);
        return;
      }
    }
    resolving_conflict_ = false;
    retry_after_ = clock_->Now() + 0.05;
  });
}

}  // namespace deckhall
