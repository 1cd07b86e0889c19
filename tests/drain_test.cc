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
std::vector<std::string> MachinesOf(const DrainWorld& world, const std::string& job) {
  std::vector<std::string> out;
  for (const auto& [endpoint, worker] : world.workers.at) {
    if (worker.Count(job) > 0) out.push_back(worker.report.machine);
  }
  return out;
}

TEST(Drain, EmptiesMachineWithinBudgetAndReleasesIt) {
  DrainWorld world;
  world.Lead();
  for (const char* name : {"m-1", "m-2"}) world.Machine(name, "east");
  world.StartService("job-1", 4);
  world.StartService("job-2", 2);
  world.Machine("m-3", "east");
  world.Machine("m-4", "west");
  world.Watch(5);
  world.DrainOne();
  const size_t before = world.OnMachine("m-1");
  ASSERT_GT(before, 0U);
  EXPECT_TRUE(world.WatchUntilDone("one", 120)) << world.Why("one");
  EXPECT_TRUE(world.Returned("m-1"));
  EXPECT_EQ(world.MostDown("red"), 1U);
  EXPECT_EQ(world.Down("red"), 0U);
  EXPECT_EQ(world.Progress("one").machines_done, 1U);
  EXPECT_EQ(world.Progress("one").replicas_moved, before);
  EXPECT_FALSE(world.Returned("m-2"));
}

TEST(Drain, NoEvictionsWithoutPolicy) {
  DrainWorld world;
  world.OneService(2);
  world.Watch(30);
  EXPECT_FALSE(world.leader->ledger().active());
  EXPECT_EQ(world.leader->ledger().work_units(), 0U);
  EXPECT_EQ(world.Down("red"), 0U);
}

TEST(Drain, WaitsUntilPolicyIsConfirmedInThisTerm) {
  DrainWorld world;
  world.OneService(2);
  world.Machine("m-2", "east");
  world.Policy(WithDrains("(drain \"one\" (machine \"m-1\"))"), false);
  world.Watch(30);
  EXPECT_EQ(world.MostDown("red"), 0U);
  EXPECT_NE(world.Why("one").find("policy in force"), std::string::npos);
  world.NextLeader();
  EXPECT_TRUE(world.WatchUntilDone("one", 60)) << world.Why("one");
}

// A machine is cordoned as soon as the leader knows its drain.
TEST(Drain, CordonedMachineGetsNoNewTasks) {
  DrainWorld world;
  world.Lead();
  world.Machine("m-1", "east");
  world.Machine("m-2", "east");
  world.Policy(WithDrains("(drain \"one\" (machine \"m-1\") (paused))"));
  world.StartService("job-1", 4);
  EXPECT_EQ(world.OnMachine("m-1"), 0U);
  EXPECT_EQ(world.OnMachine("m-2"), 4U);
  world.Watch(20);
  // A paused drain keeps the machine cordoned, but does not release it.
  EXPECT_FALSE(world.Returned("m-1"));
  world.DrainOne();
  EXPECT_TRUE(world.WatchUntilDone("one", 20));
  EXPECT_TRUE(world.Returned("m-1"));
}

// Two drains that start at different times share a machine; replicas of two teams are affected.
TEST(Drain, OverlappingDrainsShareBudgets) {
  DrainWorld world;
  world.Lead();
  for (const char* name : {"m-1", "m-2", "m-3"}) world.Machine(name, "east");
  world.StartService("job-1", 4);
  world.StartService("job-2", 4, "blue");
  world.StartService("job-3", 4);
  for (const char* name : {"m-5", "m-6", "m-7"}) world.Machine(name, "west");
  world.Watch(5);
  world.Policy(WithDrains("(drain \"one\" (machine \"m-1\") (machine \"m-2\"))"));
  world.Watch(10);
  world.Policy(
      WithDrains("(drain \"one\" (machine \"m-1\") (machine \"m-2\")) "
                 "(drain \"two\" (machine \"m-2\") (machine \"m-3\"))"));
  EXPECT_TRUE(world.WatchUntilDone("two", 200)) << world.Why("two");
  EXPECT_TRUE(world.WatchUntilDone("one", 200)) << world.Why("one");
  EXPECT_EQ(world.MostDown("red"), 1U);
  EXPECT_EQ(world.MostDown("blue"), 1U);
  EXPECT_TRUE(world.Returned("m-2"));
}

