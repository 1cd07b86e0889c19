#include "app/controller.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace deckhall {
namespace {

constexpr double kStatusForwardTimeoutSeconds = 1.5;
constexpr double kSubmitForwardTimeoutSeconds = 3.0;
constexpr double kHeartbeatForwardTimeoutSeconds = 2.0;
// Status requests for each message to a worker that the processor allows for. Set by
// trial, see docs/results.md: what the processor can take is not refused.
constexpr double kStatusRequestsPerMessage = 1.5;
constexpr double kRefusalLogIntervalSeconds = 60;  // seconds
constexpr int kStatusRetryAfterSeconds = 2;        // seconds
constexpr double kRetiredLeaderSeconds = 15;       // longer than any request of a leader lasts
// A leader that can't reach most workers for so long lets another one lead, and
// runs again only after a while.
constexpr double kUnreachableLeaderSeconds = 2;
constexpr double kResignPauseSeconds = 20;

ElectionOptions ElectionOptionsFrom(const Settings& settings, const Tuning& tuning,
                                    uint64_t instance) {
  ElectionOptions o;
  o.label = settings.label;
  o.instance = instance;
  o.lease_ttl_ms = static_cast<int>(tuning.lease_ms);
  o.keep_alive_interval_s = tuning.keep_alive_ms / 1000;
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
      election_(ports.key_value_store, ports.clock,
                ElectionOptionsFrom(settings_, tuning_, instance)),
      peer_network_(ports.peer_transport, ports.clock, settings_.label, instance,
                    settings_.siblings, MaxForwardedRequests(settings_),
                    [this](PeerMessage request, const PeerRpc::ResponseCallback& respond) {
                      HandlePeerRequest(std::move(request), respond);
                    }),
      health_(settings_.label),
      forwarder_(&peer_network_, ports.clock,
                 [this](const JobRequest& request, const JobResponseCallback& done) {
                   return ServeHere(request, done);
                 }),
      policy_replicator_(ports.key_value_store, ports.clock, &settings_),
      status_rate_limiter_(StatusRequestsPerSecond(settings_, tuning_)) {
  election_.on_elected = [this](uint64_t term) { StartLeading(term); };
  election_.on_leadership_lost = [this] { StopLeading(); };
  election_.on_term_bound = [this](uint64_t bound) {
    peer_network_.membership().ConfirmTerm(bound);
  };
  peer_network_.membership().on_higher_term = [this](uint64_t term) {
    if (election_.HoldsKey() && term > election_.term()) {
      election_.LoseLeadership("a peer knows of a higher term");
    }
  };
}

Controller::~Controller() = default;

void Controller::Tick() {
  const double now = ports_.clock->Now();
  election_.Tick();
  peer_network_.Tick();
  const bool holding = leader_ && leader_->loaded();
  peer_network_.membership().SetLeadership(holding && election_.IsLeaseValid(), holding,
                                           election_.term());
  policy_replicator_.Tick();
  if (leader_) {
    leader_->ApplyDisruptionPolicy(policy_replicator_.in_force(),
                                   policy_replicator_.IsConfirmed(elected_at_));
    leader_->Tick();
  }
  forwarder_.Tick();
  if (leader_ && leader_->UnreachableSeconds() > kUnreachableLeaderSeconds &&
      peer_network_.membership().SecondsSinceLastResponse() < kUnreachableLeaderSeconds / 2) {
    election_.Resign("most workers can't be reached from here", kResignPauseSeconds);
  }
  std::erase_if(retired_leaders_, [now](const RetiredLeader& r) {
    return now - r.retired_at > kRetiredLeaderSeconds;
  });
  health_.Update(now, peer_network_.membership().Leader(), election_.IsLeaseValid(),
                 peer_network_.membership().SecondsSinceLastResponse());
}

void Controller::StartLeading(uint64_t term) {
  peer_network_.membership().ConfirmTerm(term);
  LeaderPorts ports;
  ports.key_value_store = ports_.key_value_store;
  ports.cloud = ports_.cloud;
  ports.workers = ports_.workers;
  ports.clock = ports_.clock;
  ports.lease = this;
  ports.no_later_term_since = [this](uint64_t t) {
    return peer_network_.membership().NoLaterTermSince(t);
  };
  ports.is_zone_suspected = [this](const std::string& zone) {
    return zone != settings_.site && peer_network_.membership().IsSiteSuspected(zone);
  };
  for (const Peer& peer : settings_.siblings) {
    if (peer.label == election_.former_leader_label()) ports.former_leader_zone = peer.site;
  }
  leader_ = std::make_unique<Leader>(ports, &settings_, &tuning_, Election::kKey, term);
  leader_->on_leadership_lost = [this](const char* why) { election_.LoseLeadership(why); };
  elected_at_ = ports_.clock->Now();
  // Another leader may have had a newer policy.
  policy_replicator_.ReadSoon();
  leader_->Start();
}

void Controller::StopLeading() {
  peer_network_.membership().SetLeadership(false, false, 0);
  if (!leader_) return;
  leader_->Retire();
  retired_leaders_.push_back({ports_.clock->Now(), std::move(leader_)});
}

bool Controller::AdmitStatusRequest(const std::string& job) {
  const double now = ports_.clock->Now();
  if (status_rate_limiter_.Admit(job, now)) return true;
  if (!refusal_logged_at_ || now >= *refusal_logged_at_ + kRefusalLogIntervalSeconds) {
    refusal_logged_at_ = now;
    spdlog::warn("more status requests than are taken: the rest gets 503");
  }
  return false;
}

bool Controller::ServeHere(const JobRequest& request, const JobResponseCallback& done) {
  if (!leader_ || !leader_->loaded()) return false;
  leader_->HandleJobRequest(request, done);
  on_work();
  return true;
}

void Controller::HandleJobRequest(JobRequest request, JobResponseCallback done) {
  const bool status = request.operation == JobOperation::kGet;
  if (status && !AdmitStatusRequest(request.job_id)) {
    done(UnavailableResponse("too many status requests at once", kStatusRetryAfterSeconds));
    return;
  }
  auto answered = [this, job = request.job_id,
                   done = std::move(done)](const JobResponse& response) {
    if (response.status == 200 || response.status == 201 || response.status == 404) {
      status_rate_limiter_.RecordAnswer(job, response.status != 404, ports_.clock->Now());
    }
    done(response);
  };
  if (ServeHere(request, answered)) return;
  const std::string leader = peer_network_.membership().Leader();
  if (leader.empty() || leader == settings_.label) {
    answered(NoLeaderResponse());
    return;
  }
  forwarder_.Send(std::move(request),
                  status ? kStatusForwardTimeoutSeconds : kSubmitForwardTimeoutSeconds,
                  std::move(answered));
}

void Controller::HandleHeartbeat(Heartbeat heartbeat, HeartbeatResponseCallback done) {
  if (leader_) {
    done(leader_->HandleHeartbeat(heartbeat));
    on_work();
    return;
  }
  const std::string to = peer_network_.membership().Leader();
  if (to.empty() || to == settings_.label) {
    HeartbeatResponse response;
    // The way between controllers is shut, but the state service knows who leads:
    // the worker may reach it.
    const std::string& known = election_.leader_label();
    if (known != settings_.label && peer_network_.membership().RefusesConnections(known)) {
      response.status = 421;
      response.redirect_to = known;
    }
    done(response);
    return;
  }
  peer_network_.rpc().Call(to, std::move(heartbeat), kHeartbeatForwardTimeoutSeconds,
                           [done = std::move(done)](PeerMessage body) {
                             auto* reply = std::get_if<HeartbeatResponse>(&body);
                             done(reply == nullptr ? HeartbeatResponse() : *reply);
                           });
}

void Controller::HandlePeerRequest(PeerMessage body, const PeerRpc::ResponseCallback& reply) {
  if (auto* ask = std::get_if<JobRequest>(&body)) {
    if (!ServeHere(*ask, [reply](const JobResponse& response) { reply(response); }))
      reply(NoLeaderResponse());
  } else if (auto* report = std::get_if<Heartbeat>(&body)) {
    if (!leader_) {
      reply(HeartbeatResponse());
      return;
    }
    reply(leader_->HandleHeartbeat(*report));
    on_work();
  } else {
    reply(NoResponse());
  }
}

}  // namespace deckhall
