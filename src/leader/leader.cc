#include "leader/leader.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace deckhall {
namespace {

constexpr double kPageFill = 0.85;
constexpr double kDoTimeout = 1.5;
constexpr double kProbeTimeout = 0.7;
// With more machines silent at once, the trouble is rather on the way or here.
constexpr int kFewSilent = 2;
constexpr size_t kMaxWaiters = 5000;
constexpr size_t kMaxLiveTasks = 400000;
constexpr size_t kMaxLiveJobs = 20000;

StoreLimits LimitsOf(const Settings& s) {
  StoreLimits l;
  l.value_bytes = static_cast<size_t>(s.state_value_kb * 1024 * kPageFill);
  l.txn_ops = static_cast<size_t>(std::max(1, s.state_txn_ops));
  return l;
}

FleetOptions FleetOf(const Settings& s) {
  FleetOptions o;
  o.lease_s = s.lease_s;
  o.old_hold_s = HoldSeconds(s);
  return o;
}

RentalOptions RentalsOf(const Settings& s) {
  RentalOptions o;
  o.list_lag_s = s.cloud_lag_s;
  o.list_every_s = std::clamp(4 / s.cloud_rps, 2.0, 10.0);
  return o;
}

UserReply Unavailable(const char* why) {
  UserReply r;
  r.status = 503;
  r.error = why;
  r.retry_after_s = 1;
  return r;
}

}  // namespace

// A task whose cancellation another leader told of must be gone in cancel_s even
// from a machine that only we still answered: hold and lease fit into it.
double HoldSeconds(const Settings& s) {
  return std::max(0.0, (s.cancel_s - s.lease_s) * 0.9 - 1.5);
}

Leader::Leader(const LeaderPorts& ports, const Settings* settings, const Tuning* tuning,
               const std::string& leader_key, uint64_t term)
    : ports_(ports),
      settings_(settings),
      tuning_(tuning),
      term_(term),
      store_(ports.state, ports.clock, LimitsOf(*settings), leader_key, term),
      book_(&store_),
      fleet_(&book_, ports.clock, term, FleetOf(*settings)),
      rentals_(ports.cloud, &store_, &fleet_, &book_, ports.clock, term, RentalsOf(*settings)),
      placer_(&book_, &fleet_, &rentals_, &store_, ports.clock, settings, tuning) {
  for (const std::string& z : settings->zones) book_.zones.Add(z);
  for (const Team& t : settings->teams) book_.teams.Add(t.name);
  store_.on_commit = [this] { Committed(); };
  store_.on_deposed = [this] {
    if (on_deposed) on_deposed("a write met another term");
  };
  fleet_.on_exit = [this](MachIdx m, const Slot& s) { TaskEnded(m, s); };
  fleet_.on_accounted = [this] { release_ = true; };
}

void Leader::Begin() {
  began_ = ports_.clock->Now();
  Load();
}

void Leader::Load() {
  loading_ = true;
  store_.Load([this](bool ok, const std::vector<std::pair<RowId, std::string>>& rows) {
    loading_ = false;
    if (retired_) return;
    if (!ok) {
      load_after_ = ports_.clock->Now() + 0.2;
      return;
    }
    Loaded(rows);
  });
}

void Leader::Loaded(const std::vector<std::pair<RowId, std::string>>& rows) {
  for (const auto& [id, text] : rows) {
    if (rentals_.LoadRow(id, text)) continue;
    if (!book_.LoadRow(id, text)) spdlog::error("a stored row is not understood: {}", text);
  }
  const double now = ports_.clock->Now();
  book_.FinishLoad(now);
  for (JobIdx j : book_.live()) {
    Job& job = book_[j];
    job.left = job.saved_left >= 0 ? job.saved_left : placer_.WorkLeft(job);
  }
  loaded_ = release_ = true;
  next_save_ = now + tuning_->save_s;
  rentals_.Start();
  spdlog::info("term {}: {} live jobs, {} machines to account for, {} rows", term_,
               book_.live().size(), fleet_.Unaccounted(), rows.size());
  Tick();
}

double Leader::HoldUntil() const {
  // Counted from when the last good renewal was sent, or from when all others
  // last said that they know of no later term: in an outage of the state service
  // that reaches everybody, nobody can follow us, and tasks stay up.
  double since = ports_.lease->TrustedUntil() - tuning_->lease_ms / 1000.0;
  if (ports_.quiet_since) since = std::max(since, ports_.quiet_since(term_));
  return since + HoldSeconds(*settings_);
}

