// The state service lowers its limits, announced or not: pages that were filled under the former
// limits are split, also when a leader ends at any step of a split, and no record is lost.
#include <gtest/gtest.h>

#include <set>

#include "fakes.h"
#include "state/page_split.h"

namespace deckhall {
namespace {

constexpr size_t kRecordCount = 30;
constexpr size_t kLoweredValueBytes = 1000;
// The last record, and the text to which tests change it.
constexpr RecordId kLastRecord = kRecordCount - 1;
constexpr const char* kChangedLastRecord = "{\"row\":129,\"text\":\"new\"}";
constexpr const char* kChangedFirstRecord = "{\"row\":100,\"text\":\"new\"}";

std::string RecordText(size_t i) {
  return "{\"row\":" + std::to_string(100 + i) + ",\"text\":\"" + std::string(70, 'x') + "\"}";
}

size_t LargestValueBytes(const FakeState& state) {
  size_t largest = 0;
  for (const auto& [key, entry] : state.keys) largest = std::max(largest, entry.value.size());
  return largest;
}

// A state service with one page that was filled under larger limits, and the record stores of
// successive leaders.
struct OversizedPageScenario {
  FakeClock clock;
  FakeState state;
  RecordStoreLimits limits;
  std::vector<std::unique_ptr<RecordStore>> stores;  // responses to former ones may still come

