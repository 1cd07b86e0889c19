// Machines and the commands to their agents: messages lost, late or repeated, and machines lost.
#include <gtest/gtest.h>

#include "fakes.h"

namespace deckhall {
namespace {

// Submits job-1 while direct commands are refused. Returns the response to the next heartbeat, with
// the launch of its task; the worker has not received it.
HeartbeatResponse LaunchInHeldResponse(LeaderTestEnvironment* world, FakeWorker* worker) {
  worker->refuses_connections = true;
  world->Submit(world->Array("job-1", 1));
  world->clock.now += 0.1;
  world->ProcessPending();
  worker->refuses_connections = false;
  ++worker->heartbeat.sequence;
  return world->leader->HandleHeartbeat(worker->heartbeat);
}

void SubmitTwoJobs(LeaderTestEnvironment* world) {
  for (const char* id : {"job-2", "job-3"}) {
    world->Submit(world->Array(id, 1));
    world->clock.now += 0.1;
    world->ProcessPending();
  }
}

TEST(Commands, LaunchDelayedPastAcknowledgedExitIsNotExecuted) {
  LeaderTestEnvironment world;
  world.StartLeader();
  FakeWorker& worker = world.AddMachine("m-1", "east");
  worker.batches_to_delay = 1;
  world.Submit(world.Array("job-1", 1));
  world.AdvanceTime(3);
  ASSERT_EQ(worker.started_tasks.size(), 1U);  // launched again
  worker.EndTask("job-1/0", ExitReason::kDone);
  world.AdvanceTime(3);
  ASSERT_TRUE(worker.heartbeat.tasks.empty());  // exit acknowledged
  worker.DeliverDelayed();
  EXPECT_EQ(worker.started_tasks.size(), 1U);
}

// The launch goes with the response to a heartbeat, which is held up, and then directly, with the
// same token. The exit is known before the response arrives, and acknowledged after it.
TEST(Commands, LaunchInResponseDelayedPastAcknowledgedExitIsNotExecuted) {
  LeaderTestEnvironment world;
  world.StartLeader();
  FakeWorker& worker = world.AddMachine("m-1", "east");
  const HeartbeatResponse delayed = LaunchInHeldResponse(&world, &worker);
  ASSERT_EQ(delayed.commands.size(), 1U);
  world.clock.now += 0.5;
  world.ProcessPending();
  ASSERT_EQ(worker.started_tasks.size(), 1U);  // launched directly
  worker.EndTask("job-1/0", ExitReason::kDone);
  SubmitTwoJobs(&world);
  ASSERT_EQ(worker.started_tasks.size(), 3U);
  worker.ReceiveResponse(delayed);
  EXPECT_EQ(worker.started_tasks.size(), 3U);
  world.AdvanceTime(1);
  ASSERT_EQ(worker.heartbeat.tasks.size(), 2U);  // exit acknowledged
  worker.ReceiveResponse(delayed);
  EXPECT_EQ(worker.started_tasks.size(), 3U);
}

// An exit is acknowledged under a higher token than that of the launch. Launches wait neither for
// the acknowledgement nor for its token to be reported.
TEST(Commands, ExitIsAcknowledgedUnderAHigherTokenThatDelaysNoLaunch) {
  LeaderTestEnvironment world;
  world.StartLeader();
  FakeWorker& worker = world.AddMachine("m-1", "east");
  worker.ReceiveResponse(LaunchInHeldResponse(&world, &worker));
  ASSERT_EQ(worker.started_tasks.size(), 1U);
  const uint64_t token = worker.heartbeat.fencing_token;
  world.AdvanceTime(1);
  worker.EndTask("job-1/0", ExitReason::kDone);
  SubmitTwoJobs(&world);
  EXPECT_EQ(worker.started_tasks.size(), 3U);
  EXPECT_EQ(worker.heartbeat.fencing_token, token);
  world.clock.now += 0.5;
  world.SendHeartbeat(&worker);
  world.ProcessPending();
  ASSERT_EQ(worker.heartbeat.tasks.size(), 2U);  // exit acknowledged
  EXPECT_GT(worker.heartbeat.fencing_token, token);
  world.Submit(world.Array("job-4", 1));
  world.clock.now += 0.1;
  world.ProcessPending();
  EXPECT_EQ(worker.started_tasks.size(), 4U);
}

TEST(Commands, CancelFencesOffLaunchInFlight) {
  LeaderTestEnvironment world;
  world.StartLeader();
  FakeWorker& worker = world.AddMachine("m-1", "east");
  worker.batches_to_delay = 1;
  world.Submit(world.Array("job-1", 1));
  world.clock.now += 0.1;
  world.ProcessPending();
  EXPECT_EQ(world.SendRequest(JobOperation::kCancel, "job-1").state, JobState::kCancelled);
  world.AdvanceTime(3);
  worker.DeliverDelayed();
  EXPECT_TRUE(worker.started_tasks.empty());
  EXPECT_FALSE(worker.HasTask("job-1/0"));
}

TEST(Commands, CancelStopsRunningTasks) {
  LeaderTestEnvironment world;
  world.StartLeader();
  FakeWorker& worker = world.AddMachine("m-1", "east");
  world.Submit(world.Array("job-1", 3));
  world.AdvanceTime(1);
  ASSERT_TRUE(worker.HasTask("job-1/2"));
  world.SendRequest(JobOperation::kCancel, "job-1");
  world.AdvanceTime(1);
  EXPECT_FALSE(worker.HasTask("job-1/0"));
  EXPECT_FALSE(worker.HasTask("job-1/2"));
  EXPECT_EQ(world.SendRequest(JobOperation::kGet, "job-1").state, JobState::kCancelled);
}

// While zones can't reach each other, a direct command may hang for long. Heartbeats that arrive
// meanwhile must get the stop with their response, or the cancelled task goes on running.
TEST(Commands, StopGoesWithHeartbeatResponseWhileDirectCommandHangs) {
  LeaderTestEnvironment world;
  world.StartLeader();
  FakeWorker& worker = world.AddMachine("m-1", "east");
  world.Submit(world.Array("job-1", 1));
  world.AdvanceTime(1);
  ASSERT_TRUE(worker.HasTask("job-1/0"));
  worker.commands_never_complete = true;
  world.SendRequest(JobOperation::kCancel, "job-1");
  world.AdvanceTime(1);
  EXPECT_FALSE(worker.HasTask("job-1/0"));
}

TEST(Commands, StopReachesMachineWhoseScaleInWaitsForCloud) {
  LeaderTestEnvironment world;
  world.cloud.out_of_capacity = true;
  world.StartLeader();
  FakeWorker& worker = world.AddMachine("m-1", "east");
  world.Submit(world.Array("job-1", 1));
  world.AdvanceTime(1);
  world.cloud.unavailable = true;
  worker.unresponsive = true;
  world.AdvanceTime(world.tuning.quick_death_s + 3);
  worker.unresponsive = false;
  world.SendRequest(JobOperation::kCancel, "job-1");
  world.AdvanceTime(1);
  ASSERT_TRUE(world.cloud.released.empty());
  EXPECT_FALSE(worker.HasTask("job-1/0"));
}

// The direct command either times out, or is never sent for lack of a connection. Neither counts
// as a stop that was sent.
TEST(Commands, StopWithoutResponseIsRepeatedWithNextHeartbeat) {
  for (const bool unsent : {false, true}) {
    LeaderTestEnvironment world;
    world.StartLeader();
    FakeWorker& worker = world.AddMachine("m-1", "east");
    world.Submit(world.Array("job-1", 1));
    world.AdvanceTime(1);
    (unsent ? worker.refuses_connections : worker.one_way_reachable) = true;
    world.SendRequest(JobOperation::kCancel, "job-1");
    ASSERT_TRUE(worker.HasTask("job-1/0"));
    worker.one_way_reachable = false;
    world.SendHeartbeat(&worker);
    EXPECT_FALSE(worker.HasTask("job-1/0"));
  }
}

TEST(Commands, ExitIsAcknowledgedOnlyAfterCompletionIsDurable) {
  LeaderTestEnvironment world;
  world.StartLeader();
  FakeWorker& worker = world.AddMachine("m-1", "east");
  world.Submit(world.Array("job-1", 2));
  world.AdvanceTime(1);
  world.state.unavailable = true;
  worker.EndTask("job-1/0", ExitReason::kDone);
  world.AdvanceTime(3);
  EXPECT_EQ(worker.heartbeat.tasks.size(), 2U);
  world.state.unavailable = false;
  world.AdvanceTime(3);
  EXPECT_EQ(worker.heartbeat.tasks.size(), 1U);
  world.StartLeader();
  world.AdvanceTime(3);
  EXPECT_EQ(world.SendRequest(JobOperation::kGet, "job-1").tasks_done, 1U);
  EXPECT_EQ(worker.started_tasks.size(), 2U);
}

TEST(Fleet, NewAgentEpochRestartsItsTasks) {
  LeaderTestEnvironment world;
  world.StartLeader();
  FakeWorker& worker = world.AddMachine("m-1", "east");
  world.Submit(world.Service("job-1", 1));
  world.AdvanceTime(1);
  ASSERT_EQ(worker.started_tasks.size(), 1U);
  worker.heartbeat.agent_epoch = 2;
  worker.heartbeat.tasks.clear();
  world.AdvanceTime(2);
  EXPECT_EQ(worker.started_tasks.size(), 2U);
}

TEST(Fleet, OutdatedHeartbeatIsIgnored) {
  LeaderTestEnvironment world;
  world.StartLeader();
  FakeWorker& worker = world.AddMachine("m-1", "east");
  const Heartbeat outdated = worker.heartbeat;
  world.Submit(world.Service("job-1", 1));
  world.AdvanceTime(1);
  world.leader->HandleHeartbeat(outdated);
  world.ProcessPending();
  EXPECT_EQ(world.SendRequest(JobOperation::kGet, "job-1").tasks_running, 1U);
  EXPECT_EQ(worker.started_tasks.size(), 1U);
}

TEST(Fleet, ReplicasOfDeadMachineAreReplaced) {
  LeaderTestEnvironment world;
  world.StartLeader();
  FakeWorker& worker = world.AddMachine("m-1", "east");
  FakeWorker& second_worker = world.AddMachine("m-2", "west");
  world.Submit(world.Service("job-1", 1));
  world.AdvanceTime(1);
  FakeWorker& first_host = worker.HasTask("job-1/0") ? worker : second_worker;
  FakeWorker& other = &first_host == &worker ? second_worker : worker;
  first_host.unresponsive = true;
  world.AdvanceTime(world.tuning.quick_death_s - 1);
  EXPECT_FALSE(other.HasTask("job-1/0"));
  world.AdvanceTime(3);
  EXPECT_TRUE(other.HasTask("job-1/0"));
}

// Agents in a partitioned zone may still reach a controller that responds to them, so their
// machines must not be released early.
TEST(Fleet, UnreachableMachineInPartitionedZoneIsReleasedOnlyAfterPartitionTimeout) {
  LeaderTestEnvironment world;
  world.suspected_zone = "east";
  world.StartLeader();
  FakeWorker& worker = world.AddMachine("m-1", "east");
  world.Submit(world.Service("job-1", 1));
  world.AdvanceTime(1);
  worker.unresponsive = true;
  world.AdvanceTime(world.tuning.death_s + 4);
  worker.unresponsive = false;
  world.AdvanceTime(2);
  EXPECT_TRUE(world.cloud.released.empty());
  EXPECT_TRUE(worker.HasTask("job-1/0"));
  worker.unresponsive = true;
  world.AdvanceTime(world.tuning.partition_death_s + 4);
  EXPECT_FALSE(world.cloud.released.empty());
}

TEST(Fleet, SpotMachineUnderPreemptionNoticeGetsNoTasks) {
  LeaderTestEnvironment world;
  world.StartLeader();
  FakeWorker& worker = world.AddMachine("m-1", "east", true);
  worker.heartbeat.preemption_notice_s = 20;
  world.AdvanceTime(1);
  JobSpec spec = world.Array("job-1", 1);
  spec.spot_tolerant = true;
  world.Submit(spec);
  world.AdvanceTime(2);
  EXPECT_TRUE(worker.started_tasks.empty());
}

TEST(Fleet, FailuresOfOneJobDoNotQuarantineMachines) {
  LeaderTestEnvironment world;
  world.StartLeader();
  FakeWorker& worker = world.AddMachine("m-1", "east");
  FakeWorker& second_worker = world.AddMachine("m-2", "west");
  world.Submit(world.Array("job-1", 1, 1));
  for (int i = 0; i < 12; ++i) {
    world.AdvanceTime(2);
    worker.EndTask("job-1/0", ExitReason::kError);
    second_worker.EndTask("job-1/0", ExitReason::kError);
  }
  world.Submit(world.Array("job-2", 2, 1));
  world.AdvanceTime(2);
  EXPECT_EQ(
      std::count_if(worker.started_tasks.begin(), worker.started_tasks.end(),
                    [](const std::string& s) { return s.starts_with("job-2"); }) +
          std::count_if(second_worker.started_tasks.begin(), second_worker.started_tasks.end(),
                        [](const std::string& s) { return s.starts_with("job-2"); }),
      2);
}

}  // namespace
}  // namespace deckhall
