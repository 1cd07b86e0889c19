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
  if (image == kNone) return;
  auto it = std::find(images->begin(), images->end(), image);
  if (it != images->end()) images->erase(it);
  images->push_back(image);
  if (images->size() > kMaxImages) images->erase(images->begin());
}

}  // namespace

Fleet::Fleet(JobBook* book, const Clock* clock, uint64_t term, FleetOptions options)
    : book_(book),
      clock_(clock),
      term_(term),
      options_(options),
      next_attempt_((term << kTermShift) + 1) {}

MachIdx Fleet::Find(const std::string& name) const {
  auto it = index_.find(name);
  return it == index_.end() ? kNone : it->second;
}

MachIdx Fleet::Add(const std::string& name) {
  const auto m = static_cast<MachIdx>(machines_.size());
  machines_.emplace_back();
  machines_.back().name = name;
  machines_.back().token = term_ << kTermShift;
  machines_.back().known_at = clock_->Now();
  index_[name] = m;
  active_.push_back(m);
  return m;
}

void Fleet::MarkChanged(MachIdx mi) {
  if (machines_[mi].marked_changed) return;
  machines_[mi].marked_changed = true;
  touched_.push_back(mi);
}

bool Fleet::TakeChanged(MachIdx* m) {
  if (touched_.empty()) return false;
  *m = touched_.front();
  touched_.pop_front();
  machines_[*m].marked_changed = false;
  return true;
}

void Fleet::AllStale() {
  for (MachIdx m : active_) machines_[m].stale = true;
  changed = true;
}

void Fleet::Changed(MachIdx mi) {
  machines_[mi].stale = true;
  changed = true;
  MarkChanged(mi);
}

void Fleet::NoteChange(const PlacedAttempt& slot) {
  if (observer != nullptr && slot.service && slot.job != kNone) {
    observer->ReplicaChanged(slot.job, slot.task);
  }
}

void Fleet::NoteEarlyEnd(const PlacedAttempt& slot) {
  if (observer == nullptr || slot.service || slot.job == kNone || !slot.seen) return;
  if ((*book_)[slot.job].life == JobLife::kLive) observer->ArrayTaskStopped(slot.job);
}

PlacedAttempt* Fleet::AttemptOf(MachIdx mi, JobIdx j, uint32_t task, uint64_t attempt) {
  for (PlacedAttempt& s : machines_[mi].attempts) {
    if (s.job == j && s.task == task && s.attempt == attempt) return &s;
  }
  return nullptr;
}

PlacedAttempt& Fleet::AddAttempt(MachIdx mi, PlacedAttempt slot) {
  Machine& m = machines_[mi];
  if (slot.job != kNone) {
    Job& job = (*book_)[slot.job];
    slot.team = job.team;
    slot.cores = job.spec.cores;
    slot.gpus = job.spec.gpus;
    slot.memory_gb = job.spec.memory_gb;
    slot.service = job.spec.service;
    slot.preemptible =
        !job.spec.service && !job.spec.gang && job.spec.priority < Priority::kProduction;
    ++job.attempts;
    job.on.push_back(mi);
    if (slot.team >= team_use_.size()) team_use_.resize(slot.team + 1);
    team_use_[slot.team].cores += slot.cores;
    team_use_[slot.team].gpus += slot.gpus;
  }
  ++m.busy;
  m.used_cores += slot.cores;
  m.used_gpus += slot.gpus;
  m.used_memory += slot.memory_gb;
  if (slot.service) m.service_cores += slot.cores;
  if (slot.preemptible) m.lent_cores += slot.cores;
  m.attempts.push_back(std::move(slot));
  NoteChange(m.attempts.back());
  Changed(mi);
  return m.attempts.back();
}

void Fleet::Vacate(MachIdx mi, PlacedAttempt* slot) {
  Machine& m = machines_[mi];
  if (slot->gone) return;
  slot->gone = true;
  NoteChange(*slot);
  --m.busy;
  m.used_cores -= slot->cores;
  m.used_gpus -= slot->gpus;
  m.used_memory -= slot->memory_gb;
  if (slot->service) m.service_cores -= slot->cores;
  if (slot->preemptible) m.lent_cores -= slot->cores;
  if (m.busy == 0) {
    // Sums of decimal amounts end at nothing, not beside it.
    m.used_cores = m.used_gpus = m.used_memory = m.service_cores = m.lent_cores = 0;
  }
  if (slot->job != kNone) {
    Job& job = (*book_)[slot->job];
    auto it = std::find(job.on.begin(), job.on.end(), mi);
    if (it != job.on.end()) {
      *it = job.on.back();
      job.on.pop_back();
    }
    team_use_[slot->team].cores -= slot->cores;
    team_use_[slot->team].gpus -= slot->gpus;
  }
  Changed(mi);
}

