// Meetings of troubles around a change of leader, late messages and hasty users. As in
// meeting_test.cc the oracle watches every rule; a test expects besides that the meeting
// took place and that all is served in the end.
#include <gtest/gtest.h>

#include "meeting_support.h"

namespace deckhall {
namespace {

TEST(Handover, OneTaskJobsComeFourASecondAndAQuarterIsCancelled) {
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    auto c = StartCluster(seed, 3, 12);
    c->array_run_s = 4;
    std::vector<std::string> kept;
    for (size_t i = 0; i < 240; ++i) {
      c->Submit(c->Array(JobId(i), 1, 1));
      kept.push_back(JobId(i));
      c->Run(0.25);
      if (i % 4 == 3) {
        const std::string called_off = kept[kept.size() - seed];
        c->Cancel(called_off);
        std::erase(kept, called_off);
      }
      if (i == 120) c->Crash(c->Leader());
      if (i == 140) BootAll(c.get());
    }
    EXPECT_EQ(kept.size(), 180U);
    ExpectArraysDone(c.get(), kept, 60, seed);
    // What is over is kept only as its id and end.
    c->Run(c->settings.cancel_s + 2 * c->settings.lease_s + 20);
    const Controller* leader = c->node(c->Leader());
    ASSERT_NE(leader, nullptr);
    EXPECT_TRUE(const_cast<Leader*>(leader->leader())->job_store().ended_jobs().empty());
  }
}

TEST(Handover, JobsAreCancelledWhileTheLeaderChanges) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto c = StartCluster(seed, 3, 8);
    c->array_run_s = 300;
    for (size_t i = 0; i < 12; ++i) c->Submit(c->Array(JobId(i), 2, 1));
    ASSERT_TRUE(c->RunUntil([&] { return c->ActiveTasks(JobId(11)) == 2; }, 40));
    const size_t leader = c->Leader();
    for (size_t i = 0; i < 12; ++i) {
      if (i == 4 && seed % 2 == 0) c->Crash(leader);
      if (i == 4 && seed % 2 == 1) c->Freeze(leader, 20);
      c->Cancel(JobId(i));
      c->Run(0.17);
    }
    EXPECT_TRUE(c->RunUntil([&] { return c->Cancelled(JobId(11)); }, 10)) << "seed " << seed;
    c->Run(c->settings.cancel_s + 5);
    BootAll(c.get());
    for (size_t i = 0; i < 12; ++i) EXPECT_EQ(c->ActiveTasks(JobId(i)), 0U) << "seed " << seed;
    EXPECT_EQ(c->Violations(), "") << "seed " << seed;
  }
}

// The leader ends in the moment in which a user was told something, while most transactions
// are carried out late: what a former leader sent is void by then.
TEST(Handover, WhatWasToldOutlivesALeaderThatEndsAtOnce) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto c = StartClusterWithJobs(seed);
    c->array_run_s = 300;
    for (size_t i = 3; i < 7; ++i) {
      c->delayed_commit_share = 0.6;
      c->Submit(c->Array(JobId(i), 2, 1));
      ASSERT_TRUE(c->RunUntil([&] { return c->Accepted(JobId(i)); }, 60)) << "seed " << seed;
      c->Crash(c->Leader());
      c->delayed_commit_share = 0;
      EXPECT_TRUE(c->RunUntil([&] { return c->ActiveTasks(JobId(i)) == 2; }, 90))
          << "seed " << seed << ", job " << i << ", leader " << c->Leader() << ": "
          << c->Violations();
      BootAll(c.get());
      c->Run(5);
      c->delayed_commit_share = 0.6;
      c->Cancel(JobId(i));
      ASSERT_TRUE(c->RunUntil([&] { return c->Cancelled(JobId(i)); }, 60)) << "seed " << seed;
      c->Crash(c->Leader());
      c->delayed_commit_share = 0;
      c->Run(c->settings.cancel_s);
      BootAll(c.get());
      c->Run(5);
      EXPECT_EQ(c->ActiveTasks(JobId(i)), 0U) << "seed " << seed;
    }
    EXPECT_EQ(c->Violations(), "") << "seed " << seed;
  }
}

TEST(Handover, AnOldReportReachesEveryControllerAsTheNextOneBegins) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto c = StartClusterWithJobs(seed);
    c->array_run_s = 300;
    const std::string silent = c->MachineOf("job-2/0");
    c->Hang(silent, c->settings.lease_s * 2);  // only its copies speak
    c->Run(2);
    c->Crash(c->Leader());
    for (const double after : EvenlySpacedTimes(0.2, 3, 0.2)) c->ReplayHeartbeats(silent, after);
    EXPECT_TRUE(c->RunUntil([&] { return c->Leader() != SIZE_MAX; }, 10));
    c->Run(60);
    BootAll(c.get());
    c->Run(60);
    EXPECT_EQ(c->ActiveTasks("job-1"), 3U) << "seed " << seed;
    EXPECT_EQ(c->ActiveTasks("job-2"), 6U) << "seed " << seed;
    EXPECT_EQ(c->Violations(), "") << "seed " << seed;
  }
}

