// The disruption file: what it says, and what is refused.
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

constexpr const char* kGood = R"((disruption
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

// Why the text is refused, in words; empty when it is not.
std::string ReasonOf(const std::string& text) {
  const auto policy = ReadPolicy(text);
  return policy.has_value() ? "" : DescribeError(policy.error());
}

std::string ReasonOfCheck(const DisruptionPolicy& policy) {
  const auto check = CheckPolicy(policy, TwoTeams());
  return check.has_value() ? "" : DescribeError(check.error());
}

std::string Refused(const std::string& sections) {
  const auto policy = ReadPolicy("(disruption (revision \"1\") " + sections + ")");
  if (!policy.has_value()) return DescribeError(policy.error());
  return ReasonOfCheck(policy.value());
}

DisruptionPolicy PolicyOf(const std::string& text) {
  auto policy = ReadPolicy(text);
  if (!policy.has_value()) throw std::invalid_argument(DescribeError(policy.error()));
  return policy.value();
}

TEST(DrainPolicy, IsReadWhole) {
  const DisruptionPolicy p = PolicyOf(kGood);
  EXPECT_EQ(ReasonOfCheck(p), "");
  EXPECT_EQ(p.revision, 7U);
  EXPECT_EQ(p.default_down_limit.MaxDown(100), 2U);
  ASSERT_EQ(p.budgets.size(), 2U);
  EXPECT_EQ(p.budgets[0].max_stopped_tasks, 5U);
  EXPECT_EQ(p.budgets[0].down_limit->MaxDown(9), 1U);
  EXPECT_EQ(p.budgets[0].down_limit->MaxDown(39), 3U);
  EXPECT_EQ(p.budgets[1].job_class, "live");
  EXPECT_EQ(p.budgets[1].down_limit->MaxDown(3), 0U);
  ASSERT_EQ(p.drains.size(), 3U);
  EXPECT_EQ(p.drains[0].deadline_s, 600);
  EXPECT_TRUE(p.drains[2].paused);
  EXPECT_EQ(p.eviction_limits.settle_s, 5);
  EXPECT_EQ(p.eviction_limits.max_evictions, 9U);
  EXPECT_EQ(p.eviction_limits.max_replacement_attempts, 2U);
}

TEST(DrainPolicy, TheSampleIsOne) {
  std::ifstream in(DECKHALL_SOURCES "/deploy/disruption.sample.sexp");
  const std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
  const DisruptionPolicy p = PolicyOf(text);
  EXPECT_EQ(p.drains.size(), 3U);
}

TEST(DrainPolicy, AShareOfAWholeNumberIsNotRoundedBelowIt) {
  DownLimit limit;
  limit.unit = DownLimit::Unit::kShare;
  limit.amount = 0.29;
  EXPECT_EQ(limit.MaxDown(100), 29U);
  EXPECT_EQ(limit.MaxDown(3), 0U);
}

TEST(DrainPolicy, SelectsByNameTypeZoneAndNetworkTogether) {
  const DisruptionPolicy p = PolicyOf(kGood);
  const MachineSelector& zone = p.Find("west")->machines;
  EXPECT_TRUE(zone.Matches("m-5", "box", "west", ""));
  EXPECT_FALSE(zone.Matches("m-5", "box", "east", ""));
  EXPECT_TRUE(zone.CoversPool("any", "west"));
  const MachineSelector& rack = p.Find("rack")->machines;
  EXPECT_TRUE(rack.Matches("m-5", "box", "west", "10.1.4.200:9000"));
  EXPECT_FALSE(rack.Matches("m-5", "box", "west", "10.1.5.1:9000"));
  EXPECT_FALSE(rack.Matches("m-5", "other", "west", "10.1.4.200:9000"));
  EXPECT_FALSE(rack.Matches("m-5", "box", "west", "nonsense"));
  EXPECT_FALSE(rack.CoversPool("box", "west"));
  const MachineSelector& two = p.Find("two")->machines;
  EXPECT_TRUE(two.Matches("m-2", "", "", ""));
  EXPECT_FALSE(two.Matches("m-3", "", "", ""));
}

TEST(DrainPolicy, BadInputIsRefusedInOneLineThatNamesIt) {
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
    const std::string bad = Refused(sections);
    EXPECT_NE(bad.find(reason), std::string::npos) << sections << ": '" << bad << "'";
    EXPECT_EQ(bad.find('\n'), std::string::npos) << sections;
  }
  EXPECT_NE(ReasonOf("(disruption (budgets))").find("revision"), std::string::npos);
  EXPECT_NE(ReasonOf("(disruption (revision \"1\"").find("not an S-expression"), std::string::npos);
  EXPECT_NE(ReasonOf("(deckhall)"), "");
  EXPECT_NE(ReasonOf(""), "");
}