void Fleet::EraseAttempt(MachIdx mi, size_t at) {
  Machine& m = machines_[mi];
  Vacate(mi, &m.attempts[at]);
  if (m.attempts[at].job != kNone) --(*book_)[m.attempts[at].job].attempts;
  m.attempts.erase(m.attempts.begin() + static_cast<ptrdiff_t>(at));
  Changed(mi);
}

PlacedAttempt* Fleet::FindAttempt(Machine& m, const TaskStatus& t) {
  for (PlacedAttempt& s : m.attempts) {
    if (s.attempt == t.attempt && s.name == t.task_name) return &s;
  }
  return nullptr;
}

bool Fleet::Process(MachIdx mi, const Heartbeat& r) {
  Machine& m = machines_[mi];
  const double now = clock_->Now();
  // Reports and answers overtake each other; the larger (session, seq) is newer.
  if (r.agent_epoch < m.session || (r.agent_epoch == m.session && r.sequence <= m.seq)) {
    // A late copy, or the word of a worker that began anew under the old name. Only
    // an answer to a question of ours tells them apart.
    constexpr uint64_t kOvertaken = 16;
    if (r.agent_epoch < m.session || r.sequence + kOvertaken < m.seq ||
        r.fencing_token < m.seen_token) {
      m.suspect = true;
    }
    return false;
  }
  m.heard_at = now;
  m.probe_fails = 0;
  if (!m.up) {
    m.up = true;
    m.up_at = now;
    Changed(mi);
  }
  if (r.agent_epoch > m.session) {
    if (!m.attempts.empty()) LoseAll(mi, "a new session began there");
    // Its lease ran out, so our answers may not reach it: reports alone are no proof
    // that it hears. It gets nothing before it has shown a token younger than this.
    ++m.token;
    Changed(mi);
  }
  m.session = r.agent_epoch;
  m.seq = r.sequence;
  if (!Hears(m) && r.fencing_token >= m.token) {
    m.hears_at = now;
    m.failing_since = -1;
    m.fails = 0;
    Changed(mi);
  }
  m.seen_token = std::max(m.seen_token, r.fencing_token);
  // A token of this term that we never gave out can only be a twin of ours from
  // a message that overtook; stay above it.
  if (TermOf(r.fencing_token) == term_ && r.fencing_token > m.token) m.token = r.fencing_token;
  if (r.preemption_notice_s && m.notice_until < 0) {
    m.notice_until = now + *r.preemption_notice_s;
    Changed(mi);
    spdlog::info("machine {}: the cloud takes it in {} s", m.name, *r.preemption_notice_s);
  }
  if (!m.accounted) {
    // Until the worker has seen this term's token, a former leader's command may
    // still change what is on it.
    if (TermOf(r.fencing_token) < term_) return true;
    Account(mi);
  }
  std::vector<char> listed(m.attempts.size(), 0);
  const size_t known = m.attempts.size();
  for (const TaskStatus& t : r.tasks) {
    PlacedAttempt* slot = FindAttempt(m, t);
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
    PlacedAttempt& slot = m.attempts[i];
    if (slot.seen) {
      // Cleared, or lost there.
      if (!slot.gone) FreeTask(mi, slot);
      EraseAttempt(mi, i);
    } else if (slot.launch_token == 0 || slot.launch_token < r.fencing_token) {
      // Never sent, or the worker's higher token keeps that launch out for good.
      slot.launch_token = 0;
      if (!slot.keep) {
        FreeTask(mi, slot);
        EraseAttempt(mi, i);
      } else {
        MarkChanged(mi);
      }
    }
  }
  return true;
}

void Fleet::ProbeFailed(MachIdx mi) {
  Machine& m = machines_[mi];
  if (m.failing_since < 0) m.failing_since = clock_->Now();
  ++m.fails;
  // The stops did not arrive: the next report gets them.
  for (PlacedAttempt& s : m.attempts) s.stop_sent = -1e9;
  m.stale = true;
  if (m.fails < 2) return;
  // What was never sent there can go elsewhere at once.
  for (size_t i = m.attempts.size(); i-- > 0;) {
    const PlacedAttempt& s = m.attempts[i];
    if (s.gone || s.seen || s.launch_token != 0) continue;
    FreeTask(mi, s);
    EraseAttempt(mi, i);
  }
}

