// The leader's durable rows: small JSON texts, many to a page, a page to a key.
// Group commit: a transaction writes the dirty pages, on condition that the term still
// stands and that each page has the version last seen. While one is slow to answer,
// what is urgent on other pages goes ahead.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "net/clock.h"
#include "state/key_value_store.h"

namespace deckhall {

using RecordId = uint32_t;
constexpr RecordId kNoRecord = UINT32_MAX;

// Of a page, what its brackets take, with some room to spare.
constexpr size_t kPageOverheadBytes = 16;
// What a page without rows takes.
constexpr size_t kEmptyPageBytes = 2;
// A page that was rejected alone is tried again after so many seconds.
constexpr double kRejectedPageBackoffSeconds = 5;

// How soon a changed row has to be in the state service.
enum class WritePriority : uint8_t {
  kBackground,  // with others, within `lazy_s`, as far as the budget for writes allows
  kDeferred,    // within `soon_s`, behind what is kNow
  kImmediate,   // somebody waits for it
};

struct RecordStoreLimits {
  size_t max_value_bytes = 8 << 10;  // of a value, or it is refused
  size_t fill_bytes = 8 << 10;       // to which pages are filled
  size_t current_max_value_bytes =
      8 << 10;  // of a value, as long as announced limits are not in force
  size_t max_transaction_ops = 12;
  double write_burst = 16;  // puts that can go out at once
  double background_delay_s = 0.7;
  double deferred_delay_s = 0.4;
};

class RecordStore {
 public:
  // Of the keys of its pages.
  static constexpr std::string_view kPrefix = "deckhall/pages/";

  RecordStore(KeyValueStore* state, const Clock* clock, RecordStoreLimits limits,
              std::string leader_key, uint64_t term);

  // Reads all pages; then `done(true)` with every row's text, or `done(false)`.
  using Loaded = std::function<void(bool ok, std::vector<std::pair<RecordId, std::string>> rows)>;
  void Load(Loaded done);

  // A new row; `reserve` is the size it may grow to.
  RecordId Add(std::string text, size_t reserve, WritePriority priority);
  void Update(RecordId record_id, std::string text, size_t reserve, WritePriority priority);
  void Remove(RecordId record_id);
  // A row that was loaded may grow to this size: its page takes no more than leaves room
  // for that. A page over the state service's limit could never be written again.
  void Reserve(RecordId record_id, size_t reserve);
  // Pages that are larger than the limits allow are split, a few rows' moves at a time:
  // old pages may have been filled under larger limits. Called when all rows are known.
  void SplitLargePages();
  // The largest text that a row may have.
  size_t max_record_bytes() const { return limits_.fill_bytes - kPageOverheadBytes; }
  size_t RecordBytes(RecordId record_id) const { return records_[record_id].text.size(); }
  // True when the text last set is in the state service.
  bool IsDurable(RecordId record_id) const {
    return !records_[record_id].dirty && !records_[record_id].in_flight;
  }
  // Pages whose rows are not known: what they held can't be denied.
  int unreadable_pages() const { return unreadable_pages_; }

  // Sends what is due. Called whenever something may have become due.
  void Flush();
  // Sends nothing any more.
  void Stop() { stopped_ = true; }
  // After each commit.
  std::function<void()> on_commit;
  // The term is over.
  std::function<void()> on_leadership_lost;

 private:
  struct Record {
    std::string text;
    size_t reserve = 0;
    uint32_t page = 0;
    bool dirty = false;
    bool in_flight = false;
    bool in_use = false;
  };
  struct Page {
    std::string key;
    uint64_t version = 0;
    size_t reserved = kEmptyPageBytes;
    std::vector<RecordId> records;
    bool dirty = false;
    WritePriority priority = WritePriority::kBackground;
    bool in_flight = false;
    bool oversize_logged = false;  // said so
    double dirty_since = 0;        // of the oldest change that is not sent
    double deferred_since = 0;     // of the oldest one that is kSoon
    // A split that is not known to be carried out: its pages are written in one
    // transaction, or a row would be stored twice or not at all.
    uint32_t split_origin = kNoPage;    // the page that is split, also there itself
    std::vector<uint32_t> split_parts;  // at the origin: all pages of the split
    bool split_indeterminate = false;   // at the origin: a try was not answered
    bool isolated = false;     // was rejected with others: goes in a transaction of its own
    double backoff_until = 0;  // was rejected alone: not tried before
  };
  static constexpr uint32_t kNoPage = UINT32_MAX;

  uint32_t ChoosePage(size_t bytes);
  Page& NewPage();
  void MarkDirty(uint32_t page, WritePriority priority);
  bool IsOversized(const Page& page) const;
  // Moves rows of a page that is too large to new pages, in memory; the transaction
  // that writes all of them is still to be sent.
  void SplitPage(uint32_t page);
  // The rejected split of this origin is taken back.
  void UndoSplit(uint32_t origin);
  void ConfirmSplit(uint32_t origin);
  // The pages that go out with this one: itself, or all of its split.
  std::vector<uint32_t> PagesCommittedWith(uint32_t page) const;
  // The state service refused the transaction for what it contains.
  void HandleRejection(const std::vector<uint32_t>& sent, size_t largest);
  void LearnValueLimit(size_t refused_bytes);
  // Whether the page is to be sent now, and how urgently: kLazy while it can wait.
  WritePriority EffectivePriority(const Page& page, double now) const;
  struct DuePage {
    uint32_t index;
    WritePriority priority;
    double dirty_since;
  };
  // A transaction that is being put together.
  struct OutgoingTransaction {
    Transaction transaction;
    std::vector<uint32_t> pages;
    size_t bytes = 0;
    size_t largest_value_bytes = 0;  // of its values, in bytes
  };
  // The pages to send, the most urgent ones first.
  std::vector<DuePage> DuePages(double now) const;
  // Whether the budget for writes allows one more page of that urgency.
  bool HasWriteBudget(double room, WritePriority priority) const;
  // The same for so many puts that go out together.
  bool HasWriteBudgetFor(size_t puts, double room, WritePriority priority) const;
  // Adds the page, with all that must go along, to the transaction. False: it can't.
  bool AddToTransaction(const DuePage& due, OutgoingTransaction* out);
  std::string EncodePage(const Page& page) const;
  // Sends one transaction, if something is due and may go.
  bool SendTransaction();
  void HandleCommitResponse(const std::vector<uint32_t>& sent, size_t largest,
                            const KeyValueResponse& response);
  void ResolveConflict();
  void RereadPageVersions(const std::string& after);
  void LoadPagesAfter(const std::string& after, Loaded done);

  KeyValueStore* key_value_store_;
  const Clock* clock_;
  RecordStoreLimits limits_;
  size_t configured_max_ops_;  // of the limits as they were handed over
  size_t accepted_bytes_ = 0;  // largest value accepted since a transaction was rejected
  std::string leader_key_;
  uint64_t term_;
  std::vector<Record> records_;
  std::vector<RecordId> free_records_;
  std::vector<Page> pages_;
  uint64_t next_page_number_ = 0;   // number of the next new page: above all that exist
  int transactions_in_flight_ = 0;  // transactions not answered yet
  bool conflict_pending_ = false;   // versions are read again once nothing is in flight
  bool resolving_conflict_ = false;
  bool stopped_ = false;
  double retry_after_ = 0;
  int unreadable_pages_ = 0;
};

}  // namespace deckhall
