#include "api/http_api.h"

#include <spdlog/spdlog.h>

#include "wire/job_codec.h"
#include "wire/worker_codec.h"

namespace deckhall {
namespace {

constexpr std::string_view kJobsPath = "/api/jobs";
constexpr std::string_view kCancelEnd = "/cancel";

HttpAnswer Error(int status, const char* why) {
  HttpAnswer a;
  a.status = status;
  a.body = EncodeError(why);
  return a;
}

HttpAnswer WrongMethod(const char* allow) {
  HttpAnswer a = Error(405, "method not allowed");
  a.allow = allow;
  return a;
}

}  // namespace

HttpApi::HttpApi(const Clock* clock, Backend backend)
    : clock_(clock),
      backend_(std::move(backend)),
      submit_ms_(boost::histogram::make_histogram(
          boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(
              40, 0.5, 10000.0))) {}

void HttpApi::Handle(const HttpMessage& request, const HttpServer::Reply& reply) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path == "/up") {
    if (request.method != "GET") {
      reply(WrongMethod("GET"));
      return;
    }
    HttpAnswer a;
    a.status = backend_.is_healthy() ? 200 : 503;
    a.body = a.status == 200 ? "{\"up\":true}" : "{\"up\":false}";
    reply(a);
  } else if (path == "/checkin") {
    if (request.method != "POST") {
      reply(WrongMethod("POST"));
    } else {
      HandleHeartbeat(request, reply);
    }
  } else if (path == kJobsPath || (path.starts_with(kJobsPath) && path[kJobsPath.size()] == '/')) {
    HandleJobs(request, path, reply);
  } else {
    reply(Error(404, "no such path"));
  }
}

void HttpApi::HandleJobs(const HttpMessage& request, const std::string& path,
                         const HttpServer::Reply& reply) {
  JobRequest job_request;
  if (path == kJobsPath) {
    if (request.method != "POST") {
      reply(WrongMethod("POST"));
      return;
    }
    job_request.operation = JobOperation::kSubmit;
    JobSubmission submission = ParseJob(request.body);
    job_request.job_id = std::move(submission.job_id);
    if (submission.spec.has_value()) {
      job_request.job = std::move(submission.spec.value());
    } else {
      job_request.validation_error = DescribeError(submission.spec.error());
    }
    // Without a usable id nobody can know the job.
    if (job_request.job_id.empty()) {
      reply(Error(400, job_request.validation_error.c_str()));
      return;
    }
    ForwardJobRequest(std::move(job_request), reply);
    return;
  }
  job_request.job_id = path.substr(kJobsPath.size() + 1);
  job_request.operation = JobOperation::kGet;
  if (job_request.job_id.size() > kCancelEnd.size() && job_request.job_id.ends_with(kCancelEnd)) {
    job_request.job_id.resize(job_request.job_id.size() - kCancelEnd.size());
    job_request.operation = JobOperation::kCancel;
  }
  if (job_request.job_id.find('/') != std::string::npos) {
    reply(Error(404, "no such path"));
    return;
  }
  const char* method = job_request.operation == JobOperation::kGet ? "GET" : "POST";
  if (request.method != method) {
    reply(WrongMethod(method));
    return;
  }
  if (!ValidJobId(job_request.job_id)) {
    // Can never have been accepted.
    reply(Error(404, "no such job"));
    return;
  }
  ForwardJobRequest(std::move(job_request), reply);
}

void HttpApi::ForwardJobRequest(JobRequest job_request, const HttpServer::Reply& reply) {
  const double began = clock_->Now();
  JobRequest head;
  head.operation = job_request.operation;
  head.job_id = job_request.job_id;
  backend_.handle_job_request(std::move(job_request),
                              [this, head, began, reply](const JobResponse& response) {
                                HttpAnswer a;
                                a.status = response.status;
                                a.retry_after_s = response.retry_after_s;
                                a.body = EncodeJobResponse(head, response);
                                if (head.operation == JobOperation::kSubmit) {
                                  ++submits_;
                                  if (response.status >= 300) ++refusals_;
                                  submit_ms_((clock_->Now() - began) * 1000 + 0.5);
                                }
                                reply(a);
                              });
}

void HttpApi::HandleHeartbeat(const HttpMessage& request, const HttpServer::Reply& reply) {
  std::optional<Heartbeat> heartbeat = DecodeHeartbeat(request.body);
  if (!heartbeat) {
    spdlog::warn("a report is malformed");
    reply(Error(400, "malformed report"));
    return;
  }
  backend_.handle_heartbeat(std::move(*heartbeat), [reply](const HeartbeatResponse& response) {
    HttpAnswer a;
    a.status = response.status;
    a.body = EncodeHeartbeatResponse(response);
    reply(a);
  });
}

void HttpApi::LogSubmitLatency() {
  if (submits_ == 0) return;
  const double total = static_cast<double>(submits_);
  double below = 0;
  double p50 = 0;
  double p97 = 0;
  for (auto&& cell : boost::histogram::indexed(submit_ms_, boost::histogram::coverage::all)) {
    below += *cell;
    if (p50 == 0 && below >= 0.5 * total) p50 = cell.bin().upper();
    if (p97 == 0 && below >= 0.97 * total) p97 = cell.bin().upper();
  }
  spdlog::info(
      "submissions: {} answered, {} not accepted, half within {:.0f} ms, 97% within {:.0f} ms",
      submits_, refusals_, p50, p97);
  submit_ms_.reset();
  submits_ = refusals_ = 0;
}

}  // namespace deckhall