class PolicyFileTest : public ::testing::Test {
 protected:
  // Test processes may run side by side.
  void SetUp() override {
    path_ = ::testing::TempDir() + "disruption-" + std::to_string(getpid()) + ".sexp";
  }
  void Write(const std::string& text) {
    std::ofstream(path_) << text;
    // Files written within one step of the file system's clock would look the same.
    std::filesystem::last_write_time(
        path_, std::filesystem::file_time_type::clock::now() + std::chrono::seconds(++writes_));
  }
  std::string path_;
  int writes_ = 0;
  Settings settings_ = TwoTeams();
};

TEST_F(PolicyFileTest, IsReadAgainWhenItChangesAndKeptWhenItIsBad) {
  Write(kGood);
  PolicyFile file(path_, &settings_);
  auto first = file.ReadIfChanged();
  ASSERT_NE(first, nullptr);
  EXPECT_EQ(file.ReadIfChanged(), nullptr);
  Write("(disruption (revision \"8\") (drains (drain \"a\" (zone \"mars\"))))");
  EXPECT_EQ(file.ReadIfChanged(), nullptr);
  Write("(disruption (revision \"9\"))");
  auto last = file.ReadIfChanged();
  ASSERT_NE(last, nullptr);
  EXPECT_EQ(last->revision, 9U);
  std::filesystem::remove(path_);
  EXPECT_EQ(file.ReadIfChanged(), nullptr);
}

TEST_F(PolicyFileTest, OneThatNoValueHoldsIsRefused) {
  settings_.effective_state_limits.value_kb = 0.5;
  Write(kGood);
  const auto too_large = LoadPolicyFile(path_, settings_);
  ASSERT_FALSE(too_large.has_value());
  EXPECT_NE(DescribeError(too_large.error()).find("a value of the state service"),
            std::string::npos);
  const auto missing = LoadPolicyFile(path_ + ".none", settings_);
  ASSERT_FALSE(missing.has_value());
  EXPECT_EQ(DescribeError(missing.error()), "can't be read");
}

// Two controllers with files of their own, and one state service.
class ReplicatorTest : public ::testing::Test {
 protected:
  static std::shared_ptr<DisruptionPolicy> Revision(uint64_t revision, const std::string& rest) {
    return std::make_shared<DisruptionPolicy>(
        PolicyOf("(disruption (revision \"" + std::to_string(revision) + "\") " + rest + ")"));
  }
  void Turn(double seconds = 6) {
    for (int i = 0; i < 8; ++i) {
      clock_.now += seconds / 8;
      one_.Tick();
      two_.Tick();
      state_.Run();
    }
  }
  FakeClock clock_;
  FakeState state_;
  Settings settings_ = TwoTeams();
  PolicyReplicator one_{&state_, &clock_, &settings_};
  PolicyReplicator two_{&state_, &clock_, &settings_};
};

TEST_F(ReplicatorTest, TheHighestRevisionCountsForAllControllers) {
  one_.SetLocalPolicy(Revision(3, "(budgets (team \"blue\" (down \"3\")))"));
  two_.SetLocalPolicy(Revision(5, "(budgets (team \"blue\" (down \"5\")))"));
  Turn();
  Turn();
  ASSERT_NE(one_.in_force(), nullptr);
  EXPECT_EQ(one_.in_force()->revision, 5U);
  EXPECT_EQ(two_.in_force()->revision, 5U);
  EXPECT_EQ(one_.in_force()->budgets[0].down_limit->MaxDown(100), 5U);
  // The older file does not come back when its controller starts anew.
  one_.SetLocalPolicy(Revision(3, ""));
  Turn();
  EXPECT_EQ(two_.in_force()->revision, 5U);
  EXPECT_TRUE(one_.IsConfirmed(clock_.now - 6));
}

// A budget may have been lowered elsewhere meanwhile.
TEST_F(ReplicatorTest, APolicyThatCouldNotBeReadForAWhileIsNotConfirmed) {
  one_.SetLocalPolicy(Revision(3, ""));
  Turn();
  EXPECT_TRUE(one_.IsConfirmed(0));
  state_.unavailable = true;
  Turn(10);
  EXPECT_FALSE(one_.IsConfirmed(0));
  EXPECT_EQ(one_.in_force()->revision, 3U);
  state_.unavailable = false;
  Turn();
  EXPECT_TRUE(one_.IsConfirmed(0));
  // A new file: nothing before it is stored.
  one_.SetLocalPolicy(Revision(4, ""));
  EXPECT_FALSE(one_.IsConfirmed(0));
}

TEST_F(ReplicatorTest, OfTwoFilesWithOneRevisionTheStoredOneCounts) {
  one_.SetLocalPolicy(Revision(3, "(budgets (team \"blue\" (down \"3\")))"));
  Turn();
  two_.SetLocalPolicy(Revision(3, "(budgets (team \"blue\" (down \"9\")))"));
  Turn();
  EXPECT_EQ(two_.in_force()->budgets[0].down_limit->MaxDown(100), 3U);
  EXPECT_EQ(one_.in_force()->budgets[0].down_limit->MaxDown(100), 3U);
}

