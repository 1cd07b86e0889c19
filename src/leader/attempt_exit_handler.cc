#include "leader/attempt_exit_handler.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace deckhall {
namespace {

constexpr double kNoCapacityBackoffSeconds = 2;
constexpr double kRefusalBackoffSeconds = 1;
constexpr size_t kRememberedFailedMachines = 16;
// Failures of a job that failed on more machines than this are not attributed to the machines.
constexpr size_t kMaxMachinesBeforeJobFault = 2;
constexpr int kFailuresToQuarantine = 2;
constexpr int kQuarantineSeconds = 20;  // of the first quarantine; each further one adds as much
// A job backs off from this many consecutive failures; the backoff doubles up to
// kFailuresAtMaxBackoff of them.
constexpr uint32_t kFailuresToBackOff = 3;
constexpr uint32_t kFailuresAtMaxBackoff = 9;
constexpr double kMaxFailureBackoffSeconds = 60;
// A replica does not complete, so no success clears its failures: running this long after the last
// one does.
constexpr double kStableServiceSeconds = 30;

}  // namespace

AttemptExitHandler::AttemptExitHandler(JobStore* job_store, Fleet* fleet,
                                       GangSupervisor* gang_supervisor, Ranking* ranking,
                                       const Clock* clock)
    : job_store_(job_store),
      fleet_(fleet),
      gang_supervisor_(gang_supervisor),
      ranking_(ranking),
      clock_(clock) {}

void AttemptExitHandler::HandleAttemptExit(MachineIndex machine_index, const TaskAttempt& attempt) {
  Machine& machine = (*fleet_)[machine_index];
  if (attempt.job == kNoIndex) return;
  gang_supervisor_->HandleTaskExit(attempt);
  switch (attempt.exit_reason) {
    case ExitReason::kDone:
      RecordSuccess(&machine, attempt);
      break;
    case ExitReason::kInsufficientCapacity:
      machine.insufficient_capacity_until = clock_->Now() + kNoCapacityBackoffSeconds;
      spdlog::info("machine={} task={}: attempt refused: insufficient capacity", machine.name,
                   attempt.task_name);
      break;
    case ExitReason::kAttemptConflict:
    case ExitReason::kUnknownTask:
      RecordRefusal(machine, attempt);
      break;
    case ExitReason::kError:
      RecordFailure(machine_index, attempt);
      break;
    case ExitReason::kGangMemberLost:
    case ExitReason::kGangIncomplete:
      // Neither the machine nor the job is at fault: the gang restarts as a whole.
    case ExitReason::kStopped:
    case ExitReason::kNone:
      break;
  }
}

void AttemptExitHandler::RecordSuccess(Machine* machine, const TaskAttempt& attempt) {
  Job& job = (*job_store_)[attempt.job];
  machine->task_failures = 0;
  machine->quarantine_count = 0;
  job.consecutive_failures = 0;
  job.failed_machines.clear();
  if (attempt.running_since >= 0) {
    ranking_->RecordRuntime(job, clock_->Now() - attempt.running_since);
  }
  if (job.lifecycle != JobLifecycle::kActive) ranking_->Invalidate();
}

void AttemptExitHandler::RecordRefusal(const Machine& machine, const TaskAttempt& attempt) {
  Job& job = (*job_store_)[attempt.job];
  job.backoff_until = std::max(job.backoff_until, clock_->Now() + kRefusalBackoffSeconds);
  spdlog::info("machine={} task={}: attempt refused: {}", machine.name, attempt.task_name,
               attempt.exit_reason == ExitReason::kAttemptConflict
                   ? "another attempt of the task is active there"
                   : "unknown job or task");
}

void AttemptExitHandler::RecordFailure(MachineIndex machine_index, const TaskAttempt& attempt) {
  Machine& machine = (*fleet_)[machine_index];
  Job& job = (*job_store_)[attempt.job];
  const bool first_on_machine = CountJobFailure(&job, machine_index);
  if (job.failed_machines.size() <= kMaxMachinesBeforeJobFault && first_on_machine) {
    ++machine.task_failures;
  }
  if (job.consecutive_failures >= kFailuresToBackOff) {
    const uint32_t doublings =
        std::min(job.consecutive_failures, kFailuresAtMaxBackoff) - kFailuresToBackOff;
    job.backoff_until =
        clock_->Now() + std::min(kMaxFailureBackoffSeconds, std::pow(2.0, doublings));
  }
  spdlog::info("machine={} task={} job_failures={} machine_failures={}: task failed", machine.name,
               attempt.task_name, job.consecutive_failures, machine.task_failures);
  QuarantineIfFailing(&machine);
}

bool AttemptExitHandler::CountJobFailure(Job* job, MachineIndex machine_index) {
  ++job->consecutive_failures;
  job->last_failure_at = clock_->Now();
  std::vector<uint32_t>& failed_machines = job->failed_machines;
  const bool first_on_machine = std::find(failed_machines.begin(), failed_machines.end(),
                                          machine_index) == failed_machines.end();
  if (first_on_machine) failed_machines.push_back(machine_index);
  if (failed_machines.size() > kRememberedFailedMachines) {
    failed_machines.erase(failed_machines.begin());
  }
  return first_on_machine;
}

void AttemptExitHandler::QuarantineIfFailing(Machine* machine) {
  if (machine->task_failures < kFailuresToQuarantine) return;
  machine->task_failures = 0;
  ++machine->quarantine_count;
  const int seconds = kQuarantineSeconds * machine->quarantine_count;
  machine->quarantined_until = clock_->Now() + seconds;
  spdlog::warn("machine={} seconds={}: machine quarantined", machine->name, seconds);
}

void AttemptExitHandler::ClearFailuresOfStableServices() {
  const double now = clock_->Now();
  for (JobIndex job_index : job_store_->active_jobs()) {
    Job& job = (*job_store_)[job_index];
    if (!job.spec.service || job.consecutive_failures == 0) continue;
    if (job.tasks_running > 0 && now - job.last_failure_at > kStableServiceSeconds) {
      job.consecutive_failures = 0;
    }
  }
}

}  // namespace deckhall