// Both drains compete for the one replica of the team that may be down; neither is starved.
TEST(Drain, DrainsCompetingForOneBudgetAlternate) {
  DrainWorld world;
  world.OneService(4);
  world.Machine("m-2", "west");
  world.StartService("job-2", 4);
  for (const char* name : {"m-5", "m-6", "m-7"}) world.Machine(name, "east");
  world.Watch(5);
  const std::string first = MachinesOf(world, "job-1").front();
  const std::string second = MachinesOf(world, "job-2").back();
  ASSERT_NE(first, second);
  world.Policy(WithDrains("(drain \"one\" (machine \"" + first + "\")) (drain \"two\" (machine \"" +
                          second + "\"))"));
  double until = world.clock.now + 60;
  while (world.clock.now < until &&
         world.Progress("one").replicas_moved + world.Progress("two").replicas_moved < 4) {
    world.Watch(0.5);
  }
  EXPECT_EQ(world.Progress("one").replicas_moved, 2U);
  EXPECT_EQ(world.Progress("two").replicas_moved, 2U);
  EXPECT_EQ(world.MostDown("red"), 1U);
}

TEST(Drain, EvictsReplicasOfSeveralTeamsConcurrently) {
  DrainWorld world;
  world.OneService(2);
  world.StartService("job-2", 2, "blue");
  world.Machine("m-2", "east");
  world.Watch(5);
  world.DrainOne();
  size_t max_down = 0;
  for (int i = 0; i < 40; ++i) {
    world.Watch(0.5);
    max_down = std::max(max_down, world.Down("red") + world.Down("blue"));
  }
  EXPECT_EQ(max_down, 2U);
  EXPECT_TRUE(world.WatchUntilDone("one", 60)) << world.Why("one");
}

TEST(Drain, ClassBudgetAppliesInAdditionToTeamBudget) {
  DrainWorld world;
  world.Lead();
  world.Machine("m-1", "east");
  JobSpec other = world.Service("job-1", 2);
  other.team = "red";
  other.job_class = "lobby";
  world.StartService(other);
  world.StartService("job-2", 2);
  world.Machine("m-2", "east");
  world.Watch(5);
  world.Policy(
      "(budgets (team \"red\" (down \"4\")) (class \"red\" \"lobby\" (down \"0\"))) "
      "(steps (settle-s \"2\") (image-wait-s \"0\")) (drains (drain \"one\" (machine \"m-1\")))");
  world.Watch(30);
  EXPECT_EQ(world.At("m-1").Count("job-1"), 2U);
  EXPECT_EQ(world.At("m-1").Count("job-2"), 0U);
  EXPECT_NE(world.Why("one").find("red lobby, 0 of at most 0"), std::string::npos)
      << world.Why("one");
}

// Machines that are provisioned after the drain has started are not drained: they replace the
// others.
TEST(Drain, DrainOfAllMachinesReplacesFleet) {
  DrainWorld world;
  world.Lead();
  world.cloud.refuse = false;
  world.Machine("m-1", "east");
  world.Machine("m-2", "west");
  world.StartService("job-1", 4);
  world.StartService("job-2", 3);
  world.Watch(5);
  world.Policy(WithDrains("(drain \"all\" (everything))"));
  EXPECT_TRUE(world.WatchUntilDone("all", 300)) << world.Why("all");
  EXPECT_TRUE(world.Returned("m-1"));
  EXPECT_TRUE(world.Returned("m-2"));
  EXPECT_EQ(world.MostDown("red"), 1U);
  EXPECT_EQ(world.Down("red"), 0U);
}

// While a zone is drained, capacity is provisioned only in the other zones.
TEST(Drain, ZoneDrainProvisionsInOtherZones) {
  DrainWorld world;
  world.Lead();
  world.cloud.refuse = false;
  world.Machine("m-1", "east");
  world.StartService("job-1", 4);
  world.Watch(40);
  world.cloud.zones.clear();
  world.Policy(WithDrains("(drain \"zone\" (zone \"east\"))"));
  EXPECT_TRUE(world.WatchUntilDone("zone", 200)) << world.Why("zone");
  EXPECT_EQ(world.MostDown("red"), 1U);
  EXPECT_EQ(std::count(world.cloud.zones.begin(), world.cloud.zones.end(), "east"), 0);
  for (const std::string& machine : MachinesOf(world, "job-1")) {
    EXPECT_EQ(world.At(machine).report.zone, "west");
  }
  // The zone stays closed to provisioning as long as its drain is in the policy.
  world.StartService("job-2", 4);
  EXPECT_EQ(std::count(world.cloud.zones.begin(), world.cloud.zones.end(), "east"), 0);
}

TEST(Drain, InsufficientCapacityIsReportedAndNothingIsEvicted) {
  DrainWorld world;
  world.OneService(4);
  world.DrainOne();
  world.Watch(60);
  EXPECT_EQ(world.MostDown("red"), 0U);
  EXPECT_NE(world.Why("one").find("no machine has room"), std::string::npos) << world.Why("one");
  EXPECT_GT(world.clock.Wall() - world.Progress("one").waiting_since_wall, 50);
  // The cloud provisions machines again.
  world.cloud.refuse = false;
  EXPECT_TRUE(world.WatchUntilDone("one", 120)) << world.Why("one");
  EXPECT_EQ(world.MostDown("red"), 1U);
}

