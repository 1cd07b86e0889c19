// A single leader: its responses to users, their durability before they are sent, and its lease.
#include <gtest/gtest.h>

#include "fakes.h"

namespace deckhall {
namespace {

TEST(Leader, ArrayIsRunAndReportedAsDone) {
  World world;
  world.Lead();
  auto& worker = world.Machine("m-1", "east");
  EXPECT_EQ(world.Submit(world.Array("job-1", 2)).status, 201);
  world.Pass(1);
  EXPECT_EQ(worker.started.size(), 2U);
  worker.End("job-1/0", ExitReason::kDone);
  worker.End("job-1/1", ExitReason::kDone);
  world.Pass(2);
  EXPECT_EQ(world.Ask(JobOperation::kGet, "job-1").state, JobState::kDone);
}

TEST(Leader, JobIsAcceptedOnlyOnceDurable) {
  World world;
  world.Lead();
  world.state.refuse = true;
  EXPECT_EQ(world.Submit(world.Array("job-1", 2)).status,
            0);  // the write to the state service is pending
  EXPECT_EQ(world.Ask(JobOperation::kGet, "job-1").status, 503);
  world.state.refuse = false;
  world.Pass(1);
  EXPECT_EQ(world.Ask(JobOperation::kGet, "job-1").status, 200);
}

TEST(Leader, AppliedTransactionWithLostResponseIsNotLost) {
  World world;
  world.Lead();
  world.state.lose_answers = 1;
  world.Submit(world.Array("job-1", 2));
  world.Pass(2);
  EXPECT_EQ(world.Ask(JobOperation::kGet, "job-1").status, 200);
  EXPECT_FALSE(world.deposed);
  world.Lead();
  EXPECT_EQ(world.Ask(JobOperation::kGet, "job-1").status, 200);
}

TEST(Leader, TransactionAppliedLateDoesNotOverwriteLaterOne) {
  World world;
  world.Lead();
  world.state.hold_commits = 1;
  world.Submit(world.Array("job-1", 2));
  world.Pass(1);  // the write is retried under the same version
  EXPECT_EQ(world.Ask(JobOperation::kCancel, "job-1").state, JobState::kCancelled);
  world.state.Late();
  world.Pass(1);
  world.Lead();
  EXPECT_EQ(world.Ask(JobOperation::kGet, "job-1").state, JobState::kCancelled);
}

TEST(Leader, WriteConflictingWithNewLeaderKeyEndsTerm) {
  World world;
  world.Lead();
  ++world.state.revision;
  world.state.keys["leader"].version = world.state.revision;
  EXPECT_NE(world.Submit(world.Array("job-1", 2)).status, 201);
  world.Pass(1);
  EXPECT_TRUE(world.deposed);
}

TEST(Leader, HeartbeatWithHigherFencingTokenEndsTerm) {
  World world;
  world.Lead();
  auto& worker = world.Machine("m-1", "east");
  worker.report.fencing_token = (world.leader->term() + 1) << kTermShiftBits;
  ++worker.report.sequence;
  world.lease.until = world.clock.now - 0.1;
  EXPECT_EQ(world.leader->HandleHeartbeat(worker.report).status, 421);
  EXPECT_TRUE(world.deposed);
}

TEST(Leader, ResubmissionOfKnownJobIsAnsweredBeforeValidation) {
  World world;
  world.Lead();
  auto& worker = world.Machine("m-1", "east");
  world.Submit(world.Array("job-1", 1));
  world.Pass(1);
  worker.End("job-1/0", ExitReason::kDone);
  world.Pass(1);
  const JobResponse repeated =
      world.Ask(JobOperation::kSubmit, "job-1", nullptr, "missing or invalid: cores");
  EXPECT_EQ(repeated.status, 200);
  EXPECT_EQ(repeated.state, JobState::kDone);
  EXPECT_EQ(world.Ask(JobOperation::kSubmit, "job-2", nullptr, "missing or invalid: cores").status,
            400);
  // The same holds long after completion, when only the result is kept, and under the next leader.
  world.Pass(120);
  EXPECT_EQ(world.Submit(world.Array("job-1", 1)).state, JobState::kDone);
  world.Lead();
  EXPECT_EQ(world.Submit(world.Array("job-1", 1)).state, JobState::kDone);
}

// Regression: the state of a finished job went back from 'done' to 'pending' while its record was
// being rewritten.
TEST(Leader, ReportedCompletionIsKeptWhileItsRecordIsRewritten) {
  World world;
  world.Lead();
  auto& worker = world.Machine("m-1", "east");
  world.Submit(world.Array("job-1", 1));
  world.Pass(1);
  worker.End("job-1/0", ExitReason::kDone);
  world.Pass(2);
  ASSERT_EQ(world.Ask(JobOperation::kGet, "job-1").state, JobState::kDone);
  world.state.refuse = true;  // no further write becomes durable
  for (int i = 0; i < 100; ++i) {
    world.Pass(1);
    ASSERT_EQ(world.Ask(JobOperation::kGet, "job-1").state, JobState::kDone);
  }
}

TEST(Leader, JobThatCanNeverRunIsRefused) {
  World world;
  world.Lead();
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
  World world;
  world.cloud.out = true;
  world.Lead();
  EXPECT_EQ(world.Submit(world.Array("job-1", 1, 900)).status, 503);
}

TEST(Leader, ExpiredLeaseStopsLaunchesButNotHeartbeatResponses) {
  World world;
  world.Lead();
  auto& worker = world.Machine("m-1", "east");
  world.Submit(world.Service("job-1", 1));
  world.Pass(1);
  ASSERT_EQ(worker.started.size(), 1U);
  world.Submit(world.Array("job-2", 3));
  world.lease.until = world.clock.now - 0.1;
  worker.End("job-1/0", ExitReason::kError);
  const size_t started_before = worker.started.size();
  world.Pass(3);
  EXPECT_EQ(worker.started.size(), started_before);
  EXPECT_EQ(world.Ask(JobOperation::kGet, "job-1").status, 503);
  ++worker.report.sequence;
  EXPECT_EQ(world.leader->HandleHeartbeat(worker.report).status, 200);
  // The worker leases that this leader renewed last expire before the deadline of a cancellation
  // that another leader has confirmed meanwhile.
  EXPECT_LT(GracePeriodSeconds(world.settings) + world.settings.lease_s, world.settings.cancel_s);
  world.clock.now += GracePeriodSeconds(world.settings) + 1;
  ++worker.report.sequence;
  EXPECT_EQ(world.leader->HandleHeartbeat(worker.report).status, 503);
}

TEST(Leader, ExpiredLeaseKeepsPendingLaunchOutOfHeartbeatResponse) {
  World world;
  world.cloud.refuse = true;
  world.Lead();
  auto& worker = world.Machine("m-1", "east");
  worker.unsent = true;
  world.Submit(world.Array("job-1", 1));
  world.Pass(0.5, false);
  world.lease.until = world.clock.now;
  world.ReportNow(&worker);
  EXPECT_FALSE(worker.Has("job-1/0"));
  world.lease.until = 1e12;
  world.ReportNow(&worker);
  world.Pass(2);
  EXPECT_TRUE(worker.Has("job-1/0"));
}

TEST(Leader, CompletionIsReportedOnlyOnceDurable) {
  World world;
  world.cloud.refuse = true;
  world.Lead();
  auto& worker = world.Machine("m-1", "east");
  world.Submit(world.Array("job-1", 1));
  world.Pass(1);
  world.state.refuse = true;
  worker.End("job-1/0", ExitReason::kDone);
  world.Pass(2);
  EXPECT_NE(world.Ask(JobOperation::kGet, "job-1").state, JobState::kDone);
  world.state.refuse = false;
  world.Pass(1);
  EXPECT_EQ(world.Ask(JobOperation::kGet, "job-1").state, JobState::kDone);
}

TEST(Leader, OutageOfAllControllersDoesNotEndGracePeriod) {
  World world;
  world.no_later_term_since = 0;
  world.Lead();
  auto& worker = world.Machine("m-1", "east");
  world.lease.until = world.clock.now - 0.1;
  world.clock.now += GracePeriodSeconds(world.settings) * 3;
  world.no_later_term_since = world.clock.now - 1;  // the other controllers know of no later term
  ++worker.report.sequence;
  EXPECT_EQ(world.leader->HandleHeartbeat(worker.report).status, 200);
  world.no_later_term_since = world.clock.now - GracePeriodSeconds(world.settings) - 1;
  ++worker.report.sequence;
  EXPECT_EQ(world.leader->HandleHeartbeat(worker.report).status, 503);
}

TEST(Leader, SubmissionOverMemoryQuotaIsDeferredAndAcceptedJobsAreKept) {
  World world;
  world.settings.quota_memory_mb = 0.1;  // enough for about ten jobs and 400 tasks
  world.Lead();
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
  EXPECT_EQ(world.Ask(JobOperation::kGet, "job-1").status, 200);
  EXPECT_EQ(world.Submit(world.Array("job-1", 300)).status,
            200);  // a known job needs no more memory
}

TEST(Leader, JobTooLargeForARecordIsRefused) {
  World world;
  world.Lead();
  JobSpec spec = world.Array("job-1", 2);
  spec.image = std::string(9000, 'i');
  EXPECT_EQ(world.Submit(spec).status, 422);
  EXPECT_EQ(world.Submit(world.Array("job-2", 2)).status, 201);
}

}  // namespace
}  // namespace deckhall
