// Combinations of faults that occur at the same time, one test for each combination on the
// operators' list, with several real controllers in a simulated cluster. The oracle checks every
// rule throughout; besides, each test expects that the combination occurred and that all jobs are
// served in the end.
#include <gtest/gtest.h>

#include "meeting_support.h"

namespace deckhall {
namespace {

TEST(CombinedFaults, OverloadAtAllPrioritiesOverSlowLinksIsServed) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto cluster = StartCluster(seed, 3, 4);
    cluster->message_delay_s = 0.12;
    cluster->state_delay_s = 0.1;
    cluster->array_run_s = 8;
    std::vector<std::string> arrays;
    cluster->Submit(cluster->Service("job-900", 2));
    for (int i = 1; i <= 12; ++i) {
      JobSpec spec = cluster->Array(JobId(i), 6, i % 3 == 0 ? 4 : 2);
      spec.priority = i % 3 == 1   ? Priority::kUrgent
                      : i % 3 == 2 ? Priority::kNormal
                                   : Priority::kIdle;
      spec.team = i % 2 == 0 ? "blue" : "red";
      arrays.push_back(spec.id);
      cluster->Submit(spec);
      cluster->Run(0.5);
    }
    ExpectArraysDone(cluster.get(), arrays, 300, seed);
  }
}

TEST(CombinedFaults, JobsWhoseTasksEndFarApartAreServedAcrossLeaderChanges) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto cluster = StartCluster(seed, 3, 4);
    std::vector<std::string> arrays;
    for (int i = 1; i <= 4; ++i) {
      arrays.push_back(JobId(i));
      cluster->run_spread_s = 40;  // a later task runs so much longer
      cluster->array_run_s = 2;
      cluster->Submit(cluster->Array(arrays.back(), 2 + static_cast<uint32_t>(i) % 2));
    }
    for (int change = 0; change < 4; ++change) {
      cluster->Run(8 + static_cast<double>(seed) / 2);
      const size_t leader = cluster->Leader();
      if (leader == SIZE_MAX) continue;
      cluster->Crash(leader);
      cluster->Run(2);
      cluster->Boot(leader);
    }
    ExpectArraysDone(cluster.get(), arrays, 150, seed);
  }
}

// The leader can't connect to the workers for a moment, so a launch goes with the response to a
// heartbeat, which is relayed by a second controller and held up. Meanwhile the task is launched
// directly, fails on its faulty machine, is cleared there and starts on another one. The worker
// still waits for the response when it arrives: executed again, the launch ran the task twice.
TEST(CombinedFaults, LaunchInDelayedRelayedResponseDoesNotRunItsTaskTwice) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto cluster = StartCluster(seed, 3, 2);
    SimWorker& faulty = cluster->workers.at("m-1");
    // Its replica makes the faulty machine the best fit for small tasks.
    JobSpec replica = cluster->Service("job-900", 1, 4);
    replica.zone = faulty.heartbeat.zone;
    cluster->Submit(replica);
    ASSERT_TRUE(cluster->RunUntil([&] { return cluster->MachineOf("job-900/0") == "m-1"; }, 30));
    cluster->Run(10);
    const size_t leader = cluster->Leader();
    const size_t second = (leader + 1) % 3;
    faulty.controller_index = second;
    faulty.faulty = true;
    ASSERT_TRUE(cluster->RunUntil([&] { return !faulty.awaiting_response; }, 5));
    const double heartbeat_at = cluster->now() + 0.7;
    faulty.next_heartbeat_at = heartbeat_at;
    cluster->Run(0.3);
    cluster->PartitionOneWay(NodeLabel(leader), "workers", 0.8, PartitionMode::kRefuse);
    cluster->PartitionOneWay(NodeLabel(second), "m-1", 4.2, PartitionMode::kDelay);
    cluster->Submit(cluster->Array(JobId(1), 1, 1));
    const std::string task = JobId(1) + "/0";
    ASSERT_TRUE(cluster->RunUntil([&] { return cluster->MachineOf(task) == "m-1"; }, 2)) << seed;
    EXPECT_TRUE(faulty.awaiting_response);
    ASSERT_TRUE(cluster->RunUntil([&] { return cluster->MachineOf(task) == "m-2"; }, 2.5)) << seed;
    // The command that launches it also clears the failed task.
    JobSpec next = cluster->Array(JobId(2), 1, 1);
    next.zone = faulty.heartbeat.zone;
    cluster->Submit(next);
    EXPECT_TRUE(cluster->RunUntil([&] { return !faulty.awaiting_response; }, 4));
    EXPECT_LT(cluster->now() - heartbeat_at, 3.9) << "the worker gave up the response";
    cluster->Run(5);
    faulty.faulty = false;
    ExpectArraysDone(cluster.get(), {JobId(1), JobId(2)}, 150, seed);
  }
}

