// Several real controllers over a scripted network, state service, cloud, workers and
// users, with one oracle watching all of them. Time moves by events; the same seed gives
// the same run.
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

// A worker as PROTOCOL describes it: lease, sessions, tokens, reports to one node.
struct SimWorker {
  Heartbeat report;
  size_t node = 0;         // reports to it
  double next_report = 0;  // no report before
  double lease_from = 0;   // sending time of the last answered report, or its beginning
  bool waiting = false;    // for the answer to a report
  uint64_t asked = 0;      // numbers its reports, so that late answers are dropped
  double hangs_until = -1;
  double deaf_until = -1;  // answers and direct commands are lost
  double mute_until = -1;  // its reports are lost
  bool gone = false;
  double rate = 1;                        // of its steady clock
  std::map<std::string, double> ends_at;  // by task
  std::vector<Heartbeat> sent;            // for late copies
};

// A process's own clocks: the steady one drifts, the time of day is off, both within
// what PROTOCOL and the settings allow.
struct NodeClock : Clock {
  const FakeClock* truth = nullptr;
  double rate = 1;
  double wall_off = 0;
  double Now() const override { return truth->now * rate; }
  double Wall() const override { return truth->Wall() + wall_off; }
};

enum class CutMode { kHold, kDrop, kRefuse };

class Cluster {
 public:
  explicit Cluster(uint64_t seed, size_t nodes = 3, const Settings& times = Settings());
  ~Cluster();

  // The stage.
  void Boot(size_t node);
  void Crash(size_t node);
  // Stands still, with all that comes in, while its clock runs on.
  void Freeze(size_t node, double for_s);
  // Between two parties, both ways: "n0", "state", "users", "workers" or a machine.
  void Cut(const std::string& a, const std::string& b, double for_s, CutMode mode);
  void CutOneWay(const std::string& from, const std::string& to, double for_s, CutMode mode);
  // All in the zone, controllers too, from all outside it, the regional services included.
  void CutZone(const std::string& zone, double for_s, CutMode mode);
  void StateOutage(double for_s);
  // The limits that were announced come.
  void LowerStateLimits();
  SimWorker& AddWorker(const std::string& zone, bool spot = false);
  SimWorker& AddWorker(const std::string& name, const std::string& zone, bool spot);
  // Stops with all that is on it.
  void Die(const std::string& machine) { Delete(machine); }
  void Hang(const std::string& machine, double for_s);
  void Deaf(const std::string& machine, double for_s);
  void Mute(const std::string& machine, double for_s);
  // The machine's last reports come again a while later, at all nodes.
  void ReplayReports(const std::string& machine, double after_s);

  // The disruption file of every controller, those that start later included. Its budgets are
  // handed to the oracle by the caller.
  void SetPolicy(const std::string& text);

  // Users: they repeat submissions and cancellations until they are answered, and
  // ask about every job now and then.
  void Submit(const JobSpec& spec);
  void Cancel(const std::string& id);
  // Asked once, whatever the answer: repeats, and what no user should ask.
  void AskOnce(JobOperation op, const std::string& id);
  void SubmitHopeless(const std::string& id);
  JobSpec Array(const std::string& id, uint32_t tasks, double cores = 2) const {
    return ArraySpec(id, tasks, cores);
  }
  JobSpec Service(const std::string& id, uint32_t tasks, double cores = 2) const {
    return ServiceSpec(id, tasks, cores);
  }

  void Run(double seconds);
  // Until the condition holds; false when it did not in time.
  bool RunUntil(const std::function<bool()>& when, double most_s);

  size_t Leader() const;       // the node that trusts its lease; SIZE_MAX: none
  Controller* node(size_t i);  // null while it is down
  bool Accepted(const std::string& id) const { return accepted_.contains(id); }
  bool Cancelled(const std::string& id) const { return cancelled_.contains(id); }
  bool ToldDone(const std::string& id) const { return over_.contains(id); }
  // Tasks of the job that are on machines.
  size_t On(const std::string& job) const;
  std::string MachineOf(const std::string& task) const;
  double now() const { return clock_.now; }
  std::mt19937_64& random() { return random_; }
  // Rules broken so far, a line each.
  std::string Broken() const;

  Settings settings;
  Tuning tuning;
  double run_s = 30;         // of an array's task
  double spread_s = 0;       // added for each further task of a job
  double delay_s = 0;        // added to every message
  double late_writes = 0;    // share of transactions that are carried out late, unanswered
  double lost_answers = 0;   // share of transactions that are carried out, their answers lost
  double late_commands = 0;  // share of direct commands held up for seconds, unanswered
  double slow_state_s = 0;   // added to each answer
  bool cloud_out = false;
  int rentable = 0;  // so many more machines can be had
  std::map<std::string, SimWorker> workers;
  std::unique_ptr<Oracle> oracle;
  std::unique_ptr<DisruptionOracle> disruption;  // once budgets are watched

