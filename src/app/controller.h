// One controller without its connections: election, mesh, leadership and who answers
// users and workers. Events and time in, actions out through the ports; process.h gives
// it real connections, the tests scripted ones.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "app/health_check.h"
#include "app/request_forwarder.h"
#include "app/status_rate_limiter.h"
#include "config/settings.h"
#include "config/tuning.h"
#include "drain/policy_replicator.h"
#include "leader/election.h"
#include "leader/leader.h"
#include "mesh/peer_network.h"

namespace deckhall {

struct ControllerPorts {
  KeyValueStore* key_value_store = nullptr;
  CloudProvider* cloud = nullptr;
  WorkerClient* workers = nullptr;
  PeerTransport* peer_transport = nullptr;
  const Clock* clock = nullptr;
};

// Status requests that one controller takes in a second: what comes through all of them
// ends at the leader, and must leave it room for reports, submissions and itself.
double StatusRequestsPerSecond(const Settings& settings, const Tuning& tuning);

class Controller : public LeadershipLease {
 public:
  using JobResponseCallback = std::function<void(const JobResponse&)>;
  using HeartbeatResponseCallback = std::function<void(const HeartbeatResponse&)>;

  Controller(const ControllerPorts& ports, Settings settings, Tuning tuning, uint64_t instance);
  ~Controller() override;
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  void Tick();
  // The policy of this controller's disruption file.
  void OfferPolicy(std::shared_ptr<const DisruptionPolicy> policy) {
    policy_replicator_.Offer(std::move(policy));
  }
  void HandleJobRequest(JobRequest request, JobResponseCallback done);
  void HandleHeartbeat(Heartbeat heartbeat, HeartbeatResponseCallback done);
  bool IsHealthy() const { return health_.IsHealthy(ports_.clock->Now()); }
  PeerNetwork& peer_network() { return peer_network_; }
  const Election& election() const { return election_; }
  // Null while another one leads.
  const Leader* leader() const { return leader_.get(); }

  bool IsLeaseValid() const override { return election_.IsLeaseValid(); }
  double LeaseValidUntil() const override { return election_.lease_valid_until(); }

  // Something may have become due: Tick soon.
  std::function<void()> on_work = [] {};

 private:
  void StartLeading(uint64_t term);
  void StopLeading();
  // Whether the status request is taken; otherwise it is refused at once.
  bool AdmitStatusRequest(const std::string& job);
  // Serves the request if this controller leads.
  bool ServeHere(const JobRequest& request, const JobResponseCallback& done);
  void HandlePeerRequest(PeerMessage request, const PeerRpc::ResponseCallback& respond);

  ControllerPorts ports_;
  Settings settings_;
  Tuning tuning_;
  Election election_;
  std::unique_ptr<Leader> leader_;
  struct RetiredLeader {
    double retired_at;
    std::unique_ptr<Leader> leader;
  };
  std::vector<RetiredLeader> retired_leaders_;
  PeerNetwork peer_network_;
  HealthCheck health_;
  RequestForwarder forwarder_;
  PolicyReplicator policy_replicator_;
  double elected_at_ = 0;
  StatusRateLimiter status_rate_limiter_;
  std::optional<double> refusal_logged_at_;
};

}  // namespace deckhall
