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
  const auto m = static_cast<MachineIndex>(machines_.size());
  machines_.emplace_back();
  machines_.back().name = name;
  machines_.back().fencing_token = term_ << kTermShift;
  machines_.back().discovered_at = clock_->Now();
  index_[name] = m;
  active_.push_back(m);
  return m;
}

void Fleet::MarkChanged(MachineIndex mi) {
  if (machines_[mi].queued_for_update) return;
  machines_[mi].queued_for_update = true;
  changed_machines_.push_back(mi);
}

bool Fleet::PopChanged(MachineIndex* m) {
  if (changed_machines_.empty()) return false;
  *m = changed_machines_.front();
  changed_machines_.pop_front();
  machines_[*m].queued_for_update = false;
  return true;
}

void Fleet::InvalidateAllCapacity() {
  for (MachineIndex m : active_) machines_[m].capacity_stale = true;
  placement_needed = true;
}

void Fleet::InvalidateMachine(MachineIndex mi) {
  machines_[mi].capacity_stale = true;
  placement_needed = true;
  MarkChanged(mi);
}

void Fleet::NotifyReplicaChanged(const TaskAttempt& slot) {
  if (observer != nullptr && slot.service && slot.job != kNoIndex) {
    observer->ReplicaChanged(slot.job, slot.task_index);
  }
}

void Fleet::NotifyArrayTaskStopped(const TaskAttempt& slot) {
  if (observer == nullptr || slot.service || slot.job == kNoIndex || !slot.reported) return;
  if ((*job_store_)[slot.job].lifecycle == JobLifecycle::kActive)
    observer->ArrayTaskStopped(slot.job);
}

TaskAttempt* Fleet::FindAttempt(MachineIndex mi, JobIndex j, uint32_t task, uint64_t attempt) {
  for (TaskAttempt& s : machines_[mi].attempts) {
    if (s.job == j && s.task_index == task && s.number == attempt) return &s;
  }
  return nullptr;
}

TaskAttempt& Fleet::AddAttempt(MachineIndex mi, TaskAttempt slot) {
  Machine& m = machines_[mi];
  if (slot.job != kNoIndex) {
    Job& job = (*job_store_)[slot.job];
    slot.team = job.team;
    slot.cores = job.spec.cores;
    slot.gpus = job.spec.gpus;
    slot.memory_gb = job.spec.memory_gb;
    slot.service = job.spec.service;
    slot.preemptible =
        !job.spec.service && !job.spec.gang && job.spec.priority < Priority::kProduction;
    ++job.attempt_count;
    job.machines.push_back(mi);
    if (slot.team >= team_usage_.size()) team_usage_.resize(slot.team + 1);
    team_usage_[slot.team].cores += slot.cores;
    team_usage_[slot.team].gpus += slot.gpus;
  }
  ++m.active_attempts;
  m.used_cores += slot.cores;
  m.used_gpus += slot.gpus;
  m.used_memory_gb += slot.memory_gb;
  if (slot.service) m.service_cores += slot.cores;
  if (slot.preemptible) m.preemptible_cores += slot.cores;
  m.attempts.push_back(std::move(slot));
  NotifyReplicaChanged(m.attempts.back());
  InvalidateMachine(mi);
  return m.attempts.back();
}

void Fleet::ReleaseResources(MachineIndex mi, TaskAttempt* slot) {
  Machine& m = machines_[mi];
  if (slot->released) return;
  slot->released = true;
  NotifyReplicaChanged(*slot);
  --m.active_attempts;
  m.used_cores -= slot->cores;
  m.used_gpus -= slot->gpus;
  m.used_memory_gb -= slot->memory_gb;
  if (slot->service) m.service_cores -= slot->cores;
  if (slot->preemptible) m.preemptible_cores -= slot->cores;
  if (m.active_attempts == 0) {
    // Sums of decimal amounts end at nothing, not beside it.
    m.used_cores = m.used_gpus = m.used_memory_gb = m.service_cores = m.preemptible_cores = 0;
  }
  if (slot->job != kNoIndex) {
    Job& job = (*job_store_)[slot->job];
    auto it = std::find(job.machines.begin(), job.machines.end(), mi);
    if (it != job.machines.end()) {
      *it = job.machines.back();
      job.machines.pop_back();
    }
    team_usage_[slot->team].cores -= slot->cores;
    team_usage_[slot->team].gpus -= slot->gpus;
  }
  InvalidateMachine(mi);
}

