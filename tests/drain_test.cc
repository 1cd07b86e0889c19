// Drains under one leader: steps, budgets, and what may happen in between.
#include <gtest/gtest.h>

#include "drain_world.h"

namespace deckhall {
namespace {

std::string WithDrains(const std::string& drains) {
  return std::string(kOneDownAtATime) + "(drains " + drains + ")";
}

// The machines with replicas of the service, in order.
std::vector<std::string> MachinesOf(const DrainWorld& w, const std::string& job) {
  std::vector<std::string> out;
  for (const auto& [endpoint, worker] : w.workers.at) {
    if (worker.Count(job) > 0) out.push_back(worker.report.machine);
  }
  return out;
}

TEST(Drain, EmptiesAMachineWithinTheBudgetAndReturnsIt) {
  DrainWorld w;
  w.Lead();
  for (const char* name : {"m-1", "m-2"}) w.Machine(name, "east");
  w.StartService("job-1", 4);
  w.StartService("job-2", 2);
  w.Machine("m-3", "east");
  w.Machine("m-4", "west");
  w.Watch(5);
  w.DrainOne();
  const size_t before = w.OnMachine("m-1");
  ASSERT_GT(before, 0U);
  EXPECT_TRUE(w.WatchUntilDone("one", 120)) << w.Why("one");
  EXPECT_TRUE(w.Returned("m-1"));
  EXPECT_EQ(w.MostDown("red"), 1U);
  EXPECT_EQ(w.Down("red"), 0U);
  EXPECT_EQ(w.Progress("one").machines_done, 1U);
  EXPECT_EQ(w.Progress("one").replicas_moved, before);
  EXPECT_FALSE(w.Returned("m-2"));
}

TEST(Drain, NothingIsTouchedWithoutAPolicy) {
  DrainWorld w;
  w.OneService(2);
  w.Watch(30);
  EXPECT_FALSE(w.leader->ledger().active());
  EXPECT_EQ(w.leader->ledger().work_units(), 0U);
  EXPECT_EQ(w.Down("red"), 0U);
}

TEST(Drain, WaitsUntilThePolicyInForceWasReadInThisTerm) {
  DrainWorld w;
  w.OneService(2);
  w.Machine("m-2", "east");
  w.Policy(WithDrains("(drain \"one\" (machine \"m-1\"))"), false);
  w.Watch(30);
  EXPECT_EQ(w.MostDown("red"), 0U);
  EXPECT_NE(w.Why("one").find("policy in force"), std::string::npos);
  w.NextLeader();
  EXPECT_TRUE(w.WatchUntilDone("one", 60)) << w.Why("one");
}

// A cordoned machine takes no new work from the moment the drain is known.
TEST(Drain, ACordonedMachineTakesNoNewTasks) {
  DrainWorld w;
  w.Lead();
  w.Machine("m-1", "east");
  w.Machine("m-2", "east");
  w.Policy(WithDrains("(drain \"one\" (machine \"m-1\") (paused))"));
  w.StartService("job-1", 4);
  EXPECT_EQ(w.OnMachine("m-1"), 0U);
  EXPECT_EQ(w.OnMachine("m-2"), 4U);
  w.Watch(20);
  // Paused: it is kept out of use, but not given back.
  EXPECT_FALSE(w.Returned("m-1"));
  w.DrainOne();
  EXPECT_TRUE(w.WatchUntilDone("one", 20));
  EXPECT_TRUE(w.Returned("m-1"));
}

// Two drains of two teams overlap in a machine and begin at different times.
TEST(Drain, TwoDrainsThatOverlapShareTheBudgets) {
  DrainWorld w;
  w.Lead();
  for (const char* name : {"m-1", "m-2", "m-3"}) w.Machine(name, "east");
  w.StartService("job-1", 4);
  w.StartService("job-2", 4, "blue");
  w.StartService("job-3", 4);
  for (const char* name : {"m-5", "m-6", "m-7"}) w.Machine(name, "west");
  w.Watch(5);
  w.Policy(WithDrains("(drain \"one\" (machine \"m-1\") (machine \"m-2\"))"));
  w.Watch(10);
  w.Policy(
      WithDrains("(drain \"one\" (machine \"m-1\") (machine \"m-2\")) "
                 "(drain \"two\" (machine \"m-2\") (machine \"m-3\"))"));
  EXPECT_TRUE(w.WatchUntilDone("two", 200)) << w.Why("two");
  EXPECT_TRUE(w.WatchUntilDone("one", 200)) << w.Why("one");
  EXPECT_EQ(w.MostDown("red"), 1U);
  EXPECT_EQ(w.MostDown("blue"), 1U);
  EXPECT_TRUE(w.Returned("m-2"));
}

// Both want the one replica of the same team that may be down: each gets its turn.
TEST(Drain, DrainsThatWantOneBudgetTakeTurns) {
  DrainWorld w;
  w.OneService(4);
  w.Machine("m-2", "west");
  w.StartService("job-2", 4);
  for (const char* name : {"m-5", "m-6", "m-7"}) w.Machine(name, "east");
  w.Watch(5);
  const std::string first = MachinesOf(w, "job-1").front();
  const std::string second = MachinesOf(w, "job-2").back();
  ASSERT_NE(first, second);
  w.Policy(WithDrains("(drain \"one\" (machine \"" + first + "\")) (drain \"two\" (machine \"" +
                      second + "\"))"));
  double until = w.clock.now + 60;
  while (w.clock.now < until &&
         w.Progress("one").replicas_moved + w.Progress("two").replicas_moved < 4) {
    w.Watch(0.5);
  }
  EXPECT_EQ(w.Progress("one").replicas_moved, 2U);
  EXPECT_EQ(w.Progress("two").replicas_moved, 2U);
  EXPECT_EQ(w.MostDown("red"), 1U);
}

TEST(Drain, SeveralTeamsAreMovedAtTheSameTime) {
  DrainWorld w;
  w.OneService(2);
  w.StartService("job-2", 2, "blue");
  w.Machine("m-2", "east");
  w.Watch(5);
  w.DrainOne();
  size_t together = 0;
  for (int i = 0; i < 40; ++i) {
    w.Watch(0.5);
    together = std::max(together, w.Down("red") + w.Down("blue"));
  }
  EXPECT_EQ(together, 2U);
  EXPECT_TRUE(w.WatchUntilDone("one", 60)) << w.Why("one");
}

TEST(Drain, AClassHasABudgetOfItsOwnBesideItsTeams) {
  DrainWorld w;
  w.Lead();
  w.Machine("m-1", "east");
  JobSpec other = w.Service("job-1", 2);
  other.team = "red";
  other.job_class = "lobby";
  w.StartService(other);
  w.StartService("job-2", 2);
  w.Machine("m-2", "east");
  w.Watch(5);
  w.Policy(
      "(budgets (team \"red\" (down \"4\")) (class \"red\" \"lobby\" (down \"0\"))) "
      "(steps (settle-s \"2\") (image-wait-s \"0\")) (drains (drain \"one\" (machine \"m-1\")))");
  w.Watch(30);
  EXPECT_EQ(w.At("m-1").Count("job-1"), 2U);
  EXPECT_EQ(w.At("m-1").Count("job-2"), 0U);
  EXPECT_NE(w.Why("one").find("red lobby, 0 of at most 0"), std::string::npos) << w.Why("one");
}

// The whole fleet: machines that come after the beginning replace those that were there.
TEST(Drain, OfEverythingReplacesTheFleet) {
  DrainWorld w;
  w.Lead();
  w.cloud.refuse = false;
  w.Machine("m-1", "east");
  w.Machine("m-2", "west");
  w.StartService("job-1", 4);
  w.StartService("job-2", 3);
  w.Watch(5);
  w.Policy(WithDrains("(drain \"all\" (everything))"));
  EXPECT_TRUE(w.WatchUntilDone("all", 300)) << w.Why("all");
  EXPECT_TRUE(w.Returned("m-1"));
  EXPECT_TRUE(w.Returned("m-2"));
  EXPECT_EQ(w.MostDown("red"), 1U);
  EXPECT_EQ(w.Down("red"), 0U);
}

// A zone is emptied, nothing is rented there meanwhile, and the room is rented elsewhere.
TEST(Drain, OfAZoneRentsRoomInTheOthers) {
  DrainWorld w;
  w.Lead();
  w.cloud.refuse = false;
  w.Machine("m-1", "east");
  w.StartService("job-1", 4);
  w.Watch(40);
  w.cloud.zones.clear();
  w.Policy(WithDrains("(drain \"zone\" (zone \"east\"))"));
  EXPECT_TRUE(w.WatchUntilDone("zone", 200)) << w.Why("zone");
  EXPECT_EQ(w.MostDown("red"), 1U);
  EXPECT_EQ(std::count(w.cloud.zones.begin(), w.cloud.zones.end(), "east"), 0);
  for (const std::string& machine : MachinesOf(w, "job-1")) {
    EXPECT_EQ(w.At(machine).report.zone, "west");
  }
  // Closed as long as the drain is wanted.
  w.StartService("job-2", 4);
  EXPECT_EQ(std::count(w.cloud.zones.begin(), w.cloud.zones.end(), "east"), 0);
}

TEST(Drain, StallsVisiblyWithoutRoomAndStopsNothing) {
  DrainWorld w;
  w.OneService(4);
  w.DrainOne();
  w.Watch(60);
  EXPECT_EQ(w.MostDown("red"), 0U);
  EXPECT_NE(w.Why("one").find("no machine has room"), std::string::npos) << w.Why("one");
  EXPECT_GT(w.clock.Wall() - w.Progress("one").waiting_since_wall, 50);
  // The cloud is back.
  w.cloud.refuse = false;
  EXPECT_TRUE(w.WatchUntilDone("one", 120)) << w.Why("one");
  EXPECT_EQ(w.MostDown("red"), 1U);
}

// Room for the replacement is kept from others while the replica stops.
TEST(Drain, TheReplacementsPlaceIsHeld) {
  DrainWorld w;
  w.Lead();
  w.Machine("m-1", "east");
  w.StartService("job-1", 1, "red", 8);
  w.Machine("m-2", "east");
  w.Watch(5);
  w.At("m-1").hold = 1;  // the stop takes its time
  w.DrainOne();
  for (int i = 0; i < 10 && w.At("m-1").held.empty(); ++i) w.Pass(0.5);
  // Would take the room if it could.
  EXPECT_EQ(w.Submit(w.Array("job-9", 4)).status, 201);
  w.Watch(5);
  EXPECT_EQ(w.At("m-2").Count("job-9"), 0U);
  EXPECT_EQ(w.At("m-2").Count("job-1"), 1U);
}

// The replacement never runs: it is tried elsewhere, then left to the ordinary placement; the
// drain stalls visibly and takes no further replica of the job, though the budget would allow it.
TEST(Drain, AReplacementThatNeverTurnsHealthyStallsItsJob) {
  DrainWorld w;
  w.OneService(3);
  for (const char* name : {"m-2", "m-3"}) {
    w.Machine(name, "east");
    w.Break(name);
  }
  w.Watch(3);
  w.Policy(
      "(budgets (team \"red\" (down \"2\"))) (steps (settle-s \"3\") (image-wait-s \"0\") "
      "(replace-within-s \"10\") (replacement-tries \"2\") (at-once \"1\")) "
      "(drains (drain \"one\" (machine \"m-1\")))");
  w.Watch(100);
  EXPECT_EQ(w.MostDown("red"), 1U);
  EXPECT_EQ(w.Progress("one").evictions_given_up, 1U);
  EXPECT_NE(w.Why("one").find("does not become healthy"), std::string::npos) << w.Why("one");
  // It was tried on more than one machine.
  for (const char* name : {"m-2", "m-3"}) EXPECT_FALSE(w.At(name).started.empty()) << name;
  // Healthy after all: the drain goes on when its pause is over.
  w.Mend("m-2");
  w.Mend("m-3");
  EXPECT_TRUE(w.WatchUntilDone("one", 120)) << w.Why("one");
  EXPECT_EQ(w.MostDown("red"), 1U);
}

TEST(Drain, AStalledJobHoldsNoBudgetOfOtherTeams) {
  DrainWorld w;
  w.OneService(2);
  w.StartService("job-2", 2, "blue");
  w.Machine("m-2", "east");
  w.Watch(3);
  w.BreakJob("job-1");
  w.Policy(
      "(steps (settle-s \"2\") (image-wait-s \"0\") (replace-within-s \"10\") "
      "(replacement-tries \"1\")) (drains (drain \"one\" (machine \"m-1\")))");
  w.Watch(60);
  EXPECT_EQ(w.At("m-1").Count("job-2"), 0U);
  EXPECT_EQ(w.Down("blue"), 0U);
  EXPECT_EQ(w.At("m-1").Count("job-1"), 1U);
}

TEST(Drain, MachinesThatAreLostUseUpTheBudget) {
  DrainWorld w;
  w.OneService(4);
  w.Machine("m-2", "west");
  w.StartService("job-2", 4);
  ASSERT_EQ(MachinesOf(w, "job-2"), std::vector<std::string>{"m-2"});
  w.Machine("m-3", "east");
  w.Watch(5);
  w.Lose("m-2");
  // What was on it finds the room that was there for the drain.
  w.Watch(6);
  w.Policy(
      "(budgets (team \"red\" (down \"1\"))) (steps (settle-s \"20\")) "
      "(drains (drain \"one\" (machine \"m-1\")))");
  w.Watch(10);
  EXPECT_EQ(w.At("m-1").Count("job-1"), 4U);
  EXPECT_NE(w.Why("one").find("budget allows no more"), std::string::npos) << w.Why("one");
}

// A machine goes silent between the choice and the stop.
TEST(Drain, WhatIsDownIsCountedAgainBeforeTheStop) {
  DrainWorld w;
  w.OneService(2);
  w.Machine("m-2", "west");
  w.StartService("job-2", 1, "red", 8);
  ASSERT_EQ(MachinesOf(w, "job-2"), std::vector<std::string>{"m-2"});
  w.Machine("m-3", "east");
  w.Watch(5);
  w.state.refuse = true;
  w.DrainOne();
  w.Watch(3);
  ASSERT_EQ(w.leader->eviction_controller().eviction_tracker().evictions().size(), 1U);
  w.cloud.out = true;  // so that what was on it stays down
  w.Lose("m-2");
  w.Watch(4);
  w.state.refuse = false;
  w.Watch(3);
  EXPECT_EQ(w.At("m-1").Count("job-1"), 2U);
}

// Durable before done: with the state service out no replica is stopped, and what was chosen
// holds no budget for ever.
TEST(Drain, WithTheStateServiceOutNoStepIsTaken) {
  DrainWorld w;
  w.OneServiceWithRoomBeside(2);
  w.state.refuse = true;
  w.DrainOne();
  w.Watch(30);
  EXPECT_EQ(w.MostDown("red"), 0U);
  EXPECT_LE(w.leader->ledger().CountUnavailable("red"), 1U);
  w.state.refuse = false;
  EXPECT_TRUE(w.WatchUntilDone("one", 60)) << w.Why("one");
  EXPECT_EQ(w.MostDown("red"), 1U);
}

// The leader ends between the choice and the stop: the next one finds the replica running.
TEST(Drain, ANewLeaderBeginsAStepAnewThatWasOnlyChosen) {
  DrainWorld w;
  w.OneServiceWithRoomBeside(2);
  w.state.refuse = true;
  w.DrainOne();
  w.Watch(3);
  ASSERT_EQ(w.leader->eviction_controller().eviction_tracker().evictions().size(), 1U);
  const Eviction& chosen = w.leader->eviction_controller().eviction_tracker().evictions()[0];
  ASSERT_EQ(chosen.phase, EvictionPhase::kRecording);
  // Its row was written after all, but the leader never learns of it.
  const std::string row = EncodeEviction(
      {"one", "job-1", chosen.task_index, "m-1", chosen.attempt_number, w.clock.Wall()});
  w.state.keys["deckhall/pages/000099"] = {"[" + row + "]", ++w.state.revision, 0};
  w.state.refuse = false;
  w.NextLeader();
  ASSERT_EQ(w.leader->eviction_controller().eviction_tracker().evictions().size(), 1U);
  w.Watch(2);
  EXPECT_EQ(w.leader->eviction_controller().eviction_tracker().evictions().size(), 0U);
  EXPECT_EQ(w.At("m-1").Count("job-1"), 2U);
  EXPECT_TRUE(w.WatchUntilDone("one", 60)) << w.Why("one");
  EXPECT_EQ(w.MostDown("red"), 1U);
  EXPECT_EQ(w.Progress("one").replicas_moved, 2U);
}

// The leader ends after the stop: the next one takes no step before the replacement is healthy.
TEST(Drain, ANewLeaderFollowsAStepThatWasTaken) {
  DrainWorld w;
  w.OneService(3);
  w.Machine("m-2", "east");
  w.Break("m-2");
  w.Watch(5);
  w.DrainOne();
  w.Watch(5);
  ASSERT_EQ(w.Down("red"), 1U);
  for (int term = 0; term < 3; ++term) {
    w.NextLeader();
    w.Watch(10);
    EXPECT_EQ(w.Down("red"), 1U);
    EXPECT_EQ(w.leader->eviction_controller().eviction_tracker().evictions().size(), 1U);
  }
  w.Mend("m-2");
  EXPECT_TRUE(w.WatchUntilDone("one", 100)) << w.Why("one");
  EXPECT_EQ(w.MostDown("red"), 1U);
  EXPECT_EQ(w.Progress("one").replicas_moved, 3U);
}

// What runs is not known yet: nothing is stopped, whatever the drain says.
TEST(Drain, ANewLeaderTakesNoStepBeforeItKnowsWhatIsDown) {
  DrainWorld w;
  w.OneService(2);
  w.Machine("m-2", "west");
  w.StartService("job-2", 1, "red", 8);
  ASSERT_EQ(MachinesOf(w, "job-2"), std::vector<std::string>{"m-2"});
  w.Machine("m-3", "east");
  w.Watch(5);
  // Hangs, and its cloud can't return it: what is on it stays unknown for a lease and more.
  w.At("m-2").silent = true;
  w.cloud.out = true;
  w.DrainOne();
  w.NextLeader();
  w.Watch(15);
  EXPECT_EQ(w.At("m-1").Count("job-1"), 2U);
  EXPECT_NE(w.Why("one").find("budget"), std::string::npos) << w.Why("one");
}

// A former leader's stop that comes late does nothing.
TEST(Drain, ALateStopOfAFormerLeaderIsShutOut) {
  DrainWorld w;
  w.OneServiceWithRoomBeside(2);
  w.At("m-1").hold = 1;
  w.At("m-1").deaf = true;
  w.DrainOne();
  for (int i = 0; i < 10 && w.At("m-1").held.empty(); ++i) w.Pass(0.5);
  ASSERT_EQ(w.At("m-1").held.size(), 1U);
  w.At("m-1").deaf = false;
  w.NextLeader();
  w.Watch(4);
  const size_t before = w.At("m-1").Count("job-1");
  w.At("m-1").Late();
  EXPECT_EQ(w.At("m-1").Count("job-1"), before);
  EXPECT_TRUE(w.WatchUntilDone("one", 60)) << w.Why("one");
  EXPECT_EQ(w.MostDown("red"), 1U);
}

// Past its lease a leader stops nothing more: it wakes between the choice and the stop.
TEST(Drain, ALeaderPastItsLeaseTakesNoStep) {
  DrainWorld w;
  w.OneServiceWithRoomBeside(2);
  w.state.refuse = true;
  w.DrainOne();
  w.Watch(3);
  ASSERT_EQ(w.leader->eviction_controller().eviction_tracker().evictions().size(), 1U);
  w.lease.until = w.clock.now - 1;
  w.state.refuse = false;
  w.Pass(5);
  EXPECT_EQ(w.At("m-1").Count("job-1"), 2U);
}

// Withdrawn with a stop on its way: the replica comes back, the machine stays and is used again.
TEST(Drain, WithdrawnWithAStopOnItsWay) {
  DrainWorld w;
  w.OneServiceWithRoomBeside(3);
  w.At("m-1").hold = 1;
  w.DrainOne();
  for (int i = 0; i < 10 && w.At("m-1").held.empty(); ++i) w.Pass(0.5);
  ASSERT_EQ(w.At("m-1").held.size(), 1U);
  w.Policy(kOneDownAtATime);
  w.At("m-1").Late();
  w.Watch(30);
  EXPECT_EQ(w.Down("red"), 0U);
  EXPECT_FALSE(w.Returned("m-1"));
  EXPECT_TRUE(w.leader->eviction_controller().eviction_tracker().evictions().empty());
  EXPECT_GE(w.OnMachine("m-1"), 2U);
  w.Lose("m-2");
  w.Watch(20);
  // Cordoned no more: it takes what is left.
  EXPECT_EQ(w.OnMachine("m-1"), 3U);
}

// Between the choice and the stop the operators change their minds.
TEST(Drain, WithdrawnOrPausedBeforeTheStopItStopsNothing) {
  for (const char* drains : {"(drains)", "(drains (drain \"one\" (machine \"m-1\") (paused)))"}) {
    DrainWorld w;
    w.OneServiceWithRoomBeside(2);
    w.state.refuse = true;
    w.DrainOne();
    w.Watch(3);
    ASSERT_EQ(w.leader->eviction_controller().eviction_tracker().evictions().size(), 1U);
    w.Policy(std::string(kOneDownAtATime) + drains);
    w.state.refuse = false;
    w.Watch(10);
    EXPECT_EQ(w.MostDown("red"), 0U) << drains;
    EXPECT_TRUE(w.leader->eviction_controller().eviction_tracker().evictions().empty());
  }
}

TEST(Drain, AWithdrawnDrainLeavesNoRowsAndOneThatGoesOnKeepsItsCount) {
  DrainWorld w;
  w.Lead();
  w.Machine("m-1", "east");
  w.Machine("m-2", "east");
  w.Policy(
      WithDrains("(drain \"one\" (machine \"m-1\")) (drain \"two\" (machine \"m-2\") (paused))"));
  EXPECT_TRUE(w.WatchUntilDone("one", 30));
  w.Watch(10);
  w.NextLeader();
  EXPECT_EQ(w.Progress("one").machines_done, 1U);
  EXPECT_EQ(w.Progress("two").state, DrainState::kPaused);
  w.DrainOne();
  w.Watch(10);
  std::string pages;
  for (const auto& [key, entry] : w.state.keys) pages += entry.value;
  EXPECT_NE(pages.find("\"drain\":\"one\""), std::string::npos);
  EXPECT_EQ(pages.find("\"drain\":\"two\""), std::string::npos);
}

TEST(Drain, ABudgetThatIsLoweredHoldsFromThenOn) {
  DrainWorld w;
  w.OneService(2);
  w.StartService("job-2", 2);
  w.Machine("m-2", "east");
  w.Watch(5);
  const std::string rest =
      "(steps (settle-s \"5\") (image-wait-s \"0\")) (drains (drain \"one\" (machine \"m-1\")))";
  w.Policy("(budgets (team \"red\" (down \"2\"))) " + rest);
  w.Watch(3);
  EXPECT_EQ(w.MostDown("red"), 2U);
  w.Policy("(budgets (team \"red\" (down \"0\"))) " + rest);
  w.Watch(30);
  EXPECT_EQ(w.OnMachine("m-1"), 2U);
  EXPECT_NE(w.Why("one").find("0 of at most 0"), std::string::npos) << w.Why("one");
}

TEST(Drain, ASingleReplicaIsMovedIfItsBudgetAllowsOne) {
  DrainWorld w;
  w.OneService(1);
  w.StartService("job-2", 1, "blue");
  w.Machine("m-2", "east");
  w.Watch(5);
  w.Policy(
      "(budgets (team \"red\" (down \"50%\")) (team \"blue\" (down \"50%\" at-least-one))) "
      "(steps (settle-s \"2\")) (drains (drain \"one\" (machine \"m-1\")))");
  w.Watch(30);
  EXPECT_EQ(w.At("m-1").Count("job-1"), 1U);
  EXPECT_EQ(w.At("m-2").Count("job-2"), 1U);
  EXPECT_EQ(w.MostDown("red"), 0U);
}

// Whatever the budget allows, the last replica of a larger service is not stopped.
TEST(Drain, NeverTakesAllReplicasOfAServiceAtOnce) {
  DrainWorld w;
  w.OneServiceWithRoomBeside(3);
  w.Policy(
      "(budgets (team \"red\" (down \"100%\"))) (steps (settle-s \"2\")) "
      "(drains (drain \"one\" (machine \"m-1\")))");
  EXPECT_TRUE(w.WatchUntilDone("one", 60)) << w.Why("one");
  EXPECT_EQ(w.MostDown("red"), 2U);
}

TEST(Drain, KeepsToOneZoneAndApart) {
  DrainWorld w;
  w.Lead();
  w.Machine("m-1", "east");
  JobSpec bound = w.Service("job-1", 2);
  bound.team = "red";
  bound.single_zone = true;
  w.StartService(bound);
  const std::string home = w.At("m-1").report.zone;
  w.Machine("m-2", "west");
  JobSpec apart = w.Service("job-2", 2);
  apart.team = "blue";
  apart.anti_affinity = true;
  w.StartService(apart);
  w.Watch(5);
  w.DrainOne();
  w.Watch(30);
  // One zone: only the other zone has room. Apart: the other zone has half of them already.
  EXPECT_EQ(w.At("m-1").Count("job-1"), 2U);
  EXPECT_EQ(w.At("m-1").Count("job-2"), 1U);
  EXPECT_NE(w.Why("one").find("no machine has room"), std::string::npos) << w.Why("one");
  w.Machine("m-3", home);
  EXPECT_TRUE(w.WatchUntilDone("one", 60)) << w.Why("one");
  EXPECT_EQ(w.At("m-3").Count("job-1"), 2U);
  EXPECT_EQ(w.At("m-3").Count("job-2"), 1U);
}

// A service that may only be on the type that is drained: its drain says so.
TEST(Drain, AJobWithNoOtherFittingMachineStays) {
  DrainWorld w;
  w.cloud.types.push_back(w.cloud.types[0]);
  w.cloud.types.back().name = "large";
  w.Lead();
  FakeWorker& large = w.Machine("m-1", "east");
  large.report.type = "large";
  w.Lose("m-1");
  w.Watch(40);
  FakeWorker& l = w.workers.at["m-8:1"];
  l.report.type = "large";
  l.report.machine = "m-8";
  l.report.endpoint = "m-8:1";
  l.report.zone = "east";
  l.report.agent_epoch = 1;
  w.Watch(3);
  JobSpec bound = w.Service("job-1", 2);
  bound.team = "red";
  bound.allowed_types = {"large"};
  w.StartService(bound);
  w.Machine("m-2", "east");
  w.Policy(WithDrains("(drain \"type\" (type \"large\"))"));
  w.Watch(30);
  EXPECT_EQ(w.At("m-8").Count("job-1"), 2U);
  EXPECT_NE(w.Why("type").find("no machine has room"), std::string::npos) << w.Why("type");
}

TEST(Drain, OfAnUnknownTypeSaysSoAndClosesNothing) {
  DrainWorld w;
  w.Lead();
  w.Machine("m-1", "east");
  w.Policy(WithDrains("(drain \"type\" (type \"bxo\"))"));
  w.Watch(10);
  EXPECT_NE(w.Why("type").find("no machine type bxo"), std::string::npos) << w.Why("type");
  EXPECT_NE(w.Progress("type").state, DrainState::kDone);
}

TEST(Drain, TasksOfArraysEndByThemselvesUntilTheDeadline) {
  DrainWorld w;
  w.Lead();
  w.cloud.refuse = false;
  FakeWorker& m = w.Machine("m-1", "east");
  EXPECT_EQ(w.Submit(w.Array("job-1", 3)).status, 201);
  w.Watch(3);
  w.Policy(WithDrains("(drain \"one\" (machine \"m-1\") (deadline-s \"60\"))"));
  w.Watch(50);
  EXPECT_EQ(m.Count("job-1"), 3U);
  EXPECT_NE(w.Why("one").find("run to their end"), std::string::npos);
  m.End("job-1/0", ExitReason::kDone);
  w.Watch(20);
  EXPECT_TRUE(w.Returned("m-1"));
  const std::vector<std::string> now_on = MachinesOf(w, "job-1");
  ASSERT_EQ(now_on.size(), 1U);
  EXPECT_EQ(w.At(now_on[0]).Count("job-1"), 2U);
  EXPECT_EQ(w.Progress("one").tasks_stopped, 2U);
}

// The deadline counts from when the drain was first taken up, also under a later leader; what
// may be stopped is bounded, and a later leader does not know what was lost before.
TEST(Drain, TasksOfArraysAreStoppedWithinTheirBudget) {
  DrainWorld w;
  w.Lead();
  w.Machine("m-1", "east");
  EXPECT_EQ(w.Submit(w.Array("job-1", 4)).status, 201);
  w.Watch(3);
  w.Machine("m-2", "east");
  w.Policy(
      "(budgets (team \"blue\" (stopped \"2\"))) (steps (window-s \"40\")) "
      "(drains (drain \"one\" (machine \"m-1\") (deadline-s \"20\")))");
  w.Watch(30);
  // The first window: losses before it are not known.
  EXPECT_EQ(w.At("m-1").Count("job-1"), 4U);
  w.Watch(15);
  EXPECT_EQ(w.At("m-1").Count("job-1"), 2U);
  EXPECT_NE(w.Why("one").find("no more stopped tasks"), std::string::npos) << w.Why("one");
  w.Watch(20);
  EXPECT_EQ(w.At("m-1").Count("job-1"), 2U);
  w.NextLeader();
  w.Watch(30);
  EXPECT_EQ(w.At("m-1").Count("job-1"), 2U);
  w.Watch(20);
  EXPECT_EQ(w.At("m-1").Count("job-1"), 0U);
}

TEST(Drain, TasksOfArraysAreStoppedWithTimeToSave) {
  DrainWorld w;
  w.Lead();
  FakeWorker& m = w.Machine("m-1", "east");
  JobSpec spec = w.Array("job-1", 1);
  spec.checkpoint_interval_s = 10;
  spec.checkpoint_grace_s = 4;
  m.gangs.insert("job-1");  // saves when it is stopped
  m.save_s = 4;
  EXPECT_EQ(w.Submit(spec).status, 201);
  w.Watch(3);
  ASSERT_EQ(m.Count("job-1"), 1U);
  for (TaskStatus& t : m.report.tasks) t.state = TaskState::kRunning;
  w.Watch(2);
  w.Machine("m-2", "east");
  w.Policy(WithDrains("(drain \"one\" (machine \"m-1\") (deadline-s \"0\"))"));
  w.Watch(2);
  ASSERT_EQ(m.Count("job-1"), 1U);
  EXPECT_EQ(m.report.tasks[0].state, TaskState::kCheckpointing);
}

TEST(Drain, AGangIsStoppedWholeOrNotAtAll) {
  DrainWorld w;
  w.Lead();
  w.Machine("m-1", "east");
  w.Machine("m-2", "east");
  JobSpec spec = w.Array("job-1", 3, 4);
  spec.gang = true;
  spec.team = "red";
  EXPECT_EQ(w.Submit(spec).status, 201);
  w.Watch(5);
  ASSERT_EQ(w.At("m-1").Count("job-1") + w.At("m-2").Count("job-1"), 3U);
  w.Machine("m-3", "east");
  const std::string rest =
      "(steps (window-s \"5\")) (drains (drain \"one\" (machine \"m-1\") (deadline-s \"0\")))";
  w.Policy("(budgets (team \"red\" (stopped \"2\"))) " + rest);
  w.Watch(20);
  EXPECT_EQ(w.At("m-1").Count("job-1") + w.At("m-2").Count("job-1"), 3U);
  w.Policy("(budgets (team \"red\" (stopped \"3\"))) " + rest);
  w.Watch(20);
  EXPECT_EQ(w.At("m-1").Count("job-1"), 0U);
  EXPECT_EQ(w.At("m-2").Count("job-1") + w.At("m-3").Count("job-1"), 3U);
  EXPECT_TRUE(w.Returned("m-1"));
}

// A replica needs room that an array has: the array's budget allows no more stops.
TEST(Disruption, PreemptionByPriorityAsksTheBudgetOfArrays) {
  for (const bool allowed : {false, true}) {
    DrainWorld w;
    w.Lead();
    w.Machine("m-1", "east");
    JobSpec low = w.Array("job-1", 4);
    low.team = "red";
    EXPECT_EQ(w.Submit(low).status, 201);
    w.Watch(3);
    ASSERT_EQ(w.OnMachine("m-1"), 4U);
    w.Policy(std::string("(budgets (team \"red\" (stopped \"") + (allowed ? "4" : "0") +
             "\"))) (steps (window-s \"5\"))");
    w.Watch(8);
    JobSpec service = w.Service("job-2", 1, 8);
    service.team = "red";
    EXPECT_EQ(w.Submit(service).status, 201);
    w.Watch(10);
    EXPECT_EQ(w.At("m-1").Count("job-2"), allowed ? 1U : 0U);
  }
}

TEST(Disruption, AGuaranteeIsKeptWhateverTheBudgetSays) {
  DrainWorld w;
  w.Lead();
  w.Machine("m-1", "east");
  JobSpec red = w.Array("job-1", 4);
  red.team = "red";
  EXPECT_EQ(w.Submit(red).status, 201);
  w.Watch(3);
  ASSERT_EQ(w.OnMachine("m-1"), 4U);
  w.Policy("(budgets (team \"red\" (stopped \"0\"))) (steps (window-s \"5\"))");
  w.Watch(8);
  EXPECT_EQ(w.Submit(w.Array("job-2", 2)).status, 201);
  w.Watch(15);
  EXPECT_EQ(w.At("m-1").Count("job-2"), 2U);
}

// Emptying thin machines to save money is voluntary as well.
TEST(Disruption, MovesToSaveMachinesAskTheLedger) {
  for (const bool allowed : {false, true}) {
    DrainWorld w;
    w.tuning.consolidation_spare_share = 0;
    w.tuning.headroom_machines = 0;
    w.tuning.headroom_share = 0;
    w.tuning.headroom_boots = 0;
    w.tuning.settled_s = 5;
    w.Lead();
    w.Machine("m-1", "east");
    w.StartService("job-1", 1, "red", 6);
    w.Machine("m-2", "east");
    w.StartService("job-2", 3);
    EXPECT_EQ(w.Ask(JobOperation::kCancel, "job-1").status, 200);
    w.Forget("job-1");
    w.Policy(std::string("(budgets (team \"red\" (down \"") + (allowed ? "1" : "0") +
             "\"))) (steps (settle-s \"1\"))");
    w.Watch(60);
    EXPECT_EQ(w.MostDown("red") > 0, allowed);
  }
}

TEST(Ledger, CountsAReplicaOnceItRanForLongEnough) {
  DrainWorld w;
  w.Lead();
  w.Policy("(steps (settle-s \"10\"))");
  w.Machine("m-1", "east");
  EXPECT_EQ(w.Submit(w.Service("job-1", 2)).status, 201);
  w.Pass(3);
  const JobIndex j = w.leader->job_store().Find("job-1");
  EXPECT_EQ(w.leader->ledger().CountAvailable(j), 0U);
  EXPECT_EQ(w.leader->ledger().CountUnavailable("blue"), 2U);
  w.Pass(10);
  EXPECT_EQ(w.leader->ledger().CountAvailable(j), 2U);
  EXPECT_EQ(w.leader->ledger().CountUnavailable("blue"), 0U);
  // Not heard: in doubt, and so down.
  w.At("m-1").silent = true;
  w.Pass(3);
  EXPECT_EQ(w.leader->ledger().CountUnavailable("blue"), 2U);
}

TEST(Ledger, AServiceThatNeverRanInThisTermUsesNoBudget) {
  DrainWorld w;
  w.Lead();
  w.Policy("(budgets)");
  EXPECT_EQ(w.Submit(w.Service("job-1", 2)).status, 201);
  w.Pass(3);
  EXPECT_EQ(w.leader->ledger().CountUnavailable("blue"), 0U);
  // Under the next leader nobody knows any more whether it ran.
  w.NextLeader();
  w.Pass(1);
  EXPECT_EQ(w.leader->ledger().CountUnavailable("blue"), 2U);
}

TEST(Ledger, AJobThatIsOverUsesNoBudget) {
  DrainWorld w;
  w.Lead();
  w.Policy("(steps (settle-s \"1\"))");
  w.Machine("m-1", "east");
  w.StartService("job-1", 2, "blue");
  w.Lose("m-1");
  w.Pass(10);
  EXPECT_EQ(w.leader->ledger().CountUnavailable("blue"), 2U);
  EXPECT_EQ(w.Ask(JobOperation::kCancel, "job-1").status, 200);
  w.Pass(1);
  EXPECT_EQ(w.leader->ledger().CountUnavailable("blue"), 0U);
}

}  // namespace
}  // namespace deckhall