TEST_F(ReplicatorTest, WhatIsUnreadableIsReplacedAndWhatIsUnusableIsKeptOut) {
  state_.keys[PolicyReplicator::kKey] = {"\"nonsense\"", 50, 0};
  one_.SetLocalPolicy(Revision(3, ""));
  Turn();
  ASSERT_NE(one_.in_force(), nullptr);
  EXPECT_EQ(one_.in_force()->revision, 3U);
  auto unusable = Revision(9, "(budgets (team \"nobody\" (down \"1\")))");
  state_.keys[PolicyReplicator::kKey] = {EncodePolicy(*unusable), ++state_.revision, 0};
  Turn();
  EXPECT_EQ(one_.in_force()->revision, 3U);
  // Not confirmed any more: nothing voluntary happens until the operators mend it.
  EXPECT_FALSE(one_.IsConfirmed(clock_.now - 5));
}

TEST_F(ReplicatorTest, NothingIsReadOrWrittenWithoutAFile) {
  Turn();
  EXPECT_TRUE(state_.committed.empty());
  EXPECT_EQ(one_.in_force(), nullptr);
  EXPECT_FALSE(one_.IsConfirmed(0));
}

TEST_F(ReplicatorTest, AnOutageOrALostAnswerOnlyDelaysIt) {
  state_.unavailable = true;
  one_.SetLocalPolicy(Revision(3, ""));
  Turn();
  EXPECT_EQ(one_.in_force(), nullptr);
  state_.unavailable = false;
  state_.responses_to_lose = 1;
  Turn();
  Turn();
  ASSERT_NE(one_.in_force(), nullptr);
  EXPECT_EQ(state_.committed.size(), 1U);
}

TEST(DrainRecord, ComesBackAsWrittenAndOtherRowsAreLeftAlone) {
  DrainProgress p;
  p.drain = "west \"quoted\"";
  p.state = DrainState::kPaused;
  p.since_wall = 1234.5;
  p.machines_done = 3;
  p.machines_left = 4;
  p.replicas_moved = 5;
  p.replicas_moving = 6;
  p.tasks_stopped = 7;
  p.evictions_given_up = 8;
  p.blocked_reason = "paused";
  p.waiting_since_wall = 1200;
  EXPECT_EQ(DecodeProgress(EncodeProgress(p)), p);
  EXPECT_LE(EncodeProgress(p).size(), kMaxProgressBytes);
  EvictionRecord s{"west", "job-1", 2, "m-3", 4, 5.5};
  const auto step = DecodeEviction(EncodeEviction(s));
  ASSERT_TRUE(step.has_value());
  EXPECT_EQ(step->machine, "m-3");
  EXPECT_EQ(step->attempt, 4U);
  EXPECT_FALSE(DecodeProgress(EncodeEviction(s)).has_value());
  EXPECT_FALSE(DecodeEviction(EncodeProgress(p)).has_value());
  EXPECT_FALSE(DecodeProgress(R"({"m":"m-1","e":""})").has_value());
  EXPECT_FALSE(DecodeEviction("[]").has_value());
}

TEST(DrainRecord, ALongReasonDoesNotOutgrowItsRow) {
  DrainProgress p;
  p.drain = std::string(60, 'd');
  p.blocked_reason = std::string(5000, 'w');
  p.machines_done = p.machines_left = p.replicas_moved = UINT64_MAX;
  p.replicas_moving = p.tasks_stopped = p.evictions_given_up = UINT64_MAX;
  p.since_wall = p.waiting_since_wall = 1e10;
  EXPECT_LE(EncodeProgress(p).size(), kMaxProgressBytes);
}

TEST(DrainsCommand, ShowsProgressAndWhyADrainWaits) {
  DrainProgress p;
  p.drain = "west";
  p.since_wall = 1000;
  p.machines_done = 2;
  p.machines_left = 3;
  p.blocked_reason = "the budget allows no more down: blue, 1 of at most 1";
  p.waiting_since_wall = 1100;
  const EvictionRecord s{"west", "job-1", 2, "m-3", 4, 1130};
  DrainRecords records;
  records.AddPage("[{\"m\":\"m-1\"}," + EncodeProgress(p) + "," + EncodeEviction(s) + "]");
  records.AddPage("not a page");
  const std::string text = DescribeDrains(records, 1142);
  EXPECT_NE(text.find("2 machines done, 3 left"), std::string::npos) << text;
  EXPECT_NE(text.find("waits for 42 s: the budget allows"), std::string::npos) << text;
  EXPECT_NE(text.find("moving job-1/2 off m-3 for 12 s"), std::string::npos) << text;
  EXPECT_EQ(DescribeDrains({}, 0), "no drains\n");
}

}  // namespace
}  // namespace deckhall