void Fleet::EraseAttempt(MachineIndex mi, size_t at) {
  Machine& m = machines_[mi];
  ReleaseResources(mi, &m.attempts[at]);
  if (m.attempts[at].job != kNoIndex) --(*job_store_)[m.attempts[at].job].attempt_count;
  m.attempts.erase(m.attempts.begin() + static_cast<ptrdiff_t>(at));
  InvalidateMachine(mi);
}

TaskAttempt* Fleet::FindReportedAttempt(Machine& m, const TaskStatus& t) {
  for (TaskAttempt& s : m.attempts) {
    if (s.number == t.attempt && s.task_name == t.task_name) return &s;
  }
  return nullptr;
}

bool Fleet::ApplyHeartbeat(MachineIndex mi, const Heartbeat& r) {
  Machine& m = machines_[mi];
  const double now = clock_->Now();
  // Reports and answers overtake each other; the larger (session, seq) is newer.
  if (r.agent_epoch < m.agent_epoch ||
      (r.agent_epoch == m.agent_epoch && r.sequence <= m.sequence)) {
    // A late copy, or the word of a worker that began anew under the old name. Only
    // an answer to a question of ours tells them apart.
    constexpr uint64_t kOvertaken = 16;
    if (r.agent_epoch < m.agent_epoch || r.sequence + kOvertaken < m.sequence ||
        r.fencing_token < m.acknowledged_token) {
      m.suspected = true;
    }
    return false;
  }
  m.last_heard_at = now;
  m.probe_failures = 0;
  if (!m.up) {
    m.up = true;
    m.up_at = now;
    InvalidateMachine(mi);
  }
  if (r.agent_epoch > m.agent_epoch) {
    if (!m.attempts.empty()) ReleaseAttempts(mi, "a new session began there");
    // Its lease ran out, so our answers may not reach it: reports alone are no proof
    // that it hears. It gets nothing before it has shown a token younger than this.
    ++m.fencing_token;
    InvalidateMachine(mi);
  }
  m.agent_epoch = r.agent_epoch;
  m.sequence = r.sequence;
  if (!HasAcknowledgedToken(m) && r.fencing_token >= m.fencing_token) {
    m.last_acknowledged_at = now;
    m.unreachable_since = -1;
    m.unreachable_count = 0;
    InvalidateMachine(mi);
  }
  m.acknowledged_token = std::max(m.acknowledged_token, r.fencing_token);
  // A token of this term that we never gave out can only be a twin of ours from
  // a message that overtook; stay above it.
  if (TermOf(r.fencing_token) == term_ && r.fencing_token > m.fencing_token)
    m.fencing_token = r.fencing_token;
  if (r.preemption_notice_s && m.preemption_at < 0) {
    m.preemption_at = now + *r.preemption_notice_s;
    InvalidateMachine(mi);
    spdlog::info("machine {}: the cloud takes it in {} s", m.name, *r.preemption_notice_s);
  }
  if (!m.reconciled) {
    // Until the worker has seen this term's token, a former leader's command may
    // still change what is on it.
    if (TermOf(r.fencing_token) < term_) return true;
    MarkReconciled(mi);
  }
  std::vector<char> listed(m.attempts.size(), 0);
  const size_t known = m.attempts.size();
  for (const TaskStatus& t : r.tasks) {
    TaskAttempt* slot = FindReportedAttempt(m, t);
    if (slot == nullptr) {
      AdoptAttempt(mi, t);
      continue;
    }
    const auto at = static_cast<size_t>(slot - m.attempts.data());
    if (at < known) listed[at] = 1;
    ApplyTaskStatus(mi, slot, t);
  }
  for (size_t i = known; i-- > 0;) {
    if (listed[i] != 0) continue;
    TaskAttempt& slot = m.attempts[i];
    if (slot.reported) {
      // Cleared, or lost there.
      if (!slot.released) RequeueTask(mi, slot);
      EraseAttempt(mi, i);
    } else if (slot.launch_fencing_token == 0 || slot.launch_fencing_token < r.fencing_token) {
      // Never sent, or the worker's higher token keeps that launch out for good.
      slot.launch_fencing_token = 0;
      if (!slot.wanted) {
        RequeueTask(mi, slot);
        EraseAttempt(mi, i);
      } else {
        MarkChanged(mi);
      }
    }
  }
  return true;
}

