// The records and pages of the record store, in memory.
//
// Guarantees: every record in use is on exactly one page, and a page's `reserved` bytes are the
// sum of what its records may grow to. Nothing here talks to the state service.
//
// Owned by RecordStore. The other parts of the store (PageSplitter, TransactionBuilder,
// GroupCommit, ...) read and change pages through references that end at the next AddPage.
#pragma once

#include <string>
#include <vector>

#include "net/clock.h"
#include "state/key_value_store.h"
#include "state/record_types.h"

namespace deckhall {

// One JSON text, and how far it has been written to the state service. A record that changes
// while a transaction with its former text is in flight is both dirty and in flight.
struct StoredRecord {
  std::string text;
  size_t reserve = 0;  // bytes set aside on the page, separator included
  PageIndex page = 0;
  bool dirty = false;      // changed since its page was last sent
  bool in_flight = false;  // a change of it is in a transaction without a response
  bool in_use = false;
};

// Changes of a page that no transaction has taken yet. Times are steady, in seconds.
struct DirtyState {
  bool dirty = false;
  WritePriority priority = WritePriority::kBackground;  // the highest of the changes
  double dirty_since = 0;                               // time of the oldest change
  double deferred_since = 0;                            // time of the oldest deferred change
};

// A page split that is not confirmed. All its pages are written in one transaction; otherwise
// a record could be stored twice or not at all.
struct SplitState {
  PageIndex origin = kNoPage;    // the page that is split; set on every page of the split
  std::vector<PageIndex> parts;  // at the origin: all pages of the split, the origin included
  bool indeterminate = false;    // at the origin: an attempt had an indeterminate outcome

  bool IsSplitting() const { return origin != kNoPage; }
};

// What follows for a page from transactions that the state service rejected as invalid.
struct RejectionState {
  bool isolated = false;         // is sent in a transaction of its own
  bool oversize_logged = false;  // its size was logged
  double backoff_until = 0;      // steady time before which it is not sent, in seconds
};

// One key of the state service.
struct RecordPage {
  std::string key;
  uint64_t version = 0;  // last version seen; 0: the key does not exist
  size_t reserved = kEmptyPageBytes;
  std::vector<RecordId> records;
  bool in_flight = false;  // a transaction that writes it has no response yet
  DirtyState changes;
  SplitState split;
  RejectionState rejection;
};

class RecordPages {
 public:
  // `clock` and `limits` outlive this object; `limits` may change.
  RecordPages(const Clock* clock, const RecordStoreLimits* limits)
      : clock_(clock), limits_(limits) {}

  // Forgets all pages and records, so that they can be loaded.
  void Clear();
  // Takes over a page as the state service has it. A value that is not a JSON array is counted
  // in unreadable_pages(), and its page takes no records.
  void AddStoredPage(const KeyValue& entry);

  // Adds a record to a page with enough free space, or to a new page. `reserve` is the size in
  // bytes to which the text may grow.
  RecordId Add(std::string text, size_t reserve, WritePriority priority);
  // Replaces the text of a record. An unchanged text is not written again.
  void Update(RecordId record_id, std::string text, size_t reserve, WritePriority priority);
  // Removes a record. Does nothing if it is not in use.
  void Remove(RecordId record_id);
  // Sets aside `reserve` bytes for a record.
  void Reserve(RecordId record_id, size_t reserve);

  // Adds an empty page under a key that was never used. References to pages become invalid.
  PageIndex AddPage();
  // Puts a record, with its reserve, at the end of a page.
  void AppendToPage(RecordId record_id, PageIndex page_index);
  // Empties a page, and returns the records that were on it. They belong to no page until
  // AppendToPage.
  std::vector<RecordId> TakeRecords(PageIndex page_index);

  // Notes a change of the page; while the page is being split, at the origin of the split.
  void MarkDirty(PageIndex page_index, WritePriority priority);
  // The page is in a transaction that is sent.
  void MarkInFlight(PageIndex page_index);
  // The transaction with the page was committed at revision `version`.
  void MarkCommitted(PageIndex page_index, uint64_t version);
  // The transaction with the page was not committed, or has an indeterminate outcome: its
  // changes are due at once. `now` is steady time in seconds.
  void MarkCommitFailed(PageIndex page_index, double now);

  // The value to store for the page: the JSON array of its records.
  std::string EncodePage(const RecordPage& page) const;

  RecordPage& page(PageIndex page_index) { return pages_[page_index]; }
  const RecordPage& page(PageIndex page_index) const { return pages_[page_index]; }
  std::vector<RecordPage>& pages() { return pages_; }
  PageIndex page_count() const { return static_cast<PageIndex>(pages_.size()); }
  const StoredRecord& record(RecordId record_id) const { return records_[record_id]; }
  RecordId record_count() const { return static_cast<RecordId>(records_.size()); }
  // Pages whose records could not be read.
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
