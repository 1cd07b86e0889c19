// Checks the rules of PROTOCOL against what workers and users can see, and keeps the record of what
// was sent, answered and run.
#pragma once

#include <fstream>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "wire/types.h"

namespace review {

struct Team {
  std::string name;
  double cores = 0;      // guaranteed; 0: none
  double cores_max = 0;  // 0: none
};

class Rules {
 public:
  Rules(const std::string& record_path, double cancel_s, std::vector<Team> teams);

  // Seconds since the start of the test.
  double Now() const;
  void Record(const std::string& line);
  // Records that a rule was broken.
  void Break(const std::string& rule, const std::string& text);

  // Users.
  void Submitted(const deckhall::JobSpec& spec);
  void CancelAsked(const std::string& job) { jobs_[job].cancel_asked = true; }
  void Answered(const std::string& job, const char* operation, double asked_at, int status,
                const std::string& state);

  // Workers. A task is on its machine from the moment it has its image until it ends.
  struct Place {
    std::string machine;
    std::string zone;
    std::string type;
    bool spot = false;
  };
  void Started(const std::string& task, const Place& place);
  void Ended(const std::string& task, const std::string& machine, bool done);
  // To be called regularly: tasks of cancelled jobs that are on a machine too long.
  void Check();

  const deckhall::JobSpec* Find(const std::string& job) const;
  bool IsDone(const std::string& task) const { return done_.contains(task); }
  bool IsOn(const std::string& task) const;
  size_t CountOn(const std::string& job) const;
  double UsedCores(const std::string& team) const;
  // The state that a user was last told; empty if none.
  std::string Told(const std::string& job) const;
  bool AllDone(const std::string& job) const;
  size_t violations(const std::string& rule) const;
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct Job {
    deckhall::JobSpec spec;
    std::string told;
    bool cancel_asked = false;
    double cancelled_at = -1;
    double ended_told_at = -1;
    size_t done_tasks = 0;
  };

  static std::string JobOf(const std::string& task) { return task.substr(0, task.rfind('/')); }

  std::ofstream record_;
  double began_at_;
  double cancel_s_;
  std::map<std::string, Team> teams_;
  std::map<std::string, Job> jobs_;
  std::set<std::string> done_;
  std::map<std::string, std::map<std::string, Place>> on_;  // by task, by machine
  std::set<std::string> reported_;                          // overstays
  std::vector<std::string> violations_;
  std::map<std::string, size_t> counts_;
};

}  // namespace review
