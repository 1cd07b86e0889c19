// One small deployment: three controller processes, and the stand-ins around them. A case builds
// one, plays its events and judges what the users and the platform saw.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "controllers.h"
#include "platform.h"
#include "record.h"
#include "state_service.h"
#include "users.h"

namespace stage {

// Exit statuses of a case.
constexpr int kRuleHeld = 0;
constexpr int kRuleBroken = 1;
constexpr int kNotRun = 2;

struct StageOptions {
  Deployment deployment;
  std::vector<MachineType> types;
  uint64_t first_revision = 1;
};

class Stage {
 public:
  // `command`: the run command of the deploy file. `record_path`: the file of the record.
  Stage(const std::string& command, const std::string& record_path, const StageOptions& options);

  // Runs the loop until the condition holds; false after `limit_s` seconds, or if a controller
  // ended by itself.
  bool RunUntil(const std::function<bool()>& condition, double limit_s);
  void Run(double seconds);
  // Starts all controllers and waits until one of them leads.
  bool Begin();
  // Kills the controller that leads; another one has to take over. It is started again after
  // `back_after_s` seconds. False if none led.
  bool KillLeader(double back_after_s);
  // Submits the job and waits until it is accepted.
  bool Submit(const JobDescription& job, double limit_s);
  // Cancels the job and waits until its user is told.
  bool Cancel(const std::string& job, double limit_s);
  // Writes the result and the controllers' warnings to the record.
  int Finish(int status, const std::string& result);

  deckhall::Loop loop;
  Record record;
  deckhall::Endpoint state_endpoint;
  deckhall::Endpoint cloud_endpoint;
  Controllers controllers;
  StateService state;
  Platform platform;
  Users users;

 private:
  std::unique_ptr<deckhall::Timer> restart_;
  bool ended_by_itself_ = false;
};

// Whether the disruption is to be played: not with TROUBLE=0.
bool IsTroubled();

}  // namespace stage
