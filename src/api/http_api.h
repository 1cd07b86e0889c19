// The HTTP API of a controller, for users, workers and the load balancer.
//
// | route                      | status   | meaning                                     |
// |----------------------------|----------|---------------------------------------------|
// | GET /up                    | 200      | healthy: the load balancer sends users here |
// |                            | 503      | not healthy                                 |
// | POST /checkin              | 200      | commands for the worker                     |
// |                            | 400      | malformed                                   |
// |                            | 421      | report to the controller named in the body  |
// |                            | 503      | no leader can be reached                    |
// | POST /api/jobs             | 201      | accepted                                    |
// |                            | 200      | known already: the state of the job         |
// |                            | 400      | malformed                                   |
// |                            | 422      | can never run                               |
// |                            | 503      | retry later                                 |
// | GET /api/jobs/{id}         | 200      | the state of the job                        |
// |                            | 404      | never accepted                              |
// |                            | 503      | retry later                                 |
// | POST /api/jobs/{id}/cancel | 200      | cancelled, or done already                  |
// |                            | 404      | never accepted                              |
// |                            | 503      | retry later                                 |
//
// Any other path gets 404, and any other method on one of these paths gets 405 with `Allow`. Every
// error response except that of /up has a body with the error text. Source: PROTOCOL, "Users ->
// controller nodes" and "Workers -> controller nodes"; 405 follows RFC 9110.
//
// Guarantee: each request gets one reply, immediately or when the backend has responded. This class
// decodes, routes and encodes; all decisions about jobs and workers are made by the backend.
//
// Owned by `Process`. Single-threaded.
#pragma once

#include <functional>
#include <string>

#include "api/routes.h"
#include "api/submission_statistics.h"
#include "net/clock.h"
#include "net/http_server.h"
#include "wire/types.h"

namespace deckhall {

class HttpApi {
 public:
  using JobResponseCallback = std::function<void(JobResponse)>;
  using HeartbeatResponseCallback = std::function<void(HeartbeatResponse)>;

  // Serves the decoded requests. Each callback must be called once, immediately or later.
  struct Backend {
    std::function<void(JobRequest, JobResponseCallback)> handle_job_request;
    std::function<void(Heartbeat, HeartbeatResponseCallback)> handle_heartbeat;
    // Whether this controller can serve users.
    std::function<bool()> is_healthy;
  };

  // `clock` must outlive this object; this object must outlive the backend's callbacks.
  HttpApi(const Clock* clock, Backend backend);

  // Serves one request. `reply` is called once, immediately or later.
  void Handle(const HttpMessage& request, const HttpServer::Reply& reply);
  // Logs the latency and the outcomes of the submissions since the last call.
  void LogSubmissionStatistics() { submission_statistics_.LogAndReset(); }

 private:
  void HandleHealthProbe(const HttpServer::Reply& reply);
  void HandleHeartbeat(const HttpMessage& request, const HttpServer::Reply& reply);
  void HandleSubmission(const HttpMessage& request, const HttpServer::Reply& reply);
  // Serves a request about one existing job.
  void HandleJobOperation(JobOperation operation, const std::string& job_id,
                          const HttpServer::Reply& reply);
  void SendToBackend(JobRequest request, const HttpServer::Reply& reply);

  const Clock* clock_;
  Backend backend_;
  SubmissionStatistics submission_statistics_;
};

}  // namespace deckhall
