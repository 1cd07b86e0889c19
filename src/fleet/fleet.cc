#include "fleet/fleet.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>

namespace deckhall {
namespace {

constexpr size_t kMaxImages = 16;
constexpr double kStopAgain = 3.0;

bool SplitTask(const std::string& name, std::string* job, uint32_t* task) {
  const size_t slash = name.rfind('/');
  if (slash == std::string::npos) return false;
  *job = name.substr(0, slash);
  const char* end = name.data() + name.size();
  auto [at, err] = std::from_chars(name.data() + slash + 1, end, *task);
  return err == std::errc() && at == end;
}

void Remember(std::vector<uint32_t>* images, uint32_t image) {
  if (image == kNoIndex) return;
  auto it = std::find(images->begin(), images->end(), image);
  if (it != images->end()) images->erase(it);
  images->push_back(image);
  if (images->size() > kMaxImages) images->erase(images->begin());
}

}  // namespace

Fleet::Fleet(JobStore* job_store, const Clock* clock, uint64_t term, FleetOptions options)
    : job_store_(job_store),
      clock_(clock),
      term_(term),
      options_(options),
      next_attempt_((term << kTermShift) + 1) {}

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
  touched_.push_back(mi);
}

bool Fleet::TakeChanged(MachineIndex* m) {
  if (touched_.empty()) return false;
  *m = touched_.front();
  touched_.pop_front();
  machines_[*m].queued_for_update = false;
  return true;
}

void Fleet::AllStale() {
  for (MachineIndex m : active_) machines_[m].capacity_stale = true;
  changed = true;
}

void Fleet::Changed(MachineIndex mi) {
  machines_[mi].capacity_stale = true;
  changed = true;
  MarkChanged(mi);
}

void Fleet::NoteChange(const TaskAttempt& slot) {
  if (observer != nullptr && slot.service && slot.job != kNoIndex) {
    observer->ReplicaChanged(slot.job, slot.task_index);
  }
}

void Fleet::NoteEarlyEnd(const TaskAttempt& slot) {
  if (observer == nullptr || slot.service || slot.job == kNoIndex || !slot.reported) return;
  if ((*job_store_)[slot.job].lifecycle == JobLifecycle::kActive)
    observer->ArrayTaskStopped(slot.job);
}

TaskAttempt* Fleet::AttemptOf(MachineIndex mi, JobIndex j, uint32_t task, uint64_t attempt) {
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
    if (slot.team >= team_use_.size()) team_use_.resize(slot.team + 1);
    team_use_[slot.team].cores += slot.cores;
    team_use_[slot.team].gpus += slot.gpus;
  }
  ++m.active_attempts;
  m.used_cores += slot.cores;
  m.used_gpus += slot.gpus;
  m.used_memory_gb += slot.memory_gb;
  if (slot.service) m.service_cores += slot.cores;
  if (slot.preemptible) m.preemptible_cores += slot.cores;
  m.attempts.push_back(std::move(slot));
  NoteChange(m.attempts.back());
  Changed(mi);
  return m.attempts.back();
}

void Fleet::Vacate(MachineIndex mi, TaskAttempt* slot) {
  Machine& m = machines_[mi];
  if (slot->released) return;
  slot->released = true;
  NoteChange(*slot);
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
    team_use_[slot->team].cores -= slot->cores;
    team_use_[slot->team].gpus -= slot->gpus;
  }
  Changed(mi);
}

void Fleet::EraseAttempt(MachineIndex mi, size_t at) {
  Machine& m = machines_[mi];
  Vacate(mi, &m.attempts[at]);
  if (m.attempts[at].job != kNoIndex) --(*job_store_)[m.attempts[at].job].attempt_count;
  m.attempts.erase(m.attempts.begin() + static_cast<ptrdiff_t>(at));
  Changed(mi);
}

TaskAttempt* Fleet::FindAttempt(Machine& m, const TaskStatus& t) {
  for (TaskAttempt& s : m.attempts) {
    if (s.number == t.attempt && s.task_name == t.task_name) return &s;
  }
  return nullptr;
}

