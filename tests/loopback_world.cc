#include "loopback_world.h"

#include <iostream>
#include <utility>

#include "wire/job_codec.h"

namespace deckhall {
namespace {

constexpr double kPollSeconds = 0.05;
constexpr double kRetrySeconds = 0.5;
constexpr double kRequestTimeoutSeconds = 5;
constexpr size_t kControllers = 3;

LoopbackOptions FleetOptions() {
  LoopbackOptions options;
  options.zones = {{"east", "127.0.10"}, {"west", "127.0.20"}, {"north", "127.0.30"}};
  // The cheaper type is provisioned first.
  options.types = {{"old", 0.5}, {"box", 1}};
  options.lease_s = kLoopbackLeaseSeconds;
  return options;
}

}  // namespace

LoopbackWorld::LoopbackWorld(double detect_s, double settle_s)
    : state_endpoint_(FreeEndpoint("127.0.0.1")),
      cloud_endpoint_(FreeEndpoint("127.0.0.1")),
      oracle_(detect_s, 0, settle_s),
      controllers_(kControllers, state_endpoint_, cloud_endpoint_,
                   {{"east", "west", "north"},
                    {"blue", "red"},
                    1,
                    kLoopbackLeaseSeconds,
                    kLoopbackCancelSeconds}),
      state_(&loop_, state_endpoint_),
      fleet_(&loop_, cloud_endpoint_, FleetOptions(), controllers_.endpoints(), &oracle_),
      users_(&loop_, 8, 1 << 20) {}

bool LoopbackWorld::RunUntil(const std::function<bool()>& condition, double timeout_s) {
  const double end = SteadySeconds() + timeout_s;
  Timer poll_timer(&loop_, [&] {
    if (condition() || SteadySeconds() > end) loop_.Stop();
  });
  poll_timer.Start(0, kPollSeconds);
  loop_.Run();
  return condition();
}

void LoopbackWorld::Run(double seconds) {
  RunUntil([] { return false; }, seconds);
}

void LoopbackWorld::Submit(const JobSpec& spec) {
  fleet_.AddJob(spec);
  Send(spec, 0);
}

void LoopbackWorld::Send(const JobSpec& spec, size_t node) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  WriteJob(writer, spec);
  users_.Call(controllers_.endpoints()[node],
              {"POST", "/api/jobs", buffer.GetString(), kRequestTimeoutSeconds},
              [this, spec, node](const HttpResult& result) {
                if (result.status == 200 || result.status == 201) return;
                RetryLater([this, spec, node] { Send(spec, (node + 1) % kControllers); });
              });
}

void LoopbackWorld::Cancel(const std::string& job, const std::function<void(double)>& done,
                           size_t node) {
  users_.Call(
      controllers_.endpoints()[node],
      {"POST", "/api/jobs/" + job + "/cancel", "", kRequestTimeoutSeconds},
      [this, job, done, node](const HttpResult& result) {
        if (result.status == 200) {
          done(SteadySeconds());
          return;
        }
        RetryLater([this, job, done, node] { Cancel(job, done, (node + 1) % kControllers); });
      });
}

void LoopbackWorld::RetryLater(std::function<void()> retry) {
  retries_.push_back(std::make_unique<Timer>(&loop_, std::move(retry)));
  retries_.back()->Start(kRetrySeconds);
}

void LoopbackWorld::PrintLogs() const {
  for (size_t i = 0; i < controllers_.size(); ++i) {
    std::cout << "--- " << i << "\n" << ReadFile(controllers_.LogOf(i));
  }
}

JobSpec LoopbackService(int number, const std::string& team, uint32_t replicas, double cores) {
  JobSpec spec;
  spec.id = "job-" + std::to_string(number);
  spec.job_class = "live";
  spec.team = team;
  spec.service = true;
  spec.priority = Priority::kProduction;
  spec.task_count = replicas;
  spec.cores = cores;
  spec.memory_gb = 4;
  spec.image = "img";
  spec.image_gb = 0.1;
  return spec;
}

}  // namespace deckhall
