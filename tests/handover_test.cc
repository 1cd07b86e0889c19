// Combinations of faults around a leader change, with late messages and users that query at once.
// As in meeting_test.cc, the oracle checks every rule throughout; besides, each test expects that
// the combination occurred and that all jobs are served in the end.
#include <gtest/gtest.h>

#include "meeting_support.h"

namespace deckhall {
namespace {

TEST(LeaderChange, FourJobsPerSecondAreServedWhileAQuarterIsCancelled) {
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    auto cluster = StartCluster(seed, 3, 12);
    cluster->array_run_s = 4;
    std::vector<std::string> kept_ids;
    for (size_t i = 0; i < 240; ++i) {
      cluster->Submit(cluster->Array(JobId(i), 1, 1));
      kept_ids.push_back(JobId(i));
      cluster->Run(0.25);
      if (i % 4 == 3) {
        const std::string cancelled_id = kept_ids[kept_ids.size() - seed];
        cluster->Cancel(cancelled_id);
        std::erase(kept_ids, cancelled_id);
      }
      if (i == 120) cluster->Crash(cluster->Leader());
      if (i == 140) BootAll(cluster.get());
    }
    EXPECT_EQ(kept_ids.size(), 180U);
    ExpectArraysDone(cluster.get(), kept_ids, 60, seed);
    // Of a job that has ended, only its id and final state are kept.
    cluster->Run(cluster->settings.cancel_s + 2 * cluster->settings.lease_s + 20);
    const Controller* leader = cluster->node(cluster->Leader());
    ASSERT_NE(leader, nullptr);
    EXPECT_TRUE(const_cast<Leader*>(leader->leader())->job_store().ended_jobs().empty());
  }
}

TEST(LeaderChange, TasksOfJobsCancelledMeanwhileEndInTime) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto cluster = StartCluster(seed, 3, 8);
    cluster->array_run_s = 300;
    for (size_t i = 0; i < 12; ++i) cluster->Submit(cluster->Array(JobId(i), 2, 1));
    ASSERT_TRUE(cluster->RunUntil([&] { return cluster->ActiveTasks(JobId(11)) == 2; }, 40));
    const size_t leader = cluster->Leader();
    for (size_t i = 0; i < 12; ++i) {
      if (i == 4 && seed % 2 == 0) cluster->Crash(leader);
      if (i == 4 && seed % 2 == 1) cluster->Freeze(leader, 20);
      cluster->Cancel(JobId(i));
      cluster->Run(0.17);
    }
    EXPECT_TRUE(cluster->RunUntil([&] { return cluster->Cancelled(JobId(11)); }, 10))
        << "seed " << seed;
    cluster->Run(cluster->settings.cancel_s + 5);
    BootAll(cluster.get());
    for (size_t i = 0; i < 12; ++i)
      EXPECT_EQ(cluster->ActiveTasks(JobId(i)), 0U) << "seed " << seed;
    EXPECT_EQ(cluster->Violations(), "") << "seed " << seed;
  }
}

// The leader crashes as soon as a user has got a response, while most transactions are applied
// late: those of a former leader are void by then.
TEST(LeaderChange, AcknowledgedRequestsSurviveAnImmediateLeaderCrash) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto cluster = StartClusterWithJobs(seed);
    cluster->array_run_s = 300;
    for (size_t i = 3; i < 7; ++i) {
      cluster->delayed_commit_share = 0.6;
      cluster->Submit(cluster->Array(JobId(i), 2, 1));
      ASSERT_TRUE(cluster->RunUntil([&] { return cluster->Accepted(JobId(i)); }, 60))
          << "seed " << seed;
      cluster->Crash(cluster->Leader());
      cluster->delayed_commit_share = 0;
      EXPECT_TRUE(cluster->RunUntil([&] { return cluster->ActiveTasks(JobId(i)) == 2; }, 90))
          << "seed " << seed << ", job " << i << ", leader " << cluster->Leader() << ": "
          << cluster->Violations();
      BootAll(cluster.get());
      cluster->Run(5);
      cluster->delayed_commit_share = 0.6;
      cluster->Cancel(JobId(i));
      ASSERT_TRUE(cluster->RunUntil([&] { return cluster->Cancelled(JobId(i)); }, 60))
          << "seed " << seed;
      cluster->Crash(cluster->Leader());
      cluster->delayed_commit_share = 0;
      cluster->Run(cluster->settings.cancel_s);
      BootAll(cluster.get());
      cluster->Run(5);
      EXPECT_EQ(cluster->ActiveTasks(JobId(i)), 0U) << "seed " << seed;
    }
    EXPECT_EQ(cluster->Violations(), "") << "seed " << seed;
  }
}