// The state service refuses the leader for `refused_s` and fails for all controllers
// `outage_after_s` after the refusal began. With `without_peers`, the leader is also partitioned
// from its peers.
struct StateServiceLoss {
  double refused_s;
  double outage_after_s;
  bool without_peers;
};

class StateServiceLossTest : public testing::TestWithParam<StateServiceLoss> {};

TEST_P(StateServiceLossTest, CancellationsConfirmedByTheNextLeaderEndTasksInTime) {
  for (uint64_t seed = 1; seed <= 4; ++seed) {
    const StateServiceLoss loss = GetParam();
    auto cluster = StartClusterWithJobs(seed);
    const size_t old_leader = cluster->Leader();
    const std::string name = NodeLabel(old_leader);
    const double outage_s = cluster->settings.cancel_s + 20;
    cluster->Partition(name, "state", loss.refused_s, PartitionMode::kRefuse);
    if (loss.without_peers) {
      PartitionFromPeers(cluster.get(), old_leader, 3, outage_s, PartitionMode::kDelay);
      // Half of the machines are connected to the old leader only.
      for (const char* machine : {"m-1", "m-2", "m-3"}) {
        for (size_t i = 0; i < 3; ++i) {
          if (i != old_leader)
            cluster->Partition(machine, NodeLabel(i), outage_s, PartitionMode::kDelay);
        }
      }
      // The others, which will have a higher fencing token, are partitioned from it.
      for (const char* machine : {"m-4", "m-5", "m-6"}) {
        cluster->Partition(machine, name, outage_s, PartitionMode::kDelay);
      }
    }
    // Cancelled through the next leader: the old one would stop the tasks of jobs cancelled there.
    const double began_at = cluster->now();
    const bool has_next_leader = cluster->RunUntil(
        [&] { return cluster->Leader() != SIZE_MAX && cluster->Leader() != old_leader; },
        loss.outage_after_s);
    cluster->Cancel("job-1");
    cluster->Cancel("job-2");
    cluster->Run(std::max(0.1, began_at + loss.outage_after_s - cluster->now()));
    EXPECT_EQ(has_next_leader, loss.outage_after_s > 1.3);
    if (has_next_leader) {
      cluster->RunUntil([&] { return cluster->Cancelled("job-1") && cluster->Cancelled("job-2"); },
                        4);
      EXPECT_TRUE(cluster->Cancelled("job-1") || cluster->Cancelled("job-2"));
    }
    cluster->StateOutage(outage_s);
    if (!loss.without_peers && cluster->Leader() != SIZE_MAX && cluster->Leader() != old_leader) {
      // The old leader learns of the higher term from its peers, without the state service.
      cluster->Run(1);
      EXPECT_FALSE(cluster->node(old_leader)->election().HoldsKey());
    }
    cluster->Run(outage_s + 120);
    EXPECT_EQ(cluster->Violations(), "") << "seed " << seed;
    EXPECT_EQ(cluster->ActiveTasks("job-1") + cluster->ActiveTasks("job-2"), 0U);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Durations, StateServiceLossTest,
    testing::Values(StateServiceLoss{1, 0.2, false}, StateServiceLoss{5, 1.4, false},
                    StateServiceLoss{14, 1.5, false}, StateServiceLoss{14, 2, false},
                    StateServiceLoss{30, 5, false}, StateServiceLoss{14, 1.4, true},
                    StateServiceLoss{14, 2, true}, StateServiceLoss{30, 5, true}));

TEST(CombinedFaults, ZoneBoundJobsAreServedAfterMachinesAreLost) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto cluster = StartCluster(seed, 3, 6);
    cluster->array_run_s = 15;
    std::vector<std::string> arrays;
    for (int i = 1; i <= 6; ++i) {
      JobSpec spec = cluster->Array(JobId(i), 4);
      spec.zone = i % 3 == 0 ? "east" : "";
      spec.single_zone = i % 3 == 1;
      spec.anti_affinity = i % 3 == 2;
      arrays.push_back(spec.id);
      cluster->Submit(spec);
    }
    cluster->Run(5);
    // Three at once, some of them in the bound zone, and replacements.
    for (const char* name : {"m-1", "m-2", "m-3"}) cluster->KillMachine(name);
    cluster->Run(3);
    for (const char* zone : {"east", "west", "east"}) cluster->AddWorker(zone);
    cluster->oracle->SuspendLivenessChecksUntil(cluster->now());
    ExpectArraysDone(cluster.get(), arrays, 200, seed);
  }
}

