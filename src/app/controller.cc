#include "app/controller.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace deckhall {
namespace {

constexpr double kRelayTimeout = 1.5;
constexpr double kSubmitRelayTimeout = 3.0;
constexpr double kReportRelayTimeout = 2.0;
// Status requests for each message to a worker that the processor allows for. Set by
// trial, see docs/results.md: what the processor can take is not refused.
constexpr double kStatusRequestsPerMessage = 1.5;
constexpr double kRefusalLogEvery = 60;  // seconds
constexpr int kStatusRetryAfter = 2;     // seconds
constexpr double kRetiredFor = 15;       // longer than any request of a leader lasts
// A leader that can't reach most workers for so long lets another one lead, and
// runs again only after a while.
constexpr double kUnreachedFor = 2;
constexpr double kStepAside = 20;

ElectionOptions ElectionOf(const Settings& s, const Tuning& t, uint64_t instance) {
  ElectionOptions o;
  o.label = s.label;
  o.instance = instance;
  o.ttl_ms = static_cast<int>(t.lease_ms);
  o.renew_s = t.renew_ms / 1000;
  return o;
}

}  // namespace

double StatusRequestsPerSecond(const Settings& settings, const Tuning& tuning) {
  return MessagesPerSecond(settings, tuning) * kStatusRequestsPerMessage /
         static_cast<double>(settings.siblings.size() + 1);
}

Controller::Controller(const ControllerPorts& ports, Settings settings, Tuning tuning,
                       uint64_t instance)
    : ports_(ports),
      settings_(std::move(settings)),
      tuning_(tuning),
      election_(ports.state, ports.clock, ElectionOf(settings_, tuning_, instance)),
      mesh_(ports.links, ports.clock, settings_.label, instance, settings_.siblings,
            MostRelayed(settings_),
            [this](Mesh::Body body, const Mesh::Reply& reply) { Served(std::move(body), reply); }),
      health_(settings_.label),
      relay_(&mesh_, ports.clock,
             [this](const JobRequest& request, const UserDone& done) {
               return ServeHere(request, done);
             }),
      policy_(ports.state, ports.clock, &settings_),
      status_budget_(StatusRequestsPerSecond(settings_, tuning_)) {
  election_.on_won = [this](uint64_t term) { Won(term); };
  election_.on_lost = [this] { Lost(); };
  election_.on_known = [this](uint64_t bound) { mesh_.NoteTerm(bound); };
  mesh_.on_higher_term = [this](uint64_t term) {
    if (election_.holding() && term > election_.term()) {
      election_.Abdicate("a peer knows of a higher term");
    }
  };
}

Controller::~Controller() = default;

void Controller::Tick() {
  const double now = ports_.clock->Now();
  election_.Tick();
  mesh_.Tick();
  const bool holding = leader_ && leader_->loaded();
  mesh_.SetLeading(holding && election_.Trusted(), holding, election_.term());
  policy_.Tick();
  if (leader_) {
    leader_->Use(policy_.in_force(), policy_.Confirmed(won_at_));
    leader_->Tick();
  }
  relay_.Tick();
  if (leader_ && leader_->UnreachedFor() > kUnreachedFor && mesh_.Silence() < kUnreachedFor / 2) {
    election_.StepDown("most workers can't be reached from here", kStepAside);
  }
  std::erase_if(retired_, [now](const Retired& r) { return now - r.since > kRetiredFor; });
  health_.Note(now, mesh_.Leader(), election_.Trusted(), mesh_.Silence());
}

void Controller::Won(uint64_t term) {
  mesh_.NoteTerm(term);
  LeaderPorts ports;
  ports.state = ports_.state;
  ports.cloud = ports_.cloud;
  ports.workers = ports_.workers;
  ports.clock = ports_.clock;
  ports.lease = this;
  ports.no_later_term_since = [this](uint64_t t) { return mesh_.NoLaterTermSince(t); };
  ports.doubtful = [this](const std::string& zone) {
    return zone != settings_.site && mesh_.Doubtful(zone);
  };
  for (const Peer& p : settings_.siblings) {
    if (p.label == election_.former_label()) ports.former_leader_zone = p.site;
  }
  leader_ = std::make_unique<Leader>(ports, &settings_, &tuning_, Election::kKey, term);
  leader_->on_deposed = [this](const char* why) { election_.Abdicate(why); };
  won_at_ = ports_.clock->Now();
  // Another leader may have had a newer policy.
  policy_.ReadSoon();
  leader_->Begin();
}

void Controller::Lost() {
  mesh_.SetLeading(false, false, 0);
  if (!leader_) return;
  leader_->Retire();
  retired_.push_back({ports_.clock->Now(), std::move(leader_)});
}

bool Controller::AdmitStatusRequest(const std::string& job) {
  const double now = ports_.clock->Now();
  if (status_budget_.Admit(job, now)) return true;
  if (!refusal_logged_at_ || now >= *refusal_logged_at_ + kRefusalLogEvery) {
    refusal_logged_at_ = now;
    spdlog::warn("more status requests than are taken: the rest gets 503");
  }
  return false;
}

bool Controller::ServeHere(const JobRequest& request, const UserDone& done) {
  if (!leader_ || !leader_->loaded()) return false;
  leader_->User(request, done);
  on_work();
  return true;
}

void Controller::User(JobRequest request, UserDone done) {
  const bool status = request.operation == JobOperation::kGet;
  if (status && !AdmitStatusRequest(request.job_id)) {
    done(UnavailableResponse("too many status requests at once", kStatusRetryAfter));
    return;
  }
  auto answered = [this, job = request.job_id,
                   done = std::move(done)](const JobResponse& response) {
    if (response.status == 200 || response.status == 201 || response.status == 404) {
      status_budget_.Answered(job, response.status != 404, ports_.clock->Now());
    }
    done(response);
  };
  if (ServeHere(request, answered)) return;
  const std::string leader = mesh_.Leader();
  if (leader.empty() || leader == settings_.label) {
    answered(NoLeaderResponse());
    return;
  }
  relay_.Send(std::move(request), status ? kRelayTimeout : kSubmitRelayTimeout,
              std::move(answered));
}

void Controller::CheckIn(Heartbeat report, ReportDone done) {
  if (leader_) {
    done(leader_->OnReport(report));
    on_work();
    return;
  }
  const std::string to = mesh_.Leader();
  if (to.empty() || to == settings_.label) {
    HeartbeatResponse reply;
    // The way between controllers is shut, but the state service knows who leads:
    // the worker may reach it.
    const std::string& known = election_.leader_label();
    if (known != settings_.label && mesh_.Refuses(known)) {
      reply.status = 421;
      reply.redirect_to = known;
    }
    done(reply);
    return;
  }
  mesh_.Ask(to, std::move(report), kReportRelayTimeout, [done = std::move(done)](Mesh::Body body) {
    auto* reply = std::get_if<HeartbeatResponse>(&body);
    done(reply == nullptr ? HeartbeatResponse() : *reply);
  });
}

void Controller::Served(Mesh::Body body, const Mesh::Reply& reply) {
  if (auto* ask = std::get_if<JobRequest>(&body)) {
    if (!ServeHere(*ask, [reply](const JobResponse& r) { reply(r); })) reply(NoLeaderResponse());
  } else if (auto* report = std::get_if<Heartbeat>(&body)) {
    if (!leader_) {
      reply(HeartbeatResponse());
      return;
    }
    reply(leader_->OnReport(*report));
    on_work();
  } else {
    reply(std::monostate());
  }
}

}  // namespace deckhall