 private:
  struct Shell;
  struct StateLink;
  struct CloudLink;
  struct WorkerLink;
  struct Links;
  struct CutNow {
    double until;
    CutMode mode;
  };

  void At(double t, std::function<void()> fn) { events_.emplace(t, std::move(fn)); }
  void After(double s, std::function<void()> fn) { At(clock_.now + s, std::move(fn)); }
  // Empty: the message goes through after the delay.
  const CutNow* Blocked(const std::string& from, const std::string& to) const;
  // Carries out `fn` at the other end, now, late or never.
  void Carry(const std::string& from, const std::string& to, std::function<void()> fn);
  // Runs on that process, when it does not stand still; never on a later one.
  void OnNode(const std::shared_ptr<Shell>& shell, const std::function<void()>& fn);
  // What a request's answer is handed to: `done` gets the first one, on that process, at
  // the latest `none` when the time is over.
  template <class Answer, class Done>
  std::function<void(const Answer&)> FirstAnswer(const std::shared_ptr<Shell>& shell,
                                                 double timeout, const Answer& none, Done done);
  void TickNode(const std::shared_ptr<Shell>& shell);
  bool Draw(double share) { return std::uniform_real_distribution<double>(0, 1)(random_) < share; }
  double Delay();
  bool StateRefuses(const std::string& who) const;
  void ExpireLeases();
  void FireWatches();
  ScaleOutResponse RentNow(const std::string& request, const std::string& zone, bool spot,
                           int count);
  void Delete(const std::string& name);
  void WorkerTick(const std::string& name);
  void SendReport(const std::string& name);
  void Reported(const std::string& name, uint64_t number, double sent, double answered,
                const HeartbeatResponse& r);
  void NextNode(SimWorker* w, double after_s);
  void CheckLease(SimWorker* w);
  void Execute(SimWorker* w, double commanded_at, uint64_t token,
               const std::vector<Command>& commands);
  void Launch(SimWorker* w, double commanded_at, const Command& c);
  // Remembers when the leader of each term first told a task to stop.
  // A drain names it: it takes no new tasks.
  bool Drained(const SimWorker& w) const;
  void NoteStops(uint64_t token, const std::vector<Command>& commands);
  void EndTask(SimWorker* w, TaskStatus* t, ExitReason why);
  double Used(const SimWorker& w) const;
  // Tasks of gangs start, end, and notice lost ones (cluster_gangs.cc).
  struct GangTask {
    SimWorker* worker;
    TaskStatus* task;
  };
  struct GangAttempt {
    bool started = false;
    double gathers_since = 0;
    double ends_at = 0;
    double lost_at = -1;
  };
  void StepGangs();
  void StepGang(const JobSpec& spec, const std::vector<GangTask>& there, GangAttempt* attempt);
  void Poll(const std::string& id);
  void Ask(JobOperation op, const std::string& id,
           const std::function<void(const JobResponse&)>& done);
  void Watch();

  FakeClock clock_;
  FakeState store_;
  FakeCloud cloud_;
  std::multimap<double, std::function<void()>> events_;
  std::mt19937_64 random_;
  std::vector<std::shared_ptr<Shell>> shells_;
  uint64_t next_instance_ = 1;
  int next_machine_ = 1;
  std::map<std::string, std::vector<std::string>> rented_;  // by request
  std::set<std::string> deleted_;
  std::map<std::pair<std::string, std::string>, CutNow> cuts_;
  double state_out_until_ = -1;
  std::map<uint64_t, double> lease_until_;
  std::map<uint64_t, double> lease_ttl_;
  struct Watching {
    std::weak_ptr<Shell> shell;
    uint64_t after;
    double until;
    KeyValueStore::Done done;
  };
  std::vector<Watching> watching_;
  std::map<std::string, JobSpec> specs_;
  std::map<std::pair<std::string, uint64_t>, GangAttempt> gangs_;  // by job and attempt
  // By task, attempt and term.
  std::map<std::tuple<std::string, uint64_t, uint64_t>, double> stop_sent_;
  std::shared_ptr<const DisruptionPolicy> policy_;
  std::set<std::string> accepted_;
  std::set<std::string> over_;
  std::set<std::string> cancelled_;
};

}  // namespace deckhall
