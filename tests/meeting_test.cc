// Meetings of troubles, one test for each of the operators' list, brought about over
// several real controllers. The oracle watches every rule throughout; what a test expects
// besides is that the meeting took place and that all is served in the end.
#include <gtest/gtest.h>

#include "meeting_support.h"

namespace deckhall {
namespace {

TEST(Meeting, MoreWorkThanRoomUrgentAndNotOverSlowLinks) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto c = Started(seed, 3, 4);
    c->delay_s = 0.12;
    c->slow_state_s = 0.1;
    c->run_s = 8;
    std::vector<std::string> arrays;
    c->Submit(c->Service("job-900", 2));
    for (int i = 1; i <= 12; ++i) {
      JobSpec s = c->Array(JobName(i), 6, i % 3 == 0 ? 4 : 2);
      s.priority = i % 3 == 1   ? Priority::kUrgent
                   : i % 3 == 2 ? Priority::kNormal
                                : Priority::kIdle;
      s.team = i % 2 == 0 ? "blue" : "red";
      arrays.push_back(s.id);
      c->Submit(s);
      c->Run(0.5);
    }
    ExpectServed(c.get(), arrays, 300, seed);
  }
}

TEST(Meeting, JobsOfAFewTasksEndFarApartAcrossAChangeOfLeader) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto c = Started(seed, 3, 4);
    std::vector<std::string> arrays;
    for (int i = 1; i <= 4; ++i) {
      arrays.push_back(JobName(i));
      c->spread_s = 40;  // a later task runs so much longer
      c->run_s = 2;
      c->Submit(c->Array(arrays.back(), 2 + static_cast<uint32_t>(i) % 2));
    }
    for (int change = 0; change < 4; ++change) {
      c->Run(8 + static_cast<double>(seed) / 2);
      const size_t leader = c->Leader();
      if (leader == SIZE_MAX) continue;
      c->Crash(leader);
      c->Run(2);
      c->Boot(leader);
    }
    ExpectServed(c.get(), arrays, 150, seed);
  }
}

struct Gap {
  double refused_s;
  double outage_after_s;
  bool without_peers;
};

class GapTest : public testing::TestWithParam<Gap> {};

TEST_P(GapTest, WhatTheNextLeaderConfirmedIsGoneInTime) {
  for (uint64_t seed = 1; seed <= 4; ++seed) {
    const Gap gap = GetParam();
    auto c = AtWork(seed);
    const size_t a = c->Leader();
    const std::string name = Name(a);
    const double outage = c->settings.cancel_s + 20;
    c->Cut(name, "state", gap.refused_s, CutMode::kRefuse);
    if (gap.without_peers) {
      CutFromPeers(c.get(), a, 3, outage, CutMode::kHold);
      // Half of the machines reach the old leader only, and only it reaches them.
      for (const char* machine : {"m-1", "m-2", "m-3"}) {
        for (size_t i = 0; i < 3; ++i) {
          if (i != a) c->Cut(machine, Name(i), outage, CutMode::kHold);
        }
      }
      // The others, which will have a later token, don't reach it.
      for (const char* machine : {"m-4", "m-5", "m-6"}) {
        c->Cut(machine, name, outage, CutMode::kHold);
      }
    }
    // Cancelled through the next leader: the old one would stop what it was asked itself.
    const double began = c->now();
    const bool next = c->RunUntil([&] { return c->Leader() != SIZE_MAX && c->Leader() != a; },
                                  gap.outage_after_s);
    c->Cancel("job-1");
    c->Cancel("job-2");
    c->Run(std::max(0.1, began + gap.outage_after_s - c->now()));
    EXPECT_EQ(next, gap.outage_after_s > 1.3);
    if (next) {
      c->RunUntil([&] { return c->Cancelled("job-1") && c->Cancelled("job-2"); }, 4);
      EXPECT_TRUE(c->Cancelled("job-1") || c->Cancelled("job-2"));
    }
    c->StateOutage(outage);
    if (!gap.without_peers && c->Leader() != SIZE_MAX && c->Leader() != a) {
      // Its peers tell the old leader, without the state service.
      c->Run(1);
      EXPECT_FALSE(c->node(a)->election().HoldsKey());
    }
    c->Run(outage + 120);
    EXPECT_EQ(c->Broken(), "") << "seed " << seed;
    EXPECT_EQ(c->On("job-1") + c->On("job-2"), 0U);
  }
}