// While a replica stops, other jobs can't use the capacity reserved for its replacement.
TEST(Drain, CapacityForReplacementIsReserved) {
  DrainWorld world;
  world.Lead();
  world.Machine("m-1", "east");
  world.StartService("job-1", 1, "red", 8);
  world.Machine("m-2", "east");
  world.Watch(5);
  world.At("m-1").hold = 1;  // delays the stop command
  world.DrainOne();
  for (int i = 0; i < 10 && world.At("m-1").held.empty(); ++i) world.Pass(0.5);
  // The array would use the reserved capacity if it were free.
  EXPECT_EQ(world.Submit(world.Array("job-9", 4)).status, 201);
  world.Watch(5);
  EXPECT_EQ(world.At("m-2").Count("job-9"), 0U);
  EXPECT_EQ(world.At("m-2").Count("job-1"), 1U);
}

// A replacement that never runs is tried on another machine and then left to ordinary placement.
// The drain reports the stall and evicts no further replica of the job, although the budget would
// allow it.
TEST(Drain, UnhealthyReplacementStallsItsJob) {
  DrainWorld world;
  world.OneService(3);
  for (const char* name : {"m-2", "m-3"}) {
    world.Machine(name, "east");
    world.Break(name);
  }
  world.Watch(3);
  world.Policy(
      "(budgets (team \"red\" (down \"2\"))) (steps (settle-s \"3\") (image-wait-s \"0\") "
      "(replace-within-s \"10\") (replacement-tries \"2\") (at-once \"1\")) "
      "(drains (drain \"one\" (machine \"m-1\")))");
  world.Watch(100);
  EXPECT_EQ(world.MostDown("red"), 1U);
  EXPECT_EQ(world.Progress("one").evictions_given_up, 1U);
  EXPECT_NE(world.Why("one").find("does not become healthy"), std::string::npos)
      << world.Why("one");
  // The replacement was tried on both machines.
  for (const char* name : {"m-2", "m-3"}) EXPECT_FALSE(world.At(name).started.empty()) << name;
  // Once replacements become healthy again, the drain continues after the job's
  // backoff.
  world.Mend("m-2");
  world.Mend("m-3");
  EXPECT_TRUE(world.WatchUntilDone("one", 120)) << world.Why("one");
  EXPECT_EQ(world.MostDown("red"), 1U);
}

TEST(Drain, StalledJobConsumesNoBudgetOfOtherTeams) {
  DrainWorld world;
  world.OneService(2);
  world.StartService("job-2", 2, "blue");
  world.Machine("m-2", "east");
  world.Watch(3);
  world.BreakJob("job-1");
  world.Policy(
      "(steps (settle-s \"2\") (image-wait-s \"0\") (replace-within-s \"10\") "
      "(replacement-tries \"1\")) (drains (drain \"one\" (machine \"m-1\")))");
  world.Watch(60);
  EXPECT_EQ(world.At("m-1").Count("job-2"), 0U);
  EXPECT_EQ(world.Down("blue"), 0U);
  EXPECT_EQ(world.At("m-1").Count("job-1"), 1U);
}

TEST(Drain, LostMachinesConsumeBudget) {
  DrainWorld world;
  world.OneService(4);
  world.Machine("m-2", "west");
  world.StartService("job-2", 4);
  ASSERT_EQ(MachinesOf(world, "job-2"), std::vector<std::string>{"m-2"});
  world.Machine("m-3", "east");
  world.Watch(5);
  world.Lose("m-2");
  // The lost replicas are restarted on the capacity that was free for the drain.
  world.Watch(6);
  world.Policy(
      "(budgets (team \"red\" (down \"1\"))) (steps (settle-s \"20\")) "
      "(drains (drain \"one\" (machine \"m-1\")))");
  world.Watch(10);
  EXPECT_EQ(world.At("m-1").Count("job-1"), 4U);
  EXPECT_NE(world.Why("one").find("budget allows no more"), std::string::npos) << world.Why("one");
}

// A machine is lost after a replica is selected for eviction and before it is stopped.
TEST(Drain, UnavailableReplicasAreRecountedBeforeStop) {
  DrainWorld world;
  world.OneService(2);
  world.Machine("m-2", "west");
  world.StartService("job-2", 1, "red", 8);
  ASSERT_EQ(MachinesOf(world, "job-2"), std::vector<std::string>{"m-2"});
  world.Machine("m-3", "east");
  world.Watch(5);
  world.state.refuse = true;
  world.DrainOne();
  world.Watch(3);
  ASSERT_EQ(world.leader->eviction_controller().eviction_tracker().evictions().size(), 1U);
  world.cloud.out = true;  // keeps the replica of job-2 down
  world.Lose("m-2");
  world.Watch(4);
  world.state.refuse = false;
  world.Watch(3);
  EXPECT_EQ(world.At("m-1").Count("job-1"), 2U);
}

