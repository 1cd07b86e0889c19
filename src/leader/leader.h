// The one controller that decides: users' jobs, workers' reports, placement,
// rentals. Lives as long as its term.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cloud/cloud_port.h"
#include "drain/drainer.h"
#include "fleet/cache_hints.h"
#include "fleet/worker_port.h"
#include "leader/gang_keeper.h"
#include "leader/placer.h"
#include "leader/planner.h"
#include "net/token_bucket.h"

namespace deckhall {

// The term's lease, seen by the holder's own clock.
class LeaseView {
 public:
  virtual ~LeaseView() = default;
  virtual bool Trusted() const = 0;
  virtual double TrustedUntil() const = 0;
};

struct LeaderPorts {
  KeyValueStore* state = nullptr;
  CloudPort* cloud = nullptr;
  WorkerPort* workers = nullptr;
  const Clock* clock = nullptr;
  const LeaseView* lease = nullptr;
  // Whether the way to a zone was blocked of late; may be empty.
  std::function<bool(const std::string& zone)> doubtful;
  // A time at which surely no later term had begun; may be empty.
  std::function<double(uint64_t term)> no_later_term_since;
  // The zone of whoever led before, as far as known.
  std::string former_leader_zone;
};

class Leader {
 public:
  using UserDone = std::function<void(JobResponse)>;

  Leader(const LeaderPorts& ports, const Settings* settings, const Tuning* tuning,
         const std::string& leader_key, uint64_t term);

  void Begin();
  void User(const JobRequest& ask, UserDone done);
  HeartbeatResponse OnReport(const Heartbeat& report);
  void Tick();
  // The term is over: answers what waits and does nothing any more. Kept until
  // the last of its requests is answered.
  void Retire();
  // The disruption policy in force; null without one. `confirmed`: the state service named it
  // after this term began.
  void Use(std::shared_ptr<const DisruptionPolicy> policy, bool confirmed);
  bool loaded() const { return loaded_; }
  uint64_t term() const { return term_; }

  std::function<void(const char* why)> on_deposed;

  JobStore& book() { return book_; }
  Fleet& fleet() { return fleet_; }
  const Drainer& drainer() const { return drainer_; }
  const DisruptionLedger& ledger() const { return ledger_; }
  // For how long most machines have answered nothing, though their reports come by
  // other nodes: the fault is then on this node's way to them. 0: they do.
  double UnreachedFor() const;
  // Machines and nodes looked at so far, to bound the work as the fleet grows.
  uint64_t steps() const { return free_capacity_.steps + looked_at_; }
  // Reports and answers that did not fit what is known.
  uint64_t implausible_reports() const { return implausible_reports_; }

 private:
  struct Waiter {
    JobIndex job;
    JobOperation op;
    UserDone done;
    int status;
    double since;
  };

  void Load();
  void Loaded(const std::vector<std::pair<RecordId, std::string>>& rows);
  void Submit(const JobRequest& ask, UserDone done);
  void Cancel(const JobRequest& ask, UserDone done);
  JobResponse State(JobIndex j, int status) const;
  JobResponse Unknown() const;
  std::string NeverRuns(const JobSpec& spec) const;
  // The limit that stands against one more such job; null: none does.
  const char* Full(const JobSpec& spec);
  void Committed();
  void ReleaseUnseen();
  void TaskEnded(MachineIndex m, const TaskAttempt& slot);
  void TaskFailed(MachineIndex m, const TaskAttempt& slot);
  void Direct(MachineIndex m);
  void DirectDone(MachineIndex m, const WorkerAnswer& answer, Stamp asked);
  void Sweep();
  // Finds zones that are cut off from here, with all that runs there.
  void FindCuts();
  // Makes durable since when a machine behind a cut is not answered.
  void SayUnanswered(MachineIndex m);
  // Takes that back, once one of them is heard.
  void TakeBack(uint32_t zone);
  // Nothing is said of the machine any more, also durably.
  bool TakenBack(MachineIndex m);
  // A question to a machine was answered, or not.
  void Counted(const Machine& m, bool answered);
  // Its zone's controllers are not heard, or were not of late.
  bool BehindCut(const Machine& m) const;
  void Watch(MachineIndex m);
  void Lost(MachineIndex m);
  void Probe(MachineIndex m, bool urgent);
  // False when what the machine says can't be: it then changes nothing.
  bool Plausible(const Heartbeat& report);
  void RejectReport(const std::string& machine, const char* why);
  void Notice(MachineIndex m);
  void SaveProgress();
  void CollectEndedJobs();
  // Failures of services that run again.
  void ForgetFailures();
  double GraceUntil() const;

  LeaderPorts ports_;
  const Settings* settings_;
  const Tuning* tuning_;
  uint64_t term_;
  double began_ = 0;
  RecordStore store_;
  JobStore book_;
  Fleet fleet_;
  Rentals rentals_;
  CacheHints hints_;
  FreeCapacity free_capacity_;
  Ranking ranking_;
  GangKeeper gangs_;
  DisruptionLedger ledger_;
  Drainer drainer_;
  Placer placer_;
  Planner planner_;
  TokenBucket direct_;  // commands sent straight to workers
  TokenBucket probes_;
  std::shared_ptr<const DisruptionPolicy> policy_;
  bool policy_confirmed_ = false;
  bool loaded_ = false;
  bool loading_ = false;
  bool retired_ = false;
  bool release_ = false;
  double load_after_ = 0;
  double next_pass_ = 0;
  double next_plan_ = 0;
  double next_save_ = 0;
  double next_hints_ = 0;
  double next_watch_ = 0;
  double pass_after_ = 0;
  double next_release_ = 0;
  double probe_every_ = 1;
  double lost_at_ = -1e9;  // a machine was found lost
  size_t silent_machines_ = 0;
  size_t deaf_machines_ = 0;
  size_t waited_for_ = 0;  // a former leader's, not accounted for yet
  double unreached_since_ = -1;
  double answered_ = 0;  // questions to machines of late, fading
  double unanswered_ = 0;
  int in_a_row_ = 0;  // since the last answer
  double last_answer_ = 0;
  bool many_silent_ = false;  // so many that the fault is rather here
  std::vector<char> cut_;     // by zone: see FindCuts
  size_t few_deaf_ = 2;
  size_t few_ = 2;  // so many may fail at once without the way being suspected
  int load_tries_ = 0;
  uint64_t looked_at_ = 0;
  uint64_t implausible_reports_ = 0;
  double implausible_logged_at_ = -1e9;
  double full_logged_at_ = -1e9;
  std::vector<Waiter> waiters_;
};

// How long a leader goes on answering reports after it last had its lease.
double GracePeriodSeconds(const Settings& settings);

// Seconds after which a machine's report is overdue.
inline double OverdueSeconds(const Settings& settings) { return settings.report_s * 1.3 + 0.5; }

// Questions to workers that the processor share allows for in a second.
double MessagesPerSecond(const Settings& settings, const Tuning& tuning);

}  // namespace deckhall
