#include <gtest/gtest.h>

#include "config/settings.h"
#include "config/tuning.h"
#include "fakes.h"
#include "leader/election.h"
#include "leader/leader_key.h"
#include "sched/fsp.h"
#include "sched/scale_out_plan.h"

namespace deckhall {
namespace {

// The paper's figure 1: three jobs that use the whole cluster.
TEST(Fsp, OrdersJobsAsProcessorSharingCompletesThem) {
  std::vector<FspJob> jobs = {{30, 1, 1}};
  FspAdvance(&jobs, 1, 10);
  EXPECT_NEAR(jobs[0].remaining_core_seconds, 20, 1e-6);
  jobs.push_back({10, 1, 1});
  FspAdvance(&jobs, 1, 5);
  EXPECT_NEAR(jobs[0].remaining_core_seconds, 17.5, 1e-6);
  jobs.push_back({10, 1, 1});
  const auto finish = FspFinish(jobs, 1);
  EXPECT_LT(finish[1], finish[2]);
  EXPECT_LT(finish[2], finish[0]);
  EXPECT_NEAR(finish[0], 35, 1e-6);  // the sum of the remaining work
}

TEST(Fsp, SharesFollowWeightsUpToJobParallelism) {
  const auto share = FspShares({{10, 1, 2}, {10, 1, 100}, {10, 2, 100}}, 11);
  EXPECT_NEAR(share[0], 2, 1e-9);
  EXPECT_NEAR(share[1], 3, 1e-9);
  EXPECT_NEAR(share[2], 6, 1e-9);
}

TEST(ScaleOutPlan, FreeCapacityIsUsedBeforeScaleOut) {
  InstanceOffering ordinary{{8, 0, 64}, 0, 0, false, 1.0, 30, false, 0};
  InstanceOffering spot{{8, 0, 64}, 0, 0, true, 0.4, 30, false, 0};
  ResourceRequest need;
  need.cores = 2;
  need.memory_gb = 4;
  need.spot_tolerant = true;
  MachineCapacity bin;
  bin.usable = true;
  bin.cores = 4;
  bin.memory_gb = 64;
  auto plan = PlanScaleOut({ordinary, spot}, {bin}, {{need, 6, false}}, 10);
  ASSERT_EQ(plan.size(), 1U);
  EXPECT_EQ(plan[0].offering, 1U);
  EXPECT_EQ(plan[0].count, 1);
  need.spot_tolerant = false;
  plan = PlanScaleOut({ordinary, spot}, {}, {{need, 6, false}}, 10);
  ASSERT_EQ(plan.size(), 1U);
  EXPECT_EQ(plan[0].offering, 0U);
  EXPECT_EQ(plan[0].count, 2);
}

TEST(LeaderKey, KeyIsReadBackAsWritten) {
  const std::string stored = EncodeLeaderKey({"n0", 9007199254740993, 5});
  EXPECT_EQ(stored, R"({"label":"n0","instance":9007199254740993,"lease":5})");
  const LeaderKey key = DecodeLeaderKey(stored);
  EXPECT_EQ(key.label, "n0");
  EXPECT_EQ(key.instance, 9007199254740993U);
  EXPECT_EQ(key.lease_id, 5U);
}

TEST(LeaderKey, MissingOrMalformedFieldKeepsItsDefault) {
  for (const char* stored : {"", "{", "[]", "{}", R"({"label":3,"instance":"x","lease":-1})"}) {
    const LeaderKey key = DecodeLeaderKey(stored);
    EXPECT_EQ(key.label, "") << stored;
    EXPECT_EQ(key.instance, 0U) << stored;
    EXPECT_EQ(key.lease_id, 0U) << stored;
  }
  EXPECT_EQ(DecodeLeaderKey(R"({"label":"n1","lease":6})").lease_id, 6U);
}

struct ElectionScenario {
  FakeClock clock;
  FakeState state;
  Election election{&state, &clock, {"n0", 77, 2500, 0.5, 0.002}};
  int won = 0;
  int lost = 0;
  ElectionScenario() {
    election.on_elected = [this](uint64_t) { ++won; };
    election.on_leadership_lost = [this] { ++lost; };
  }
  void Pass(double seconds) {
    const double begin = clock.now;
    for (const double passed : EvenlySpacedTimes(0.05, seconds + 0.05, 0.05)) {
      clock.now = begin + passed;
      election.Tick();
      state.Run();
    }
  }
};

TEST(Election, LeaseExpiresByHoldersClockDuringOutage) {
  ElectionScenario scenario;
  scenario.Pass(1);
  ASSERT_EQ(scenario.won, 1);
  EXPECT_TRUE(scenario.election.IsLeaseValid());
  scenario.state.unavailable = true;  // an outage, or 503 responses to this controller only
  scenario.Pass(3);
  EXPECT_FALSE(scenario.election.IsLeaseValid());
  EXPECT_TRUE(scenario.election.HoldsKey());
  scenario.state.unavailable = false;
  scenario.Pass(1);
  EXPECT_TRUE(scenario.election.IsLeaseValid());
  scenario.state.EndLease(1);
  scenario.Pass(1);
  EXPECT_EQ(scenario.lost, 1);
}

TEST(Election, AcquisitionWithLostResponseIsReadBack) {
  ElectionScenario scenario;
  scenario.state.responses_to_lose = 1;
  scenario.Pass(1);
  EXPECT_EQ(scenario.won, 1);
  EXPECT_EQ(scenario.election.term(), scenario.state.keys[Election::kKey].version);
}

TEST(Election, OtherHolderIsWatchedAndLeaseOfFormerProcessIsRevoked) {
  ElectionScenario scenario;
  scenario.state.leases[5] = true;
  scenario.state.keys[Election::kKey] = {R"({"label":"n1","instance":9,"lease":5})", 50, 5};
  scenario.Pass(2);
  EXPECT_EQ(scenario.won, 0);
  EXPECT_EQ(scenario.state.watches.size(), 1U);
  ElectionScenario restarted_scenario;
  restarted_scenario.state.leases[5] = true;
  restarted_scenario.state.keys[Election::kKey] = {R"({"label":"n0","instance":9,"lease":5})", 50,
                                                   5};
  restarted_scenario.Pass(2);
  EXPECT_EQ(restarted_scenario.won, 1);
}

TEST(Election, ResignedLeaderRevokesItsLeaseAndPausesBeforeItCampaigns) {
  ElectionScenario scenario;
  scenario.Pass(1);
  ASSERT_EQ(scenario.won, 1);
  scenario.election.Resign(LeadershipLossReason::kWorkersUnreachable, 10);
  EXPECT_FALSE(scenario.election.IsLeaseValid());
  scenario.Pass(1);
  EXPECT_FALSE(scenario.state.keys.contains(Election::kKey));
  EXPECT_EQ(scenario.won, 1);
  scenario.Pass(12);  // no other controller campaigned
  EXPECT_EQ(scenario.won, 2);
}

TEST(Election, CopyOfTheTransactionThatWonChangesNothing) {
  ElectionScenario scenario;
  scenario.Pass(1);
  ASSERT_EQ(scenario.won, 1);
  ASSERT_EQ(scenario.state.committed.size(), 1U);
  const Transaction acquisition = scenario.state.committed[0];
  EXPECT_EQ(scenario.state.Apply(acquisition).status, KeyValueStatus::kConflict);
  scenario.Pass(1);
  EXPECT_EQ(scenario.election.term(), scenario.state.keys[Election::kKey].version);
  scenario.election.Resign(LeadershipLossReason::kWorkersUnreachable, 10);
  scenario.Pass(1);
  EXPECT_NE(scenario.state.Apply(acquisition).status, KeyValueStatus::kOk);
  EXPECT_FALSE(scenario.state.keys.contains(Election::kKey));
}

// A restarted process may announce only terms within this bound; see TermFreshness.
TEST(Election, ReadingLeaderKeyBoundsTerms) {
  ElectionScenario scenario;
  uint64_t term_bound = 0;
  scenario.election.on_term_bound = [&term_bound](uint64_t bound) { term_bound = bound; };
  scenario.state.unavailable = true;
  scenario.Pass(1);
  EXPECT_EQ(term_bound, 0U);
  scenario.state.unavailable = false;
  scenario.state.leases[5] = true;
  scenario.state.keys[Election::kKey] = {R"({"label":"n1","instance":9,"lease":5})", 50, 5};
  scenario.Pass(1);
  EXPECT_EQ(term_bound, 50U);
  // Without the key every former term has ended, so no term is above the revision.
  scenario.state.EndLease(5);
  for (auto& done : std::exchange(scenario.state.watches, {})) done(KeyValueResponse());
  scenario.Pass(1);
  EXPECT_EQ(term_bound,
            scenario.state.revision - 1);  // the revision before this process acquired the key
}

TEST(RecordStoreTest, BurstOfSubmissionsFitsWriteBudget) {
  LeaderTestEnvironment world;
  world.StartLeader();
  world.state.committed.clear();
  int accepted = 0;
  for (int i = 0; i < 100; ++i) {
    JobRequest request;
    request.operation = JobOperation::kSubmit;
    request.job_id = "job-" + std::to_string(i);
    request.job = world.Array(request.job_id, 3);
    world.leader->HandleJobRequest(
        request, [&accepted](const JobResponse& r) { accepted += r.status == 201 ? 1 : 0; });
  }
  world.ProcessPending();
  EXPECT_EQ(accepted, 100);
  size_t puts = 0;
  for (const Transaction& t : world.state.committed) {
    puts += t.mutations.size();
    for (const Mutation& write : t.mutations) EXPECT_LE(write.value.size(), 8192U);
  }
  EXPECT_LE(puts, 20U);
}

// Regression: with a slow state service one transaction that took seconds delayed every
// submission.
TEST(RecordStoreTest, ImmediateWriteOvertakesUnansweredTransaction) {
  FakeClock clock;
  FakeState state;
  state.keys["leader"] = {"{}", 1, 0};
  RecordStore store(&state, &clock, RecordStoreLimits(), "leader", 1);
  const RecordId first = store.Add("{\"a\":1}", 20, WritePriority::kImmediate);
  store.Flush();  // the response stays in the queue
  const RecordId second = store.Add("{\"b\":2}", 20, WritePriority::kImmediate);
  store.Flush();
  ASSERT_EQ(state.committed.size(), 2U);
  EXPECT_FALSE(store.IsDurable(first));
  // Another write of a record in flight waits for the response.
  store.Update(first, "{\"a\":3}", 20, WritePriority::kImmediate);
  store.Flush();
  EXPECT_EQ(state.committed.size(), 2U);
  state.Run();
  EXPECT_TRUE(store.IsDurable(first));
  EXPECT_TRUE(store.IsDurable(second));
  EXPECT_EQ(state.committed.size(), 3U);
}

// Regression: with hundreds of one-task jobs, the writes of their completions, each on a page of
// its own, used up the write budget, and submissions took up to 0.8 s.
TEST(RecordStoreTest, WritesAreSentInOrderOfPriority) {
  FakeClock clock;
  FakeState state;
  state.keys["leader"] = {"{}", 1, 0};
  RecordStoreLimits limits;
  limits.fill_bytes = 60;  // one record per page
  RecordStore store(&state, &clock, limits, "leader", 1);
  state.available_write_tokens = 100;
  std::vector<RecordId> records;
  records.reserve(4);
  for (int i = 0; i < 4; ++i) {
    records.push_back(
        store.Add(std::string(40, static_cast<char>('1' + i)), 45, WritePriority::kImmediate));
  }
  store.Flush();
  state.Run();
  state.committed.clear();
  char text = 'a';
  const auto change = [&](size_t record, WritePriority priority) {
    store.Update(records[record], std::string(40, text++), 45, priority);
  };
  // The budget is nearly used up: only writes that a client waits for are sent.
  state.available_write_tokens = 1.5;
  change(0, WritePriority::kBackground);
  change(1, WritePriority::kDeferred);
  change(2, WritePriority::kImmediate);
  store.Flush();
  state.Run();
  EXPECT_TRUE(store.IsDurable(records[2]));
  EXPECT_FALSE(store.IsDurable(records[1]));
  clock.now += 1.01 * limits.background_delay_s;
  change(3, WritePriority::kImmediate);
  store.Flush();
  state.Run();
  EXPECT_TRUE(store.IsDurable(records[3]));
  EXPECT_FALSE(store.IsDurable(records[1]));
  // With some budget the deferred write is sent, with enough also the background write.
  state.available_write_tokens = 3;
  store.Flush();
  state.Run();
  EXPECT_TRUE(store.IsDurable(records[1]));
  EXPECT_FALSE(store.IsDurable(records[0]));
  state.available_write_tokens = 100;
  store.Flush();
  state.Run();
  EXPECT_TRUE(store.IsDurable(records[0]));
  // A steady flow of immediate writes delays neither forever.
  state.available_write_tokens = 1;
  change(1, WritePriority::kDeferred);
  change(0, WritePriority::kBackground);
  clock.now += 2;
  store.Flush();
  state.Run();
  EXPECT_TRUE(store.IsDurable(records[1]));
  EXPECT_FALSE(store.IsDurable(records[0]));
  state.available_write_tokens = 3;
  clock.now += 5;
  store.Flush();
  state.Run();
  EXPECT_TRUE(store.IsDurable(records[0]));
}

// Regression: a page is missing between two others if its transaction was never executed. The next
// leader gave the number of an existing page to a new one, the two overwrote each other, and
// accepted jobs were lost.
TEST(RecordStoreTest, NewPageNeverTakesNumberOfExistingPage) {
  FakeClock clock;
  FakeState state;
  state.keys["leader"] = {"{}", 1, 0};
  state.keys["deckhall/pages/000000"] = {R"([{"a":1}])", 2, 0};
  state.keys["deckhall/pages/000002"] = {R"([{"a":2}])", 3, 0};
  RecordStoreLimits limits;
  limits.fill_bytes = 50;
  RecordStore store(&state, &clock, limits, "leader", 1);
  store.Load([](bool, const auto&) {});
  state.Run();
  const RecordId record = store.Add(std::string(40, '7'), 45, WritePriority::kImmediate);
  store.Flush();
  state.Run();
  EXPECT_TRUE(store.IsDurable(record));
  EXPECT_EQ(state.keys["deckhall/pages/000002"].value, R"([{"a":2}])");
  EXPECT_EQ(state.keys.size(), 4U);  // the leader key and three pages
}

TEST(Settings, ValidSettingsAreReadAndInvalidFieldsAreNamed) {
  const std::string good =
      R"({"label":"n0","site":"a","serve_on":"127.0.0.1:1","mesh_addr":"127.0.0.1:2",
"siblings":[{"label":"n1","site":"b","endpoint":"127.0.0.1:3"}],"new_field":[],
"external":{"cloud":"127.0.0.1:4","state":"127.0.0.1:5"},
"cluster":{"zones":["a","b"],"teams":[{"name":"t","cpus":1,"cpus_max":2}],
"workers":{"lease_s":30,"cancel_s":55},"state":{"rps":60},"quota":{"max_sockets":2500}}})";
  const auto settings = ReadSettings(good);
  ASSERT_TRUE(settings.has_value()) << DescribeError(settings.error());
  EXPECT_EQ(settings.value().teams[0].cores_max, 2);
  for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>>{
           {"\"n0\"", "0"},
           {"127.0.0.1:1\"", "here\""},
           {"127.0.0.1:5", "127.0.0.1:99999"},
           {"\"rps\":60", "\"rps\":-1"},
           {"\"cpus\":1", "\"cpus\":\"x\""},
           {"\"n1\"", "\"n0\""},
           {"\"zones\":[\"a\",\"b\"]", "\"zones\":3"}}) {
    std::string bad = good;
    bad.replace(bad.find(from), from.size(), to);
    const auto refused = ReadSettings(bad);
    ASSERT_FALSE(refused.has_value()) << to;
    EXPECT_NE(DescribeError(refused.error()), "") << to;
  }
}