UserReply Leader::State(JobIdx j, int status) const {
  const Job& job = book_[j];
  UserReply r;
  r.status = status;
  r.done = job.done;
  r.running = job.running;
  r.state = job.running > 0 ? JobState::kRunning : JobState::kPending;
  if (job.life == JobLife::kLive) return r;
  if (!job.end_told) return r;  // nobody was told of the end yet
  r.state = job.life == JobLife::kDone ? JobState::kDone : JobState::kCancelled;
  r.running = 0;
  return r;
}

void Leader::User(const UserAsk& ask, UserDone done) {
  if (!loaded_) {
    done(Unavailable("taking over"));
    return;
  }
  const bool trusted = ports_.lease->Trusted();
  const JobIdx j = book_.Find(ask.id);
  // Final states never change: they may be told without the lease.
  if (j != kNone && book_[j].end_told) {
    done(State(j, 200));
    return;
  }
  if (!trusted) {
    done(Unavailable("the state service does not answer"));
    return;
  }
  switch (ask.op) {
    case UserOp::kSubmit:
      Submit(ask, std::move(done));
      return;
    case UserOp::kCancel:
      Cancel(ask, std::move(done));
      return;
    case UserOp::kGet:
      break;
  }
  if (j == kNone) {
    UserReply r;
    r.status = 404;
    r.error = "no such job";
    done(r);
  } else if (!book_[j].told) {
    done(Unavailable("being accepted"));
  } else {
    done(State(j, 200));
  }
}

std::string Leader::NeverRuns(const JobSpec& spec) const {
  const Team* team = nullptr;
  for (const Team& t : settings_->teams) {
    if (t.name == spec.team) team = &t;
  }
  if (team == nullptr) return "unknown team";
  const double n = spec.service || spec.gang ? spec.tasks : 1;
  if (team->cores_max > 0 && spec.cores * n > team->cores_max + 1e-6) {
    return "more cores than the team's limit";
  }
  if (team->gpus_max > 0 && spec.gpus * n > team->gpus_max + 1e-6) {
    return "more gpus than the team's limit";
  }
  for (const MachineType& t : rentals_.types()) {
    if (spec.types &&
        std::find(spec.types->begin(), spec.types->end(), t.name) == spec.types->end()) {
      continue;
    }
    if (!spec.zone.empty() &&
        std::find(t.zones.begin(), t.zones.end(), spec.zone) == t.zones.end()) {
      continue;
    }
    if (spec.cores <= t.cores + 1e-6 && spec.gpus <= t.gpus + 1e-6 &&
        spec.memory_gb <= t.memory_gb + 1e-6) {
      return "";
    }
  }
  return "fits no allowed machine type";
}

void Leader::Submit(const UserAsk& ask, UserDone done) {
  JobIdx j = book_.Find(ask.id);
  if (j != kNone && book_[j].told) {
    done(State(j, 200));
    return;
  }
  if (j == kNone) {
    UserReply r;
    if (!ask.invalid.empty()) {
      r.status = 400;
      r.error = ask.invalid;
      done(r);
      return;
    }
    if (!rentals_.types_known()) {
      done(Unavailable("machine types are not known yet"));
      return;
    }
    r.error = NeverRuns(ask.job);
    if (!r.error.empty()) {
      r.status = 422;
      done(r);
      return;
    }
    if (book_.live().size() >= kMaxLiveJobs || book_.live_tasks() + ask.job.tasks > kMaxLiveTasks ||
        waiters_.size() >= kMaxWaiters) {
      r.status = 429;
      r.error = "too much is waiting";
      r.retry_after_s = 10;
      done(r);
      return;
    }
    j = book_.Create(ask.job, ports_.clock->Wall());
    placer_.Arrived(j);
  }
  waiters_.push_back({j, UserOp::kSubmit, std::move(done), 201, ports_.clock->Now()});
  store_.Pump();
}

void Leader::Cancel(const UserAsk& ask, UserDone done) {
  const JobIdx j = book_.Find(ask.id);
  if (j == kNone) {
    UserReply r;
    r.status = 404;
    r.error = "no such job";
    done(r);
    return;
  }
  if (!book_[j].told) {
    done(Unavailable("being accepted"));
    return;
  }
  if (book_[j].life == JobLife::kLive) {
    spdlog::info("job {} is cancelled by its user", ask.id);
    // Its work is of no use from the moment its user asks.
    book_.End(j, JobLife::kCancelled, ports_.clock->Now());
    fleet_.UnwantJob(j);
    placer_.JobsChanged();
    fleet_.changed = true;
  }
  waiters_.push_back({j, UserOp::kCancel, std::move(done), 200, ports_.clock->Now()});
  store_.Pump();
}

