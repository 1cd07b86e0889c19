// Writes dirty pages to the state service, batched into transactions.
//
// Guarantees:
// - Every transaction is a compare-and-swap on the leader key and on the pages it writes: nothing
//   is written after the end of the term, and at most one of several attempts is executed.
// - A page is in at most one transaction at a time. While one transaction awaits its response,
//   further ones with immediate writes to other pages may be sent.
// - Changes that were not committed, or whose outcome is indeterminate, are sent again.
//
// Owned by RecordStore.
#pragma once

#include <functional>
#include <vector>

#include "state/conflict_resolver.h"
#include "state/page_splitter.h"
#include "state/record_pages.h"
#include "state/rejection_handler.h"
#include "state/transaction_builder.h"
#include "state/write_scheduler.h"

namespace deckhall {

// Callbacks to the owner of GroupCommit.
struct GroupCommitEvents {
  std::function<void()> on_commit;           // a transaction was committed
  std::function<void()> on_leadership_lost;  // the term has ended; nothing is written afterwards
};

class GroupCommit {
 public:
  // `leadership` is the precondition that holds during this leader's term. `limits` may be lowered.
  GroupCommit(KeyValueStore* key_value_store, const Clock* clock, RecordStoreLimits* limits,
              const Precondition& leadership, RecordPages* pages, PageSplitter* splitter,
              GroupCommitEvents events);

  // Sends all transactions that are due and within the write budget.
  void Flush();
  // Stops sending, and ignores outstanding responses.
  void Stop();

 private:
  enum class ConflictState {
    kNone,
    kPending,         // a transaction failed with a conflict; others are in flight
    kResolving,       // versions are being read again
    kLeadershipLost,  // the term has ended
  };

  bool MaySend(double now) const;
  // Sends one transaction. Returns false if nothing is due or nothing may be sent now.
  bool SendTransaction();
  PageTransaction BuildTransaction(const std::vector<DuePage>& due, double now);
  void Send(const PageTransaction& outgoing);

  void HandleCommitResponse(const std::vector<PageIndex>& pages, size_t largest_value_bytes,
                            const KeyValueResponse& response);
  void HandleCommitted(const std::vector<PageIndex>& pages, size_t largest_value_bytes,
                       uint64_t version);
  void HandleNotCommitted(const std::vector<PageIndex>& pages, size_t largest_value_bytes,
                          KeyValueStatus status, double now);
  void HandleConflictOutcome(ConflictOutcome outcome);

  KeyValueStore* key_value_store_;
  const Clock* clock_;
  const RecordStoreLimits* limits_;
  Precondition leadership_;
  RecordPages* pages_;
  PageSplitter* splitter_;
  GroupCommitEvents events_;
  WriteScheduler scheduler_;
  RejectionHandler rejection_handler_;
  ConflictResolver conflict_resolver_;
  int transactions_in_flight_ = 0;  // sent, awaiting their responses
  ConflictState conflict_state_ = ConflictState::kNone;
  double retry_at_ = 0;  // steady time before which nothing is sent, in seconds
  bool is_stopped_ = false;
};

}  // namespace deckhall
