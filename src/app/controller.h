// One controller without its connections: election, mesh, leadership and who answers
// users and workers. Events and time in, actions out through the ports; process.h gives
// it real connections, the tests scripted ones.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "app/health.h"
#include "app/settings.h"
#include "app/status_budget.h"
#include "app/tuning.h"
#include "app/user_relay.h"
#include "drain/policy_replicator.h"
#include "leader/election.h"
#include "leader/leader.h"
#include "mesh/mesh.h"

namespace deckhall {

struct ControllerPorts {
  KeyValueStore* state = nullptr;
  CloudPort* cloud = nullptr;
  WorkerPort* workers = nullptr;
  MeshTransport* links = nullptr;
  const Clock* clock = nullptr;
};

// Status requests that one controller takes in a second: what comes through all of them
// ends at the leader, and must leave it room for reports, submissions and itself.
double StatusRequestsPerSecond(const Settings& settings, const Tuning& tuning);

class Controller : public LeaseView {
 public:
  using UserDone = std::function<void(const JobResponse&)>;
  using ReportDone = std::function<void(const HeartbeatResponse&)>;

  Controller(const ControllerPorts& ports, Settings settings, Tuning tuning, uint64_t instance);
  ~Controller() override;
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  void Tick();
  // The policy of this controller's disruption file.
  void OfferPolicy(std::shared_ptr<const DisruptionPolicy> policy) {
    policy_.Offer(std::move(policy));
  }
  void User(JobRequest ask, UserDone done);
  void CheckIn(Heartbeat report, ReportDone done);
  bool Up() const { return health_.Up(ports_.clock->Now()); }
  Mesh& mesh() { return mesh_; }
  const Election& election() const { return election_; }
  // Null while another one leads.
  const Leader* leader() const { return leader_.get(); }

  bool Trusted() const override { return election_.Trusted(); }
  double TrustedUntil() const override { return election_.trusted_until(); }

  // Something may have become due: Tick soon.
  std::function<void()> on_work = [] {};

 private:
  void Won(uint64_t term);
  void Lost();
  // Whether the status request is taken; otherwise it is refused at once.
  bool AdmitStatusRequest(const std::string& job);
  // Serves the request if this controller leads.
  bool ServeHere(const JobRequest& request, const UserDone& done);
  void Served(Mesh::Body body, const Mesh::Reply& reply);

  ControllerPorts ports_;
  Settings settings_;
  Tuning tuning_;
  Election election_;
  std::unique_ptr<Leader> leader_;
  struct Retired {
    double since;
    std::unique_ptr<Leader> leader;
  };
  std::vector<Retired> retired_;
  Mesh mesh_;
  Health health_;
  UserRelay relay_;
  PolicyReplicator policy_;
  double won_at_ = 0;
  StatusBudget status_budget_;
  std::optional<double> refusal_logged_at_;
};

}  // namespace deckhall