// An eviction is recorded durably before its replica is stopped. During an outage of the state
// service no replica is stopped, and the selected one does not consume budget indefinitely.
TEST(Drain, NoEvictionDuringStateServiceOutage) {
  DrainWorld world;
  world.OneServiceWithRoomBeside(2);
  world.state.refuse = true;
  world.DrainOne();
  world.Watch(30);
  EXPECT_EQ(world.MostDown("red"), 0U);
  EXPECT_LE(world.leader->ledger().CountUnavailable("red"), 1U);
  world.state.refuse = false;
  EXPECT_TRUE(world.WatchUntilDone("one", 60)) << world.Why("one");
  EXPECT_EQ(world.MostDown("red"), 1U);
}

// The leader ends after recording an eviction and before the stop: its successor finds the replica
// running.
TEST(Drain, NewLeaderRestartsEvictionThatWasOnlyRecorded) {
  DrainWorld world;
  world.OneServiceWithRoomBeside(2);
  world.state.refuse = true;
  world.DrainOne();
  world.Watch(3);
  ASSERT_EQ(world.leader->eviction_controller().eviction_tracker().evictions().size(), 1U);
  const Eviction& chosen = world.leader->eviction_controller().eviction_tracker().evictions()[0];
  ASSERT_EQ(chosen.phase, EvictionPhase::kRecording);
  // The eviction was recorded, but the leader never receives the confirmation.
  const std::string row = EncodeEviction(
      {"one", "job-1", chosen.task_index, "m-1", chosen.attempt_number, world.clock.Wall()});
  world.state.keys["deckhall/pages/000099"] = {"[" + row + "]", ++world.state.revision, 0};
  world.state.refuse = false;
  world.NextLeader();
  ASSERT_EQ(world.leader->eviction_controller().eviction_tracker().evictions().size(), 1U);
  world.Watch(2);
  EXPECT_EQ(world.leader->eviction_controller().eviction_tracker().evictions().size(), 0U);
  EXPECT_EQ(world.At("m-1").Count("job-1"), 2U);
  EXPECT_TRUE(world.WatchUntilDone("one", 60)) << world.Why("one");
  EXPECT_EQ(world.MostDown("red"), 1U);
  EXPECT_EQ(world.Progress("one").replicas_moved, 2U);
}

// The leader ends after the stop: its successors evict nothing until the replacement is healthy.
TEST(Drain, NewLeaderTracksEvictionInProgress) {
  DrainWorld world;
  world.OneService(3);
  world.Machine("m-2", "east");
  world.Break("m-2");
  world.Watch(5);
  world.DrainOne();
  world.Watch(5);
  ASSERT_EQ(world.Down("red"), 1U);
  for (int term = 0; term < 3; ++term) {
    world.NextLeader();
    world.Watch(10);
    EXPECT_EQ(world.Down("red"), 1U);
    EXPECT_EQ(world.leader->eviction_controller().eviction_tracker().evictions().size(), 1U);
  }
  world.Mend("m-2");
  EXPECT_TRUE(world.WatchUntilDone("one", 100)) << world.Why("one");
  EXPECT_EQ(world.MostDown("red"), 1U);
  EXPECT_EQ(world.Progress("one").replicas_moved, 3U);
}

// A new leader that has not yet reconciled all machines does not know which replicas run, and so
// stops none of them.
TEST(Drain, NewLeaderEvictsNothingBeforeReconciliation) {
  DrainWorld world;
  world.OneService(2);
  world.Machine("m-2", "west");
  world.StartService("job-2", 1, "red", 8);
  ASSERT_EQ(MachinesOf(world, "job-2"), std::vector<std::string>{"m-2"});
  world.Machine("m-3", "east");
  world.Watch(5);
  // The machine hangs and the cloud can't terminate it: its replicas stay unreconciled for longer
  // than a lease.
  world.At("m-2").silent = true;
  world.cloud.out = true;
  world.DrainOne();
  world.NextLeader();
  world.Watch(15);
  EXPECT_EQ(world.At("m-1").Count("job-1"), 2U);
  EXPECT_NE(world.Why("one").find("budget"), std::string::npos) << world.Why("one");
}

// A stop command of a former leader that arrives late is rejected by its fencing token.
TEST(Drain, DelayedStopFromFormerLeaderIsFenced) {
  DrainWorld world;
  world.OneServiceWithRoomBeside(2);
  world.At("m-1").hold = 1;
  world.At("m-1").deaf = true;
  world.DrainOne();
  for (int i = 0; i < 10 && world.At("m-1").held.empty(); ++i) world.Pass(0.5);
  ASSERT_EQ(world.At("m-1").held.size(), 1U);
  world.At("m-1").deaf = false;
  world.NextLeader();
  world.Watch(4);
  const size_t before = world.At("m-1").Count("job-1");
  world.At("m-1").Late();
  EXPECT_EQ(world.At("m-1").Count("job-1"), before);
  EXPECT_TRUE(world.WatchUntilDone("one", 60)) << world.Why("one");
  EXPECT_EQ(world.MostDown("red"), 1U);
}

