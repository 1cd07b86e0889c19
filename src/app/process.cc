#include "app/process.h"

#include <spdlog/spdlog.h>

#include <random>
#include <utility>

namespace deckhall {
namespace {

constexpr double kTickIntervalSeconds = 0.02;
constexpr double kHousekeepingIntervalSeconds = 60;
constexpr double kPolicyCheckIntervalSeconds = 2;

// A random identifier of this process; never 0.
uint64_t RandomInstance() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32 | device()) | 1;
}

HttpServerLimits ServerLimits(const Settings& settings) {
  HttpServerLimits limits;
  limits.connections = static_cast<size_t>(ServedConnections(settings));
  return limits;
}

}  // namespace

Process::Process(Loop* loop, const Settings& settings, const Tuning& tuning,
                 const std::string& disruption_file)
    : key_value_client_(loop, &clock_, settings.state, settings.effective_state_limits.rps,
                        settings.effective_state_limits.write_rps),
      cloud_client_(loop, &clock_, settings.cloud, settings.cloud_rps),
      worker_client_(loop, static_cast<size_t>(WorkerConnections(settings))),
      peer_connections_(loop, &clock_, settings.mesh_addr, settings.siblings),
      controller_(
          {&key_value_client_, &cloud_client_, &worker_client_, &peer_connections_, &clock_},
          settings, tuning, RandomInstance()),
      http_api_(&clock_, BuildBackend()),
      server_(loop, settings.serve_on, ServerLimits(settings),
              [this](const HttpMessage& request, const HttpServer::Reply& reply) {
                http_api_.Handle(request, reply);
              }),
      tick_timer_(loop, [this] { Tick(); }),
      immediate_tick_(loop, [this] { controller_.Tick(); }),
      settings_(settings),
      policy_file_(disruption_file, &settings_) {
  controller_.on_work = [this] {
    if (!immediate_tick_.active()) immediate_tick_.Start(0);
  };
  peer_connections_.Start(&controller_.peer_network());
  next_housekeeping_at_ = clock_.Now() + kHousekeepingIntervalSeconds;
  tick_timer_.Start(0, kTickIntervalSeconds);
  spdlog::info("controller={}: started", settings.label);
}

HttpApi::Backend Process::BuildBackend() {
  HttpApi::Backend backend;
  backend.handle_job_request = [this](JobRequest request, HttpApi::JobResponseCallback done) {
    controller_.HandleJobRequest(std::move(request), std::move(done));
  };
  backend.handle_heartbeat = [this](Heartbeat heartbeat, HttpApi::HeartbeatResponseCallback done) {
    controller_.HandleHeartbeat(std::move(heartbeat), std::move(done));
  };
  backend.is_healthy = [this] { return controller_.IsHealthy(); };
  return backend;
}

void Process::Tick() {
  controller_.Tick();
  const double now = clock_.Now();
  CheckPolicyFile(now);
  DoHousekeeping(now);
}

void Process::CheckPolicyFile(double now) {
  if (now < next_policy_check_at_) return;
  next_policy_check_at_ = now + kPolicyCheckIntervalSeconds;
  if (auto policy = policy_file_.ReadIfChanged()) controller_.OfferPolicy(std::move(policy));
}

void Process::DoHousekeeping(double now) {
  if (now < next_housekeeping_at_) return;
  next_housekeeping_at_ = now + kHousekeepingIntervalSeconds;
  http_api_.LogSubmissionStatistics();
  worker_client_.Trim();
}

}  // namespace deckhall