void Fleet::RecordUnreachable(MachineIndex mi) {
  Machine& m = machines_[mi];
  if (m.unreachable_since < 0) m.unreachable_since = clock_->Now();
  ++m.unreachable_count;
  // The stops did not arrive: the next report gets them.
  for (TaskAttempt& s : m.attempts) s.stop_sent_at = -1e9;
  m.capacity_stale = true;
  if (m.unreachable_count < 2) return;
  // What was never sent there can go elsewhere at once.
  for (size_t i = m.attempts.size(); i-- > 0;) {
    const TaskAttempt& s = m.attempts[i];
    if (s.released || s.reported || s.launch_fencing_token != 0) continue;
    RequeueTask(mi, s);
    EraseAttempt(mi, i);
  }
}

void Fleet::HandleAgentRestart(MachineIndex mi, const Heartbeat& r) {
  Machine& m = machines_[mi];
  spdlog::info("machine {}: its worker began anew (session {}, number {})", m.name, r.agent_epoch,
               r.sequence);
  ReleaseAttempts(mi, "its worker began anew");
  m.agent_epoch = r.agent_epoch;
  m.sequence = r.sequence - 1;
  m.acknowledged_token = r.fencing_token;
  InvalidateMachine(mi);
}

void Fleet::ApplyProbeResponse(MachineIndex mi, const Heartbeat& r, HeartbeatVersion asked) {
  Machine& m = machines_[mi];
  m.last_acknowledged_at = clock_->Now();
  m.unreachable_since = -1;
  m.unreachable_count = 0;
  m.suspected = false;
  m.probe_failures = 0;
  // The worker we knew would have counted on from what we had seen before we asked.
  const bool older = r.agent_epoch < asked.agent_epoch ||
                     (r.agent_epoch == asked.agent_epoch && r.sequence <= asked.sequence);
  if (older && r.sequence > 0) HandleAgentRestart(mi, r);
  ApplyHeartbeat(mi, r);
}

void Fleet::SetRunning(TaskAttempt* slot, bool now_running) {
  const bool before = slot->running_since >= 0;
  if (before == now_running || slot->job == kNoIndex) return;
  NotifyReplicaChanged(*slot);
  Job& job = (*job_store_)[slot->job];
  if (now_running) {
    slot->running_since = clock_->Now();
    job.gang_started = job.gang_started || slot->number >= job.gang_attempt;
    ++job.tasks_running;
  } else {
    slot->running_since = -1;
    if (job.tasks_running > 0) --job.tasks_running;
  }
}

void Fleet::ApplyTaskStatus(MachineIndex mi, TaskAttempt* slot, const TaskStatus& t) {
  Machine& m = machines_[mi];
  slot->reported = true;
  if (slot->released) return;
  if (slot->state != t.state) {
    spdlog::debug("{} on {} is in state {}", slot->task_name, m.name, static_cast<int>(t.state));
  }
  if (slot->state != t.state) {
    machines_[mi].capacity_stale = true;
    NotifyReplicaChanged(*slot);
  }
  slot->state = t.state;
  if (slot->job != kNoIndex && t.state != TaskState::kFetching &&
      t.exit_reason != ExitReason::kNoRoom && t.exit_reason != ExitReason::kInUse &&
      t.exit_reason != ExitReason::kUnknown) {
    RememberImage(&m.cached_images, (*job_store_)[slot->job].image);
  }
  if (t.state == TaskState::kRunning) SetRunning(slot, true);
  if (t.state == TaskState::kExited) {
    slot->exit_reason = t.exit_reason;
    HandleExit(mi, slot);
  }
}