INSTANTIATE_TEST_SUITE_P(Spells, GapTest,
                         testing::Values(Gap{1, 0.2, false}, Gap{5, 1.4, false},
                                         Gap{14, 1.5, false}, Gap{14, 2, false}, Gap{30, 5, false},
                                         Gap{14, 1.4, true}, Gap{14, 2, true}, Gap{30, 5, true}));

TEST(Meeting, JobsBoundToOneZoneLoseMachines) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto c = Started(seed, 3, 6);
    c->run_s = 15;
    std::vector<std::string> arrays;
    for (int i = 1; i <= 6; ++i) {
      JobSpec s = c->Array(JobName(i), 4);
      s.zone = i % 3 == 0 ? "east" : "";
      s.single_zone = i % 3 == 1;
      s.anti_affinity = i % 3 == 2;
      arrays.push_back(s.id);
      c->Submit(s);
    }
    c->Run(5);
    // Three at once, some of them in the bound zone, and replacements.
    for (const char* name : {"m-1", "m-2", "m-3"}) c->Die(name);
    c->Run(3);
    for (const char* zone : {"east", "west", "east"}) c->AddWorker(zone);
    c->oracle->TroubleUntil(c->now());
    ExpectServed(c.get(), arrays, 200, seed);
  }
}

TEST(Meeting, ALeaderCutFromStateServiceAndPeersStillHasWorkersAndUsers) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto c = AtWork(seed);
    const size_t a = c->Leader();
    c->Cut(Name(a), "state", 60, CutMode::kHold);
    CutFromPeers(c.get(), a, 3, 60, CutMode::kHold);
    ASSERT_TRUE(c->RunUntil([&] { return c->Leader() != SIZE_MAX && c->Leader() != a; }, 10));
    c->Cancel("job-1");
    c->Cancel("job-2");
    ASSERT_TRUE(c->RunUntil([&] { return c->Cancelled("job-1") && c->Cancelled("job-2"); }, 60));
    c->Run(c->settings.cancel_s + 30);
    EXPECT_EQ(c->On("job-1") + c->On("job-2"), 0U);
    EXPECT_EQ(c->Broken(), "") << "seed " << seed;
  }
}

TEST(Meeting, TenTermsInTwoMinutesAlsoInsideAnOutage) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto c = AtWork(seed);
    c->Submit(c->Array("job-3", 4));
    for (int term = 0; term < 10; ++term) {
      if (term == 5) c->StateOutage(25);
      const size_t leader = c->Leader();
      c->Crash(leader != SIZE_MAX ? leader : static_cast<size_t>(term) % 3);
      c->Run(4);
      BootAll(c.get());
      c->Run(8);
    }
    ExpectServed(c.get(), {"job-3"}, 120, seed);
    EXPECT_EQ(c->On("job-1"), 3U);
  }
}

