#include "leader/failover_reconciler.h"

#include <algorithm>

#include "leader/free_capacity.h"

namespace deckhall {
namespace {

constexpr double kReleaseIntervalSeconds = 0.1;

bool AreEquivalentForPlacement(const Machine& left, const Machine& right) {
  return left.type == right.type && left.zone == right.zone && left.spot == right.spot;
}

}  // namespace

void FailoverReconciler::ReleaseIfRequested(double now) {
  if (!release_requested_ || now < next_release_at_) return;
  release_requested_ = false;
  next_release_at_ = now + kReleaseIntervalSeconds;
  const std::vector<MachineIndex> unreconciled = UnreconciledRepresentatives();
  ReleaseTasks(job_store_->active_jobs(), unreconciled);
  ReleaseTasks(job_store_->ended_jobs(), unreconciled);
}

std::vector<MachineIndex> FailoverReconciler::UnreconciledRepresentatives() const {
  std::vector<MachineIndex> representatives;
  for (MachineIndex machine_index : fleet_->active()) {
    const Machine& machine = (*fleet_)[machine_index];
    if (!machine.may_run_former_attempts || machine.reconciled) continue;
    const bool is_represented = std::any_of(
        representatives.begin(), representatives.end(), [this, &machine](MachineIndex other) {
          return AreEquivalentForPlacement((*fleet_)[other], machine);
        });
    if (!is_represented) representatives.push_back(machine_index);
  }
  return representatives;
}

void FailoverReconciler::ReleaseTasks(const std::vector<JobIndex>& jobs,
                                      const std::vector<MachineIndex>& unreconciled) {
  for (JobIndex job_index : jobs) {
    const Job& job = (*job_store_)[job_index];
    if (!job.has_spec || job.tasks_unreconciled == 0) continue;
    const bool may_still_run = std::any_of(
        unreconciled.begin(), unreconciled.end(), [this, &job](MachineIndex machine_index) {
          return FreeCapacity::MayRunOn(job, (*fleet_)[machine_index]);
        });
    if (may_still_run) continue;
    for (uint32_t task_index = 0; task_index < job.tasks.size(); ++task_index) {
      job_store_->ReleaseUnreconciledTask(job_index, task_index);
    }
    fleet_->placement_needed = true;
  }
}

}  // namespace deckhall