void Fleet::BeganAnew(MachIdx mi, const Heartbeat& r) {
  Machine& m = machines_[mi];
  spdlog::info("machine {}: its worker began anew (session {}, number {})", m.name, r.agent_epoch,
               r.sequence);
  LoseAll(mi, "its worker began anew");
  m.session = r.agent_epoch;
  m.seq = r.sequence - 1;
  m.seen_token = r.fencing_token;
  Changed(mi);
}

void Fleet::Answered(MachIdx mi, const Heartbeat& r, Stamp asked) {
  Machine& m = machines_[mi];
  m.hears_at = clock_->Now();
  m.failing_since = -1;
  m.fails = 0;
  m.suspect = false;
  m.probe_fails = 0;
  // The worker we knew would have counted on from what we had seen before we asked.
  const bool older =
      r.agent_epoch < asked.session || (r.agent_epoch == asked.session && r.sequence <= asked.seq);
  if (older && r.sequence > 0) BeganAnew(mi, r);
  Process(mi, r);
}

void Fleet::RecountRunning(PlacedAttempt* slot, bool now_running) {
  const bool before = slot->running_since >= 0;
  if (before == now_running || slot->job == kNone) return;
  NoteChange(*slot);
  Job& job = (*book_)[slot->job];
  if (now_running) {
    slot->running_since = clock_->Now();
    job.gang_started = job.gang_started || slot->attempt >= job.gang_attempt;
    ++job.running;
  } else {
    slot->running_since = -1;
    if (job.running > 0) --job.running;
  }
}

void Fleet::Apply(MachIdx mi, PlacedAttempt* slot, const TaskStatus& t) {
  Machine& m = machines_[mi];
  slot->seen = true;
  if (slot->gone) return;
  if (slot->state != t.state) {
    spdlog::debug("{} on {} is in state {}", slot->name, m.name, static_cast<int>(t.state));
  }
  if (slot->state != t.state) {
    machines_[mi].stale = true;
    NoteChange(*slot);
  }
  slot->state = t.state;
  if (slot->job != kNone && t.state != TaskState::kFetching &&
      t.exit_reason != ExitReason::kNoRoom && t.exit_reason != ExitReason::kInUse &&
      t.exit_reason != ExitReason::kUnknown) {
    Remember(&m.images, (*book_)[slot->job].image);
  }
  if (t.state == TaskState::kRunning) RecountRunning(slot, true);
  if (t.state == TaskState::kExited) {
    slot->why = t.exit_reason;
    Exited(mi, slot);
  }
}

void Fleet::Adopt(MachIdx mi, const TaskStatus& t) {
  Machine& m = machines_[mi];
  PlacedAttempt slot;
  slot.name = t.task_name;
  slot.attempt = t.attempt;
  slot.seen = true;
  slot.launched_at = clock_->Now();
  std::string id;
  uint32_t task = 0;
  const JobIdx j = SplitTask(t.task_name, &id, &task) ? book_->Find(id) : kNone;
  const bool known = j != kNone && (*book_)[j].full && task < (*book_)[j].tasks.size();
  if (known) {
    const Job& job = (*book_)[j];
    slot.job = j;
    slot.task = task;
    const TaskPhase phase = job.tasks[task].phase;
    const bool open = phase == TaskPhase::kUnseen || phase == TaskPhase::kWaiting;
    slot.keep = open && job.life == JobLife::kLive;
    // A task that ended as done is done wherever it was; the rest of the books
    // follow in Exited().
    // An attempt that ended without success tells nothing of a later one, which may
    // run on a machine not accounted for yet: the task stays unseen.
    if (open && t.state != TaskState::kExited) {
      book_->Place(j, task, mi, t.attempt);
      (*book_)[j].starved_since = clock_->Now();
    }
  } else {
    slot.keep = false;
  }
  if (!slot.keep && t.state != TaskState::kExited) {
    spdlog::info("machine {}: {} (attempt {}) is not wanted there", m.name, t.task_name, t.attempt);
  }
  Apply(mi, &AddAttempt(mi, std::move(slot)), t);
}

void Fleet::FreeTask(MachIdx mi, const PlacedAttempt& slot) {
  if (slot.job == kNone) return;
  Job& job = (*book_)[slot.job];
  if (slot.running_since >= 0 && job.running > 0) --job.running;
  if (!job.full) return;
  const Task& t = job.tasks[slot.task];
  if (t.phase == TaskPhase::kPlaced && t.machine == mi && t.attempt == slot.attempt) {
    if (job.waiting.empty()) job.waiting_since = clock_->Now();
    book_->Unplace(slot.job, slot.task);
  }
}

