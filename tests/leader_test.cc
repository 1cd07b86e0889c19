// A single leader: its responses to users, their durability before they are sent, and its lease.
#include <gtest/gtest.h>

#include "fakes.h"

namespace deckhall {
namespace {

TEST(Leader, ArrayIsRunAndReportedAsDone) {
  LeaderTestEnvironment world;
  world.StartLeader();
  auto& worker = world.AddMachine("m-1", "east");
  EXPECT_EQ(world.Submit(world.Array("job-1", 2)).status, 201);
  world.AdvanceTime(1);
  EXPECT_EQ(worker.started_tasks.size(), 2U);
  worker.EndTask("job-1/0", ExitReason::kDone);
  worker.EndTask("job-1/1", ExitReason::kDone);
  world.AdvanceTime(2);
  EXPECT_EQ(world.SendRequest(JobOperation::kGet, "job-1").state, JobState::kDone);
}

TEST(Leader, JobIsAcceptedOnlyOnceDurable) {
  LeaderTestEnvironment world;
  world.StartLeader();
  world.state.unavailable = true;
  EXPECT_EQ(world.Submit(world.Array("job-1", 2)).status,
            0);  // the write to the state service is pending
  EXPECT_EQ(world.SendRequest(JobOperation::kGet, "job-1").status, 503);
  world.state.unavailable = false;
  world.AdvanceTime(1);
  EXPECT_EQ(world.SendRequest(JobOperation::kGet, "job-1").status, 200);
}

TEST(Leader, AppliedTransactionWithLostResponseIsNotLost) {
  LeaderTestEnvironment world;
  world.StartLeader();
  world.state.responses_to_lose = 1;
  world.Submit(world.Array("job-1", 2));
  world.AdvanceTime(2);
  EXPECT_EQ(world.SendRequest(JobOperation::kGet, "job-1").status, 200);
  EXPECT_FALSE(world.leadership_lost);
  world.StartLeader();
  EXPECT_EQ(world.SendRequest(JobOperation::kGet, "job-1").status, 200);
}

TEST(Leader, TransactionAppliedLateDoesNotOverwriteLaterOne) {
  LeaderTestEnvironment world;
  world.StartLeader();
  world.state.commits_to_delay = 1;
  world.Submit(world.Array("job-1", 2));
  world.AdvanceTime(1);  // the write is retried under the same version
  EXPECT_EQ(world.SendRequest(JobOperation::kCancel, "job-1").state, JobState::kCancelled);
  world.state.ApplyDelayed();
  world.AdvanceTime(1);
  world.StartLeader();
  EXPECT_EQ(world.SendRequest(JobOperation::kGet, "job-1").state, JobState::kCancelled);
}

TEST(Leader, WriteConflictingWithNewLeaderKeyEndsTerm) {
  LeaderTestEnvironment world;
  world.StartLeader();
  ++world.state.revision;
  world.state.keys["leader"].version = world.state.revision;
  EXPECT_NE(world.Submit(world.Array("job-1", 2)).status, 201);
  world.AdvanceTime(1);
  EXPECT_TRUE(world.leadership_lost);
}

TEST(Leader, HeartbeatWithHigherFencingTokenEndsTerm) {
  LeaderTestEnvironment world;
  world.StartLeader();
  auto& worker = world.AddMachine("m-1", "east");
  worker.heartbeat.fencing_token = (world.leader->term() + 1) << kTermShiftBits;
  ++worker.heartbeat.sequence;
  world.lease.valid_until = world.clock.now - 0.1;
  EXPECT_EQ(world.leader->HandleHeartbeat(worker.heartbeat).status, 421);
  EXPECT_TRUE(world.leadership_lost);
}

TEST(Leader, ResubmissionOfKnownJobIsAnsweredBeforeValidation) {
  LeaderTestEnvironment world;
  world.StartLeader();
  auto& worker = world.AddMachine("m-1", "east");
  world.Submit(world.Array("job-1", 1));
  world.AdvanceTime(1);
  worker.EndTask("job-1/0", ExitReason::kDone);
  world.AdvanceTime(1);
  const JobResponse repeated =
      world.SendRequest(JobOperation::kSubmit, "job-1", nullptr, "missing or invalid: cores");
  EXPECT_EQ(repeated.status, 200);
  EXPECT_EQ(repeated.state, JobState::kDone);
  EXPECT_EQ(world.SendRequest(JobOperation::kSubmit, "job-2", nullptr, "missing or invalid: cores")
                .status,
            400);
  // The same holds long after completion, when only the result is kept, and under the next leader.
  world.AdvanceTime(120);
  EXPECT_EQ(world.Submit(world.Array("job-1", 1)).state, JobState::kDone);
  world.StartLeader();
  EXPECT_EQ(world.Submit(world.Array("job-1", 1)).state, JobState::kDone);
}

// Regression: the state of a finished job went back from 'done' to 'pending' while its record was
// being rewritten.
TEST(Leader, ReportedCompletionIsKeptWhileItsRecordIsRewritten) {
  LeaderTestEnvironment world;
  world.StartLeader();
  auto& worker = world.AddMachine("m-1", "east");
  world.Submit(world.Array("job-1", 1));
  world.AdvanceTime(1);
  worker.EndTask("job-1/0", ExitReason::kDone);
  world.AdvanceTime(2);
  ASSERT_EQ(world.SendRequest(JobOperation::kGet, "job-1").state, JobState::kDone);
  world.state.unavailable = true;  // no further write becomes durable
  for (int i = 0; i < 100; ++i) {
    world.AdvanceTime(1);
    ASSERT_EQ(world.SendRequest(JobOperation::kGet, "job-1").state, JobState::kDone);
  }
}

TEST(Leader, JobThatCanNeverRunIsRefused) {
  LeaderTestEnvironment world;
  world.StartLeader();
  EXPECT_EQ(world.Submit(world.Array("job-1", 1, 9)).status,
            422);  // no machine type is large enough
  EXPECT_EQ(world.Submit(world.Service("job-2", 9)).status,
            422);  // all replicas together exceed the team's limit
  EXPECT_EQ(world.Submit(world.Array("job-3", 9)).status, 201);  // its tasks fit one after another
  JobSpec spec = world.Array("job-4", 1);
  spec.team = "green";
  EXPECT_EQ(world.Submit(spec).status, 422);
}

TEST(Leader, SubmissionIsDeferredUntilMachineTypesAreKnown) {
  LeaderTestEnvironment world;
  world.cloud.unavailable = true;
  world.StartLeader();
  EXPECT_EQ(world.Submit(world.Array("job-1", 1, 900)).status, 503);
}

TEST(Leader, ExpiredLeaseStopsLaunchesButNotHeartbeatResponses) {
  LeaderTestEnvironment world;
  world.StartLeader();
  auto& worker = world.AddMachine("m-1", "east");
  world.Submit(world.Service("job-1", 1));
  world.AdvanceTime(1);
  ASSERT_EQ(worker.started_tasks.size(), 1U);
  world.Submit(world.Array("job-2", 3));
  world.lease.valid_until = world.clock.now - 0.1;
  worker.EndTask("job-1/0", ExitReason::kError);
  const size_t started_before = worker.started_tasks.size();
  world.AdvanceTime(3);
  EXPECT_EQ(worker.started_tasks.size(), started_before);
  EXPECT_EQ(world.SendRequest(JobOperation::kGet, "job-1").status, 503);
  ++worker.heartbeat.sequence;
  EXPECT_EQ(world.leader->HandleHeartbeat(worker.heartbeat).status, 200);
  // The worker leases that this leader renewed last expire before the deadline of a cancellation
  // that another leader has confirmed meanwhile.
  EXPECT_LT(GracePeriodSeconds(world.settings) + world.settings.lease_s, world.settings.cancel_s);
  world.clock.now += GracePeriodSeconds(world.settings) + 1;
  ++worker.heartbeat.sequence;
  EXPECT_EQ(world.leader->HandleHeartbeat(worker.heartbeat).status, 503);
}

TEST(Leader, ExpiredLeaseKeepsPendingLaunchOutOfHeartbeatResponse) {
  LeaderTestEnvironment world;
  world.cloud.out_of_capacity = true;
  world.StartLeader();
  auto& worker = world.AddMachine("m-1", "east");
  worker.refuses_connections = true;
  world.Submit(world.Array("job-1", 1));
  world.AdvanceTime(0.5, false);
  world.lease.valid_until = world.clock.now;
  world.SendHeartbeat(&worker);
  EXPECT_FALSE(worker.HasTask("job-1/0"));
  world.lease.valid_until = 1e12;
  world.SendHeartbeat(&worker);
  world.AdvanceTime(2);
  EXPECT_TRUE(worker.HasTask("job-1/0"));
}

TEST(Leader, CompletionIsReportedOnlyOnceDurable) {
  LeaderTestEnvironment world;
  world.cloud.out_of_capacity = true;
  world.StartLeader();
  auto& worker = world.AddMachine("m-1", "east");
  world.Submit(world.Array("job-1", 1));
  world.AdvanceTime(1);
  world.state.unavailable = true;
  worker.EndTask("job-1/0", ExitReason::kDone);
  world.AdvanceTime(2);
  EXPECT_NE(world.SendRequest(JobOperation::kGet, "job-1").state, JobState::kDone);
  world.state.unavailable = false;
  world.AdvanceTime(1);
  EXPECT_EQ(world.SendRequest(JobOperation::kGet, "job-1").state, JobState::kDone);
}

TEST(Leader, OutageOfAllControllersDoesNotEndGracePeriod) {
  LeaderTestEnvironment world;
  world.no_later_term_since = 0;
  world.StartLeader();
  auto& worker = world.AddMachine("m-1", "east");
  world.lease.valid_until = world.clock.now - 0.1;
  world.clock.now += GracePeriodSeconds(world.settings) * 3;
  world.no_later_term_since = world.clock.now - 1;  // the other controllers know of no later term
  ++worker.heartbeat.sequence;
  EXPECT_EQ(world.leader->HandleHeartbeat(worker.heartbeat).status, 200);
  world.no_later_term_since = world.clock.now - GracePeriodSeconds(world.settings) - 1;
  ++worker.heartbeat.sequence;
  EXPECT_EQ(world.leader->HandleHeartbeat(worker.heartbeat).status, 503);
}

TEST(Leader, SubmissionOverMemoryQuotaIsDeferredAndAcceptedJobsAreKept) {
  LeaderTestEnvironment world;
  world.settings.quota_memory_mb = 0.1;  // enough for about ten jobs and 400 tasks
  world.StartLeader();
  EXPECT_EQ(world.Submit(world.Array("job-1", 300)).status, 201);
  const JobResponse tasks = world.Submit(world.Array("job-2", 200));
  EXPECT_EQ(tasks.status, 503);
  EXPECT_GT(tasks.retry_after_s, 0);
  int accepted = 0;
  for (int i = 10; i < 40; ++i) {
    accepted += world.Submit(world.Array("job-" + std::to_string(i), 1)).status == 201 ? 1 : 0;
  }
  EXPECT_GT(accepted, 5);
  EXPECT_LT(accepted, 20);
  EXPECT_EQ(world.SendRequest(JobOperation::kGet, "job-1").status, 200);
  EXPECT_EQ(world.Submit(world.Array("job-1", 300)).status,
            200);  // a known job needs no more memory
}

TEST(Leader, JobTooLargeForARecordIsRefused) {
  LeaderTestEnvironment world;
  world.StartLeader();
  JobSpec spec = world.Array("job-1", 2);
  spec.image = std::string(9000, 'i');
  EXPECT_EQ(world.Submit(spec).status, 422);
  EXPECT_EQ(world.Submit(world.Array("job-2", 2)).status, 201);
}

}  // namespace
}  // namespace deckhall
