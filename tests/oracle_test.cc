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

Oracle::Place At(const std::string& machine, const std::string& zone = "east") {
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
    Asked(spec);
    Told(1, 0, JobOperation::kSubmit, "job-1", Reply(201));
  }
  bool HasOnlyViolation(const std::string& rule) const {
    return broken().size() == 1 && broken()[0].starts_with(rule);
  }
};

TEST(Oracle, ReportsATaskThatStartsWhileItRunsElsewhere) {
  OracleWithAcceptedJob oracle;
  oracle.Started(2, 2, "job-1", 0, At("m-1"));
  oracle.Started(3, 3, "job-1", 1, At("m-2"));
  oracle.Ended(4, "job-1", 1, "m-2", false);
  oracle.Started(5, 5, "job-1", 1, At("m-1"));
  oracle.MachineGone(6, "m-1");
  oracle.Started(7, 7, "job-1", 0, At("m-2"));
  EXPECT_TRUE(oracle.broken().empty());
  oracle.Started(8, 8, "job-1", 0, At("m-3"));
  EXPECT_TRUE(oracle.HasOnlyViolation("ran_twice"));
}

TEST(Oracle, ReportsATeamAboveItsLimit) {
  OracleWithAcceptedJob oracle(Spec(3));
  oracle.Started(2, 2, "job-1", 0, At("m-1"));
  oracle.Started(2, 2, "job-1", 1, At("m-1"));
  EXPECT_TRUE(oracle.broken().empty());
  oracle.Started(2, 2, "job-1", 2, At("m-2"));
  EXPECT_TRUE(oracle.HasOnlyViolation("quota"));
}

TEST(Oracle, ReportsATaskOnAMachineThatItsJobForbids) {
  JobSpec types = Spec();
  types.allowed_types = {"other"};
  JobSpec zone = Spec();
  zone.zone = "west";
  for (const JobSpec& spec : {types, zone}) {
    OracleWithAcceptedJob oracle(spec);
    oracle.Started(2, 2, "job-1", 0, At("m-1"));
    EXPECT_TRUE(oracle.HasOnlyViolation("wrong_place"));
  }
  OracleWithAcceptedJob spot;
  Oracle::Place place = At("m-1");
  place.spot = true;
  spot.Started(2, 2, "job-1", 0, place);
  EXPECT_TRUE(spot.HasOnlyViolation("wrong_place"));
  JobSpec together = Spec();
  together.single_zone = true;
  JobSpec apart = Spec();
  apart.anti_affinity = true;
  for (const JobSpec& spec : {together, apart}) {
    OracleWithAcceptedJob oracle(spec);
    oracle.Started(2, 2, "job-1", 0, At("m-1", "east"));
    EXPECT_TRUE(oracle.broken().empty());
    oracle.Started(2, 2, "job-1", 1, At("m-2", spec.anti_affinity ? "east" : "west"));
    EXPECT_TRUE(oracle.HasOnlyViolation("wrong_place"));
  }
}

TEST(Oracle, ReportsACancelledJobThatRunsTooLongOrStarts) {
  OracleWithAcceptedJob running;
  running.Started(2, 2, "job-1", 0, At("m-1"));
  running.CancelAsked("job-1");
  running.Told(10, 9, JobOperation::kCancel, "job-1", Reply(200, JobState::kCancelled));
  running.Step(49, {});
  EXPECT_TRUE(running.broken().empty());
  running.Step(51, {});
  EXPECT_TRUE(running.HasOnlyViolation("ran_cancelled"));

  OracleWithAcceptedJob starting;
  starting.CancelAsked("job-1");
  starting.Told(10, 9, JobOperation::kCancel, "job-1", Reply(200, JobState::kCancelled));
  starting.Started(12, 9, "job-1", 0, At("m-1"));  // the command was in flight
  EXPECT_TRUE(starting.broken().empty());
  starting.Started(12, 11, "job-1", 1, At("m-1"));
  EXPECT_TRUE(starting.HasOnlyViolation("ran_cancelled"));
}