void Fleet::Exited(MachIdx mi, PlacedAttempt* slot) {
  Machine& m = machines_[mi];
  Vacate(mi, slot);
  spdlog::debug("{} on {} exited, why {}", slot->name, m.name, static_cast<int>(slot->why));
  if (slot->job != kNone && (*book_)[slot->job].full) {
    Job& job = (*book_)[slot->job];
    Task& t = job.tasks[slot->task];
    if (slot->why == ExitReason::kDone && !job.spec.service) {
      if (!job.spec.gang && t.phase == TaskPhase::kPlaced &&
          (t.machine != mi || t.attempt != slot->attempt)) {
        // Done here while another attempt is wanted elsewhere: that one goes.
        for (PlacedAttempt& other : machines_[t.machine].attempts) {
          if (other.job == slot->job && other.task == slot->task && !other.gone) {
            Unwant(t.machine, &other, 0);
          }
        }
      }
      if (job.spec.gang) {
        // The tasks of a gang complete together. Once is enough: each of them says so.
        if (job.done < job.tasks.size()) {
          book_->AllDone(slot->job);
          UnwantUnseen(slot->job);
        }
      } else {
        book_->Done(slot->job, slot->task);
      }
      if (job.life == JobLife::kLive) {
        if (job.done == job.tasks.size()) {
          const double late = book_->Lateness(slot->job, clock_->Wall());
          if (late > 0) {
            spdlog::info("job {} is done, {:.1f} s past its deadline", job.id, late);
          } else {
            spdlog::info("job {} is done", job.id);
          }
          book_->End(slot->job, JobLife::kDone, clock_->Now());
        } else {
          book_->Save(slot->job, WriteUrgency::kLazy);
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

void Fleet::Place(MachIdx mi, JobIdx j, uint32_t task, uint64_t attempt, bool passed) {
  Machine& m = machines_[mi];
  const Job& job = (*book_)[j];
  PlacedAttempt slot;
  slot.job = j;
  slot.task = task;
  slot.attempt = attempt;
  slot.passed = passed;
  slot.name = job.id + "/" + std::to_string(task);
  slot.launched_at = clock_->Now();
  book_->Place(j, task, mi, slot.attempt);
  (*book_)[j].starved_since = clock_->Now();
  spdlog::debug("{} goes to {} (attempt {})", slot.name, m.name, slot.attempt);
  AddAttempt(mi, std::move(slot));
}

void Fleet::Unwant(MachIdx mi, PlacedAttempt* slot, double grace_s) {
  MarkChanged(mi);
  if (!slot->keep && grace_s >= slot->grace_s) return;
  if (!slot->keep) slot->stop_sent = -1e9;  // a shorter grace is told at once
  if (slot->keep) NoteEarlyEnd(*slot);
  slot->keep = false;
  NoteChange(*slot);
  slot->grace_s = grace_s;
}

void Fleet::UnwantJob(JobIdx j) {
  const std::vector<MachIdx> on = (*book_)[j].on;
  for (MachIdx m : on) {
    for (PlacedAttempt& s : machines_[m].attempts) {
      if (s.job == j && !s.gone) Unwant(m, &s, 0);
    }
  }
}

void Fleet::UnwantUnseen(JobIdx j) {
  for (MachIdx m : (*book_)[j].on) {
    for (PlacedAttempt& s : machines_[m].attempts) {
      if (s.job == j && !s.gone && !s.seen) Unwant(m, &s, 0);
    }
  }
}

bool Fleet::MayForget(const PlacedAttempt& s) const {
  if (!s.gone) return false;
  // A finished task is durable before its machine forgets it.
  if (s.why != ExitReason::kDone || s.job == kNone) return true;
  return book_->TaskDurable(s.job, s.task);
}

std::vector<Command> Fleet::StopsOfEnded(const Heartbeat& report) const {
  std::vector<Command> out;
  for (const TaskStatus& t : report.tasks) {
    std::string id;
    uint32_t task = 0;
    if (t.state == TaskState::kExited || !SplitTask(t.task_name, &id, &task)) continue;
    const JobIdx j = book_->Find(id);
    if (j == kNone || (*book_)[j].life == JobLife::kLive) continue;
    out.push_back({CommandOp::kStop, t.task_name, t.attempt, 0});
  }
  return out;
}

bool Fleet::HasCommands(MachIdx mi, bool launch) const {
  const Machine& m = machines_[mi];
  if (m.seen_token < m.token) return true;
  const double now = clock_->Now();
  // What ended takes no room: it is cleared with the next command or report.
  for (const PlacedAttempt& s : m.attempts) {
    if (s.gone) continue;
    if (!s.keep) {
      if (!s.seen || now - s.stop_sent > kStopAgain) return true;
    } else if (!s.seen && launch) {
      return true;
    }
  }
  return false;
}

Command Fleet::StopOf(PlacedAttempt* s) const {
  const double now = clock_->Now();
  if (s->stop_first < 0) s->stop_first = now;
  // Told long ago and still there: no more time to save.
  const bool late = now - s->stop_first > s->grace_s + kStopAgain;
  return {CommandOp::kStop, s->name, s->attempt, late ? 0 : s->grace_s};
}

std::vector<Command> Fleet::Commands(MachIdx mi, bool launch) {
  Machine& m = machines_[mi];
  const double now = clock_->Now();
  std::vector<Command> out;
  if (!m.accounted) return out;
  for (size_t i = m.attempts.size(); i-- > 0;) {
    const PlacedAttempt& s = m.attempts[i];
    if (s.keep || s.seen) continue;
    if (s.launch_token == 0) {
      FreeTask(mi, s);
      EraseAttempt(mi, i);
    } else if (s.launch_token == m.token) {
      // Its launch may still come; a higher token shuts it out.
      ++m.token;
    }
  }
  for (PlacedAttempt& s : m.attempts) {
    if (s.gone && MayForget(s)) {
      out.push_back({CommandOp::kAcknowledgeExit, s.name, s.attempt, 0});
    } else if (!s.gone && !s.keep && s.seen && now - s.stop_sent > kStopAgain) {
      out.push_back(StopOf(&s));
      s.stop_sent = now;
    }
  }
  // A machine that has not shown that it hears gets nothing new.
  if (!launch || !Hears(m)) return out;
  for (PlacedAttempt& s : m.attempts) {
    if (s.gone || !s.keep || s.seen) continue;
    out.push_back({CommandOp::kStart, s.name, s.attempt, 0});
    s.launch_token = m.token;
  }
  return out;
}

std::vector<Command> Fleet::Stops(MachIdx mi) {
  std::vector<Command> out;
  for (PlacedAttempt& s : machines_[mi].attempts) {
    if (!s.gone && !s.keep && s.seen) out.push_back(StopOf(&s));
  }
  return out;
}

void Fleet::Unanswered(MachIdx mi) {
  // Late commands die of the higher token. Without it a launch could come after
  // its attempt was cleared, and start once more.
  ++machines_[mi].token;
  Changed(mi);
}

void Fleet::LoseAll(MachIdx mi, const char* why) {
  Machine& m = machines_[mi];
  size_t lost = 0;
  for (size_t i = m.attempts.size(); i-- > 0;) {
    if (!m.attempts[i].gone) {
      ++lost;
      if (m.attempts[i].keep) NoteEarlyEnd(m.attempts[i]);
      FreeTask(mi, m.attempts[i]);
    }
    EraseAttempt(mi, i);
  }
  if (lost > 0) spdlog::info("machine {}: {} tasks lost: {}", m.name, lost, why);
  Changed(mi);
}

void Fleet::MarkGone(MachIdx mi, const char* why) {
  Machine& m = machines_[mi];
  if (m.gone) return;
  LoseAll(mi, why);
  Account(mi);
  m.gone = true;
  m.images.clear();
  active_.erase(std::find(active_.begin(), active_.end(), mi));
  changed = true;
  spdlog::info("machine {} is gone: {}", m.name, why);
}

void Fleet::Account(MachIdx mi) {
  Machine& m = machines_[mi];
  if (m.accounted) return;
  m.accounted = true;
  Changed(mi);
  if (m.may_hold) on_accounted();
}

uint32_t Fleet::Unaccounted() const {
  return static_cast<uint32_t>(std::count_if(active_.begin(), active_.end(), [this](MachIdx m) {
    return machines_[m].may_hold && !machines_[m].accounted;
  }));
}

bool Fleet::LeaseOver(const Machine& m, double now, double term_began) const {
  const double lease = options_.lease_s * (1 + options_.drift) + 0.5;
  if (m.accounted) return now > std::max(m.answered_at, m.heard_at) + lease;
  // Unless a former leader said that it does not.
  if (m.unanswered_since >= 0 &&
      clock_->Wall() > m.unanswered_since + lease + 2 * options_.wall_bound_s) {
    return true;
  }
  // A former leader may have answered it until its hold was over.
  const double last =
      std::max(m.answered_at, term_began + options_.former_grace_s * (1 + options_.drift));
  return now > last + lease;
}

}  // namespace deckhall
