// Tests of DisruptionOracle itself. Guards against an oracle that misses violations of the budgets,
// or reports stops that are allowed.
#include "disruption_oracle.h"

#include <gtest/gtest.h>

namespace deckhall {
namespace {

constexpr double kDetectSeconds = 5;
constexpr double kLearnSeconds = 8;
constexpr double kSettleSeconds = 4;

class DisruptionOracleTest : public ::testing::Test {
 protected:
  DisruptionOracleTest() {
    oracle_.SetBudget(0, "red", 1);
    for (int i = 0; i < 3; ++i) Start(0, "job-1/" + std::to_string(i));
  }
  void Start(double now, const std::string& task, const std::string& machine = "m-1") {
    JobSpec spec;
    spec.id = task.substr(0, task.find('/'));
    spec.team = "red";
    oracle_.TaskStarted(now, task, spec, machine);
  }
  void Stop(double now, const std::string& task) { StopDecidedAt(now, now, task); }
  void StopDecidedAt(double now, double decided_at, const std::string& task) {
    oracle_.TaskStopped(now, decided_at, task);
    oracle_.TaskEnded(now, task, "m-1");
  }
  DisruptionOracle oracle_{kDetectSeconds, kLearnSeconds, kSettleSeconds};
};

TEST_F(DisruptionOracleTest, DetectsStopThatExceedsBudget) {
  Stop(100, "job-1/0");
  EXPECT_TRUE(oracle_.violations().empty());
  Stop(101, "job-1/1");
  EXPECT_EQ(oracle_.violations().size(), 1U);
  EXPECT_EQ(oracle_.stops(), 2U);
  EXPECT_EQ(oracle_.MaxReplicasDown("red"), 2U);
}

TEST_F(DisruptionOracleTest, UnsettledReplacementCountsAsDown) {
  Stop(100, "job-1/0");
  Start(101, "job-1/0", "m-2");
  Stop(104.9, "job-1/1");
  EXPECT_EQ(oracle_.violations().size(), 1U);
}

TEST_F(DisruptionOracleTest, SettledReplacementCountsAsUp) {
  Stop(100, "job-1/0");
  Start(101, "job-1/0", "m-2");
  Stop(105, "job-1/1");
  EXPECT_TRUE(oracle_.violations().empty());
}

TEST_F(DisruptionOracleTest, LostMachineCountsAfterDetectionTime) {
  Start(0, "job-2/0", "m-9");
  oracle_.MachineLost(100, "m-9");
  Stop(104, "job-1/0");
  EXPECT_TRUE(oracle_.violations().empty());
  Start(105, "job-1/0");
  Stop(110, "job-1/1");
  EXPECT_EQ(oracle_.violations().size(), 1U);
}

TEST_F(DisruptionOracleTest, DelayedStopIsJudgedAtDecisionTime) {
  Start(0, "job-2/0", "m-9");
  oracle_.MachineLost(100, "m-9");
  StopDecidedAt(120, 99, "job-1/0");
  EXPECT_TRUE(oracle_.violations().empty());
}

TEST_F(DisruptionOracleTest, LoweredBudgetAppliesAfterPropagationTime) {
  oracle_.SetBudget(100, "red", 0);
  Stop(107, "job-1/0");
  EXPECT_TRUE(oracle_.violations().empty());
  Start(108, "job-1/0");
  Stop(113, "job-1/1");
  EXPECT_EQ(oracle_.violations().size(), 1U);
}

TEST_F(DisruptionOracleTest, CancelledJobsAreNotCounted) {
  oracle_.JobCancelled("job-1");
  Stop(100, "job-1/0");
  Stop(100, "job-1/1");
  Start(101, "job-1/0");
  EXPECT_EQ(oracle_.ReplicasDown("red"), 0U);
  EXPECT_TRUE(oracle_.violations().empty());
}

}  // namespace
}  // namespace deckhall
