// Responses to users who exceed the rate of status requests, or whose leader stops responding.
#include <gtest/gtest.h>

#include "app/status_rate_limiter.h"
#include "meeting_support.h"

namespace deckhall {
namespace {

// The longest time for which any of `job_count` jobs gets no answer. For two minutes, the status of
// all jobs is requested every `every_s` seconds, one right after the other, always in the same
// order.
double LongestSecondsWithoutAnswer(double rate, size_t job_count, double every_s) {
  StatusRateLimiter limiter(rate);
  std::vector<double> last_answer_s(job_count, 0);
  double longest_s = 0;
  for (const double now : EvenlySpacedTimes(0, 120, every_s)) {
    for (size_t i = 0; i < job_count; ++i) {
      if (limiter.Admit(JobId(i), now)) {
        limiter.RecordResponse(JobId(i), true, now);
        last_answer_s[i] = now;
      }
      longest_s = std::max(longest_s, now - last_answer_s[i]);
    }
  }
  return longest_s;
}

// A token bucket alone would serve the same first requests after each refill and starve the others.
TEST(StatusRateLimiterTest, NoJobIsStarvedByOthers) {
  constexpr double kRate = 20;
  constexpr double kOverdueAfterSeconds = StatusRateLimiter::kOverdueAfterSeconds;
  constexpr double kUsableRate = kRate * (1 - StatusRateLimiter::kReservedForOverdueShare);
  EXPECT_LE(LongestSecondsWithoutAnswer(kRate, 200, 0.25),
            kOverdueAfterSeconds + 200 / kUsableRate + 0.25);
  EXPECT_LE(LongestSecondsWithoutAnswer(kRate, 400, 0.25),
            kOverdueAfterSeconds + 400 / kUsableRate + 0.25);
  EXPECT_LE(LongestSecondsWithoutAnswer(kRate, 80, 5),
            kOverdueAfterSeconds + 5 * 80 / kUsableRate + 5);
}

TEST(StatusRateLimiterTest, RequestsForUnknownJobsDoNotStarveKnownJobs) {
  constexpr double kRate = 20;
  constexpr size_t kJobCount = 100;
  StatusRateLimiter limiter(kRate);
  for (size_t i = 0; i < kJobCount; ++i) limiter.RecordResponse(JobId(i), true, 0);
  std::vector<bool> answered(kJobCount, false);
  size_t unknown_job = kJobCount;
  const double from = StatusRateLimiter::kOverdueAfterSeconds;
  for (const double now : EvenlySpacedTimes(
           from, from + kJobCount / kRate + StatusRateLimiter::kCatchUpSeconds, 0.25)) {
    for (int i = 0; i < 100; ++i) limiter.Admit(JobId(unknown_job++), now);
    for (size_t i = 0; i < kJobCount; ++i) {
      if (!limiter.Admit(JobId(i), now)) continue;
      limiter.RecordResponse(JobId(i), true, now);
      answered[i] = true;
    }
  }
  EXPECT_EQ(std::count(answered.begin(), answered.end(), true), static_cast<long>(kJobCount));
}

TEST(StatusRateLimiterTest, NumberOfTrackedJobsIsBoundedByAdmissionRate) {
  constexpr double kRate = 20;
  StatusRateLimiter limiter(kRate);
  for (const double now : EvenlySpacedTimes(0, 600, 0.25)) {
    for (int i = 0; i < 100; ++i) {
      const std::string job = "job-" + std::to_string(now) + "-" + std::to_string(i);
      if (limiter.Admit(job, now)) limiter.RecordResponse(job, true, now);
    }
  }
  EXPECT_LE(static_cast<double>(limiter.size()),
            kRate * 5 * StatusRateLimiter::kOverdueAfterSeconds);
}

struct SubmissionOutcome {
  int status = 0;  // 0 until answered
  double response_time_s = 0;
  std::string error;
};

// Submits a job of one task through the node.
std::shared_ptr<SubmissionOutcome> SubmitThrough(Cluster* cluster, size_t node,
                                                 const std::string& id) {
  auto submission = std::make_shared<SubmissionOutcome>();
  JobRequest request;
  request.operation = JobOperation::kSubmit;
  request.job_id = id;
  request.job = cluster->Array(id, 1);
  cluster->node(node)->HandleJobRequest(
      request, [cluster, submission, from = cluster->now()](const JobResponse& r) {
        EXPECT_EQ(submission->status, 0) << "answered twice";
        submission->status = r.status;
        submission->error = r.error;
        submission->response_time_s = cluster->now() - from;
      });
  return submission;
}

// Regression (inc-29c6): a submission that a follower had forwarded to a leader that then stopped
// responding waited 3 s and got 503, although the next leader was elected after 1 s.
TEST(UserRequestForwarding,
     SubmissionThatUnresponsiveLeaderLeavesUnansweredIsAnsweredByNextLeader) {
  for (uint64_t seed = 1; seed <= 8; ++seed) {
    auto cluster = StartCluster(seed, 3, 3);
    const size_t leader = cluster->Leader();
    cluster->Freeze(leader, 30);
    std::vector<std::shared_ptr<SubmissionOutcome>> submissions;
    for (size_t node = 0; node < 3; ++node) {
      if (node != leader)
        submissions.push_back(SubmitThrough(cluster.get(), node, JobId(100 + node)));
    }
    cluster->Run(2);
    for (const auto& submission : submissions) {
      EXPECT_TRUE(submission->status == 201 || submission->status == 200)
          << "seed " << seed << ": " << submission->status << " after "
          << submission->response_time_s << " s, " << submission->error;
      EXPECT_LT(submission->response_time_s, 2) << "seed " << seed;
    }
    cluster->Run(40);  // the old leader resumes and sends responses that are no longer awaited
    EXPECT_EQ(cluster->Violations(), "") << "seed " << seed;
  }
}

TEST(UserRequestForwarding, SubmissionWithoutLeaderIsSoonAnsweredUnavailable) {
  auto cluster = StartCluster(1, 3, 3);
  const size_t leader = cluster->Leader();
  cluster->StateOutage(20);  // no other controller can become leader
  cluster->Freeze(leader, 20);
  const auto submission = SubmitThrough(cluster.get(), (leader + 1) % 3, "job-100");
  cluster->Run(2.5);
  EXPECT_EQ(submission->status, 503);
  EXPECT_LT(submission->response_time_s, 2.3);
  cluster->Run(40);
  EXPECT_EQ(cluster->Violations(), "");
}

}  // namespace
}  // namespace deckhall
