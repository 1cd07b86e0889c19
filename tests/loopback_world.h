// Fixture of the tests with controller processes on loopback; the state service, the cloud and the
// workers are fakes in the test process.
#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "loopback_controllers.h"
#include "loopback_fleet.h"
#include "loopback_state.h"
#include "net/http_client.h"

namespace deckhall {

// The time limits of the settings with which the controllers start.
constexpr double kLoopbackLeaseSeconds = 8;
constexpr double kLoopbackCancelSeconds = 16;

class LoopbackWorld : public ::testing::Test {
 protected:
  // The oracle counts a replica as down after `detect_s` without its machine, and as up `settle_s`
  // after its start.
  LoopbackWorld(double detect_s, double settle_s);

  // Runs the loop until the condition holds; returns false on a timeout.
  bool RunUntil(const std::function<bool()>& condition, double timeout_s);
  void Run(double seconds);
  // Submits the job at a controller; repeats the request at the next one until it is accepted.
  void Submit(const JobSpec& spec);
  // Cancels the job; repeats the request at the next controller until it is answered. Calls `done`
  // with the time of the answer.
  void Cancel(const std::string& job, const std::function<void(double)>& done, size_t node = 0);
  // For failed tests.
  void PrintLogs() const;

  Loop loop_;
  Endpoint state_endpoint_;
  Endpoint cloud_endpoint_;
  DisruptionOracle oracle_;
  LoopbackControllers controllers_;
  LoopbackState state_;
  LoopbackFleet fleet_;
  HttpClient users_;

 private:
  void Send(const JobSpec& spec, size_t node);
  void RetryLater(std::function<void()> retry);

  std::vector<std::unique_ptr<Timer>> retries_;
};

// A service of the team whose tasks take so many cores.
JobSpec LoopbackService(int number, const std::string& team, uint32_t replicas, double cores);

}  // namespace deckhall
