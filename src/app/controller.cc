#include "app/controller.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <random>

namespace deckhall {
namespace {

constexpr double kTick = 0.02;
constexpr double kRelayTimeout = 1.5;
constexpr double kSubmitRelayTimeout = 3.0;
constexpr double kReportRelayTimeout = 2.0;
constexpr double kRetiredFor = 15;  // longer than any request of a leader lasts
constexpr double kLogEvery = 60;
// A leader that can't reach most workers for so long lets another one lead, and
// runs again only after a while.
constexpr double kUnreachedFor = 2;
constexpr double kStepAside = 20;

uint64_t RandomInstance() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32 | device()) | 1;
}

ElectionOptions ElectionOf(const Settings& s, const Tuning& t, uint64_t instance) {
  ElectionOptions o;
  o.label = s.label;
  o.instance = instance;
  o.ttl_ms = static_cast<int>(t.lease_ms);
  o.renew_s = t.renew_ms / 1000;
  return o;
}

HttpServerLimits ServerLimits(const Settings& s) {
  HttpServerLimits l;
  l.connections = static_cast<size_t>(ServedConnections(s));
  return l;
}

UserReply NoLeader() {
  UserReply r;
  r.status = 503;
  r.error = "no leader can be reached";
  r.retry_after_s = 1;
  return r;
}

}  // namespace

Controller::Controller(Loop* loop, Settings settings, Tuning tuning)
    : loop_(loop),
      settings_(std::move(settings)),
      tuning_(tuning),
      instance_(RandomInstance()),
      state_(loop, &clock_, settings_.state, settings_.state_rps, settings_.state_write_rps),
      cloud_(loop, &clock_, settings_.cloud, settings_.cloud_rps),
      workers_(loop, static_cast<size_t>(WorkerConnections(settings_))),
      election_(&state_, &clock_, ElectionOf(settings_, tuning_, instance_)),
      mesh_(loop, &clock_, settings_.label, instance_, settings_.mesh_addr, settings_.siblings,
            [this](Mesh::Body body, const Mesh::Reply& reply) { Served(std::move(body), reply); }),
      front_(&clock_,
             {[this](UserAsk a, Front::UserDone d) { User(std::move(a), std::move(d)); },
              [this](Report r, Front::ReportDone d) { CheckIn(std::move(r), std::move(d)); },
              [this] { return Up(); }}),
      ticker_(loop, [this] { Tick(); }),
      kick_(loop, [this] { Tick(); }),
      health_(settings_.label) {
  election_.on_won = [this](uint64_t term) { Won(term); };
  election_.on_lost = [this] { Lost(); };
  election_.on_known = [this](uint64_t bound) { mesh_.NoteTerm(bound); };
  mesh_.on_higher_term = [this](uint64_t term) {
    if (election_.holding() && term > election_.term()) {
      election_.Abdicate("a peer knows of a higher term");
    }
  };
  server_ = std::make_unique<HttpServer>(
      loop, settings_.serve_on, ServerLimits(settings_),
      [this](const HttpMessage& m, const HttpServer::Reply& r) { front_.Handle(m, r); });
  next_log_ = clock_.Now() + kLogEvery;
  ticker_.Start(0, kTick);
  spdlog::info("{} up, instance {:x}", settings_.label, instance_);
}

Controller::~Controller() = default;

void Controller::Kick() {
  if (!kick_.active()) kick_.Start(0);
}

void Controller::Tick() {
  const double now = clock_.Now();
  election_.Tick();
  const bool holding = leader_ && leader_->loaded();
  mesh_.SetLeading(holding && election_.Trusted(), holding, election_.term());
  if (leader_) leader_->Tick();
  if (leader_ && leader_->UnreachedFor() > kUnreachedFor && mesh_.Silence() < kUnreachedFor / 2) {
    election_.StepDown("most workers can't be reached from here", kStepAside);
  }
  std::erase_if(retired_, [now](const Retired& r) { return now - r.since > kRetiredFor; });
  health_.Note(now, mesh_.Leader(), election_.Trusted(), mesh_.Silence());
  if (now >= next_log_) {
    next_log_ = now + kLogEvery;
    front_.LogLatency();
    workers_.Trim();
  }
}

void Controller::Won(uint64_t term) {
  mesh_.NoteTerm(term);
  LeaderPorts ports;
  ports.state = &state_;
  ports.cloud = &cloud_;
  ports.workers = &workers_;
  ports.clock = &clock_;
  ports.lease = this;
  ports.quiet_since = [this](uint64_t t) { return mesh_.QuietSince(t); };
  ports.doubtful = [this](const std::string& zone) {
    return zone != settings_.site && mesh_.Doubtful(zone);
  };
  for (const Peer& p : settings_.siblings) {
    if (p.label == election_.former_label()) ports.former_site = p.site;
  }
  leader_ = std::make_unique<Leader>(ports, &settings_, &tuning_, Election::kKey, term);
  leader_->on_deposed = [this](const char* why) { election_.Abdicate(why); };
  leader_->Begin();
}

void Controller::Lost() {
  mesh_.SetLeading(false, false, 0);
  if (!leader_) return;
  leader_->Retire();
  retired_.push_back({clock_.Now(), std::move(leader_)});
}

void Controller::User(UserAsk ask, Front::UserDone done) {
  if (leader_ && leader_->loaded()) {
    leader_->User(ask, std::move(done));
    Kick();
    return;
  }
  const std::string to = mesh_.Leader();
  if (to.empty() || to == settings_.label) {
    done(NoLeader());
    return;
  }
  const double timeout = ask.op == UserOp::kGet ? kRelayTimeout : kSubmitRelayTimeout;
  mesh_.Ask(to, std::move(ask), timeout, [done = std::move(done)](Mesh::Body body) {
    auto* reply = std::get_if<UserReply>(&body);
    done(reply == nullptr ? NoLeader() : *reply);
  });
}

void Controller::CheckIn(Report report, Front::ReportDone done) {
  if (leader_) {
    done(leader_->OnReport(report));
    Kick();
    return;
  }
  const std::string to = mesh_.Leader();
  if (to.empty() || to == settings_.label) {
    ReportReply reply;
    // The way between controllers is shut, but the state service knows who leads:
    // the worker may reach it.
    const std::string& known = election_.leader_label();
    if (known != settings_.label && mesh_.Refuses(known)) {
      reply.status = 421;
      reply.report_to = known;
    }
    done(reply);
    return;
  }
  mesh_.Ask(to, std::move(report), kReportRelayTimeout, [done = std::move(done)](Mesh::Body body) {
    auto* reply = std::get_if<ReportReply>(&body);
    done(reply == nullptr ? ReportReply() : *reply);
  });
}

void Controller::Served(Mesh::Body body, const Mesh::Reply& reply) {
  if (auto* ask = std::get_if<UserAsk>(&body)) {
    if (!leader_ || !leader_->loaded()) {
      reply(NoLeader());
      return;
    }
    leader_->User(*ask, [reply](const UserReply& r) { reply(r); });
    Kick();
  } else if (auto* report = std::get_if<Report>(&body)) {
    if (!leader_) {
      reply(ReportReply());
      return;
    }
    reply(leader_->OnReport(*report));
    Kick();
  } else {
    reply(std::monostate());
  }
}

bool Controller::Up() { return health_.Up(clock_.Now()); }

}  // namespace deckhall
