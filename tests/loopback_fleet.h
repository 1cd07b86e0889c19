// Fakes of the cloud and its workers with real connections on the loopback interface. The workers
// report the start and end of each task to the disruption oracle.
#pragma once

#include <functional>
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
  std::string network;  // first three octets of its machines' addresses
};

struct LoopbackOptions {
  std::vector<LoopbackZone> zones;
  struct Type {
    std::string name;
    double price;
  };
  std::vector<Type> types;
  double cores = 8;
  double heartbeat_interval_s = 1;
  double lease_s = 8;
  double boot_s = 1;
  double task_start_s = 0.4;  // from the start command until the task runs
  int max_machines = 40;
};

class LoopbackFleet {
 public:
  LoopbackFleet(Loop* loop, const Endpoint& cloud, const LoopbackOptions& options,
                std::vector<Endpoint> controllers, DisruptionOracle* oracle);
  ~LoopbackFleet();

  // Adds a submitted job, so that the workers know its description.
  void AddJob(const JobSpec& spec) { jobs_[spec.id] = spec; }
  // The machine fails together with its tasks; the cloud lists it as failed.
  void Kill(const std::string& machine);
  // The task exits with an error on the machine on which it runs.
  void Fail(const std::string& task);
  // From now on, each direct command with a launch arrives once more, `delay_s` after the exit of
  // an attempt that it launched was acknowledged.
  void CopyLaunchesAfterAcknowledgement(double delay_s) { copy_delay_s_ = delay_s; }
  // While `hold` is true, requests to the cloud are executed but not answered; afterwards the
  // answers are sent.
  void HoldCloudResponses(bool hold);
  // Number of requests to the cloud so far whose answers were held.
  size_t held_cloud_responses() const { return held_cloud_responses_; }
  std::string PickBusyMachine(uint64_t random_number) const;
  size_t CountMachines(const std::string& zone, const std::string& type) const;
  bool IsRunning(const std::string& task) const { return CountRunning(task) > 0; }
  // Counts the machines on which the task runs.
  size_t CountRunning(const std::string& task) const;
  // Counts the tasks of the job that run.
  size_t CountRunningOfJob(const std::string& job) const;
  // Requests and lines for workers, and workers' reports, that are longer than PROTOCOL allows.
  int oversized_messages() const { return oversized_messages_; }
  int copied_commands() const { return copied_commands_; }
  int killed() const { return killed_; }

 private:
  struct Worker;
  void HandleCloudRequest(const HttpMessage& request, const HttpServer::Reply& reply);
  HttpResponse ExecuteCloudRequest(const HttpMessage& request);
  HttpResponse ListTypes() const;
  HttpResponse ScaleOut(const std::string& body);
  HttpResponse ScaleIn(const std::string& body);
  HttpResponse List() const;
  void Boot(Worker* worker);
  void Remove(const std::string& machine, const char* state);
  void Handle(Worker* worker, const HttpMessage& request, const HttpServer::Reply& reply);
  // Counts the text if it is longer than PROTOCOL allows.
  bool AllowsMessage(const std::string& body_or_line);
  // Whether the token and the agent epoch of the batch allow its execution.
  static bool IsAuthorized(const Worker& worker, const WorkerCommands& batch);
  void Execute(Worker* worker, const WorkerCommands& batch);
  // Has the direct commands that launched the attempt arrive once more.
  void CopyLaunches(Worker* worker, const Command& acknowledgement);
  void Launch(Worker* worker, const Command& command);
  void EndTask(Worker* worker, TaskStatus* task, ExitReason reason);
  void SendHeartbeat(Worker* worker);
  void HandleHeartbeatResponse(Worker* worker, double sent, const HttpResult& result);
  // Ends all tasks after the lease has expired.
  void StartNewEpoch(Worker* worker);
  void Tick();

  Loop* loop_;
  LoopbackOptions options_;
  std::vector<Endpoint> controllers_;
  DisruptionOracle* oracle_;
  std::map<std::string, JobSpec> jobs_;
  std::map<std::string, std::unique_ptr<Worker>> workers_;
  std::map<std::string, std::string> scaled_out_;  // response by request id
  std::map<std::string, int> hosts_;               // last host number by network
  int next_machine_ = 1;
  int killed_ = 0;
  double copy_delay_s_ = -1;  // negative: no command arrives twice
  int copied_commands_ = 0;
  int oversized_messages_ = 0;
  std::vector<std::unique_ptr<Timer>> copies_;
  bool hold_cloud_responses_ = false;
  size_t held_cloud_responses_ = 0;
  std::vector<std::function<void()>> held_responses_;
  Timer ticker_;
  HttpServer server_;
};

}  // namespace deckhall