// A leader that was frozen between selecting a replica and stopping it finds its lease expired.
TEST(Drain, LeaderWithExpiredLeaseEvictsNothing) {
  DrainWorld world;
  world.OneServiceWithRoomBeside(2);
  world.state.refuse = true;
  world.DrainOne();
  world.Watch(3);
  ASSERT_EQ(world.leader->eviction_controller().eviction_tracker().evictions().size(), 1U);
  world.lease.until = world.clock.now - 1;
  world.state.refuse = false;
  world.Pass(5);
  EXPECT_EQ(world.At("m-1").Count("job-1"), 2U);
}

// A drain is withdrawn while a stop command is in flight: the replica is restarted, and the machine
// is kept and accepts tasks again.
TEST(Drain, WithdrawalDuringStopRestoresReplicaAndUncordonsMachine) {
  DrainWorld world;
  world.OneServiceWithRoomBeside(3);
  world.At("m-1").hold = 1;
  world.DrainOne();
  for (int i = 0; i < 10 && world.At("m-1").held.empty(); ++i) world.Pass(0.5);
  ASSERT_EQ(world.At("m-1").held.size(), 1U);
  world.Policy(kOneDownAtATime);
  world.At("m-1").Late();
  world.Watch(30);
  EXPECT_EQ(world.Down("red"), 0U);
  EXPECT_FALSE(world.Returned("m-1"));
  EXPECT_TRUE(world.leader->eviction_controller().eviction_tracker().evictions().empty());
  EXPECT_GE(world.OnMachine("m-1"), 2U);
  world.Lose("m-2");
  world.Watch(20);
  // The machine is no longer cordoned and receives the remaining replicas.
  EXPECT_EQ(world.OnMachine("m-1"), 3U);
}

// The operators withdraw or pause the drain after a replica is selected and before it is stopped.
TEST(Drain, WithdrawalOrPauseBeforeStopCancelsEviction) {
  for (const char* drains : {"(drains)", "(drains (drain \"one\" (machine \"m-1\") (paused)))"}) {
    DrainWorld world;
    world.OneServiceWithRoomBeside(2);
    world.state.refuse = true;
    world.DrainOne();
    world.Watch(3);
    ASSERT_EQ(world.leader->eviction_controller().eviction_tracker().evictions().size(), 1U);
    world.Policy(std::string(kOneDownAtATime) + drains);
    world.state.refuse = false;
    world.Watch(10);
    EXPECT_EQ(world.MostDown("red"), 0U) << drains;
    EXPECT_TRUE(world.leader->eviction_controller().eviction_tracker().evictions().empty());
  }
}

TEST(Drain, WithdrawnDrainIsDeletedAndContinuingDrainKeepsItsCounts) {
  DrainWorld world;
  world.Lead();
  world.Machine("m-1", "east");
  world.Machine("m-2", "east");
  world.Policy(
      WithDrains("(drain \"one\" (machine \"m-1\")) (drain \"two\" (machine \"m-2\") (paused))"));
  EXPECT_TRUE(world.WatchUntilDone("one", 30));
  world.Watch(10);
  world.NextLeader();
  EXPECT_EQ(world.Progress("one").machines_done, 1U);
  EXPECT_EQ(world.Progress("two").state, DrainState::kPaused);
  world.DrainOne();
  world.Watch(10);
  std::string pages;
  for (const auto& [key, entry] : world.state.keys) pages += entry.value;
  EXPECT_NE(pages.find("\"drain\":\"one\""), std::string::npos);
  EXPECT_EQ(pages.find("\"drain\":\"two\""), std::string::npos);
}

TEST(Drain, LoweredBudgetTakesEffectImmediately) {
  DrainWorld world;
  world.OneService(2);
  world.StartService("job-2", 2);
  world.Machine("m-2", "east");
  world.Watch(5);
  const std::string rest =
      "(steps (settle-s \"5\") (image-wait-s \"0\")) (drains (drain \"one\" (machine \"m-1\")))";
  world.Policy("(budgets (team \"red\" (down \"2\"))) " + rest);
  world.Watch(3);
  EXPECT_EQ(world.MostDown("red"), 2U);
  world.Policy("(budgets (team \"red\" (down \"0\"))) " + rest);
  world.Watch(30);
  EXPECT_EQ(world.OnMachine("m-1"), 2U);
  EXPECT_NE(world.Why("one").find("0 of at most 0"), std::string::npos) << world.Why("one");
}

