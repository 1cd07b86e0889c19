// The leader's durable records: small JSON texts, grouped into pages. Each page is one key of the
// state service.
//
// Guarantees:
// - A record is durable (IsDurable) only after a transaction with its current text was committed
//   in this term.
// - Each transaction is a compare-and-swap on the leader key and the versions of its pages, so a
//   leader whose term has ended can't change anything.
// - Records are never duplicated or lost, at whatever point a leader stops.
//
// Changes are applied in memory at once and sent by Flush. All calls are made on the event loop's
// thread. Owned by Leader, one for each term. Responses must not arrive after its destruction
// (ScopedKeyValueStore).
//
// This class is a facade over RecordPages (records and pages in memory), PageLoader,
// WriteScheduler (selects the pages to write), TransactionBuilder, GroupCommit (sends transactions
// and handles responses), ConflictResolver, PageSplitter and RejectionHandler (handles lowered
// limits).
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/clock.h"
#include "state/group_commit.h"
#include "state/key_value_store.h"
#include "state/page_loader.h"
#include "state/page_splitter.h"
#include "state/record_pages.h"
#include "state/record_types.h"

namespace deckhall {

class RecordStore {
 public:
  // Prefix of the page keys.
  static constexpr std::string_view kPrefix = kPageKeyPrefix;

  // `term` is the version of `leader_key` during this leader's term.
  RecordStore(KeyValueStore* key_value_store, const Clock* clock, RecordStoreLimits limits,
              std::string leader_key, uint64_t term);
  // Not copyable: its members hold pointers to each other.
  RecordStore(const RecordStore&) = delete;
  RecordStore& operator=(const RecordStore&) = delete;

  using LoadCallback =
      std::function<void(bool ok, std::vector<std::pair<RecordId, std::string>> records)>;
  // Reads all pages, then calls `done(true)` with the text of every record, or `done(false)` if a
  // read failed. May be called again until the first change.
  void Load(LoadCallback done);

  // Adds a record, whose text may grow to `reserve_bytes`.
  RecordId Add(std::string text, size_t reserve_bytes, WritePriority priority);
  // Replaces the text of a record. An unchanged text is not written again.
  void Update(RecordId record_id, std::string text, size_t reserve_bytes, WritePriority priority);
  // Removes a record, as a background write. Does nothing if it was removed before.
  void Remove(RecordId record_id);
  // Sets the size to which a loaded record may grow. A page that outgrows the value limit can't be
  // written.
  void Reserve(RecordId record_id, size_t reserve_bytes);
  // Schedules the split of pages that exceed the limits, as they may have been filled under larger
  // ones. Called once all records are loaded and have their reserved sizes.
  void SplitLargePages();
  // Largest size of a record's text, in bytes.
  size_t max_record_bytes() const { return limits_.fill_bytes - kPageOverheadBytes; }
  // Size of the record's current text, in bytes.
  size_t RecordBytes(RecordId record_id) const { return pages_.record(record_id).text.size(); }
  // Whether the record's current text is committed in the state service.
  bool IsDurable(RecordId record_id) const;
  // Number of pages whose records could not be read; they may hold jobs unknown to this leader.
  int unreadable_pages() const { return pages_.unreadable_pages(); }

  // Sends the writes that are due. Called after changes and on every tick.
  void Flush() { group_commit_.Flush(); }
  // Stops sending, and ignores outstanding responses.
  void Stop() { group_commit_.Stop(); }

  // Called after each commit.
  std::function<void()> on_commit;
  // Called when a conflict shows that the term has ended; nothing is written afterwards.
  std::function<void()> on_leadership_lost;

 private:
  RecordStoreLimits limits_;
  RecordPages pages_;
  PageLoader loader_;
  PageSplitter splitter_;
  GroupCommit group_commit_;
};

}  // namespace deckhall
