// The disruption policy: parsing and validation of its file, its replication between controllers,
// and drain records.
#include <gtest/gtest.h>
#include <unistd.h>

#include <fstream>
#include <string>

#include "app/drains_command.h"
#include "app/policy_file.h"
#include "drain/policy_replicator.h"
#include "fakes.h"

namespace deckhall {
namespace {

constexpr const char* kValidPolicy = R"((disruption
  (revision "7")
  (budgets
    (default (down "2"))
    (team "blue" (down "10%" at-least-one) (stopped "5"))
    (class "blue" "live" (down "25%")))
  (drains
    (drain "west" (zone "west") (deadline-s "600"))
    (drain "rack" (network "10.1.4.0/24") (type "box"))
    (drain "two" (machine "m-1") (machine "m-2") (paused)))
  (steps (settle-s "5") (replace-within-s "60") (image-wait-s "7") (window-s "100")
    (at-once "9") (replacement-tries "2"))))";

Settings TwoTeams() {
  Settings settings;
  settings.zones = {"east", "west"};
  settings.teams = {{"blue", 8, 16, 0, 0}, {"red", 0, 0, 0, 0}};
  return settings;
}

// The parse error of the text; empty if the text is accepted.
std::string ParseError(const std::string& text) {
  const auto policy = ReadPolicy(text);
  return policy.has_value() ? "" : DescribeError(policy.error());
}

std::string CheckError(const DisruptionPolicy& policy) {
  const auto check = CheckPolicy(policy, TwoTeams());
  return check.has_value() ? "" : DescribeError(check.error());
}

std::string ErrorInSections(const std::string& sections) {
  const auto policy = ReadPolicy("(disruption (revision \"1\") " + sections + ")");
  if (!policy.has_value()) return DescribeError(policy.error());
  return CheckError(policy.value());
}

DisruptionPolicy PolicyOf(const std::string& text) {
  auto policy = ReadPolicy(text);
  if (!policy.has_value()) throw std::invalid_argument(DescribeError(policy.error()));
  return policy.value();
}

TEST(DrainPolicy, AllFieldsAreParsed) {
  const DisruptionPolicy policy = PolicyOf(kValidPolicy);
  EXPECT_EQ(CheckError(policy), "");
  EXPECT_EQ(policy.revision, 7U);
  EXPECT_EQ(policy.default_down_limit.MaxDown(100), 2U);
  ASSERT_EQ(policy.budgets.size(), 2U);
  EXPECT_EQ(policy.budgets[0].max_stopped_tasks, 5U);
  EXPECT_EQ(policy.budgets[0].down_limit->MaxDown(9), 1U);
  EXPECT_EQ(policy.budgets[0].down_limit->MaxDown(39), 3U);
  EXPECT_EQ(policy.budgets[1].job_class, "live");
  EXPECT_EQ(policy.budgets[1].down_limit->MaxDown(3), 0U);
  ASSERT_EQ(policy.drains.size(), 3U);
  EXPECT_EQ(policy.drains[0].deadline_s, 600);
  EXPECT_TRUE(policy.drains[2].paused);
  EXPECT_EQ(policy.eviction_limits.settle_s, 5);
  EXPECT_EQ(policy.eviction_limits.max_evictions, 9U);
  EXPECT_EQ(policy.eviction_limits.max_replacement_attempts, 2U);
}

TEST(DrainPolicy, SamplePolicyIsValid) {
  std::ifstream in(DECKHALL_SOURCES "/deploy/disruption.sample.sexp");
  const std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
  const DisruptionPolicy policy = PolicyOf(text);
  EXPECT_EQ(policy.drains.size(), 3U);
}

TEST(DrainPolicy, ShareIsNotRoundedDownByFloatingPointError) {
  DownLimit limit;
  limit.unit = DownLimit::Unit::kShare;
  limit.amount = 0.29;
  EXPECT_EQ(limit.MaxDown(100), 29U);
  EXPECT_EQ(limit.MaxDown(3), 0U);
}