TEST(Drain, SingleReplicaIsEvictedIfBudgetAllowsOneDown) {
  DrainWorld world;
  world.OneService(1);
  world.StartService("job-2", 1, "blue");
  world.Machine("m-2", "east");
  world.Watch(5);
  world.Policy(
      "(budgets (team \"red\" (down \"50%\")) (team \"blue\" (down \"50%\" at-least-one))) "
      "(steps (settle-s \"2\")) (drains (drain \"one\" (machine \"m-1\")))");
  world.Watch(30);
  EXPECT_EQ(world.At("m-1").Count("job-1"), 1U);
  EXPECT_EQ(world.At("m-2").Count("job-2"), 1U);
  EXPECT_EQ(world.MostDown("red"), 0U);
}

// The last available replica of a service with several is never stopped, whatever the budget
// allows.
TEST(Drain, NeverEvictsAllReplicasOfServiceAtOnce) {
  DrainWorld world;
  world.OneServiceWithRoomBeside(3);
  world.Policy(
      "(budgets (team \"red\" (down \"100%\"))) (steps (settle-s \"2\")) "
      "(drains (drain \"one\" (machine \"m-1\")))");
  EXPECT_TRUE(world.WatchUntilDone("one", 60)) << world.Why("one");
  EXPECT_EQ(world.MostDown("red"), 2U);
}

TEST(Drain, RespectsSingleZoneAndAntiAffinity) {
  DrainWorld world;
  world.Lead();
  world.Machine("m-1", "east");
  JobSpec constrained = world.Service("job-1", 2);
  constrained.team = "red";
  constrained.single_zone = true;
  world.StartService(constrained);
  const std::string initial_zone = world.At("m-1").report.zone;
  world.Machine("m-2", "west");
  JobSpec spread = world.Service("job-2", 2);
  spread.team = "blue";
  spread.anti_affinity = true;
  world.StartService(spread);
  world.Watch(5);
  world.DrainOne();
  world.Watch(30);
  // Only the other zone has free capacity. job-1 must stay in its zone, and the other zone already
  // runs half of the replicas of job-2.
  EXPECT_EQ(world.At("m-1").Count("job-1"), 2U);
  EXPECT_EQ(world.At("m-1").Count("job-2"), 1U);
  EXPECT_NE(world.Why("one").find("no machine has room"), std::string::npos) << world.Why("one");
  world.Machine("m-3", initial_zone);
  EXPECT_TRUE(world.WatchUntilDone("one", 60)) << world.Why("one");
  EXPECT_EQ(world.At("m-3").Count("job-1"), 2U);
  EXPECT_EQ(world.At("m-3").Count("job-2"), 1U);
}

// A service that is allowed only on the drained machine type stays, and the drain reports it.
TEST(Drain, JobWithoutAlternativeMachineTypeStays) {
  DrainWorld world;
  world.cloud.types.push_back(world.cloud.types[0]);
  world.cloud.types.back().name = "large";
  world.Lead();
  FakeWorker& lost_worker = world.Machine("m-1", "east");
  lost_worker.report.type = "large";
  world.Lose("m-1");
  world.Watch(40);
  FakeWorker& new_worker = world.workers.at["m-8:1"];
  new_worker.report.type = "large";
  new_worker.report.machine = "m-8";
  new_worker.report.endpoint = "m-8:1";
  new_worker.report.zone = "east";
  new_worker.report.agent_epoch = 1;
  world.Watch(3);
  JobSpec constrained = world.Service("job-1", 2);
  constrained.team = "red";
  constrained.allowed_types = {"large"};
  world.StartService(constrained);
  world.Machine("m-2", "east");
  world.Policy(WithDrains("(drain \"type\" (type \"large\"))"));
  world.Watch(30);
  EXPECT_EQ(world.At("m-8").Count("job-1"), 2U);
  EXPECT_NE(world.Why("type").find("no machine has room"), std::string::npos) << world.Why("type");
}

TEST(Drain, UnknownMachineTypeIsReportedAndCordonsNothing) {
  DrainWorld world;
  world.Lead();
  world.Machine("m-1", "east");
  world.Policy(WithDrains("(drain \"type\" (type \"bxo\"))"));
  world.Watch(10);
  EXPECT_NE(world.Why("type").find("no machine type bxo"), std::string::npos) << world.Why("type");
  EXPECT_NE(world.Progress("type").state, DrainState::kDone);
}

