#include "app/process.h"

#include <spdlog/spdlog.h>

#include <random>

namespace deckhall {
namespace {

constexpr double kTickSeconds = 0.02;
constexpr double kLogIntervalSeconds = 60;
constexpr double kPolicyCheckIntervalSeconds = 2;  // seconds

uint64_t RandomInstance() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32 | device()) | 1;
}

HttpServerLimits ServerLimits(const Settings& settings) {
  HttpServerLimits l;
  l.connections = static_cast<size_t>(ServedConnections(settings));
  return l;
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
      http_api_(&clock_, {[this](JobRequest a, HttpApi::JobResponseCallback d) {
                            controller_.HandleJobRequest(std::move(a), std::move(d));
                          },
                          [this](Heartbeat heartbeat, HttpApi::HeartbeatResponseCallback d) {
                            controller_.HandleHeartbeat(std::move(heartbeat), std::move(d));
                          },
                          [this] { return controller_.IsHealthy(); }}),
      server_(loop, settings.serve_on, ServerLimits(settings),
              [this](const HttpMessage& message, const HttpServer::Reply& r) {
                http_api_.Handle(message, r);
              }),
      tick_timer_(loop, [this] { Tick(); }),
      immediate_tick_(loop, [this] { controller_.Tick(); }),
      settings_(settings),
      policy_file_(disruption_file, &settings_) {
  controller_.on_work = [this] {
    if (!immediate_tick_.active()) immediate_tick_.Start(0);
  };
  peer_connections_.Start(&controller_.peer_network());
  next_log_at_ = clock_.Now() + kLogIntervalSeconds;
  tick_timer_.Start(0, kTickSeconds);
  spdlog::info("{} up", settings.label);
}

void Process::Tick() {
  controller_.Tick();
  const double now = clock_.Now();
  if (now >= next_policy_check_at_) {
    next_policy_check_at_ = now + kPolicyCheckIntervalSeconds;
    if (auto policy = policy_file_.ReadIfChanged()) controller_.OfferPolicy(std::move(policy));
  }
  if (now < next_log_at_) return;
  next_log_at_ = now + kLogIntervalSeconds;
  http_api_.LogSubmitLatency();
  worker_client_.Trim();
}

}  // namespace deckhall