void Fleet::AdoptAttempt(MachineIndex mi, const TaskStatus& t) {
  Machine& m = machines_[mi];
  TaskAttempt slot;
  slot.task_name = t.task_name;
  slot.number = t.attempt;
  slot.reported = true;
  slot.launched_at = clock_->Now();
  std::string id;
  uint32_t task = 0;
  const JobIndex j = SplitTaskName(t.task_name, &id, &task) ? job_store_->Find(id) : kNoIndex;
  const bool known =
      j != kNoIndex && (*job_store_)[j].has_spec && task < (*job_store_)[j].tasks.size();
  if (known) {
    const Job& job = (*job_store_)[j];
    slot.job = j;
    slot.task_index = task;
    const TaskPhase phase = job.tasks[task].phase;
    const bool open = phase == TaskPhase::kUnreconciled || phase == TaskPhase::kWaiting;
    slot.wanted = open && job.lifecycle == JobLifecycle::kActive;
    // A task that ended as done is done wherever it was; the rest of the books
    // follow in Exited().
    // An attempt that ended without success tells nothing of a later one, which may
    // run on a machine not accounted for yet: the task stays unseen.
    if (open && t.state != TaskState::kExited) {
      job_store_->MarkPlaced(j, task, mi, t.attempt);
      (*job_store_)[j].starved_since = clock_->Now();
    }
  } else {
    slot.wanted = false;
  }
  if (!slot.wanted && t.state != TaskState::kExited) {
    spdlog::info("machine {}: {} (attempt {}) is not wanted there", m.name, t.task_name, t.attempt);
  }
  ApplyTaskStatus(mi, &AddAttempt(mi, std::move(slot)), t);
}

void Fleet::RequeueTask(MachineIndex mi, const TaskAttempt& slot) {
  if (slot.job == kNoIndex) return;
  Job& job = (*job_store_)[slot.job];
  if (slot.running_since >= 0 && job.tasks_running > 0) --job.tasks_running;
  if (!job.has_spec) return;
  const Task& t = job.tasks[slot.task_index];
  if (t.phase == TaskPhase::kPlaced && t.machine == mi && t.attempt == slot.number) {
    if (job.waiting_tasks.empty()) job.waiting_since = clock_->Now();
    job_store_->MarkWaiting(slot.job, slot.task_index);
  }
}

void Fleet::HandleExit(MachineIndex mi, TaskAttempt* slot) {
  Machine& m = machines_[mi];
  ReleaseResources(mi, slot);
  spdlog::debug("{} on {} exited, why {}", slot->task_name, m.name,
                static_cast<int>(slot->exit_reason));
  if (slot->job != kNoIndex && (*job_store_)[slot->job].has_spec) {
    Job& job = (*job_store_)[slot->job];
    Task& t = job.tasks[slot->task_index];
    if (slot->exit_reason == ExitReason::kDone && !job.spec.service) {
      if (!job.spec.gang && t.phase == TaskPhase::kPlaced &&
          (t.machine != mi || t.attempt != slot->number)) {
        // Done here while another attempt is wanted elsewhere: that one goes.
        for (TaskAttempt& other : machines_[t.machine].attempts) {
          if (other.job == slot->job && other.task_index == slot->task_index && !other.released) {
            RequestStop(t.machine, &other, 0);
          }
        }
      }
      if (job.spec.gang) {
        // The tasks of a gang complete together. Once is enough: each of them says so.
        if (job.tasks_done < job.tasks.size()) {
          job_store_->MarkAllTasksDone(slot->job);
          RequestStopOfUnreported(slot->job);
        }
      } else {
        job_store_->MarkTaskDone(slot->job, slot->task_index);
      }
      if (job.lifecycle == JobLifecycle::kActive) {
        if (job.tasks_done == job.tasks.size()) {
          const double late = job_store_->SecondsPastDeadline(slot->job, clock_->Wall());
          if (late > 0) {
            spdlog::info("job {} is done, {:.1f} s past its deadline", job.id, late);
          } else {
            spdlog::info("job {} is done", job.id);
          }
          job_store_->EndJob(slot->job, JobLifecycle::kDone, clock_->Now());
        } else {
          job_store_->Save(slot->job, WritePriority::kBackground);
        }
      }
    } else {
      RequeueTask(mi, *slot);
      slot->running_since = -1;  // counted off already
    }
  }
  if (on_attempt_exited) on_attempt_exited(mi, *slot);
  SetRunning(slot, false);
}

