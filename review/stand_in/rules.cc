#include "rules.h"

#include <cstdio>

#include "net/loop.h"

namespace review {

constexpr double kTolerance = 1e-6;

Rules::Rules(const std::string& record_path, double cancel_s, std::vector<Team> teams)
    : record_(record_path, std::ios::trunc),
      began_at_(deckhall::SteadySeconds()),
      cancel_s_(cancel_s) {
  for (Team& team : teams) teams_[team.name] = team;
}

double Rules::Now() const { return deckhall::SteadySeconds() - began_at_; }

void Rules::Record(const std::string& line) {
  char time[24];
  std::snprintf(time, sizeof time, "%8.3f ", Now());
  record_ << time << line << std::endl;
}

void Rules::Break(const std::string& rule, const std::string& text) {
  violations_.push_back(rule + ": " + text);
  ++counts_[rule];
  Record("BROKEN " + rule + ": " + text);
}

size_t Rules::violations(const std::string& rule) const {
  const auto it = counts_.find(rule);
  return it == counts_.end() ? 0 : it->second;
}

const deckhall::JobSpec* Rules::Find(const std::string& job) const {
  const auto it = jobs_.find(job);
  return it == jobs_.end() ? nullptr : &it->second.spec;
}

std::string Rules::Told(const std::string& job) const {
  const auto it = jobs_.find(job);
  return it == jobs_.end() ? "" : it->second.told;
}

bool Rules::AllDone(const std::string& job) const {
  const auto it = jobs_.find(job);
  return it != jobs_.end() && it->second.done_tasks >= it->second.spec.task_count;
}

bool Rules::IsOn(const std::string& task) const {
  const auto it = on_.find(task);
  return it != on_.end() && !it->second.empty();
}

size_t Rules::CountOn(const std::string& job) const {
  size_t count = 0;
  for (const auto& [task, places] : on_) {
    if (JobOf(task) == job) count += places.size();
  }
  return count;
}

double Rules::UsedCores(const std::string& team) const {
  double cores = 0;
  for (const auto& [task, places] : on_) {
    const auto job = jobs_.find(JobOf(task));
    if (job == jobs_.end() || job->second.spec.team != team) continue;
    cores += job->second.spec.cores * static_cast<double>(places.size());
  }
  return cores;
}

void Rules::Submitted(const deckhall::JobSpec& spec) { jobs_[spec.id].spec = spec; }

void Rules::Answered(const std::string& job_id, const char* operation, double asked_at, int status,
                     const std::string& state) {
  Record(std::string("answer ") + operation + " " + job_id + " " + std::to_string(status) + " " +
         state);
  const auto it = jobs_.find(job_id);
  const bool positive = status == 200 || status == 201;
  if (it == jobs_.end()) {
    if (positive) Break("invented", job_id);
    return;
  }
  Job& job = it->second;
  const bool was_told = !job.told.empty();
  if (was_told && status == 404) Break("forgotten", job_id + " got 404 after it was accepted");
  if (was_told && (status == 400 || status == 422) && std::string(operation) == "submit") {
    Break("forgotten", job_id + " got " + std::to_string(status) + " after it was accepted");
  }
  if (!positive) return;
  if (state == "done" && job.done_tasks < job.spec.task_count) Break("not_done", job_id);
  if (state == "aborted" && !job.cancel_asked) Break("went_back", job_id + " was not cancelled");
  const bool had_ended = job.told == "done" || job.told == "aborted";
  // Only of answers to questions that were asked after the end was told is the order known.
  if (had_ended && asked_at > job.ended_told_at && state != job.told) {
    Break("went_back", job_id + " was " + job.told + ", now " + state);
  }
  if (had_ended) return;
  job.told = state;
  if (state == "done" || state == "aborted") job.ended_told_at = Now();
  if (state == "aborted") job.cancelled_at = Now();
}

void Rules::Started(const std::string& task, const Place& place) {
  Record("start " + task + " on " + place.machine);
  const auto it = jobs_.find(JobOf(task));
  if (it == jobs_.end()) {
    Break("invented", "nobody sent " + task);
    return;
  }
  Job& job = it->second;
  std::map<std::string, Place>& places = on_[task];
  for (const auto& [machine, other] : places) {
    Break("ran_twice", task + " starts on " + place.machine + " while it is on " + machine);
  }
  const deckhall::JobSpec& spec = job.spec;
  if (spec.allowed_types) {
    bool allowed = false;
    for (const std::string& type : *spec.allowed_types) allowed = allowed || type == place.type;
    if (!allowed) Break("wrong_place", task + " on type " + place.type);
  }
  if (!spec.zone.empty() && spec.zone != place.zone) {
    Break("wrong_place", task + " in zone " + place.zone);
  }
  if (place.spot && !spec.spot_tolerant) Break("wrong_place", task + " on a spot machine");
  size_t in_zone = 1;
  for (const auto& [other_task, other_places] : on_) {
    if (JobOf(other_task) != spec.id || other_task == task) continue;
    for (const auto& [machine, other] : other_places) {
      if (other.zone == place.zone) ++in_zone;
      if (spec.single_zone && other.zone != place.zone) {
        Break("wrong_place", task + " in " + place.zone + ", " + other_task + " in " + other.zone);
      }
    }
  }
  if (spec.anti_affinity && in_zone > (spec.task_count + 1) / 2) {
    Break("wrong_place", task + ": " + std::to_string(in_zone) + " tasks in " + place.zone);
  }
  if (job.cancelled_at >= 0 && Now() > job.cancelled_at + cancel_s_) {
    Break("ran_cancelled", task + " starts on " + place.machine);
  }
  places[place.machine] = place;
  const auto team = teams_.find(spec.team);
  if (team == teams_.end() || team->second.cores_max <= 0) return;
  const double used = UsedCores(spec.team);
  if (used > team->second.cores_max + kTolerance) {
    Break("quota", spec.team + " uses " + std::to_string(used) + " cores of " +
                       std::to_string(team->second.cores_max));
  }
}

void Rules::Ended(const std::string& task, const std::string& machine, bool done) {
  const auto it = on_.find(task);
  if (it == on_.end() || it->second.erase(machine) == 0) return;
  if (it->second.empty()) on_.erase(it);
  Record((done ? "done " : "end ") + task + " on " + machine);
  if (!done || !done_.insert(task).second) return;
  const auto job = jobs_.find(JobOf(task));
  if (job != jobs_.end()) ++job->second.done_tasks;
}

void Rules::Check() {
  for (const auto& [task, places] : on_) {
    const auto job = jobs_.find(JobOf(task));
    if (job == jobs_.end() || job->second.cancelled_at < 0) continue;
    if (Now() <= job->second.cancelled_at + cancel_s_ || !reported_.insert(task).second) continue;
    Break("ran_cancelled", task + " is still on " + places.begin()->first);
  }
}

}  // namespace review
