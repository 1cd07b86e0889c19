// A deterministic simulation of a cluster: real controllers with a simulated network, state
// service, cloud, workers and users, checked by an oracle. The time advances from event to event;
// the same seed gives the same run.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "app/controller.h"
#include "disruption_oracle.h"
#include "fakes.h"
#include "oracle.h"

namespace deckhall {

// A worker as described in PROTOCOL: it has a lease, agent epochs and a fencing token, and sends
// its heartbeats to one controller.
struct SimWorker {
  Heartbeat heartbeat;
  size_t controller_index = 0;   // of the controller that receives its heartbeats
  double next_heartbeat_at = 0;  // no heartbeat before this time
  double lease_start = 0;        // send time of the last heartbeat with a response, or epoch start
  bool awaiting_response = false;  // to a heartbeat
  uint64_t heartbeat_number = 0;   // responses to earlier heartbeats are ignored
  double hung_until = -1;
  double one_way_until = -1;          // responses and requests to it are lost
  double heartbeats_lost_until = -1;  // its heartbeats are lost
  bool faulty = false;                // every task that it starts soon fails
  bool gone = false;
  double clock_rate = 1;                                 // of its monotonic clock
  std::map<std::string, double> task_ends_at;            // by task name
  std::vector<Heartbeat> recent_heartbeats;              // for ReplayHeartbeats()
  std::vector<std::function<void()>> executed_commands;  // direct; each call is another arrival
};

// The clocks of one process: the monotonic clock drifts and the wall clock is offset, both within
// the bounds of PROTOCOL and the settings.
struct NodeClock : Clock {
  const FakeClock* true_clock = nullptr;
  double rate = 1;
  double wall_offset_s = 0;
  double Now() const override { return true_clock->now * rate; }
  double Wall() const override { return true_clock->Wall() + wall_offset_s; }
};

// Messages across a partition are delivered after it, or are lost, or their senders are told at
// once that the connection was refused.
enum class PartitionMode { kDelay, kDrop, kRefuse };

class Cluster {
 public:
  explicit Cluster(uint64_t seed, size_t nodes = 3, const Settings& times = Settings());
  ~Cluster();

  // Processes, machines and their faults.
  void Boot(size_t node);
  void Crash(size_t node);
  // Suspends the process; incoming messages wait and its clock continues.
  void Freeze(size_t node, double for_s);
  // Partitions two endpoints in both directions: a controller ("n0"), "state", "users", "cloud",
  // "workers" (all of them) or a machine.
  void Partition(const std::string& a, const std::string& b, double for_s, PartitionMode mode);
  void PartitionOneWay(const std::string& from, const std::string& to, double for_s,
                       PartitionMode mode);
  // Partitions the controllers and workers of the zone from all others and from the state service,
  // the cloud and the users.
  void PartitionZone(const std::string& zone, double for_s, PartitionMode mode);
  void StateOutage(double for_s);
  // The announced lower limits of the state service take effect.
  void LowerStateLimits();
  SimWorker& AddWorker(const std::string& zone, bool spot = false);
  SimWorker& AddWorker(const std::string& name, const std::string& zone, bool spot);
  // The machine fails together with its tasks.
  void KillMachine(const std::string& machine) { RemoveMachine(machine); }
  void Hang(const std::string& machine, double for_s);
  void MakeOneWayReachable(const std::string& machine, double for_s);
  void LoseHeartbeats(const std::string& machine, double for_s);
  // All controllers receive the machine's last heartbeats again after `after_s`.
  void ReplayHeartbeats(const std::string& machine, double after_s);

  // Every direct command that the machine executed arrives there once more.
  void ReplayCommands(const std::string& machine);

  // Sets the disruption policy of all controllers, including those that start later. The caller
  // passes its budgets to the disruption oracle.
  void SetPolicy(const std::string& text);