TEST(CombinedFaults, CancelledTasksEndWhileAnIsolatedLeaderStillReachesWorkersAndUsers) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto cluster = StartClusterWithJobs(seed);
    const size_t old_leader = cluster->Leader();
    cluster->Partition(NodeLabel(old_leader), "state", 60, PartitionMode::kDelay);
    PartitionFromPeers(cluster.get(), old_leader, 3, 60, PartitionMode::kDelay);
    ASSERT_TRUE(cluster->RunUntil(
        [&] { return cluster->Leader() != SIZE_MAX && cluster->Leader() != old_leader; }, 10));
    cluster->Cancel("job-1");
    cluster->Cancel("job-2");
    ASSERT_TRUE(cluster->RunUntil(
        [&] { return cluster->Cancelled("job-1") && cluster->Cancelled("job-2"); }, 60));
    cluster->Run(cluster->settings.cancel_s + 30);
    EXPECT_EQ(cluster->ActiveTasks("job-1") + cluster->ActiveTasks("job-2"), 0U);
    EXPECT_EQ(cluster->Violations(), "") << "seed " << seed;
  }
}

TEST(CombinedFaults, JobsAreServedAcrossTenLeaderChangesAndAStateServiceOutage) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto cluster = StartClusterWithJobs(seed);
    cluster->Submit(cluster->Array("job-3", 4));
    for (int term = 0; term < 10; ++term) {
      if (term == 5) cluster->StateOutage(25);
      const size_t leader = cluster->Leader();
      cluster->Crash(leader != SIZE_MAX ? leader : static_cast<size_t>(term) % 3);
      cluster->Run(4);
      BootAll(cluster.get());
      cluster->Run(8);
    }
    ExpectArraysDone(cluster.get(), {"job-3"}, 120, seed);
    EXPECT_EQ(cluster->ActiveTasks("job-1"), 3U);
  }
}

TEST(CombinedFaults, CancellationAtTheEndOfTheLastTaskHasOneOutcome) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto cluster = StartCluster(seed, 3, 6);
    cluster->available_machines = 20;  // idle machines are released meanwhile
    cluster->array_run_s = 3;
    for (int i = 1; i <= 12; ++i) {
      const std::string id = JobId(i);
      cluster->Submit(cluster->Array(id, 1));
      ASSERT_TRUE(cluster->RunUntil([&] { return cluster->ActiveTasks(id) == 1; }, 90));
      // From well before its end to well after it.
      cluster->Run(2.4 + 0.1 * i);
      cluster->Cancel(id);
      cluster->SendRequestOnce(JobOperation::kGet, id);
      cluster->SendRequestOnce(JobOperation::kSubmit, id);
      cluster->Run(1);
      cluster->SendRequestOnce(JobOperation::kGet, id);
    }
    cluster->Run(30);
    EXPECT_EQ(cluster->Violations(), "") << "seed " << seed;
    for (int i = 1; i <= 12; ++i) {
      const std::string id = JobId(i);
      EXPECT_NE(cluster->ReportedDone(id), cluster->Cancelled(id)) << id;
    }
  }
}

