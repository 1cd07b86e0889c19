// Drains under one leader: evictions, disruption budgets, and faults and policy changes that occur
// during a drain.
#include <gtest/gtest.h>

#include "drain_world.h"

namespace deckhall {
namespace {

std::string WithDrains(const std::string& drains) {
  return std::string(kOneDownAtATime) + "(drains " + drains + ")";
}

// The machines that run replicas of the service, ordered by endpoint.
std::vector<std::string> MachinesOf(const DrainTestEnvironment& world, const std::string& job) {
  std::vector<std::string> out;
  for (const auto& [endpoint, worker] : world.workers.by_endpoint) {
    if (worker.ActiveTasks(job) > 0) out.push_back(worker.heartbeat.machine);
  }
  return out;
}

TEST(Drain, EmptiesMachineWithinBudgetAndReleasesIt) {
  DrainTestEnvironment world;
  world.StartLeader();
  for (const char* name : {"m-1", "m-2"}) world.AddMachine(name, "east");
  world.StartService("job-1", 4);
  world.StartService("job-2", 2);
  world.AddMachine("m-3", "east");
  world.AddMachine("m-4", "west");
  world.RunAndRecord(5);
  world.DrainFirstMachine();
  const size_t before = world.ActiveTasksOn("m-1");
  ASSERT_GT(before, 0U);
  EXPECT_TRUE(world.RunUntilDrained("one", 120)) << world.BlockedReason("one");
  EXPECT_TRUE(world.IsReleased("m-1"));
  EXPECT_EQ(world.MaxReplicasDown("red"), 1U);
  EXPECT_EQ(world.ReplicasDown("red"), 0U);
  EXPECT_EQ(world.Progress("one").machines_done, 1U);
  EXPECT_EQ(world.Progress("one").replicas_moved, before);
  EXPECT_FALSE(world.IsReleased("m-2"));
}

TEST(Drain, NoEvictionsWithoutPolicy) {
  DrainTestEnvironment world;
  world.StartOneService(2);
  world.RunAndRecord(30);
  EXPECT_FALSE(world.leader->ledger().active());
  EXPECT_EQ(world.leader->ledger().work_units(), 0U);
  EXPECT_EQ(world.ReplicasDown("red"), 0U);
}

TEST(Drain, WaitsUntilPolicyIsConfirmedInThisTerm) {
  DrainTestEnvironment world;
  world.StartOneService(2);
  world.AddMachine("m-2", "east");
  world.ApplyPolicy(WithDrains("(drain \"one\" (machine \"m-1\"))"), false);
  world.RunAndRecord(30);
  EXPECT_EQ(world.MaxReplicasDown("red"), 0U);
  EXPECT_NE(world.BlockedReason("one").find("policy in force"), std::string::npos);
  world.ReplaceLeader();
  EXPECT_TRUE(world.RunUntilDrained("one", 60)) << world.BlockedReason("one");
}

// A machine is cordoned as soon as the leader knows its drain.
TEST(Drain, CordonedMachineGetsNoNewTasks) {
  DrainTestEnvironment world;
  world.StartLeader();
  world.AddMachine("m-1", "east");
  world.AddMachine("m-2", "east");
  world.ApplyPolicy(WithDrains("(drain \"one\" (machine \"m-1\") (paused))"));
  world.StartService("job-1", 4);
  EXPECT_EQ(world.ActiveTasksOn("m-1"), 0U);
  EXPECT_EQ(world.ActiveTasksOn("m-2"), 4U);
  world.RunAndRecord(20);
  // A paused drain keeps the machine cordoned, but does not release it.
  EXPECT_FALSE(world.IsReleased("m-1"));
  world.DrainFirstMachine();
  EXPECT_TRUE(world.RunUntilDrained("one", 20));
  EXPECT_TRUE(world.IsReleased("m-1"));
}

// Two drains that start at different times share a machine; replicas of two teams are affected.
TEST(Drain, OverlappingDrainsShareBudgets) {
  DrainTestEnvironment world;
  world.StartLeader();
  for (const char* name : {"m-1", "m-2", "m-3"}) world.AddMachine(name, "east");
  world.StartService("job-1", 4);
  world.StartService("job-2", 4, "blue");
  world.StartService("job-3", 4);
  for (const char* name : {"m-5", "m-6", "m-7"}) world.AddMachine(name, "west");
  world.RunAndRecord(5);
  world.ApplyPolicy(WithDrains("(drain \"one\" (machine \"m-1\") (machine \"m-2\"))"));
  world.RunAndRecord(10);
  world.ApplyPolicy(
      WithDrains("(drain \"one\" (machine \"m-1\") (machine \"m-2\")) "
                 "(drain \"two\" (machine \"m-2\") (machine \"m-3\"))"));
  EXPECT_TRUE(world.RunUntilDrained("two", 200)) << world.BlockedReason("two");
  EXPECT_TRUE(world.RunUntilDrained("one", 200)) << world.BlockedReason("one");
  EXPECT_EQ(world.MaxReplicasDown("red"), 1U);
  EXPECT_EQ(world.MaxReplicasDown("blue"), 1U);
  EXPECT_TRUE(world.IsReleased("m-2"));
}

// Both drains compete for the one replica of the team that may be down; neither is starved.
TEST(Drain, DrainsCompetingForOneBudgetAlternate) {
  DrainTestEnvironment world;
  world.StartOneService(4);
  world.AddMachine("m-2", "west");
  world.StartService("job-2", 4);
  for (const char* name : {"m-5", "m-6", "m-7"}) world.AddMachine(name, "east");
  world.RunAndRecord(5);
  const std::string first = MachinesOf(world, "job-1").front();
  const std::string second = MachinesOf(world, "job-2").back();
  ASSERT_NE(first, second);
  world.ApplyPolicy(WithDrains("(drain \"one\" (machine \"" + first +
                               "\")) (drain \"two\" (machine \"" + second + "\"))"));
  double until = world.clock.now + 60;
  while (world.clock.now < until &&
         world.Progress("one").replicas_moved + world.Progress("two").replicas_moved < 4) {
    world.RunAndRecord(0.5);
  }
  EXPECT_EQ(world.Progress("one").replicas_moved, 2U);
  EXPECT_EQ(world.Progress("two").replicas_moved, 2U);
  EXPECT_EQ(world.MaxReplicasDown("red"), 1U);
}

TEST(Drain, EvictsReplicasOfSeveralTeamsConcurrently) {
  DrainTestEnvironment world;
  world.StartOneService(2);
  world.StartService("job-2", 2, "blue");
  world.AddMachine("m-2", "east");
  world.RunAndRecord(5);
  world.DrainFirstMachine();
  size_t max_down = 0;
  for (int i = 0; i < 40; ++i) {
    world.RunAndRecord(0.5);
    max_down = std::max(max_down, world.ReplicasDown("red") + world.ReplicasDown("blue"));
  }
  EXPECT_EQ(max_down, 2U);
  EXPECT_TRUE(world.RunUntilDrained("one", 60)) << world.BlockedReason("one");
}

TEST(Drain, ClassBudgetAppliesInAdditionToTeamBudget) {
  DrainTestEnvironment world;
  world.StartLeader();
  world.AddMachine("m-1", "east");
  JobSpec other = world.Service("job-1", 2);
  other.team = "red";
  other.job_class = "lobby";
  world.StartService(other);
  world.StartService("job-2", 2);
  world.AddMachine("m-2", "east");
  world.RunAndRecord(5);
  world.ApplyPolicy(
      "(budgets (team \"red\" (down \"4\")) (class \"red\" \"lobby\" (down \"0\"))) "
      "(steps (settle-s \"2\") (image-wait-s \"0\")) (drains (drain \"one\" (machine \"m-1\")))");
  world.RunAndRecord(30);
  EXPECT_EQ(world.WorkerAt("m-1").ActiveTasks("job-1"), 2U);
  EXPECT_EQ(world.WorkerAt("m-1").ActiveTasks("job-2"), 0U);
  EXPECT_NE(world.BlockedReason("one").find("red lobby, 0 of at most 0"), std::string::npos)
      << world.BlockedReason("one");
}

// Machines that are provisioned after the drain has started are not drained: they replace the
// others.
TEST(Drain, DrainOfAllMachinesReplacesFleet) {
  DrainTestEnvironment world;
  world.StartLeader();
  world.cloud.out_of_capacity = false;
  world.AddMachine("m-1", "east");
  world.AddMachine("m-2", "west");
  world.StartService("job-1", 4);
  world.StartService("job-2", 3);
  world.RunAndRecord(5);
  world.ApplyPolicy(WithDrains("(drain \"all\" (everything))"));
  EXPECT_TRUE(world.RunUntilDrained("all", 300)) << world.BlockedReason("all");
  EXPECT_TRUE(world.IsReleased("m-1"));
  EXPECT_TRUE(world.IsReleased("m-2"));
  EXPECT_EQ(world.MaxReplicasDown("red"), 1U);
  EXPECT_EQ(world.ReplicasDown("red"), 0U);
}

// While a zone is drained, capacity is provisioned only in the other zones.
TEST(Drain, ZoneDrainProvisionsInOtherZones) {
  DrainTestEnvironment world;
  world.StartLeader();
  world.cloud.out_of_capacity = false;
  world.AddMachine("m-1", "east");
  world.StartService("job-1", 4);
  world.RunAndRecord(40);
  world.cloud.scale_out_zones.clear();
  world.ApplyPolicy(WithDrains("(drain \"zone\" (zone \"east\"))"));
  EXPECT_TRUE(world.RunUntilDrained("zone", 200)) << world.BlockedReason("zone");
  EXPECT_EQ(world.MaxReplicasDown("red"), 1U);
  EXPECT_EQ(
      std::count(world.cloud.scale_out_zones.begin(), world.cloud.scale_out_zones.end(), "east"),
      0);
  for (const std::string& machine : MachinesOf(world, "job-1")) {
    EXPECT_EQ(world.WorkerAt(machine).heartbeat.zone, "west");
  }
  // The zone stays closed to provisioning as long as its drain is in the policy.
  world.StartService("job-2", 4);
  EXPECT_EQ(
      std::count(world.cloud.scale_out_zones.begin(), world.cloud.scale_out_zones.end(), "east"),
      0);
}

TEST(Drain, InsufficientCapacityIsReportedAndNothingIsEvicted) {
  DrainTestEnvironment world;
  world.StartOneService(4);
  world.DrainFirstMachine();
  world.RunAndRecord(60);
  EXPECT_EQ(world.MaxReplicasDown("red"), 0U);
  EXPECT_NE(world.BlockedReason("one").find("no machine has room"), std::string::npos)
      << world.BlockedReason("one");
  EXPECT_GT(world.clock.Wall() - world.Progress("one").waiting_since_wall, 50);
  // The cloud provisions machines again.
  world.cloud.out_of_capacity = false;
  EXPECT_TRUE(world.RunUntilDrained("one", 120)) << world.BlockedReason("one");
  EXPECT_EQ(world.MaxReplicasDown("red"), 1U);
}

// While a replica stops, other jobs can't use the capacity reserved for its replacement.
TEST(Drain, CapacityForReplacementIsReserved) {
  DrainTestEnvironment world;
  world.StartLeader();
  world.AddMachine("m-1", "east");
  world.StartService("job-1", 1, "red", 8);
  world.AddMachine("m-2", "east");
  world.RunAndRecord(5);
  world.WorkerAt("m-1").batches_to_delay = 1;  // delays the stop command
  world.DrainFirstMachine();
  for (int i = 0; i < 10 && world.WorkerAt("m-1").delayed_batches.empty(); ++i)
    world.AdvanceTime(0.5);
  // The array would use the reserved capacity if it were free.
  EXPECT_EQ(world.Submit(world.Array("job-9", 4)).status, 201);
  world.RunAndRecord(5);
  EXPECT_EQ(world.WorkerAt("m-2").ActiveTasks("job-9"), 0U);
  EXPECT_EQ(world.WorkerAt("m-2").ActiveTasks("job-1"), 1U);
}

// A replacement that never runs is tried on another machine and then left to ordinary placement.
// The drain reports the stall and evicts no further replica of the job, although the budget would
// allow it.
TEST(Drain, UnhealthyReplacementStallsItsJob) {
  DrainTestEnvironment world;
  world.StartOneService(3);
  for (const char* name : {"m-2", "m-3"}) {
    world.AddMachine(name, "east");
    world.BlockStartsOn(name);
  }
  world.RunAndRecord(3);
  world.ApplyPolicy(
      "(budgets (team \"red\" (down \"2\"))) (steps (settle-s \"3\") (image-wait-s \"0\") "
      "(replace-within-s \"10\") (replacement-tries \"2\") (at-once \"1\")) "
      "(drains (drain \"one\" (machine \"m-1\")))");
  world.RunAndRecord(100);
  EXPECT_EQ(world.MaxReplicasDown("red"), 1U);
  EXPECT_EQ(world.Progress("one").evictions_given_up, 1U);
  EXPECT_NE(world.BlockedReason("one").find("does not become healthy"), std::string::npos)
      << world.BlockedReason("one");
  // The replacement was tried on both machines.
  for (const char* name : {"m-2", "m-3"})
    EXPECT_FALSE(world.WorkerAt(name).started_tasks.empty()) << name;
  // Once replacements become healthy again, the drain continues after the job's
  // backoff.
  world.UnblockStartsOn("m-2");
  world.UnblockStartsOn("m-3");
  EXPECT_TRUE(world.RunUntilDrained("one", 120)) << world.BlockedReason("one");
  EXPECT_EQ(world.MaxReplicasDown("red"), 1U);
}

TEST(Drain, StalledJobConsumesNoBudgetOfOtherTeams) {
  DrainTestEnvironment world;
  world.StartOneService(2);
  world.StartService("job-2", 2, "blue");
  world.AddMachine("m-2", "east");
  world.RunAndRecord(3);
  world.BlockStartsOfJob("job-1");
  world.ApplyPolicy(
      "(steps (settle-s \"2\") (image-wait-s \"0\") (replace-within-s \"10\") "
      "(replacement-tries \"1\")) (drains (drain \"one\" (machine \"m-1\")))");
  world.RunAndRecord(60);
  EXPECT_EQ(world.WorkerAt("m-1").ActiveTasks("job-2"), 0U);
  EXPECT_EQ(world.ReplicasDown("blue"), 0U);
  EXPECT_EQ(world.WorkerAt("m-1").ActiveTasks("job-1"), 1U);
}

TEST(Drain, LostMachinesConsumeBudget) {
  DrainTestEnvironment world;
  world.StartOneService(4);
  world.AddMachine("m-2", "west");
  world.StartService("job-2", 4);
  ASSERT_EQ(MachinesOf(world, "job-2"), std::vector<std::string>{"m-2"});
  world.AddMachine("m-3", "east");
  world.RunAndRecord(5);
  world.LoseMachine("m-2");
  // The lost replicas are restarted on the capacity that was free for the drain.
  world.RunAndRecord(6);
  world.ApplyPolicy(
      "(budgets (team \"red\" (down \"1\"))) (steps (settle-s \"20\")) "
      "(drains (drain \"one\" (machine \"m-1\")))");
  world.RunAndRecord(10);
  EXPECT_EQ(world.WorkerAt("m-1").ActiveTasks("job-1"), 4U);
  EXPECT_NE(world.BlockedReason("one").find("budget allows no more"), std::string::npos)
      << world.BlockedReason("one");
}

// A machine is lost after a replica is selected for eviction and before it is stopped.
TEST(Drain, UnavailableReplicasAreRecountedBeforeStop) {
  DrainTestEnvironment world;
  world.StartOneService(2);
  world.AddMachine("m-2", "west");
  world.StartService("job-2", 1, "red", 8);
  ASSERT_EQ(MachinesOf(world, "job-2"), std::vector<std::string>{"m-2"});
  world.AddMachine("m-3", "east");
  world.RunAndRecord(5);
  world.state.unavailable = true;
  world.DrainFirstMachine();
  world.RunAndRecord(3);
  ASSERT_EQ(world.leader->eviction_controller().eviction_tracker().evictions().size(), 1U);
  world.cloud.unavailable = true;  // keeps the replica of job-2 down
  world.LoseMachine("m-2");
  world.RunAndRecord(4);
  world.state.unavailable = false;
  world.RunAndRecord(3);
  EXPECT_EQ(world.WorkerAt("m-1").ActiveTasks("job-1"), 2U);
}

// An eviction is recorded durably before its replica is stopped. During an outage of the state
// service no replica is stopped, and the selected one does not consume budget indefinitely.
TEST(Drain, NoEvictionDuringStateServiceOutage) {
  DrainTestEnvironment world;
  world.StartOneServiceWithSpareMachine(2);
  world.state.unavailable = true;
  world.DrainFirstMachine();
  world.RunAndRecord(30);
  EXPECT_EQ(world.MaxReplicasDown("red"), 0U);
  EXPECT_LE(world.leader->ledger().CountUnavailable("red"), 1U);
  world.state.unavailable = false;
  EXPECT_TRUE(world.RunUntilDrained("one", 60)) << world.BlockedReason("one");
  EXPECT_EQ(world.MaxReplicasDown("red"), 1U);
}

// The leader ends after recording an eviction and before the stop: its successor finds the replica
// running.
TEST(Drain, NewLeaderRestartsEvictionThatWasOnlyRecorded) {
  DrainTestEnvironment world;
  world.StartOneServiceWithSpareMachine(2);
  world.state.unavailable = true;
  world.DrainFirstMachine();
  world.RunAndRecord(3);
  ASSERT_EQ(world.leader->eviction_controller().eviction_tracker().evictions().size(), 1U);
  const Eviction& chosen = world.leader->eviction_controller().eviction_tracker().evictions()[0];
  ASSERT_EQ(chosen.phase, EvictionPhase::kRecording);
  // The eviction was recorded, but the leader never receives the confirmation.
  const std::string row = EncodeEviction(
      {"one", "job-1", chosen.task_index, "m-1", chosen.attempt_number, world.clock.Wall()});
  world.state.keys["deckhall/pages/000099"] = {"[" + row + "]", ++world.state.revision, 0};
  world.state.unavailable = false;
  world.ReplaceLeader();
  ASSERT_EQ(world.leader->eviction_controller().eviction_tracker().evictions().size(), 1U);
  world.RunAndRecord(2);
  EXPECT_EQ(world.leader->eviction_controller().eviction_tracker().evictions().size(), 0U);
  EXPECT_EQ(world.WorkerAt("m-1").ActiveTasks("job-1"), 2U);
  EXPECT_TRUE(world.RunUntilDrained("one", 60)) << world.BlockedReason("one");
  EXPECT_EQ(world.MaxReplicasDown("red"), 1U);
  EXPECT_EQ(world.Progress("one").replicas_moved, 2U);
}

// The leader ends after the stop: its successors evict nothing until the replacement is healthy.
TEST(Drain, NewLeaderTracksEvictionInProgress) {
  DrainTestEnvironment world;
  world.StartOneService(3);
  world.AddMachine("m-2", "east");
  world.BlockStartsOn("m-2");
  world.RunAndRecord(5);
  world.DrainFirstMachine();
  world.RunAndRecord(5);
  ASSERT_EQ(world.ReplicasDown("red"), 1U);
  for (int term = 0; term < 3; ++term) {
    world.ReplaceLeader();
    world.RunAndRecord(10);
    EXPECT_EQ(world.ReplicasDown("red"), 1U);
    EXPECT_EQ(world.leader->eviction_controller().eviction_tracker().evictions().size(), 1U);
  }
  world.UnblockStartsOn("m-2");
  EXPECT_TRUE(world.RunUntilDrained("one", 100)) << world.BlockedReason("one");
  EXPECT_EQ(world.MaxReplicasDown("red"), 1U);
  EXPECT_EQ(world.Progress("one").replicas_moved, 3U);
}

// A new leader that has not yet reconciled all machines does not know which replicas run, and so
// stops none of them.
TEST(Drain, NewLeaderEvictsNothingBeforeReconciliation) {
  DrainTestEnvironment world;
  world.StartOneService(2);
  world.AddMachine("m-2", "west");
  world.StartService("job-2", 1, "red", 8);
  ASSERT_EQ(MachinesOf(world, "job-2"), std::vector<std::string>{"m-2"});
  world.AddMachine("m-3", "east");
  world.RunAndRecord(5);
  // The machine hangs and the cloud can't terminate it: its replicas stay unreconciled for longer
  // than a lease.
  world.WorkerAt("m-2").unresponsive = true;
  world.cloud.unavailable = true;
  world.DrainFirstMachine();
  world.ReplaceLeader();
  world.RunAndRecord(15);
  EXPECT_EQ(world.WorkerAt("m-1").ActiveTasks("job-1"), 2U);
  EXPECT_NE(world.BlockedReason("one").find("budget"), std::string::npos)
      << world.BlockedReason("one");
}

// A stop command of a former leader that arrives late is rejected by its fencing token.
TEST(Drain, DelayedStopFromFormerLeaderIsFenced) {
  DrainTestEnvironment world;
  world.StartOneServiceWithSpareMachine(2);
  world.WorkerAt("m-1").batches_to_delay = 1;
  world.WorkerAt("m-1").one_way_reachable = true;
  world.DrainFirstMachine();
  for (int i = 0; i < 10 && world.WorkerAt("m-1").delayed_batches.empty(); ++i)
    world.AdvanceTime(0.5);
  ASSERT_EQ(world.WorkerAt("m-1").delayed_batches.size(), 1U);
  world.WorkerAt("m-1").one_way_reachable = false;
  world.ReplaceLeader();
  world.RunAndRecord(4);
  const size_t before = world.WorkerAt("m-1").ActiveTasks("job-1");
  world.WorkerAt("m-1").DeliverDelayed();
  EXPECT_EQ(world.WorkerAt("m-1").ActiveTasks("job-1"), before);
  EXPECT_TRUE(world.RunUntilDrained("one", 60)) << world.BlockedReason("one");
  EXPECT_EQ(world.MaxReplicasDown("red"), 1U);
}

// A leader that was frozen between selecting a replica and stopping it finds its lease expired.
TEST(Drain, LeaderWithExpiredLeaseEvictsNothing) {
  DrainTestEnvironment world;
  world.StartOneServiceWithSpareMachine(2);
  world.state.unavailable = true;
  world.DrainFirstMachine();
  world.RunAndRecord(3);
  ASSERT_EQ(world.leader->eviction_controller().eviction_tracker().evictions().size(), 1U);
  world.lease.valid_until = world.clock.now - 1;
  world.state.unavailable = false;
  world.AdvanceTime(5);
  EXPECT_EQ(world.WorkerAt("m-1").ActiveTasks("job-1"), 2U);
}

// A drain is withdrawn while a stop command is in flight: the replica is restarted, and the machine
// is kept and accepts tasks again.
TEST(Drain, WithdrawalDuringStopRestoresReplicaAndUncordonsMachine) {
  DrainTestEnvironment world;
  world.StartOneServiceWithSpareMachine(3);
  world.WorkerAt("m-1").batches_to_delay = 1;
  world.DrainFirstMachine();
  for (int i = 0; i < 10 && world.WorkerAt("m-1").delayed_batches.empty(); ++i)
    world.AdvanceTime(0.5);
  ASSERT_EQ(world.WorkerAt("m-1").delayed_batches.size(), 1U);
  world.ApplyPolicy(kOneDownAtATime);
  world.WorkerAt("m-1").DeliverDelayed();
  world.RunAndRecord(30);
  EXPECT_EQ(world.ReplicasDown("red"), 0U);
  EXPECT_FALSE(world.IsReleased("m-1"));
  EXPECT_TRUE(world.leader->eviction_controller().eviction_tracker().evictions().empty());
  EXPECT_GE(world.ActiveTasksOn("m-1"), 2U);
  world.LoseMachine("m-2");
  world.RunAndRecord(20);
  // The machine is no longer cordoned and receives the remaining replicas.
  EXPECT_EQ(world.ActiveTasksOn("m-1"), 3U);
}

// The operators withdraw or pause the drain after a replica is selected and before it is stopped.
TEST(Drain, WithdrawalOrPauseBeforeStopCancelsEviction) {
  for (const char* drains : {"(drains)", "(drains (drain \"one\" (machine \"m-1\") (paused)))"}) {
    DrainTestEnvironment world;
    world.StartOneServiceWithSpareMachine(2);
    world.state.unavailable = true;
    world.DrainFirstMachine();
    world.RunAndRecord(3);
    ASSERT_EQ(world.leader->eviction_controller().eviction_tracker().evictions().size(), 1U);
    world.ApplyPolicy(std::string(kOneDownAtATime) + drains);
    world.state.unavailable = false;
    world.RunAndRecord(10);
    EXPECT_EQ(world.MaxReplicasDown("red"), 0U) << drains;
    EXPECT_TRUE(world.leader->eviction_controller().eviction_tracker().evictions().empty());
  }
}

TEST(Drain, WithdrawnDrainIsDeletedAndContinuingDrainKeepsItsCounts) {
  DrainTestEnvironment world;
  world.StartLeader();
  world.AddMachine("m-1", "east");
  world.AddMachine("m-2", "east");
  world.ApplyPolicy(
      WithDrains("(drain \"one\" (machine \"m-1\")) (drain \"two\" (machine \"m-2\") (paused))"));
  EXPECT_TRUE(world.RunUntilDrained("one", 30));
  world.RunAndRecord(10);
  world.ReplaceLeader();
  EXPECT_EQ(world.Progress("one").machines_done, 1U);
  EXPECT_EQ(world.Progress("two").state, DrainState::kPaused);
  world.DrainFirstMachine();
  world.RunAndRecord(10);
  std::string pages;
  for (const auto& [key, entry] : world.state.keys) pages += entry.value;
  EXPECT_NE(pages.find("\"drain\":\"one\""), std::string::npos);
  EXPECT_EQ(pages.find("\"drain\":\"two\""), std::string::npos);
}

TEST(Drain, LoweredBudgetTakesEffectImmediately) {
  DrainTestEnvironment world;
  world.StartOneService(2);
  world.StartService("job-2", 2);
  world.AddMachine("m-2", "east");
  world.RunAndRecord(5);
  const std::string rest =
      "(steps (settle-s \"5\") (image-wait-s \"0\")) (drains (drain \"one\" (machine \"m-1\")))";
  world.ApplyPolicy("(budgets (team \"red\" (down \"2\"))) " + rest);
  world.RunAndRecord(3);
  EXPECT_EQ(world.MaxReplicasDown("red"), 2U);
  world.ApplyPolicy("(budgets (team \"red\" (down \"0\"))) " + rest);
  world.RunAndRecord(30);
  EXPECT_EQ(world.ActiveTasksOn("m-1"), 2U);
  EXPECT_NE(world.BlockedReason("one").find("0 of at most 0"), std::string::npos)
      << world.BlockedReason("one");
}

TEST(Drain, SingleReplicaIsEvictedIfBudgetAllowsOneDown) {
  DrainTestEnvironment world;
  world.StartOneService(1);
  world.StartService("job-2", 1, "blue");
  world.AddMachine("m-2", "east");
  world.RunAndRecord(5);
  world.ApplyPolicy(
      "(budgets (team \"red\" (down \"50%\")) (team \"blue\" (down \"50%\" at-least-one))) "
      "(steps (settle-s \"2\")) (drains (drain \"one\" (machine \"m-1\")))");
  world.RunAndRecord(30);
  EXPECT_EQ(world.WorkerAt("m-1").ActiveTasks("job-1"), 1U);
  EXPECT_EQ(world.WorkerAt("m-2").ActiveTasks("job-2"), 1U);
  EXPECT_EQ(world.MaxReplicasDown("red"), 0U);
}

// The last available replica of a service with several is never stopped, whatever the budget
// allows.
TEST(Drain, NeverEvictsAllReplicasOfServiceAtOnce) {
  DrainTestEnvironment world;
  world.StartOneServiceWithSpareMachine(3);
  world.ApplyPolicy(
      "(budgets (team \"red\" (down \"100%\"))) (steps (settle-s \"2\")) "
      "(drains (drain \"one\" (machine \"m-1\")))");
  EXPECT_TRUE(world.RunUntilDrained("one", 60)) << world.BlockedReason("one");
  EXPECT_EQ(world.MaxReplicasDown("red"), 2U);
}

TEST(Drain, RespectsSingleZoneAndAntiAffinity) {
  DrainTestEnvironment world;
  world.StartLeader();
  world.AddMachine("m-1", "east");
  JobSpec constrained = world.Service("job-1", 2);
  constrained.team = "red";
  constrained.single_zone = true;
  world.StartService(constrained);
  const std::string initial_zone = world.WorkerAt("m-1").heartbeat.zone;
  world.AddMachine("m-2", "west");
  JobSpec spread = world.Service("job-2", 2);
  spread.team = "blue";
  spread.anti_affinity = true;
  world.StartService(spread);
  world.RunAndRecord(5);
  world.DrainFirstMachine();
  world.RunAndRecord(30);
  // Only the other zone has free capacity. job-1 must stay in its zone, and the other zone already
  // runs half of the replicas of job-2.
  EXPECT_EQ(world.WorkerAt("m-1").ActiveTasks("job-1"), 2U);
  EXPECT_EQ(world.WorkerAt("m-1").ActiveTasks("job-2"), 1U);
  EXPECT_NE(world.BlockedReason("one").find("no machine has room"), std::string::npos)
      << world.BlockedReason("one");
  world.AddMachine("m-3", initial_zone);
  EXPECT_TRUE(world.RunUntilDrained("one", 60)) << world.BlockedReason("one");
  EXPECT_EQ(world.WorkerAt("m-3").ActiveTasks("job-1"), 2U);
  EXPECT_EQ(world.WorkerAt("m-3").ActiveTasks("job-2"), 1U);
}

// A service that is allowed only on the drained machine type stays, and the drain reports it.
TEST(Drain, JobWithoutAlternativeMachineTypeStays) {
  DrainTestEnvironment world;
  world.cloud.types.push_back(world.cloud.types[0]);
  world.cloud.types.back().name = "large";
  world.StartLeader();
  FakeWorker& lost_worker = world.AddMachine("m-1", "east");
  lost_worker.heartbeat.type = "large";
  world.LoseMachine("m-1");
  world.RunAndRecord(40);
  FakeWorker& new_worker = world.workers.by_endpoint["m-8:1"];
  new_worker.heartbeat.type = "large";
  new_worker.heartbeat.machine = "m-8";
  new_worker.heartbeat.endpoint = "m-8:1";
  new_worker.heartbeat.zone = "east";
  new_worker.heartbeat.agent_epoch = 1;
  world.RunAndRecord(3);
  JobSpec constrained = world.Service("job-1", 2);
  constrained.team = "red";
  constrained.allowed_types = {"large"};
  world.StartService(constrained);
  world.AddMachine("m-2", "east");
  world.ApplyPolicy(WithDrains("(drain \"type\" (type \"large\"))"));
  world.RunAndRecord(30);
  EXPECT_EQ(world.WorkerAt("m-8").ActiveTasks("job-1"), 2U);
  EXPECT_NE(world.BlockedReason("type").find("no machine has room"), std::string::npos)
      << world.BlockedReason("type");
}

TEST(Drain, UnknownMachineTypeIsReportedAndCordonsNothing) {
  DrainTestEnvironment world;
  world.StartLeader();
  world.AddMachine("m-1", "east");
  world.ApplyPolicy(WithDrains("(drain \"type\" (type \"bxo\"))"));
  world.RunAndRecord(10);
  EXPECT_NE(world.BlockedReason("type").find("no machine type bxo"), std::string::npos)
      << world.BlockedReason("type");
  EXPECT_NE(world.Progress("type").state, DrainState::kDone);
}

TEST(Drain, ArrayTasksRunToCompletionUntilDeadline) {
  DrainTestEnvironment world;
  world.StartLeader();
  world.cloud.out_of_capacity = false;
  FakeWorker& worker = world.AddMachine("m-1", "east");
  EXPECT_EQ(world.Submit(world.Array("job-1", 3)).status, 201);
  world.RunAndRecord(3);
  world.ApplyPolicy(WithDrains("(drain \"one\" (machine \"m-1\") (deadline-s \"60\"))"));
  world.RunAndRecord(50);
  EXPECT_EQ(worker.ActiveTasks("job-1"), 3U);
  EXPECT_NE(world.BlockedReason("one").find("run to their end"), std::string::npos);
  worker.EndTask("job-1/0", ExitReason::kDone);
  world.RunAndRecord(20);
  EXPECT_TRUE(world.IsReleased("m-1"));
  const std::vector<std::string> hosts = MachinesOf(world, "job-1");
  ASSERT_EQ(hosts.size(), 1U);
  EXPECT_EQ(world.WorkerAt(hosts[0]).ActiveTasks("job-1"), 2U);
  EXPECT_EQ(world.Progress("one").tasks_stopped, 2U);
}

// The deadline counts from when the drain was first accepted, also under a later leader. The budget
// bounds the stopped tasks per window; a new leader does not know the earlier losses and so waits
// for a whole window.
TEST(Drain, ArrayTasksAreStoppedWithinBudgetAfterDeadline) {
  DrainTestEnvironment world;
  world.StartLeader();
  world.AddMachine("m-1", "east");
  EXPECT_EQ(world.Submit(world.Array("job-1", 4)).status, 201);
  world.RunAndRecord(3);
  world.AddMachine("m-2", "east");
  world.ApplyPolicy(
      "(budgets (team \"blue\" (stopped \"2\"))) (steps (window-s \"40\")) "
      "(drains (drain \"one\" (machine \"m-1\") (deadline-s \"20\")))");
  world.RunAndRecord(30);
  // During the first window, losses before it are unknown.
  EXPECT_EQ(world.WorkerAt("m-1").ActiveTasks("job-1"), 4U);
  world.RunAndRecord(15);
  EXPECT_EQ(world.WorkerAt("m-1").ActiveTasks("job-1"), 2U);
  EXPECT_NE(world.BlockedReason("one").find("no more stopped tasks"), std::string::npos)
      << world.BlockedReason("one");
  world.RunAndRecord(20);
  EXPECT_EQ(world.WorkerAt("m-1").ActiveTasks("job-1"), 2U);
  world.ReplaceLeader();
  world.RunAndRecord(30);
  EXPECT_EQ(world.WorkerAt("m-1").ActiveTasks("job-1"), 2U);
  world.RunAndRecord(20);
  EXPECT_EQ(world.WorkerAt("m-1").ActiveTasks("job-1"), 0U);
}

TEST(Drain, ArrayTasksAreStoppedWithCheckpointGracePeriod) {
  DrainTestEnvironment world;
  world.StartLeader();
  FakeWorker& worker = world.AddMachine("m-1", "east");
  JobSpec spec = world.Array("job-1", 1);
  spec.checkpoint_interval_s = 10;
  spec.checkpoint_grace_s = 4;
  worker.gang_jobs.insert("job-1");  // checkpoints when it is stopped
  worker.checkpoint_s = 4;
  EXPECT_EQ(world.Submit(spec).status, 201);
  world.RunAndRecord(3);
  ASSERT_EQ(worker.ActiveTasks("job-1"), 1U);
  for (TaskStatus& task : worker.heartbeat.tasks) task.state = TaskState::kRunning;
  world.RunAndRecord(2);
  world.AddMachine("m-2", "east");
  world.ApplyPolicy(WithDrains("(drain \"one\" (machine \"m-1\") (deadline-s \"0\"))"));
  world.RunAndRecord(2);
  ASSERT_EQ(worker.ActiveTasks("job-1"), 1U);
  EXPECT_EQ(worker.heartbeat.tasks[0].state, TaskState::kCheckpointing);
}

TEST(Drain, GangIsStoppedEntirelyOrNotAtAll) {
  DrainTestEnvironment world;
  world.StartLeader();
  world.AddMachine("m-1", "east");
  world.AddMachine("m-2", "east");
  JobSpec spec = world.Array("job-1", 3, 4);
  spec.gang = true;
  spec.team = "red";
  EXPECT_EQ(world.Submit(spec).status, 201);
  world.RunAndRecord(5);
  ASSERT_EQ(world.WorkerAt("m-1").ActiveTasks("job-1") + world.WorkerAt("m-2").ActiveTasks("job-1"),
            3U);
  world.AddMachine("m-3", "east");
  const std::string rest =
      "(steps (window-s \"5\")) (drains (drain \"one\" (machine \"m-1\") (deadline-s \"0\")))";
  world.ApplyPolicy("(budgets (team \"red\" (stopped \"2\"))) " + rest);
  world.RunAndRecord(20);
  EXPECT_EQ(world.WorkerAt("m-1").ActiveTasks("job-1") + world.WorkerAt("m-2").ActiveTasks("job-1"),
            3U);
  world.ApplyPolicy("(budgets (team \"red\" (stopped \"3\"))) " + rest);
  world.RunAndRecord(20);
  EXPECT_EQ(world.WorkerAt("m-1").ActiveTasks("job-1"), 0U);
  EXPECT_EQ(world.WorkerAt("m-2").ActiveTasks("job-1") + world.WorkerAt("m-3").ActiveTasks("job-1"),
            3U);
  EXPECT_TRUE(world.IsReleased("m-1"));
}

// A replica needs the capacity that an array uses; tasks of the array may be preempted for it only
// within the budget.
TEST(Disruption, PriorityPreemptionRespectsBudgetOfArrays) {
  for (const bool allowed : {false, true}) {
    DrainTestEnvironment world;
    world.StartLeader();
    world.AddMachine("m-1", "east");
    JobSpec array = world.Array("job-1", 4);
    array.team = "red";
    EXPECT_EQ(world.Submit(array).status, 201);
    world.RunAndRecord(3);
    ASSERT_EQ(world.ActiveTasksOn("m-1"), 4U);
    world.ApplyPolicy(std::string("(budgets (team \"red\" (stopped \"") + (allowed ? "4" : "0") +
                      "\"))) (steps (window-s \"5\"))");
    world.RunAndRecord(8);
    JobSpec service = world.Service("job-2", 1, 8);
    service.team = "red";
    EXPECT_EQ(world.Submit(service).status, 201);
    world.RunAndRecord(10);
    EXPECT_EQ(world.WorkerAt("m-1").ActiveTasks("job-2"), allowed ? 1U : 0U);
  }
}

TEST(Disruption, TeamGuaranteeOverridesBudget) {
  DrainTestEnvironment world;
  world.StartLeader();
  world.AddMachine("m-1", "east");
  JobSpec red_array = world.Array("job-1", 4);
  red_array.team = "red";
  EXPECT_EQ(world.Submit(red_array).status, 201);
  world.RunAndRecord(3);
  ASSERT_EQ(world.ActiveTasksOn("m-1"), 4U);
  world.ApplyPolicy("(budgets (team \"red\" (stopped \"0\"))) (steps (window-s \"5\"))");
  world.RunAndRecord(8);
  EXPECT_EQ(world.Submit(world.Array("job-2", 2)).status, 201);
  world.RunAndRecord(15);
  EXPECT_EQ(world.WorkerAt("m-1").ActiveTasks("job-2"), 2U);
}

// Consolidating underused machines to reduce cost is also a voluntary disruption.
TEST(Disruption, ConsolidationRespectsBudget) {
  for (const bool allowed : {false, true}) {
    DrainTestEnvironment world;
    world.tuning.consolidation_spare_share = 0;
    world.tuning.headroom_machines = 0;
    world.tuning.headroom_share = 0;
    world.tuning.headroom_boots = 0;
    world.tuning.settled_s = 5;
    world.StartLeader();
    world.AddMachine("m-1", "east");
    world.StartService("job-1", 1, "red", 6);
    world.AddMachine("m-2", "east");
    world.StartService("job-2", 3);
    EXPECT_EQ(world.SendRequest(JobOperation::kCancel, "job-1").status, 200);
    world.StopTracking("job-1");
    world.ApplyPolicy(std::string("(budgets (team \"red\" (down \"") + (allowed ? "1" : "0") +
                      "\"))) (steps (settle-s \"1\"))");
    world.RunAndRecord(60);
    EXPECT_EQ(world.MaxReplicasDown("red") > 0, allowed);
  }
}

TEST(Ledger, ReplicaIsAvailableAfterSettlePeriod) {
  DrainTestEnvironment world;
  world.StartLeader();
  world.ApplyPolicy("(steps (settle-s \"10\"))");
  world.AddMachine("m-1", "east");
  EXPECT_EQ(world.Submit(world.Service("job-1", 2)).status, 201);
  world.AdvanceTime(3);
  const JobIndex job_index = world.leader->job_store().Find("job-1");
  EXPECT_EQ(world.leader->ledger().CountAvailable(job_index), 0U);
  EXPECT_EQ(world.leader->ledger().CountUnavailable("blue"), 2U);
  world.AdvanceTime(10);
  EXPECT_EQ(world.leader->ledger().CountAvailable(job_index), 2U);
  EXPECT_EQ(world.leader->ledger().CountUnavailable("blue"), 0U);
  // Replicas on a machine that sends no heartbeats count as unavailable.
  world.WorkerAt("m-1").unresponsive = true;
  world.AdvanceTime(3);
  EXPECT_EQ(world.leader->ledger().CountUnavailable("blue"), 2U);
}

TEST(Ledger, ServiceThatNeverRanInThisTermConsumesNoBudget) {
  DrainTestEnvironment world;
  world.StartLeader();
  world.ApplyPolicy("(budgets)");
  EXPECT_EQ(world.Submit(world.Service("job-1", 2)).status, 201);
  world.AdvanceTime(3);
  EXPECT_EQ(world.leader->ledger().CountUnavailable("blue"), 0U);
  // The next leader does not know whether it ran before, and counts it as unavailable.
  world.ReplaceLeader();
  world.AdvanceTime(1);
  EXPECT_EQ(world.leader->ledger().CountUnavailable("blue"), 2U);
}

TEST(Ledger, CancelledJobConsumesNoBudget) {
  DrainTestEnvironment world;
  world.StartLeader();
  world.ApplyPolicy("(steps (settle-s \"1\"))");
  world.AddMachine("m-1", "east");
  world.StartService("job-1", 2, "blue");
  world.LoseMachine("m-1");
  world.AdvanceTime(10);
  EXPECT_EQ(world.leader->ledger().CountUnavailable("blue"), 2U);
  EXPECT_EQ(world.SendRequest(JobOperation::kCancel, "job-1").status, 200);
  world.AdvanceTime(1);
  EXPECT_EQ(world.leader->ledger().CountUnavailable("blue"), 0U);
}

}  // namespace
}  // namespace deckhall
