// Drains under one leader: steps, budgets, and what may happen in between.
#include <gtest/gtest.h>

#include "drain_world.h"

namespace deckhall {
namespace {

std::string WithDrains(const std::string& drains) {
  return std::string(kOneDownAtATime) + "(drains " + drains + ")";
}

// The machines with replicas of the service, in order.
std::vector<std::string> MachinesOf(const DrainTestEnvironment& w, const std::string& job) {
  std::vector<std::string> out;
  for (const auto& [endpoint, worker] : w.workers.by_endpoint) {
    if (worker.ActiveTasks(job) > 0) out.push_back(worker.heartbeat.machine);
  }
  return out;
}

TEST(Drain, EmptiesAMachineWithinTheBudgetAndReturnsIt) {
  DrainTestEnvironment w;
  w.StartLeader();
  for (const char* name : {"m-1", "m-2"}) w.AddMachine(name, "east");
  w.StartService("job-1", 4);
  w.StartService("job-2", 2);
  w.AddMachine("m-3", "east");
  w.AddMachine("m-4", "west");
  w.RunAndRecord(5);
  w.DrainFirstMachine();
  const size_t before = w.ActiveTasksOn("m-1");
  ASSERT_GT(before, 0U);
  EXPECT_TRUE(w.RunUntilDrained("one", 120)) << w.BlockedReason("one");
  EXPECT_TRUE(w.IsReleased("m-1"));
  EXPECT_EQ(w.MaxReplicasDown("red"), 1U);
  EXPECT_EQ(w.ReplicasDown("red"), 0U);
  EXPECT_EQ(w.Progress("one").machines_done, 1U);
  EXPECT_EQ(w.Progress("one").replicas_moved, before);
  EXPECT_FALSE(w.IsReleased("m-2"));
}

TEST(Drain, NothingIsTouchedWithoutAPolicy) {
  DrainTestEnvironment w;
  w.StartOneService(2);
  w.RunAndRecord(30);
  EXPECT_FALSE(w.leader->ledger().active());
  EXPECT_EQ(w.leader->ledger().work_units(), 0U);
  EXPECT_EQ(w.ReplicasDown("red"), 0U);
}

TEST(Drain, WaitsUntilThePolicyInForceWasReadInThisTerm) {
  DrainTestEnvironment w;
  w.StartOneService(2);
  w.AddMachine("m-2", "east");
  w.ApplyPolicy(WithDrains("(drain \"one\" (machine \"m-1\"))"), false);
  w.RunAndRecord(30);
  EXPECT_EQ(w.MaxReplicasDown("red"), 0U);
  EXPECT_NE(w.BlockedReason("one").find("policy in force"), std::string::npos);
  w.ReplaceLeader();
  EXPECT_TRUE(w.RunUntilDrained("one", 60)) << w.BlockedReason("one");
}

// A cordoned machine takes no new work from the moment the drain is known.
TEST(Drain, ACordonedMachineTakesNoNewTasks) {
  DrainTestEnvironment w;
  w.StartLeader();
  w.AddMachine("m-1", "east");
  w.AddMachine("m-2", "east");
  w.ApplyPolicy(WithDrains("(drain \"one\" (machine \"m-1\") (paused))"));
  w.StartService("job-1", 4);
  EXPECT_EQ(w.ActiveTasksOn("m-1"), 0U);
  EXPECT_EQ(w.ActiveTasksOn("m-2"), 4U);
  w.RunAndRecord(20);
  // Paused: it is kept out of use, but not given back.
  EXPECT_FALSE(w.IsReleased("m-1"));
  w.DrainFirstMachine();
  EXPECT_TRUE(w.RunUntilDrained("one", 20));
  EXPECT_TRUE(w.IsReleased("m-1"));
}

// Two drains of two teams overlap in a machine and begin at different times.
TEST(Drain, TwoDrainsThatOverlapShareTheBudgets) {
  DrainTestEnvironment w;
  w.StartLeader();
  for (const char* name : {"m-1", "m-2", "m-3"}) w.AddMachine(name, "east");
  w.StartService("job-1", 4);
  w.StartService("job-2", 4, "blue");
  w.StartService("job-3", 4);
  for (const char* name : {"m-5", "m-6", "m-7"}) w.AddMachine(name, "west");
  w.RunAndRecord(5);
  w.ApplyPolicy(WithDrains("(drain \"one\" (machine \"m-1\") (machine \"m-2\"))"));
  w.RunAndRecord(10);
  w.ApplyPolicy(
      WithDrains("(drain \"one\" (machine \"m-1\") (machine \"m-2\")) "
                 "(drain \"two\" (machine \"m-2\") (machine \"m-3\"))"));
  EXPECT_TRUE(w.RunUntilDrained("two", 200)) << w.BlockedReason("two");
  EXPECT_TRUE(w.RunUntilDrained("one", 200)) << w.BlockedReason("one");
  EXPECT_EQ(w.MaxReplicasDown("red"), 1U);
  EXPECT_EQ(w.MaxReplicasDown("blue"), 1U);
  EXPECT_TRUE(w.IsReleased("m-2"));
}

// Both want the one replica of the same team that may be down: each gets its turn.
TEST(Drain, DrainsThatWantOneBudgetTakeTurns) {
  DrainTestEnvironment w;
  w.StartOneService(4);
  w.AddMachine("m-2", "west");
  w.StartService("job-2", 4);
  for (const char* name : {"m-5", "m-6", "m-7"}) w.AddMachine(name, "east");
  w.RunAndRecord(5);
  const std::string first = MachinesOf(w, "job-1").front();
  const std::string second = MachinesOf(w, "job-2").back();
  ASSERT_NE(first, second);
  w.ApplyPolicy(WithDrains("(drain \"one\" (machine \"" + first +
                           "\")) (drain \"two\" (machine \"" + second + "\"))"));
  double until = w.clock.now + 60;
  while (w.clock.now < until &&
         w.Progress("one").replicas_moved + w.Progress("two").replicas_moved < 4) {
    w.RunAndRecord(0.5);
  }
  EXPECT_EQ(w.Progress("one").replicas_moved, 2U);
  EXPECT_EQ(w.Progress("two").replicas_moved, 2U);
  EXPECT_EQ(w.MaxReplicasDown("red"), 1U);
}

TEST(Drain, SeveralTeamsAreMovedAtTheSameTime) {
  DrainTestEnvironment w;
  w.StartOneService(2);
  w.StartService("job-2", 2, "blue");
  w.AddMachine("m-2", "east");
  w.RunAndRecord(5);
  w.DrainFirstMachine();
  size_t together = 0;
  for (int i = 0; i < 40; ++i) {
    w.RunAndRecord(0.5);
    together = std::max(together, w.ReplicasDown("red") + w.ReplicasDown("blue"));
  }
  EXPECT_EQ(together, 2U);
  EXPECT_TRUE(w.RunUntilDrained("one", 60)) << w.BlockedReason("one");
}

TEST(Drain, AClassHasABudgetOfItsOwnBesideItsTeams) {
  DrainTestEnvironment w;
  w.StartLeader();
  w.AddMachine("m-1", "east");
  JobSpec other = w.Service("job-1", 2);
  other.team = "red";
  other.job_class = "lobby";
  w.StartService(other);
  w.StartService("job-2", 2);
  w.AddMachine("m-2", "east");
  w.RunAndRecord(5);
  w.ApplyPolicy(
      "(budgets (team \"red\" (down \"4\")) (class \"red\" \"lobby\" (down \"0\"))) "
      "(steps (settle-s \"2\") (image-wait-s \"0\")) (drains (drain \"one\" (machine \"m-1\")))");
  w.RunAndRecord(30);
  EXPECT_EQ(w.WorkerAt("m-1").ActiveTasks("job-1"), 2U);
  EXPECT_EQ(w.WorkerAt("m-1").ActiveTasks("job-2"), 0U);
  EXPECT_NE(w.BlockedReason("one").find("red lobby, 0 of at most 0"), std::string::npos)
      << w.BlockedReason("one");
}

// The whole fleet: machines that come after the beginning replace those that were there.
TEST(Drain, OfEverythingReplacesTheFleet) {
  DrainTestEnvironment w;
  w.StartLeader();
  w.cloud.out_of_capacity = false;
  w.AddMachine("m-1", "east");
  w.AddMachine("m-2", "west");
  w.StartService("job-1", 4);
  w.StartService("job-2", 3);
  w.RunAndRecord(5);
  w.ApplyPolicy(WithDrains("(drain \"all\" (everything))"));
  EXPECT_TRUE(w.RunUntilDrained("all", 300)) << w.BlockedReason("all");
  EXPECT_TRUE(w.IsReleased("m-1"));
  EXPECT_TRUE(w.IsReleased("m-2"));
  EXPECT_EQ(w.MaxReplicasDown("red"), 1U);
  EXPECT_EQ(w.ReplicasDown("red"), 0U);
}

// A zone is emptied, nothing is rented there meanwhile, and the room is rented elsewhere.
TEST(Drain, OfAZoneRentsRoomInTheOthers) {
  DrainTestEnvironment w;
  w.StartLeader();
  w.cloud.out_of_capacity = false;
  w.AddMachine("m-1", "east");
  w.StartService("job-1", 4);
  w.RunAndRecord(40);
  w.cloud.scale_out_zones.clear();
  w.ApplyPolicy(WithDrains("(drain \"zone\" (zone \"east\"))"));
  EXPECT_TRUE(w.RunUntilDrained("zone", 200)) << w.BlockedReason("zone");
  EXPECT_EQ(w.MaxReplicasDown("red"), 1U);
  EXPECT_EQ(std::count(w.cloud.scale_out_zones.begin(), w.cloud.scale_out_zones.end(), "east"), 0);
  for (const std::string& machine : MachinesOf(w, "job-1")) {
    EXPECT_EQ(w.WorkerAt(machine).heartbeat.zone, "west");
  }
  // Closed as long as the drain is wanted.
  w.StartService("job-2", 4);
  EXPECT_EQ(std::count(w.cloud.scale_out_zones.begin(), w.cloud.scale_out_zones.end(), "east"), 0);
}

TEST(Drain, StallsVisiblyWithoutRoomAndStopsNothing) {
  DrainTestEnvironment w;
  w.StartOneService(4);
  w.DrainFirstMachine();
  w.RunAndRecord(60);
  EXPECT_EQ(w.MaxReplicasDown("red"), 0U);
  EXPECT_NE(w.BlockedReason("one").find("no machine has room"), std::string::npos)
      << w.BlockedReason("one");
  EXPECT_GT(w.clock.Wall() - w.Progress("one").waiting_since_wall, 50);
  // The cloud is back.
  w.cloud.out_of_capacity = false;
  EXPECT_TRUE(w.RunUntilDrained("one", 120)) << w.BlockedReason("one");
  EXPECT_EQ(w.MaxReplicasDown("red"), 1U);
}

// Room for the replacement is kept from others while the replica stops.
TEST(Drain, TheReplacementsPlaceIsHeld) {
  DrainTestEnvironment w;
  w.StartLeader();
  w.AddMachine("m-1", "east");
  w.StartService("job-1", 1, "red", 8);
  w.AddMachine("m-2", "east");
  w.RunAndRecord(5);
  w.WorkerAt("m-1").batches_to_delay = 1;  // the stop takes its time
  w.DrainFirstMachine();
  for (int i = 0; i < 10 && w.WorkerAt("m-1").delayed_batches.empty(); ++i) w.AdvanceTime(0.5);
  // Would take the room if it could.
  EXPECT_EQ(w.Submit(w.Array("job-9", 4)).status, 201);
  w.RunAndRecord(5);
  EXPECT_EQ(w.WorkerAt("m-2").ActiveTasks("job-9"), 0U);
  EXPECT_EQ(w.WorkerAt("m-2").ActiveTasks("job-1"), 1U);
}

// The replacement never runs: it is tried elsewhere, then left to the ordinary placement; the
// drain stalls visibly and takes no further replica of the job, though the budget would allow it.
TEST(Drain, AReplacementThatNeverTurnsHealthyStallsItsJob) {
  DrainTestEnvironment w;
  w.StartOneService(3);
  for (const char* name : {"m-2", "m-3"}) {
    w.AddMachine(name, "east");
    w.BlockStartsOn(name);
  }
  w.RunAndRecord(3);
  w.ApplyPolicy(
      "(budgets (team \"red\" (down \"2\"))) (steps (settle-s \"3\") (image-wait-s \"0\") "
      "(replace-within-s \"10\") (replacement-tries \"2\") (at-once \"1\")) "
      "(drains (drain \"one\" (machine \"m-1\")))");
  w.RunAndRecord(100);
  EXPECT_EQ(w.MaxReplicasDown("red"), 1U);
  EXPECT_EQ(w.Progress("one").evictions_given_up, 1U);
  EXPECT_NE(w.BlockedReason("one").find("does not become healthy"), std::string::npos)
      << w.BlockedReason("one");
  // It was tried on more than one machine.
  for (const char* name : {"m-2", "m-3"})
    EXPECT_FALSE(w.WorkerAt(name).started_tasks.empty()) << name;
  // Healthy after all: the drain goes on when its pause is over.
  w.UnblockStartsOn("m-2");
  w.UnblockStartsOn("m-3");
  EXPECT_TRUE(w.RunUntilDrained("one", 120)) << w.BlockedReason("one");
  EXPECT_EQ(w.MaxReplicasDown("red"), 1U);
}

TEST(Drain, AStalledJobHoldsNoBudgetOfOtherTeams) {
  DrainTestEnvironment w;
  w.StartOneService(2);
  w.StartService("job-2", 2, "blue");
  w.AddMachine("m-2", "east");
  w.RunAndRecord(3);
  w.BlockStartsOfJob("job-1");
  w.ApplyPolicy(
      "(steps (settle-s \"2\") (image-wait-s \"0\") (replace-within-s \"10\") "
      "(replacement-tries \"1\")) (drains (drain \"one\" (machine \"m-1\")))");
  w.RunAndRecord(60);
  EXPECT_EQ(w.WorkerAt("m-1").ActiveTasks("job-2"), 0U);
  EXPECT_EQ(w.ReplicasDown("blue"), 0U);
  EXPECT_EQ(w.WorkerAt("m-1").ActiveTasks("job-1"), 1U);
}

TEST(Drain, MachinesThatAreLostUseUpTheBudget) {
  DrainTestEnvironment w;
  w.StartOneService(4);
  w.AddMachine("m-2", "west");
  w.StartService("job-2", 4);
  ASSERT_EQ(MachinesOf(w, "job-2"), std::vector<std::string>{"m-2"});
  w.AddMachine("m-3", "east");
  w.RunAndRecord(5);
  w.LoseMachine("m-2");
  // What was on it finds the room that was there for the drain.
  w.RunAndRecord(6);
  w.ApplyPolicy(
      "(budgets (team \"red\" (down \"1\"))) (steps (settle-s \"20\")) "
      "(drains (drain \"one\" (machine \"m-1\")))");
  w.RunAndRecord(10);
  EXPECT_EQ(w.WorkerAt("m-1").ActiveTasks("job-1"), 4U);
  EXPECT_NE(w.BlockedReason("one").find("budget allows no more"), std::string::npos)
      << w.BlockedReason("one");
}

// A machine goes silent between the choice and the stop.
TEST(Drain, WhatIsDownIsCountedAgainBeforeTheStop) {
  DrainTestEnvironment w;
  w.StartOneService(2);
  w.AddMachine("m-2", "west");
  w.StartService("job-2", 1, "red", 8);
  ASSERT_EQ(MachinesOf(w, "job-2"), std::vector<std::string>{"m-2"});
  w.AddMachine("m-3", "east");
  w.RunAndRecord(5);
  w.state.unavailable = true;
  w.DrainFirstMachine();
  w.RunAndRecord(3);
  ASSERT_EQ(w.leader->eviction_controller().eviction_tracker().evictions().size(), 1U);
  w.cloud.unavailable = true;  // so that what was on it stays down
  w.LoseMachine("m-2");
  w.RunAndRecord(4);
  w.state.unavailable = false;
  w.RunAndRecord(3);
  EXPECT_EQ(w.WorkerAt("m-1").ActiveTasks("job-1"), 2U);
}

// Durable before done: with the state service out no replica is stopped, and what was chosen
// holds no budget for ever.
TEST(Drain, WithTheStateServiceOutNoStepIsTaken) {
  DrainTestEnvironment w;
  w.StartOneServiceWithSpareMachine(2);
  w.state.unavailable = true;
  w.DrainFirstMachine();
  w.RunAndRecord(30);
  EXPECT_EQ(w.MaxReplicasDown("red"), 0U);
  EXPECT_LE(w.leader->ledger().CountUnavailable("red"), 1U);
  w.state.unavailable = false;
  EXPECT_TRUE(w.RunUntilDrained("one", 60)) << w.BlockedReason("one");
  EXPECT_EQ(w.MaxReplicasDown("red"), 1U);
}

// The leader ends between the choice and the stop: the next one finds the replica running.
TEST(Drain, ANewLeaderBeginsAStepAnewThatWasOnlyChosen) {
  DrainTestEnvironment w;
  w.StartOneServiceWithSpareMachine(2);
  w.state.unavailable = true;
  w.DrainFirstMachine();
  w.RunAndRecord(3);
  ASSERT_EQ(w.leader->eviction_controller().eviction_tracker().evictions().size(), 1U);
  const Eviction& chosen = w.leader->eviction_controller().eviction_tracker().evictions()[0];
  ASSERT_EQ(chosen.phase, EvictionPhase::kRecording);
  // Its row was written after all, but the leader never learns of it.
  const std::string row = EncodeEviction(
      {"one", "job-1", chosen.task_index, "m-1", chosen.attempt_number, w.clock.Wall()});
  w.state.keys["deckhall/pages/000099"] = {"[" + row + "]", ++w.state.revision, 0};
  w.state.unavailable = false;
  w.ReplaceLeader();
  ASSERT_EQ(w.leader->eviction_controller().eviction_tracker().evictions().size(), 1U);
  w.RunAndRecord(2);
  EXPECT_EQ(w.leader->eviction_controller().eviction_tracker().evictions().size(), 0U);
  EXPECT_EQ(w.WorkerAt("m-1").ActiveTasks("job-1"), 2U);
  EXPECT_TRUE(w.RunUntilDrained("one", 60)) << w.BlockedReason("one");
  EXPECT_EQ(w.MaxReplicasDown("red"), 1U);
  EXPECT_EQ(w.Progress("one").replicas_moved, 2U);
}

// The leader ends after the stop: the next one takes no step before the replacement is healthy.
TEST(Drain, ANewLeaderFollowsAStepThatWasTaken) {
  DrainTestEnvironment w;
  w.StartOneService(3);
  w.AddMachine("m-2", "east");
  w.BlockStartsOn("m-2");
  w.RunAndRecord(5);
  w.DrainFirstMachine();
  w.RunAndRecord(5);
  ASSERT_EQ(w.ReplicasDown("red"), 1U);
  for (int term = 0; term < 3; ++term) {
    w.ReplaceLeader();
    w.RunAndRecord(10);
    EXPECT_EQ(w.ReplicasDown("red"), 1U);
    EXPECT_EQ(w.leader->eviction_controller().eviction_tracker().evictions().size(), 1U);
  }
  w.UnblockStartsOn("m-2");
  EXPECT_TRUE(w.RunUntilDrained("one", 100)) << w.BlockedReason("one");
  EXPECT_EQ(w.MaxReplicasDown("red"), 1U);
  EXPECT_EQ(w.Progress("one").replicas_moved, 3U);
}

// What runs is not known yet: nothing is stopped, whatever the drain says.
TEST(Drain, ANewLeaderTakesNoStepBeforeItKnowsWhatIsDown) {
  DrainTestEnvironment w;
  w.StartOneService(2);
  w.AddMachine("m-2", "west");
  w.StartService("job-2", 1, "red", 8);
  ASSERT_EQ(MachinesOf(w, "job-2"), std::vector<std::string>{"m-2"});
  w.AddMachine("m-3", "east");
  w.RunAndRecord(5);
  // Hangs, and its cloud can't return it: what is on it stays unknown for a lease and more.
  w.WorkerAt("m-2").unresponsive = true;
  w.cloud.unavailable = true;
  w.DrainFirstMachine();
  w.ReplaceLeader();
  w.RunAndRecord(15);
  EXPECT_EQ(w.WorkerAt("m-1").ActiveTasks("job-1"), 2U);
  EXPECT_NE(w.BlockedReason("one").find("budget"), std::string::npos) << w.BlockedReason("one");
}

// A former leader's stop that comes late does nothing.
TEST(Drain, ALateStopOfAFormerLeaderIsShutOut) {
  DrainTestEnvironment w;
  w.StartOneServiceWithSpareMachine(2);
  w.WorkerAt("m-1").batches_to_delay = 1;
  w.WorkerAt("m-1").one_way_reachable = true;
  w.DrainFirstMachine();
  for (int i = 0; i < 10 && w.WorkerAt("m-1").delayed_batches.empty(); ++i) w.AdvanceTime(0.5);
  ASSERT_EQ(w.WorkerAt("m-1").delayed_batches.size(), 1U);
  w.WorkerAt("m-1").one_way_reachable = false;
  w.ReplaceLeader();
  w.RunAndRecord(4);
  const size_t before = w.WorkerAt("m-1").ActiveTasks("job-1");
  w.WorkerAt("m-1").DeliverDelayed();
  EXPECT_EQ(w.WorkerAt("m-1").ActiveTasks("job-1"), before);
  EXPECT_TRUE(w.RunUntilDrained("one", 60)) << w.BlockedReason("one");
  EXPECT_EQ(w.MaxReplicasDown("red"), 1U);
}

// Past its lease a leader stops nothing more: it wakes between the choice and the stop.
TEST(Drain, ALeaderPastItsLeaseTakesNoStep) {
  DrainTestEnvironment w;
  w.StartOneServiceWithSpareMachine(2);
  w.state.unavailable = true;
  w.DrainFirstMachine();
  w.RunAndRecord(3);
  ASSERT_EQ(w.leader->eviction_controller().eviction_tracker().evictions().size(), 1U);
  w.lease.valid_until = w.clock.now - 1;
  w.state.unavailable = false;
  w.AdvanceTime(5);
  EXPECT_EQ(w.WorkerAt("m-1").ActiveTasks("job-1"), 2U);
}

// Withdrawn with a stop on its way: the replica comes back, the machine stays and is used again.
TEST(Drain, WithdrawnWithAStopOnItsWay) {
  DrainTestEnvironment w;
  w.StartOneServiceWithSpareMachine(3);
  w.WorkerAt("m-1").batches_to_delay = 1;
  w.DrainFirstMachine();
  for (int i = 0; i < 10 && w.WorkerAt("m-1").delayed_batches.empty(); ++i) w.AdvanceTime(0.5);
  ASSERT_EQ(w.WorkerAt("m-1").delayed_batches.size(), 1U);
  w.ApplyPolicy(kOneDownAtATime);
  w.WorkerAt("m-1").DeliverDelayed();
  w.RunAndRecord(30);
  EXPECT_EQ(w.ReplicasDown("red"), 0U);
  EXPECT_FALSE(w.IsReleased("m-1"));
  EXPECT_TRUE(w.leader->eviction_controller().eviction_tracker().evictions().empty());
  EXPECT_GE(w.ActiveTasksOn("m-1"), 2U);
  w.LoseMachine("m-2");
  w.RunAndRecord(20);
  // Cordoned no more: it takes what is left.
  EXPECT_EQ(w.ActiveTasksOn("m-1"), 3U);
}

// Between the choice and the stop the operators change their minds.
TEST(Drain, WithdrawnOrPausedBeforeTheStopItStopsNothing) {
  for (const char* drains : {"(drains)", "(drains (drain \"one\" (machine \"m-1\") (paused)))"}) {
    DrainTestEnvironment w;
    w.StartOneServiceWithSpareMachine(2);
    w.state.unavailable = true;
    w.DrainFirstMachine();
    w.RunAndRecord(3);
    ASSERT_EQ(w.leader->eviction_controller().eviction_tracker().evictions().size(), 1U);
    w.ApplyPolicy(std::string(kOneDownAtATime) + drains);
    w.state.unavailable = false;
    w.RunAndRecord(10);
    EXPECT_EQ(w.MaxReplicasDown("red"), 0U) << drains;
    EXPECT_TRUE(w.leader->eviction_controller().eviction_tracker().evictions().empty());
  }
}

TEST(Drain, AWithdrawnDrainLeavesNoRowsAndOneThatGoesOnKeepsItsCount) {
  DrainTestEnvironment w;
  w.StartLeader();
  w.AddMachine("m-1", "east");
  w.AddMachine("m-2", "east");
  w.ApplyPolicy(
      WithDrains("(drain \"one\" (machine \"m-1\")) (drain \"two\" (machine \"m-2\") (paused))"));
  EXPECT_TRUE(w.RunUntilDrained("one", 30));
  w.RunAndRecord(10);
  w.ReplaceLeader();
  EXPECT_EQ(w.Progress("one").machines_done, 1U);
  EXPECT_EQ(w.Progress("two").state, DrainState::kPaused);
  w.DrainFirstMachine();
  w.RunAndRecord(10);
  std::string pages;
  for (const auto& [key, entry] : w.state.keys) pages += entry.value;
  EXPECT_NE(pages.find("\"drain\":\"one\""), std::string::npos);
  EXPECT_EQ(pages.find("\"drain\":\"two\""), std::string::npos);
}

TEST(Drain, ABudgetThatIsLoweredHoldsFromThenOn) {
  DrainTestEnvironment w;
  w.StartOneService(2);
  w.StartService("job-2", 2);
  w.AddMachine("m-2", "east");
  w.RunAndRecord(5);
  const std::string rest =
      "(steps (settle-s \"5\") (image-wait-s \"0\")) (drains (drain \"one\" (machine \"m-1\")))";
  w.ApplyPolicy("(budgets (team \"red\" (down \"2\"))) " + rest);
  w.RunAndRecord(3);
  EXPECT_EQ(w.MaxReplicasDown("red"), 2U);
  w.ApplyPolicy("(budgets (team \"red\" (down \"0\"))) " + rest);
  w.RunAndRecord(30);
  EXPECT_EQ(w.ActiveTasksOn("m-1"), 2U);
  EXPECT_NE(w.BlockedReason("one").find("0 of at most 0"), std::string::npos)
      << w.BlockedReason("one");
}

TEST(Drain, ASingleReplicaIsMovedIfItsBudgetAllowsOne) {
  DrainTestEnvironment w;
  w.StartOneService(1);
  w.StartService("job-2", 1, "blue");
  w.AddMachine("m-2", "east");
  w.RunAndRecord(5);
  w.ApplyPolicy(
      "(budgets (team \"red\" (down \"50%\")) (team \"blue\" (down \"50%\" at-least-one))) "
      "(steps (settle-s \"2\")) (drains (drain \"one\" (machine \"m-1\")))");
  w.RunAndRecord(30);
  EXPECT_EQ(w.WorkerAt("m-1").ActiveTasks("job-1"), 1U);
  EXPECT_EQ(w.WorkerAt("m-2").ActiveTasks("job-2"), 1U);
  EXPECT_EQ(w.MaxReplicasDown("red"), 0U);
}

// Whatever the budget allows, the last replica of a larger service is not stopped.
TEST(Drain, NeverTakesAllReplicasOfAServiceAtOnce) {
  DrainTestEnvironment w;
  w.StartOneServiceWithSpareMachine(3);
  w.ApplyPolicy(
      "(budgets (team \"red\" (down \"100%\"))) (steps (settle-s \"2\")) "
      "(drains (drain \"one\" (machine \"m-1\")))");
  EXPECT_TRUE(w.RunUntilDrained("one", 60)) << w.BlockedReason("one");
  EXPECT_EQ(w.MaxReplicasDown("red"), 2U);
}

TEST(Drain, KeepsToOneZoneAndApart) {
  DrainTestEnvironment w;
  w.StartLeader();
  w.AddMachine("m-1", "east");
  JobSpec bound = w.Service("job-1", 2);
  bound.team = "red";
  bound.single_zone = true;
  w.StartService(bound);
  const std::string home = w.WorkerAt("m-1").heartbeat.zone;
  w.AddMachine("m-2", "west");
  JobSpec apart = w.Service("job-2", 2);
  apart.team = "blue";
  apart.anti_affinity = true;
  w.StartService(apart);
  w.RunAndRecord(5);
  w.DrainFirstMachine();
  w.RunAndRecord(30);
  // One zone: only the other zone has room. Apart: the other zone has half of them already.
  EXPECT_EQ(w.WorkerAt("m-1").ActiveTasks("job-1"), 2U);
  EXPECT_EQ(w.WorkerAt("m-1").ActiveTasks("job-2"), 1U);
  EXPECT_NE(w.BlockedReason("one").find("no machine has room"), std::string::npos)
      << w.BlockedReason("one");
  w.AddMachine("m-3", home);
  EXPECT_TRUE(w.RunUntilDrained("one", 60)) << w.BlockedReason("one");
  EXPECT_EQ(w.WorkerAt("m-3").ActiveTasks("job-1"), 2U);
  EXPECT_EQ(w.WorkerAt("m-3").ActiveTasks("job-2"), 1U);
}

// A service that may only be on the type that is drained: its drain says so.
TEST(Drain, AJobWithNoOtherFittingMachineStays) {
  DrainTestEnvironment w;
  w.cloud.types.push_back(w.cloud.types[0]);
  w.cloud.types.back().name = "large";
  w.StartLeader();
  FakeWorker& large = w.AddMachine("m-1", "east");
  large.heartbeat.type = "large";
  w.LoseMachine("m-1");
  w.RunAndRecord(40);
  FakeWorker& l = w.workers.by_endpoint["m-8:1"];
  l.heartbeat.type = "large";
  l.heartbeat.machine = "m-8";
  l.heartbeat.endpoint = "m-8:1";
  l.heartbeat.zone = "east";
  l.heartbeat.agent_epoch = 1;
  w.RunAndRecord(3);
  JobSpec bound = w.Service("job-1", 2);
  bound.team = "red";
  bound.allowed_types = {"large"};
  w.StartService(bound);
  w.AddMachine("m-2", "east");
  w.ApplyPolicy(WithDrains("(drain \"type\" (type \"large\"))"));
  w.RunAndRecord(30);
  EXPECT_EQ(w.WorkerAt("m-8").ActiveTasks("job-1"), 2U);
  EXPECT_NE(w.BlockedReason("type").find("no machine has room"), std::string::npos)
      << w.BlockedReason("type");
}

TEST(Drain, OfAnUnknownTypeSaysSoAndClosesNothing) {
  DrainTestEnvironment w;
  w.StartLeader();
  w.AddMachine("m-1", "east");
  w.ApplyPolicy(WithDrains("(drain \"type\" (type \"bxo\"))"));
  w.RunAndRecord(10);
  EXPECT_NE(w.BlockedReason("type").find("no machine type bxo"), std::string::npos)
      << w.BlockedReason("type");
  EXPECT_NE(w.Progress("type").state, DrainState::kDone);
}

TEST(Drain, TasksOfArraysEndByThemselvesUntilTheDeadline) {
  DrainTestEnvironment w;
  w.StartLeader();
  w.cloud.out_of_capacity = false;
  FakeWorker& m = w.AddMachine("m-1", "east");
  EXPECT_EQ(w.Submit(w.Array("job-1", 3)).status, 201);
  w.RunAndRecord(3);
  w.ApplyPolicy(WithDrains("(drain \"one\" (machine \"m-1\") (deadline-s \"60\"))"));
  w.RunAndRecord(50);
  EXPECT_EQ(m.ActiveTasks("job-1"), 3U);
  EXPECT_NE(w.BlockedReason("one").find("run to their end"), std::string::npos);
  m.EndTask("job-1/0", ExitReason::kDone);
  w.RunAndRecord(20);
  EXPECT_TRUE(w.IsReleased("m-1"));
  const std::vector<std::string> now_on = MachinesOf(w, "job-1");
  ASSERT_EQ(now_on.size(), 1U);
  EXPECT_EQ(w.WorkerAt(now_on[0]).ActiveTasks("job-1"), 2U);
  EXPECT_EQ(w.Progress("one").tasks_stopped, 2U);
}

// The deadline counts from when the drain was first taken up, also under a later leader; what
// may be stopped is bounded, and a later leader does not know what was lost before.
TEST(Drain, TasksOfArraysAreStoppedWithinTheirBudget) {
  DrainTestEnvironment w;
  w.StartLeader();
  w.AddMachine("m-1", "east");
  EXPECT_EQ(w.Submit(w.Array("job-1", 4)).status, 201);
  w.RunAndRecord(3);
  w.AddMachine("m-2", "east");
  w.ApplyPolicy(
      "(budgets (team \"blue\" (stopped \"2\"))) (steps (window-s \"40\")) "
      "(drains (drain \"one\" (machine \"m-1\") (deadline-s \"20\")))");
  w.RunAndRecord(30);
  // The first window: losses before it are not known.
  EXPECT_EQ(w.WorkerAt("m-1").ActiveTasks("job-1"), 4U);
  w.RunAndRecord(15);
  EXPECT_EQ(w.WorkerAt("m-1").ActiveTasks("job-1"), 2U);
  EXPECT_NE(w.BlockedReason("one").find("no more stopped tasks"), std::string::npos)
      << w.BlockedReason("one");
  w.RunAndRecord(20);
  EXPECT_EQ(w.WorkerAt("m-1").ActiveTasks("job-1"), 2U);
  w.ReplaceLeader();
  w.RunAndRecord(30);
  EXPECT_EQ(w.WorkerAt("m-1").ActiveTasks("job-1"), 2U);
  w.RunAndRecord(20);
  EXPECT_EQ(w.WorkerAt("m-1").ActiveTasks("job-1"), 0U);
}

TEST(Drain, TasksOfArraysAreStoppedWithTimeToSave) {
  DrainTestEnvironment w;
  w.StartLeader();
  FakeWorker& m = w.AddMachine("m-1", "east");
  JobSpec spec = w.Array("job-1", 1);
  spec.checkpoint_interval_s = 10;
  spec.checkpoint_grace_s = 4;
  m.gang_jobs.insert("job-1");  // saves when it is stopped
  m.checkpoint_s = 4;
  EXPECT_EQ(w.Submit(spec).status, 201);
  w.RunAndRecord(3);
  ASSERT_EQ(m.ActiveTasks("job-1"), 1U);
  for (TaskStatus& t : m.heartbeat.tasks) t.state = TaskState::kRunning;
  w.RunAndRecord(2);
  w.AddMachine("m-2", "east");
  w.ApplyPolicy(WithDrains("(drain \"one\" (machine \"m-1\") (deadline-s \"0\"))"));
  w.RunAndRecord(2);
  ASSERT_EQ(m.ActiveTasks("job-1"), 1U);
  EXPECT_EQ(m.heartbeat.tasks[0].state, TaskState::kCheckpointing);
}

TEST(Drain, AGangIsStoppedWholeOrNotAtAll) {
  DrainTestEnvironment w;
  w.StartLeader();
  w.AddMachine("m-1", "east");
  w.AddMachine("m-2", "east");
  JobSpec spec = w.Array("job-1", 3, 4);
  spec.gang = true;
  spec.team = "red";
  EXPECT_EQ(w.Submit(spec).status, 201);
  w.RunAndRecord(5);
  ASSERT_EQ(w.WorkerAt("m-1").ActiveTasks("job-1") + w.WorkerAt("m-2").ActiveTasks("job-1"), 3U);
  w.AddMachine("m-3", "east");
  const std::string rest =
      "(steps (window-s \"5\")) (drains (drain \"one\" (machine \"m-1\") (deadline-s \"0\")))";
  w.ApplyPolicy("(budgets (team \"red\" (stopped \"2\"))) " + rest);
  w.RunAndRecord(20);
  EXPECT_EQ(w.WorkerAt("m-1").ActiveTasks("job-1") + w.WorkerAt("m-2").ActiveTasks("job-1"), 3U);
  w.ApplyPolicy("(budgets (team \"red\" (stopped \"3\"))) " + rest);
  w.RunAndRecord(20);
  EXPECT_EQ(w.WorkerAt("m-1").ActiveTasks("job-1"), 0U);
  EXPECT_EQ(w.WorkerAt("m-2").ActiveTasks("job-1") + w.WorkerAt("m-3").ActiveTasks("job-1"), 3U);
  EXPECT_TRUE(w.IsReleased("m-1"));
}

// A replica needs room that an array has: the array's budget allows no more stops.
TEST(Disruption, PreemptionByPriorityAsksTheBudgetOfArrays) {
  for (const bool allowed : {false, true}) {
    DrainTestEnvironment w;
    w.StartLeader();
    w.AddMachine("m-1", "east");
    JobSpec low = w.Array("job-1", 4);
    low.team = "red";
    EXPECT_EQ(w.Submit(low).status, 201);
    w.RunAndRecord(3);
    ASSERT_EQ(w.ActiveTasksOn("m-1"), 4U);
    w.ApplyPolicy(std::string("(budgets (team \"red\" (stopped \"") + (allowed ? "4" : "0") +
                  "\"))) (steps (window-s \"5\"))");
    w.RunAndRecord(8);
    JobSpec service = w.Service("job-2", 1, 8);
    service.team = "red";
    EXPECT_EQ(w.Submit(service).status, 201);
    w.RunAndRecord(10);
    EXPECT_EQ(w.WorkerAt("m-1").ActiveTasks("job-2"), allowed ? 1U : 0U);
  }
}

TEST(Disruption, AGuaranteeIsKeptWhateverTheBudgetSays) {
  DrainTestEnvironment w;
  w.StartLeader();
  w.AddMachine("m-1", "east");
  JobSpec red = w.Array("job-1", 4);
  red.team = "red";
  EXPECT_EQ(w.Submit(red).status, 201);
  w.RunAndRecord(3);
  ASSERT_EQ(w.ActiveTasksOn("m-1"), 4U);
  w.ApplyPolicy("(budgets (team \"red\" (stopped \"0\"))) (steps (window-s \"5\"))");
  w.RunAndRecord(8);
  EXPECT_EQ(w.Submit(w.Array("job-2", 2)).status, 201);
  w.RunAndRecord(15);
  EXPECT_EQ(w.WorkerAt("m-1").ActiveTasks("job-2"), 2U);
}

// Emptying thin machines to save money is voluntary as well.
TEST(Disruption, MovesToSaveMachinesAskTheLedger) {
  for (const bool allowed : {false, true}) {
    DrainTestEnvironment w;
    w.tuning.consolidation_spare_share = 0;
    w.tuning.headroom_machines = 0;
    w.tuning.headroom_share = 0;
    w.tuning.headroom_boots = 0;
    w.tuning.settled_s = 5;
    w.StartLeader();
    w.AddMachine("m-1", "east");
    w.StartService("job-1", 1, "red", 6);
    w.AddMachine("m-2", "east");
    w.StartService("job-2", 3);
    EXPECT_EQ(w.SendRequest(JobOperation::kCancel, "job-1").status, 200);
    w.StopTracking("job-1");
    w.ApplyPolicy(std::string("(budgets (team \"red\" (down \"") + (allowed ? "1" : "0") +
                  "\"))) (steps (settle-s \"1\"))");
    w.RunAndRecord(60);
    EXPECT_EQ(w.MaxReplicasDown("red") > 0, allowed);
  }
}

TEST(Ledger, CountsAReplicaOnceItRanForLongEnough) {
  DrainTestEnvironment w;
  w.StartLeader();
  w.ApplyPolicy("(steps (settle-s \"10\"))");
  w.AddMachine("m-1", "east");
  EXPECT_EQ(w.Submit(w.Service("job-1", 2)).status, 201);
  w.AdvanceTime(3);
  const JobIndex j = w.leader->job_store().Find("job-1");
  EXPECT_EQ(w.leader->ledger().CountAvailable(j), 0U);
  EXPECT_EQ(w.leader->ledger().CountUnavailable("blue"), 2U);
  w.AdvanceTime(10);
  EXPECT_EQ(w.leader->ledger().CountAvailable(j), 2U);
  EXPECT_EQ(w.leader->ledger().CountUnavailable("blue"), 0U);
  // Not heard: in doubt, and so down.
  w.WorkerAt("m-1").unresponsive = true;
  w.AdvanceTime(3);
  EXPECT_EQ(w.leader->ledger().CountUnavailable("blue"), 2U);
}

TEST(Ledger, AServiceThatNeverRanInThisTermUsesNoBudget) {
  DrainTestEnvironment w;
  w.StartLeader();
  w.ApplyPolicy("(budgets)");
  EXPECT_EQ(w.Submit(w.Service("job-1", 2)).status, 201);
  w.AdvanceTime(3);
  EXPECT_EQ(w.leader->ledger().CountUnavailable("blue"), 0U);
  // Under the next leader nobody knows any more whether it ran.
  w.ReplaceLeader();
  w.AdvanceTime(1);
  EXPECT_EQ(w.leader->ledger().CountUnavailable("blue"), 2U);
}

TEST(Ledger, AJobThatIsOverUsesNoBudget) {
  DrainTestEnvironment w;
  w.StartLeader();
  w.ApplyPolicy("(steps (settle-s \"1\"))");
  w.AddMachine("m-1", "east");
  w.StartService("job-1", 2, "blue");
  w.LoseMachine("m-1");
  w.AdvanceTime(10);
  EXPECT_EQ(w.leader->ledger().CountUnavailable("blue"), 2U);
  EXPECT_EQ(w.SendRequest(JobOperation::kCancel, "job-1").status, 200);
  w.AdvanceTime(1);
  EXPECT_EQ(w.leader->ledger().CountUnavailable("blue"), 0U);
}

}  // namespace
}  // namespace deckhall