TEST(CombinedFaults, ServicesRecoverAndCancelledTasksEndAfterAZonePartitionBeyondTheLease) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    for (const bool with_leader : {true, false}) {
      auto cluster = StartClusterWithJobs(seed);
      // Node 2 is in a zone without machines.
      while (cluster->Leader() > 1) {
        cluster->Crash(2);
        ASSERT_TRUE(cluster->RunUntil([&] { return cluster->Leader() < 2; }, 10));
        cluster->Boot(2);
        cluster->Run(6);
      }
      const size_t inside = with_leader ? cluster->Leader() : 1 - cluster->Leader();
      cluster->PartitionZone(cluster->settings.zones[inside],
                             cluster->settings.lease_s + cluster->settings.cancel_s,
                             PartitionMode::kDelay);
      cluster->Run(3);
      cluster->Cancel("job-2");
      cluster->Run(150);
      EXPECT_TRUE(cluster->Cancelled("job-2"));
      EXPECT_EQ(cluster->ActiveTasks("job-2"), 0U);
      EXPECT_EQ(cluster->ActiveTasks("job-1"), 3U);
      EXPECT_EQ(cluster->Violations(), "") << "seed " << seed;
    }
  }
}

TEST(CombinedFaults, LateHeartbeatsOfEarlierEpochsAndAttemptsBreakNoRule) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto cluster = StartClusterWithJobs(seed);
    for (const auto& [name, worker] : cluster->workers)
      cluster->ReplayHeartbeats(name, 3 + static_cast<double>(seed));
    // An agent starts a new epoch while its old heartbeats are in flight.
    cluster->Hang("m-1", cluster->settings.lease_s + 5);
    cluster->ReplayHeartbeats("m-1", cluster->settings.lease_s + 8);
    cluster->Run(5);
    cluster->Crash(cluster->Leader());
    for (const auto& [name, worker] : cluster->workers) cluster->ReplayHeartbeats(name, 1.3);
    cluster->Run(30);
    BootAll(cluster.get());
    cluster->Cancel("job-2");
    for (const auto& [name, worker] : cluster->workers) cluster->ReplayHeartbeats(name, 15);
    cluster->Run(100);
    EXPECT_EQ(cluster->ActiveTasks("job-2"), 0U);
    EXPECT_EQ(cluster->ActiveTasks("job-1"), 3U);
    EXPECT_EQ(cluster->Violations(), "") << "seed " << seed;
  }
}

TEST(CombinedFaults, TasksRestartAfterAllControllersAreDownBeyondTheLease) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto cluster = StartClusterWithJobs(seed);
    cluster->Submit(cluster->Array("job-3", 4));
    cluster->Run(1);
    cluster->oracle->SuspendLivenessChecksUntil(cluster->now() + cluster->settings.lease_s + 5);
    for (size_t i = 0; i < 3; ++i) cluster->Crash(i);
    cluster->Run(cluster->settings.lease_s + 5);
    EXPECT_EQ(cluster->ActiveTasks("job-1"), 0U);
    BootAll(cluster.get());
    ExpectArraysDone(cluster.get(), {"job-3"}, 90, seed);
    EXPECT_EQ(cluster->ActiveTasks("job-1"), 3U);
  }
}

TEST(CombinedFaults, CancelledTasksEndWhenTheStateServiceRefusesTheLeaderAndThenFails) {
  for (uint64_t seed = 1; seed <= 4 * kSeeds; ++seed) {
    auto cluster = StartClusterWithJobs(seed);
    const size_t old_leader = cluster->Leader();
    cluster->Cancel("job-2");
    cluster->Run(0.002 * static_cast<double>(seed % 4));
    cluster->Partition(NodeLabel(old_leader), "state", 14, PartitionMode::kRefuse);
    cluster->Cancel("job-1");
    cluster->Run(0.8 + 0.1 * static_cast<double>(seed % 6));
    cluster->StateOutage(cluster->settings.cancel_s + 15);
    cluster->Run(cluster->settings.cancel_s + 120);
    EXPECT_EQ(cluster->ActiveTasks("job-1") + cluster->ActiveTasks("job-2"), 0U);
    EXPECT_EQ(cluster->Violations(), "") << "seed " << seed;
  }
}