TEST(DrainPolicy, SelectorCombinesNameTypeZoneAndNetwork) {
  const DisruptionPolicy policy = PolicyOf(kValidPolicy);
  const MachineSelector& zone = policy.Find("west")->machines;
  EXPECT_TRUE(zone.Matches("m-5", "box", "west", ""));
  EXPECT_FALSE(zone.Matches("m-5", "box", "east", ""));
  EXPECT_TRUE(zone.CoversPool("any", "west"));
  const MachineSelector& rack = policy.Find("rack")->machines;
  EXPECT_TRUE(rack.Matches("m-5", "box", "west", "10.1.4.200:9000"));
  EXPECT_FALSE(rack.Matches("m-5", "box", "west", "10.1.5.1:9000"));
  EXPECT_FALSE(rack.Matches("m-5", "other", "west", "10.1.4.200:9000"));
  EXPECT_FALSE(rack.Matches("m-5", "box", "west", "nonsense"));
  EXPECT_FALSE(rack.CoversPool("box", "west"));
  const MachineSelector& two = policy.Find("two")->machines;
  EXPECT_TRUE(two.Matches("m-2", "", "", ""));
  EXPECT_FALSE(two.Matches("m-3", "", "", ""));
}

TEST(DrainPolicy, InvalidPolicyIsRejectedWithOneLineError) {
  const std::pair<const char*, const char*> cases[] = {
      {"(budgets (team \"green\" (down \"1\")))", "no such team: green"},
      {"(drains (drain \"a\" (zone \"mars\")))", "no such zone: mars"},
      {"(drains (drain \"a\" (network \"10.1.4.0/33\")))", "not an IPv4 network"},
      {"(drains (drain \"a\" (network \"rack\")))", "not an IPv4 network"},
      {"(budgets (team \"blue\" (down \"-1\")))", "neither a number"},
      {"(budgets (team \"blue\" (down \"101%\")))", "neither a number"},
      {"(budgets (team \"blue\" (down \"1e9\")))", "neither a number"},
      {"(budgets (team \"blue\" (down \"1.5\")))", "whole number"},
      {"(budgets (team \"blue\" (down \"many\")))", "neither a number"},
      {"(budgets (team \"blue\" (down \"1\" at-least-one)))", "only a share"},
      {"(budgets (team \"blue\" (stopped \"-2\")))", "not a number from 0"},
      {"(budgets (team \"blue\" (up \"1\")))", "unknown entry 'up'"},
      {"(budgets (team \"blue\") (team \"blue\"))", "given twice"},
      {"(budgets (class \"blue\"))", "a name is missing"},
      {"(drains (drain \"a\"))", "names no machine"},
      {"(drains (drain \"a\" (everything) (zone \"east\")))", "no other selection"},
      {"(drains (drain \"a\" (zone \"east\")) (drain \"a\" (zone \"west\")))", "given twice"},
      {"(drains (drain \"a\" (zone \"east\") (deadline-s \"soon\")))", "not a number"},
      {"(drains (drain \"a\" (zone)))", "a value is missing"},
      {"(drains (drain))", "a name of"},
      {"(drains stop)", "not a list"},
      {"(steps (settle-s \"-1\"))", "not a number from 0"},
      {"(steps (at-once \"0\"))", "not a number from 1"},
      {"(pods)", "unknown entry 'pods'"},
  };
  for (const auto& [sections, reason] : cases) {
    const std::string error = ErrorInSections(sections);
    EXPECT_NE(error.find(reason), std::string::npos) << sections << ": '" << error << "'";
    EXPECT_EQ(error.find('\n'), std::string::npos) << sections;
  }
  EXPECT_NE(ParseError("(disruption (budgets))").find("revision"), std::string::npos);
  EXPECT_NE(ParseError("(disruption (revision \"1\"").find("not an S-expression"),
            std::string::npos);
  EXPECT_NE(ParseError("(deckhall)"), "");
  EXPECT_NE(ParseError(""), "");
}

class PolicyFileTest : public ::testing::Test {
 protected:
  // The process id keeps test processes that run in parallel from sharing a file.
  void SetUp() override {
    path_ = ::testing::TempDir() + "disruption-" + std::to_string(getpid()) + ".sexp";
  }
  void Write(const std::string& text) {
    std::ofstream(path_) << text;
    // Two writes within the time resolution of the file system would leave the same modification
    // time, and the second would not be noticed.
    std::filesystem::last_write_time(
        path_, std::filesystem::file_time_type::clock::now() + std::chrono::seconds(++writes_));
  }
  std::string path_;
  int writes_ = 0;
  Settings settings_ = TwoTeams();
};