  // User requests. Submissions and cancellations are repeated until they get a response; the status
  // of each accepted job is queried about every 5 s.
  void Submit(const JobSpec& spec);
  void Cancel(const std::string& id);
  // Sends a request without retries, for duplicates and invalid requests.
  void SendRequestOnce(JobOperation op, const std::string& id);
  void SubmitUnplaceable(const std::string& id);
  JobSpec Array(const std::string& id, uint32_t tasks, double cores = 2) const {
    return ArraySpec(id, tasks, cores);
  }
  JobSpec Service(const std::string& id, uint32_t tasks, double cores = 2) const {
    return ServiceSpec(id, tasks, cores);
  }

  void Run(double seconds);
  // Runs until the condition holds; false if it does not within `max_s`.
  bool RunUntil(const std::function<bool()>& condition, double max_s);

  size_t Leader() const;       // the controller with a valid lease; SIZE_MAX if there is none
  Controller* node(size_t i);  // null if it is not running
  bool Accepted(const std::string& id) const { return accepted_.contains(id); }
  bool Cancelled(const std::string& id) const { return cancelled_.contains(id); }
  bool ReportedDone(const std::string& id) const { return reported_done_.contains(id); }
  // Counts the tasks of the job on all machines that have not exited.
  size_t ActiveTasks(const std::string& job) const;
  std::string MachineOf(const std::string& task) const;
  double now() const { return clock_.now; }
  std::mt19937_64& random() { return random_; }
  // Violated rules so far, one per line.
  std::string Violations() const;

  Settings settings;
  Tuning tuning;
  double array_run_s = 30;           // run time of the tasks of arrays and of gangs
  double run_spread_s = 0;           // added to the run time for each task index
  double message_delay_s = 0;        // added to the latency of every message
  double delayed_commit_share = 0;   // share of transactions executed late, without a response
  double lost_response_share = 0;    // share of transactions executed without a response
  double delayed_command_share = 0;  // share of direct commands that arrive seconds late
  // Share of the executed requests that arrive once more: direct commands, heartbeats, those of
  // users, between controllers, to the cloud and to the state service.
  double copied_request_share = 0;
  double state_delay_s = 0;  // added to each response of the state service
  bool cloud_unavailable = false;
  int available_machines = 0;  // machines that the cloud can still provision
  std::map<std::string, SimWorker> workers;
  std::unique_ptr<Oracle> oracle;
  std::unique_ptr<DisruptionOracle> disruption;  // null if no budgets are checked

 private:
  struct Process;
  struct StateLink;
  struct CloudLink;
  struct WorkerLink;
  struct PeerLinks;
  struct ActivePartition {
    double until;
    PartitionMode mode;
  };

