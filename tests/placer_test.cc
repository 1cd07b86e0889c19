// What is placed where, and which machines are rented and given back.
#include <gtest/gtest.h>

#include "fakes.h"

namespace deckhall {
namespace {

TEST(Placer, KeepsTheTeamsLimit) {
  LeaderTestEnvironment w;
  w.StartLeader();
  auto& a = w.AddMachine("m-1", "east");
  auto& b = w.AddMachine("m-2", "west");
  auto& c = w.AddMachine("m-3", "west");
  w.Submit(w.Array("job-1", 12));  // 24 cores, 16 allowed
  w.AdvanceTime(3);
  EXPECT_EQ(a.started_tasks.size() + b.started_tasks.size() + c.started_tasks.size(), 8U);
}

TEST(Placer, KeepsTasksApartAndTogether) {
  LeaderTestEnvironment w;
  w.StartLeader();
  auto& a = w.AddMachine("m-1", "east");
  auto& b = w.AddMachine("m-2", "west");
  JobSpec apart = w.Service("job-1", 3);
  apart.anti_affinity = true;
  w.Submit(apart);
  w.AdvanceTime(1);
  EXPECT_EQ(a.started_tasks.size() + b.started_tasks.size(), 3U);
  EXPECT_LE(std::max(a.started_tasks.size(), b.started_tasks.size()), 2U);
  JobSpec one = w.Service("job-2", 3, 1);
  one.single_zone = true;
  w.Submit(one);
  w.AdvanceTime(1);
  const auto on_a = std::count_if(a.started_tasks.begin(), a.started_tasks.end(),
                                  [](const std::string& s) { return s.starts_with("job-2"); });
  EXPECT_TRUE(on_a == 0 || on_a == 3);
}

TEST(Placer, SpotMachinesTakeOnlyJobsThatAllowThem) {
  LeaderTestEnvironment w;
  w.StartLeader();
  auto& a = w.AddMachine("m-1", "east", true);
  w.Submit(w.Service("job-1", 1));
  w.AdvanceTime(2);
  EXPECT_TRUE(a.started_tasks.empty());
}

TEST(Placer, AServiceStopsAnArrayForRoomAndAnArrayNeverAService) {
  LeaderTestEnvironment w;
  w.settings.teams = {{"blue", 0, 0, 0, 0}};
  w.cloud.out_of_capacity = true;
  w.StartLeader();
  auto& a = w.AddMachine("m-1", "east");
  w.Submit(w.Array("job-1", 4));
  w.AdvanceTime(1);
  ASSERT_EQ(a.started_tasks.size(), 4U);
  w.Submit(w.Service("job-2", 1));
  w.AdvanceTime(2);
  EXPECT_TRUE(a.HasTask("job-2/0"));
  JobSpec urgent = w.Array("job-3", 4);
  urgent.priority = Priority::kUrgent;
  w.Submit(urgent);
  w.AdvanceTime(2);
  EXPECT_TRUE(a.HasTask("job-2/0"));
}

// Found on the fleet's zone day: with many services to bring back at once, those that one
// pass did not get to were sent where their image takes half a minute to fetch.
// Found by drawn meetings of troubles: with nothing more to be rented, an array waited for
// ever beside machines with room, kept for replicas that never came.
TEST(Placer, RoomKeptForReplicasIsLentToWhatWaitsTooLong) {
  LeaderTestEnvironment w;
  w.cloud.out_of_capacity = true;
  w.tuning.headroom_machines = 2;
  w.tuning.headroom_reserved_share = 1;
  w.StartLeader();
  auto& a = w.AddMachine("m-1", "east");
  auto& b = w.AddMachine("m-2", "west");
  w.Submit(w.Service("job-1", 1, 6));
  w.AdvanceTime(1);
  w.Submit(w.Array("job-2", 1, 4));
  w.AdvanceTime(w.tuning.starvation_s / 2 - 5);
  EXPECT_FALSE(a.HasTask("job-2/0") || b.HasTask("job-2/0"));
  w.AdvanceTime(10);
  EXPECT_TRUE(a.HasTask("job-2/0") || b.HasTask("job-2/0"));
  // It gives way as soon as a replica needs the room.
  w.Submit(w.Service("job-3", 1, 6));
  w.AdvanceTime(6);
  EXPECT_TRUE(a.HasTask("job-3/0") || b.HasTask("job-3/0"));
}

// Found by a hunt on a small, crowded fleet: what went first for having been passed over was
// stopped for a guarantee two seconds later, its place went to the next one passed over, and
// hardly anything ended (827 stops a day, 693 tasks done).
TEST(Placer, WhatWentFirstOnceIsNotStoppedForAGuarantee) {
  LeaderTestEnvironment w;
  w.cloud.out_of_capacity = true;
  w.tuning.starvation_s = 10;
  w.tuning.preempt_after_s = 1;
  w.StartLeader();
  auto& a = w.AddMachine("m-1", "east");
  JobSpec filler = w.Array("job-1", 1);
  JobSpec passed = w.Array("job-2", 3);
  filler.team = passed.team = "red";
  w.Submit(w.Array("job-3", 3));  // of blue, within its guarantee
  w.Submit(filler);
  w.AdvanceTime(1);
  ASSERT_EQ(a.started_tasks.size(), 4U);  // full
  w.Submit(passed);
  w.AdvanceTime(12);
  w.Submit(w.Array("job-4", 1));  // of blue, the last that its guarantee covers
  w.AdvanceTime(0.5);
  a.EndTask("job-1/0", ExitReason::kDone);
  w.AdvanceTime(6);
  EXPECT_EQ(a.ActiveTasks("job-2"), 1U);
  EXPECT_EQ(a.ActiveTasks("job-4"), 0U);
  // Once only: the next place is the guaranteed job's again.
  a.EndTask("job-3/0", ExitReason::kDone);
  w.AdvanceTime(2);
  EXPECT_EQ(a.ActiveTasks("job-4"), 1U);
  EXPECT_EQ(a.ActiveTasks("job-2"), 1U);
}

TEST(Placer, ReplicasThatAPassDoesNotGetToWaitForTheNextOne) {
  LeaderTestEnvironment w;
  w.settings.teams = {{"blue", 0, 0, 0, 0}};
  w.settings.max_sockets = 4000;
  w.cloud.out_of_capacity = true;
  w.cloud.types[0].fetch_gb_per_s = 0.05;
  w.tuning.headroom_share = w.tuning.headroom_machines = w.tuning.headroom_boots = 0;
  w.StartLeader();
  std::vector<FakeWorker*> with;
  with.reserve(10);
  for (int i = 0; i < 10; ++i) with.push_back(&w.AddMachine("m-" + std::to_string(i), "east"));
  JobSpec seed = w.Service("job-0", 10, 1);  // one on each: the image is there
  w.Submit(seed);
  w.AdvanceTime(2);
  w.Submit(w.Array("job-1", 70, 1));  // takes the rest
  w.AdvanceTime(2);
  std::vector<FakeWorker*> without;
  without.reserve(10);
  for (int i = 0; i < 10; ++i) without.push_back(&w.AddMachine("m-1" + std::to_string(i), "east"));
  w.state.unavailable = true;  // all are accepted together
  for (int i = 0; i < 40; ++i) w.Submit(w.Service("job-2" + std::to_string(i), 1, 1));
  w.state.unavailable = false;
  w.AdvanceTime(2);
  size_t there = 0;
  for (const FakeWorker* m : with) {
    for (const std::string& s : m->started_tasks) there += s.starts_with("job-2") ? 1 : 0;
  }
  EXPECT_EQ(there, 40U);
}

// Found on a grown deployment's steady day: an idle job ranked first was stopped for a
// normal one, and placed again before it, 150 times.
TEST(Placer, AJobIsNotStoppedForOneThatIsRankedBehindIt) {
  LeaderTestEnvironment w;
  w.settings.teams = {{"blue", 100, 0, 0, 0}};
  w.cloud.out_of_capacity = true;
  w.StartLeader();
  auto& a = w.AddMachine("m-1", "east");
  JobSpec small = w.Array("job-1", 4);
  small.priority = Priority::kIdle;
  small.estimated_runtime_s = 5;
  w.Submit(small);
  w.AdvanceTime(1);
  JobSpec large = w.Array("job-2", 40);
  large.estimated_runtime_s = 500;
  w.Submit(large);
  w.AdvanceTime(w.tuning.preempt_after_s + 3);
  EXPECT_EQ(a.started_tasks.size(), 4U);
  EXPECT_TRUE(a.HasTask("job-1/0"));
}

TEST(Placer, AGangStartsAsAWholeUnderOneAttempt) {
  LeaderTestEnvironment w;
  w.cloud.out_of_capacity = true;
  w.StartLeader();
  auto& a = w.AddMachine("m-1", "east");
  JobSpec gang = w.Array("job-1", 6);
  gang.gang = true;
  w.Submit(gang);
  w.AdvanceTime(2);
  EXPECT_TRUE(a.started_tasks.empty());  // 12 cores, 8 there
  auto& b = w.AddMachine("m-2", "east");
  w.AdvanceTime(2);
  EXPECT_EQ(a.started_tasks.size() + b.started_tasks.size(), 6U);
  std::vector<uint64_t> attempts;
  for (auto* m : {&a, &b}) {
    for (const auto& t : m->heartbeat.tasks) attempts.push_back(t.attempt);
  }
  EXPECT_EQ(std::count(attempts.begin(), attempts.end(), attempts[0]), 6);
}

TEST(Rentals, AnUnansweredRentalIsAskedForAgainByNameAlsoByTheNextLeader) {
  LeaderTestEnvironment w;
  w.cloud.types[0].boot_s = 1;
  w.StartLeader();
  w.cloud.unavailable = true;
  w.Submit(w.Service("job-1", 1));
  w.AdvanceTime(3);
  ASSERT_FALSE(w.cloud.scale_out_requests.empty());
  const std::string name = w.cloud.scale_out_requests[0].first;
  w.StartLeader();
  w.AdvanceTime(1);
  EXPECT_EQ(w.cloud.scale_out_requests.back().first, name);
  for (const auto& [request, count] : w.cloud.scale_out_requests) EXPECT_EQ(request, name);
}

// Found on the fleet's day apart: 135 machines that the former leader had returned were
// still listed, and taken for machines that boot.
TEST(Rentals, AListOlderThanTheTermAddsNoMachines) {
  LeaderTestEnvironment w;
  w.cloud.out_of_capacity = true;
  CloudInstance row;
  row.name = "m-7";
  row.type = "box";
  row.zone = "east";
  row.age_s = 100;
  w.cloud.instances = {row};
  w.StartLeader();
  w.AdvanceTime(w.settings.cloud_list_lag_s * 2);
  EXPECT_EQ(w.leader->fleet().Find("m-7"), kNoIndex);
  w.AdvanceTime(w.settings.cloud_list_lag_s + 10);
  EXPECT_NE(w.leader->fleet().Find("m-7"), kNoIndex);
}

TEST(Rentals, AnIdleMachineGoesBackUnlessReplicasMayNeedIt) {
  LeaderTestEnvironment w;
  w.tuning.idle_ordinary_boots = 0.1;
  w.cloud.out_of_capacity = true;
  w.StartLeader();
  auto& a = w.AddMachine("m-1", "east");
  auto& b = w.AddMachine("m-2", "west");
  w.Submit(w.Service("job-1", 1));
  w.AdvanceTime(10);
  // One machine is enough; the room to come back is on it.
  EXPECT_EQ(w.cloud.released.size(), 1U);
  EXPECT_TRUE(a.HasTask("job-1/0") || b.HasTask("job-1/0"));
  EXPECT_NE(w.cloud.released[0], a.HasTask("job-1/0") ? "m-1" : "m-2");
}

TEST(Placer, AThinlyUsedMachineIsEmptiedReplicaByReplica) {
  LeaderTestEnvironment w;
  w.cloud.out_of_capacity = true;
  w.tuning.settled_s = 5;
  w.StartLeader();
  auto& a = w.AddMachine("m-1", "east");
  auto& b = w.AddMachine("m-2", "east");
  w.Submit(w.Service("job-1", 2, 1));
  w.AdvanceTime(2);
  ASSERT_EQ(a.started_tasks.size() + b.started_tasks.size(), 2U);
  ASSERT_EQ(a.started_tasks.size(), 1U);  // they spread
  for (int i = 0; i < 40; ++i) {
    w.AdvanceTime(0.5);
    EXPECT_GE(static_cast<int>(a.HasTask("job-1/0")) + static_cast<int>(b.HasTask("job-1/0")) +
                  static_cast<int>(a.HasTask("job-1/1")) + static_cast<int>(b.HasTask("job-1/1")),
              1);
  }
  ASSERT_EQ(w.cloud.released.size(), 1U);
  FakeWorker& kept = w.cloud.released[0] == "m-1" ? b : a;
  EXPECT_TRUE(kept.HasTask("job-1/0"));
  EXPECT_TRUE(kept.HasTask("job-1/1"));
}

TEST(Rentals, AMachinesNameIsDurableBeforeItsFirstLaunch) {
  LeaderTestEnvironment w;
  w.StartLeader();
  w.Submit(w.Service("job-1", 1));
  w.AdvanceTime(1);
  w.state.unavailable = true;
  auto& a = w.AddMachine("m-1", "east");
  w.AdvanceTime(2);
  EXPECT_TRUE(a.started_tasks.empty());
  w.state.unavailable = false;
  w.AdvanceTime(2);
  EXPECT_EQ(a.started_tasks.size(), 1U);
}

}  // namespace
}  // namespace deckhall
