// The HTTP face of a node: users, workers and health checks.
#pragma once

#include <boost/histogram.hpp>
#include <functional>
#include <string>

#include "net/clock.h"
#include "net/http_server.h"
#include "wire/types.h"

namespace deckhall {

class Front {
 public:
  using UserDone = std::function<void(JobResponse)>;
  using ReportDone = std::function<void(HeartbeatResponse)>;
  struct Backend {
    std::function<void(JobRequest, UserDone)> user;
    std::function<void(Heartbeat, ReportDone)> report;
    std::function<bool()> up;
  };

  Front(const Clock* clock, Backend backend);

  void Handle(const HttpMessage& request, const HttpServer::Reply& reply);
  // Writes how long submissions took since the last call.
  void LogLatency();

 private:
  void Jobs(const HttpMessage& request, const std::string& path, const HttpServer::Reply& reply);
  void Ask(JobRequest ask, const HttpServer::Reply& reply);
  void CheckIn(const HttpMessage& request, const HttpServer::Reply& reply);

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
