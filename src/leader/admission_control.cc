#include "leader/admission_control.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace deckhall {
namespace {

constexpr double kLimitLogIntervalSeconds = 60;
// Absorbs rounding errors of fractional resources.
constexpr double kResourceTolerance = 1e-6;

template <typename T>
bool Contains(const std::vector<T>& values, const T& value) {
  return std::find(values.begin(), values.end(), value) != values.end();
}

const Team* FindTeam(const Settings& settings, const std::string& name) {
  const Team* found = nullptr;
  for (const Team& team : settings.teams) {
    if (team.name == name) found = &team;
  }
  return found;
}

}  // namespace

const char* Describe(Infeasibility infeasibility) {
  switch (infeasibility) {
    case Infeasibility::kNone:
      return "";
    case Infeasibility::kUnknownTeam:
      return "unknown team";
    case Infeasibility::kTeamCoreLimit:
      return "more cores than the team's limit";
    case Infeasibility::kTeamGpuLimit:
      return "more gpus than the team's limit";
    case Infeasibility::kNoMachineType:
      return "fits no allowed machine type";
    case Infeasibility::kSpecTooLarge:
      return "its description is too large to keep";
  }
  return "";
}

const char* Describe(AdmissionLimit limit) {
  switch (limit) {
    case AdmissionLimit::kNone:
      return "";
    case AdmissionLimit::kActiveJobs:
      return "as many jobs are unfinished as the memory allows";
    case AdmissionLimit::kActiveTasks:
      return "as many tasks are unfinished as the memory allows";
    case AdmissionLimit::kPendingResponses:
      return "as many users wait for an answer as there are connections";
  }
  return "";
}

AdmissionControl::AdmissionControl(const JobStore* job_store, const Provisioner* provisioner,
                                   const Clock* clock, const Settings* settings)
    : job_store_(job_store), provisioner_(provisioner), clock_(clock), settings_(settings) {}

Infeasibility AdmissionControl::CheckFeasibility(const JobSpec& spec) const {
  if (!job_store_->FitsRecord(spec)) return Infeasibility::kSpecTooLarge;
  const Infeasibility team_limit = CheckTeamLimits(spec);
  if (team_limit != Infeasibility::kNone) return team_limit;
  for (const MachineType& type : provisioner_->types()) {
    if (FitsMachineType(spec, type)) return Infeasibility::kNone;
  }
  return Infeasibility::kNoMachineType;
}

Infeasibility AdmissionControl::CheckTeamLimits(const JobSpec& spec) const {
  const Team* team = FindTeam(*settings_, spec.team);
  if (team == nullptr) return Infeasibility::kUnknownTeam;
  // Tasks of an array may run one after another; those of services and gangs run concurrently.
  const double concurrent_tasks = spec.service || spec.gang ? spec.task_count : 1;
  if (team->cores_max > 0 && spec.cores * concurrent_tasks > team->cores_max + kResourceTolerance) {
    return Infeasibility::kTeamCoreLimit;
  }
  if (team->gpus_max > 0 && spec.gpus * concurrent_tasks > team->gpus_max + kResourceTolerance) {
    return Infeasibility::kTeamGpuLimit;
  }
  return Infeasibility::kNone;
}

bool AdmissionControl::FitsMachineType(const JobSpec& spec, const MachineType& type) const {
  if (spec.allowed_types && !Contains(*spec.allowed_types, type.name)) return false;
  if (!spec.zone.empty() && !Contains(type.zones, spec.zone)) return false;
  return spec.cores <= type.cores + kResourceTolerance &&
         spec.gpus <= type.gpus + kResourceTolerance &&
         spec.memory_gb <= type.memory_gb + kResourceTolerance;
}

AdmissionLimit AdmissionControl::FindLimitReached(const JobSpec& spec,
                                                  size_t pending_responses) const {
  if (job_store_->active_jobs().size() >= MaxActiveJobs(*settings_)) {
    return AdmissionLimit::kActiveJobs;
  }
  if (job_store_->active_task_count() + spec.task_count > MaxActiveTasks(*settings_)) {
    return AdmissionLimit::kActiveTasks;
  }
  if (pending_responses >= MaxPendingResponses(*settings_)) {
    return AdmissionLimit::kPendingResponses;
  }
  return AdmissionLimit::kNone;
}

AdmissionLimit AdmissionControl::CheckLimits(const JobSpec& spec, size_t pending_responses) {
  const AdmissionLimit limit = FindLimitReached(spec, pending_responses);
  const double now = clock_->Now();
  if (limit != AdmissionLimit::kNone && now >= limit_logged_at_ + kLimitLogIntervalSeconds) {
    limit_logged_at_ = now;
    spdlog::warn("active_jobs={} active_tasks={}: submissions refused: {}",
                 job_store_->active_jobs().size(), job_store_->active_task_count(),
                 Describe(limit));
  }
  return limit;
}

}  // namespace deckhall