bool Fleet::Process(MachineIndex mi, const Heartbeat& r) {
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
    Changed(mi);
  }
  if (r.agent_epoch > m.agent_epoch) {
    if (!m.attempts.empty()) LoseAll(mi, "a new session began there");
    // Its lease ran out, so our answers may not reach it: reports alone are no proof
    // that it hears. It gets nothing before it has shown a token younger than this.
    ++m.fencing_token;
    Changed(mi);
  }
  m.agent_epoch = r.agent_epoch;
  m.sequence = r.sequence;
  if (!Hears(m) && r.fencing_token >= m.fencing_token) {
    m.last_acknowledged_at = now;
    m.unreachable_since = -1;
    m.unreachable_count = 0;
    Changed(mi);
  }
  m.acknowledged_token = std::max(m.acknowledged_token, r.fencing_token);
  // A token of this term that we never gave out can only be a twin of ours from
  // a message that overtook; stay above it.
  if (TermOf(r.fencing_token) == term_ && r.fencing_token > m.fencing_token)
    m.fencing_token = r.fencing_token;
  if (r.preemption_notice_s && m.preemption_at < 0) {
    m.preemption_at = now + *r.preemption_notice_s;
    Changed(mi);
    spdlog::info("machine {}: the cloud takes it in {} s", m.name, *r.preemption_notice_s);
  }
  if (!m.reconciled) {
    // Until the worker has seen this term's token, a former leader's command may
    // still change what is on it.
    if (TermOf(r.fencing_token) < term_) return true;
    Account(mi);
  }
  std::vector<char> listed(m.attempts.size(), 0);
  const size_t known = m.attempts.size();
  for (const TaskStatus& t : r.tasks) {
    TaskAttempt* slot = FindAttempt(m, t);
    if (slot == nullptr) {
      Adopt(mi, t);
      continue;
    }
    const auto at = static_cast<size_t>(slot - m.attempts.data());
    if (at < known) listed[at] = 1;
    Apply(mi, slot, t);
  }
  for (size_t i = known; i-- > 0;) {
    if (listed[i] != 0) continue;
    TaskAttempt& slot = m.attempts[i];
    if (slot.reported) {
      // Cleared, or lost there.
      if (!slot.released) FreeTask(mi, slot);
      EraseAttempt(mi, i);
    } else if (slot.launch_fencing_token == 0 || slot.launch_fencing_token < r.fencing_token) {
      // Never sent, or the worker's higher token keeps that launch out for good.
      slot.launch_fencing_token = 0;
      if (!slot.wanted) {
        FreeTask(mi, slot);
        EraseAttempt(mi, i);
      } else {
        MarkChanged(mi);
      }
    }
  }
  return true;
}

void Fleet::ProbeFailed(MachineIndex mi) {
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
    FreeTask(mi, s);
    EraseAttempt(mi, i);
  }
}

void Fleet::BeganAnew(MachineIndex mi, const Heartbeat& r) {
  Machine& m = machines_[mi];
  spdlog::info("machine {}: its worker began anew (session {}, number {})", m.name, r.agent_epoch,
               r.sequence);
  LoseAll(mi, "its worker began anew");
  m.agent_epoch = r.agent_epoch;
  m.sequence = r.sequence - 1;
  m.acknowledged_token = r.fencing_token;
  Changed(mi);
}

void Fleet::Answered(MachineIndex mi, const Heartbeat& r, Stamp asked) {
  Machine& m = machines_[mi];
  m.last_acknowledged_at = clock_->Now();
  m.unreachable_since = -1;
  m.unreachable_count = 0;
  m.suspected = false;
  m.probe_failures = 0;
  // The worker we knew would have counted on from what we had seen before we asked.
  const bool older =
      r.agent_epoch < asked.session || (r.agent_epoch == asked.session && r.sequence <= asked.seq);
  if (older && r.sequence > 0) BeganAnew(mi, r);
  Process(mi, r);
}

