// The HTTP face of a node: users, workers and health checks.
#pragma once

#include <boost/histogram.hpp>
#include <functional>
#include <string>

#include "net/clock.h"
#include "net/http_server.h"
#include "wire/types.h"

namespace deckhall {

class HttpApi {
 public:
  using JobResponseCallback = std::function<void(JobResponse)>;
  using HeartbeatResponseCallback = std::function<void(HeartbeatResponse)>;
  struct Backend {
    std::function<void(JobRequest, JobResponseCallback)> handle_job_request;
    std::function<void(Heartbeat, HeartbeatResponseCallback)> handle_heartbeat;
    std::function<bool()> is_healthy;
  };

  HttpApi(const Clock* clock, Backend backend);

  void Handle(const HttpMessage& request, const HttpServer::Reply& reply);
  // Writes how long submissions took since the last call.
  void LogSubmitLatency();

 private:
  void HandleJobs(const HttpMessage& request, const std::string& path,
                  const HttpServer::Reply& reply);
  void ForwardJobRequest(JobRequest request, const HttpServer::Reply& reply);
  void HandleHeartbeat(const HttpMessage& request, const HttpServer::Reply& reply);

  const Clock* clock_;
  Backend backend_;
  using Latency = decltype(boost::histogram::make_histogram(
      boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(1, 1.0,
                                                                                      2.0)));
  Latency submit_ms_;
  uint64_t submits_ = 0;
  uint64_t refusals_ = 0;
};

}  // namespace deckhall
