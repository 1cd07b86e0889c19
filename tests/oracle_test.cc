// Tests of the oracle itself: for each rule a short course of events that breaks it, and a similar
// one that does not.
#include "oracle.h"

#include <gtest/gtest.h>

#include "fakes.h"

namespace deckhall {
namespace {

JobSpec Spec(uint32_t tasks = 2) {
  JobSpec spec;
  spec.id = "job-1";
  spec.team = "blue";
  spec.task_count = tasks;
  spec.cores = 4;
  return spec;
}

Oracle::MachineState At(const std::string& machine, const std::string& zone = "east") {
  return {machine, "box", zone, false, 8, 64};
}

JobResponse Reply(int status, JobState state = JobState::kPending) {
  JobResponse response;
  response.status = status;
  response.state = state;
  return response;
}

// An oracle that has seen one job accepted.
struct OracleWithAcceptedJob : Oracle {
  explicit OracleWithAcceptedJob(const JobSpec& spec = Spec())
      : Oracle({{"blue", 0, 8, 0, 0}}, 40) {
    ObserveSubmission(spec);
    ObserveResponse(1, 0, JobOperation::kSubmit, "job-1", Reply(201));
  }
  bool HasOnlyViolation(const std::string& rule) const {
    return violations().size() == 1 && violations()[0].starts_with(rule);
  }
};

TEST(Oracle, ReportsATaskThatStartsWhileItRunsElsewhere) {
  OracleWithAcceptedJob oracle;
  oracle.TaskStarted(2, 2, "job-1", 0, At("m-1"));
  oracle.TaskStarted(3, 3, "job-1", 1, At("m-2"));
  oracle.TaskEnded(4, "job-1", 1, "m-2", false);
  oracle.TaskStarted(5, 5, "job-1", 1, At("m-1"));
  oracle.MachineLost(6, "m-1");
  oracle.TaskStarted(7, 7, "job-1", 0, At("m-2"));
  EXPECT_TRUE(oracle.violations().empty());
  oracle.TaskStarted(8, 8, "job-1", 0, At("m-3"));
  EXPECT_TRUE(oracle.HasOnlyViolation("ran_twice"));
}

TEST(Oracle, ReportsATeamAboveItsLimit) {
  OracleWithAcceptedJob oracle(Spec(3));
  oracle.TaskStarted(2, 2, "job-1", 0, At("m-1"));
  oracle.TaskStarted(2, 2, "job-1", 1, At("m-1"));
  EXPECT_TRUE(oracle.violations().empty());
  oracle.TaskStarted(2, 2, "job-1", 2, At("m-2"));
  EXPECT_TRUE(oracle.HasOnlyViolation("quota"));
}

TEST(Oracle, ReportsATaskOnAMachineThatItsJobForbids) {
  JobSpec types = Spec();
  types.allowed_types = {"other"};
  JobSpec zone = Spec();
  zone.zone = "west";
  for (const JobSpec& spec : {types, zone}) {
    OracleWithAcceptedJob oracle(spec);
    oracle.TaskStarted(2, 2, "job-1", 0, At("m-1"));
    EXPECT_TRUE(oracle.HasOnlyViolation("wrong_place"));
  }
  OracleWithAcceptedJob spot;
  Oracle::MachineState place = At("m-1");
  place.spot = true;
  spot.TaskStarted(2, 2, "job-1", 0, place);
  EXPECT_TRUE(spot.HasOnlyViolation("wrong_place"));
  JobSpec together = Spec();
  together.single_zone = true;
  JobSpec apart = Spec();
  apart.anti_affinity = true;
  for (const JobSpec& spec : {together, apart}) {
    OracleWithAcceptedJob oracle(spec);
    oracle.TaskStarted(2, 2, "job-1", 0, At("m-1", "east"));
    EXPECT_TRUE(oracle.violations().empty());
    oracle.TaskStarted(2, 2, "job-1", 1, At("m-2", spec.anti_affinity ? "east" : "west"));
    EXPECT_TRUE(oracle.HasOnlyViolation("wrong_place"));
  }
}

TEST(Oracle, ReportsACancelledJobThatRunsTooLongOrStarts) {
  OracleWithAcceptedJob running;
  running.TaskStarted(2, 2, "job-1", 0, At("m-1"));
  running.ObserveCancellation("job-1");
  running.ObserveResponse(10, 9, JobOperation::kCancel, "job-1", Reply(200, JobState::kCancelled));
  running.CheckLiveness(49, {});
  EXPECT_TRUE(running.violations().empty());
  running.CheckLiveness(51, {});
  EXPECT_TRUE(running.HasOnlyViolation("ran_cancelled"));

  OracleWithAcceptedJob starting;
  starting.ObserveCancellation("job-1");
  starting.ObserveResponse(10, 9, JobOperation::kCancel, "job-1", Reply(200, JobState::kCancelled));
  starting.TaskStarted(12, 9, "job-1", 0, At("m-1"));  // the command was in flight
  EXPECT_TRUE(starting.violations().empty());
  starting.TaskStarted(12, 11, "job-1", 1, At("m-1"));
  EXPECT_TRUE(starting.HasOnlyViolation("ran_cancelled"));
}

TEST(Oracle, ReportsAnAcceptedJobThatIsDeniedRefusedOrUnanswered) {
  OracleWithAcceptedJob denied;
  denied.ObserveResponse(3, 2, JobOperation::kGet, "job-1", Reply(404));
  EXPECT_TRUE(denied.HasOnlyViolation("forgotten"));
  OracleWithAcceptedJob refused;
  refused.ObserveResponse(3, 2, JobOperation::kSubmit, "job-1", Reply(422));
  EXPECT_TRUE(refused.HasOnlyViolation("forgotten"));
  OracleWithAcceptedJob unanswered;
  unanswered.SuspendLivenessChecksUntil(100);
  unanswered.ObserveResponse(110, 109, JobOperation::kGet, "job-1", Reply(503));
  unanswered.CheckLiveness(174, {});
  EXPECT_TRUE(unanswered.violations().empty());
  unanswered.CheckLiveness(176, {});
  EXPECT_TRUE(unanswered.HasOnlyViolation("forgotten"));
}

TEST(Oracle, ReportsAJobThatWasNeverSubmitted) {
  OracleWithAcceptedJob oracle;
  oracle.ObserveResponse(3, 2, JobOperation::kGet, "job-7", Reply(404));
  EXPECT_TRUE(oracle.violations().empty());
  oracle.ObserveResponse(3, 2, JobOperation::kGet, "job-7", Reply(200));
  EXPECT_TRUE(oracle.HasOnlyViolation("invented"));
}

TEST(Oracle, ReportsAJobThatIsDoneBeforeItsTasks) {
  OracleWithAcceptedJob oracle;
  oracle.TaskEnded(2, "job-1", 0, "m-1", true);
  oracle.ObserveResponse(3, 2, JobOperation::kGet, "job-1", Reply(200, JobState::kDone));
  EXPECT_TRUE(oracle.HasOnlyViolation("not_done"));
}

TEST(Oracle, ReportsAJobStateThatIsRevertedOrUnrequested) {
  OracleWithAcceptedJob done;
  done.TaskEnded(2, "job-1", 0, "m-1", true);
  done.TaskEnded(2, "job-1", 1, "m-1", true);
  done.ObserveResponse(3, 2, JobOperation::kGet, "job-1", Reply(200, JobState::kDone));
  // Requested before the other response was received: the responses overtook each other.
  done.ObserveResponse(4, 2, JobOperation::kGet, "job-1", Reply(200, JobState::kRunning));
  EXPECT_TRUE(done.violations().empty());
  done.ObserveResponse(5, 4, JobOperation::kGet, "job-1", Reply(200, JobState::kRunning));
  EXPECT_TRUE(done.HasOnlyViolation("went_back"));
  OracleWithAcceptedJob unrequested;
  unrequested.ObserveResponse(3, 2, JobOperation::kGet, "job-1", Reply(200, JobState::kCancelled));
  EXPECT_TRUE(unrequested.HasOnlyViolation("went_back"));
  OracleWithAcceptedJob cancelled;
  cancelled.ObserveCancellation("job-1");
  cancelled.ObserveResponse(3, 2, JobOperation::kCancel, "job-1", Reply(200, JobState::kCancelled));
  cancelled.ObserveResponse(5, 4, JobOperation::kGet, "job-1", Reply(200, JobState::kPending));
  EXPECT_TRUE(cancelled.HasOnlyViolation("went_back"));
}

TEST(Oracle, ReportsAJobThatWaitsDespiteFreeCapacity) {
  OracleWithAcceptedJob oracle;
  oracle.SuspendLivenessChecksUntil(10);
  for (const double t : EvenlySpacedTimes(10, 75, 5)) {
    oracle.ObserveResponse(t, t, JobOperation::kGet, "job-1", Reply(200));
    oracle.CheckLiveness(t, {At("m-1")});
  }
  // Without free capacity for a moment, the waiting time is counted from the start again.
  oracle.CheckLiveness(75, {});
  for (const double t : EvenlySpacedTimes(75, 166, 5)) {
    oracle.ObserveResponse(t, t, JobOperation::kGet, "job-1", Reply(200));
    oracle.CheckLiveness(t, {At("m-1")});
  }
  EXPECT_TRUE(oracle.violations().empty());
  oracle.CheckLiveness(167, {At("m-1")});
  EXPECT_TRUE(oracle.HasOnlyViolation("waits"));
}

TEST(Oracle, ReportsAnAcceptedJobThatFitsNoMachine) {
  Oracle oracle({{"blue", 0, 8, 0, 0}}, 40);
  oracle.ObserveUnplaceableSubmission("job-9");
  oracle.ObserveResponse(1, 0, JobOperation::kSubmit, "job-9", Reply(503));
  oracle.ObserveResponse(2, 1, JobOperation::kSubmit, "job-9", Reply(422));
  EXPECT_TRUE(oracle.violations().empty());
  oracle.ObserveResponse(3, 2, JobOperation::kSubmit, "job-9", Reply(201));
  EXPECT_EQ(oracle.violations().size(), 1U);
}

TEST(Oracle, ReportsAMessageLongerThanProtocolAllows) {
  OracleWithAcceptedJob oracle;
  const std::string longest(65536, 'x');
  EXPECT_TRUE(oracle.ObserveMessage(2, "commands", longest));
  EXPECT_TRUE(oracle.ObserveMessage(2, "two lines", longest + "\n" + longest));
  EXPECT_TRUE(oracle.violations().empty());
  EXPECT_FALSE(oracle.ObserveMessage(3, "commands", longest + "x"));
  EXPECT_TRUE(oracle.HasOnlyViolation("oversized"));
}

TEST(Oracle, ReportsAJobThatWaitsOnlyIfTheReportOfAMachineHasRoom) {
  OracleWithAcceptedJob oracle;
  Oracle::MachineState full = At("m-1");
  full.report_bytes = 100;
  for (double now = 2; now < 200; ++now) {
    oracle.ObserveResponse(now, now, JobOperation::kGet, "job-1", Reply(200));
    oracle.CheckLiveness(now, {full});
  }
  EXPECT_TRUE(oracle.violations().empty());
  for (double now = 200; now < 400; ++now) {
    oracle.ObserveResponse(now, now, JobOperation::kGet, "job-1", Reply(200));
    oracle.CheckLiveness(now, {At("m-1")});
  }
  EXPECT_TRUE(oracle.HasOnlyViolation("waits"));
}

}  // namespace
}  // namespace deckhall
