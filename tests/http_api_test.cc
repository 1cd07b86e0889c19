// The HTTP API with a scripted backend: routes, methods and error bodies as users and workers get
// them.
#include "api/http_api.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fakes.h"

namespace deckhall {
namespace {

class HttpApiTest : public testing::Test {
 protected:
  HttpResponse Send(const std::string& method, const std::string& target,
                    const std::string& body = "") {
    HttpMessage request;
    request.method = method;
    request.target = target;
    request.body = body;
    std::optional<HttpResponse> answer;
    api_.Handle(request, [&answer](HttpResponse given) { answer = std::move(given); });
    EXPECT_TRUE(answer.has_value()) << method << " " << target;
    return answer.value_or(HttpResponse());
  }
  std::string StatusAndBody(const std::string& method, const std::string& target,
                            const std::string& body = "") {
    const HttpResponse answer = Send(method, target, body);
    return std::to_string(answer.status) + " " + answer.body;
  }

  bool healthy_ = true;
  JobResponse job_response_;
  std::vector<JobRequest> job_requests_;
  std::vector<Heartbeat> heartbeats_;

 private:
  HttpApi::Backend BuildBackend() {
    HttpApi::Backend backend;
    backend.handle_job_request = [this](JobRequest request,
                                        const HttpApi::JobResponseCallback& done) {
      job_requests_.push_back(std::move(request));
      done(job_response_);
    };
    backend.handle_heartbeat = [this](Heartbeat heartbeat,
                                      const HttpApi::HeartbeatResponseCallback& done) {
      heartbeats_.push_back(std::move(heartbeat));
      done(HeartbeatResponse());
    };
    backend.is_healthy = [this] { return healthy_; };
    return backend;
  }

  FakeClock clock_;
  HttpApi api_{&clock_, BuildBackend()};
};

TEST_F(HttpApiTest, HealthProbeGetsHealthOfBackend) {
  EXPECT_EQ(StatusAndBody("GET", "/up"), R"(200 {"up":true})");
  healthy_ = false;
  EXPECT_EQ(StatusAndBody("GET", "/up?probe=1"), R"(503 {"up":false})");
}

TEST_F(HttpApiTest, UnknownPathIsNotFound) {
  for (const char* path : {"", "/", "/upp", "/up/", "/checkin/", "/api", "/api/job", "/api/jobsx",
                           "/api/jobs/a/b", "/api/jobs//cancel", "/api/jobs/job-1/cancel/",
                           "/api/jobs/a/b/cancel", "/api/jobs/job-1/cancel/cancel"}) {
    for (const char* method : {"GET", "POST"}) {
      EXPECT_EQ(StatusAndBody(method, path), R"(404 {"error":"no such path"})") << path;
    }
  }
  EXPECT_TRUE(job_requests_.empty());
}

TEST_F(HttpApiTest, WrongMethodIsRefusedAndAllowedMethodNamed) {
  const std::vector<std::pair<std::string, std::string>> allowed = {
      {"/up", "GET"},
      {"/checkin", "POST"},
      {"/api/jobs", "POST"},
      {"/api/jobs/job-1", "GET"},
      {"/api/jobs/no-job", "GET"},
      {"/api/jobs/", "GET"},
      {"/api/jobs/cancel", "GET"},
      {"/api/jobs/job-1/cancel", "POST"}};
  for (const auto& [path, method] : allowed) {
    const HttpResponse answer = Send(method == "GET" ? "POST" : "GET", path);
    EXPECT_EQ(answer.status, 405) << path;
    EXPECT_EQ(answer.allow, method) << path;
    EXPECT_EQ(answer.body, R"({"error":"method not allowed"})") << path;
  }
  EXPECT_TRUE(job_requests_.empty());
}

TEST_F(HttpApiTest, InvalidIdIsAnsweredAsUnknownJob) {
  EXPECT_EQ(StatusAndBody("GET", "/api/jobs/"), R"(404 {"error":"no such job"})");
  EXPECT_EQ(StatusAndBody("GET", "/api/jobs/cancel"), R"(404 {"error":"no such job"})");
  EXPECT_EQ(StatusAndBody("POST", "/api/jobs/no-job/cancel"), R"(404 {"error":"no such job"})");
  EXPECT_TRUE(job_requests_.empty());
}

TEST_F(HttpApiTest, RequestsAboutAJobReachTheBackend) {
  job_response_.status = 200;
  job_response_.state = JobState::kRunning;
  job_response_.tasks_done = 3;
  job_response_.tasks_running = 13;
  EXPECT_EQ(StatusAndBody("GET", "/api/jobs/job-000412"),
            R"(200 {"name_id":"job-000412","estado":"running","done":3,"running":13})");
  job_response_.state = JobState::kCancelled;
  EXPECT_EQ(StatusAndBody("POST", "/api/jobs/job-000412/cancel?now"),
            R"(200 {"name_id":"job-000412","estado":"aborted"})");
  ASSERT_EQ(job_requests_.size(), 2U);
  EXPECT_EQ(job_requests_[0].operation, JobOperation::kGet);
  EXPECT_EQ(job_requests_[0].job_id, "job-000412");
  EXPECT_EQ(job_requests_[1].operation, JobOperation::kCancel);
  EXPECT_EQ(job_requests_[1].job_id, "job-000412");
}

TEST_F(HttpApiTest, SubmissionWithoutUsableIdIsMalformed) {
  EXPECT_EQ(StatusAndBody("POST", "/api/jobs", "{"), R"(400 {"error":"not JSON"})");
  EXPECT_EQ(StatusAndBody("POST", "/api/jobs", "[]"), R"(400 {"error":"not an object"})");
  EXPECT_EQ(Send("POST", "/api/jobs", R"({"name_id":"x"})").status, 400);
  EXPECT_TRUE(job_requests_.empty());
}

TEST_F(HttpApiTest, InvalidSubmissionWithUsableIdReachesBackend) {
  job_response_ = UnavailableResponse("no leader can be reached", 2);
  const HttpResponse answer = Send("POST", "/api/jobs", R"({"name_id":"job-7"})");
  EXPECT_EQ(answer.status, 503);
  EXPECT_EQ(answer.retry_after_s, 2);
  EXPECT_EQ(answer.body, R"({"error":"no leader can be reached"})");
  ASSERT_EQ(job_requests_.size(), 1U);
  EXPECT_EQ(job_requests_[0].operation, JobOperation::kSubmit);
  EXPECT_EQ(job_requests_[0].job_id, "job-7");
  EXPECT_FALSE(job_requests_[0].validation_error.empty());
}

TEST_F(HttpApiTest, MalformedHeartbeatIsRefused) {
  EXPECT_EQ(StatusAndBody("POST", "/checkin", "{"), R"(400 {"error":"malformed report"})");
  EXPECT_TRUE(heartbeats_.empty());
}

}  // namespace
}  // namespace deckhall