void Fleet::PlaceTask(MachineIndex mi, JobIndex j, uint32_t task, uint64_t attempt, bool passed) {
  Machine& m = machines_[mi];
  const Job& job = (*job_store_)[j];
  TaskAttempt slot;
  slot.job = j;
  slot.task_index = task;
  slot.number = attempt;
  slot.placed_by_aging = passed;
  slot.task_name = job.id + "/" + std::to_string(task);
  slot.launched_at = clock_->Now();
  job_store_->MarkPlaced(j, task, mi, slot.number);
  (*job_store_)[j].starved_since = clock_->Now();
  spdlog::debug("{} goes to {} (attempt {})", slot.task_name, m.name, slot.number);
  AddAttempt(mi, std::move(slot));
}

void Fleet::RequestStop(MachineIndex mi, TaskAttempt* slot, double grace_s) {
  MarkChanged(mi);
  if (!slot->wanted && grace_s >= slot->grace_period_s) return;
  if (!slot->wanted) slot->stop_sent_at = -1e9;  // a shorter grace is told at once
  if (slot->wanted) NotifyArrayTaskStopped(*slot);
  slot->wanted = false;
  NotifyReplicaChanged(*slot);
  slot->grace_period_s = grace_s;
}

void Fleet::RequestStopOfJob(JobIndex j) {
  const std::vector<MachineIndex> on = (*job_store_)[j].machines;
  for (MachineIndex m : on) {
    for (TaskAttempt& s : machines_[m].attempts) {
      if (s.job == j && !s.released) RequestStop(m, &s, 0);
    }
  }
}

void Fleet::RequestStopOfUnreported(JobIndex j) {
  for (MachineIndex m : (*job_store_)[j].machines) {
    for (TaskAttempt& s : machines_[m].attempts) {
      if (s.job == j && !s.released && !s.reported) RequestStop(m, &s, 0);
    }
  }
}

bool Fleet::MayAcknowledgeExit(const TaskAttempt& s) const {
  if (!s.released) return false;
  // A finished task is durable before its machine forgets it.
  if (s.exit_reason != ExitReason::kDone || s.job == kNoIndex) return true;
  return job_store_->IsTaskDurable(s.job, s.task_index);
}

std::vector<Command> Fleet::BuildStopsOfEndedJobs(const Heartbeat& report) const {
  std::vector<Command> out;
  for (const TaskStatus& t : report.tasks) {
    std::string id;
    uint32_t task = 0;
    if (t.state == TaskState::kExited || !SplitTaskName(t.task_name, &id, &task)) continue;
    const JobIndex j = job_store_->Find(id);
    if (j == kNoIndex || (*job_store_)[j].lifecycle == JobLifecycle::kActive) continue;
    out.push_back({CommandOp::kStop, t.task_name, t.attempt, 0});
  }
  return out;
}

bool Fleet::HasCommands(MachineIndex mi, bool launch) const {
  const Machine& m = machines_[mi];
  if (m.acknowledged_token < m.fencing_token) return true;
  const double now = clock_->Now();
  // What ended takes no room: it is cleared with the next command or report.
  for (const TaskAttempt& s : m.attempts) {
    if (s.released) continue;
    if (!s.wanted) {
      if (!s.reported || now - s.stop_sent_at > kStopRetrySeconds) return true;
    } else if (!s.reported && launch) {
      return true;
    }
  }
  return false;
}

Command Fleet::BuildStop(TaskAttempt* s) const {
  const double now = clock_->Now();
  if (s->first_stop_sent_at < 0) s->first_stop_sent_at = now;
  // Told long ago and still there: no more time to save.
  const bool late = now - s->first_stop_sent_at > s->grace_period_s + kStopRetrySeconds;
  return {CommandOp::kStop, s->task_name, s->number, late ? 0 : s->grace_period_s};
}

