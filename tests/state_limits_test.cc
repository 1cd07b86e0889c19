// The state service lowers its limits: announced or not, with pages that were filled under
// the former ones, and with a leader that ends at any step of splitting them.
#include <gtest/gtest.h>

#include <set>

#include "fakes.h"
#include "state/page_split.h"

namespace deckhall {
namespace {

constexpr size_t kRows = 30;
constexpr size_t kSmallValue = 1000;

std::string RowText(size_t i) {
  return "{\"row\":" + std::to_string(100 + i) + ",\"text\":\"" + std::string(70, 'x') + "\"}";
}

// A store whose one page was filled under larger limits.
struct LargePage {
  FakeClock clock;
  FakeState state;
  RecordStoreLimits limits;
  std::vector<std::unique_ptr<RecordStore>> stores;  // answers to former ones may still come

  LargePage() {
    state.keys["leader"] = {"{}", 1, 0};
    std::string page = "[";
    for (size_t i = 0; i < kRows; ++i) page += (i == 0 ? "" : ",") + RowText(i);
    state.keys["deckhall/pages/000000"] = {page + "]", 2, 0};
    limits.max_value_bytes = kSmallValue;
    limits.fill_bytes = kSmallValue * 85 / 100;
    limits.current_max_value_bytes = 8 << 10;
    limits.max_transaction_ops = 4;
  }
  RecordStore& Load() {
    if (!stores.empty()) stores.back()->Stop();
    stores.push_back(std::make_unique<RecordStore>(&state, &clock, limits, "leader", 1));
    stores.back()->Load([](bool ok, const auto&) { EXPECT_TRUE(ok); });
    state.Run();
    stores.back()->SplitLargePages();
    return *stores.back();
  }
  void Pass(double seconds) {
    for (double t = 0; t < seconds; t += 0.1) {
      clock.now += 0.1;
      stores.back()->Flush();
      state.Run();
    }
  }
  // The number of each row that is stored, as often as it is.
  std::multiset<int> Stored() const {
    std::multiset<int> rows;
    for (const auto& [key, entry] : state.keys) {
      if (!key.starts_with("deckhall/pages/")) continue;
      rapidjson::Document doc;
      EXPECT_TRUE(ParseJson(entry.value, &doc));
      for (const auto& row : doc.GetArray()) rows.insert(row["row"].GetInt());
    }
    return rows;
  }
  bool EachOnce() const {
    const std::multiset<int> rows = Stored();
    return rows.size() == kRows && std::set<int>(rows.begin(), rows.end()).size() == kRows;
  }
  size_t Largest() const {
    size_t largest = 0;
    for (const auto& [key, entry] : state.keys) largest = std::max(largest, entry.value.size());
    return largest;
  }
};

TEST(StateLimits, ALargePageIsSplitBeforeTheAnnouncedLimitsCome) {
  LargePage w;
  w.Load();
  w.Pass(10);
  EXPECT_TRUE(w.EachOnce());
  EXPECT_LE(w.Largest(), kSmallValue);
  for (const Transaction& txn : w.state.committed)
    EXPECT_LE(txn.mutations.size(), w.limits.max_transaction_ops);
}

// A leader may end at any moment; the next one reads the same pages, of whatever version it is.
TEST(StateLimits, ASplitThatEndsHalfWayLosesAndDoublesNoRow) {
  for (size_t step = 0; step < 40; ++step) {
    LargePage w;
    w.Load();
    w.Pass(0.1 * static_cast<double>(step % 20));
    w.state.hold_commits = step < 20 ? 1 : 0;
    w.stores.back()->Flush();
    w.Load();
    ASSERT_TRUE(w.EachOnce()) << step;
    w.state.Late();  // what the former leader had sent
    ASSERT_TRUE(w.EachOnce()) << step;
    w.Pass(10);
    ASSERT_TRUE(w.EachOnce()) << step;
    EXPECT_LE(w.Largest(), kSmallValue) << step;
  }
}

TEST(StateLimits, ASplitWhoseAnswerIsLostIsNotCarriedOutTwice) {
  for (const bool late : {false, true}) {
    LargePage w;
    RecordStore& store = w.Load();
    (late ? w.state.hold_commits : w.state.lose_answers) = 1;
    w.Pass(0.1);
    // A row of a page whose split is not confirmed changes.
    const std::string changed = "{\"row\":129,\"text\":\"new\"}";
    store.Update(kRows - 1, changed, changed.size(), WritePriority::kImmediate);
    w.Pass(0.3);
    if (late) w.state.Late();
    w.Pass(10);
    EXPECT_TRUE(w.EachOnce());
    EXPECT_LE(w.Largest(), kSmallValue);
    EXPECT_TRUE(store.IsDurable(kRows - 1));
    const bool stored = std::any_of(w.state.keys.begin(), w.state.keys.end(), [&](const auto& e) {
      return e.second.value.find(changed) != std::string::npos;
    });
    EXPECT_TRUE(stored);
  }
}

TEST(StateLimits, WhatChangesWhileASplitIsOnItsWayIsWrittenAfterIt) {
  LargePage w;
  RecordStore& store = w.Load();
  w.clock.now += 1;
  store.Flush();
  ASSERT_EQ(w.state.committed.size(), 1U);
  const std::string changed = "{\"row\":129,\"text\":\"new\"}";
  store.Update(kRows - 1, changed, changed.size(), WritePriority::kImmediate);
  w.state.Run();
  w.Pass(3);
  EXPECT_TRUE(store.IsDurable(kRows - 1));
  EXPECT_TRUE(w.EachOnce());
}

TEST(StateLimits, NoTransactionHasMoreOperationsThanAllowed) {
  LargePage w;
  RecordStore& store = w.Load();
  w.Pass(3);
  w.state.committed.clear();
  for (int i = 0; i < 10; ++i) store.Add(R"({"row":1})", 800, WritePriority::kImmediate);
  w.Pass(2);
  size_t writes = 0;
  for (const Transaction& txn : w.state.committed) {
    EXPECT_LE(txn.mutations.size(), w.limits.max_transaction_ops);
    writes += txn.mutations.size();
  }
  EXPECT_EQ(writes, 10U);
}

// Found on the deployments with gangs: with few operations a transaction, lazy writes left
// no budget for acceptances.
TEST(StateLimits, LazyWritesLeaveRoomHoweverFewOperationsAreAllowed) {
  LargePage w;
  RecordStore& store = w.Load();
  w.Pass(3);
  w.state.write_room = 4;
  const RecordId lazy = store.Add(R"({"row":1})", 800, WritePriority::kBackground);
  w.Pass(2);
  EXPECT_FALSE(store.IsDurable(lazy));
  const RecordId urgent = store.Add(R"({"row":2})", 800, WritePriority::kImmediate);
  w.Pass(0.2);
  EXPECT_TRUE(store.IsDurable(urgent));
  w.state.write_room = 6;
  w.Pass(2);
  EXPECT_TRUE(store.IsDurable(lazy));
}

TEST(StateLimits, PagesThatAreLargeWhenTheLimitsComeAreSplitInOneTransaction) {
  LargePage w;
  w.state.value_limit = kSmallValue;
  w.state.ops_limit = 4;
  RecordStore& store = w.Load();
  const RecordId urgent = store.Add(R"({"row":1})", 20, WritePriority::kImmediate);
  w.Pass(1);
  EXPECT_TRUE(store.IsDurable(urgent));  // what fits goes on
  w.Pass(20);
  EXPECT_LE(w.Largest(), kSmallValue);
  EXPECT_EQ(w.Stored().size(), kRows + 1);
}

// Found by reading: a rejected transaction counted as a conflict, versions were read back,
// and it was sent again without end, with all that went along.
TEST(StateLimits, LimitsThatNobodyAnnouncedAreLearntFromTheAnswers) {
  for (const size_t ops : {2UL, 3UL, 12UL}) {
    LargePage w;
    w.limits = RecordStoreLimits();
    w.limits.background_delay_s = 0.1;
    RecordStore& store = w.Load();
    std::vector<RecordId> rows;
    for (int i = 0; i < 8; ++i) {
      rows.push_back(
          store.Add(RowText(200 + static_cast<size_t>(i)), 6000, WritePriority::kImmediate));
    }
    w.state.ops_limit = ops;
    w.state.value_limit = 5000;
    w.Pass(3);
    for (const RecordId row : rows) EXPECT_TRUE(store.IsDurable(row)) << ops;
    EXPECT_LT(w.state.too_many_ops + w.state.too_large, 30) << ops;
  }
}

TEST(StateLimits, OnePageThatIsRejectedHoldsUpNoOther) {
  LargePage w;
  w.limits = RecordStoreLimits();
  w.state.value_limit = 2000;  // the page takes more, and the store does not know
  RecordStore& store = w.Load();
  const std::string changed = "{\"row\":100,\"text\":\"new\"}";
  store.Update(0, changed, changed.size(), WritePriority::kImmediate);
  const RecordId other = store.Add(std::string(40, '7'), 7000, WritePriority::kImmediate);
  w.Pass(2);
  EXPECT_TRUE(store.IsDurable(other));
  w.Pass(20);
  EXPECT_TRUE(store.IsDurable(0));
  EXPECT_LE(w.Largest(), 2000U);
}

TEST(StateLimits, RowsThatFitNoPageTogetherStayOnTheOldOne) {
  const std::vector<RecordSize> rows(10, RecordSize{400, 300});
  const RecordGroups groups = PlanPageSplit(rows, {1000, 1200, 2});
  ASSERT_EQ(groups.size(), 2U);
  EXPECT_EQ(groups[0].size() + groups[1].size(), rows.size());
  EXPECT_LE(groups[1].size() * 300, 1200U);
  EXPECT_EQ(PlanPageSplit(rows, {1000, 1200, 10}).size(), 5U);
}

// What the version before wrote: large pages with jobs, machines and hints of caches. Under
// the new limits every job stays known, and new ones are accepted.
TEST(StateLimits, WhatWasWrittenUnderLargerLimitsIsKeptAndNewJobsAreAccepted) {
  World w;
  w.settings.teams[0].cores_max = 0;
  w.Lead();
  for (int i = 0; i < 12; ++i) w.Machine("m-" + std::to_string(i), "east");
  for (int i = 0; i < 40; ++i) {
    ASSERT_EQ(w.Submit(w.Array("job-" + std::to_string(i), 1)).status, 201);
  }
  w.Pass(20);  // hints are written too
  ASSERT_EQ(w.Ask(JobOperation::kCancel, "job-7").state, JobState::kCancelled);
  size_t largest = 0;
  for (const auto& [key, entry] : w.state.keys) largest = std::max(largest, entry.value.size());
  ASSERT_GT(largest, 4096U);
  w.settings.effective_state_limits.value_kb = 2;
  w.settings.effective_state_limits.txn_ops = 4;
  w.Lead();
  w.Pass(5);
  w.state.value_limit = 2048;
  w.state.ops_limit = 4;
  ASSERT_EQ(w.Submit(w.Array("job-100", 1)).status, 201);
  ASSERT_EQ(w.Ask(JobOperation::kCancel, "job-8").state, JobState::kCancelled);
  w.Pass(20);
  EXPECT_EQ(w.state.too_large, 0);
  EXPECT_EQ(w.state.too_many_ops, 0);
  for (const auto& [key, entry] : w.state.keys) EXPECT_LE(entry.value.size(), 2048U) << key;
  w.Lead();
  for (int i = 0; i < 40; ++i) {
    const std::string id = "job-" + std::to_string(i);
    EXPECT_EQ(w.Ask(JobOperation::kGet, id).status, 200) << id;
  }
  EXPECT_EQ(w.Ask(JobOperation::kGet, "job-7").state, JobState::kCancelled);
  EXPECT_EQ(w.Ask(JobOperation::kGet, "job-8").state, JobState::kCancelled);
  EXPECT_EQ(w.Ask(JobOperation::kGet, "job-100").status, 200);
}

TEST(StateLimits, AJobThatOnlyTheFormerLimitsCouldHoldStillEnds) {
  World w;
  w.Lead();
  JobSpec large = w.Array("job-1", 1);
  large.allowed_types.emplace();
  large.allowed_types->push_back("box");
  for (int i = 0; i < 30; ++i)
    large.allowed_types->push_back(std::string(100, 'a') + std::to_string(i));
  ASSERT_EQ(w.Submit(large).status, 201);
  w.settings.effective_state_limits.value_kb = 2;
  w.Lead();
  w.Pass(5);
  w.state.value_limit = 2048;
  EXPECT_EQ(w.Ask(JobOperation::kCancel, "job-1").state, JobState::kCancelled);
  w.Lead();
  EXPECT_EQ(w.Ask(JobOperation::kGet, "job-1").state, JobState::kCancelled);
  large.id = "job-2";
  EXPECT_EQ(w.Submit(large).status, 422);
}

TEST(Settings, TheSmallerOfPresentAndAnnouncedLimitsCounts) {
  const std::string text =
      R"({"label":"n0","serve_on":"127.0.0.1:1","mesh_addr":"127.0.0.1:2",
"external":{"cloud":"127.0.0.1:4","state":"127.0.0.1:5"},
"cluster":{"state":{"rps":60,"write_rps":20,"value_kb":8,"txn_ops":12,
"next":{"write_rps":30,"value_kb":2,"txn_ops":4}}}})";
  Settings s;
  ASSERT_EQ(ReadSettings(text, &s), "");
  EXPECT_EQ(s.current_state_limits.value_kb, 8);
  EXPECT_EQ(s.effective_state_limits.value_kb, 2);
  EXPECT_EQ(s.effective_state_limits.txn_ops, 4);
  EXPECT_EQ(s.effective_state_limits.write_rps, 20);
  std::string without = text;
  const size_t at = without.find(",\n\"next\"");
  without.erase(at, without.find("}}}}") + 1 - at);
  Settings present;
  ASSERT_EQ(ReadSettings(without, &present), "");
  EXPECT_EQ(present.effective_state_limits.value_kb, 8);
  for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>>{
           {"\"value_kb\":2", "\"value_kb\":0"},
           {"\"txn_ops\":4", "\"txn_ops\":\"4\""},
           {R"({"write_rps":30,"value_kb":2,"txn_ops":4})", "7"}}) {
    std::string bad = text;
    bad.replace(bad.find(from), from.size(), to);
    Settings out;
    const std::string why = ReadSettings(bad, &out);
    EXPECT_TRUE(why.starts_with("state.next")) << why;
    EXPECT_EQ(why.find('\n'), std::string::npos);
  }
}

}  // namespace
}  // namespace deckhall
