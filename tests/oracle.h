// Checks the rules of PROTOCOL on a simulated cluster. It observes only the tasks on the workers
// and the responses to users, not the state of the controllers.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/settings.h"
#include "message_rules.h"
#include "wire/types.h"

namespace deckhall {

class Oracle {
 public:
  struct MachineState {
    std::string machine;
    std::string type;
    std::string zone;
    bool spot = false;
    double cores = 0;
    double memory_gb = 0;
    double report_bytes = static_cast<double>(kProtocolMessageBytes);  // left for more tasks
  };

  Oracle(std::vector<Team> teams, double cancel_s)
      : teams_(std::move(teams)), cancel_s_(cancel_s) {}

  // Requests of users and their responses.
  void ObserveSubmission(const JobSpec& spec) {
    jobs_.try_emplace(spec.id).first->second.spec = spec;
  }
  // A job that fits no machine and must not be accepted.
  void ObserveUnplaceableSubmission(const std::string& id) { unplaceable_.insert(id); }
  void ObserveCancellation(const std::string& id) { jobs_[id].cancel_requested = true; }
  // The response must be consistent with all responses received before the request was sent at
  // `requested_at`.
  void ObserveResponse(double now, double requested_at, JobOperation op, const std::string& id,
                       const JobResponse& response);
  // Events on machines. A task runs from its start until it ends or its machine is lost.
  // A start commanded after the user was told of the cancellation is a violation. A start commanded
  // before is allowed, but the task must end within the cancellation time.
  void TaskStarted(double now, double commanded_at, const std::string& job, uint32_t task,
                   const MachineState& host);
  void TaskEnded(double now, const std::string& job, uint32_t task, const std::string& machine,
                 bool completed);
  void MachineLost(double now, const std::string& machine);
  // Whether the request body or response line is one that PROTOCOL allows.
  bool ObserveMessage(double now, const std::string& description, const std::string& text);
  // Checks that jobs get responses and that jobs which fit on `available` machines get placed.
  void CheckLiveness(double now, const std::vector<MachineState>& available);
  // Until then a job without a response or a placement is no violation, because of injected faults.
  void SuspendLivenessChecksUntil(double until) {
    liveness_suspended_until_ = std::max(liveness_suspended_until_, until);
  }

  const std::vector<std::string>& violations() const { return violations_; }
  size_t starts() const { return starts_; }

 private:
  struct Job {
    std::optional<JobSpec> spec;
    double accepted_at = -1;  // first response to a user that says so; negative if none
    bool cancel_requested = false;
    double done_at = -1;       // as accepted_at
    double cancelled_at = -1;  // as accepted_at
    std::map<uint32_t, MachineState> running;
    std::set<uint32_t> completed;
    double response_at = 0;
    double placeable_since = -1;
    bool reported_forgotten = false;
    bool reported_starved = false;
    bool reported_cancelled = false;
  };

  void RecordViolation(double now, const std::string& rule, const std::string& details);
  bool FitsSomewhere(const Job& job, const std::vector<MachineState>& available) const;
  bool GangFits(const Job& job, const std::vector<MachineState>& available,
                size_t missing_tasks) const;
  bool ZoneAllows(const Job& job, const std::string& zone) const;
  double TeamCores(const std::string& team) const;

  std::vector<Team> teams_;
  double cancel_s_;
  double liveness_suspended_until_ = 0;
  size_t starts_ = 0;
  std::map<std::string, Job> jobs_;
  std::set<std::string> unplaceable_;
  std::vector<std::string> violations_;
};

}  // namespace deckhall