TEST(LeaderChange, StaleHeartbeatsAtEveryControllerLoseNoTasks) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto cluster = StartClusterWithJobs(seed);
    cluster->array_run_s = 300;
    const std::string hung_machine = cluster->MachineOf("job-2/0");
    // Only copies of its earlier heartbeats arrive.
    cluster->Hang(hung_machine, cluster->settings.lease_s * 2);
    cluster->Run(2);
    cluster->Crash(cluster->Leader());
    for (const double delay_s : EvenlySpacedTimes(0.2, 3, 0.2))
      cluster->ReplayHeartbeats(hung_machine, delay_s);
    EXPECT_TRUE(cluster->RunUntil([&] { return cluster->Leader() != SIZE_MAX; }, 10));
    cluster->Run(60);
    BootAll(cluster.get());
    cluster->Run(60);
    EXPECT_EQ(cluster->ActiveTasks("job-1"), 3U) << "seed " << seed;
    EXPECT_EQ(cluster->ActiveTasks("job-2"), 6U) << "seed " << seed;
    EXPECT_EQ(cluster->Violations(), "") << "seed " << seed;
  }
}

TEST(LeaderChange, ImmediateQueriesAtAllControllersBreakNoRule) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto cluster = StartCluster(seed, 3, 6);
    cluster->array_run_s = 6;
    std::vector<std::string> kept_ids;
    for (size_t i = 0; i < 20; ++i) {
      const std::string id = JobId(i);
      cluster->Submit(cluster->Array(id, 1));
      const bool is_cancelled = i % 3 == 0;
      if (!is_cancelled) kept_ids.push_back(id);
      if (i == 10) cluster->Freeze(cluster->Leader(), 4);
      for (int query = 0; query < 100; ++query) {
        cluster->Run(0.006);
        cluster->SendRequestOnce(JobOperation::kGet, id);
        if (cluster->Accepted(id) && query % 10 == 0)
          cluster->SendRequestOnce(JobOperation::kSubmit, id);
        if (is_cancelled && cluster->Accepted(id) && query == 50) cluster->Cancel(id);
      }
    }
    ExpectArraysDone(cluster.get(), kept_ids, 60, seed);
  }
}

TEST(LeaderChange, LateCommandsOfADeposedLeaderBreakNoRule) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto cluster = StartClusterWithJobs(seed);
    cluster->delayed_command_share = 0.4;
    cluster->array_run_s = 15;
    std::vector<std::string> arrays;
    for (size_t i = 3; i < 15; ++i) {
      arrays.push_back(JobId(i));
      cluster->Submit(cluster->Array(arrays.back(), 3));
      cluster->Run(1);
      if (i % 4 == 0) {
        const size_t leader = cluster->Leader();
        if (leader == SIZE_MAX) continue;
        if (seed % 2 == 0) cluster->Freeze(leader, 5);
        if (seed % 2 == 1) cluster->Crash(leader);
      }
      if (i == 8) cluster->Cancel("job-2");
      if (i % 4 == 3) BootAll(cluster.get());
    }
    BootAll(cluster.get());
    cluster->Run(30);
    cluster->delayed_command_share = 0;
    ExpectArraysDone(cluster.get(), arrays, 150, seed);
    EXPECT_EQ(cluster->ActiveTasks("job-2"), 0U);
    EXPECT_EQ(cluster->ActiveTasks("job-1"), 3U);
  }
}

TEST(LeaderChange, JobsOnNewMachinesAreServedDespiteSlowWritesAndLeaderCrashes) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto cluster = StartCluster(seed, 3, 2);
    cluster->array_run_s = 20;
    cluster->available_machines = 12;
    cluster->state_delay_s = 0.6;
    cluster->delayed_commit_share = 0.2;
    std::vector<std::string> arrays;
    for (size_t i = 0; i < 6; ++i) {
      arrays.push_back(JobId(i));
      cluster->Submit(cluster->Array(arrays.back(), 8, 4));
    }
    for (int crash = 0; crash < 4; ++crash) {
      cluster->Run(6 + static_cast<double>(seed) / 2);
      const size_t leader = cluster->Leader();
      if (leader == SIZE_MAX) continue;
      cluster->Crash(leader);
      cluster->Run(1.5);
      cluster->Boot(leader);
    }
    cluster->delayed_commit_share = 0;
    cluster->state_delay_s = 0;
    ExpectArraysDone(cluster.get(), arrays, 300, seed);
  }
}

TEST(LeaderChange, JobsAreServedWhenTransactionResponsesAreLost) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto cluster = StartClusterWithJobs(seed);
    cluster->lost_response_share = 0.3;
    cluster->array_run_s = 10;
    std::vector<std::string> arrays;
    for (size_t i = 3; i < 15; ++i) {
      arrays.push_back(JobId(i));
      cluster->Submit(cluster->Array(arrays.back(), 2));
      cluster->Run(1.5);
      for (int query = 0; query < 5; ++query)
        cluster->SendRequestOnce(JobOperation::kGet, arrays.back());
      if (i == 6) cluster->Cancel("job-2");
      if (i % 5 != 0) continue;
      const size_t leader = cluster->Leader();
      if (leader == SIZE_MAX) continue;
      cluster->Crash(leader);
      cluster->Run(0.3);
      cluster->Boot(leader);
    }
    cluster->lost_response_share = 0;
    ExpectArraysDone(cluster.get(), arrays, 150, seed);
    EXPECT_EQ(cluster->ActiveTasks("job-2"), 0U);
    EXPECT_EQ(cluster->ActiveTasks("job-1"), 3U);
  }
}

}  // namespace
}  // namespace deckhall
