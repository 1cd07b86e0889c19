// Machines and the commands to their agents: messages lost, late or repeated, and machines lost.
#include <gtest/gtest.h>

#include "fakes.h"

namespace deckhall {
namespace {

TEST(Commands, LaunchDelayedPastAcknowledgedExitIsNotExecuted) {
  World world;
  world.Lead();
  FakeWorker& worker = world.Machine("m-1", "east");
  worker.hold = 1;
  world.Submit(world.Array("job-1", 1));
  world.Pass(3);
  ASSERT_EQ(worker.started.size(), 1U);  // launched again
  worker.End("job-1/0", ExitReason::kDone);
  world.Pass(3);
  ASSERT_TRUE(worker.report.tasks.empty());  // exit acknowledged
  worker.Late();
  EXPECT_EQ(worker.started.size(), 1U);
}

TEST(Commands, CancelFencesOffLaunchInFlight) {
  World world;
  world.Lead();
  FakeWorker& worker = world.Machine("m-1", "east");
  worker.hold = 1;
  world.Submit(world.Array("job-1", 1));
  world.clock.now += 0.1;
  world.Settle();
  EXPECT_EQ(world.Ask(JobOperation::kCancel, "job-1").state, JobState::kCancelled);
  world.Pass(3);
  worker.Late();
  EXPECT_TRUE(worker.started.empty());
  EXPECT_FALSE(worker.Has("job-1/0"));
}

TEST(Commands, CancelStopsRunningTasks) {
  World world;
  world.Lead();
  FakeWorker& worker = world.Machine("m-1", "east");
  world.Submit(world.Array("job-1", 3));
  world.Pass(1);
  ASSERT_TRUE(worker.Has("job-1/2"));
  world.Ask(JobOperation::kCancel, "job-1");
  world.Pass(1);
  EXPECT_FALSE(worker.Has("job-1/0"));
  EXPECT_FALSE(worker.Has("job-1/2"));
  EXPECT_EQ(world.Ask(JobOperation::kGet, "job-1").state, JobState::kCancelled);
}

// While zones can't reach each other, a direct command may hang for long. Heartbeats that arrive
// meanwhile must get the stop with their response, or the cancelled task goes on running.
TEST(Commands, StopGoesWithHeartbeatResponseWhileDirectCommandHangs) {
  World world;
  world.Lead();
  FakeWorker& worker = world.Machine("m-1", "east");
  world.Submit(world.Array("job-1", 1));
  world.Pass(1);
  ASSERT_TRUE(worker.Has("job-1/0"));
  worker.mute = true;
  world.Ask(JobOperation::kCancel, "job-1");
  world.Pass(1);
  EXPECT_FALSE(worker.Has("job-1/0"));
}

TEST(Commands, StopReachesMachineWhoseScaleInWaitsForCloud) {
  World world;
  world.cloud.refuse = true;
  world.Lead();
  FakeWorker& worker = world.Machine("m-1", "east");
  world.Submit(world.Array("job-1", 1));
  world.Pass(1);
  world.cloud.out = true;
  worker.silent = true;
  world.Pass(world.tuning.quick_death_s + 3);
  worker.silent = false;
  world.Ask(JobOperation::kCancel, "job-1");
  world.Pass(1);
  ASSERT_TRUE(world.cloud.returned.empty());
  EXPECT_FALSE(worker.Has("job-1/0"));
}

// The direct command either times out, or is never sent for lack of a connection. Neither counts
// as a stop that was sent.
TEST(Commands, StopWithoutResponseIsRepeatedWithNextHeartbeat) {
  for (const bool unsent : {false, true}) {
    World world;
    world.Lead();
    FakeWorker& worker = world.Machine("m-1", "east");
    world.Submit(world.Array("job-1", 1));
    world.Pass(1);
    (unsent ? worker.unsent : worker.deaf) = true;
    world.Ask(JobOperation::kCancel, "job-1");
    ASSERT_TRUE(worker.Has("job-1/0"));
    worker.deaf = false;
    world.ReportNow(&worker);
    EXPECT_FALSE(worker.Has("job-1/0"));
  }
}

TEST(Commands, ExitIsAcknowledgedOnlyAfterCompletionIsDurable) {
  World world;
  world.Lead();
  FakeWorker& worker = world.Machine("m-1", "east");
  world.Submit(world.Array("job-1", 2));
  world.Pass(1);
  world.state.refuse = true;
  worker.End("job-1/0", ExitReason::kDone);
  world.Pass(3);
  EXPECT_EQ(worker.report.tasks.size(), 2U);
  world.state.refuse = false;
  world.Pass(3);
  EXPECT_EQ(worker.report.tasks.size(), 1U);
  world.Lead();
  world.Pass(3);
  EXPECT_EQ(world.Ask(JobOperation::kGet, "job-1").tasks_done, 1U);
  EXPECT_EQ(worker.started.size(), 2U);
}

TEST(Fleet, NewAgentEpochRestartsItsTasks) {
  World world;
  world.Lead();
  FakeWorker& worker = world.Machine("m-1", "east");
  world.Submit(world.Service("job-1", 1));
  world.Pass(1);
  ASSERT_EQ(worker.started.size(), 1U);
  worker.report.agent_epoch = 2;
  worker.report.tasks.clear();
  world.Pass(2);
  EXPECT_EQ(worker.started.size(), 2U);
}

TEST(Fleet, OutdatedHeartbeatIsIgnored) {
  World world;
  world.Lead();
  FakeWorker& worker = world.Machine("m-1", "east");
  const Heartbeat outdated = worker.report;
  world.Submit(world.Service("job-1", 1));
  world.Pass(1);
  world.leader->HandleHeartbeat(outdated);
  world.Settle();
  EXPECT_EQ(world.Ask(JobOperation::kGet, "job-1").tasks_running, 1U);
  EXPECT_EQ(worker.started.size(), 1U);
}

TEST(Fleet, ReplicasOfDeadMachineAreReplaced) {
  World world;
  world.Lead();
  FakeWorker& worker = world.Machine("m-1", "east");
  FakeWorker& second_worker = world.Machine("m-2", "west");
  world.Submit(world.Service("job-1", 1));
  world.Pass(1);
  FakeWorker& first_host = worker.Has("job-1/0") ? worker : second_worker;
  FakeWorker& other = &first_host == &worker ? second_worker : worker;
  first_host.silent = true;
  world.Pass(world.tuning.quick_death_s - 1);
  EXPECT_FALSE(other.Has("job-1/0"));
  world.Pass(3);
  EXPECT_TRUE(other.Has("job-1/0"));
}

// Agents in a partitioned zone may still reach a controller that responds to them, so their
// machines must not be released early.
TEST(Fleet, UnreachableMachineInPartitionedZoneIsReleasedOnlyAfterPartitionTimeout) {
  World world;
  world.lead_doubtful = "east";
  world.Lead();
  FakeWorker& worker = world.Machine("m-1", "east");
  world.Submit(world.Service("job-1", 1));
  world.Pass(1);
  worker.silent = true;
  world.Pass(world.tuning.death_s + 4);
  worker.silent = false;
  world.Pass(2);
  EXPECT_TRUE(world.cloud.returned.empty());
  EXPECT_TRUE(worker.Has("job-1/0"));
  worker.silent = true;
  world.Pass(world.tuning.partition_death_s + 4);
  EXPECT_FALSE(world.cloud.returned.empty());
}

TEST(Fleet, SpotMachineUnderPreemptionNoticeGetsNoTasks) {
  World world;
  world.Lead();
  FakeWorker& worker = world.Machine("m-1", "east", true);
  worker.report.preemption_notice_s = 20;
  world.Pass(1);
  JobSpec spec = world.Array("job-1", 1);
  spec.spot_tolerant = true;
  world.Submit(spec);
  world.Pass(2);
  EXPECT_TRUE(worker.started.empty());
}

TEST(Fleet, FailuresOfOneJobDoNotQuarantineMachines) {
  World world;
  world.Lead();
  FakeWorker& worker = world.Machine("m-1", "east");
  FakeWorker& second_worker = world.Machine("m-2", "west");
  world.Submit(world.Array("job-1", 1, 1));
  for (int i = 0; i < 12; ++i) {
    world.Pass(2);
    worker.End("job-1/0", ExitReason::kError);
    second_worker.End("job-1/0", ExitReason::kError);
  }
  world.Submit(world.Array("job-2", 2, 1));
  world.Pass(2);
  EXPECT_EQ(std::count_if(worker.started.begin(), worker.started.end(),
                          [](const std::string& s) { return s.starts_with("job-2"); }) +
                std::count_if(second_worker.started.begin(), second_worker.started.end(),
                              [](const std::string& s) { return s.starts_with("job-2"); }),
            2);
}

}  // namespace
}  // namespace deckhall
