// One leader: what users are told, what is durable before it is told, and its lease.
#include <gtest/gtest.h>

#include "fakes.h"

namespace deckhall {
namespace {

TEST(Leader, RunsAnArrayAndTellsItIsDone) {
  World w;
  w.Lead();
  auto& m = w.Machine("m-1", "east");
  EXPECT_EQ(w.Submit(w.Array("job-1", 2)).status, 201);
  w.Pass(1);
  EXPECT_EQ(m.started.size(), 2U);
  m.End("job-1/0", ExitReason::kDone);
  m.End("job-1/1", ExitReason::kDone);
  w.Pass(2);
  EXPECT_EQ(w.Ask(JobOperation::kGet, "job-1").state, JobState::kDone);
}

TEST(Leader, AcceptsOnlyWhatIsDurable) {
  World w;
  w.Lead();
  w.state.refuse = true;
  EXPECT_EQ(w.Submit(w.Array("job-1", 2)).status, 0);  // still waiting for the store
  EXPECT_EQ(w.Ask(JobOperation::kGet, "job-1").status, 503);
  w.state.refuse = false;
  w.Pass(1);
  EXPECT_EQ(w.Ask(JobOperation::kGet, "job-1").status, 200);
}

TEST(Leader, AnUnansweredTransactionThatWasAppliedIsNotLost) {
  World w;
  w.Lead();
  w.state.lose_answers = 1;
  w.Submit(w.Array("job-1", 2));
  w.Pass(2);
  EXPECT_EQ(w.Ask(JobOperation::kGet, "job-1").status, 200);
  EXPECT_FALSE(w.deposed);
  w.Lead();
  EXPECT_EQ(w.Ask(JobOperation::kGet, "job-1").status, 200);
}

TEST(Leader, ATransactionAppliedLateDoesNotUndoALaterOne) {
  World w;
  w.Lead();
  w.state.hold_commits = 1;
  w.Submit(w.Array("job-1", 2));
  w.Pass(1);  // written again, under the same version
  EXPECT_EQ(w.Ask(JobOperation::kCancel, "job-1").state, JobState::kCancelled);
  w.state.Late();
  w.Pass(1);
  w.Lead();
  EXPECT_EQ(w.Ask(JobOperation::kGet, "job-1").state, JobState::kCancelled);
}

TEST(Leader, AWriteThatMeetsAnotherTermEndsThisOne) {
  World w;
  w.Lead();
  ++w.state.revision;
  w.state.keys["leader"].version = w.state.revision;
  EXPECT_NE(w.Submit(w.Array("job-1", 2)).status, 201);
  w.Pass(1);
  EXPECT_TRUE(w.deposed);
}

TEST(Leader, AWorkerThatSawAHigherTokenEndsTheTerm) {
  World w;
  w.Lead();
  auto& m = w.Machine("m-1", "east");
  m.report.fencing_token = (w.leader->term() + 1) << kTermShiftBits;
  ++m.report.sequence;
  w.lease.until = w.clock.now - 0.1;
  EXPECT_EQ(w.leader->HandleHeartbeat(m.report).status, 421);
  EXPECT_TRUE(w.deposed);
}

TEST(Leader, AKnownIdIsAnsweredBeforeItIsValidated) {
  World w;
  w.Lead();
  auto& m = w.Machine("m-1", "east");
  w.Submit(w.Array("job-1", 1));
  w.Pass(1);
  m.End("job-1/0", ExitReason::kDone);
  w.Pass(1);
  const JobResponse again =
      w.Ask(JobOperation::kSubmit, "job-1", nullptr, "missing or invalid: cores");
  EXPECT_EQ(again.status, 200);
  EXPECT_EQ(again.state, JobState::kDone);
  EXPECT_EQ(w.Ask(JobOperation::kSubmit, "job-2", nullptr, "missing or invalid: cores").status,
            400);
  // Also long after its end, when only the end is kept, and by another leader.
  w.Pass(120);
  EXPECT_EQ(w.Submit(w.Array("job-1", 1)).state, JobState::kDone);
  w.Lead();
  EXPECT_EQ(w.Submit(w.Array("job-1", 1)).state, JobState::kDone);
}

// Found on the first standard days: 'done' went back to 'pending' while the row
// of the finished job was being rewritten.
TEST(Leader, AnEndThatWasToldStaysToldWhileItsRowIsRewritten) {
  World w;
  w.Lead();
  auto& m = w.Machine("m-1", "east");
  w.Submit(w.Array("job-1", 1));
  w.Pass(1);
  m.End("job-1/0", ExitReason::kDone);
  w.Pass(2);
  ASSERT_EQ(w.Ask(JobOperation::kGet, "job-1").state, JobState::kDone);
  w.state.refuse = true;  // nothing more becomes durable
  for (int i = 0; i < 100; ++i) {
    w.Pass(1);
    ASSERT_EQ(w.Ask(JobOperation::kGet, "job-1").state, JobState::kDone);
  }
}

TEST(Leader, WhatCanNeverRunIsRefused) {
  World w;
  w.Lead();
  EXPECT_EQ(w.Submit(w.Array("job-1", 1, 9)).status, 422);  // no such machine
  EXPECT_EQ(w.Submit(w.Service("job-2", 9)).status, 422);   // over the limit as a whole
  EXPECT_EQ(w.Submit(w.Array("job-3", 9)).status, 201);     // one task at a time is fine
  JobSpec spec = w.Array("job-4", 1);
  spec.team = "green";
  EXPECT_EQ(w.Submit(spec).status, 422);
}

TEST(Leader, NeitherAcceptsNorRefusesBeforeItKnowsTheMachineTypes) {
  World w;
  w.cloud.out = true;
  w.Lead();
  EXPECT_EQ(w.Submit(w.Array("job-1", 1, 900)).status, 503);
}

TEST(Leader, PastItsLeaseItLaunchesNothingButGoesOnAnsweringReports) {
  World w;
  w.Lead();
  auto& m = w.Machine("m-1", "east");
  w.Submit(w.Service("job-1", 1));
  w.Pass(1);
  ASSERT_EQ(m.started.size(), 1U);
  w.Submit(w.Array("job-2", 3));
  w.lease.until = w.clock.now - 0.1;
  m.End("job-1/0", ExitReason::kError);
  const size_t before = m.started.size();
  w.Pass(3);
  EXPECT_EQ(m.started.size(), before);
  EXPECT_EQ(w.Ask(JobOperation::kGet, "job-1").status, 503);
  ++m.report.sequence;
  EXPECT_EQ(w.leader->HandleHeartbeat(m.report).status, 200);
  // What it renewed last is gone before a cancellation that another one told meanwhile
  // runs out of time.
  EXPECT_LT(GracePeriodSeconds(w.settings) + w.settings.lease_s, w.settings.cancel_s);
  w.clock.now += GracePeriodSeconds(w.settings) + 1;
  ++m.report.sequence;
  EXPECT_EQ(w.leader->HandleHeartbeat(m.report).status, 503);
}

TEST(Leader, PastItsLeaseAReportGetsNoLaunchThatWasStillToBeSent) {
  World w;
  w.cloud.refuse = true;
  w.Lead();
  auto& a = w.Machine("m-1", "east");
  a.unsent = true;
  w.Submit(w.Array("job-1", 1));
  w.Pass(0.5, false);
  w.lease.until = w.clock.now;
  w.ReportNow(&a);
  EXPECT_FALSE(a.Has("job-1/0"));
  w.lease.until = 1e12;
  w.ReportNow(&a);
  w.Pass(2);
  EXPECT_TRUE(a.Has("job-1/0"));
}

TEST(Leader, AnEndIsToldOnlyWhenItIsDurable) {
  World w;
  w.cloud.refuse = true;
  w.Lead();
  auto& a = w.Machine("m-1", "east");
  w.Submit(w.Array("job-1", 1));
  w.Pass(1);
  w.state.refuse = true;
  a.End("job-1/0", ExitReason::kDone);
  w.Pass(2);
  EXPECT_NE(w.Ask(JobOperation::kGet, "job-1").state, JobState::kDone);
  w.state.refuse = false;
  w.Pass(1);
  EXPECT_EQ(w.Ask(JobOperation::kGet, "job-1").state, JobState::kDone);
}

TEST(Leader, AnOutageThatReachesEverybodyDoesNotEndTheHold) {
  World w;
  w.no_later_term_since = 0;
  w.Lead();
  auto& m = w.Machine("m-1", "east");
  w.lease.until = w.clock.now - 0.1;
  w.clock.now += GracePeriodSeconds(w.settings) * 3;
  w.no_later_term_since = w.clock.now - 1;  // the others know of no later term
  ++m.report.sequence;
  EXPECT_EQ(w.leader->HandleHeartbeat(m.report).status, 200);
  w.no_later_term_since = w.clock.now - GracePeriodSeconds(w.settings) - 1;
  ++m.report.sequence;
  EXPECT_EQ(w.leader->HandleHeartbeat(m.report).status, 503);
}

TEST(Leader, WhatTheMemoryDoesNotAllowIsPutOffAndWhatIsAcceptedStays) {
  World w;
  w.settings.quota_memory_mb = 0.1;  // some ten jobs, some four hundred tasks
  w.Lead();
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
  EXPECT_EQ(w.Ask(JobOperation::kGet, "job-1").status, 200);
  EXPECT_EQ(w.Submit(w.Array("job-1", 300)).status, 200);  // known: no new one
}

TEST(Leader, AJobThatNoRowCanHoldIsRefused) {
  World w;
  w.Lead();
  JobSpec s = w.Array("job-1", 2);
  s.image = std::string(9000, 'i');
  EXPECT_EQ(w.Submit(s).status, 422);
  EXPECT_EQ(w.Submit(w.Array("job-2", 2)).status, 201);
}

}  // namespace
}  // namespace deckhall