TEST(Tuning, ValidTuningIsReadAndInvalidTuningIsRefused) {
  const auto tuning =
      ReadTuning(R"x((deckhall (leader (lease-ms "4000")) (rank (weight-idle "0.5"))))x");
  ASSERT_TRUE(tuning.has_value()) << DescribeError(tuning.error());
  EXPECT_EQ(tuning.value().lease_ms, 4000);
  EXPECT_EQ(tuning.value().weight_idle, 0.5);
  for (const char* bad :
       {"", "(", "(other)", "(deckhall (leader (lease-ms x)))",
        "(deckhall (leader (lease-ms 4000)))", R"x((deckhall (leader (lease-ms "1"))))x",
        "(deckhall leader)", R"x((deckhall (leader (lease-ms "1000") (renew-ms "900"))))x"}) {
    const auto refused = ReadTuning(bad);
    ASSERT_FALSE(refused.has_value()) << bad;
    EXPECT_NE(DescribeError(refused.error()), "") << bad;
  }
}

// The error messages that operators get for invalid files.
TEST(Settings, EachErrorHasItsMessage) {
  const std::string good = R"({"label":"n0","serve_on":"127.0.0.1:1","mesh_addr":"127.0.0.1:2",
"siblings":[{"label":"n1","endpoint":"127.0.0.1:3"}],
"external":{"cloud":"127.0.0.1:4","state":"127.0.0.1:5"},
"cluster":{"zones":["a"],"teams":[{"name":"t","cpus":1}],
"workers":{"lease_s":30},"state":{"rps":60,"next":{"rps":30}},"quota":{"max_sockets":99}}})";
  struct Case {
    std::string from;
    std::string to;
    std::string message;
  };
  const std::vector<Case> cases = {
      {"{\"label\":\"n0\"", "7{\"label\":\"n0\"", "not a JSON object"},
      {"\"n0\"", "\"\"", "label: missing"},
      {"serve_on", "other", "serve_on: missing"},
      {"127.0.0.1:2", "here", "mesh_addr: not an address: here"},
      {"[{\"label\":\"n1\",\"endpoint\":\"127.0.0.1:3\"}]", "{}", "siblings: not a list"},
      {"\"n1\"", "\"\"", "siblings: label missing"},
      {"\"n1\"", "\"n0\"", "siblings: label of this controller itself: n0"},
      {"endpoint", "other", "siblings: endpoint: missing"},
      {"127.0.0.1:3", "there", "siblings: endpoint: not an address: there"},
      {"external", "other", "external: missing"},
      {"127.0.0.1:4", "up", "external: cloud: not an address: up"},
      {"\"state\":\"127", "\"other\":\"127", "external: state: missing"},
      {"cluster", "other", "cluster: missing"},
      {"[\"a\"]", "3", "zones: not a list"},
      {"[\"a\"]", "[3]", "zones: not a list of strings"},
      {"[{\"name\":\"t\",\"cpus\":1}]", "3", "teams: not a list"},
      {"\"t\"", "\"\"", "teams: name missing"},
      {"\"cpus\":1", "\"cpus\":-1", "teams: cpus invalid"},
      {"\"rps\":60", "\"rps\":0", "state.rps: not a positive number"},
      {"{\"rps\":30}", "3", "state.next: not an object"},
      {"\"rps\":30", "\"txn_ops\":0", "state.next.txn_ops: not a positive number"},
      {"\"lease_s\":30", "\"lease_s\":\"x\"", "lease_s: not a positive number"},
      {"\"max_sockets\":99", "\"max_sockets\":0", "max_sockets: not a positive number"},
      {"\"max_sockets\":99", "\"cores\":0", "cores: not a positive number"}};
  for (const Case& c : cases) {
    std::string bad = good;
    bad.replace(bad.find(c.from), c.from.size(), c.to);
    const auto refused = ReadSettings(bad);
    ASSERT_FALSE(refused.has_value()) << c.message;
    EXPECT_EQ(DescribeError(refused.error()), c.message);
  }
}

