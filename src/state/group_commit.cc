#include "state/group_commit.h"

#include <utility>

namespace deckhall {
namespace {

constexpr int kMaxTransactionsInFlight = 4;
// Delays before the next transaction after a response.
constexpr double kRetryAfterUnavailableSeconds = 0.1;
constexpr double kRetryAfterLeaderKeyUnavailableSeconds = 0.2;
constexpr double kRetryAfterVersionsReadSeconds = 0.05;

}  // namespace

GroupCommit::GroupCommit(KeyValueStore* key_value_store, const Clock* clock,
                         RecordStoreLimits* limits, const Precondition& leadership,
                         RecordPages* pages, PageSplitter* splitter, GroupCommitEvents events)
    : key_value_store_(key_value_store),
      clock_(clock),
      limits_(limits),
      leadership_(leadership),
      pages_(pages),
      splitter_(splitter),
      events_(std::move(events)),
      scheduler_(pages, limits),
      rejection_handler_(clock, limits, pages, splitter),
      conflict_resolver_(key_value_store, leadership, pages) {}

void GroupCommit::Flush() {
  while (SendTransaction()) {
  }
}

void GroupCommit::Stop() {
  is_stopped_ = true;
  conflict_resolver_.Stop();
}

bool GroupCommit::MaySend(double now) const {
  return !is_stopped_ && conflict_state_ == ConflictState::kNone && now >= retry_at_ &&
         transactions_in_flight_ < kMaxTransactionsInFlight;
}

bool GroupCommit::SendTransaction() {
  const double now = clock_->Now();
  if (!MaySend(now)) return false;
  const std::vector<DuePage> due = scheduler_.ListDuePages(now, transactions_in_flight_ > 0);
  if (due.empty()) return false;
  const PageTransaction outgoing = BuildTransaction(due, now);
  if (outgoing.pages.empty()) return false;
  Send(outgoing);
  return true;
}

PageTransaction GroupCommit::BuildTransaction(const std::vector<DuePage>& due, double now) {
  double available_tokens = key_value_store_->AvailableWriteTokens();
  TransactionBuilder builder(leadership_, limits_, pages_, splitter_);
  for (const DuePage& page : due) {
    if (splitter_->IsOversized(page.index)) splitter_->SplitPage(page.index);
    if (!builder.MayJoin(page.index)) break;
    const size_t puts = splitter_->PagesCommittedWith(page.index).size();
    if (!scheduler_.HasWriteBudget(puts, available_tokens, page.priority)) break;
    if (!builder.AddPage(page.index, now)) {
      if (builder.IsEmpty()) continue;
      break;
    }
    available_tokens -= static_cast<double>(puts);
    if (pages_->page(page.index).rejection.isolated) break;
  }
  return builder.result();
}

void GroupCommit::Send(const PageTransaction& outgoing) {
  ++transactions_in_flight_;
  key_value_store_->Commit(
      outgoing.transaction,
      [this, pages = outgoing.pages,
       largest_value_bytes = outgoing.largest_value_bytes](const KeyValueResponse& response) {
        HandleCommitResponse(pages, largest_value_bytes, response);
      });
}

void GroupCommit::HandleCommitResponse(const std::vector<PageIndex>& pages,
                                       size_t largest_value_bytes,
                                       const KeyValueResponse& response) {
  if (is_stopped_) return;
  const double now = clock_->Now();
  const bool is_committed = response.status == KeyValueStatus::kOk;
  --transactions_in_flight_;
  if (is_committed) {
    HandleCommitted(pages, largest_value_bytes, response.revision_or_lease);
  } else {
    HandleNotCommitted(pages, largest_value_bytes, response.status, now);
  }
  if (conflict_state_ == ConflictState::kPending && transactions_in_flight_ == 0) {
    conflict_state_ = ConflictState::kResolving;
    conflict_resolver_.Resolve([this](ConflictOutcome outcome) { HandleConflictOutcome(outcome); });
  }
  if (is_committed) events_.on_commit();
  Flush();
}

void GroupCommit::HandleCommitted(const std::vector<PageIndex>& pages, size_t largest_value_bytes,
                                  uint64_t version) {
  for (PageIndex page_index : pages) pages_->MarkCommitted(page_index, version);
  rejection_handler_.NoteAcceptedValue(largest_value_bytes);
  for (PageIndex page_index : pages) {
    const RecordPage& page = pages_->page(page_index);
    pages_->page(page_index).rejection.isolated = false;
    if (page.split.origin == page_index) splitter_->ConfirmSplit(page_index);
  }
}

void GroupCommit::HandleNotCommitted(const std::vector<PageIndex>& pages,
                                     size_t largest_value_bytes, KeyValueStatus status,
                                     double now) {
  for (PageIndex page_index : pages) pages_->MarkCommitFailed(page_index, now);
  switch (status) {
    case KeyValueStatus::kOk:
      break;
    case KeyValueStatus::kIndeterminate:
      // The pages are sent again with the same expected versions. If the first attempt is executed
      // late, the second fails with a conflict.
      for (PageIndex page_index : pages) pages_->page(page_index).split.indeterminate = true;
      break;
    case KeyValueStatus::kInvalid:
      rejection_handler_.HandleRejection(pages, largest_value_bytes);
      break;
    case KeyValueStatus::kConflict:
      conflict_state_ = ConflictState::kPending;
      break;
    case KeyValueStatus::kUnavailable:
      retry_at_ = now + kRetryAfterUnavailableSeconds;
      break;
  }
}

void GroupCommit::HandleConflictOutcome(ConflictOutcome outcome) {
  switch (outcome) {
    case ConflictOutcome::kVersionsRead:
      conflict_state_ = ConflictState::kNone;
      retry_at_ = clock_->Now() + kRetryAfterVersionsReadSeconds;
      break;
    case ConflictOutcome::kLeaderKeyUnavailable:
      conflict_state_ = ConflictState::kNone;
      retry_at_ = clock_->Now() + kRetryAfterLeaderKeyUnavailableSeconds;
      break;
    case ConflictOutcome::kLeadershipLost:
      conflict_state_ = ConflictState::kLeadershipLost;
      events_.on_leadership_lost();
      break;
  }
}

}  // namespace deckhall
