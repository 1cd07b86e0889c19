// The leader's durable records: small JSON texts, many to a page, one page to a key of the state
// service.
//
// Guarantees:
// - A record counts as durable (IsDurable) only after a transaction with its present text was
//   committed in this term.
// - Each transaction is a compare-and-swap on the leader key and the versions of its pages, so a
//   leader whose term is over changes nothing.
// - Records are never stored twice or lost, whatever step a leader ends at.
//
// Invariant: changes are made in memory at once; Flush sends them. One thread, that of the event
// loop. Owned by Leader, one for each term; must outlive the requests it sent.
//
// This class is a facade. Its parts, each in a file of its own: RecordPages (records on pages),
// PageLoader, WriteScheduler (what is due), TransactionBuilder, GroupCommit (sending and
// responses), ConflictResolver, PageSplitter, RejectionHandler (lowered limits).
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
  // Prefix of the keys of its pages.
  static constexpr std::string_view kPrefix = kPageKeyPrefix;

  // `term` is the version of `leader_key` while this leader's term stands.
  RecordStore(KeyValueStore* key_value_store, const Clock* clock, RecordStoreLimits limits,
              std::string leader_key, uint64_t term);
  // Its parts refer to each other.
  RecordStore(const RecordStore&) = delete;
  RecordStore& operator=(const RecordStore&) = delete;

  using Loaded = std::function<void(bool ok, std::vector<std::pair<RecordId, std::string>> rows)>;
  // Reads all pages, then calls `done(true)` with the text of every record, or `done(false)`
  // if a read failed. May be called again before the first change.
  void Load(Loaded done);

  // Adds a record; `reserve` is the size in bytes to which its text may grow.
  RecordId Add(std::string text, size_t reserve, WritePriority priority);
  // Replaces the text of a record. An unchanged text is not written again.
  void Update(RecordId record_id, std::string text, size_t reserve, WritePriority priority);
  // Removes a record, as a background write. Does nothing if it was removed before.
  void Remove(RecordId record_id);
  // Sets aside `reserve` bytes for a record that was loaded. A page that outgrows the limit for
  // values can't be written.
  void Reserve(RecordId record_id, size_t reserve);
  // Schedules the split of pages that exceed the limits: they may have been filled under larger
  // ones. Called once all records are loaded and have their reserves.
  void SplitLargePages();
  // Size in bytes of the largest text that a record may have.
  size_t max_record_bytes() const { return limits_.fill_bytes - kPageOverheadBytes; }
  // Size in bytes of the present text.
  size_t RecordBytes(RecordId record_id) const { return pages_.record(record_id).text.size(); }
  // Whether the present text is committed in the state service.
  bool IsDurable(RecordId record_id) const;
  // Pages whose records could not be read: whether a job is stored there is not known.
  int unreadable_pages() const { return pages_.unreadable_pages(); }

  // Sends what is due. Called after changes and at every tick.
  void Flush() { group_commit_.Flush(); }
  // Sends nothing any more, and ignores responses.
  void Stop() { group_commit_.Stop(); }

  // Called after each commit.
  std::function<void()> on_commit;
  // Called when a conflict shows that the term is over; nothing more is written.
  std::function<void()> on_leadership_lost;

 private:
  RecordStoreLimits limits_;
  RecordPages pages_;
  PageLoader loader_;
  PageSplitter splitter_;
  GroupCommit group_commit_;
};

}  // namespace deckhall
