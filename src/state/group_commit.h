// Writes dirty pages to the state service, several in one transaction.
//
// Guarantees:
// - Every transaction is a compare-and-swap on the leader key and on the pages it writes: after
//   the end of the term nothing is written, and of several attempts at most one is executed.
// - A page is in one transaction at a time. Further transactions with immediate writes to other
//   pages may be sent while one is slow to respond.
// - Changes that were not committed, or have an indeterminate outcome, are sent again.
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

// What group commit tells its owner.
struct GroupCommitEvents {
  std::function<void()> on_commit;           // a transaction was committed
  std::function<void()> on_leadership_lost;  // the term is over; nothing more is written
};

class GroupCommit {
 public:
  // `leadership` holds as long as this leader's term. `limits` may be lowered.
  GroupCommit(KeyValueStore* key_value_store, const Clock* clock, RecordStoreLimits* limits,
              const Precondition& leadership, RecordPages* pages, PageSplitter* splitter,
              GroupCommitEvents events);

  // Sends all transactions that are due and within the write budget.
  void Flush();
  // Sends nothing any more, and ignores responses.
  void Stop();

 private:
  enum class ConflictState {
    kNone,
    kPending,         // a transaction met a conflict; others are still in flight
    kResolving,       // versions are being read again
    kLeadershipLost,  // the term is over
  };

  bool MaySend(double now) const;
  // Sends one transaction. False: nothing is due, or nothing may be sent now.
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
  int transactions_in_flight_ = 0;  // sent, without a response
  ConflictState conflict_state_ = ConflictState::kNone;
  double retry_at_ = 0;  // steady time before which nothing is sent, in seconds
  bool is_stopped_ = false;
};

}  // namespace deckhall