TEST(Handover, UsersAskAtAllNodesRightAfterEveryAnswer) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto c = StartCluster(seed, 3, 6);
    c->array_run_s = 6;
    std::vector<std::string> kept;
    for (size_t i = 0; i < 20; ++i) {
      const std::string id = JobId(i);
      c->Submit(c->Array(id, 1));
      const bool called_off = i % 3 == 0;
      if (!called_off) kept.push_back(id);
      if (i == 10) c->Freeze(c->Leader(), 4);
      for (int look = 0; look < 100; ++look) {
        c->Run(0.006);
        c->SendRequestOnce(JobOperation::kGet, id);
        if (c->Accepted(id) && look % 10 == 0) c->SendRequestOnce(JobOperation::kSubmit, id);
        if (called_off && c->Accepted(id) && look == 50) c->Cancel(id);
      }
    }
    ExpectArraysDone(c.get(), kept, 60, seed);
  }
}

TEST(Handover, ACommandOfADeposedLeaderArrivesAfterTheNextOnes) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto c = StartClusterWithJobs(seed);
    c->delayed_command_share = 0.4;
    c->array_run_s = 15;
    std::vector<std::string> arrays;
    for (size_t i = 3; i < 15; ++i) {
      arrays.push_back(JobId(i));
      c->Submit(c->Array(arrays.back(), 3));
      c->Run(1);
      if (i % 4 == 0) {
        const size_t leader = c->Leader();
        if (leader == SIZE_MAX) continue;
        if (seed % 2 == 0) c->Freeze(leader, 5);
        if (seed % 2 == 1) c->Crash(leader);
      }
      if (i == 8) c->Cancel("job-2");
      if (i % 4 == 3) BootAll(c.get());
    }
    BootAll(c.get());
    c->Run(30);
    c->delayed_command_share = 0;
    ExpectArraysDone(c.get(), arrays, 150, seed);
    EXPECT_EQ(c->ActiveTasks("job-2"), 0U);
    EXPECT_EQ(c->ActiveTasks("job-1"), 3U);
  }
}

TEST(Handover, NewMachinesGetWorkAtOnceWhileWritesLagAndTheLeaderEnds) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto c = StartCluster(seed, 3, 2);
    c->array_run_s = 20;
    c->available_machines = 12;
    c->state_delay_s = 0.6;
    c->delayed_commit_share = 0.2;
    std::vector<std::string> arrays;
    for (size_t i = 0; i < 6; ++i) {
      arrays.push_back(JobId(i));
      c->Submit(c->Array(arrays.back(), 8, 4));
    }
    for (int end = 0; end < 4; ++end) {
      c->Run(6 + static_cast<double>(seed) / 2);
      const size_t leader = c->Leader();
      if (leader == SIZE_MAX) continue;
      c->Crash(leader);
      c->Run(1.5);
      c->Boot(leader);
    }
    c->delayed_commit_share = 0;
    c->state_delay_s = 0;
    ExpectArraysDone(c.get(), arrays, 300, seed);
  }
}

TEST(Handover, OnlyTheAnswerOfATransactionIsLostWhileOthersReadWhatItWrote) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto c = StartClusterWithJobs(seed);
    c->lost_response_share = 0.3;
    c->array_run_s = 10;
    std::vector<std::string> arrays;
    for (size_t i = 3; i < 15; ++i) {
      arrays.push_back(JobId(i));
      c->Submit(c->Array(arrays.back(), 2));
      c->Run(1.5);
      for (int look = 0; look < 5; ++look) c->SendRequestOnce(JobOperation::kGet, arrays.back());
      if (i == 6) c->Cancel("job-2");
      if (i % 5 != 0) continue;
      const size_t leader = c->Leader();
      if (leader == SIZE_MAX) continue;
      c->Crash(leader);
      c->Run(0.3);
      c->Boot(leader);
    }
    c->lost_response_share = 0;
    ExpectArraysDone(c.get(), arrays, 150, seed);
    EXPECT_EQ(c->ActiveTasks("job-2"), 0U);
    EXPECT_EQ(c->ActiveTasks("job-1"), 3U);
  }
}

}  // namespace
}  // namespace deckhall