TEST(Drain, ArrayTasksRunToCompletionUntilDeadline) {
  DrainWorld world;
  world.Lead();
  world.cloud.refuse = false;
  FakeWorker& worker = world.Machine("m-1", "east");
  EXPECT_EQ(world.Submit(world.Array("job-1", 3)).status, 201);
  world.Watch(3);
  world.Policy(WithDrains("(drain \"one\" (machine \"m-1\") (deadline-s \"60\"))"));
  world.Watch(50);
  EXPECT_EQ(worker.Count("job-1"), 3U);
  EXPECT_NE(world.Why("one").find("run to their end"), std::string::npos);
  worker.End("job-1/0", ExitReason::kDone);
  world.Watch(20);
  EXPECT_TRUE(world.Returned("m-1"));
  const std::vector<std::string> hosts = MachinesOf(world, "job-1");
  ASSERT_EQ(hosts.size(), 1U);
  EXPECT_EQ(world.At(hosts[0]).Count("job-1"), 2U);
  EXPECT_EQ(world.Progress("one").tasks_stopped, 2U);
}

// The deadline counts from when the drain was first accepted, also under a later leader. The budget
// bounds the stopped tasks per window; a new leader does not know the earlier losses and so waits
// for a whole window.
TEST(Drain, ArrayTasksAreStoppedWithinBudgetAfterDeadline) {
  DrainWorld world;
  world.Lead();
  world.Machine("m-1", "east");
  EXPECT_EQ(world.Submit(world.Array("job-1", 4)).status, 201);
  world.Watch(3);
  world.Machine("m-2", "east");
  world.Policy(
      "(budgets (team \"blue\" (stopped \"2\"))) (steps (window-s \"40\")) "
      "(drains (drain \"one\" (machine \"m-1\") (deadline-s \"20\")))");
  world.Watch(30);
  // During the first window, losses before it are unknown.
  EXPECT_EQ(world.At("m-1").Count("job-1"), 4U);
  world.Watch(15);
  EXPECT_EQ(world.At("m-1").Count("job-1"), 2U);
  EXPECT_NE(world.Why("one").find("no more stopped tasks"), std::string::npos) << world.Why("one");
  world.Watch(20);
  EXPECT_EQ(world.At("m-1").Count("job-1"), 2U);
  world.NextLeader();
  world.Watch(30);
  EXPECT_EQ(world.At("m-1").Count("job-1"), 2U);
  world.Watch(20);
  EXPECT_EQ(world.At("m-1").Count("job-1"), 0U);
}

TEST(Drain, ArrayTasksAreStoppedWithCheckpointGracePeriod) {
  DrainWorld world;
  world.Lead();
  FakeWorker& worker = world.Machine("m-1", "east");
  JobSpec spec = world.Array("job-1", 1);
  spec.checkpoint_interval_s = 10;
  spec.checkpoint_grace_s = 4;
  worker.gangs.insert("job-1");  // checkpoints when it is stopped
  worker.save_s = 4;
  EXPECT_EQ(world.Submit(spec).status, 201);
  world.Watch(3);
  ASSERT_EQ(worker.Count("job-1"), 1U);
  for (TaskStatus& task : worker.report.tasks) task.state = TaskState::kRunning;
  world.Watch(2);
  world.Machine("m-2", "east");
  world.Policy(WithDrains("(drain \"one\" (machine \"m-1\") (deadline-s \"0\"))"));
  world.Watch(2);
  ASSERT_EQ(worker.Count("job-1"), 1U);
  EXPECT_EQ(worker.report.tasks[0].state, TaskState::kCheckpointing);
}

TEST(Drain, GangIsStoppedEntirelyOrNotAtAll) {
  DrainWorld world;
  world.Lead();
  world.Machine("m-1", "east");
  world.Machine("m-2", "east");
  JobSpec spec = world.Array("job-1", 3, 4);
  spec.gang = true;
  spec.team = "red";
  EXPECT_EQ(world.Submit(spec).status, 201);
  world.Watch(5);
  ASSERT_EQ(world.At("m-1").Count("job-1") + world.At("m-2").Count("job-1"), 3U);
  world.Machine("m-3", "east");
  const std::string rest =
      "(steps (window-s \"5\")) (drains (drain \"one\" (machine \"m-1\") (deadline-s \"0\")))";
  world.Policy("(budgets (team \"red\" (stopped \"2\"))) " + rest);
  world.Watch(20);
  EXPECT_EQ(world.At("m-1").Count("job-1") + world.At("m-2").Count("job-1"), 3U);
  world.Policy("(budgets (team \"red\" (stopped \"3\"))) " + rest);
  world.Watch(20);
  EXPECT_EQ(world.At("m-1").Count("job-1"), 0U);
  EXPECT_EQ(world.At("m-2").Count("job-1") + world.At("m-3").Count("job-1"), 3U);
  EXPECT_TRUE(world.Returned("m-1"));
}

