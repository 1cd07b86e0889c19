// Watches every rule of the protocol on what a scripted cluster does: told by the
// workers what runs and by the users what they were answered. Knows nothing of the
// controllers.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/settings.h"
#include "wire/types.h"

namespace deckhall {

class Oracle {
 public:
  struct Place {
    std::string machine;
    std::string type;
    std::string zone;
    bool spot = false;
    double cores = 0;
    double memory_gb = 0;
  };

  Oracle(std::vector<Team> teams, double cancel_s)
      : teams_(std::move(teams)), cancel_s_(cancel_s) {}

  // What users do and are told.
  void Asked(const JobSpec& spec) { jobs_.try_emplace(spec.id).first->second.spec = spec; }
  // A job that fits nowhere: it must not be accepted.
  void AskedHopeless(const std::string& id) { hopeless_.insert(id); }
  void CancelAsked(const std::string& id) { jobs_[id].cancel_asked = true; }
  // `asked_at`: what was told before it may not be older than what is told now.
  void Told(double now, double asked_at, JobOperation op, const std::string& id,
            const JobResponse& r);
  // What happens on machines. A task is there from its start until one of the others.
  // A start whose command was on its way when the user was told of the cancellation is
  // judged by the time it takes to be gone, one commanded later by that alone.
  void Started(double now, double commanded_at, const std::string& job, uint32_t task,
               const Place& at);
  void Ended(double now, const std::string& job, uint32_t task, const std::string& machine,
             bool done);
  void MachineGone(double now, const std::string& machine);
  // Whether the machine could take a task now; what waits is judged by it.
  void Step(double now, const std::vector<Place>& open);
  // Until then nothing is judged by the rules for quiet times.
  void TroubleUntil(double t) { trouble_until_ = std::max(trouble_until_, t); }

  const std::vector<std::string>& broken() const { return broken_; }
  size_t starts() const { return starts_; }

 private:
  struct Job {
    std::optional<JobSpec> spec;
    double accepted_at = -1;  // a user was told
    bool cancel_asked = false;
    double done_at = -1;       // a user was told
    double cancelled_at = -1;  // a user was told
    std::map<uint32_t, Place> on;
    std::set<uint32_t> done;
    double answered_at = 0;
    double could_run_since = -1;
    bool reported = false;
    bool reported_waiting = false;
    bool reported_cancelled = false;
  };

  void Broke(double now, const std::string& rule, const std::string& what);
  bool FitsSomewhere(const Job& job, const std::vector<Place>& open) const;
  bool GangFits(const Job& job, const std::vector<Place>& open, size_t together) const;
  bool ZoneAllows(const Job& job, const std::string& zone) const;
  double TeamCores(const std::string& team) const;

  std::vector<Team> teams_;
  double cancel_s_;
  double trouble_until_ = 0;
  size_t starts_ = 0;
  std::map<std::string, Job> jobs_;
  std::set<std::string> hopeless_;
  std::vector<std::string> broken_;
};

}  // namespace deckhall