TEST_F(PolicyFileTest, ReloadsChangedFileAndIgnoresInvalidOne) {
  Write(kValidPolicy);
  PolicyFile file(path_, &settings_);
  auto initial = file.ReadIfChanged();
  ASSERT_NE(initial, nullptr);
  EXPECT_EQ(file.ReadIfChanged(), nullptr);
  Write("(disruption (revision \"8\") (drains (drain \"a\" (zone \"mars\"))))");
  EXPECT_EQ(file.ReadIfChanged(), nullptr);
  Write("(disruption (revision \"9\"))");
  auto reloaded = file.ReadIfChanged();
  ASSERT_NE(reloaded, nullptr);
  EXPECT_EQ(reloaded->revision, 9U);
  std::filesystem::remove(path_);
  EXPECT_EQ(file.ReadIfChanged(), nullptr);
}

TEST_F(PolicyFileTest, OversizedOrMissingFileIsRejected) {
  settings_.effective_state_limits.value_kb = 0.5;
  Write(kValidPolicy);
  const auto too_large = LoadPolicyFile(path_, settings_);
  ASSERT_FALSE(too_large.has_value());
  EXPECT_NE(DescribeError(too_large.error()).find("a value of the state service"),
            std::string::npos);
  const auto missing = LoadPolicyFile(path_ + ".none", settings_);
  ASSERT_FALSE(missing.has_value());
  EXPECT_EQ(DescribeError(missing.error()), "can't be read");
}

// Two controllers with separate policy files and a shared state service.
class ReplicatorTest : public ::testing::Test {
 protected:
  static std::shared_ptr<DisruptionPolicy> Revision(uint64_t revision,
                                                    const std::string& sections) {
    return std::make_shared<DisruptionPolicy>(
        PolicyOf("(disruption (revision \"" + std::to_string(revision) + "\") " + sections + ")"));
  }
  void Advance(double seconds = 6) {
    for (int i = 0; i < 8; ++i) {
      clock_.now += seconds / 8;
      first_.Tick();
      second_.Tick();
      state_.Run();
    }
  }
  FakeClock clock_;
  FakeState state_;
  Settings settings_ = TwoTeams();
  PolicyReplicator first_{&state_, &clock_, &settings_};
  PolicyReplicator second_{&state_, &clock_, &settings_};
};

TEST_F(ReplicatorTest, AllControllersUseHighestRevision) {
  first_.SetLocalPolicy(Revision(3, "(budgets (team \"blue\" (down \"3\")))"));
  second_.SetLocalPolicy(Revision(5, "(budgets (team \"blue\" (down \"5\")))"));
  Advance();
  Advance();
  ASSERT_NE(first_.in_force(), nullptr);
  EXPECT_EQ(first_.in_force()->revision, 5U);
  EXPECT_EQ(second_.in_force()->revision, 5U);
  EXPECT_EQ(first_.in_force()->budgets[0].down_limit->MaxDown(100), 5U);
  // The older file does not take effect again when its controller restarts.
  first_.SetLocalPolicy(Revision(3, ""));
  Advance();
  EXPECT_EQ(second_.in_force()->revision, 5U);
  EXPECT_TRUE(first_.IsConfirmed(clock_.now - 6));
}

// During an outage, another controller may have stored a policy with lower budgets.
TEST_F(ReplicatorTest, PolicyIsUnconfirmedAfterOutageOrNewFile) {
  first_.SetLocalPolicy(Revision(3, ""));
  Advance();
  EXPECT_TRUE(first_.IsConfirmed(0));
  state_.unavailable = true;
  Advance(10);
  EXPECT_FALSE(first_.IsConfirmed(0));
  EXPECT_EQ(first_.in_force()->revision, 3U);
  state_.unavailable = false;
  Advance();
  EXPECT_TRUE(first_.IsConfirmed(0));
  // A new file is unconfirmed until it is stored.
  first_.SetLocalPolicy(Revision(4, ""));
  EXPECT_FALSE(first_.IsConfirmed(0));
}

TEST_F(ReplicatorTest, StoredPolicyWinsOverFileOfSameRevision) {
  first_.SetLocalPolicy(Revision(3, "(budgets (team \"blue\" (down \"3\")))"));
  Advance();
  second_.SetLocalPolicy(Revision(3, "(budgets (team \"blue\" (down \"9\")))"));
  Advance();
  EXPECT_EQ(second_.in_force()->budgets[0].down_limit->MaxDown(100), 3U);
  EXPECT_EQ(first_.in_force()->budgets[0].down_limit->MaxDown(100), 3U);
}

