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
#include "state/state_port.h"

namespace deckhall {

using RowId = uint32_t;
constexpr RowId kNoRow = UINT32_MAX;

// Of a page, what its brackets take, with some room to spare.
constexpr size_t kPageRest = 16;
// What a page without rows takes.
constexpr size_t kEmptyPage = 2;
// A page that was rejected alone is tried again after so many seconds.
constexpr double kHoldRejected = 5;

// How soon a changed row has to be in the state service.
enum class WriteUrgency : uint8_t {
  kLazy,  // with others, within `lazy_s`, as far as the budget for writes allows
  kSoon,  // within `soon_s`, behind what is kNow
  kNow,   // somebody waits for it
};

struct StoreLimits {
  size_t most_bytes = 8 << 10;     // of a value, or it is refused
  size_t value_bytes = 8 << 10;    // to which pages are filled
  size_t present_bytes = 8 << 10;  // of a value, as long as announced limits are not in force
  size_t txn_ops = 12;
  double write_burst = 16;  // puts that can go out at once
  double lazy_s = 0.7;
  double soon_s = 0.4;
};

class RowStore {
 public:
  // Of the keys of its pages.
  static constexpr std::string_view kPrefix = "deckhall/pages/";

  RowStore(StatePort* state, const Clock* clock, StoreLimits limits, std::string leader_key,
           uint64_t term);

  // Reads all pages; then `done(true)` with every row's text, or `done(false)`.
  using Loaded = std::function<void(bool ok, std::vector<std::pair<RowId, std::string>> rows)>;
  void Load(Loaded done);

  // A new row; `reserve` is the size it may grow to.
  RowId Add(std::string text, size_t reserve, WriteUrgency urgency);
  void Set(RowId row, std::string text, size_t reserve, WriteUrgency urgency);
  void Remove(RowId row);
  // A row that was loaded may grow to this size: its page takes no more than leaves room
  // for that. A page over the state service's limit could never be written again.
  void Reserve(RowId row, size_t reserve);
  // Pages that are larger than the limits allow are split, a few rows' moves at a time:
  // old pages may have been filled under larger limits. Called when all rows are known.
  void SplitLargePages();
  // The largest text that a row may have.
  size_t most_bytes() const { return limits_.value_bytes - kPageRest; }
  size_t TextBytes(RowId row) const { return rows_[row].text.size(); }
  // True when the text last set is in the state service.
  bool Durable(RowId row) const { return !rows_[row].dirty && !rows_[row].in_flight; }
  // Pages whose rows are not known: what they held can't be denied.
  int unreadable() const { return unreadable_; }

  // Sends what is due. Called whenever something may have become due.
  void Flush();
  // Sends nothing any more.
  void Stop() { stopped_ = true; }
  // After each commit.
  std::function<void()> on_commit;
  // The term is over.
  std::function<void()> on_deposed;

 private:
  struct Row {
    std::string text;
    size_t reserve = 0;
    uint32_t page = 0;
    bool dirty = false;
    bool in_flight = false;
    bool live = false;
  };
  struct Page {
    std::string key;
    uint64_t version = 0;
    size_t reserved = kEmptyPage;
    std::vector<RowId> rows;
    bool dirty = false;
    WriteUrgency urgency = WriteUrgency::kLazy;
    bool in_flight = false;
    bool too_large = false;  // said so
    double since = 0;        // of the oldest change that is not sent
    double soon_since = 0;   // of the oldest one that is kSoon
    // A split that is not known to be carried out: its pages are written in one
    // transaction, or a row would be stored twice or not at all.
    uint32_t origin = kNoPage;    // the page that is split, also there itself
    std::vector<uint32_t> parts;  // at the origin: all pages of the split
    bool unsure = false;          // at the origin: a try was not answered
    bool alone = false;           // was rejected with others: goes in a transaction of its own
    double held_until = 0;        // was rejected alone: not tried before
  };
  static constexpr uint32_t kNoPage = UINT32_MAX;

  uint32_t PageFor(size_t bytes);
  Page& NewPage();
  void MarkDirty(uint32_t page, WriteUrgency urgency);
  bool TooLarge(const Page& page) const;
  // Moves rows of a page that is too large to new pages, in memory; the transaction
  // that writes all of them is still to be sent.
  void Split(uint32_t page);
  // The rejected split of this origin is taken back.
  void UndoSplit(uint32_t origin);
  void ConfirmSplit(uint32_t origin);
  // The pages that go out with this one: itself, or all of its split.
  std::vector<uint32_t> UnitOf(uint32_t page) const;
  // The state service refused the transaction for what it contains.
  void Rejected(const std::vector<uint32_t>& sent, size_t largest);
  void LearnValueLimit(size_t refused_bytes);
  // Whether the page is to be sent now, and how urgently: kLazy while it can wait.
  WriteUrgency DueAs(const Page& page, double now) const;
  struct DuePage {
    uint32_t index;
    WriteUrgency urgency;
    double since;
  };
  // A transaction that is being put together.
  struct Outgoing {
    Transaction txn;
    std::vector<uint32_t> pages;
    size_t bytes = 0;
    size_t largest = 0;  // of its values, in bytes
  };
  // The pages to send, the most urgent ones first.
  std::vector<DuePage> DuePages(double now) const;
  // Whether the budget for writes allows one more page of that urgency.
  bool HasRoom(double room, WriteUrgency urgency) const;
  // The same for so many puts that go out together.
  bool HasRoomFor(size_t puts, double room, WriteUrgency urgency) const;
  // Adds the page, with all that must go along, to the transaction. False: it can't.
  bool AddToTxn(const DuePage& due, Outgoing* out);
  std::string Render(const Page& page) const;
  // Sends one transaction, if something is due and may go.
  bool SendOne();
  void Finished(const std::vector<uint32_t>& sent, size_t largest, const StateAnswer& answer);
  void Resolve();
  void ResolvePages(const std::string& after);
  void LoadFrom(const std::string& after, Loaded done);

  StatePort* state_;
  const Clock* clock_;
  StoreLimits limits_;
  size_t stated_ops_;          // of the limits as they were handed over
  size_t accepted_bytes_ = 0;  // largest value accepted since a transaction was rejected
  std::string leader_key_;
  uint64_t term_;
  std::vector<Row> rows_;
  std::vector<RowId> free_rows_;
  std::vector<Page> pages_;
  uint64_t next_page_ = 0;  // number of the next new page: above all that exist
  int flights_ = 0;         // transactions not answered yet
  bool conflict_ = false;   // versions are read again once nothing is in flight
  bool resolving_ = false;
  bool stopped_ = false;
  double retry_at_ = 0;
  int unreadable_ = 0;
};

}  // namespace deckhall