TEST(CombinedFaults, DelayedHeartbeatsOfAMachineDeclaredDeadBreakNoRule) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto cluster = StartClusterWithJobs(seed);
    const std::string machine = cluster->MachineOf("job-2/0");
    // Heartbeats and responses of that machine are held back; the next leader declares it dead.
    for (size_t i = 0; i < 3; ++i)
      cluster->PartitionOneWay(machine, NodeLabel(i), 30, PartitionMode::kDelay);
    cluster->Run(3);
    cluster->Crash(cluster->Leader());
    cluster->Run(12);
    cluster->Cancel("job-2");
    cluster->Run(20);
    BootAll(cluster.get());
    cluster->Run(90);
    EXPECT_EQ(cluster->ActiveTasks("job-2"), 0U);
    EXPECT_EQ(cluster->Violations(), "") << "seed " << seed;
  }
}

TEST(CombinedFaults, JobsAreServedWhenCommandsOrResponsesAreDelayedForSeconds) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto cluster = StartCluster(seed, 3, 4);
    cluster->array_run_s = 25;
    std::vector<std::string> arrays;
    for (int i = 1; i <= 6; ++i) {
      const std::string leader = NodeLabel(cluster->Leader() == SIZE_MAX ? 0 : cluster->Leader());
      const std::string machine = "m-" + std::to_string(1 + i % 4);
      if (i % 2 == 0) {
        cluster->PartitionOneWay(leader, machine, 4, PartitionMode::kDelay);
      } else {
        cluster->PartitionOneWay(machine, leader, 4, PartitionMode::kDelay);
      }
      const std::string id = JobId(i);
      cluster->Submit(cluster->Array(id, 3));
      cluster->Run(1 + static_cast<double>(seed) / 4);
      if (i % 3 == 0) {
        cluster->Cancel(id);
      } else {
        arrays.push_back(id);
      }
      cluster->Run(4);
    }
    ExpectArraysDone(cluster.get(), arrays, 150, seed);
  }
}

TEST(CombinedFaults, JobsAreServedWhenUnansweredTransactionsAreAppliedLate) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto cluster = StartCluster(seed, 3, 6);
    cluster->delayed_commit_share = 0.3;
    cluster->array_run_s = 4;
    std::vector<std::string> arrays;
    for (int i = 1; i <= 20; ++i) {
      const std::string id = JobId(i);
      cluster->Submit(cluster->Array(id, 2));
      if (i % 5 == 0) {
        cluster->Cancel(id);
      } else {
        arrays.push_back(id);
      }
      cluster->Run(1);
      if (i % 8 == 0 && cluster->Leader() != SIZE_MAX) {
        const size_t leader = cluster->Leader();
        cluster->Crash(leader);
        cluster->Run(1.5);
        cluster->Boot(leader);
      }
    }
    cluster->delayed_commit_share = 0;
    ExpectArraysDone(cluster.get(), arrays, 150, seed);
  }
}

TEST(CombinedFaults, JobsAreServedAfterRapidLeaderChangesAndACrashOfAllControllers) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto cluster = StartClusterWithJobs(seed);
    cluster->Submit(cluster->Array("job-3", 4));
    for (int i = 0; i < 8; ++i) {
      const size_t leader = cluster->Leader();
      if (leader != SIZE_MAX) cluster->Crash(leader);
      cluster->Run(0.05 + 0.1 * i);
      if (leader != SIZE_MAX) cluster->Boot(leader);
      cluster->Run(0.9);
    }
    for (size_t i = 0; i < 3; ++i) cluster->Crash(i);
    cluster->Run(0.3);
    cluster->Boot(seed % 3);
    cluster->Run(20);
    EXPECT_EQ(cluster->Leader(), seed % 3);
    BootAll(cluster.get());
    ExpectArraysDone(cluster.get(), {"job-3"}, 60, seed);
    EXPECT_EQ(cluster->ActiveTasks("job-1"), 3U);
  }
}

TEST(CombinedFaults, JobsAreServedWhenHeartbeatsAreLostButCommandsArrive) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto cluster = StartClusterWithJobs(seed);
    const double heartbeat_loss_s = cluster->settings.lease_s + 12;
    for (const auto& [name, worker] : cluster->workers)
      cluster->LoseHeartbeats(name, heartbeat_loss_s);
    cluster->Run(4);
    cluster->Cancel("job-2");
    cluster->Submit(cluster->Array("job-3", 2));
    cluster->Run(heartbeat_loss_s);
    ExpectArraysDone(cluster.get(), {"job-3"}, 120, seed);
    EXPECT_EQ(cluster->ActiveTasks("job-2"), 0U);
    EXPECT_EQ(cluster->ActiveTasks("job-1"), 3U);
  }
}

