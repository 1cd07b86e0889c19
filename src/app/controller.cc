#include "app/controller.h"

#include <spdlog/spdlog.h>

#include <utility>
#include <variant>

#include "net/http_status.h"

namespace deckhall {
namespace {

// Users wait 2 s for the response to a status request and 5 s for that to any other request,
// workers 4 s for that to a heartbeat. Each timeout leaves time to return the response.
constexpr double kStatusForwardTimeoutSeconds = 1.5;
constexpr double kSubmitForwardTimeoutSeconds = 3.0;
constexpr double kHeartbeatForwardTimeoutSeconds = 2.0;

// Status requests that all controllers admit for each request to a worker that the leader's
// processor quota allows for.
constexpr double kStatusRequestsPerMessage = 1.5;
constexpr double kRefusalLogIntervalSeconds = 60;
constexpr int kStatusRetryAfterSeconds = 2;

constexpr double kUnreachableWorkersTimeoutSeconds = 2;
// The leader resigns only if a peer has responded within this time: the fault is then between this
// controller and the workers, and another controller may reach them.
constexpr double kResignPeerContactSeconds = kUnreachableWorkersTimeoutSeconds / 2;
constexpr double kResignPauseSeconds = 20;

ElectionOptions ElectionOptionsFrom(const Settings& settings, const Tuning& tuning,
                                    uint64_t instance) {
  ElectionOptions options;
  options.label = settings.label;
  options.instance = instance;
  options.lease_ttl_ms = static_cast<int>(tuning.lease_ms);
  options.keep_alive_interval_s = tuning.keep_alive_ms / 1000;
  return options;
}

}  // namespace

double StatusRequestsPerSecond(const Settings& settings, const Tuning& tuning) {
  const auto controllers = static_cast<double>(settings.siblings.size() + 1);
  return WorkerCallsPerSecond(settings, tuning) * kStatusRequestsPerMessage / controllers;
}

Controller::Controller(const ControllerPorts& ports, Settings settings, Tuning tuning,
                       uint64_t instance)
    : ports_(ports),
      settings_(std::move(settings)),
      tuning_(tuning),
      election_(ports.key_value_store, ports.clock,
                ElectionOptionsFrom(settings_, tuning_, instance)),
      leader_lifecycle_(ports.clock, &settings_, &tuning_),
      peer_network_(ports.peer_transport, ports.clock, settings_.label, instance,
                    settings_.siblings, MaxForwardedRequests(settings_),
                    [this](PeerMessage request, const PeerRpc::ResponseCallback& respond) {
                      HandlePeerRequest(std::move(request), respond);
                    }),
      health_(settings_.label),
      forwarder_(&peer_network_, ports.clock,
                 [this](const JobRequest& request, const JobResponseCallback& done) {
                   return ServeLocally(request, done);
                 }),
      policy_replicator_(ports.key_value_store, ports.clock, &settings_),
      status_rate_limiter_(StatusRequestsPerSecond(settings_, tuning_)) {
  election_.on_elected = [this](uint64_t term) { StartLeading(term); };
  election_.on_leadership_lost = [this] { StopLeading(); };
  election_.on_term_bound = [this](uint64_t bound) {
    peer_network_.membership().ConfirmTerm(bound);
  };
  peer_network_.membership().on_higher_term = [this](uint64_t term) { HandleHigherTerm(term); };
}

Controller::~Controller() = default;

void Controller::Tick() {
  const double now = ports_.clock->Now();
  election_.Tick();
  peer_network_.Tick();
  AnnounceLeadership();
  policy_replicator_.Tick();
  TickLeader();
  forwarder_.Tick();
  ResignIfWorkersUnreachable();
  leader_lifecycle_.DestroyRetiredLeaders();
  const PeerMembership& membership = peer_network_.membership();
  health_.Update(now, membership.Leader(), election_.IsLeaseValid(),
                 membership.SecondsSinceLastResponse());
}

void Controller::AnnounceLeadership() {
  const bool leading = leader_lifecycle_.HasLoadedLeader();
  peer_network_.membership().SetLeadership(leading && election_.IsLeaseValid(), leading,
                                           election_.term());
}

void Controller::TickLeader() {
  Leader* leader = leader_lifecycle_.current();
  if (leader == nullptr) return;
  leader->ApplyDisruptionPolicy(policy_replicator_.in_force(),
                                policy_replicator_.IsConfirmed(leader_lifecycle_.elected_at()));
  leader->Tick();
}

void Controller::ResignIfWorkersUnreachable() {
  const Leader* leader = leader_lifecycle_.current();
  if (leader == nullptr || leader->UnreachableSeconds() <= kUnreachableWorkersTimeoutSeconds)
    return;
  const double silence_s = peer_network_.membership().SecondsSinceLastResponse();
  if (silence_s >= kResignPeerContactSeconds) return;
  election_.Resign(LeadershipLossReason::kWorkersUnreachable, kResignPauseSeconds);
}

void Controller::HandleHigherTerm(uint64_t term) {
  if (election_.HoldsKey() && term > election_.term()) {
    election_.LoseLeadership(LeadershipLossReason::kHigherTermFromPeer);
  }
}

LeaderPorts Controller::BuildLeaderPorts() {
  LeaderPorts ports;
  ports.key_value_store = ports_.key_value_store;
  ports.cloud = ports_.cloud;
  ports.workers = ports_.workers;
  ports.clock = ports_.clock;
  ports.lease = this;
  ports.no_later_term_since = [this](uint64_t term) {
    return peer_network_.membership().NoLaterTermSince(term);
  };
  ports.is_zone_suspected = [this](const std::string& zone) {
    return zone != settings_.site && peer_network_.membership().IsSiteSuspected(zone);
  };
  ports.former_leader_zone = FormerLeaderZone();
  return ports;
}

std::string Controller::FormerLeaderZone() const {
  std::string zone;
  for (const Peer& peer : settings_.siblings) {
    if (peer.label == election_.former_leader_label()) zone = peer.site;
  }
  return zone;
}

void Controller::StartLeading(uint64_t term) {
  peer_network_.membership().ConfirmTerm(term);
  Leader* leader = leader_lifecycle_.CreateLeader(BuildLeaderPorts(), term);
  leader->on_leadership_lost = [this](const char* cause) {
    if (election_.HoldsKey()) spdlog::warn("term={}: fenced: {}", election_.term(), cause);
    election_.LoseLeadership(LeadershipLossReason::kFencedByHigherTerm);
  };
  // Another controller may have stored a newer policy while it led.
  policy_replicator_.ScheduleRead();
  leader->Start();
}

void Controller::StopLeading() {
  peer_network_.membership().SetLeadership(false, false, 0);
  leader_lifecycle_.RetireLeader();
}

bool Controller::AdmitStatusRequest(const std::string& job_id) {
  const double now = ports_.clock->Now();
  if (status_rate_limiter_.Admit(job_id, now)) return true;
  LogStatusRefusal(now);
  return false;
}

void Controller::LogStatusRefusal(double now) {
  if (refusal_logged_at_ && now < *refusal_logged_at_ + kRefusalLogIntervalSeconds) return;
  refusal_logged_at_ = now;
  spdlog::warn("status requests exceed the rate limit: refusing some with 503");
}

void Controller::RecordStatusResponse(const std::string& job_id, const JobResponse& response) {
  const bool exists =
      response.status == http_status::kOk || response.status == http_status::kCreated;
  const bool unknown = response.status == http_status::kNotFound;
  if (!exists && !unknown) return;
  status_rate_limiter_.RecordResponse(job_id, exists, ports_.clock->Now());
}

bool Controller::ServeLocally(const JobRequest& request, const JobResponseCallback& done) {
  if (!leader_lifecycle_.HasLoadedLeader()) return false;
  leader_lifecycle_.current()->HandleJobRequest(request, done);
  on_work();
  return true;
}

std::string Controller::RemoteLeader() const {
  std::string leader = peer_network_.membership().Leader();
  return leader == settings_.label ? std::string() : leader;
}

void Controller::HandleJobRequest(JobRequest request, JobResponseCallback done) {
  if (request.operation == JobOperation::kGet && !AdmitStatusRequest(request.job_id)) {
    done(UnavailableResponse("too many status requests at once", kStatusRetryAfterSeconds));
    return;
  }
  auto respond = [this, job_id = request.job_id,
                  done = std::move(done)](const JobResponse& response) {
    RecordStatusResponse(job_id, response);
    done(response);
  };
  if (!ServeLocally(request, respond)) ForwardJobRequest(std::move(request), std::move(respond));
}

void Controller::ForwardJobRequest(JobRequest request, JobResponseCallback done) {
  if (RemoteLeader().empty()) {
    done(NoLeaderResponse());
    return;
  }
  const double timeout_s = request.operation == JobOperation::kGet ? kStatusForwardTimeoutSeconds
                                                                   : kSubmitForwardTimeoutSeconds;
  forwarder_.Send(std::move(request), timeout_s, std::move(done));
}

void Controller::HandleHeartbeat(Heartbeat heartbeat, HeartbeatResponseCallback done) {
  if (Leader* leader = leader_lifecycle_.current()) {
    done(leader->HandleHeartbeat(heartbeat));
    on_work();
    return;
  }
  const std::string leader_label = RemoteLeader();
  if (leader_label.empty()) {
    done(NoLeaderHeartbeatResponse());
  } else {
    ForwardHeartbeat(leader_label, std::move(heartbeat), std::move(done));
  }
}

void Controller::ForwardHeartbeat(const std::string& leader, Heartbeat heartbeat,
                                  HeartbeatResponseCallback done) {
  auto respond = [done = std::move(done)](const PeerMessage& message) {
    const auto* response = std::get_if<HeartbeatResponse>(&message);
    done(response == nullptr ? HeartbeatResponse() : *response);
  };
  peer_network_.rpc().Call(leader, std::move(heartbeat), kHeartbeatForwardTimeoutSeconds,
                           std::move(respond));
}

HeartbeatResponse Controller::NoLeaderHeartbeatResponse() const {
  HeartbeatResponse response;
  // When the controllers are partitioned from each other, the state service may still name the
  // leader, and the worker may be able to reach it.
  const std::string& leader = election_.leader_label();
  if (leader != settings_.label && peer_network_.membership().RefusesConnections(leader)) {
    response.status = http_status::kMisdirectedRequest;
    response.redirect_to = leader;
  }
  return response;
}

void Controller::HandlePeerRequest(PeerMessage request, const PeerRpc::ResponseCallback& respond) {
  if (const auto* job_request = std::get_if<JobRequest>(&request)) {
    const auto done = [respond](const JobResponse& response) { respond(response); };
    if (!ServeLocally(*job_request, done)) respond(NoLeaderResponse());
  } else if (const auto* heartbeat = std::get_if<Heartbeat>(&request)) {
    Leader* leader = leader_lifecycle_.current();
    if (leader == nullptr) {
      respond(HeartbeatResponse());
      return;
    }
    respond(leader->HandleHeartbeat(*heartbeat));
    on_work();
  } else {
    respond(NoResponse());
  }
}

}  // namespace deckhall