TEST(Meeting, ACancellationAQuestionAndARepeatMeetTheEndOfTheLastTask) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto c = Started(seed, 3, 6);
    c->rentable = 20;  // idle machines are given back meanwhile
    c->run_s = 3;
    for (int i = 1; i <= 12; ++i) {
      const std::string id = JobName(i);
      c->Submit(c->Array(id, 1));
      ASSERT_TRUE(c->RunUntil([&] { return c->On(id) == 1; }, 90));
      // From well before its end to well after it.
      c->Run(2.4 + 0.1 * i);
      c->Cancel(id);
      c->AskOnce(JobOperation::kGet, id);
      c->AskOnce(JobOperation::kSubmit, id);
      c->Run(1);
      c->AskOnce(JobOperation::kGet, id);
    }
    c->Run(30);
    EXPECT_EQ(c->Broken(), "") << "seed " << seed;
    for (int i = 1; i <= 12; ++i) {
      const std::string id = JobName(i);
      EXPECT_NE(c->ToldDone(id), c->Cancelled(id)) << id;
    }
  }
}

TEST(Meeting, AZoneWithWorkersAndAControllerIsCutOffBeyondTheLease) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    for (const bool with_leader : {true, false}) {
      auto c = AtWork(seed);
      // Node 2 is in a zone without machines.
      while (c->Leader() > 1) {
        c->Crash(2);
        ASSERT_TRUE(c->RunUntil([&] { return c->Leader() < 2; }, 10));
        c->Boot(2);
        c->Run(6);
      }
      const size_t inside = with_leader ? c->Leader() : 1 - c->Leader();
      c->CutZone(c->settings.zones[inside], c->settings.lease_s + c->settings.cancel_s,
                 CutMode::kHold);
      c->Run(3);
      c->Cancel("job-2");
      c->Run(150);
      EXPECT_TRUE(c->Cancelled("job-2"));
      EXPECT_EQ(c->On("job-2"), 0U);
      EXPECT_EQ(c->On("job-1"), 3U);
      EXPECT_EQ(c->Broken(), "") << "seed " << seed;
    }
  }
}

TEST(Meeting, OldReportsArriveAfterNewerOnesAlsoOfEarlierSessionsAndAttempts) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto c = AtWork(seed);
    for (const auto& [name, w] : c->workers) c->ReplayReports(name, 3 + static_cast<double>(seed));
    // A new session of some, while old reports are on their way.
    c->Hang("m-1", c->settings.lease_s + 5);
    c->ReplayReports("m-1", c->settings.lease_s + 8);
    c->Run(5);
    c->Crash(c->Leader());
    for (const auto& [name, w] : c->workers) c->ReplayReports(name, 1.3);
    c->Run(30);
    BootAll(c.get());
    c->Cancel("job-2");
    for (const auto& [name, w] : c->workers) c->ReplayReports(name, 15);
    c->Run(100);
    EXPECT_EQ(c->On("job-2"), 0U);
    EXPECT_EQ(c->On("job-1"), 3U);
    EXPECT_EQ(c->Broken(), "") << "seed " << seed;
  }
}

TEST(Meeting, AllControllersAreAwayBeyondTheLease) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto c = AtWork(seed);
    c->Submit(c->Array("job-3", 4));
    c->Run(1);
    c->oracle->TroubleUntil(c->now() + c->settings.lease_s + 5);
    for (size_t i = 0; i < 3; ++i) c->Crash(i);
    c->Run(c->settings.lease_s + 5);
    EXPECT_EQ(c->On("job-1"), 0U);
    BootAll(c.get());
    ExpectServed(c.get(), {"job-3"}, 90, seed);
    EXPECT_EQ(c->On("job-1"), 3U);
  }
}

TEST(Meeting, JobsAreCancelledAsTheStateServiceRefusesTheLeaderAndASecondLaterItIsOut) {
  for (uint64_t seed = 1; seed <= 4 * kSeeds; ++seed) {
    auto c = AtWork(seed);
    const size_t a = c->Leader();
    c->Cancel("job-2");
    c->Run(0.002 * static_cast<double>(seed % 4));
    c->Cut(Name(a), "state", 14, CutMode::kRefuse);
    c->Cancel("job-1");
    c->Run(0.8 + 0.1 * static_cast<double>(seed % 6));
    c->StateOutage(c->settings.cancel_s + 15);
    c->Run(c->settings.cancel_s + 120);
    EXPECT_EQ(c->On("job-1") + c->On("job-2"), 0U);
    EXPECT_EQ(c->Broken(), "") << "seed " << seed;
  }
}