TEST(CombinedFaults, TeamLimitHoldsAcrossALeaderChangeWithUnreachableMachines) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto cluster = StartCluster(seed, 3, 6);
    cluster->array_run_s = 40;
    cluster->Submit(cluster->Array("job-1", 12));  // all that the team may use
    cluster->Submit(cluster->Array("job-2", 6));   // waits for the limit
    ASSERT_TRUE(cluster->RunUntil(
        [&] { return cluster->ActiveTasks("job-1") + cluster->ActiveTasks("job-2") == 12; }, 30));
    // The cloud can't release them, so their tasks stay unreconciled for a while.
    cluster->cloud_unavailable = true;
    for (int i = 1; i <= 3; ++i) {
      for (size_t n = 0; n < 3; ++n)
        cluster->Partition("m-" + std::to_string(i), NodeLabel(n), 25, PartitionMode::kDelay);
    }
    cluster->Run(1);
    const size_t leader = cluster->Leader();
    cluster->Crash(leader);
    cluster->Run(2);
    cluster->Cancel("job-1");
    cluster->Run(8);
    cluster->Boot(leader);
    cluster->Run(20);
    cluster->cloud_unavailable = false;
    cluster->array_run_s = 5;
    ExpectArraysDone(cluster.get(), {"job-2"}, 150, seed);
  }
}

// Not a combination of the list, but an overload that could starve everything else.
TEST(QueryOverload, LeavesCapacityForSubmissionsAndHeartbeats) {
  auto cluster = StartClusterWithJobs(1);
  for (size_t node = 0; node < 3; ++node) {
    const double rate = StatusRequestsPerSecond(cluster->settings, cluster->tuning);
    size_t answered = 0;
    size_t refused = 0;
    JobRequest request;
    request.operation = JobOperation::kGet;
    request.job_id = "job-1";
    for (int i = 0; i < static_cast<int>(rate * 3); ++i) {
      cluster->node(node)->HandleJobRequest(request, [&](const JobResponse& response) {
        EXPECT_TRUE(response.status == 200 || response.retry_after_s > 0);
        ++(response.status == 200 ? answered : refused);
      });
    }
    // Refused at once, not when the overload is over.
    EXPECT_GT(static_cast<double>(refused), rate);
    cluster->Run(2);
    EXPECT_GT(answered, 0U);
    EXPECT_EQ(answered + refused, static_cast<size_t>(rate * 3));
    cluster->Submit(cluster->Array("job-3" + std::to_string(node), 1));
    EXPECT_TRUE(
        cluster->RunUntil([&] { return cluster->Accepted("job-3" + std::to_string(node)); }, 2));
  }
  cluster->Run(cluster->settings.lease_s + 5);
  EXPECT_EQ(cluster->ActiveTasks("job-1"), 3U);
  EXPECT_EQ(cluster->Violations(), "");
}

TEST(CombinedFaults, LeaderCrashWithUnreachableAndOneWayReachableMachinesBreaksNoRule) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto cluster = StartClusterWithJobs(seed);
    const double fault_s = cluster->settings.lease_s + 15;
    cluster->MakeOneWayReachable("m-1", fault_s);
    cluster->MakeOneWayReachable("m-2", fault_s);
    cluster->Hang("m-3", cluster->settings.lease_s - 3);
    for (size_t n = 0; n < 3; ++n)
      cluster->Partition("m-4", NodeLabel(n), fault_s, PartitionMode::kDelay);
    cluster->Run(0.2);
    const size_t leader = cluster->Leader();
    cluster->Crash(leader);
    cluster->Run(3);
    cluster->Boot(leader);
    cluster->Cancel("job-2");
    cluster->Run(fault_s);
    cluster->AddWorker("east");
    cluster->AddWorker("west");
    cluster->Run(60);
    EXPECT_EQ(cluster->ActiveTasks("job-2"), 0U);
    EXPECT_EQ(cluster->ActiveTasks("job-1"), 3U);
    EXPECT_EQ(cluster->Violations(), "") << "seed " << seed;
  }
}

}  // namespace
}  // namespace deckhall
