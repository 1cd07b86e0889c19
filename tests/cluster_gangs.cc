// Gangs of the simulated cluster: tasks wait for each other, run, and end if one of them is lost,
// as described in the operators' documentation.
#include <algorithm>

#include "cluster.h"

namespace deckhall {

void Cluster::UpdateGang(const JobSpec& spec, const std::vector<GangTask>& present,
                         GangAttempt* attempt) {
  const bool complete = present.size() == spec.task_count;
  auto end_members = [this, &present](ExitReason reason) {
    for (const GangTask& member : present) {
      EndTask(member.worker, member.task, reason);
      member.worker->next_heartbeat_at = std::min(member.worker->next_heartbeat_at, clock_.now);
    }
  };
  if (!attempt->started) {
    if (complete) {
      attempt->started = true;
      attempt->ends_at = clock_.now + array_run_s;
      for (const GangTask& member : present) {
        member.task->state = TaskState::kRunning;
        member.worker->next_heartbeat_at =
            std::min(member.worker->next_heartbeat_at, clock_.now + 0.5);
      }
    } else if (clock_.now - attempt->waiting_since > settings.gang_wait_s) {
      end_members(ExitReason::kGangIncomplete);
    }
    return;
  }
  if (complete) {
    attempt->lost_at = -1;
    if (clock_.now >= attempt->ends_at) end_members(ExitReason::kDone);
    return;
  }
  if (attempt->lost_at < 0) attempt->lost_at = clock_.now;
  if (clock_.now - attempt->lost_at > settings.gang_loss_detection_s)
    end_members(ExitReason::kGangMemberLost);
}

void Cluster::UpdateGangs() {
  std::map<std::pair<std::string, uint64_t>, std::vector<GangTask>> groups;
  for (auto& [name, worker] : workers) {
    if (worker.gone || clock_.now < worker.hung_until) continue;
    for (TaskStatus& task : worker.heartbeat.tasks) {
      const std::string job = task.task_name.substr(0, task.task_name.rfind('/'));
      if (task.state == TaskState::kExited || !specs_.at(job).gang) continue;
      groups[{job, task.attempt}].push_back({&worker, &task});
    }
  }
  for (const auto& [key, present] : groups) {
    GangAttempt& attempt =
        gangs_.try_emplace(key, GangAttempt{false, clock_.now, 0, -1}).first->second;
    UpdateGang(specs_.at(key.first), present, &attempt);
  }
}

}  // namespace deckhall