TEST(Meeting, AReportHeldBackReachesTheNextLeaderAfterItActed) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto c = AtWork(seed);
    const std::string machine = c->MachineOf("job-2/0");
    // Reports and answers of that machine are held; the next leader gives it up.
    for (size_t i = 0; i < 3; ++i) c->CutOneWay(machine, Name(i), 30, CutMode::kHold);
    c->Run(3);
    c->Crash(c->Leader());
    c->Run(12);
    c->Cancel("job-2");
    c->Run(20);
    BootAll(c.get());
    c->Run(90);
    EXPECT_EQ(c->On("job-2"), 0U);
    EXPECT_EQ(c->Broken(), "") << "seed " << seed;
  }
}

TEST(Meeting, ACommandOrItsAnswerIsHeldUpForSecondsAndTheMachineGoesOn) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto c = Started(seed, 3, 4);
    c->run_s = 25;
    std::vector<std::string> arrays;
    for (int i = 1; i <= 6; ++i) {
      const std::string leader = Name(c->Leader() == SIZE_MAX ? 0 : c->Leader());
      const std::string machine = "m-" + std::to_string(1 + i % 4);
      if (i % 2 == 0) {
        c->CutOneWay(leader, machine, 4, CutMode::kHold);
      } else {
        c->CutOneWay(machine, leader, 4, CutMode::kHold);
      }
      const std::string id = JobName(i);
      c->Submit(c->Array(id, 3));
      c->Run(1 + static_cast<double>(seed) / 4);
      if (i % 3 == 0) {
        c->Cancel(id);
      } else {
        arrays.push_back(id);
      }
      c->Run(4);
    }
    ExpectServed(c.get(), arrays, 150, seed);
  }
}

TEST(Meeting, ATransactionWithoutAnswerIsCarriedOutAfterNewerOnes) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto c = Started(seed, 3, 6);
    c->late_writes = 0.3;
    c->run_s = 4;
    std::vector<std::string> arrays;
    for (int i = 1; i <= 20; ++i) {
      const std::string id = JobName(i);
      c->Submit(c->Array(id, 2));
      if (i % 5 == 0) {
        c->Cancel(id);
      } else {
        arrays.push_back(id);
      }
      c->Run(1);
      if (i % 8 == 0 && c->Leader() != SIZE_MAX) {
        const size_t leader = c->Leader();
        c->Crash(leader);
        c->Run(1.5);
        c->Boot(leader);
      }
    }
    c->late_writes = 0;
    ExpectServed(c.get(), arrays, 150, seed);
  }
}

TEST(Meeting, HandsOverAndBackAllEndAndOneReturnsWithinASecond) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto c = AtWork(seed);
    c->Submit(c->Array("job-3", 4));
    for (int i = 0; i < 8; ++i) {
      const size_t leader = c->Leader();
      if (leader != SIZE_MAX) c->Crash(leader);
      c->Run(0.05 + 0.1 * i);
      if (leader != SIZE_MAX) c->Boot(leader);
      c->Run(0.9);
    }
    for (size_t i = 0; i < 3; ++i) c->Crash(i);
    c->Run(0.3);
    c->Boot(seed % 3);
    c->Run(20);
    EXPECT_EQ(c->Leader(), seed % 3);
    BootAll(c.get());
    ExpectServed(c.get(), {"job-3"}, 60, seed);
    EXPECT_EQ(c->On("job-1"), 3U);
  }
}