// A replica needs the capacity that an array uses; tasks of the array may be preempted for it only
// within the budget.
TEST(Disruption, PriorityPreemptionRespectsBudgetOfArrays) {
  for (const bool allowed : {false, true}) {
    DrainWorld world;
    world.Lead();
    world.Machine("m-1", "east");
    JobSpec array = world.Array("job-1", 4);
    array.team = "red";
    EXPECT_EQ(world.Submit(array).status, 201);
    world.Watch(3);
    ASSERT_EQ(world.OnMachine("m-1"), 4U);
    world.Policy(std::string("(budgets (team \"red\" (stopped \"") + (allowed ? "4" : "0") +
                 "\"))) (steps (window-s \"5\"))");
    world.Watch(8);
    JobSpec service = world.Service("job-2", 1, 8);
    service.team = "red";
    EXPECT_EQ(world.Submit(service).status, 201);
    world.Watch(10);
    EXPECT_EQ(world.At("m-1").Count("job-2"), allowed ? 1U : 0U);
  }
}

TEST(Disruption, TeamGuaranteeOverridesBudget) {
  DrainWorld world;
  world.Lead();
  world.Machine("m-1", "east");
  JobSpec red_array = world.Array("job-1", 4);
  red_array.team = "red";
  EXPECT_EQ(world.Submit(red_array).status, 201);
  world.Watch(3);
  ASSERT_EQ(world.OnMachine("m-1"), 4U);
  world.Policy("(budgets (team \"red\" (stopped \"0\"))) (steps (window-s \"5\"))");
  world.Watch(8);
  EXPECT_EQ(world.Submit(world.Array("job-2", 2)).status, 201);
  world.Watch(15);
  EXPECT_EQ(world.At("m-1").Count("job-2"), 2U);
}

// Consolidating underused machines to reduce cost is also a voluntary disruption.
TEST(Disruption, ConsolidationRespectsBudget) {
  for (const bool allowed : {false, true}) {
    DrainWorld world;
    world.tuning.consolidate_spare = 0;
    world.tuning.headroom_machines = 0;
    world.tuning.headroom_share = 0;
    world.tuning.headroom_boots = 0;
    world.tuning.settled_s = 5;
    world.Lead();
    world.Machine("m-1", "east");
    world.StartService("job-1", 1, "red", 6);
    world.Machine("m-2", "east");
    world.StartService("job-2", 3);
    EXPECT_EQ(world.Ask(JobOperation::kCancel, "job-1").status, 200);
    world.Forget("job-1");
    world.Policy(std::string("(budgets (team \"red\" (down \"") + (allowed ? "1" : "0") +
                 "\"))) (steps (settle-s \"1\"))");
    world.Watch(60);
    EXPECT_EQ(world.MostDown("red") > 0, allowed);
  }
}

TEST(Ledger, ReplicaIsAvailableAfterSettlePeriod) {
  DrainWorld world;
  world.Lead();
  world.Policy("(steps (settle-s \"10\"))");
  world.Machine("m-1", "east");
  EXPECT_EQ(world.Submit(world.Service("job-1", 2)).status, 201);
  world.Pass(3);
  const JobIndex job_index = world.leader->job_store().Find("job-1");
  EXPECT_EQ(world.leader->ledger().CountAvailable(job_index), 0U);
  EXPECT_EQ(world.leader->ledger().CountUnavailable("blue"), 2U);
  world.Pass(10);
  EXPECT_EQ(world.leader->ledger().CountAvailable(job_index), 2U);
  EXPECT_EQ(world.leader->ledger().CountUnavailable("blue"), 0U);
  // Replicas on a machine that sends no heartbeats count as unavailable.
  world.At("m-1").silent = true;
  world.Pass(3);
  EXPECT_EQ(world.leader->ledger().CountUnavailable("blue"), 2U);
}

TEST(Ledger, ServiceThatNeverRanInThisTermConsumesNoBudget) {
  DrainWorld world;
  world.Lead();
  world.Policy("(budgets)");
  EXPECT_EQ(world.Submit(world.Service("job-1", 2)).status, 201);
  world.Pass(3);
  EXPECT_EQ(world.leader->ledger().CountUnavailable("blue"), 0U);
  // The next leader does not know whether it ran before, and counts it as unavailable.
  world.NextLeader();
  world.Pass(1);
  EXPECT_EQ(world.leader->ledger().CountUnavailable("blue"), 2U);
}

TEST(Ledger, CancelledJobConsumesNoBudget) {
  DrainWorld world;
  world.Lead();
  world.Policy("(steps (settle-s \"1\"))");
  world.Machine("m-1", "east");
  world.StartService("job-1", 2, "blue");
  world.Lose("m-1");
  world.Pass(10);
  EXPECT_EQ(world.leader->ledger().CountUnavailable("blue"), 2U);
  EXPECT_EQ(world.Ask(JobOperation::kCancel, "job-1").status, 200);
  world.Pass(1);
  EXPECT_EQ(world.leader->ledger().CountUnavailable("blue"), 0U);
}

}  // namespace
}  // namespace deckhall
