// Stand-ins of the cloud and of its machines with their workers (PROTOCOL, "Workers -> controller
// nodes", "Controller nodes -> workers", "Controller nodes -> cloud").
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "net.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "rules.h"
#include "wire/json.h"

namespace review {

struct MachineType {
  std::string name;
  double cores = 4;
  double memory_gb = 16;
  double price = 0.3;
};

struct FleetOptions {
  std::vector<MachineType> types;
  std::vector<std::string> zones;
  double report_s = 3;
  double lease_s = 30;
  double boot_s = 3;
  double list_lag_s = 2;
  double fetch_gb_per_s = 1;
  double gang_wait_s = 35;
  double gang_peer_s = 8;
  int capacity = 0;  // machines that can be rented at a time; those up at the start don't count
  uint64_t seed = 1;
};

struct Controller {
  std::string label;
  Endpoint endpoint;
};

class Fleet;

class Worker {
 public:
  struct Task {
    std::string name;
    uint64_t attempt = 0;
    std::string state;  // as on the wire
    std::string reason;
    bool saved = false;
    double next_at = 0;     // when its state changes
    double started_at = 0;  // of running
  };

  Worker(Fleet* fleet, std::string name, MachineType type, std::string zone);

  const std::string& name() const { return name_; }
  const std::string& zone() const { return zone_; }
  const std::string& type() const { return type_.name; }
  // The way from controllers to this worker, and from it to each controller.
  Proxy& inbound() { return *inbound_; }
  Proxy& outbound(size_t controller) { return *outbound_[controller]; }
  size_t controller() const { return controller_; }
  void ReportTo(size_t controller) { controller_ = controller; }
  // Sends the next report at this time, if the protocol allows it.
  void SetNextReportAt(double at) { next_report_at_ = at; }
  double next_report_at() const { return next_report_at_; }
  bool awaiting_response() const { return awaiting_; }
  double last_report_at() const { return last_report_at_; }
  uint64_t token() const { return token_; }
  uint64_t session() const { return session_; }
  const std::vector<Task>& tasks() const { return tasks_; }
  const Task* Find(const std::string& task) const;
  bool alive() const { return alive_; }
  // Tasks fail soon after their start.
  void SetFaulty(bool faulty) { faulty_ = faulty; }
  void Hang(double until) { hangs_until_ = until; }
  // Shares of the direct commands that are held up, unanswered, and executed 2 to 16 s later if
  // token and session still match; and of the reports of which a copy arrives again later.
  void SetLate(double commands, double reports) {
    late_commands_ = commands;
    late_reports_ = reports;
  }
  bool hangs() const { return SteadySeconds() < hangs_until_; }
  // The machine is gone with everything on it.
  void Die();
  void Tick();

 private:
  friend class Fleet;
  using Reply = deckhall::HttpServer::Reply;
  struct Queued {
    deckhall::HttpMessage request;
    Reply reply;
  };

  void Handle(const deckhall::HttpMessage& request, const Reply& reply);
  double Draw(double from, double to);
  void HandleLate();
  std::string NextReport();
  void SendReport();
  void HandleResponse(uint64_t session, double sent_at, const deckhall::HttpResult& result);
  void TryNext();
  void Execute(const deckhall::JsonValue& body);
  void Launch(const std::string& task, uint64_t attempt);
  void Stop(Task* task, double grace_s);
  void End(Task* task, const char* reason, bool saved = false);
  void SetToken(uint64_t token);
  void ExpireLease();
  void Step(Task* task, double now);

  Fleet* fleet_;
  std::string name_;
  MachineType type_;
  std::string zone_;
  std::mt19937_64 random_;
  std::unique_ptr<deckhall::HttpServer> server_;
  std::unique_ptr<deckhall::HttpClient> client_;
  std::unique_ptr<Proxy> inbound_;
  std::vector<std::unique_ptr<Proxy>> outbound_;
  size_t controller_ = 0;
  uint64_t session_ = 1;
  uint64_t sequence_ = 0;
  uint64_t token_ = 0;
  std::vector<Task> tasks_;
  std::set<std::string> images_;
  std::vector<Queued> queued_;
  std::vector<std::pair<double, std::string>> late_command_bodies_;
  std::vector<std::pair<double, std::string>> late_report_bodies_;
  double late_commands_ = 0;
  double late_reports_ = 0;
  double lease_start_ = 0;
  double next_report_at_ = 0;
  double last_report_at_ = -1e9;
  double token_change_at_ = -1e9;
  bool awaiting_ = false;
  bool changed_ = false;
  bool faulty_ = false;
  bool alive_ = true;
  double hangs_until_ = -1;
  double hung_since_ = -1;
};

class Fleet {
 public:
  Fleet(Loop* loop, FleetOptions options, std::vector<Controller> controllers, Rules* rules);

  // A machine that is up at the start.
  Worker* AddMachine(const std::string& type, const std::string& zone);
  const Endpoint& cloud() const { return cloud_endpoint_; }
  // The cloud's interface is down until then.
  void SetCloudOutageUntil(double until) { cloud_outage_until_ = until; }
  // Rental requests that arrived so far.
  size_t rentals() const { return rentals_seen_; }
  std::vector<Worker*> workers();
  Worker* Find(const std::string& name);
  // Run time of each task of a job, in seconds.
  void SetRunSeconds(const std::string& job, double seconds) { run_s_[job] = seconds; }

 private:
  friend class Worker;
  struct Machine {
    std::unique_ptr<Worker> worker;
    std::string type;
    std::string zone;
    double rented_at = 0;
    double up_at = 0;
    double gone_at = -1;
    bool failed = false;
  };

  void HandleCloud(const deckhall::HttpMessage& request, const deckhall::HttpServer::Reply& reply);
  deckhall::HttpResponse ListTypes() const;
  deckhall::HttpResponse Rent(const std::string& body);
  deckhall::HttpResponse Return(const std::string& body);
  deckhall::HttpResponse List() const;
  std::string NewName();
  const MachineType* TypeOf(const std::string& name) const;
  double RunSeconds(const std::string& job) const;
  // Starts gangs that are complete, completes them together, and ends those that lost a task.
  void TickGangs(double now);
  void Tick();

  Loop* loop_;
  FleetOptions options_;
  std::vector<Controller> controllers_;
  Rules* rules_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, std::string> rentals_;
  std::map<std::string, double> run_s_;
  size_t rentals_seen_ = 0;
  int next_machine_ = 1;
  double cloud_outage_until_ = -1;
  Endpoint cloud_endpoint_;
  deckhall::HttpServer cloud_;
  Timer ticker_;
};

}  // namespace review