  OversizedPageScenario() {
    state.keys["leader"] = {"{}", 1, 0};
    std::string page = "[";
    for (size_t i = 0; i < kRecordCount; ++i) page += (i == 0 ? "" : ",") + RecordText(i);
    state.keys["deckhall/pages/000000"] = {page + "]", 2, 0};
    limits.max_value_bytes = kLoweredValueBytes;
    limits.fill_bytes = kLoweredValueBytes * 85 / 100;
    limits.current_max_value_bytes = 8 << 10;
    limits.max_transaction_ops = 4;
  }
  // The next leader takes over.
  RecordStore& LoadStore() {
    if (!stores.empty()) stores.back()->Stop();
    stores.push_back(std::make_unique<RecordStore>(&state, &clock, limits, "leader", 1));
    stores.back()->Load([](bool ok, const auto&) { EXPECT_TRUE(ok); });
    state.Run();
    stores.back()->SplitLargePages();
    return *stores.back();
  }
  void AdvanceTime(double seconds) {
    for (double t = 0; t < seconds; t += 0.1) {
      clock.now += 0.1;
      stores.back()->Flush();
      state.Run();
    }
  }
  // The number of each stored record, as often as it is stored.
  std::multiset<int> StoredRecords() const {
    std::multiset<int> records;
    for (const auto& [key, entry] : state.keys) {
      if (!key.starts_with("deckhall/pages/")) continue;
      rapidjson::Document document;
      EXPECT_TRUE(ParseJson(entry.value, &document));
      for (const auto& record : document.GetArray()) records.insert(record["row"].GetInt());
    }
    return records;
  }
  bool HasEachRecordOnce() const {
    const std::multiset<int> records = StoredRecords();
    return records.size() == kRecordCount &&
           std::set<int>(records.begin(), records.end()).size() == kRecordCount;
  }
  bool IsTextStored(const std::string& text) const {
    return std::any_of(state.keys.begin(), state.keys.end(), [&](const auto& entry) {
      return entry.second.value.find(text) != std::string::npos;
    });
  }
};

class LoweredLimitsTest : public testing::Test {
 protected:
  OversizedPageScenario scenario_;
};

TEST_F(LoweredLimitsTest, OversizedPageIsSplitBeforeAnnouncedLimitsTakeEffect) {
  scenario_.LoadStore();
  scenario_.AdvanceTime(10);
  EXPECT_TRUE(scenario_.HasEachRecordOnce());
  EXPECT_LE(LargestValueBytes(scenario_.state), kLoweredValueBytes);
  for (const Transaction& transaction : scenario_.state.committed)
    EXPECT_LE(transaction.mutations.size(), scenario_.limits.max_transaction_ops);
}

// A leader may end at any moment; the next one reads the same pages, whichever version of the
// software it runs.
TEST_F(LoweredLimitsTest, LeaderEndingDuringSplitLosesAndDuplicatesNoRecord) {
  for (size_t step = 0; step < 40; ++step) {
    OversizedPageScenario scenario;
    scenario.LoadStore();
    scenario.AdvanceTime(0.1 * static_cast<double>(step % 20));
    scenario.state.commits_to_delay = step < 20 ? 1 : 0;
    scenario.stores.back()->Flush();
    scenario.LoadStore();
    ASSERT_TRUE(scenario.HasEachRecordOnce()) << step;
    scenario.state.ApplyDelayed();  // executes what the former leader had sent
    ASSERT_TRUE(scenario.HasEachRecordOnce()) << step;
    scenario.AdvanceTime(10);
    ASSERT_TRUE(scenario.HasEachRecordOnce()) << step;
    EXPECT_LE(LargestValueBytes(scenario.state), kLoweredValueBytes) << step;
  }
}

TEST_F(LoweredLimitsTest, SplitWithIndeterminateOutcomeIsNotExecutedTwice) {
  for (const bool late : {false, true}) {
    OversizedPageScenario scenario;
    RecordStore& store = scenario.LoadStore();
    (late ? scenario.state.commits_to_delay : scenario.state.responses_to_lose) = 1;
    scenario.AdvanceTime(0.1);
    // A record changes on a page whose split is not confirmed.
    const std::string changed = kChangedLastRecord;
    store.Update(kLastRecord, changed, changed.size(), WritePriority::kImmediate);
    scenario.AdvanceTime(0.3);
    if (late) scenario.state.ApplyDelayed();
    scenario.AdvanceTime(10);
    EXPECT_TRUE(scenario.HasEachRecordOnce());
    EXPECT_LE(LargestValueBytes(scenario.state), kLoweredValueBytes);
    EXPECT_TRUE(store.IsDurable(kLastRecord));
    EXPECT_TRUE(scenario.IsTextStored(changed));
  }
}

TEST_F(LoweredLimitsTest, RecordChangedWhileSplitIsInFlightIsWrittenAfterIt) {
  RecordStore& store = scenario_.LoadStore();
  scenario_.clock.now += 1;
  store.Flush();
  ASSERT_EQ(scenario_.state.committed.size(), 1U);
  const std::string changed = kChangedLastRecord;
  store.Update(kLastRecord, changed, changed.size(), WritePriority::kImmediate);
  scenario_.state.Run();
  scenario_.AdvanceTime(3);
  EXPECT_TRUE(store.IsDurable(kLastRecord));
  EXPECT_TRUE(scenario_.HasEachRecordOnce());
}

TEST_F(LoweredLimitsTest, ManyDirtyPagesAreWrittenWithinTheOperationLimit) {
  RecordStore& store = scenario_.LoadStore();
  scenario_.AdvanceTime(3);
  scenario_.state.committed.clear();
  for (int i = 0; i < 10; ++i) store.Add(R"({"row":1})", 800, WritePriority::kImmediate);
  scenario_.AdvanceTime(2);
  size_t writes = 0;
  for (const Transaction& transaction : scenario_.state.committed) {
    EXPECT_LE(transaction.mutations.size(), scenario_.limits.max_transaction_ops);
    writes += transaction.mutations.size();
  }
  EXPECT_EQ(writes, 10U);
}

// Regression: under a low limit of operations, background writes left no tokens for immediate
// ones, such as the acceptance of a job.
TEST_F(LoweredLimitsTest, BackgroundWriteLeavesTokensForImmediateWriteUnderLowOperationLimit) {
  RecordStore& store = scenario_.LoadStore();
  scenario_.AdvanceTime(3);
  scenario_.state.available_write_tokens = 4;
  const RecordId background = store.Add(R"({"row":1})", 800, WritePriority::kBackground);
  scenario_.AdvanceTime(2);
  EXPECT_FALSE(store.IsDurable(background));
  const RecordId immediate = store.Add(R"({"row":2})", 800, WritePriority::kImmediate);
  scenario_.AdvanceTime(0.2);
  EXPECT_TRUE(store.IsDurable(immediate));
  scenario_.state.available_write_tokens = 6;
  scenario_.AdvanceTime(2);
  EXPECT_TRUE(store.IsDurable(background));
}

TEST_F(LoweredLimitsTest, OversizedPageIsSplitInOneTransactionOnceLimitsAreInForce) {
  scenario_.state.value_limit = kLoweredValueBytes;
  scenario_.state.ops_limit = 4;
  RecordStore& store = scenario_.LoadStore();
  const RecordId immediate = store.Add(R"({"row":1})", 20, WritePriority::kImmediate);
  scenario_.AdvanceTime(1);
  EXPECT_TRUE(store.IsDurable(immediate));  // pages within the limits are still written
  scenario_.AdvanceTime(20);
  EXPECT_LE(LargestValueBytes(scenario_.state), kLoweredValueBytes);
  EXPECT_EQ(scenario_.StoredRecords().size(), kRecordCount + 1);
}

// Regression: a rejection was handled as a conflict, and the same transaction was sent again
// without end.
TEST_F(LoweredLimitsTest, UnannouncedLimitsAreLearntFromRejections) {
  for (const size_t ops : {2UL, 3UL, 12UL}) {
    OversizedPageScenario scenario;
    scenario.limits = RecordStoreLimits();
    scenario.limits.background_delay_s = 0.1;
    RecordStore& store = scenario.LoadStore();
    std::vector<RecordId> records;
    for (int i = 0; i < 8; ++i) {
      records.push_back(
          store.Add(RecordText(200 + static_cast<size_t>(i)), 6000, WritePriority::kImmediate));
    }
    scenario.state.ops_limit = ops;
    scenario.state.value_limit = 5000;
    scenario.AdvanceTime(3);
    for (const RecordId record : records) EXPECT_TRUE(store.IsDurable(record)) << ops;
    EXPECT_LT(scenario.state.rejected_transactions + scenario.state.rejected_values, 30) << ops;
  }
}

TEST_F(LoweredLimitsTest, RejectedPageDoesNotDelayOtherPages) {
  scenario_.limits = RecordStoreLimits();
  scenario_.state.value_limit = 2000;  // less than the page, and not announced
  RecordStore& store = scenario_.LoadStore();
  const std::string changed = kChangedFirstRecord;
  store.Update(0, changed, changed.size(), WritePriority::kImmediate);
  const RecordId other = store.Add(std::string(40, '7'), 7000, WritePriority::kImmediate);
  scenario_.AdvanceTime(2);
  EXPECT_TRUE(store.IsDurable(other));
  scenario_.AdvanceTime(20);
  EXPECT_TRUE(store.IsDurable(0));
  EXPECT_LE(LargestValueBytes(scenario_.state), 2000U);
}

TEST(PlanPageSplitTest, RecordsThatExceedAllPagesStayInTheFirstGroup) {
  const std::vector<RecordSize> records(10, RecordSize{400, 300});
  const RecordGroups groups = PlanPageSplit(records, {1000, 1200, 2});
  ASSERT_EQ(groups.size(), 2U);
  EXPECT_EQ(groups[0].size() + groups[1].size(), records.size());
  EXPECT_LE(groups[1].size() * 300, 1200U);
  EXPECT_EQ(PlanPageSplit(records, {1000, 1200, 10}).size(), 5U);
}

// An earlier version wrote large pages with jobs, machines and cache hints.
TEST(LeaderLoweredLimitsTest, JobsWrittenUnderLargerLimitsAreKeptAndNewJobsAreAccepted) {
  LeaderTestEnvironment world;
  world.settings.teams[0].cores_max = 0;
  world.StartLeader();
  for (int i = 0; i < 12; ++i) world.AddMachine("m-" + std::to_string(i), "east");
  for (int i = 0; i < 40; ++i) {
    ASSERT_EQ(world.Submit(world.Array("job-" + std::to_string(i), 1)).status, 201);
  }
  world.AdvanceTime(20);  // cache hints are written too
  ASSERT_EQ(world.SendRequest(JobOperation::kCancel, "job-7").state, JobState::kCancelled);
  ASSERT_GT(LargestValueBytes(world.state), 4096U);
  world.settings.effective_state_limits.value_kb = 2;
  world.settings.effective_state_limits.txn_ops = 4;
  world.StartLeader();
  world.AdvanceTime(5);
  world.state.value_limit = 2048;
  world.state.ops_limit = 4;
  ASSERT_EQ(world.Submit(world.Array("job-100", 1)).status, 201);
  ASSERT_EQ(world.SendRequest(JobOperation::kCancel, "job-8").state, JobState::kCancelled);
  world.AdvanceTime(20);
  EXPECT_EQ(world.state.rejected_values, 0);
  EXPECT_EQ(world.state.rejected_transactions, 0);
  for (const auto& [key, entry] : world.state.keys) EXPECT_LE(entry.value.size(), 2048U) << key;
  world.StartLeader();
  for (int i = 0; i < 40; ++i) {
    const std::string id = "job-" + std::to_string(i);
    EXPECT_EQ(world.SendRequest(JobOperation::kGet, id).status, 200) << id;
  }
  EXPECT_EQ(world.SendRequest(JobOperation::kGet, "job-7").state, JobState::kCancelled);
  EXPECT_EQ(world.SendRequest(JobOperation::kGet, "job-8").state, JobState::kCancelled);
  EXPECT_EQ(world.SendRequest(JobOperation::kGet, "job-100").status, 200);
}

TEST(LeaderLoweredLimitsTest, JobTooLargeForLoweredLimitsCanStillBeCancelled) {
  LeaderTestEnvironment world;
  world.StartLeader();
  JobSpec large = world.Array("job-1", 1);
  large.allowed_types.emplace();
  large.allowed_types->push_back("box");
  for (int i = 0; i < 30; ++i)
    large.allowed_types->push_back(std::string(100, 'a') + std::to_string(i));
  ASSERT_EQ(world.Submit(large).status, 201);
  world.settings.effective_state_limits.value_kb = 2;
  world.StartLeader();
  world.AdvanceTime(5);
  world.state.value_limit = 2048;
  EXPECT_EQ(world.SendRequest(JobOperation::kCancel, "job-1").state, JobState::kCancelled);
  world.StartLeader();
  EXPECT_EQ(world.SendRequest(JobOperation::kGet, "job-1").state, JobState::kCancelled);
  large.id = "job-2";
  EXPECT_EQ(world.Submit(large).status, 422);
}

TEST(Settings, SmallerOfPresentAndAnnouncedLimitIsEffective) {
  const std::string text =
      R"({"label":"n0","serve_on":"127.0.0.1:1","mesh_addr":"127.0.0.1:2",
"external":{"cloud":"127.0.0.1:4","state":"127.0.0.1:5"},
"cluster":{"state":{"rps":60,"write_rps":20,"value_kb":8,"txn_ops":12,
"next":{"write_rps":30,"value_kb":2,"txn_ops":4}}}})";
  const auto read = ReadSettings(text);
  ASSERT_TRUE(read.has_value()) << DescribeError(read.error());
  const Settings& settings = read.value();
  EXPECT_EQ(settings.current_state_limits.value_kb, 8);
  EXPECT_EQ(settings.effective_state_limits.value_kb, 2);
  EXPECT_EQ(settings.effective_state_limits.txn_ops, 4);
  EXPECT_EQ(settings.effective_state_limits.write_rps, 20);
  std::string without = text;
  const size_t at = without.find(",\n\"next\"");
  without.erase(at, without.find("}}}}") + 1 - at);
  const auto present = ReadSettings(without);
  ASSERT_TRUE(present.has_value()) << DescribeError(present.error());
  EXPECT_EQ(present.value().effective_state_limits.value_kb, 8);
  for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>>{
           {"\"value_kb\":2", "\"value_kb\":0"},
           {"\"txn_ops\":4", "\"txn_ops\":\"4\""},
           {R"({"write_rps":30,"value_kb":2,"txn_ops":4})", "7"}}) {
    std::string bad = text;
    bad.replace(bad.find(from), from.size(), to);
    const auto refused = ReadSettings(bad);
    ASSERT_FALSE(refused.has_value());
    const std::string message = DescribeError(refused.error());
    EXPECT_TRUE(message.starts_with("state.next")) << message;
    EXPECT_EQ(message.find('\n'), std::string::npos);
  }
}

}  // namespace
}  // namespace deckhall
