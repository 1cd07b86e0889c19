#include "fleet/fleet.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>

namespace deckhall {
namespace {

constexpr size_t kMaxCachedImages = 16;
constexpr double kStopRetrySeconds = 3.0;

bool SplitTaskName(const std::string& name, std::string* job, uint32_t* task) {
  const size_t slash = name.rfind('/');
  if (slash == std::string::npos) return false;
  *job = name.substr(0, slash);
  const char* end = name.data() + name.size();
  auto [at, err] = std::from_chars(name.data() + slash + 1, end, *task);
  return err == std::errc() && at == end;
}

void RememberImage(std::vector<uint32_t>* images, uint32_t image) {
  if (image == kNoIndex) return;
  auto it = std::find(images->begin(), images->end(), image);
  if (it != images->end()) images->erase(it);
  images->push_back(image);
  if (images->size() > kMaxCachedImages) images->erase(images->begin());
}

}  // namespace

Fleet::Fleet(JobStore* job_store, const Clock* clock, uint64_t term, FleetOptions options)
    : job_store_(job_store),
      clock_(clock),
      term_(term),
      options_(options),
      next_attempt_number_((term << kTermShift) + 1) {}

MachineIndex Fleet::Find(const std::string& name) const {
  auto it = index_.find(name);
  return it == index_.end() ? kNoIndex : it->second;
}

MachineIndex Fleet::Add(const std::string& name) {
  const auto machine_index = static_cast<MachineIndex>(machines_.size());
  machines_.emplace_back();
  machines_.back().name = name;
  machines_.back().fencing_token = term_ << kTermShift;
  machines_.back().discovered_at = clock_->Now();
  index_[name] = machine_index;
  active_.push_back(machine_index);
  return machine_index;
}

void Fleet::MarkChanged(MachineIndex machine_index) {
  if (machines_[machine_index].queued_for_update) return;
  machines_[machine_index].queued_for_update = true;
  changed_machines_.push_back(machine_index);
}

bool Fleet::PopChanged(MachineIndex* m) {
  if (changed_machines_.empty()) return false;
  *m = changed_machines_.front();
  changed_machines_.pop_front();
  machines_[*m].queued_for_update = false;
  return true;
}

void Fleet::InvalidateAllCapacity() {
  for (MachineIndex machine_index : active_) machines_[machine_index].capacity_stale = true;
  placement_needed = true;
}

void Fleet::InvalidateMachine(MachineIndex machine_index) {
  machines_[machine_index].capacity_stale = true;
  placement_needed = true;
  MarkChanged(machine_index);
}

void Fleet::NotifyReplicaChanged(const TaskAttempt& attempt) {
  if (observer != nullptr && attempt.service && attempt.job != kNoIndex) {
    observer->ReplicaChanged(attempt.job, attempt.task_index);
  }
}

void Fleet::NotifyArrayTaskStopped(const TaskAttempt& attempt) {
  if (observer == nullptr || attempt.service || attempt.job == kNoIndex || !attempt.reported)
    return;
  if ((*job_store_)[attempt.job].lifecycle == JobLifecycle::kActive)
    observer->ArrayTaskStopped(attempt.job);
}

TaskAttempt* Fleet::FindAttempt(MachineIndex machine_index, JobIndex job_index, uint32_t task_index,
                                uint64_t attempt_number) {
  for (TaskAttempt& attempt : machines_[machine_index].attempts) {
    if (attempt.job == job_index && attempt.task_index == task_index &&
        attempt.number == attempt_number)
      return &attempt;
  }
  return nullptr;
}

TaskAttempt& Fleet::AddAttempt(MachineIndex machine_index, TaskAttempt attempt) {
  Machine& machine = machines_[machine_index];
  if (attempt.job != kNoIndex) {
    Job& job = (*job_store_)[attempt.job];
    attempt.team = job.team;
    attempt.cores = job.spec.cores;
    attempt.gpus = job.spec.gpus;
    attempt.memory_gb = job.spec.memory_gb;
    attempt.service = job.spec.service;
    attempt.preemptible =
        !job.spec.service && !job.spec.gang && job.spec.priority < Priority::kProduction;
    ++job.attempt_count;
    job.machines.push_back(machine_index);
    if (attempt.team >= team_usage_.size()) team_usage_.resize(attempt.team + 1);
    team_usage_[attempt.team].cores += attempt.cores;
    team_usage_[attempt.team].gpus += attempt.gpus;
  }
  ++machine.active_attempts;
  machine.used_cores += attempt.cores;
  machine.used_gpus += attempt.gpus;
  machine.used_memory_gb += attempt.memory_gb;
  if (attempt.service) machine.service_cores += attempt.cores;
  if (attempt.preemptible) machine.preemptible_cores += attempt.cores;
  machine.attempts.push_back(std::move(attempt));
  NotifyReplicaChanged(machine.attempts.back());
  InvalidateMachine(machine_index);
  return machine.attempts.back();
}

void Fleet::ReleaseResources(MachineIndex machine_index, TaskAttempt* attempt) {
  Machine& machine = machines_[machine_index];
  if (attempt->released) return;
  attempt->released = true;
  NotifyReplicaChanged(*attempt);
  --machine.active_attempts;
  machine.used_cores -= attempt->cores;
  machine.used_gpus -= attempt->gpus;
  machine.used_memory_gb -= attempt->memory_gb;
  if (attempt->service) machine.service_cores -= attempt->cores;
  if (attempt->preemptible) machine.preemptible_cores -= attempt->cores;
  if (machine.active_attempts == 0) {
    // Sums of decimal amounts end at nothing, not beside it.
    machine.used_cores = machine.used_gpus = machine.used_memory_gb = machine.service_cores =
        machine.preemptible_cores = 0;
  }
  if (attempt->job != kNoIndex) {
    Job& job = (*job_store_)[attempt->job];
    auto it = std::find(job.machines.begin(), job.machines.end(), machine_index);
    if (it != job.machines.end()) {
      *it = job.machines.back();
      job.machines.pop_back();
    }
    team_usage_[attempt->team].cores -= attempt->cores;
    team_usage_[attempt->team].gpus -= attempt->gpus;
  }
  InvalidateMachine(machine_index);
}

void Fleet::EraseAttempt(MachineIndex machine_index, size_t at) {
  Machine& machine = machines_[machine_index];
  ReleaseResources(machine_index, &machine.attempts[at]);
  if (machine.attempts[at].job != kNoIndex) --(*job_store_)[machine.attempts[at].job].attempt_count;
  machine.attempts.erase(machine.attempts.begin() + static_cast<ptrdiff_t>(at));
  InvalidateMachine(machine_index);
}

TaskAttempt* Fleet::FindReportedAttempt(Machine& machine, const TaskStatus& status) {
  for (TaskAttempt& attempt : machine.attempts) {
    if (attempt.number == status.attempt && attempt.task_name == status.task_name) return &attempt;
  }
  return nullptr;
}

bool Fleet::ApplyHeartbeat(MachineIndex machine_index, const Heartbeat& heartbeat) {
  Machine& machine = machines_[machine_index];
  const double now = clock_->Now();
  // Reports and answers overtake each other; the larger (session, seq) is newer.
  if (heartbeat.agent_epoch < machine.agent_epoch ||
      (heartbeat.agent_epoch == machine.agent_epoch && heartbeat.sequence <= machine.sequence)) {
    // A late copy, or the word of a worker that began anew under the old name. Only
    // an answer to a question of ours tells them apart.
    constexpr uint64_t kOvertaken = 16;
    if (heartbeat.agent_epoch < machine.agent_epoch ||
        heartbeat.sequence + kOvertaken < machine.sequence ||
        heartbeat.fencing_token < machine.acknowledged_token) {
      machine.suspected = true;
    }
    return false;
  }
  machine.last_heard_at = now;
  machine.probe_failures = 0;
  if (!machine.up) {
    machine.up = true;
    machine.up_at = now;
    InvalidateMachine(machine_index);
  }
  if (heartbeat.agent_epoch > machine.agent_epoch) {
    if (!machine.attempts.empty()) ReleaseAttempts(machine_index, "a new session began there");
    // Its lease ran out, so our answers may not reach it: reports alone are no proof
    // that it hears. It gets nothing before it has shown a token younger than this.
    ++machine.fencing_token;
    InvalidateMachine(machine_index);
  }
  machine.agent_epoch = heartbeat.agent_epoch;
  machine.sequence = heartbeat.sequence;
  if (!HasAcknowledgedToken(machine) && heartbeat.fencing_token >= machine.fencing_token) {
    machine.last_acknowledged_at = now;
    machine.unreachable_since = -1;
    machine.unreachable_count = 0;
    InvalidateMachine(machine_index);
  }
  machine.acknowledged_token = std::max(machine.acknowledged_token, heartbeat.fencing_token);
  // A token of this term that we never gave out can only be a twin of ours from
  // a message that overtook; stay above it.
  if (TermOf(heartbeat.fencing_token) == term_ && heartbeat.fencing_token > machine.fencing_token)
    machine.fencing_token = heartbeat.fencing_token;
  if (heartbeat.preemption_notice_s && machine.preemption_at < 0) {
    machine.preemption_at = now + *heartbeat.preemption_notice_s;
    InvalidateMachine(machine_index);
    spdlog::info("machine {}: the cloud takes it in {} s", machine.name,
                 *heartbeat.preemption_notice_s);
  }
  if (!machine.reconciled) {
    // Until the worker has seen this term's token, a former leader's command may
    // still change what is on it.
    if (TermOf(heartbeat.fencing_token) < term_) return true;
    MarkReconciled(machine_index);
  }
  std::vector<char> listed(machine.attempts.size(), 0);
  const size_t known = machine.attempts.size();
  for (const TaskStatus& status : heartbeat.tasks) {
    TaskAttempt* attempt = FindReportedAttempt(machine, status);
    if (attempt == nullptr) {
      AdoptAttempt(machine_index, status);
      continue;
    }
    const auto at = static_cast<size_t>(attempt - machine.attempts.data());
    if (at < known) listed[at] = 1;
    ApplyTaskStatus(machine_index, attempt, status);
  }
  for (size_t i = known; i-- > 0;) {
    if (listed[i] != 0) continue;
    TaskAttempt& attempt = machine.attempts[i];
    if (attempt.reported) {
      // Cleared, or lost there.
      if (!attempt.released) RequeueTask(machine_index, attempt);
      EraseAttempt(machine_index, i);
    } else if (attempt.launch_fencing_token == 0 ||
               attempt.launch_fencing_token < heartbeat.fencing_token) {
      // Never sent, or the worker's higher token keeps that launch out for good.
      attempt.launch_fencing_token = 0;
      if (!attempt.wanted) {
        RequeueTask(machine_index, attempt);
        EraseAttempt(machine_index, i);
      } else {
        MarkChanged(machine_index);
      }
    }
  }
  return true;
}

void Fleet::RecordUnreachable(MachineIndex machine_index) {
  Machine& machine = machines_[machine_index];
  if (machine.unreachable_since < 0) machine.unreachable_since = clock_->Now();
  ++machine.unreachable_count;
  // The stops did not arrive: the next report gets them.
  for (TaskAttempt& attempt : machine.attempts) attempt.stop_sent_at = -1e9;
  machine.capacity_stale = true;
  if (machine.unreachable_count < 2) return;
  // What was never sent there can go elsewhere at once.
  for (size_t i = machine.attempts.size(); i-- > 0;) {
    const TaskAttempt& attempt = machine.attempts[i];
    if (attempt.released || attempt.reported || attempt.launch_fencing_token != 0) continue;
    RequeueTask(machine_index, attempt);
    EraseAttempt(machine_index, i);
  }
}

void Fleet::HandleAgentRestart(MachineIndex machine_index, const Heartbeat& heartbeat) {
  Machine& machine = machines_[machine_index];
  spdlog::info("machine {}: its worker began anew (session {}, number {})", machine.name,
               heartbeat.agent_epoch, heartbeat.sequence);
  ReleaseAttempts(machine_index, "its worker began anew");
  machine.agent_epoch = heartbeat.agent_epoch;
  machine.sequence = heartbeat.sequence - 1;
  machine.acknowledged_token = heartbeat.fencing_token;
  InvalidateMachine(machine_index);
}

void Fleet::ApplyProbeResponse(MachineIndex machine_index, const Heartbeat& heartbeat,
                               HeartbeatVersion asked) {
  Machine& machine = machines_[machine_index];
  machine.last_acknowledged_at = clock_->Now();
  machine.unreachable_since = -1;
  machine.unreachable_count = 0;
  machine.suspected = false;
  machine.probe_failures = 0;
  // The worker we knew would have counted on from what we had seen before we asked.
  const bool older =
      heartbeat.agent_epoch < asked.agent_epoch ||
      (heartbeat.agent_epoch == asked.agent_epoch && heartbeat.sequence <= asked.sequence);
  if (older && heartbeat.sequence > 0) HandleAgentRestart(machine_index, heartbeat);
  ApplyHeartbeat(machine_index, heartbeat);
}

void Fleet::SetRunning(TaskAttempt* attempt, bool now_running) {
  const bool before = attempt->running_since >= 0;
  if (before == now_running || attempt->job == kNoIndex) return;
  NotifyReplicaChanged(*attempt);
  Job& job = (*job_store_)[attempt->job];
  if (now_running) {
    attempt->running_since = clock_->Now();
    job.gang_started = job.gang_started || attempt->number >= job.gang_attempt;
    ++job.tasks_running;
  } else {
    attempt->running_since = -1;
    if (job.tasks_running > 0) --job.tasks_running;
  }
}

void Fleet::ApplyTaskStatus(MachineIndex machine_index, TaskAttempt* attempt,
                            const TaskStatus& status) {
  Machine& machine = machines_[machine_index];
  attempt->reported = true;
  if (attempt->released) return;
  if (attempt->state != status.state) {
    spdlog::debug("{} on {} is in state {}", attempt->task_name, machine.name,
                  static_cast<int>(status.state));
  }
  if (attempt->state != status.state) {
    machines_[machine_index].capacity_stale = true;
    NotifyReplicaChanged(*attempt);
  }
  attempt->state = status.state;
  if (attempt->job != kNoIndex && status.state != TaskState::kFetching &&
      status.exit_reason != ExitReason::kNoRoom && status.exit_reason != ExitReason::kInUse &&
      status.exit_reason != ExitReason::kUnknown) {
    RememberImage(&machine.cached_images, (*job_store_)[attempt->job].image);
  }
  if (status.state == TaskState::kRunning) SetRunning(attempt, true);
  if (status.state == TaskState::kExited) {
    attempt->exit_reason = status.exit_reason;
    HandleExit(machine_index, attempt);
  }
}

void Fleet::AdoptAttempt(MachineIndex machine_index, const TaskStatus& status) {
  Machine& machine = machines_[machine_index];
  TaskAttempt attempt;
  attempt.task_name = status.task_name;
  attempt.number = status.attempt;
  attempt.reported = true;
  attempt.launched_at = clock_->Now();
  std::string id;
  uint32_t task_index = 0;
  const JobIndex job_index =
      SplitTaskName(status.task_name, &id, &task_index) ? job_store_->Find(id) : kNoIndex;
  const bool known = job_index != kNoIndex && (*job_store_)[job_index].has_spec &&
                     task_index < (*job_store_)[job_index].tasks.size();
  if (known) {
    const Job& job = (*job_store_)[job_index];
    attempt.job = job_index;
    attempt.task_index = task_index;
    const TaskPhase phase = job.tasks[task_index].phase;
    const bool open = phase == TaskPhase::kUnreconciled || phase == TaskPhase::kWaiting;
    attempt.wanted = open && job.lifecycle == JobLifecycle::kActive;
    // A task that ended as done is done wherever it was; the rest of the books
    // follow in Exited().
    // An attempt that ended without success tells nothing of a later one, which may
    // run on a machine not accounted for yet: the task stays unseen.
    if (open && status.state != TaskState::kExited) {
      job_store_->MarkPlaced(job_index, task_index, machine_index, status.attempt);
      (*job_store_)[job_index].starved_since = clock_->Now();
    }
  } else {
    attempt.wanted = false;
  }
  if (!attempt.wanted && status.state != TaskState::kExited) {
    spdlog::info("machine {}: {} (attempt {}) is not wanted there", machine.name, status.task_name,
                 status.attempt);
  }
  ApplyTaskStatus(machine_index, &AddAttempt(machine_index, std::move(attempt)), status);
}

void Fleet::RequeueTask(MachineIndex machine_index, const TaskAttempt& attempt) {
  if (attempt.job == kNoIndex) return;
  Job& job = (*job_store_)[attempt.job];
  if (attempt.running_since >= 0 && job.tasks_running > 0) --job.tasks_running;
  if (!job.has_spec) return;
  const Task& task = job.tasks[attempt.task_index];
  if (task.phase == TaskPhase::kPlaced && task.machine == machine_index &&
      task.attempt == attempt.number) {
    if (job.waiting_tasks.empty()) job.waiting_since = clock_->Now();
    job_store_->MarkWaiting(attempt.job, attempt.task_index);
  }
}

void Fleet::HandleExit(MachineIndex machine_index, TaskAttempt* attempt) {
  Machine& machine = machines_[machine_index];
  ReleaseResources(machine_index, attempt);
  spdlog::debug("{} on {} exited, why {}", attempt->task_name, machine.name,
                static_cast<int>(attempt->exit_reason));
  if (attempt->job != kNoIndex && (*job_store_)[attempt->job].has_spec) {
    Job& job = (*job_store_)[attempt->job];
    Task& task = job.tasks[attempt->task_index];
    if (attempt->exit_reason == ExitReason::kDone && !job.spec.service) {
      if (!job.spec.gang && task.phase == TaskPhase::kPlaced &&
          (task.machine != machine_index || task.attempt != attempt->number)) {
        // Done here while another attempt is wanted elsewhere: that one goes.
        for (TaskAttempt& other : machines_[task.machine].attempts) {
          if (other.job == attempt->job && other.task_index == attempt->task_index &&
              !other.released) {
            RequestStop(task.machine, &other, 0);
          }
        }
      }
      if (job.spec.gang) {
        // The tasks of a gang complete together. Once is enough: each of them says so.
        if (job.tasks_done < job.tasks.size()) {
          job_store_->MarkAllTasksDone(attempt->job);
          RequestStopOfUnreported(attempt->job);
        }
      } else {
        job_store_->MarkTaskDone(attempt->job, attempt->task_index);
      }
      if (job.lifecycle == JobLifecycle::kActive) {
        if (job.tasks_done == job.tasks.size()) {
          const double late = job_store_->SecondsPastDeadline(attempt->job, clock_->Wall());
          if (late > 0) {
            spdlog::info("job {} is done, {:.1f} s past its deadline", job.id, late);
          } else {
            spdlog::info("job {} is done", job.id);
          }
          job_store_->EndJob(attempt->job, JobLifecycle::kDone, clock_->Now());
        } else {
          job_store_->Save(attempt->job, WritePriority::kBackground);
        }
      }
    } else {
      RequeueTask(machine_index, *attempt);
      attempt->running_since = -1;  // counted off already
    }
  }
  if (on_attempt_exited) on_attempt_exited(machine_index, *attempt);
  SetRunning(attempt, false);
}

void Fleet::PlaceTask(MachineIndex machine_index, JobIndex job_index, uint32_t task_index,
                      uint64_t attempt_number, bool passed) {
  Machine& machine = machines_[machine_index];
  const Job& job = (*job_store_)[job_index];
  TaskAttempt attempt;
  attempt.job = job_index;
  attempt.task_index = task_index;
  attempt.number = attempt_number;
  attempt.placed_by_aging = passed;
  attempt.task_name = job.id + "/" + std::to_string(task_index);
  attempt.launched_at = clock_->Now();
  job_store_->MarkPlaced(job_index, task_index, machine_index, attempt.number);
  (*job_store_)[job_index].starved_since = clock_->Now();
  spdlog::debug("{} goes to {} (attempt {})", attempt.task_name, machine.name, attempt.number);
  AddAttempt(machine_index, std::move(attempt));
}

void Fleet::RequestStop(MachineIndex machine_index, TaskAttempt* attempt, double grace_s) {
  MarkChanged(machine_index);
  if (!attempt->wanted && grace_s >= attempt->grace_period_s) return;
  if (!attempt->wanted) attempt->stop_sent_at = -1e9;  // a shorter grace is told at once
  if (attempt->wanted) NotifyArrayTaskStopped(*attempt);
  attempt->wanted = false;
  NotifyReplicaChanged(*attempt);
  attempt->grace_period_s = grace_s;
}

void Fleet::RequestStopOfJob(JobIndex job_index) {
  const std::vector<MachineIndex> on = (*job_store_)[job_index].machines;
  for (MachineIndex machine_index : on) {
    for (TaskAttempt& attempt : machines_[machine_index].attempts) {
      if (attempt.job == job_index && !attempt.released) RequestStop(machine_index, &attempt, 0);
    }
  }
}

void Fleet::RequestStopOfUnreported(JobIndex job_index) {
  for (MachineIndex machine_index : (*job_store_)[job_index].machines) {
    for (TaskAttempt& attempt : machines_[machine_index].attempts) {
      if (attempt.job == job_index && !attempt.released && !attempt.reported)
        RequestStop(machine_index, &attempt, 0);
    }
  }
}

bool Fleet::MayAcknowledgeExit(const TaskAttempt& attempt) const {
  if (!attempt.released) return false;
  // A finished task is durable before its machine forgets it.
  if (attempt.exit_reason != ExitReason::kDone || attempt.job == kNoIndex) return true;
  return job_store_->IsTaskDurable(attempt.job, attempt.task_index);
}

std::vector<Command> Fleet::BuildStopsOfEndedJobs(const Heartbeat& heartbeat) const {
  std::vector<Command> out;
  for (const TaskStatus& status : heartbeat.tasks) {
    std::string id;
    uint32_t task_index = 0;
    if (status.state == TaskState::kExited || !SplitTaskName(status.task_name, &id, &task_index))
      continue;
    const JobIndex job_index = job_store_->Find(id);
    if (job_index == kNoIndex || (*job_store_)[job_index].lifecycle == JobLifecycle::kActive)
      continue;
    out.push_back({CommandOp::kStop, status.task_name, status.attempt, 0});
  }
  return out;
}

bool Fleet::HasCommands(MachineIndex machine_index, bool launch) const {
  const Machine& machine = machines_[machine_index];
  if (machine.acknowledged_token < machine.fencing_token) return true;
  const double now = clock_->Now();
  // What ended takes no room: it is cleared with the next command or report.
  for (const TaskAttempt& attempt : machine.attempts) {
    if (attempt.released) continue;
    if (!attempt.wanted) {
      if (!attempt.reported || now - attempt.stop_sent_at > kStopRetrySeconds) return true;
    } else if (!attempt.reported && launch) {
      return true;
    }
  }
  return false;
}

Command Fleet::BuildStop(TaskAttempt* attempt) const {
  const double now = clock_->Now();
  if (attempt->first_stop_sent_at < 0) attempt->first_stop_sent_at = now;
  // Told long ago and still there: no more time to save.
  const bool late = now - attempt->first_stop_sent_at > attempt->grace_period_s + kStopRetrySeconds;
  return {CommandOp::kStop, attempt->task_name, attempt->number,
          late ? 0 : attempt->grace_period_s};
}

std::vector<Command> Fleet::BuildCommands(MachineIndex machine_index, bool launch) {
  Machine& machine = machines_[machine_index];
  const double now = clock_->Now();
  std::vector<Command> out;
  if (!machine.reconciled) return out;
  for (size_t i = machine.attempts.size(); i-- > 0;) {
    const TaskAttempt& attempt = machine.attempts[i];
    if (attempt.wanted || attempt.reported) continue;
    if (attempt.launch_fencing_token == 0) {
      RequeueTask(machine_index, attempt);
      EraseAttempt(machine_index, i);
    } else if (attempt.launch_fencing_token == machine.fencing_token) {
      // Its launch may still come; a higher token shuts it out.
      ++machine.fencing_token;
    }
  }
  for (TaskAttempt& attempt : machine.attempts) {
    if (attempt.released && MayAcknowledgeExit(attempt)) {
      out.push_back({CommandOp::kAcknowledgeExit, attempt.task_name, attempt.number, 0});
    } else if (!attempt.released && !attempt.wanted && attempt.reported &&
               now - attempt.stop_sent_at > kStopRetrySeconds) {
      out.push_back(BuildStop(&attempt));
      attempt.stop_sent_at = now;
    }
  }
  // A machine that has not shown that it hears gets nothing new.
  if (!launch || !HasAcknowledgedToken(machine)) return out;
  for (TaskAttempt& attempt : machine.attempts) {
    if (attempt.released || !attempt.wanted || attempt.reported) continue;
    out.push_back({CommandOp::kStart, attempt.task_name, attempt.number, 0});
    attempt.launch_fencing_token = machine.fencing_token;
  }
  return out;
}

std::vector<Command> Fleet::BuildStops(MachineIndex machine_index) {
  std::vector<Command> out;
  for (TaskAttempt& attempt : machines_[machine_index].attempts) {
    if (!attempt.released && !attempt.wanted && attempt.reported)
      out.push_back(BuildStop(&attempt));
  }
  return out;
}

void Fleet::FenceOffSentCommands(MachineIndex machine_index) {
  // Late commands die of the higher token. Without it a launch could come after
  // its attempt was cleared, and start once more.
  ++machines_[machine_index].fencing_token;
  InvalidateMachine(machine_index);
}

void Fleet::ReleaseAttempts(MachineIndex machine_index, const char* why) {
  Machine& machine = machines_[machine_index];
  size_t lost = 0;
  for (size_t i = machine.attempts.size(); i-- > 0;) {
    if (!machine.attempts[i].released) {
      ++lost;
      if (machine.attempts[i].wanted) NotifyArrayTaskStopped(machine.attempts[i]);
      RequeueTask(machine_index, machine.attempts[i]);
    }
    EraseAttempt(machine_index, i);
  }
  if (lost > 0) spdlog::info("machine {}: {} tasks lost: {}", machine.name, lost, why);
  InvalidateMachine(machine_index);
}

void Fleet::RemoveMachine(MachineIndex machine_index, const char* why) {
  Machine& machine = machines_[machine_index];
  if (machine.removed) return;
  ReleaseAttempts(machine_index, why);
  MarkReconciled(machine_index);
  machine.removed = true;
  machine.cached_images.clear();
  active_.erase(std::find(active_.begin(), active_.end(), machine_index));
  placement_needed = true;
  spdlog::info("machine {} is gone: {}", machine.name, why);
}

void Fleet::MarkReconciled(MachineIndex machine_index) {
  Machine& machine = machines_[machine_index];
  if (machine.reconciled) return;
  machine.reconciled = true;
  InvalidateMachine(machine_index);
  if (machine.may_run_former_attempts) on_machine_reconciled();
}

uint32_t Fleet::CountUnreconciled() const {
  return static_cast<uint32_t>(
      std::count_if(active_.begin(), active_.end(), [this](MachineIndex machine_index) {
        return machines_[machine_index].may_run_former_attempts &&
               !machines_[machine_index].reconciled;
      }));
}

bool Fleet::IsLeaseExpired(const Machine& machine, double now, double term_began) const {
  const double lease = options_.lease_s * (1 + options_.clock_drift) + 0.5;
  if (machine.reconciled)
    return now > std::max(machine.lease_renewed_at, machine.last_heard_at) + lease;
  // Unless a former leader said that it does not.
  if (machine.unrenewed_since_wall >= 0 &&
      clock_->Wall() > machine.unrenewed_since_wall + lease + 2 * options_.wall_clock_bound_s) {
    return true;
  }
  // A former leader may have answered it until its hold was over.
  const double last =
      std::max(machine.lease_renewed_at,
               term_began + options_.former_leader_grace_s * (1 + options_.clock_drift));
  return now > last + lease;
}

}  // namespace deckhall