TEST_F(ReplicatorTest, UnreadableStoredPolicyIsReplacedAndInvalidOneIsIgnored) {
  state_.keys[PolicyReplicator::kKey] = {"\"nonsense\"", 50, 0};
  first_.SetLocalPolicy(Revision(3, ""));
  Advance();
  ASSERT_NE(first_.in_force(), nullptr);
  EXPECT_EQ(first_.in_force()->revision, 3U);
  auto unusable = Revision(9, "(budgets (team \"nobody\" (down \"1\")))");
  state_.keys[PolicyReplicator::kKey] = {EncodePolicy(*unusable), ++state_.revision, 0};
  Advance();
  EXPECT_EQ(first_.in_force()->revision, 3U);
  // The policy is no longer confirmed: voluntary disruptions are suspended until the operators
  // correct it.
  EXPECT_FALSE(first_.IsConfirmed(clock_.now - 5));
}

TEST_F(ReplicatorTest, NoReadsOrWritesWithoutPolicyFile) {
  Advance();
  EXPECT_TRUE(state_.committed.empty());
  EXPECT_EQ(first_.in_force(), nullptr);
  EXPECT_FALSE(first_.IsConfirmed(0));
}

TEST_F(ReplicatorTest, OutageOrLostResponseOnlyDelaysPolicy) {
  state_.unavailable = true;
  first_.SetLocalPolicy(Revision(3, ""));
  Advance();
  EXPECT_EQ(first_.in_force(), nullptr);
  state_.unavailable = false;
  state_.responses_to_lose = 1;
  Advance();
  Advance();
  ASSERT_NE(first_.in_force(), nullptr);
  EXPECT_EQ(state_.committed.size(), 1U);
}

TEST(DrainRecord, RoundTripsAndIgnoresOtherRecords) {
  DrainProgress progress;
  progress.drain = "west \"quoted\"";
  progress.state = DrainState::kPaused;
  progress.since_wall = 1234.5;
  progress.machines_done = 3;
  progress.machines_left = 4;
  progress.replicas_moved = 5;
  progress.replicas_moving = 6;
  progress.tasks_stopped = 7;
  progress.evictions_given_up = 8;
  progress.blocked_reason = "paused";
  progress.waiting_since_wall = 1200;
  EXPECT_EQ(DecodeProgress(EncodeProgress(progress)), progress);
  EXPECT_LE(EncodeProgress(progress).size(), kMaxProgressBytes);
  EvictionRecord eviction{"west", "job-1", 2, "m-3", 4, 5.5};
  const auto decoded = DecodeEviction(EncodeEviction(eviction));
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(decoded->machine, "m-3");
  EXPECT_EQ(decoded->attempt, 4U);
  EXPECT_FALSE(DecodeProgress(EncodeEviction(eviction)).has_value());
  EXPECT_FALSE(DecodeEviction(EncodeProgress(progress)).has_value());
  EXPECT_FALSE(DecodeProgress(R"({"m":"m-1","e":""})").has_value());
  EXPECT_FALSE(DecodeEviction("[]").has_value());
}

TEST(DrainRecord, LongReasonDoesNotExceedMaxRecordSize) {
  DrainProgress progress;
  progress.drain = std::string(60, 'd');
  progress.blocked_reason = std::string(5000, 'w');
  progress.machines_done = progress.machines_left = progress.replicas_moved = UINT64_MAX;
  progress.replicas_moving = progress.tasks_stopped = progress.evictions_given_up = UINT64_MAX;
  progress.since_wall = progress.waiting_since_wall = 1e10;
  EXPECT_LE(EncodeProgress(progress).size(), kMaxProgressBytes);
}

TEST(DrainsCommand, PrintsProgressAndBlockedReason) {
  DrainProgress progress;
  progress.drain = "west";
  progress.since_wall = 1000;
  progress.machines_done = 2;
  progress.machines_left = 3;
  progress.blocked_reason = "the budget allows no more down: blue, 1 of at most 1";
  progress.waiting_since_wall = 1100;
  const EvictionRecord eviction{"west", "job-1", 2, "m-3", 4, 1130};
  DrainRecords records;
  records.AddPage("[{\"m\":\"m-1\"}," + EncodeProgress(progress) + "," + EncodeEviction(eviction) +
                  "]");
  records.AddPage("not a page");
  const std::string text = DescribeDrains(records, 1142);
  EXPECT_NE(text.find("2 machines done, 3 left"), std::string::npos) << text;
  EXPECT_NE(text.find("waits for 42 s: the budget allows"), std::string::npos) << text;
  EXPECT_NE(text.find("moving job-1/2 off m-3 for 12 s"), std::string::npos) << text;
  EXPECT_EQ(DescribeDrains({}, 0), "no drains\n");
}

}  // namespace
}  // namespace deckhall
