// A user cancels an array of many small tasks, all on one machine.
#include <cstdio>

#include "stage.h"

namespace {

using stage::JobDescription;

constexpr double kStartLimitSeconds = 20;
constexpr double kAnswerLimitSeconds = 20;
constexpr double kCancelSeconds = 55;
constexpr double kWatchedLongerSeconds = 10;

stage::StageOptions Options() {
  stage::StageOptions options;
  options.deployment.teams = {{"cobranza", 64, 112}, {"atencion", 24, 96}};
  options.deployment.lease_s = 30;
  options.deployment.cancel_s = kCancelSeconds;
  options.types = {{"grande", 16, 128, 1.25, options.deployment.zones}};
  return options;
}

JobDescription Readings() {
  JobDescription job;
  job.id = "job-000001";
  job.job_class = "lectura-vivo";
  job.team = "cobranza";
  job.kind = "daemon";
  job.priority = "production";
  job.memory_gb = 2;
  return job;
}

JobDescription Register() {
  JobDescription job;
  job.id = "job-000002";
  job.job_class = "padron-regional";
  job.team = "atencion";
  job.priority = "idle";
  job.tasks = 900;
  job.cores = 0.01;
  job.memory_gb = 0.05;
  job.run_s = 900;
  return job;
}

int Play(stage::Stage* stage) {
  const JobDescription service = Readings();
  const JobDescription array = Register();
  stage::Platform& platform = stage->platform;
  const auto all_run = [&](const JobDescription& job) {
    return [&platform, &job] { return platform.CountRunning(job.id) == job.tasks; };
  };
  platform.AddMachine("grande", "sierra-sur");
  if (!stage->Begin() || !stage->Submit(service, kStartLimitSeconds) ||
      !stage->RunUntil(all_run(service), kStartLimitSeconds) ||
      !stage->Submit(array, kStartLimitSeconds) ||
      !stage->RunUntil(all_run(array), kStartLimitSeconds)) {
    return stage->Finish(stage::kNotRun, "the jobs did not start");
  }
  stage->Run(5);
  if (!stage::IsTroubled()) {
    stage->Run(kCancelSeconds + kWatchedLongerSeconds);
    return stage->Finish(all_run(array)() ? stage::kRuleHeld : stage::kRuleBroken,
                         std::to_string(platform.CountRunning(array.id)) + " tasks run");
  }
  if (!stage->Cancel(array.id, kAnswerLimitSeconds))
    return stage->Finish(stage::kNotRun, "the cancellation was not answered");
  stage->RunUntil([&] { return platform.CountRunning(array.id) == 0; }, kCancelSeconds);
  const size_t left = platform.CountRunning(array.id);
  char result[160];
  std::snprintf(result, sizeof result,
                "%zu of %u cancelled tasks are on the machine %.0f s after the user was told; "
                "messages beyond 64 KiB: %zu",
                left, array.tasks, kCancelSeconds, platform.oversized());
  if (left > 0) stage->Run(kWatchedLongerSeconds);
  stage->record.Write(std::to_string(platform.CountRunning(array.id)) +
                      " of them are there at the end");
  return stage->Finish(left > 0 ? stage::kRuleBroken : stage::kRuleHeld, result);
}

}  // namespace

int main(int, char** arguments) {
  stage::Stage stage(arguments[1], arguments[2], Options());
  return Play(&stage);
}
