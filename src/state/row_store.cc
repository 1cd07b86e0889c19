#include "state/row_store.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <string_view>
#include <utility>

namespace deckhall {
namespace {

constexpr size_t kTxnBytes = 56 << 10;
// Of a transaction, and of each page in it, what is not value.
constexpr size_t kTxnRest = 200;
constexpr size_t kTxnPageRest = 80;
constexpr int kMostFlights = 4;
// What is kSoon becomes as urgent as the rest after so many times `soon_s`.
constexpr double kSoonAtMost = 3;
// Seconds after which what is kLazy is sent like what is kSoon.
constexpr double kLazyAtMost = 5;
// Puts of the budget that only what is kNow may use.
constexpr double kRoomKeptForUrgent = 2;
// More than this part of the burst is never waited for.
constexpr double kBurstFilled = 0.9;

}  // namespace

RowStore::RowStore(StatePort* state, const Clock* clock, StoreLimits limits, std::string leader_key,
                   uint64_t term)
    : state_(state),
      clock_(clock),
      limits_(limits),
      stated_ops_(limits.txn_ops),
      leader_key_(std::move(leader_key)),
      term_(term) {}

void RowStore::Load(Loaded done) {
  // An earlier try may have come half-way; its pages would be there twice.
  rows_.clear();
  pages_.clear();
  next_page_ = 0;
  unreadable_ = 0;
  LoadFrom("", std::move(done));
}

void RowStore::LoadFrom(const std::string& after, Loaded done) {
  state_->List(std::string(kPrefix), after,
               [this, done = std::move(done)](const StateAnswer& answer) {
                 if (answer.outcome != StateOutcome::kOk) {
                   done(false, {});
                   return;
                 }
                 for (const KeyValue& kv : answer.rows) {
                   rapidjson::Document doc;
                   Page page;
                   page.key = kv.key;
                   page.version = kv.version;
                   // Pages may be missing in between: their transaction was never carried out. A
                   // number taken twice would make two pages overwrite each other.
                   const std::string number = kv.key.substr(kPrefix.size());
                   uint64_t n = 0;
                   std::from_chars(number.data(), number.data() + number.size(), n);
                   next_page_ = std::max(next_page_, n + 1);
                   const auto index = static_cast<uint32_t>(pages_.size());
                   if (ParseJson(kv.value, &doc) && doc.IsArray()) {
                     for (const auto& item : doc.GetArray()) {
                       rapidjson::StringBuffer buffer;
                       JsonWriter w(buffer);
                       item.Accept(w);
                       Row row;
                       row.text.assign(buffer.GetString(), buffer.GetSize());
                       row.reserve = row.text.size() + 1;
                       row.page = index;
                       row.live = true;
                       page.reserved += row.reserve;
                       page.rows.push_back(static_cast<RowId>(rows_.size()));
                       rows_.push_back(std::move(row));
                     }
                   } else {
                     spdlog::error("page {} is unreadable and left alone", kv.key);
                     page.reserved = limits_.value_bytes;
                     ++unreadable_;
                   }
                   pages_.push_back(std::move(page));
                 }
                 if (answer.truncated && !answer.rows.empty()) {
                   LoadFrom(answer.rows.back().key, done);
                   return;
                 }
                 std::vector<std::pair<RowId, std::string>> out;
                 for (RowId i = 0; i < rows_.size(); ++i) out.emplace_back(i, rows_[i].text);
                 done(true, std::move(out));
               });
}

uint32_t RowStore::PageFor(size_t bytes) {
  // The fullest page with room, so that few pages are dirty at a time.
  uint32_t best = UINT32_MAX;
  for (uint32_t i = 0; i < pages_.size(); ++i) {
    const Page& p = pages_[i];
    // A page on its way takes no new row: that would have to wait for its answer.
    // Nor does one whose split is not confirmed: the row would wait for all of it.
    if (p.in_flight || p.origin != kNoPage) continue;
    if (p.reserved + bytes > limits_.value_bytes) continue;
    if (best == UINT32_MAX || p.reserved > pages_[best].reserved) best = i;
  }
  if (best != UINT32_MAX) return best;
  NewPage();
  return static_cast<uint32_t>(pages_.size() - 1);
}

RowStore::Page& RowStore::NewPage() {
  Page page;
  char name[32];
  std::snprintf(name, sizeof name, "%06llu", static_cast<unsigned long long>(next_page_++));
  page.key = std::string(kPrefix) + name;
  pages_.push_back(std::move(page));
  return pages_.back();
}

void RowStore::MarkDirty(uint32_t index, WriteUrgency urgency) {
  const uint32_t origin = pages_[index].origin;
  Page& p = pages_[origin == kNoPage ? index : origin];
  const double now = clock_->Now();
  if (!p.dirty) p.since = now;
  if (urgency == WriteUrgency::kSoon && p.urgency == WriteUrgency::kLazy) p.soon_since = now;
  p.dirty = true;
  p.urgency = std::max(p.urgency, urgency);
}

RowId RowStore::Add(std::string text, size_t reserve, WriteUrgency urgency) {
  RowId id;
  if (free_rows_.empty()) {
    id = static_cast<RowId>(rows_.size());
    rows_.emplace_back();
  } else {
    id = free_rows_.back();
    free_rows_.pop_back();
  }
  Row& row = rows_[id];
  row = Row();
  row.reserve = std::max(reserve, text.size()) + 1;
  row.text = std::move(text);
  row.page = PageFor(row.reserve);
  row.live = row.dirty = true;
  pages_[row.page].reserved += row.reserve;
  pages_[row.page].rows.push_back(id);
  MarkDirty(row.page, urgency);
  return id;
}

void RowStore::Set(RowId id, std::string text, size_t reserve, WriteUrgency urgency) {
  Row& row = rows_[id];
  if (row.text == text) {
    if (row.dirty) MarkDirty(row.page, urgency);
    return;
  }
  Page& page = pages_[row.page];
  const size_t want = std::max(reserve, text.size()) + 1;
  page.reserved = page.reserved - row.reserve + want;
  row.reserve = want;
  row.text = std::move(text);
  row.dirty = true;
  MarkDirty(row.page, urgency);
}

void RowStore::Reserve(RowId id, size_t reserve) {
  Row& row = rows_[id];
  const size_t want = std::max(reserve, row.text.size()) + 1;
  pages_[row.page].reserved += want - row.reserve;
  row.reserve = want;
}

void RowStore::Remove(RowId id) {
  Row& row = rows_[id];
  if (!row.live) return;
  Page& page = pages_[row.page];
  page.reserved -= row.reserve;
  page.rows.erase(std::find(page.rows.begin(), page.rows.end(), id));
  MarkDirty(row.page, WriteUrgency::kLazy);
  row = Row();
  free_rows_.push_back(id);
}

std::string RowStore::Render(const Page& page) const {
  std::string out = "[";
  for (RowId id : page.rows) {
    if (out.size() > 1) out += ',';
    out += rows_[id].text;
  }
  out += ']';
  return out;
}

void RowStore::Flush() {
  while (SendOne()) {
  }
}

WriteUrgency RowStore::DueAs(const Page& page, double now) const {
  // Even a steady flow of urgent writes does not hold up the others for ever.
  switch (page.urgency) {
    case WriteUrgency::kNow:
      break;
    case WriteUrgency::kSoon: {
      const double waits = now - page.soon_since;
      if (waits < limits_.soon_s) return WriteUrgency::kLazy;
      return waits < kSoonAtMost * limits_.soon_s ? WriteUrgency::kSoon : WriteUrgency::kNow;
    }
    case WriteUrgency::kLazy:
      return now - page.since < kLazyAtMost ? WriteUrgency::kLazy : WriteUrgency::kSoon;
  }
  return WriteUrgency::kNow;
}

std::vector<RowStore::DuePage> RowStore::DuePages(double now) const {
  std::vector<DuePage> due;
  for (uint32_t i = 0; i < pages_.size(); ++i) {
    const Page& page = pages_[i];
    if (!page.dirty || page.in_flight || now < page.held_until) continue;
    // The parts of a split go out with their origin.
    if (page.origin != kNoPage && page.origin != i) continue;
    const WriteUrgency urgency = DueAs(page, now);
    // Only what is urgent overtakes: the more goes together, the fewer puts.
    const bool waits = now - page.since < limits_.lazy_s || flights_ > 0;
    if (urgency == WriteUrgency::kLazy && waits) continue;
    due.push_back({i, urgency, page.since});
  }
  std::stable_sort(due.begin(), due.end(), [](const DuePage& a, const DuePage& b) {
    return a.urgency != b.urgency ? a.urgency > b.urgency : a.since < b.since;
  });
  return due;
}

bool RowStore::HasRoom(double room, WriteUrgency urgency) const {
  // What can wait leaves budget for what can't.
  switch (urgency) {
    case WriteUrgency::kNow:
      return room >= 1;
    case WriteUrgency::kSoon:
      return room >= 1 + kRoomKeptForUrgent;
    case WriteUrgency::kLazy:
      break;
  }
  const double kept =
      std::max(1 + 2 * kRoomKeptForUrgent, static_cast<double>(limits_.txn_ops) / 3);
  return room >= std::min(kept, limits_.write_burst * kBurstFilled);
}

bool RowStore::HasRoomFor(size_t puts, double room, WriteUrgency urgency) const {
  if (puts <= 1) return HasRoom(room, urgency);
  // The pages of a split go out together, as far as the burst allows.
  const double wanted = static_cast<double>(puts) + kRoomKeptForUrgent;
  return room >= std::min(wanted, limits_.write_burst * kBurstFilled);
}

bool RowStore::SendOne() {
  const double now = clock_->Now();
  if (stopped_ || conflict_ || resolving_ || now < retry_at_ || flights_ >= kMostFlights) {
    return false;
  }
  const std::vector<DuePage> due = DuePages(now);
  if (due.empty()) return false;
  double room = state_->WriteRoom();
  Outgoing out;
  out.txn.preconditions.push_back({leader_key_, term_});
  out.bytes = kTxnRest;
  for (const DuePage& page : due) {
    if (TooLarge(pages_[page.index])) Split(page.index);
    const size_t puts = UnitOf(page.index).size();
    const bool alone = pages_[page.index].alone;
    if (!out.pages.empty() && (alone || out.pages.size() + puts > limits_.txn_ops)) break;
    if (!HasRoomFor(puts, room, page.urgency)) break;
    if (!AddToTxn(page, &out)) {
      if (out.pages.empty()) continue;
      break;
    }
    room -= static_cast<double>(puts);
    if (pages_[page.index].alone) break;
  }
  if (out.pages.empty()) return false;
  ++flights_;
  state_->Commit(out.txn, [this, sent = out.pages, largest = out.largest](
                              const StateAnswer& answer) { Finished(sent, largest, answer); });
  return true;
}

bool RowStore::AddToTxn(const DuePage& due, Outgoing* out) {
  const std::vector<uint32_t> unit = UnitOf(due.index);
  std::vector<std::string> values;
  size_t total = out->bytes;
  size_t largest = out->largest;
  for (uint32_t i : unit) {
    values.push_back(Render(pages_[i]));
    total += values.back().size() + kTxnPageRest;
    largest = std::max(largest, values.back().size());
  }
  Page& first = pages_[due.index];
  if (largest > limits_.most_bytes) {
    // Perhaps refused, with all that goes along: the others must not wait for it.
    first.alone = true;
    if (largest > limits_.present_bytes) {
      first.held_until = clock_->Now() + kHoldRejected;
      if (!std::exchange(first.too_large, true)) {
        spdlog::error("page {} is too large to be written: {} bytes", first.key, largest);
      }
      return false;
    }
    if (!out->pages.empty()) return false;
  }
  if (!out->pages.empty() && total > kTxnBytes) return false;
  out->bytes = total;
  out->largest = largest;
  for (size_t k = 0; k < unit.size(); ++k) {
    Page& p = pages_[unit[k]];
    out->txn.preconditions.push_back({p.key, p.version});
    out->txn.mutations.push_back({p.key, std::move(values[k]), 0});
    out->pages.push_back(unit[k]);
    p.dirty = false;
    p.urgency = WriteUrgency::kLazy;
    p.in_flight = true;
    for (RowId id : p.rows) {
      rows_[id].in_flight = rows_[id].dirty;
      rows_[id].dirty = false;
    }
  }
  return true;
}

void RowStore::Finished(const std::vector<uint32_t>& sent, size_t largest,
                        const StateAnswer& answer) {
  if (stopped_) return;
  const double now = clock_->Now();
  const bool ok = answer.outcome == StateOutcome::kOk;
  --flights_;
  for (uint32_t i : sent) {
    Page& p = pages_[i];
    p.in_flight = false;
    if (ok) p.version = answer.number;
    for (RowId id : p.rows) {
      if (!ok && rows_[id].in_flight) rows_[id].dirty = true;
      rows_[id].in_flight = false;
    }
    if (!ok) {
      if (!p.dirty) p.since = now - limits_.lazy_s;
      p.dirty = true;
      p.urgency = WriteUrgency::kNow;
    }
  }
  if (ok) {
    accepted_bytes_ = std::max(accepted_bytes_, largest);
    for (uint32_t i : sent) {
      pages_[i].alone = false;
      if (pages_[i].origin == i) ConfirmSplit(i);
    }
  }
  for (uint32_t i : sent) {
    if (answer.outcome == StateOutcome::kUnknown) pages_[i].unsure = true;
  }
  if (answer.outcome == StateOutcome::kRejected) Rejected(sent, largest);
  // No answer: the same pages are written again under the same versions. Should
  // the first try be applied late, the second meets a conflict, never both.
  if (answer.outcome == StateOutcome::kConflict) conflict_ = true;
  if (answer.outcome == StateOutcome::kRefused) retry_at_ = now + 0.1;
  // Versions read while something is in flight could be older than its answer.
  if (conflict_ && flights_ == 0) {
    conflict_ = false;
    Resolve();
  }
  if (ok && on_commit) on_commit();
  Flush();
}

void RowStore::Resolve() {
  // Only this term's holder writes pages, so a version that differs is our own
  // unanswered transaction, applied after all - or the term is over.
  resolving_ = true;
  state_->Get(leader_key_, [this](const StateAnswer& leader) {
    if (stopped_) return;
    if (leader.outcome != StateOutcome::kOk) {
      resolving_ = false;
      retry_at_ = clock_->Now() + 0.2;
      return;
    }
    if (!leader.found || leader.rows[0].version != term_) {
      spdlog::warn("a write met another term: this one is over");
      if (on_deposed) on_deposed();
      return;
    }
    ResolvePages("");
  });
}

void RowStore::ResolvePages(const std::string& after) {
  state_->List(std::string(kPrefix), after, [this](const StateAnswer& answer) {
    if (answer.outcome == StateOutcome::kOk) {
      for (const KeyValue& kv : answer.rows) {
        for (Page& p : pages_) {
          if (p.key == kv.key) p.version = kv.version;
        }
      }
      if (answer.truncated && !answer.rows.empty() && !stopped_) {
        ResolvePages(answer.rows.back().key);
        return;
      }
    }
    resolving_ = false;
    retry_at_ = clock_->Now() + 0.05;
  });
}

}  // namespace deckhall