  void ScheduleAt(double time, std::function<void()> callback) {
    events_.emplace(time, std::move(callback));
  }
  void ScheduleAfter(double delay, std::function<void()> callback) {
    ScheduleAt(clock_.now + delay, std::move(callback));
  }
  // The partition that affects this message; null if there is none.
  const ActivePartition* Blocked(const std::string& from, const std::string& to) const;
  // Sends a message that calls `callback` on arrival, which a partition delays or prevents.
  void Deliver(const std::string& from, const std::string& to, std::function<void()> callback);
  // Runs the callback on the process, after a suspension if there is one; does nothing once the
  // process has ended, even if its controller was started again.
  void RunOnProcess(const std::shared_ptr<Process>& process, const std::function<void()>& callback);
  // Returns the callback for the response of a request. Only the first response is passed to
  // `done`, on the process; after the timeout `timeout_response` is passed instead.
  template <class Response, class Done>
  std::function<void(const Response&)> FirstResponse(const std::shared_ptr<Process>& process,
                                                     double timeout,
                                                     const Response& timeout_response, Done done);
  void TickNode(const std::shared_ptr<Process>& process);
  bool Chance(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }
  double Delay();
  // The time after which the copy of an executed request arrives: from milliseconds to well over a
  // lease.
  double CopyDelay();
  bool StateRefusesRequestsOf(const std::string& who) const;
  void ExpireLeases();
  void FireWatches();
  ScaleOutResponse ScaleOutNow(const std::string& request, const std::string& zone, bool spot,
                               int count);
  void RemoveMachine(const std::string& name);
  void WorkerTick(const std::string& name);
  void SendHeartbeat(const std::string& name);
  void HandleHeartbeatResponse(const std::string& name, uint64_t number, double sent,
                               double responded_at, const HeartbeatResponse& response);
  void SwitchController(SimWorker* worker, double after_s);
  void CheckLease(SimWorker* worker);
  // Has a share of the executed requests arrive once more; `arrive` ignores the response.
  void CopyRequest(const std::function<void()>& arrive);
  // Executes a direct command, if its token and agent epoch allow it; returns whether they did.
  bool ReceiveDirect(SimWorker* worker, double commanded_at, const DirectBatch& batch);
  // Remembers an executed command for ReplayCommands(), and perhaps has it arrive once more.
  void CopyDirect(const std::string& machine, double commanded_at, const DirectBatch& batch);
  void Execute(SimWorker* worker, double commanded_at, uint64_t token,
               const CommandBatch& commands);
  void Launch(SimWorker* worker, double commanded_at, const Command& command);
  // Whether a drain selects the machine, which then gets no new tasks.
  bool IsDraining(const SimWorker& worker) const;
  // Records when the leader of each term first sent a stop command for a task.
  void RecordStops(uint64_t token, const CommandBatch& commands);
  void EndTask(SimWorker* worker, TaskStatus* status, ExitReason reason);
  double UsedCores(const SimWorker& worker) const;
  // Bytes of the worker's report that are left for more tasks, with each row in its longest form.
  static double FreeReportBytes(const SimWorker& worker);
  // Start and end of the tasks of gangs, and detection of lost members (cluster_gangs.cc).
  struct GangTask {
    SimWorker* worker;
    TaskStatus* task;
  };
  struct GangAttempt {
    bool started = false;
    double waiting_since = 0;
    double ends_at = 0;
    double lost_at = -1;
  };
  void UpdateGangs();
  void UpdateGang(const JobSpec& spec, const std::vector<GangTask>& present, GangAttempt* attempt);
  void Poll(const std::string& id);
  void SendRequest(JobOperation op, const std::string& id,
                   const std::function<void(const JobResponse&)>& done);
  void CopyUserRequest(const std::shared_ptr<Process>& process, const JobRequest& request);
  void CheckInvariants();

  FakeClock clock_;
  FakeState store_;
  FakeCloud cloud_;
  std::multimap<double, std::function<void()>> events_;
  std::mt19937_64 random_;
  // For copies of requests, so that they don't alter a seed's other random choices.
  std::mt19937_64 copy_random_;
  std::vector<std::shared_ptr<Process>> processes_;
  uint64_t next_instance_ = 1;
  int next_machine_ = 1;
  std::map<std::string, std::vector<std::string>> scaled_out_;  // machines by request id
  std::set<std::string> removed_;
  std::map<std::pair<std::string, std::string>, ActivePartition> partitions_;
  double state_unavailable_until_ = -1;
  std::map<uint64_t, double> lease_until_;
  std::map<uint64_t, double> lease_ttl_;
  struct PendingWatch {
    std::weak_ptr<Process> process;
    uint64_t after;
    double until;
    KeyValueStore::Done done;
  };
  std::vector<PendingWatch> pending_watches_;
  std::map<std::string, JobSpec> specs_;
  std::map<std::pair<std::string, uint64_t>, GangAttempt> gangs_;  // by job and attempt
  // Time of the first stop command by task, attempt and term.
  std::map<std::tuple<std::string, uint64_t, uint64_t>, double> first_stop_sent_;
  std::shared_ptr<const DisruptionPolicy> policy_;
  std::set<std::string> accepted_;
  std::set<std::string> reported_done_;
  std::set<std::string> cancelled_;
};

}  // namespace deckhall
