// The gangs of the scripted cluster, as the operators' page describes them.
#include <algorithm>

#include "cluster.h"

namespace deckhall {

void Cluster::StepGang(const JobSpec& spec, const std::vector<GangTask>& there,
                       GangAttempt* attempt) {
  const bool all = there.size() == spec.task_count;
  auto end_all = [this, &there](ExitReason why) {
    for (const GangTask& t : there) {
      EndTask(t.worker, t.task, why);
      t.worker->next_report = std::min(t.worker->next_report, clock_.now);
    }
  };
  if (!attempt->started) {
    if (all) {
      attempt->started = true;
      attempt->ends_at = clock_.now + run_s;
      for (const GangTask& t : there) {
        t.task->state = TaskState::kRunning;
        t.worker->next_report = std::min(t.worker->next_report, clock_.now + 0.5);
      }
    } else if (clock_.now - attempt->gathers_since > settings.gang_wait_s) {
      end_all(ExitReason::kGangIncomplete);
    }
    return;
  }
  if (all) {
    attempt->lost_at = -1;
    if (clock_.now >= attempt->ends_at) end_all(ExitReason::kDone);
    return;
  }
  if (attempt->lost_at < 0) attempt->lost_at = clock_.now;
  if (clock_.now - attempt->lost_at > settings.gang_loss_detection_s)
    end_all(ExitReason::kGangMemberLost);
}

void Cluster::StepGangs() {
  std::map<std::pair<std::string, uint64_t>, std::vector<GangTask>> groups;
  for (auto& [name, worker] : workers) {
    if (worker.gone || clock_.now < worker.hangs_until) continue;
    for (TaskStatus& task : worker.report.tasks) {
      const std::string job = task.task_name.substr(0, task.task_name.rfind('/'));
      if (task.state == TaskState::kExited || !specs_.at(job).gang) continue;
      groups[{job, task.attempt}].push_back({&worker, &task});
    }
  }
  for (const auto& [key, there] : groups) {
    GangAttempt& attempt =
        gangs_.try_emplace(key, GangAttempt{false, clock_.now, 0, -1}).first->second;
    StepGang(specs_.at(key.first), there, &attempt);
  }
}

}  // namespace deckhall
