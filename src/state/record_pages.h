// The records and pages of the record store, in memory.
//
// Guarantees: every record in use is on exactly one page, and a page's `reserved_bytes` is the sum
// of the sizes to which its records may grow. This class sends no requests.
//
// Owned by RecordStore. The other classes of the store (PageSplitter, TransactionBuilder,
// GroupCommit, ...) read and change pages through references, which the next AddPage invalidates.
#pragma once

#include <string>
#include <vector>

#include "net/clock.h"
#include "state/key_value_store.h"
#include "state/record_types.h"

namespace deckhall {

// One JSON text, and the state of its write to the state service. A record that changes while a
// transaction with its previous text is in flight is both dirty and in flight.
struct StoredRecord {
  std::string text;
  size_t reserve_bytes = 0;  // reserved on the page, separator included
  PageIndex page = 0;
  bool dirty = false;      // changed since its page was last sent
  bool in_flight = false;  // a change of it is in a transaction that awaits its response
  bool in_use = false;
};

// Changes of a page that are not in a transaction yet. Times are steady, in seconds.
struct DirtyState {
  bool dirty = false;
  WritePriority priority = WritePriority::kBackground;  // the highest of the changes
  double dirty_since = 0;                               // time of the oldest change
  double deferred_since = 0;                            // time of the oldest deferred change
};

// A page split that is not confirmed yet. All its pages are written in one transaction; otherwise
// a record could be stored twice or not at all.
struct SplitState {
  PageIndex origin = kNoPage;    // the page that is split; set on every page of the split
  std::vector<PageIndex> parts;  // at the origin: all pages of the split, with the origin
  bool indeterminate = false;    // at the origin: an attempt had an indeterminate outcome

  bool IsSplitting() const { return origin != kNoPage; }
};

// How a page is sent after the state service rejected a transaction with it as invalid.
struct RejectionState {
  bool isolated = false;         // sent in a transaction of its own
  bool oversize_logged = false;  // its excessive size was logged
  double backoff_until = 0;      // steady time before which it is not sent, in seconds
};

// A page: one key of the state service, and the records in its value.
struct RecordPage {
  std::string key;
  uint64_t version = 0;  // last version seen; 0 if the key does not exist
  size_t reserved_bytes = kEmptyPageBytes;
  std::vector<RecordId> records;
  bool in_flight = false;  // a transaction that writes it awaits its response
  DirtyState changes;
  SplitState split;
  RejectionState rejection;
};

class RecordPages {
 public:
  // `clock` and `limits` must outlive this object; `limits` may change.
  RecordPages(const Clock* clock, const RecordStoreLimits* limits)
      : clock_(clock), limits_(limits) {}

  // Removes all pages and records from memory, so that they can be loaded again.
  void Clear();
  // Adds a page as it was read from the state service. A page whose value is not a JSON array is
  // counted in unreadable_pages() and gets no records.
  void AddStoredPage(const KeyValue& entry);

  // Adds a record, whose text may grow to `reserve_bytes`, to a page with enough free space or to
  // a new page.
  RecordId Add(std::string text, size_t reserve_bytes, WritePriority priority);
  // Replaces the text of a record. An unchanged text is not written again.
  void Update(RecordId record_id, std::string text, size_t reserve_bytes, WritePriority priority);
  // Removes a record. Does nothing if it is not in use.
  void Remove(RecordId record_id);
  // Sets the size to which the text of a record may grow.
  void Reserve(RecordId record_id, size_t reserve_bytes);

  // Adds an empty page under a key that was never used. Invalidates references to pages.
  PageIndex AddPage();
  // Appends a record, with its reserved size, to a page.
  void AppendToPage(RecordId record_id, PageIndex page_index);
  // Empties a page and returns its records. They are on no page until AppendToPage.
  std::vector<RecordId> TakeRecords(PageIndex page_index);

  // Marks the page as changed; while the page is being split, marks the origin of the split.
  void MarkDirty(PageIndex page_index, WritePriority priority);
  // Called when the page is added to a transaction.
  void MarkInFlight(PageIndex page_index);
  // Called when the transaction with the page was committed at revision `version`.
  void MarkCommitted(PageIndex page_index, uint64_t version);
  // Called when the transaction with the page was not committed or has an indeterminate outcome.
  // Its changes become due at once. `now` is steady time in seconds.
  void MarkCommitFailed(PageIndex page_index, double now);

  // Returns the value to store for the page: the JSON array of its records.
  std::string EncodePage(const RecordPage& page) const;

  RecordPage& page(PageIndex page_index) { return pages_[page_index]; }
  const RecordPage& page(PageIndex page_index) const { return pages_[page_index]; }
  std::vector<RecordPage>& pages() { return pages_; }
  PageIndex page_count() const { return static_cast<PageIndex>(pages_.size()); }
  const StoredRecord& record(RecordId record_id) const { return records_[record_id]; }
  RecordId record_count() const { return static_cast<RecordId>(records_.size()); }
  // Number of pages whose records could not be read.
  int unreadable_pages() const { return unreadable_pages_; }

 private:
  RecordId AllocateRecord();
  PageIndex ChoosePage(size_t bytes);
  void AddStoredRecords(const JsonValue& items, PageIndex page_index);

  const Clock* clock_;
  const RecordStoreLimits* limits_;
  std::vector<StoredRecord> records_;
  std::vector<RecordId> free_records_;
  std::vector<RecordPage> pages_;
  uint64_t next_page_number_ = 0;  // higher than the number of any existing page
  int unreadable_pages_ = 0;
};

}  // namespace deckhall
