// Stand-ins for the cloud and its workers, over real connections on the loopback interface. The
// workers keep the truth of what runs, and tell it to the oracle of disruptions.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "disruption_oracle.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/loop.h"
#include "wire/types.h"
#include "wire/worker_codec.h"

namespace deckhall {

struct LoopbackZone {
  std::string name;
  std::string network;  // the first three numbers of its machines' addresses
};

struct LoopbackOptions {
  std::vector<LoopbackZone> zones;
  struct Type {
    std::string name;
    double price;
  };
  std::vector<Type> types;
  double cores = 8;
  double report_s = 1;
  double lease_s = 8;
  double boot_s = 1;
  double start_s = 0.4;  // from a launch until the task runs
  int most_machines = 40;
};

class LoopbackFleet {
 public:
  LoopbackFleet(Loop* loop, const Endpoint& cloud, const LoopbackOptions& options,
                std::vector<Endpoint> controllers, DisruptionOracle* oracle);
  ~LoopbackFleet();

  // What users submitted: workers fetch descriptions on their own.
  void Know(const JobSpec& spec) { jobs_[spec.id] = spec; }
  // Lost at once, with all that is on it; the cloud lists it as failed.
  void Kill(const std::string& machine);
  std::string AnyBusy(uint64_t draw) const;
  size_t Machines(const std::string& zone, const std::string& type) const;
  bool Runs(const std::string& task) const;
  int killed() const { return killed_; }

 private:
  struct Worker;
  void Cloud(const HttpMessage& request, const HttpServer::Reply& reply);
  HttpResponse Flavors() const;
  HttpResponse Rent(const std::string& body);
  HttpResponse Return(const std::string& body);
  HttpResponse List() const;
  void Boot(Worker* worker);
  void Remove(const std::string& machine, const char* state);
  void Handle(Worker* worker, const HttpMessage& request, const HttpServer::Reply& reply);
  void Execute(Worker* worker, const WorkerCommands& orders);
  void Launch(Worker* worker, const Command& command);
  void End(Worker* worker, TaskStatus* task, ExitReason why);
  void SendReport(Worker* worker);
  void Answered(Worker* worker, double sent, const HttpResult& result);
  // Its lease ran out.
  void EndSession(Worker* worker);
  void Tick();

  Loop* loop_;
  LoopbackOptions options_;
  std::vector<Endpoint> controllers_;
  DisruptionOracle* oracle_;
  std::map<std::string, JobSpec> jobs_;
  std::map<std::string, std::unique_ptr<Worker>> workers_;
  std::map<std::string, std::string> rented_;  // answers by request
  std::map<std::string, int> hosts_;           // last host number by network
  int next_machine_ = 1;
  int killed_ = 0;
  Timer ticker_;
  HttpServer server_;
};

}  // namespace deckhall