void Leader::Committed() {
  for (JobIdx j : book_.live()) {
    Job& job = book_[j];
    if (!job.told && book_.Durable(j)) {
      job.told = true;
      fleet_.changed = true;
    }
  }
  for (JobIdx j : book_.fading()) {
    // Once told it stays told: the row may be rewritten later, the answer may not
    // go back.
    if (book_.Durable(j)) book_[j].end_told = true;
  }
  const bool trusted = ports_.lease->Trusted();
  std::vector<Waiter> ready;
  std::vector<Waiter> rest;
  for (Waiter& w : waiters_) {
    (book_.Durable(w.job) ? ready : rest).push_back(std::move(w));
  }
  waiters_ = std::move(rest);
  for (Waiter& w : ready) {
    Job& job = book_[w.job];
    job.told = true;
    const bool final = job.life != JobLife::kLive;
    w.done(trusted || final ? State(w.job, w.status) : Unavailable("the lease ran out"));
  }
}

ReportReply Leader::OnReport(const Report& r) {
  ReportReply reply;
  const double now = ports_.clock->Now();
  if (TermOf(r.token) > term_) {
    if (on_deposed) on_deposed("a worker has seen a higher token");
    reply.status = 421;
    return reply;
  }
  const bool trusted = ports_.lease->Trusted();
  if (!loaded_ || (!trusted && now > HoldUntil())) return reply;
  MachIdx mi = fleet_.Find(r.machine);
  if (mi == kNone) {
    if (!trusted) return reply;
    mi = rentals_.Unexpected(r);
  }
  if (fleet_[mi].gone) return reply;
  const bool fresh = fleet_.Process(mi, r);
  Machine& m = fleet_[mi];
  if (fresh && m.endpoint != r.endpoint) {
    m.endpoint = r.endpoint;
    rentals_.SaveMachine(mi, true);
  }
  reply.status = 200;
  if (fresh && !m.do_busy && !m.returning) {
    // Stops and clears need no lease; launches do.
    reply.commands = fleet_.Commands(mi, trusted);
  }
  reply.token = m.token;
  m.answered_at = now;
  return reply;
}

void Leader::TaskEnded(MachIdx mi, const Slot& slot) {
  Machine& m = fleet_[mi];
  const double now = ports_.clock->Now();
  if (slot.job == kNone) return;
  Job& job = book_[slot.job];
  switch (slot.why) {
    case ExitWhy::kDone:
      m.task_fails = 0;
      m.sick_count = 0;
      job.fail_streak = 0;
      job.failed_on.clear();
      if (slot.running_since >= 0) placer_.Observed(job, now - slot.running_since);
      if (job.life != JobLife::kLive) placer_.JobsChanged();
      break;
    case ExitWhy::kNoRoom:
      m.no_room_until = now + 2;
      spdlog::info("machine {}: no room for {}", m.name, slot.name);
      break;
    case ExitWhy::kInUse:
    case ExitWhy::kUnknown:
      job.backoff_until = std::max(job.backoff_until, now + 1);
      spdlog::info("machine {}: {} refused ({})", m.name, slot.name,
                   slot.why == ExitWhy::kInUse ? "in use" : "unknown");
      break;
    case ExitWhy::kError: {
      ++job.fail_streak;
      const bool new_place =
          std::find(job.failed_on.begin(), job.failed_on.end(), mi) == job.failed_on.end();
      if (new_place) job.failed_on.push_back(mi);
      if (job.failed_on.size() > 16) job.failed_on.erase(job.failed_on.begin());
      // A job that fails wherever it goes says nothing about the machine.
      if (job.failed_on.size() <= 2 && new_place) ++m.task_fails;
      if (job.fail_streak >= 3) {
        const double wait =
            std::min(60.0, std::pow(2.0, std::min<uint32_t>(job.fail_streak, 9) - 3));
        job.backoff_until = now + wait;
      }
      spdlog::info("machine {}: {} failed (job {} in a row, machine {})", m.name, slot.name,
                   job.fail_streak, m.task_fails);
      if (m.task_fails >= 2) {
        m.task_fails = 0;
        ++m.sick_count;
        m.sick_until = now + 20.0 * m.sick_count;
        spdlog::warn("machine {}: quarantined for {} s", m.name, 20 * m.sick_count);
      }
      break;
    }
    case ExitWhy::kPeers:
    case ExitWhy::kIncomplete:
      // No fault of this machine; the gang starts again as a whole.
      job.backoff_until = std::max(job.backoff_until, now + 1);
      break;
    case ExitWhy::kStopped:
    case ExitWhy::kNone:
      break;
  }
}

