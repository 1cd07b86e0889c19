// A controller node without its network connections: takes part in the election, runs the `Leader`
// while it leads, and otherwise forwards requests to the leading controller.
//
// Guarantees and invariants:
//  - Every request of a user or a worker gets one response: from this controller's leader, from the
//    leading controller, or with a status that makes the client retry.
//  - Heartbeats are processed here only while this controller holds the leader key.
//  - Free of I/O: requests, responses and time come in through the methods, actions go out through
//    `ControllerPorts`. `Process` connects these to sockets, the tests to a simulated cluster.
//
// Owned by `Process`. Single-threaded; all times are seconds of the steady clock.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "app/health_check.h"
#include "app/leader_lifecycle.h"
#include "app/request_forwarder.h"
#include "app/status_rate_limiter.h"
#include "config/settings.h"
#include "config/tuning.h"
#include "drain/policy_replicator.h"
#include "leader/election.h"
#include "leader/leader.h"
#include "mesh/peer_network.h"

namespace deckhall {

// The services, the network and the clock that a controller uses. All must outlive the controller.
struct ControllerPorts {
  KeyValueStore* key_value_store = nullptr;
  CloudProvider* cloud = nullptr;
  WorkerClient* workers = nullptr;
  PeerTransport* peer_transport = nullptr;
  const Clock* clock = nullptr;
};

// The status requests per second that one controller admits. The leader serves those of all
// controllers and needs capacity for heartbeats, submissions and scheduling besides.
double StatusRequestsPerSecond(const Settings& settings, const Tuning& tuning);

class Controller : public LeadershipLease {
 public:
  using JobResponseCallback = std::function<void(const JobResponse&)>;
  using HeartbeatResponseCallback = std::function<void(const HeartbeatResponse&)>;

  // `instance` identifies this process; unique, not 0.
  Controller(const ControllerPorts& ports, Settings settings, Tuning tuning, uint64_t instance);
  ~Controller() override;
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  // Does the work that is due. Called periodically, and soon after `on_work`.
  void Tick();
  // Offers the disruption policy of this controller's own file to all controllers.
  void OfferPolicy(std::shared_ptr<const DisruptionPolicy> policy) {
    policy_replicator_.SetLocalPolicy(std::move(policy));
  }
  // Serves a user's request. `done` is called once, immediately or later; with 503 while no leader
  // can be reached, or when a status request exceeds the rate limit.
  void HandleJobRequest(JobRequest request, JobResponseCallback done);
  // Serves a worker's heartbeat. `done` is called once, immediately or later; with 503, or with 421
  // and the leader's label, while the leader can't be reached.
  void HandleHeartbeat(Heartbeat heartbeat, HeartbeatResponseCallback done);
  // Whether this controller can serve users; reported by GET /up.
  bool IsHealthy() const { return health_.IsHealthy(ports_.clock->Now()); }

  PeerNetwork& peer_network() { return peer_network_; }
  const Election& election() const { return election_; }
  // Null while this controller does not lead.
  const Leader* leader() const { return leader_lifecycle_.current(); }

  bool IsLeaseValid() const override { return election_.IsLeaseValid(); }
  double LeaseValidUntil() const override { return election_.lease_valid_until(); }

  // Called when something may have become due: `Tick` should run soon.
  std::function<void()> on_work = [] {};

 private:
  void StartLeading(uint64_t term);
  void StopLeading();
  LeaderPorts BuildLeaderPorts();
  // The zone of the controller that led before this one; empty if unknown.
  std::string FormerLeaderZone() const;
  // Notifies the peers whether this controller leads.
  void AnnounceLeadership();
  void TickLeader();
  // Resigns in favour of another controller when most workers can't be reached from this one.
  void ResignIfWorkersUnreachable();
  // Stops leading when a peer announced a higher term.
  void HandleHigherTerm(uint64_t term);

  // Whether the rate limit admits a status request about the job.
  bool AdmitStatusRequest(const std::string& job_id);
  void LogStatusRefusal(double now);
  // Records in the rate limiter that the user got the state of the job, or that it is unknown.
  void RecordStatusResponse(const std::string& job_id, const JobResponse& response);
  // Serves the request if this controller leads; otherwise returns false and never calls `done`.
  bool ServeLocally(const JobRequest& request, const JobResponseCallback& done);
  void ForwardJobRequest(JobRequest request, JobResponseCallback done);
  void ForwardHeartbeat(const std::string& leader, Heartbeat heartbeat,
                        HeartbeatResponseCallback done);
  // The response to a heartbeat while no leader can be reached.
  HeartbeatResponse NoLeaderHeartbeatResponse() const;
  // The label of another controller that leads; empty if none is known.
  std::string RemoteLeader() const;

  // Serves a request that a peer forwarded or sent to this controller.
  void HandlePeerRequest(PeerMessage request, const PeerRpc::ResponseCallback& respond);

  ControllerPorts ports_;
  Settings settings_;
  Tuning tuning_;
  Election election_;
  LeaderLifecycle leader_lifecycle_;
  PeerNetwork peer_network_;
  HealthCheck health_;
  RequestForwarder forwarder_;
  PolicyReplicator policy_replicator_;
  StatusRateLimiter status_rate_limiter_;
  std::optional<double> refusal_logged_at_;
};

}  // namespace deckhall
