#include "stage.h"

#include <cstdlib>
#include <sstream>

namespace stage {
namespace {

constexpr double kPollSeconds = 0.02;
constexpr double kElectionLimitSeconds = 15;

std::vector<std::string> Labels() {
  std::vector<std::string> labels;
  for (size_t i = 0; i < Controllers::kCount; ++i) labels.push_back(Controllers::LabelOf(i));
  return labels;
}

StateLimits LimitsFrom(const StageOptions& options) {
  StateLimits limits;
  limits.first_revision = options.first_revision;
  return limits;
}

PlatformOptions PlatformOptionsFrom(const StageOptions& options) {
  PlatformOptions platform;
  platform.types = options.types;
  platform.report_s = options.deployment.report_s;
  platform.lease_s = options.deployment.lease_s;
  platform.list_lag_s = options.deployment.list_lag_s;
  return platform;
}

}  // namespace

bool IsTroubled() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

Stage::Stage(const std::string& command, const std::string& record_path,
             const StageOptions& options)
    : record(record_path),
      state_endpoint(FreeEndpoint()),
      cloud_endpoint(FreeEndpoint()),
      controllers(command, options.deployment, state_endpoint, cloud_endpoint),
      state(&loop, state_endpoint, LimitsFrom(options)),
      platform(&loop, &record, cloud_endpoint, PlatformOptionsFrom(options),
               controllers.endpoints(), Labels()),
      users(&loop, &record, &platform, controllers.endpoints()) {}

bool Stage::RunUntil(const std::function<bool()>& condition, double limit_s) {
  const double end = deckhall::SteadySeconds() + limit_s;
  deckhall::Timer poll(&loop, [&] {
    if (controllers.HasEnded()) ended_by_itself_ = true;
    if (condition() || ended_by_itself_ || deckhall::SteadySeconds() > end) loop.Stop();
  });
  poll.Start(0, kPollSeconds);
  loop.Run();
  return condition();
}

void Stage::Run(double seconds) {
  RunUntil([] { return false; }, seconds);
}

bool Stage::Begin() {
  for (size_t i = 0; i < Controllers::kCount; ++i) controllers.Start(i);
  return RunUntil([this] { return !state.Leader().empty(); }, kElectionLimitSeconds);
}

bool Stage::KillLeader(double back_after_s) {
  const std::string leader = state.Leader();
  const size_t index = Controllers::IndexOf(leader);
  if (index == Controllers::kCount) return false;
  record.Write("controller " + leader + ", which leads, is killed");
  controllers.Kill(index);
  restart_ = std::make_unique<deckhall::Timer>(&loop, [this, index, leader] {
    record.Write("controller " + leader + " starts again");
    controllers.Start(index);
  });
  restart_->Start(back_after_s);
  return RunUntil([this, &leader] { return !state.Leader().empty() && state.Leader() != leader; },
                  kElectionLimitSeconds);
}

bool Stage::Submit(const JobDescription& job, double limit_s) {
  int answer = 0;
  users.Submit(job, [&answer](int status) { answer = status; });
  RunUntil([&answer] { return answer != 0; }, limit_s);
  return answer == 200 || answer == 201;
}

bool Stage::Cancel(const std::string& job, double limit_s) {
  bool told = false;
  users.Cancel(job, [&told] { told = true; });
  return RunUntil([&told] { return told; }, limit_s);
}

int Stage::Finish(int status, const std::string& result) {
  int exit_status = status;
  if (ended_by_itself_) {
    record.Write("a controller ended by itself");
    // Before the case began it could not start, for example because its port was taken meanwhile.
    if (status != kNotRun) exit_status = kRuleBroken;
  }
  for (size_t i = 0; i < Controllers::kCount; ++i) {
    std::istringstream log(controllers.LogOf(i));
    for (std::string line; std::getline(log, line);)
      record.Write("log of " + Controllers::LabelOf(i) + ": " + line);
  }
  const char* verdict = exit_status == kRuleHeld     ? "rule held"
                        : exit_status == kRuleBroken ? "RULE BROKEN"
                                                     : "not run";
  record.Write(std::string(verdict) + ": " + result);
  return exit_status;
}

}  // namespace stage
