#include "oracle.h"

#include <algorithm>

namespace deckhall {
namespace {

constexpr double kForgottenAfter = 75;
constexpr double kWaitsFor = 90;
constexpr double kEps = 1e-6;

}  // namespace

void Oracle::Broke(double now, const std::string& rule, const std::string& what) {
  broken_.push_back(rule + " at " + std::to_string(now) + ": " + what);
}

double Oracle::TeamCores(const std::string& team) const {
  double sum = 0;
  for (const auto& [id, job] : jobs_) {
    if (job.spec && job.spec->team == team) {
      sum += job.spec->cores * static_cast<double>(job.on.size());
    }
  }
  return sum;
}

void Oracle::Told(double now, double asked_at, JobOperation op, const std::string& id,
                  const JobResponse& r) {
  auto it = jobs_.find(id);
  const bool known = it != jobs_.end() && it->second.spec.has_value();
  if (!known) {
    if (r.status == 200 || r.status == 201) {
      Broke(now, hopeless_.contains(id) ? "accepted_hopeless" : "invented", id);
    }
    return;
  }
  Job& job = it->second;
  const bool refused = r.status == 400 || r.status == 422;
  auto before = [asked_at](double told_at) { return told_at >= 0 && told_at <= asked_at; };
  if (before(job.accepted_at) && (r.status == 404 || (op == JobOperation::kSubmit && refused))) {
    Broke(now, "forgotten", id + " got " + std::to_string(r.status));
  }
  if (r.status != 200 && r.status != 201) return;
  job.answered_at = now;
  if (job.accepted_at < 0) job.accepted_at = now;
  if (before(job.done_at) && r.state != JobState::kDone) Broke(now, "went_back", id + " was done");
  if (before(job.cancelled_at) && r.state != JobState::kCancelled) {
    Broke(now, "went_back", id + " was cancelled");
  }
  if (r.state == JobState::kCancelled) {
    if (!job.cancel_asked) Broke(now, "went_back", id + " was not cancelled by its user");
    if (job.cancelled_at < 0) job.cancelled_at = now;
  }
  if (r.state == JobState::kDone) {
    if (job.done_at < 0) job.done_at = now;
    if (job.done.size() < job.spec->task_count) Broke(now, "not_done", id);
  }
}

bool Oracle::ZoneAllows(const Job& job, const std::string& zone) const {
  if (!job.spec->zone.empty() && job.spec->zone != zone) return false;
  size_t same = 0;
  for (const auto& [task, at] : job.on) same += at.zone == zone ? 1U : 0U;
  if (job.spec->single_zone && same < job.on.size()) return false;
  return !job.spec->anti_affinity || same + 1 <= (job.spec->task_count + 1) / 2;
}

void Oracle::Started(double now, double commanded_at, const std::string& id, uint32_t task,
                     const Place& at) {
  ++starts_;
  Job& job = jobs_[id];
  const std::string name = id + "/" + std::to_string(task) + " on " + at.machine;
  if (!job.spec) {
    Broke(now, "invented", name);
    return;
  }
  const JobSpec& spec = *job.spec;
  if (auto it = job.on.find(task); it != job.on.end()) {
    Broke(now, "ran_twice", name + ", also on " + it->second.machine);
  }
  const bool type_ok = !spec.allowed_types ||
                       std::find(spec.allowed_types->begin(), spec.allowed_types->end(), at.type) !=
                           spec.allowed_types->end();
  if (!type_ok || (at.spot && !spec.spot_tolerant) || !ZoneAllows(job, at.zone)) {
    Broke(now, "wrong_place", name);
  }
  if (job.cancelled_at >= 0 && commanded_at > job.cancelled_at) {
    Broke(now, "ran_cancelled", name + " was started after it was told");
  }
  job.on[task] = at;
  job.could_run_since = -1;
  for (const Team& team : teams_) {
    if (team.name == spec.team && team.cores_max > 0 &&
        TeamCores(team.name) > team.cores_max + kEps) {
      Broke(now, "quota", team.name + " with " + name);
    }
  }
}

void Oracle::Ended(double, const std::string& id, uint32_t task, const std::string& machine,
                   bool done) {
  Job& job = jobs_[id];
  auto it = job.on.find(task);
  if (it != job.on.end() && it->second.machine == machine) job.on.erase(it);
  if (done) job.done.insert(task);
}

void Oracle::MachineGone(double, const std::string& machine) {
  for (auto& [id, job] : jobs_) {
    std::erase_if(job.on, [&machine](const auto& e) { return e.second.machine == machine; });
  }
}

bool Oracle::FitsSomewhere(const Job& job, const std::vector<Place>& open) const {
  const JobSpec& spec = *job.spec;
  // A gang needs room for all its tasks that are not there, and within the limit.
  const size_t together = spec.gang ? spec.task_count - job.on.size() : 1;
  for (const Team& team : teams_) {
    if (team.name == spec.team && team.cores_max > 0 &&
        TeamCores(team.name) + spec.cores * static_cast<double>(together) > team.cores_max + kEps) {
      return false;
    }
  }
  if (spec.gang) return GangFits(job, open, together);
  return std::any_of(open.begin(), open.end(), [&](const Place& p) {
    const bool type_ok =
        !spec.allowed_types || std::find(spec.allowed_types->begin(), spec.allowed_types->end(),
                                         p.type) != spec.allowed_types->end();
    return type_ok && (!p.spot || spec.spot_tolerant) && ZoneAllows(job, p.zone) &&
           p.cores + kEps >= spec.cores && p.memory_gb + kEps >= spec.memory_gb;
  });
}

bool Oracle::GangFits(const Job& job, const std::vector<Place>& open, size_t together) const {
  const JobSpec& spec = *job.spec;
  std::map<std::string, size_t> places;  // by zone
  for (const Place& p : open) {
    const bool type_ok =
        !spec.allowed_types || std::find(spec.allowed_types->begin(), spec.allowed_types->end(),
                                         p.type) != spec.allowed_types->end();
    if (!type_ok || (p.spot && !spec.spot_tolerant) || !ZoneAllows(job, p.zone)) continue;
    const double fit = std::min(p.cores / spec.cores, p.memory_gb / spec.memory_gb);
    places[p.zone] += static_cast<size_t>(std::max(0.0, fit + kEps));
  }
  size_t all = 0;
  for (auto& [zone, count] : places) {
    if (spec.single_zone && count >= together) return true;
    if (spec.anti_affinity) count = std::min<size_t>(count, (spec.task_count + 1) / 2);
    all += count;
  }
  return !spec.single_zone && all >= together;
}
void Oracle::Step(double now, const std::vector<Place>& open) {
  for (auto& [id, job] : jobs_) {
    if (job.accepted_at < 0) continue;
    if (job.cancelled_at >= 0 && now > job.cancelled_at + cancel_s_ && !job.on.empty() &&
        !job.reported_cancelled) {
      job.reported_cancelled = true;
      Broke(now, "ran_cancelled", id + " is still on " + job.on.begin()->second.machine);
    }
    if (now - std::max(job.answered_at, trouble_until_) > kForgottenAfter && !job.reported) {
      job.reported = true;
      Broke(now, "forgotten", id + " is not answered for");
    }
    const bool open_work =
        !job.cancel_asked && job.on.size() + job.done.size() < job.spec->task_count;
    // The time counts from the last start of one of its tasks.
    if (now < trouble_until_ || !open_work || !FitsSomewhere(job, open)) {
      job.could_run_since = -1;
    } else if (job.could_run_since < 0) {
      job.could_run_since = now;
    } else if (now - job.could_run_since > kWaitsFor && !job.reported_waiting) {
      job.reported_waiting = true;
      Broke(now, "waits", id + " though a fitting machine has room");
    }
  }
}

}  // namespace deckhall
