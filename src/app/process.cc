#include "app/process.h"

#include <spdlog/spdlog.h>

#include <random>

namespace deckhall {
namespace {

constexpr double kTick = 0.02;
constexpr double kLogEvery = 60;
constexpr double kPolicyEvery = 2;  // seconds

uint64_t RandomInstance() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32 | device()) | 1;
}

HttpServerLimits ServerLimits(const Settings& s) {
  HttpServerLimits l;
  l.connections = static_cast<size_t>(ServedConnections(s));
  return l;
}

}  // namespace

Process::Process(Loop* loop, const Settings& settings, const Tuning& tuning,
                 const std::string& disruption_file)
    : state_(loop, &clock_, settings.state, settings.state_kept.rps, settings.state_kept.write_rps),
      cloud_(loop, &clock_, settings.cloud, settings.cloud_rps),
      workers_(loop, static_cast<size_t>(WorkerConnections(settings))),
      links_(loop, &clock_, settings.mesh_addr, settings.siblings),
      controller_({&state_, &cloud_, &workers_, &links_, &clock_}, settings, tuning,
                  RandomInstance()),
      front_(&clock_, {[this](JobRequest a, Front::UserDone d) {
                         controller_.User(std::move(a), std::move(d));
                       },
                       [this](Heartbeat r, Front::ReportDone d) {
                         controller_.CheckIn(std::move(r), std::move(d));
                       },
                       [this] { return controller_.Up(); }}),
      server_(loop, settings.serve_on, ServerLimits(settings),
              [this](const HttpMessage& m, const HttpServer::Reply& r) { front_.Handle(m, r); }),
      ticker_(loop, [this] { Tick(); }),
      kick_(loop, [this] { controller_.Tick(); }),
      settings_(settings),
      policy_file_(disruption_file, &settings_) {
  controller_.on_work = [this] {
    if (!kick_.active()) kick_.Start(0);
  };
  links_.Start(&controller_.mesh());
  next_log_ = clock_.Now() + kLogEvery;
  ticker_.Start(0, kTick);
  spdlog::info("{} up", settings.label);
}

void Process::Tick() {
  controller_.Tick();
  const double now = clock_.Now();
  if (now >= next_policy_) {
    next_policy_ = now + kPolicyEvery;
    if (auto policy = policy_file_.ReadIfChanged()) controller_.OfferPolicy(std::move(policy));
  }
  if (now < next_log_) return;
  next_log_ = now + kLogEvery;
  front_.LogLatency();
  workers_.Trim();
}

}  // namespace deckhall