std::vector<Command> Fleet::BuildCommands(MachineIndex mi, bool launch) {
  Machine& m = machines_[mi];
  const double now = clock_->Now();
  std::vector<Command> out;
  if (!m.reconciled) return out;
  for (size_t i = m.attempts.size(); i-- > 0;) {
    const TaskAttempt& s = m.attempts[i];
    if (s.wanted || s.reported) continue;
    if (s.launch_fencing_token == 0) {
      RequeueTask(mi, s);
      EraseAttempt(mi, i);
    } else if (s.launch_fencing_token == m.fencing_token) {
      // Its launch may still come; a higher token shuts it out.
      ++m.fencing_token;
    }
  }
  for (TaskAttempt& s : m.attempts) {
    if (s.released && MayAcknowledgeExit(s)) {
      out.push_back({CommandOp::kAcknowledgeExit, s.task_name, s.number, 0});
    } else if (!s.released && !s.wanted && s.reported && now - s.stop_sent_at > kStopRetrySeconds) {
      out.push_back(BuildStop(&s));
      s.stop_sent_at = now;
    }
  }
  // A machine that has not shown that it hears gets nothing new.
  if (!launch || !HasAcknowledgedToken(m)) return out;
  for (TaskAttempt& s : m.attempts) {
    if (s.released || !s.wanted || s.reported) continue;
    out.push_back({CommandOp::kStart, s.task_name, s.number, 0});
    s.launch_fencing_token = m.fencing_token;
  }
  return out;
}

std::vector<Command> Fleet::BuildStops(MachineIndex mi) {
  std::vector<Command> out;
  for (TaskAttempt& s : machines_[mi].attempts) {
    if (!s.released && !s.wanted && s.reported) out.push_back(BuildStop(&s));
  }
  return out;
}

void Fleet::FenceOffSentCommands(MachineIndex mi) {
  // Late commands die of the higher token. Without it a launch could come after
  // its attempt was cleared, and start once more.
  ++machines_[mi].fencing_token;
  InvalidateMachine(mi);
}

void Fleet::ReleaseAttempts(MachineIndex mi, const char* why) {
  Machine& m = machines_[mi];
  size_t lost = 0;
  for (size_t i = m.attempts.size(); i-- > 0;) {
    if (!m.attempts[i].released) {
      ++lost;
      if (m.attempts[i].wanted) NotifyArrayTaskStopped(m.attempts[i]);
      RequeueTask(mi, m.attempts[i]);
    }
    EraseAttempt(mi, i);
  }
  if (lost > 0) spdlog::info("machine {}: {} tasks lost: {}", m.name, lost, why);
  InvalidateMachine(mi);
}

void Fleet::RemoveMachine(MachineIndex mi, const char* why) {
  Machine& m = machines_[mi];
  if (m.removed) return;
  ReleaseAttempts(mi, why);
  MarkReconciled(mi);
  m.removed = true;
  m.cached_images.clear();
  active_.erase(std::find(active_.begin(), active_.end(), mi));
  placement_needed = true;
  spdlog::info("machine {} is gone: {}", m.name, why);
}

void Fleet::MarkReconciled(MachineIndex mi) {
  Machine& m = machines_[mi];
  if (m.reconciled) return;
  m.reconciled = true;
  InvalidateMachine(mi);
  if (m.may_run_former_attempts) on_machine_reconciled();
}

uint32_t Fleet::CountUnreconciled() const {
  return static_cast<uint32_t>(
      std::count_if(active_.begin(), active_.end(), [this](MachineIndex m) {
        return machines_[m].may_run_former_attempts && !machines_[m].reconciled;
      }));
}

bool Fleet::IsLeaseExpired(const Machine& m, double now, double term_began) const {
  const double lease = options_.lease_s * (1 + options_.clock_drift) + 0.5;
  if (m.reconciled) return now > std::max(m.lease_renewed_at, m.last_heard_at) + lease;
  // Unless a former leader said that it does not.
  if (m.unrenewed_since_wall >= 0 &&
      clock_->Wall() > m.unrenewed_since_wall + lease + 2 * options_.wall_clock_bound_s) {
    return true;
  }
  // A former leader may have answered it until its hold was over.
  const double last = std::max(
      m.lease_renewed_at, term_began + options_.former_leader_grace_s * (1 + options_.clock_drift));
  return now > last + lease;
}

}  // namespace deckhall
