// Stand-ins of the cloud and of its machines with their workers, on loopback, as PROTOCOL describes
// them. Each worker has a port of its own.
//
// A machine that stops is silent: connections to it are accepted and never answered, and the cloud
// lists it as running for another 30 s, then as failed.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "net/http_server.h"
#include "net/loop.h"
#include "record.h"

namespace stage {

struct MachineType {
  std::string name;
  double cores = 0;
  double memory_gb = 0;
  double hourly = 0;
  std::vector<std::string> zones;
  double startup_s = 25;  // nominal
  double boot_s = 15;     // of each machine that is rented
  double pull_gb_per_s = 1;
};

struct PlatformOptions {
  std::vector<MachineType> types;
  double report_s = 3;
  double lease_s = 12;
  double list_lag_s = 1;
  size_t max_machines = 40;
};

// A job as its user submits it. `run_s` is the true run time of a task; services run on.
struct JobDescription {
  std::string id;
  std::string job_class;
  std::string team;
  std::string kind = "sweep";
  std::string priority = "normal";
  uint32_t tasks = 1;
  double cores = 1;
  double memory_gb = 1;
  std::string image = "img-07";
  double image_gb = 0.1;
  std::vector<std::string> types;  // any if empty
  std::string zone;                // any if empty
  bool one_zone = false;
  bool apart = false;
  double run_s = 10;

  bool IsService() const { return kind == "daemon"; }
  std::string Text() const;  // the body of the submission
};

class Platform {
 public:
  Platform(deckhall::Loop* loop, Record* record, const deckhall::Endpoint& cloud,
           const PlatformOptions& options, std::vector<deckhall::Endpoint> controllers,
           std::vector<std::string> labels);
  ~Platform();

  // Users upload the description of a job before they submit it.
  void Upload(const JobDescription& job) { jobs_[job.id] = job; }
  // Adds a machine that is up at the start; returns its name.
  std::string AddMachine(const std::string& type, const std::string& zone);
  // From now on the machine fails every task that it starts.
  void MakeFaulty(const std::string& machine);
  // The machine stops with all that is on it.
  void Stop(const std::string& machine);

  // Tasks of the job that are on machines now, in state `running`.
  size_t CountRunning(const std::string& job) const;
  // Tasks of the job that have completed.
  size_t CountDone(const std::string& job) const;
  // Cores that the team's tasks take now. A task counts from the moment it has its image.
  double CoresInUse(const std::string& team) const;
  // The machines that run tasks of the job.
  std::vector<std::string> MachinesOf(const std::string& job) const;
  std::string ZoneOf(const std::string& machine) const;
  size_t CountMachines() const;
  // Machines that were rented of this type and zone; any if empty.
  size_t CountRented(const std::string& type, const std::string& zone) const;
  size_t launches() const { return launches_; }
  // Requests and lines for workers beyond the 64 KiB that PROTOCOL allows.
  size_t oversized() const { return oversized_; }
  // A task that was started while it was on another machine; empty if there was none.
  const std::string& ran_twice() const { return ran_twice_; }

 private:
  struct Worker;
  struct Task;
  struct Command;

  deckhall::HttpResponse HandleCloud(const deckhall::HttpMessage& request);
  deckhall::HttpResponse ListTypes() const;
  deckhall::HttpResponse Rent(const std::string& body);
  deckhall::HttpResponse Return(const std::string& body);
  deckhall::HttpResponse ListMachines(const std::string& target) const;
  Worker* Create(const std::string& type, const std::string& zone);
  const MachineType& TypeOf(const Worker& worker) const;
  void SaveListing(double now);
  void Boot(Worker* worker);

  void HandleWorker(Worker* worker, const deckhall::HttpMessage& request,
                    const deckhall::HttpServer::Reply& reply);
  static std::string ReportOf(Worker* worker);
  bool ReadCommands(const std::string& body, uint64_t* token, uint64_t* session,
                    std::vector<Command>* commands) const;
  void SeeToken(Worker* worker, uint64_t token);
  void Execute(Worker* worker, const std::vector<Command>& commands);
  void Launch(Worker* worker, const Command& command);
  std::string RefusalOf(const Worker& worker, const Command& command) const;
  void EndTask(Worker* worker, Task* task, const std::string& reason);
  void BeginTask(Worker* worker, Task* task);
  void SendReport(Worker* worker);
  void HandleResponse(Worker* worker, double sent, const deckhall::HttpResult& result);
  void TryNextController(Worker* worker, double delay_s);
  void BeginSession(Worker* worker);
  void AdvanceTasks(Worker* worker, double now);
  void AdvanceWorker(Worker* worker, double now);
  void Tick();
  void ForEachOnMachine(const std::function<void(const Worker&, const Task&)>& visit) const;

  deckhall::Loop* loop_;
  Record* record_;
  PlatformOptions options_;
  std::vector<deckhall::Endpoint> controllers_;
  std::vector<std::string> labels_;
  std::map<std::string, JobDescription> jobs_;
  std::map<std::string, std::unique_ptr<Worker>> workers_;  // by machine
  std::map<std::string, std::string> rentals_;              // answers by request name
  struct Listing {
    double at = 0;
    std::vector<std::pair<std::string, std::string>> rows;  // machine, JSON
  };
  std::deque<Listing> listings_;
  std::map<std::string, bool> done_tasks_;
  std::mt19937 random_{7};
  int next_machine_ = 1;
  size_t launches_ = 0;
  size_t oversized_ = 0;
  std::string ran_twice_;
  deckhall::Timer ticker_;
  deckhall::HttpServer server_;
};

}  // namespace stage