TEST(Meeting, WorkersReachNoControllerWhileDirectCommandsReachThem) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto c = AtWork(seed);
    const double mute = c->settings.lease_s + 12;
    for (const auto& [name, w] : c->workers) c->Mute(name, mute);
    c->Run(4);
    c->Cancel("job-2");
    c->Submit(c->Array("job-3", 2));
    c->Run(mute);
    ExpectServed(c.get(), {"job-3"}, 120, seed);
    EXPECT_EQ(c->On("job-2"), 0U);
    EXPECT_EQ(c->On("job-1"), 3U);
  }
}

TEST(Meeting, ATeamAtItsLimitChangesLeaderWhileMachinesCanNotBeAsked) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto c = Started(seed, 3, 6);
    c->run_s = 40;
    c->Submit(c->Array("job-1", 12));  // all that the team may use
    c->Submit(c->Array("job-2", 6));   // waits for the limit
    ASSERT_TRUE(c->RunUntil([&] { return c->On("job-1") + c->On("job-2") == 12; }, 30));
    // The cloud can't take them back, so they stay unknown for a while.
    c->cloud_out = true;
    for (int i = 1; i <= 3; ++i) {
      for (size_t n = 0; n < 3; ++n) c->Cut("m-" + std::to_string(i), Name(n), 25, CutMode::kHold);
    }
    c->Run(1);
    const size_t leader = c->Leader();
    c->Crash(leader);
    c->Run(2);
    c->Cancel("job-1");
    c->Run(8);
    c->Boot(leader);
    c->Run(20);
    c->cloud_out = false;
    c->run_s = 5;
    ExpectServed(c.get(), {"job-2"}, 150, seed);
  }
}

// Not a meeting of the list, but what crowds out all others: a storm of questions.
TEST(Storm, OfQuestionsLeavesRoomForSubmissionsAndReports) {
  auto c = AtWork(1);
  for (size_t node = 0; node < 3; ++node) {
    const double rate = StatusRequestsPerSecond(c->settings, c->tuning);
    size_t answered = 0;
    size_t refused = 0;
    JobRequest ask;
    ask.operation = JobOperation::kGet;
    ask.job_id = "job-1";
    for (int i = 0; i < static_cast<int>(rate * 3); ++i) {
      c->node(node)->HandleJobRequest(ask, [&](const JobResponse& r) {
        EXPECT_TRUE(r.status == 200 || r.retry_after_s > 0);
        ++(r.status == 200 ? answered : refused);
      });
    }
    // Refused at once, not when the storm is over.
    EXPECT_GT(static_cast<double>(refused), rate);
    c->Run(2);
    EXPECT_GT(answered, 0U);
    EXPECT_EQ(answered + refused, static_cast<size_t>(rate * 3));
    c->Submit(c->Array("job-3" + std::to_string(node), 1));
    EXPECT_TRUE(c->RunUntil([&] { return c->Accepted("job-3" + std::to_string(node)); }, 2));
  }
  c->Run(c->settings.lease_s + 5);
  EXPECT_EQ(c->On("job-1"), 3U);
  EXPECT_EQ(c->Broken(), "");
}

TEST(Meeting, ALeaderEndsWhileMachinesWithLongTasksCanNotBeReachedOrDoNotHear) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto c = AtWork(seed);
    const double spell = c->settings.lease_s + 15;
    c->Deaf("m-1", spell);
    c->Deaf("m-2", spell);
    c->Hang("m-3", c->settings.lease_s - 3);
    for (size_t n = 0; n < 3; ++n) c->Cut("m-4", Name(n), spell, CutMode::kHold);
    c->Run(0.2);
    const size_t leader = c->Leader();
    c->Crash(leader);
    c->Run(3);
    c->Boot(leader);
    c->Cancel("job-2");
    c->Run(spell);
    c->AddWorker("east");
    c->AddWorker("west");
    c->Run(60);
    EXPECT_EQ(c->On("job-2"), 0U);
    EXPECT_EQ(c->On("job-1"), 3U);
    EXPECT_EQ(c->Broken(), "") << "seed " << seed;
  }
}

}  // namespace
}  // namespace deckhall
