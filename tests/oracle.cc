#include "oracle.h"

#include <algorithm>

namespace deckhall {
namespace {

constexpr double kMaxSecondsWithoutResponse = 75;
constexpr double kMaxPlacementWaitSeconds = 90;
constexpr double kEpsilon = 1e-6;

// Of one of its tasks.
double ReportRowBytes(const JobSpec& spec) {
  const std::string last_task = spec.id + "/" + std::to_string(spec.task_count - 1);
  return static_cast<double>(kProtocolReportRowBytes + last_task.size());
}

}  // namespace

void Oracle::RecordViolation(double now, const std::string& rule, const std::string& details) {
  violations_.push_back(rule + " at " + std::to_string(now) + ": " + details);
}

double Oracle::TeamCores(const std::string& team) const {
  double sum = 0;
  for (const auto& [id, job] : jobs_) {
    if (job.spec && job.spec->team == team) {
      sum += job.spec->cores * static_cast<double>(job.running.size());
    }
  }
  return sum;
}

void Oracle::ObserveResponse(double now, double requested_at, JobOperation op,
                             const std::string& id, const JobResponse& response) {
  auto it = jobs_.find(id);
  const bool known = it != jobs_.end() && it->second.spec.has_value();
  if (!known) {
    if (response.status == 200 || response.status == 201) {
      RecordViolation(now, unplaceable_.contains(id) ? "accepted_hopeless" : "invented", id);
    }
    return;
  }
  Job& job = it->second;
  const bool refused = response.status == 400 || response.status == 422;
  auto before = [requested_at](double responded_at) {
    return responded_at >= 0 && responded_at <= requested_at;
  };
  if (before(job.accepted_at) &&
      (response.status == 404 || (op == JobOperation::kSubmit && refused))) {
    RecordViolation(now, "forgotten", id + " got " + std::to_string(response.status));
  }
  if (response.status != 200 && response.status != 201) return;
  job.response_at = now;
  if (job.accepted_at < 0) job.accepted_at = now;
  if (before(job.done_at) && response.state != JobState::kDone)
    RecordViolation(now, "went_back", id + " was done");
  if (before(job.cancelled_at) && response.state != JobState::kCancelled) {
    RecordViolation(now, "went_back", id + " was cancelled");
  }
  if (response.state == JobState::kCancelled) {
    if (!job.cancel_requested)
      RecordViolation(now, "went_back", id + " was not cancelled by its user");
    if (job.cancelled_at < 0) job.cancelled_at = now;
  }
  if (response.state == JobState::kDone) {
    if (job.done_at < 0) job.done_at = now;
    if (job.completed.size() < job.spec->task_count) RecordViolation(now, "not_done", id);
  }
}

bool Oracle::ZoneAllows(const Job& job, const std::string& zone) const {
  if (!job.spec->zone.empty() && job.spec->zone != zone) return false;
  size_t same = 0;
  for (const auto& [task, host] : job.running) same += host.zone == zone ? 1U : 0U;
  if (job.spec->single_zone && same < job.running.size()) return false;
  return !job.spec->anti_affinity || same + 1 <= (job.spec->task_count + 1) / 2;
}

void Oracle::TaskStarted(double now, double commanded_at, const std::string& id, uint32_t task,
                         const MachineState& host) {
  ++starts_;
  Job& job = jobs_[id];
  const std::string name = id + "/" + std::to_string(task) + " on " + host.machine;
  if (!job.spec) {
    RecordViolation(now, "invented", name);
    return;
  }
  const JobSpec& spec = *job.spec;
  if (auto it = job.running.find(task); it != job.running.end()) {
    RecordViolation(now, "ran_twice", name + ", also on " + it->second.machine);
  }
  const bool type_ok =
      !spec.allowed_types || std::find(spec.allowed_types->begin(), spec.allowed_types->end(),
                                       host.type) != spec.allowed_types->end();
  if (!type_ok || (host.spot && !spec.spot_tolerant) || !ZoneAllows(job, host.zone)) {
    RecordViolation(now, "wrong_place", name);
  }
  if (job.cancelled_at >= 0 && commanded_at > job.cancelled_at) {
    RecordViolation(now, "ran_cancelled", name + " was started after the user was told");
  }
  job.running[task] = host;
  job.placeable_since = -1;
  for (const Team& team : teams_) {
    if (team.name == spec.team && team.cores_max > 0 &&
        TeamCores(team.name) > team.cores_max + kEpsilon) {
      RecordViolation(now, "quota", team.name + " with " + name);
    }
  }
}

void Oracle::TaskEnded(double, const std::string& id, uint32_t task, const std::string& machine,
                       bool completed) {
  Job& job = jobs_[id];
  auto it = job.running.find(task);
  if (it != job.running.end() && it->second.machine == machine) job.running.erase(it);
  if (completed) job.completed.insert(task);
}

void Oracle::MachineLost(double, const std::string& machine) {
  for (auto& [id, job] : jobs_) {
    std::erase_if(job.running,
                  [&machine](const auto& entry) { return entry.second.machine == machine; });
  }
}

bool Oracle::ObserveMessage(double now, const std::string& description, const std::string& text) {
  if (ProtocolAllows(LongestLine(text))) return true;
  RecordViolation(now, "oversized", description + ": " + std::to_string(text.size()) + " bytes");
  return false;
}

bool Oracle::FitsSomewhere(const Job& job, const std::vector<MachineState>& available) const {
  const JobSpec& spec = *job.spec;
  // A gang needs capacity for all its missing tasks at once, within the limit of its team.
  const size_t missing_tasks = spec.gang ? spec.task_count - job.running.size() : 1;
  for (const Team& team : teams_) {
    if (team.name == spec.team && team.cores_max > 0 &&
        TeamCores(team.name) + spec.cores * static_cast<double>(missing_tasks) >
            team.cores_max + kEpsilon) {
      return false;
    }
  }
  if (spec.gang) return GangFits(job, available, missing_tasks);
  return std::any_of(available.begin(), available.end(), [&](const MachineState& machine) {
    const bool type_ok =
        !spec.allowed_types || std::find(spec.allowed_types->begin(), spec.allowed_types->end(),
                                         machine.type) != spec.allowed_types->end();
    return type_ok && (!machine.spot || spec.spot_tolerant) && ZoneAllows(job, machine.zone) &&
           machine.cores + kEpsilon >= spec.cores &&
           machine.memory_gb + kEpsilon >= spec.memory_gb &&
           machine.report_bytes >= ReportRowBytes(spec);
  });
}

bool Oracle::GangFits(const Job& job, const std::vector<MachineState>& available,
                      size_t missing_tasks) const {
  const JobSpec& spec = *job.spec;
  std::map<std::string, size_t> fitting_tasks;  // by zone
  for (const MachineState& machine : available) {
    const bool type_ok =
        !spec.allowed_types || std::find(spec.allowed_types->begin(), spec.allowed_types->end(),
                                         machine.type) != spec.allowed_types->end();
    if (!type_ok || (machine.spot && !spec.spot_tolerant) || !ZoneAllows(job, machine.zone))
      continue;
    const double fit = std::min({machine.cores / spec.cores, machine.memory_gb / spec.memory_gb,
                                 machine.report_bytes / ReportRowBytes(spec)});
    fitting_tasks[machine.zone] += static_cast<size_t>(std::max(0.0, fit + kEpsilon));
  }
  size_t all = 0;
  for (auto& [zone, count] : fitting_tasks) {
    if (spec.single_zone && count >= missing_tasks) return true;
    if (spec.anti_affinity) count = std::min<size_t>(count, (spec.task_count + 1) / 2);
    all += count;
  }
  return !spec.single_zone && all >= missing_tasks;
}
void Oracle::CheckLiveness(double now, const std::vector<MachineState>& available) {
  for (auto& [id, job] : jobs_) {
    if (job.accepted_at < 0) continue;
    if (job.cancelled_at >= 0 && now > job.cancelled_at + cancel_s_ && !job.running.empty() &&
        !job.reported_cancelled) {
      job.reported_cancelled = true;
      RecordViolation(now, "ran_cancelled",
                      id + " is still on " + job.running.begin()->second.machine);
    }
    if (now - std::max(job.response_at, liveness_suspended_until_) > kMaxSecondsWithoutResponse &&
        !job.reported_forgotten) {
      job.reported_forgotten = true;
      RecordViolation(now, "forgotten", id + " gets no response");
    }
    const bool open_work =
        !job.cancel_requested && job.running.size() + job.completed.size() < job.spec->task_count;
    // The waiting time restarts when one of its tasks starts.
    if (now < liveness_suspended_until_ || !open_work || !FitsSomewhere(job, available)) {
      job.placeable_since = -1;
    } else if (job.placeable_since < 0) {
      job.placeable_since = now;
    } else if (now - job.placeable_since > kMaxPlacementWaitSeconds && !job.reported_starved) {
      job.reported_starved = true;
      RecordViolation(now, "waits", id + " though a fitting machine has free capacity");
    }
  }
}

}  // namespace deckhall