void Fleet::RecountRunning(TaskAttempt* slot, bool now_running) {
  const bool before = slot->running_since >= 0;
  if (before == now_running || slot->job == kNoIndex) return;
  NoteChange(*slot);
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

void Fleet::Apply(MachineIndex mi, TaskAttempt* slot, const TaskStatus& t) {
  Machine& m = machines_[mi];
  slot->reported = true;
  if (slot->released) return;
  if (slot->state != t.state) {
    spdlog::debug("{} on {} is in state {}", slot->task_name, m.name, static_cast<int>(t.state));
  }
  if (slot->state != t.state) {
    machines_[mi].capacity_stale = true;
    NoteChange(*slot);
  }
  slot->state = t.state;
  if (slot->job != kNoIndex && t.state != TaskState::kFetching &&
      t.exit_reason != ExitReason::kNoRoom && t.exit_reason != ExitReason::kInUse &&
      t.exit_reason != ExitReason::kUnknown) {
    Remember(&m.cached_images, (*job_store_)[slot->job].image);
  }
  if (t.state == TaskState::kRunning) RecountRunning(slot, true);
  if (t.state == TaskState::kExited) {
    slot->exit_reason = t.exit_reason;
    Exited(mi, slot);
  }
}

void Fleet::Adopt(MachineIndex mi, const TaskStatus& t) {
  Machine& m = machines_[mi];
  TaskAttempt slot;
  slot.task_name = t.task_name;
  slot.number = t.attempt;
  slot.reported = true;
  slot.launched_at = clock_->Now();
  std::string id;
  uint32_t task = 0;
  const JobIndex j = SplitTask(t.task_name, &id, &task) ? job_store_->Find(id) : kNoIndex;
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
  Apply(mi, &AddAttempt(mi, std::move(slot)), t);
}

void Fleet::FreeTask(MachineIndex mi, const TaskAttempt& slot) {
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

void Fleet::Exited(MachineIndex mi, TaskAttempt* slot) {
  Machine& m = machines_[mi];
  Vacate(mi, slot);
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
            Unwant(t.machine, &other, 0);
          }
        }
      }
      if (job.spec.gang) {
        // The tasks of a gang complete together. Once is enough: each of them says so.
        if (job.tasks_done < job.tasks.size()) {
          job_store_->MarkAllTasksDone(slot->job);
          UnwantUnseen(slot->job);
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
      FreeTask(mi, *slot);
      slot->running_since = -1;  // counted off already
    }
  }
  if (on_exit) on_exit(mi, *slot);
  RecountRunning(slot, false);
}

void Fleet::Place(MachineIndex mi, JobIndex j, uint32_t task, uint64_t attempt, bool passed) {
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

void Fleet::Unwant(MachineIndex mi, TaskAttempt* slot, double grace_s) {
  MarkChanged(mi);
  if (!slot->wanted && grace_s >= slot->grace_period_s) return;
  if (!slot->wanted) slot->stop_sent_at = -1e9;  // a shorter grace is told at once
  if (slot->wanted) NoteEarlyEnd(*slot);
  slot->wanted = false;
  NoteChange(*slot);
  slot->grace_period_s = grace_s;
}

void Fleet::UnwantJob(JobIndex j) {
  const std::vector<MachineIndex> on = (*job_store_)[j].machines;
  for (MachineIndex m : on) {
    for (TaskAttempt& s : machines_[m].attempts) {
      if (s.job == j && !s.released) Unwant(m, &s, 0);
    }
  }
}

void Fleet::UnwantUnseen(JobIndex j) {
  for (MachineIndex m : (*job_store_)[j].machines) {
    for (TaskAttempt& s : machines_[m].attempts) {
      if (s.job == j && !s.released && !s.reported) Unwant(m, &s, 0);
    }
  }
}

bool Fleet::MayForget(const TaskAttempt& s) const {
  if (!s.released) return false;
  // A finished task is durable before its machine forgets it.
  if (s.exit_reason != ExitReason::kDone || s.job == kNoIndex) return true;
  return job_store_->IsTaskDurable(s.job, s.task_index);
}

std::vector<Command> Fleet::StopsOfEnded(const Heartbeat& report) const {
  std::vector<Command> out;
  for (const TaskStatus& t : report.tasks) {
    std::string id;
    uint32_t task = 0;
    if (t.state == TaskState::kExited || !SplitTask(t.task_name, &id, &task)) continue;
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
      if (!s.reported || now - s.stop_sent_at > kStopAgain) return true;
    } else if (!s.reported && launch) {
      return true;
    }
  }
  return false;
}

Command Fleet::StopOf(TaskAttempt* s) const {
  const double now = clock_->Now();
  if (s->first_stop_sent_at < 0) s->first_stop_sent_at = now;
  // Told long ago and still there: no more time to save.
  const bool late = now - s->first_stop_sent_at > s->grace_period_s + kStopAgain;
  return {CommandOp::kStop, s->task_name, s->number, late ? 0 : s->grace_period_s};
}

