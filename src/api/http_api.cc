#include "api/http_api.h"

#include <spdlog/spdlog.h>

#include <optional>
#include <utility>

#include "net/http_status.h"
#include "wire/job_codec.h"
#include "wire/worker_codec.h"

namespace deckhall {
namespace {

constexpr const char* kHealthyBody = "{\"up\":true}";
constexpr const char* kUnhealthyBody = "{\"up\":false}";

// Errors that the API itself detects; the backend detects all others.
enum class ApiError { kUnknownPath, kUnknownJob, kMethodNotAllowed, kMalformedHeartbeat };

struct ErrorDescription {
  int status;
  const char* text;  // error text in the body; clients match it
};

ErrorDescription Describe(ApiError error) {
  switch (error) {
    case ApiError::kUnknownPath:
      return {http_status::kNotFound, "no such path"};
    case ApiError::kUnknownJob:
      return {http_status::kNotFound, "no such job"};
    case ApiError::kMethodNotAllowed:
      return {http_status::kMethodNotAllowed, "method not allowed"};
    case ApiError::kMalformedHeartbeat:
      return {http_status::kBadRequest, "malformed report"};
  }
  return {http_status::kServiceUnavailable, "unknown error"};
}

HttpResponse ErrorResponse(int status, std::string_view text) {
  HttpResponse response;
  response.status = status;
  response.body = EncodeError(text);
  return response;
}

HttpResponse ErrorResponse(ApiError error) {
  const ErrorDescription description = Describe(error);
  return ErrorResponse(description.status, description.text);
}

HttpResponse MethodNotAllowedResponse(const char* allowed_method) {
  HttpResponse response = ErrorResponse(ApiError::kMethodNotAllowed);
  response.allow = allowed_method;
  return response;
}

std::string PathOf(const std::string& target) { return target.substr(0, target.find('?')); }

}  // namespace

HttpApi::HttpApi(const Clock* clock, Backend backend)
    : clock_(clock), backend_(std::move(backend)) {}

void HttpApi::Handle(const HttpMessage& request, const HttpServer::Reply& reply) {
  const std::optional<RouteMatch> match = MatchRoute(PathOf(request.target));
  if (!match) {
    reply(ErrorResponse(ApiError::kUnknownPath));
    return;
  }
  if (request.method != match->method) {
    reply(MethodNotAllowedResponse(match->method));
    return;
  }
  switch (match->route) {
    case RouteId::kHealth:
      return HandleHealthProbe(reply);
    case RouteId::kHeartbeat:
      return HandleHeartbeat(request, reply);
    case RouteId::kSubmitJob:
      return HandleSubmission(request, reply);
    case RouteId::kGetJob:
      return HandleJobOperation(JobOperation::kGet, match->job_id, reply);
    case RouteId::kCancelJob:
      return HandleJobOperation(JobOperation::kCancel, match->job_id, reply);
  }
}

void HttpApi::HandleHealthProbe(const HttpServer::Reply& reply) {
  const bool healthy = backend_.is_healthy();
  HttpResponse response;
  response.status = healthy ? http_status::kOk : http_status::kServiceUnavailable;
  response.body = healthy ? kHealthyBody : kUnhealthyBody;
  reply(response);
}

void HttpApi::HandleSubmission(const HttpMessage& request, const HttpServer::Reply& reply) {
  JobSubmission parsed = ParseJob(request.body);
  JobRequest submission;
  submission.operation = JobOperation::kSubmit;
  submission.job_id = std::move(parsed.job_id);
  if (parsed.spec.has_value()) {
    submission.job = std::move(parsed.spec.value());
  } else {
    submission.validation_error = DescribeError(parsed.spec.error());
  }
  // An invalid submission with a valid id is still sent to the backend, which may know the job.
  if (submission.job_id.empty()) {
    reply(ErrorResponse(http_status::kBadRequest, submission.validation_error));
    return;
  }
  SendToBackend(std::move(submission), reply);
}

void HttpApi::HandleJobOperation(JobOperation operation, const std::string& job_id,
                                 const HttpServer::Reply& reply) {
  // A job with an invalid id can't have been accepted.
  if (!ValidJobId(job_id)) {
    reply(ErrorResponse(ApiError::kUnknownJob));
    return;
  }
  JobRequest request;
  request.operation = operation;
  request.job_id = job_id;
  SendToBackend(std::move(request), reply);
}

void HttpApi::SendToBackend(JobRequest request, const HttpServer::Reply& reply) {
  const double received_at = clock_->Now();
  JobRequest header;  // the request without its job, sufficient to encode the response
  header.operation = request.operation;
  header.job_id = request.job_id;
  auto respond = [this, header, received_at, reply](const JobResponse& job_response) {
    HttpResponse response;
    response.status = job_response.status;
    response.retry_after_s = job_response.retry_after_s;
    response.body = EncodeJobResponse(header, job_response);
    if (header.operation == JobOperation::kSubmit) {
      submission_statistics_.Record(job_response.status, clock_->Now() - received_at);
    }
    reply(response);
  };
  backend_.handle_job_request(std::move(request), std::move(respond));
}

void HttpApi::HandleHeartbeat(const HttpMessage& request, const HttpServer::Reply& reply) {
  std::optional<Heartbeat> heartbeat = DecodeHeartbeat(request.body);
  if (!heartbeat) {
    spdlog::warn("malformed heartbeat refused");
    reply(ErrorResponse(ApiError::kMalformedHeartbeat));
    return;
  }
  auto respond = [reply](const HeartbeatResponse& heartbeat_response) {
    HttpResponse response;
    response.status = heartbeat_response.status;
    response.body = EncodeHeartbeatResponse(heartbeat_response);
    reply(response);
  };
  backend_.handle_heartbeat(std::move(*heartbeat), std::move(respond));
}

}  // namespace deckhall
