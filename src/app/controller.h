// One controller: the I/O shell around the core.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "api/front.h"
#include "app/health.h"
#include "app/settings.h"
#include "app/tuning.h"
#include "cloud/cloud_client.h"
#include "fleet/worker_client.h"
#include "leader/election.h"
#include "leader/leader.h"
#include "mesh/mesh.h"
#include "state/state_client.h"

namespace deckhall {

class SystemClock : public Clock {
 public:
  double Now() const override { return SteadySeconds(); }
  double Wall() const override { return WallSeconds(); }
};

class Controller : public LeaseView {
 public:
  Controller(Loop* loop, Settings settings, Tuning tuning);
  ~Controller() override;
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  bool Trusted() const override { return election_.Trusted(); }
  double TrustedUntil() const override { return election_.trusted_until(); }

 private:
  void Tick();
  void Kick();
  void Won(uint64_t term);
  void Lost();
  void User(UserAsk ask, Front::UserDone done);
  void CheckIn(Report report, Front::ReportDone done);
  void Served(Mesh::Body body, const Mesh::Reply& reply);
  bool Up();

  Loop* loop_;
  SystemClock clock_;
  Settings settings_;
  Tuning tuning_;
  uint64_t instance_;
  StateClient state_;
  CloudClient cloud_;
  WorkerClient workers_;
  Election election_;
  std::unique_ptr<Leader> leader_;
  struct Retired {
    double since;
    std::unique_ptr<Leader> leader;
  };
  std::vector<Retired> retired_;
  Mesh mesh_;
  Front front_;
  std::unique_ptr<HttpServer> server_;
  Timer ticker_;
  Timer kick_;
  Health health_;
  double next_log_ = 0;
};

}  // namespace deckhall