TEST(Tuning, EachErrorHasItsMessage) {
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"(other)", "does not begin with (deckhall"},
      {"(deckhall leader)", "a section is not a list"},
      {"(deckhall (leader lease))", "leader: an entry is not a list"},
      {R"x((deckhall (leader (lease-ms "1"))))x",
       "leader lease-ms: not a number from 500.000000 to 60000.000000"},
      {R"x((deckhall (leader (lease-ms "1000") (renew-ms "900"))))x",
       "leader renew-ms: more than half of lease-ms"},
      {R"x((deckhall (capacity (late-boot "5"))))x", "capacity late-boot: more than give-up-boot"}};
  for (const auto& [text, message] : cases) {
    const auto refused = ReadTuning(text);
    ASSERT_FALSE(refused.has_value()) << text;
    EXPECT_EQ(DescribeError(refused.error()), message);
  }
  const auto refused = ReadTuning("(deckhall (leader (lease-ms 4000)))");
  ASSERT_FALSE(refused.has_value());
  EXPECT_TRUE(DescribeError(refused.error()).starts_with("not an S-expression (at byte "))
      << DescribeError(refused.error());
  EXPECT_TRUE(DescribeError(refused.error())
                  .ends_with("); numbers go in quotes, as in (lease-ms \"2500\")"));
}

}  // namespace
}  // namespace deckhall
