// One leader: what users are told, what is durable before it is told, and its lease.
#include <gtest/gtest.h>

#include "fakes.h"

namespace deckhall {
namespace {

TEST(Leader, RunsAnArrayAndTellsItIsDone) {
  LeaderTestEnvironment w;
  w.StartLeader();
  auto& m = w.AddMachine("m-1", "east");
  EXPECT_EQ(w.Submit(w.Array("job-1", 2)).status, 201);
  w.AdvanceTime(1);
  EXPECT_EQ(m.started_tasks.size(), 2U);
  m.EndTask("job-1/0", ExitReason::kDone);
  m.EndTask("job-1/1", ExitReason::kDone);
  w.AdvanceTime(2);
  EXPECT_EQ(w.SendRequest(JobOperation::kGet, "job-1").state, JobState::kDone);
}

TEST(Leader, AcceptsOnlyWhatIsDurable) {
  LeaderTestEnvironment w;
  w.StartLeader();
  w.state.unavailable = true;
  EXPECT_EQ(w.Submit(w.Array("job-1", 2)).status, 0);  // still waiting for the store
  EXPECT_EQ(w.SendRequest(JobOperation::kGet, "job-1").status, 503);
  w.state.unavailable = false;
  w.AdvanceTime(1);
  EXPECT_EQ(w.SendRequest(JobOperation::kGet, "job-1").status, 200);
}

TEST(Leader, AnUnansweredTransactionThatWasAppliedIsNotLost) {
  LeaderTestEnvironment w;
  w.StartLeader();
  w.state.responses_to_lose = 1;
  w.Submit(w.Array("job-1", 2));
  w.AdvanceTime(2);
  EXPECT_EQ(w.SendRequest(JobOperation::kGet, "job-1").status, 200);
  EXPECT_FALSE(w.leadership_lost);
  w.StartLeader();
  EXPECT_EQ(w.SendRequest(JobOperation::kGet, "job-1").status, 200);
}

TEST(Leader, ATransactionAppliedLateDoesNotUndoALaterOne) {
  LeaderTestEnvironment w;
  w.StartLeader();
  w.state.commits_to_delay = 1;
  w.Submit(w.Array("job-1", 2));
  w.AdvanceTime(1);  // written again, under the same version
  EXPECT_EQ(w.SendRequest(JobOperation::kCancel, "job-1").state, JobState::kCancelled);
  w.state.ApplyDelayed();
  w.AdvanceTime(1);
  w.StartLeader();
  EXPECT_EQ(w.SendRequest(JobOperation::kGet, "job-1").state, JobState::kCancelled);
}

TEST(Leader, AWriteThatMeetsAnotherTermEndsThisOne) {
  LeaderTestEnvironment w;
  w.StartLeader();
  ++w.state.revision;
  w.state.keys["leader"].version = w.state.revision;
  EXPECT_NE(w.Submit(w.Array("job-1", 2)).status, 201);
  w.AdvanceTime(1);
  EXPECT_TRUE(w.leadership_lost);
}

TEST(Leader, AWorkerThatSawAHigherTokenEndsTheTerm) {
  LeaderTestEnvironment w;
  w.StartLeader();
  auto& m = w.AddMachine("m-1", "east");
  m.heartbeat.fencing_token = (w.leader->term() + 1) << kTermShiftBits;
  ++m.heartbeat.sequence;
  w.lease.valid_until = w.clock.now - 0.1;
  EXPECT_EQ(w.leader->HandleHeartbeat(m.heartbeat).status, 421);
  EXPECT_TRUE(w.leadership_lost);
}

TEST(Leader, AKnownIdIsAnsweredBeforeItIsValidated) {
  LeaderTestEnvironment w;
  w.StartLeader();
  auto& m = w.AddMachine("m-1", "east");
  w.Submit(w.Array("job-1", 1));
  w.AdvanceTime(1);
  m.EndTask("job-1/0", ExitReason::kDone);
  w.AdvanceTime(1);
  const JobResponse again =
      w.SendRequest(JobOperation::kSubmit, "job-1", nullptr, "missing or invalid: cores");
  EXPECT_EQ(again.status, 200);
  EXPECT_EQ(again.state, JobState::kDone);
  EXPECT_EQ(
      w.SendRequest(JobOperation::kSubmit, "job-2", nullptr, "missing or invalid: cores").status,
      400);
  // Also long after its end, when only the end is kept, and by another leader.
  w.AdvanceTime(120);
  EXPECT_EQ(w.Submit(w.Array("job-1", 1)).state, JobState::kDone);
  w.StartLeader();
  EXPECT_EQ(w.Submit(w.Array("job-1", 1)).state, JobState::kDone);
}

// Found on the first standard days: 'done' went back to 'pending' while the row
// of the finished job was being rewritten.
TEST(Leader, AnEndThatWasToldStaysToldWhileItsRowIsRewritten) {
  LeaderTestEnvironment w;
  w.StartLeader();
  auto& m = w.AddMachine("m-1", "east");
  w.Submit(w.Array("job-1", 1));
  w.AdvanceTime(1);
  m.EndTask("job-1/0", ExitReason::kDone);
  w.AdvanceTime(2);
  ASSERT_EQ(w.SendRequest(JobOperation::kGet, "job-1").state, JobState::kDone);
  w.state.unavailable = true;  // nothing more becomes durable
  for (int i = 0; i < 100; ++i) {
    w.AdvanceTime(1);
    ASSERT_EQ(w.SendRequest(JobOperation::kGet, "job-1").state, JobState::kDone);
  }
}

TEST(Leader, WhatCanNeverRunIsRefused) {
  LeaderTestEnvironment w;
  w.StartLeader();
  EXPECT_EQ(w.Submit(w.Array("job-1", 1, 9)).status, 422);  // no such machine
  EXPECT_EQ(w.Submit(w.Service("job-2", 9)).status, 422);   // over the limit as a whole
  EXPECT_EQ(w.Submit(w.Array("job-3", 9)).status, 201);     // one task at a time is fine
  JobSpec spec = w.Array("job-4", 1);
  spec.team = "green";
  EXPECT_EQ(w.Submit(spec).status, 422);
}

TEST(Leader, NeitherAcceptsNorRefusesBeforeItKnowsTheMachineTypes) {
  LeaderTestEnvironment w;
  w.cloud.unavailable = true;
  w.StartLeader();
  EXPECT_EQ(w.Submit(w.Array("job-1", 1, 900)).status, 503);
}

TEST(Leader, PastItsLeaseItLaunchesNothingButGoesOnAnsweringReports) {
  LeaderTestEnvironment w;
  w.StartLeader();
  auto& m = w.AddMachine("m-1", "east");
  w.Submit(w.Service("job-1", 1));
  w.AdvanceTime(1);
  ASSERT_EQ(m.started_tasks.size(), 1U);
  w.Submit(w.Array("job-2", 3));
  w.lease.valid_until = w.clock.now - 0.1;
  m.EndTask("job-1/0", ExitReason::kError);
  const size_t before = m.started_tasks.size();
  w.AdvanceTime(3);
  EXPECT_EQ(m.started_tasks.size(), before);
  EXPECT_EQ(w.SendRequest(JobOperation::kGet, "job-1").status, 503);
  ++m.heartbeat.sequence;
  EXPECT_EQ(w.leader->HandleHeartbeat(m.heartbeat).status, 200);
  // What it renewed last is gone before a cancellation that another one told meanwhile
  // runs out of time.
  EXPECT_LT(GracePeriodSeconds(w.settings) + w.settings.lease_s, w.settings.cancel_s);
  w.clock.now += GracePeriodSeconds(w.settings) + 1;
  ++m.heartbeat.sequence;
  EXPECT_EQ(w.leader->HandleHeartbeat(m.heartbeat).status, 503);
}

TEST(Leader, PastItsLeaseAReportGetsNoLaunchThatWasStillToBeSent) {
  LeaderTestEnvironment w;
  w.cloud.out_of_capacity = true;
  w.StartLeader();
  auto& a = w.AddMachine("m-1", "east");
  a.refuses_connections = true;
  w.Submit(w.Array("job-1", 1));
  w.AdvanceTime(0.5, false);
  w.lease.valid_until = w.clock.now;
  w.SendHeartbeat(&a);
  EXPECT_FALSE(a.HasTask("job-1/0"));
  w.lease.valid_until = 1e12;
  w.SendHeartbeat(&a);
  w.AdvanceTime(2);
  EXPECT_TRUE(a.HasTask("job-1/0"));
}

TEST(Leader, AnEndIsToldOnlyWhenItIsDurable) {
  LeaderTestEnvironment w;
  w.cloud.out_of_capacity = true;
  w.StartLeader();
  auto& a = w.AddMachine("m-1", "east");
  w.Submit(w.Array("job-1", 1));
  w.AdvanceTime(1);
  w.state.unavailable = true;
  a.EndTask("job-1/0", ExitReason::kDone);
  w.AdvanceTime(2);
  EXPECT_NE(w.SendRequest(JobOperation::kGet, "job-1").state, JobState::kDone);
  w.state.unavailable = false;
  w.AdvanceTime(1);
  EXPECT_EQ(w.SendRequest(JobOperation::kGet, "job-1").state, JobState::kDone);
}

TEST(Leader, AnOutageThatReachesEverybodyDoesNotEndTheHold) {
  LeaderTestEnvironment w;
  w.no_later_term_since = 0;
  w.StartLeader();
  auto& m = w.AddMachine("m-1", "east");
  w.lease.valid_until = w.clock.now - 0.1;
  w.clock.now += GracePeriodSeconds(w.settings) * 3;
  w.no_later_term_since = w.clock.now - 1;  // the others know of no later term
  ++m.heartbeat.sequence;
  EXPECT_EQ(w.leader->HandleHeartbeat(m.heartbeat).status, 200);
  w.no_later_term_since = w.clock.now - GracePeriodSeconds(w.settings) - 1;
  ++m.heartbeat.sequence;
  EXPECT_EQ(w.leader->HandleHeartbeat(m.heartbeat).status, 503);
}

TEST(Leader, WhatTheMemoryDoesNotAllowIsPutOffAndWhatIsAcceptedStays) {
  LeaderTestEnvironment w;
  w.settings.quota_memory_mb = 0.1;  // some ten jobs, some four hundred tasks
  w.StartLeader();
  EXPECT_EQ(w.Submit(w.Array("job-1", 300)).status, 201);
  const JobResponse tasks = w.Submit(w.Array("job-2", 200));
  EXPECT_EQ(tasks.status, 503);
  EXPECT_GT(tasks.retry_after_s, 0);
  int accepted = 0;
  for (int i = 10; i < 40; ++i) {
    accepted += w.Submit(w.Array("job-" + std::to_string(i), 1)).status == 201 ? 1 : 0;
  }
  EXPECT_GT(accepted, 5);
  EXPECT_LT(accepted, 20);
  EXPECT_EQ(w.SendRequest(JobOperation::kGet, "job-1").status, 200);
  EXPECT_EQ(w.Submit(w.Array("job-1", 300)).status, 200);  // known: no new one
}

TEST(Leader, AJobThatNoRowCanHoldIsRefused) {
  LeaderTestEnvironment w;
  w.StartLeader();
  JobSpec s = w.Array("job-1", 2);
  s.image = std::string(9000, 'i');
  EXPECT_EQ(w.Submit(s).status, 422);
  EXPECT_EQ(w.Submit(w.Array("job-2", 2)).status, 201);
}

}  // namespace
}  // namespace deckhall
