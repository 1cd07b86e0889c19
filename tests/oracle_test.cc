// The oracle itself: for each rule a short story that breaks it, and one beside it that
// does not.
#include "oracle.h"

#include <gtest/gtest.h>

#include "fakes.h"

namespace deckhall {
namespace {

JobSpec Spec(uint32_t tasks = 2) {
  JobSpec s;
  s.id = "job-1";
  s.team = "blue";
  s.task_count = tasks;
  s.cores = 4;
  return s;
}

Oracle::MachineState At(const std::string& machine, const std::string& zone = "east") {
  return {machine, "box", zone, false, 8, 64};
}

JobResponse Reply(int status, JobState state = JobState::kPending) {
  JobResponse r;
  r.status = status;
  r.state = state;
  return r;
}

// An accepted job.
struct Watched : Oracle {
  explicit Watched(const JobSpec& spec = Spec()) : Oracle({{"blue", 0, 8, 0, 0}}, 40) {
    ObserveSubmission(spec);
    ObserveResponse(1, 0, JobOperation::kSubmit, "job-1", Reply(201));
  }
  bool Broke(const std::string& rule) const {
    return violations().size() == 1 && violations()[0].starts_with(rule);
  }
};

TEST(Oracle, RanTwice) {
  Watched o;
  o.TaskStarted(2, 2, "job-1", 0, At("m-1"));
  o.TaskStarted(3, 3, "job-1", 1, At("m-2"));
  o.TaskEnded(4, "job-1", 1, "m-2", false);
  o.TaskStarted(5, 5, "job-1", 1, At("m-1"));
  o.MachineLost(6, "m-1");
  o.TaskStarted(7, 7, "job-1", 0, At("m-2"));
  EXPECT_TRUE(o.violations().empty());
  o.TaskStarted(8, 8, "job-1", 0, At("m-3"));
  EXPECT_TRUE(o.Broke("ran_twice"));
}

TEST(Oracle, Quota) {
  Watched o(Spec(3));
  o.TaskStarted(2, 2, "job-1", 0, At("m-1"));
  o.TaskStarted(2, 2, "job-1", 1, At("m-1"));
  EXPECT_TRUE(o.violations().empty());
  o.TaskStarted(2, 2, "job-1", 2, At("m-2"));
  EXPECT_TRUE(o.Broke("quota"));
}

TEST(Oracle, WrongPlace) {
  JobSpec types = Spec();
  types.allowed_types = {"other"};
  JobSpec zone = Spec();
  zone.zone = "west";
  for (const JobSpec& spec : {types, zone}) {
    Watched o(spec);
    o.TaskStarted(2, 2, "job-1", 0, At("m-1"));
    EXPECT_TRUE(o.Broke("wrong_place"));
  }
  Watched spot;
  Oracle::MachineState place = At("m-1");
  place.spot = true;
  spot.TaskStarted(2, 2, "job-1", 0, place);
  EXPECT_TRUE(spot.Broke("wrong_place"));
  JobSpec together = Spec();
  together.single_zone = true;
  JobSpec apart = Spec();
  apart.anti_affinity = true;
  for (const JobSpec& spec : {together, apart}) {
    Watched o(spec);
    o.TaskStarted(2, 2, "job-1", 0, At("m-1", "east"));
    EXPECT_TRUE(o.violations().empty());
    o.TaskStarted(2, 2, "job-1", 1, At("m-2", spec.anti_affinity ? "east" : "west"));
    EXPECT_TRUE(o.Broke("wrong_place"));
  }
}

TEST(Oracle, RanCancelled) {
  Watched on;
  on.TaskStarted(2, 2, "job-1", 0, At("m-1"));
  on.ObserveCancellation("job-1");
  on.ObserveResponse(10, 9, JobOperation::kCancel, "job-1", Reply(200, JobState::kCancelled));
  on.CheckLiveness(49, {});
  EXPECT_TRUE(on.violations().empty());
  on.CheckLiveness(51, {});
  EXPECT_TRUE(on.Broke("ran_cancelled"));

  Watched start;
  start.ObserveCancellation("job-1");
  start.ObserveResponse(10, 9, JobOperation::kCancel, "job-1", Reply(200, JobState::kCancelled));
  start.TaskStarted(12, 9, "job-1", 0, At("m-1"));  // was on its way
  EXPECT_TRUE(start.violations().empty());
  start.TaskStarted(12, 11, "job-1", 1, At("m-1"));
  EXPECT_TRUE(start.Broke("ran_cancelled"));
}

TEST(Oracle, Forgotten) {
  Watched denied;
  denied.ObserveResponse(3, 2, JobOperation::kGet, "job-1", Reply(404));
  EXPECT_TRUE(denied.Broke("forgotten"));
  Watched refused;
  refused.ObserveResponse(3, 2, JobOperation::kSubmit, "job-1", Reply(422));
  EXPECT_TRUE(refused.Broke("forgotten"));
  Watched silent;
  silent.SuspendLivenessChecksUntil(100);
  silent.ObserveResponse(110, 109, JobOperation::kGet, "job-1", Reply(503));
  silent.CheckLiveness(174, {});
  EXPECT_TRUE(silent.violations().empty());
  silent.CheckLiveness(176, {});
  EXPECT_TRUE(silent.Broke("forgotten"));
}

TEST(Oracle, Invented) {
  Watched o;
  o.ObserveResponse(3, 2, JobOperation::kGet, "job-7", Reply(404));
  EXPECT_TRUE(o.violations().empty());
  o.ObserveResponse(3, 2, JobOperation::kGet, "job-7", Reply(200));
  EXPECT_TRUE(o.Broke("invented"));
}

TEST(Oracle, NotDone) {
  Watched o;
  o.TaskEnded(2, "job-1", 0, "m-1", true);
  o.ObserveResponse(3, 2, JobOperation::kGet, "job-1", Reply(200, JobState::kDone));
  EXPECT_TRUE(o.Broke("not_done"));
}

TEST(Oracle, WentBack) {
  Watched done;
  done.TaskEnded(2, "job-1", 0, "m-1", true);
  done.TaskEnded(2, "job-1", 1, "m-1", true);
  done.ObserveResponse(3, 2, JobOperation::kGet, "job-1", Reply(200, JobState::kDone));
  // Asked before the other was told: the answers crossed on their way.
  done.ObserveResponse(4, 2, JobOperation::kGet, "job-1", Reply(200, JobState::kRunning));
  EXPECT_TRUE(done.violations().empty());
  done.ObserveResponse(5, 4, JobOperation::kGet, "job-1", Reply(200, JobState::kRunning));
  EXPECT_TRUE(done.Broke("went_back"));
  Watched unasked;
  unasked.ObserveResponse(3, 2, JobOperation::kGet, "job-1", Reply(200, JobState::kCancelled));
  EXPECT_TRUE(unasked.Broke("went_back"));
  Watched cancelled;
  cancelled.ObserveCancellation("job-1");
  cancelled.ObserveResponse(3, 2, JobOperation::kCancel, "job-1", Reply(200, JobState::kCancelled));
  cancelled.ObserveResponse(5, 4, JobOperation::kGet, "job-1", Reply(200, JobState::kPending));
  EXPECT_TRUE(cancelled.Broke("went_back"));
}

TEST(Oracle, WaitsThoughAFittingMachineHasRoom) {
  Watched o;
  o.SuspendLivenessChecksUntil(10);
  for (const double t : EvenlySpacedTimes(10, 75, 5)) {
    o.ObserveResponse(t, t, JobOperation::kGet, "job-1", Reply(200));
    o.CheckLiveness(t, {At("m-1")});
  }
  // No room for a moment: the time counts anew.
  o.CheckLiveness(75, {});
  for (const double t : EvenlySpacedTimes(75, 166, 5)) {
    o.ObserveResponse(t, t, JobOperation::kGet, "job-1", Reply(200));
    o.CheckLiveness(t, {At("m-1")});
  }
  EXPECT_TRUE(o.violations().empty());
  o.CheckLiveness(167, {At("m-1")});
  EXPECT_TRUE(o.Broke("waits"));
}

TEST(Oracle, AcceptedThoughItCanNotRun) {
  Oracle o({{"blue", 0, 8, 0, 0}}, 40);
  o.ObserveUnplaceableSubmission("job-9");
  o.ObserveResponse(1, 0, JobOperation::kSubmit, "job-9", Reply(503));
  o.ObserveResponse(2, 1, JobOperation::kSubmit, "job-9", Reply(422));
  EXPECT_TRUE(o.violations().empty());
  o.ObserveResponse(3, 2, JobOperation::kSubmit, "job-9", Reply(201));
  EXPECT_EQ(o.violations().size(), 1U);
}

}  // namespace
}  // namespace deckhall