TEST(Oracle, ReportsAnAcceptedJobThatIsDeniedRefusedOrUnanswered) {
  OracleWithAcceptedJob denied;
  denied.Told(3, 2, JobOperation::kGet, "job-1", Reply(404));
  EXPECT_TRUE(denied.HasOnlyViolation("forgotten"));
  OracleWithAcceptedJob refused;
  refused.Told(3, 2, JobOperation::kSubmit, "job-1", Reply(422));
  EXPECT_TRUE(refused.HasOnlyViolation("forgotten"));
  OracleWithAcceptedJob unanswered;
  unanswered.TroubleUntil(100);
  unanswered.Told(110, 109, JobOperation::kGet, "job-1", Reply(503));
  unanswered.Step(174, {});
  EXPECT_TRUE(unanswered.broken().empty());
  unanswered.Step(176, {});
  EXPECT_TRUE(unanswered.HasOnlyViolation("forgotten"));
}

TEST(Oracle, ReportsAJobThatWasNeverSubmitted) {
  OracleWithAcceptedJob oracle;
  oracle.Told(3, 2, JobOperation::kGet, "job-7", Reply(404));
  EXPECT_TRUE(oracle.broken().empty());
  oracle.Told(3, 2, JobOperation::kGet, "job-7", Reply(200));
  EXPECT_TRUE(oracle.HasOnlyViolation("invented"));
}

TEST(Oracle, ReportsAJobThatIsDoneBeforeItsTasks) {
  OracleWithAcceptedJob oracle;
  oracle.Ended(2, "job-1", 0, "m-1", true);
  oracle.Told(3, 2, JobOperation::kGet, "job-1", Reply(200, JobState::kDone));
  EXPECT_TRUE(oracle.HasOnlyViolation("not_done"));
}

TEST(Oracle, ReportsAJobStateThatIsRevertedOrUnrequested) {
  OracleWithAcceptedJob done;
  done.Ended(2, "job-1", 0, "m-1", true);
  done.Ended(2, "job-1", 1, "m-1", true);
  done.Told(3, 2, JobOperation::kGet, "job-1", Reply(200, JobState::kDone));
  // Requested before the other response was received: the responses overtook each other.
  done.Told(4, 2, JobOperation::kGet, "job-1", Reply(200, JobState::kRunning));
  EXPECT_TRUE(done.broken().empty());
  done.Told(5, 4, JobOperation::kGet, "job-1", Reply(200, JobState::kRunning));
  EXPECT_TRUE(done.HasOnlyViolation("went_back"));
  OracleWithAcceptedJob unrequested;
  unrequested.Told(3, 2, JobOperation::kGet, "job-1", Reply(200, JobState::kCancelled));
  EXPECT_TRUE(unrequested.HasOnlyViolation("went_back"));
  OracleWithAcceptedJob cancelled;
  cancelled.CancelAsked("job-1");
  cancelled.Told(3, 2, JobOperation::kCancel, "job-1", Reply(200, JobState::kCancelled));
  cancelled.Told(5, 4, JobOperation::kGet, "job-1", Reply(200, JobState::kPending));
  EXPECT_TRUE(cancelled.HasOnlyViolation("went_back"));
}

TEST(Oracle, ReportsAJobThatWaitsDespiteFreeCapacity) {
  OracleWithAcceptedJob oracle;
  oracle.TroubleUntil(10);
  for (const double t : Steps(10, 75, 5)) {
    oracle.Told(t, t, JobOperation::kGet, "job-1", Reply(200));
    oracle.Step(t, {At("m-1")});
  }
  // Without free capacity for a moment, the waiting time is counted from the start again.
  oracle.Step(75, {});
  for (const double t : Steps(75, 166, 5)) {
    oracle.Told(t, t, JobOperation::kGet, "job-1", Reply(200));
    oracle.Step(t, {At("m-1")});
  }
  EXPECT_TRUE(oracle.broken().empty());
  oracle.Step(167, {At("m-1")});
  EXPECT_TRUE(oracle.HasOnlyViolation("waits"));
}

TEST(Oracle, ReportsAnAcceptedJobThatFitsNoMachine) {
  Oracle oracle({{"blue", 0, 8, 0, 0}}, 40);
  oracle.AskedHopeless("job-9");
  oracle.Told(1, 0, JobOperation::kSubmit, "job-9", Reply(503));
  oracle.Told(2, 1, JobOperation::kSubmit, "job-9", Reply(422));
  EXPECT_TRUE(oracle.broken().empty());
  oracle.Told(3, 2, JobOperation::kSubmit, "job-9", Reply(201));
  EXPECT_EQ(oracle.broken().size(), 1U);
}

}  // namespace
}  // namespace deckhall
