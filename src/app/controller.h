// One controller without its connections: election, mesh, leadership and who answers
// users and workers. Events and time in, actions out through the ports; process.h gives
// it real connections, the tests scripted ones.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "app/health.h"
#include "app/settings.h"
#include "app/tuning.h"
#include "leader/election.h"
#include "leader/leader.h"
#include "mesh/mesh.h"
#include "net/token_bucket.h"

namespace deckhall {

struct ControllerPorts {
  StatePort* state = nullptr;
  CloudPort* cloud = nullptr;
  WorkerPort* workers = nullptr;
  MeshTransport* links = nullptr;
  const Clock* clock = nullptr;
};

// Questions about jobs that one node takes in a second: what comes through all of them
// ends at the leader, and must leave it room for reports, submissions and itself.
double QuestionsPerSecond(const Settings& settings, const Tuning& tuning);

class Controller : public LeaseView {
 public:
  using UserDone = std::function<void(const UserResponse&)>;
  using ReportDone = std::function<void(const ReportResponse&)>;

  Controller(const ControllerPorts& ports, Settings settings, Tuning tuning, uint64_t instance);
  ~Controller() override;
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  void Tick();
  void User(UserRequest ask, UserDone done);
  void CheckIn(Report report, ReportDone done);
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
  TokenBucket questions_;  // of users about jobs, through this node
  double questions_logged_at_ = -1e9;
};

}  // namespace deckhall