void Leader::ReleaseUnseen() {
  // A task not seen anywhere is free once no machine is left that it could be on.
  auto look = [this](const std::vector<JobIdx>& list) {
    for (JobIdx j : list) {
      Job& job = book_[j];
      if (!job.full || job.unseen == 0) continue;
      bool possible = false;
      for (MachIdx mi = 0; mi < fleet_.size() && !possible; ++mi) {
        const Machine& m = fleet_[mi];
        possible = m.may_hold && !m.accounted && !m.gone && placer_.MayBeOn(job, m);
      }
      if (possible) continue;
      for (uint32_t t = 0; t < job.tasks.size(); ++t) book_.SeenFree(j, t);
      fleet_.changed = true;
    }
  };
  look(book_.live());
  look(book_.fading());
}

void Leader::Direct(MachIdx mi) {
  Machine& m = fleet_[mi];
  const double now = ports_.clock->Now();
  if (m.do_busy || m.gone || m.returning || m.endpoint.empty() || now < m.do_after) return;
  const bool greet = !m.accounted && (m.may_hold || m.up);
  if (!greet && (!m.up || !fleet_.HasCommands(mi, true))) return;
  std::vector<Command> commands = fleet_.Commands(mi, true);
  if (commands.empty() && !greet && m.seen_token >= m.token) return;
  m.do_busy = true;
  ports_.workers->Do(m.endpoint, m.token, m.session, commands, kDoTimeout,
                     [this, mi](const WorkerAnswer& answer) {
                       if (!retired_) DirectDone(mi, answer);
                     });
}

void Leader::DirectDone(MachIdx mi, const WorkerAnswer& answer) {
  Machine& m = fleet_[mi];
  const double now = ports_.clock->Now();
  m.do_busy = false;
  if (!answer.has_report) {
    ++m.do_fails;
    m.do_after = now + std::min(4.0, 0.25 * std::pow(2.0, std::min(m.do_fails, 6)));
    if (answer.sent) fleet_.Unanswered(mi);
    return;
  }
  if (TermOf(answer.report.token) > term_) {
    if (on_deposed) on_deposed("a worker has seen a higher token");
    return;
  }
  if (answer.report.machine != m.name) {
    m.do_after = now + 4;
    spdlog::warn("machine {}: another one answers at its address", m.name);
    return;
  }
  m.do_fails = 0;
  if (answer.status == 409) m.do_after = now + 0.2;
  fleet_.Process(mi, answer.report);
  Direct(mi);
}

void Leader::Watch(MachIdx mi) {
  Machine& m = fleet_[mi];
  const double now = ports_.clock->Now();
  if (m.gone || m.returning) return;
  const bool waited_for = m.may_hold && !m.accounted;
  if (!m.up && !waited_for) return;
  const double silent = now - std::max(m.heard_at, began_);
  if (!m.slots.empty() && m.accounted && fleet_.LeaseOver(m, now, began_)) {
    fleet_.LoseAll(mi, "its lease ran out");
  }
  if (waited_for && fleet_.LeaseOver(m, now, began_)) {
    spdlog::info("machine {}: its lease under the former leader surely ran out", m.name);
    fleet_.Account(mi);
  }
  const bool busy =
      std::any_of(m.slots.begin(), m.slots.end(), [](const Slot& s) { return !s.gone; });
  if (silent < (busy ? tuning_->probe_s : tuning_->silent_s)) return;
  double limit = waited_for                      ? tuning_->takeover_wait_s
                 : silent_machines_ > kFewSilent ? tuning_->lost_s
                                                 : tuning_->quick_lost_s;
  // Behind a cut its worker first has to find another node, and probes from here
  // say nothing: returning it would kill what runs well.
  if (m.zone != kNone && ports_.doubtful && ports_.doubtful(book_.zones[m.zone])) {
    limit = std::max(limit, tuning_->lost_behind_cut_s);
  }
  if (silent > limit && m.probe_fails >= 2) {
    // Returning it ends whatever it still holds: sooner than its lease would.
    rentals_.Return(mi, "silent");
    return;
  }
  if (m.probing || m.endpoint.empty()) return;
  m.probing = true;
  ports_.workers->Inspect(m.endpoint, kProbeTimeout, [this, mi](const WorkerAnswer& a) {
    if (retired_) return;
    Machine& machine = fleet_[mi];
    machine.probing = false;
    if (!a.has_report || a.report.machine != machine.name) {
      ++machine.probe_fails;
      return;
    }
    fleet_.Process(mi, a.report);
  });
}