std::vector<Command> Fleet::Commands(MachineIndex mi, bool launch) {
  Machine& m = machines_[mi];
  const double now = clock_->Now();
  std::vector<Command> out;
  if (!m.reconciled) return out;
  for (size_t i = m.attempts.size(); i-- > 0;) {
    const TaskAttempt& s = m.attempts[i];
    if (s.wanted || s.reported) continue;
    if (s.launch_fencing_token == 0) {
      FreeTask(mi, s);
      EraseAttempt(mi, i);
    } else if (s.launch_fencing_token == m.fencing_token) {
      // Its launch may still come; a higher token shuts it out.
      ++m.fencing_token;
    }
  }
  for (TaskAttempt& s : m.attempts) {
    if (s.released && MayForget(s)) {
      out.push_back({CommandOp::kAcknowledgeExit, s.task_name, s.number, 0});
    } else if (!s.released && !s.wanted && s.reported && now - s.stop_sent_at > kStopAgain) {
      out.push_back(StopOf(&s));
      s.stop_sent_at = now;
    }
  }
  // A machine that has not shown that it hears gets nothing new.
  if (!launch || !Hears(m)) return out;
  for (TaskAttempt& s : m.attempts) {
    if (s.released || !s.wanted || s.reported) continue;
    out.push_back({CommandOp::kStart, s.task_name, s.number, 0});
    s.launch_fencing_token = m.fencing_token;
  }
  return out;
}

std::vector<Command> Fleet::Stops(MachineIndex mi) {
  std::vector<Command> out;
  for (TaskAttempt& s : machines_[mi].attempts) {
    if (!s.released && !s.wanted && s.reported) out.push_back(StopOf(&s));
  }
  return out;
}

void Fleet::Unanswered(MachineIndex mi) {
  // Late commands die of the higher token. Without it a launch could come after
  // its attempt was cleared, and start once more.
  ++machines_[mi].fencing_token;
  Changed(mi);
}

void Fleet::LoseAll(MachineIndex mi, const char* why) {
  Machine& m = machines_[mi];
  size_t lost = 0;
  for (size_t i = m.attempts.size(); i-- > 0;) {
    if (!m.attempts[i].released) {
      ++lost;
      if (m.attempts[i].wanted) NoteEarlyEnd(m.attempts[i]);
      FreeTask(mi, m.attempts[i]);
    }
    EraseAttempt(mi, i);
  }
  if (lost > 0) spdlog::info("machine {}: {} tasks lost: {}", m.name, lost, why);
  Changed(mi);
}

void Fleet::MarkGone(MachineIndex mi, const char* why) {
  Machine& m = machines_[mi];
  if (m.removed) return;
  LoseAll(mi, why);
  Account(mi);
  m.removed = true;
  m.cached_images.clear();
  active_.erase(std::find(active_.begin(), active_.end(), mi));
  changed = true;
  spdlog::info("machine {} is gone: {}", m.name, why);
}

void Fleet::Account(MachineIndex mi) {
  Machine& m = machines_[mi];
  if (m.reconciled) return;
  m.reconciled = true;
  Changed(mi);
  if (m.may_run_former_attempts) on_accounted();
}

uint32_t Fleet::Unaccounted() const {
  return static_cast<uint32_t>(
      std::count_if(active_.begin(), active_.end(), [this](MachineIndex m) {
        return machines_[m].may_run_former_attempts && !machines_[m].reconciled;
      }));
}

bool Fleet::LeaseOver(const Machine& m, double now, double term_began) const {
  const double lease = options_.lease_s * (1 + options_.drift) + 0.5;
  if (m.reconciled) return now > std::max(m.lease_renewed_at, m.last_heard_at) + lease;
  // Unless a former leader said that it does not.
  if (m.unrenewed_since_wall >= 0 &&
      clock_->Wall() > m.unrenewed_since_wall + lease + 2 * options_.wall_bound_s) {
    return true;
  }
  // A former leader may have answered it until its hold was over.
  const double last =
      std::max(m.lease_renewed_at, term_began + options_.former_grace_s * (1 + options_.drift));
  return now > last + lease;
}

}  // namespace deckhall
