#include "leader/preemption_notice_handler.h"

namespace deckhall {
namespace {

// Added to the checkpoint grace period of a task.
constexpr double kCheckpointMarginSeconds = 1;

}  // namespace

PreemptionNoticeHandler::PreemptionNoticeHandler(const JobStore* job_store, Fleet* fleet,
                                                 GangSupervisor* gang_supervisor,
                                                 const Ranking* ranking, const Clock* clock)
    : job_store_(job_store),
      fleet_(fleet),
      gang_supervisor_(gang_supervisor),
      ranking_(ranking),
      clock_(clock) {}

void PreemptionNoticeHandler::HandlePreemptionNotice(MachineIndex machine_index) {
  Machine& machine = (*fleet_)[machine_index];
  if (machine.preemption_at < 0) return;
  const double seconds_left = machine.preemption_at - clock_->Now();
  for (TaskAttempt& attempt : machine.attempts) {
    if (attempt.released || !attempt.wanted || attempt.job == kNoIndex) continue;
    HandleAttempt(machine_index, &attempt, seconds_left);
  }
}

void PreemptionNoticeHandler::HandleAttempt(MachineIndex machine_index, TaskAttempt* attempt,
                                            double seconds_left) {
  const Job& job = (*job_store_)[attempt->job];
  if (job.spec.gang) {
    gang_supervisor_->HandlePreemptionNotice(machine_index, attempt, seconds_left);
    return;
  }
  if (job.spec.checkpoint_interval_s > 0) {
    // Stopped at once, since the cloud may reclaim the machine after half of the announced notice.
    fleet_->RequestStop(machine_index, attempt,
                        job.spec.checkpoint_grace_s + kCheckpointMarginSeconds);
    return;
  }
  const double run_seconds =
      attempt->running_since < 0 ? 0 : clock_->Now() - attempt->running_since;
  const bool outlasts_notice = ranking_->ExpectedTaskSeconds(job) - run_seconds > seconds_left;
  if (job.spec.service || outlasts_notice) fleet_->RequestStop(machine_index, attempt, 0);
}

}  // namespace deckhall