void Leader::Notice(MachIdx mi) {
  Machine& m = fleet_[mi];
  if (m.notice_until < 0 || m.gone) return;
  const double left = m.notice_until - ports_.clock->Now();
  for (Slot& s : m.slots) {
    if (s.gone || !s.keep || s.job == kNone) continue;
    const Job& job = book_[s.job];
    if (job.spec.checkpoint_s > 0) {
      // The notice may be half as long as it says.
      fleet_.Unwant(&s, job.spec.save_s + 1);
      continue;
    }
    const double ran = s.running_since < 0 ? 0 : ports_.clock->Now() - s.running_since;
    if (job.spec.service || placer_.TaskSeconds(job) - ran > left) fleet_.Unwant(&s, 0);
  }
}

void Leader::SaveProgress() {
  for (JobIdx j : book_.live()) {
    Job& job = book_[j];
    if (job.spec.service || !job.told) continue;
    if (job.saved_left >= 0 && std::abs(job.left - job.saved_left) < 0.1 * job.saved_left + 1) {
      continue;
    }
    job.saved_left = job.left;
    book_.Save(j, false);
  }
}

void Leader::FadeJobs() {
  const double now = ports_.clock->Now();
  const double keep = settings_->cancel_s + settings_->lease_s + HoldSeconds(*settings_);
  const std::vector<JobIdx> fading = book_.fading();
  for (JobIdx j : fading) {
    Job& job = book_[j];
    if (now - job.ended_at < keep || job.unseen > 0 || !job.end_told) continue;
    bool on = false;
    for (MachIdx m = 0; m < fleet_.size() && !on; ++m) {
      on = std::any_of(fleet_[m].slots.begin(), fleet_[m].slots.end(),
                       [j](const Slot& s) { return s.job == j; });
    }
    if (!on) book_.Shrink(j);
  }
}

void Leader::Retire() {
  retired_ = true;
  loaded_ = false;
  store_.Stop();
  for (Waiter& w : std::exchange(waiters_, {})) w.done(Unavailable("another node leads"));
}

void Leader::Tick() {
  const double now = ports_.clock->Now();
  if (retired_) return;
  if (!loaded_) {
    if (!loading_ && now >= load_after_) Load();
    return;
  }
  const bool trusted = ports_.lease->Trusted();
  if (!trusted) {
    // What can't be made durable now is answered now; the user comes again.
    for (Waiter& w : std::exchange(waiters_, {})) {
      w.done(Unavailable("the state service does not answer"));
    }
    store_.Pump();
    return;
  }
  if (now >= next_watch_) {
    next_watch_ = now + 0.25;
    silent_machines_ = 0;
    for (MachIdx m = 0; m < fleet_.size(); ++m) {
      if (!fleet_[m].gone && !fleet_[m].returning && fleet_[m].probe_fails > 0) ++silent_machines_;
    }
    for (MachIdx m = 0; m < fleet_.size(); ++m) {
      Watch(m);
      Notice(m);
    }
    FadeJobs();
  }
  if (release_) {
    release_ = false;
    ReleaseUnseen();
  }
  if (fleet_.changed || now >= next_pass_) {
    fleet_.changed = false;
    next_pass_ = now + 0.5;
    placer_.Pass();
  }
  for (MachIdx m = 0; m < fleet_.size(); ++m) Direct(m);
  if (now >= next_plan_) {
    next_plan_ = now + tuning_->plan_s;
    placer_.Plan();
  }
  rentals_.Tick(true);
  if (now >= next_save_) {
    next_save_ = now + tuning_->save_s;
    SaveProgress();
  }
  store_.Pump();
}

}  // namespace deckhall
