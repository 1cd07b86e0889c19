#include "leader/leader.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "state/key_value_client.h"

namespace deckhall {
namespace {

constexpr double kPageFill = 0.85;
// Hints are written so much less often than the work that is left.
constexpr double kHintsEvery = 3;
// Passes are this far apart for each machine, so that their cost has a bound.
constexpr double kPassGap = 0.02;
constexpr double kPassGapPerMachine = 80e-6;
constexpr double kPassGapMost = 0.2;
constexpr int kLoadTries = 4;
constexpr double kSweep = 0.25;
constexpr int kFullRetry = 10;
constexpr double kFullLogEvery = 60;

RecordStoreLimits LimitsOf(const Settings& s) {
  RecordStoreLimits l;
  // What is announced may come at any time: everything is kept within it from the start.
  l.max_value_bytes = static_cast<size_t>(s.state_kept.value_kb * 1024);
  l.fill_bytes = static_cast<size_t>(s.state_kept.value_kb * 1024 * kPageFill);
  l.current_max_value_bytes = static_cast<size_t>(s.state_now.value_kb * 1024);
  l.max_transaction_ops = static_cast<size_t>(std::max(1, s.state_kept.txn_ops));
  l.write_burst = WriteBurst(s.state_kept.write_rps);
  return l;
}

FleetOptions FleetOf(const Settings& s) {
  FleetOptions o;
  o.lease_s = s.lease_s;
  o.former_grace_s = GracePeriodSeconds(s);
  o.wall_bound_s = s.time_bound_ms / 1000;
  return o;
}

RentalOptions RentalsOf(const Settings& s) {
  RentalOptions o;
  o.list_lag_s = s.cloud_lag_s;
  o.list_every_s = std::clamp(4 / s.cloud_rps, 2.0, 10.0);
  return o;
}

}  // namespace

double MessagesPerSecond(const Settings& s, const Tuning& t) {
  return s.cores * 1000 / t.message_ms;
}

// A task whose cancellation another leader told of must be gone in cancel_s even
// from a machine that only we still answered: hold and lease fit into it.
double GracePeriodSeconds(const Settings& s) {
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
      // Two rows of hints share a page.
      hints_(&store_, &book_, &fleet_, LimitsOf(*settings).fill_bytes / 2 - kPageOverheadBytes),
      free_capacity_(&book_, &fleet_, &rentals_, &store_, ports.clock, settings, tuning),
      ranking_(&book_, &free_capacity_, ports.clock, tuning),
      gangs_(&book_, &fleet_, &ranking_, ports.clock, settings),
      ledger_(&book_, &fleet_, ports.clock, OverdueSeconds(*settings)),
      drainer_(
          {&book_, &fleet_, &free_capacity_, &rentals_, &gangs_, &store_, &ledger_, ports.clock}),
      placer_(&book_, &fleet_, &free_capacity_, &ranking_, &rentals_, &ledger_, ports.clock,
              tuning),
      planner_(&book_, &fleet_, &free_capacity_, &ranking_, &rentals_, &ledger_, &drainer_,
               ports.clock, settings, tuning),
      direct_(MessagesPerSecond(*settings, *tuning) * tuning->direct_share,
              std::max(20.0, MessagesPerSecond(*settings, *tuning) * tuning->direct_share / 4)),
      probes_(MessagesPerSecond(*settings, *tuning) * tuning->probe_share,
              std::max(20.0, MessagesPerSecond(*settings, *tuning) * tuning->probe_share * 2)) {
  for (const std::string& z : settings->zones) book_.zones.Add(z);
  for (const Team& t : settings->teams) book_.teams.Add(t.name);
  store_.on_commit = [this] { Committed(); };
  store_.on_leadership_lost = [this] {
    if (on_deposed) on_deposed("a write met another term");
  };
  fleet_.on_exit = [this](MachineIndex m, const TaskAttempt& s) { TaskEnded(m, s); };
  fleet_.on_accounted = [this] { release_ = true; };
  fleet_.observer = &ledger_;
  book_.on_lifecycle_change = [this](JobIndex j) { ledger_.JobChanged(j); };
  placer_.on_refreshed = [this] { drainer_.PlaceReplacements(); };
}

void Leader::Begin() {
  began_ = ports_.clock->Now();
  Load();
}

void Leader::Load() {
  loading_ = true;
  store_.Load([this](bool ok, const std::vector<std::pair<RecordId, std::string>>& rows) {
    loading_ = false;
    if (retired_) return;
    if (!ok) {
      load_after_ = ports_.clock->Now() + 0.2;
      return;
    }
    if (store_.unreadable_pages() > 0 && ++load_tries_ < kLoadTries) {
      // Perhaps it was only the answer.
      load_after_ = ports_.clock->Now() + 0.2;
      return;
    }
    Loaded(rows);
  });
}

void Leader::Loaded(const std::vector<std::pair<RecordId, std::string>>& rows) {
  for (const auto& [id, text] : rows) {
    if (rentals_.LoadRow(id, text) || hints_.LoadRow(id, text) || drainer_.LoadRow(id, text)) {
      continue;
    }
    if (!book_.LoadRecord(id, text)) spdlog::error("a stored row is not understood: {}", text);
  }
  const double now = ports_.clock->Now();
  book_.FinishLoad(now, ports_.clock->Wall());
  hints_.FinishLoad();
  drainer_.FinishLoad();
  store_.SplitLargePages();
  for (JobIndex j : book_.active_jobs()) {
    Job& job = book_[j];
    job.remaining_core_seconds = job.stored_remaining_core_seconds >= 0
                                     ? job.stored_remaining_core_seconds
                                     : ranking_.WorkLeft(job);
  }
  for (MachineIndex m : fleet_.active()) fleet_.MarkChanged(m);
  loaded_ = release_ = true;
  Use(policy_, policy_confirmed_);
  next_save_ = now + tuning_->save_s;
  next_hints_ = now + kHintsEvery * tuning_->save_s;
  rentals_.Start();
  spdlog::info("term {}: {} live jobs, {} machines to account for, {} rows", term_,
               book_.active_jobs().size(), fleet_.Unaccounted(), rows.size());
  Tick();
}

void Leader::Use(std::shared_ptr<const DisruptionPolicy> policy, bool confirmed) {
  policy_ = std::move(policy);
  policy_confirmed_ = confirmed;
  // Drains go on from their rows, and replicas are counted from what is stored.
  if (!loaded_) return;
  ledger_.Use(policy_, confirmed);
  drainer_.Use(policy_, confirmed);
}

double Leader::GraceUntil() const {
  // Counted from when the last good renewal was sent, or from when all others
  // last said that they know of no later term: in an outage of the state service
  // that reaches everybody, nobody can follow us, and tasks stay up.
  double since = ports_.lease->TrustedUntil() - tuning_->lease_ms / 1000.0;
  if (ports_.no_later_term_since) since = std::max(since, ports_.no_later_term_since(term_));
  return since + GracePeriodSeconds(*settings_);
}

JobResponse Leader::State(JobIndex j, int status) const {
  const Job& job = book_[j];
  JobResponse r;
  r.status = status;
  r.tasks_done = job.tasks_done;
  r.tasks_running = job.tasks_running;
  r.state = job.tasks_running > 0 ? JobState::kRunning : JobState::kPending;
  if (job.lifecycle == JobLifecycle::kActive) return r;
  if (!job.end_acknowledged) return r;  // nobody was told of the end yet
  r.state = job.lifecycle == JobLifecycle::kDone ? JobState::kDone : JobState::kCancelled;
  r.tasks_running = 0;
  return r;
}

void Leader::User(const JobRequest& ask, UserDone done) {
  if (!loaded_) {
    done(UnavailableResponse("taking over"));
    return;
  }
  const bool trusted = ports_.lease->Trusted();
  const JobIndex j = book_.Find(ask.job_id);
  // Final states never change: they may be told without the lease.
  if (j != kNoIndex && book_[j].end_acknowledged) {
    done(State(j, 200));
    return;
  }
  if (!trusted) {
    done(UnavailableResponse("the state service does not answer"));
    return;
  }
  switch (ask.operation) {
    case JobOperation::kSubmit:
      Submit(ask, std::move(done));
      return;
    case JobOperation::kCancel:
      Cancel(ask, std::move(done));
      return;
    case JobOperation::kGet:
      break;
  }
  if (j == kNoIndex) {
    done(Unknown());
  } else if (!book_[j].acknowledged) {
    done(UnavailableResponse("being accepted"));
  } else {
    done(State(j, 200));
  }
}

JobResponse Leader::Unknown() const {
  // What an unreadable page held may have been accepted: it can't be denied.
  if (store_.unreadable_pages() > 0)
    return UnavailableResponse("a page of the state service can't be read");
  JobResponse r;
  r.status = 404;
  r.error = "no such job";
  return r;
}

std::string Leader::NeverRuns(const JobSpec& spec) const {
  const Team* team = nullptr;
  for (const Team& t : settings_->teams) {
    if (t.name == spec.team) team = &t;
  }
  if (team == nullptr) return "unknown team";
  const double n = spec.service || spec.gang ? spec.task_count : 1;
  if (team->cores_max > 0 && spec.cores * n > team->cores_max + 1e-6) {
    return "more cores than the team's limit";
  }
  if (team->gpus_max > 0 && spec.gpus * n > team->gpus_max + 1e-6) {
    return "more gpus than the team's limit";
  }
  for (const MachineType& t : rentals_.types()) {
    if (spec.allowed_types && std::find(spec.allowed_types->begin(), spec.allowed_types->end(),
                                        t.name) == spec.allowed_types->end()) {
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

const char* Leader::Full(const JobSpec& spec) {
  const char* why = nullptr;
  if (book_.active_jobs().size() >= MostLiveJobs(*settings_)) {
    why = "as many jobs are unfinished as the memory allows";
  } else if (book_.active_task_count() + spec.task_count > MostLiveTasks(*settings_)) {
    why = "as many tasks are unfinished as the memory allows";
  } else if (waiters_.size() >= MostWaiters(*settings_)) {
    why = "as many users wait for an answer as there are connections";
  }
  const double now = ports_.clock->Now();
  if (why != nullptr && now >= full_logged_at_ + kFullLogEvery) {
    full_logged_at_ = now;
    spdlog::warn("no new job is taken: {} ({} jobs, {} tasks)", why, book_.active_jobs().size(),
                 book_.active_task_count());
  }
  return why;
}

void Leader::Submit(const JobRequest& ask, UserDone done) {
  JobIndex j = book_.Find(ask.job_id);
  if (j != kNoIndex && book_[j].acknowledged) {
    done(State(j, 200));
    return;
  }
  if (j == kNoIndex) {
    JobResponse r;
    if (!ask.validation_error.empty()) {
      r.status = 400;
      r.error = ask.validation_error;
      done(r);
      return;
    }
    if (!rentals_.types_known()) {
      done(UnavailableResponse("machine types are not known yet"));
      return;
    }
    r.error =
        book_.FitsRecord(ask.job) ? NeverRuns(ask.job) : "its description is too large to keep";
    if (!r.error.empty()) {
      r.status = 422;
      done(r);
      return;
    }
    if (const char* full = Full(ask.job)) {
      done(UnavailableResponse(full, kFullRetry));
      return;
    }
    j = book_.Create(ask.job, ports_.clock->Wall());
    Job& job = book_[j];
    job.remaining_core_seconds = ranking_.WorkLeft(job);
    job.waiting_since = job.starved_since = ports_.clock->Now();
    if (job.spec.service) free_capacity_.ServiceArrived(job);
    ranking_.JobsChanged();
  }
  waiters_.push_back({j, JobOperation::kSubmit, std::move(done), 201, ports_.clock->Now()});
  store_.Flush();
}

void Leader::Cancel(const JobRequest& ask, UserDone done) {
  const JobIndex j = book_.Find(ask.job_id);
  if (j == kNoIndex) {
    done(Unknown());
    return;
  }
  if (!book_[j].acknowledged) {
    done(UnavailableResponse("being accepted"));
    return;
  }
  if (book_[j].lifecycle == JobLifecycle::kActive) {
    spdlog::info("job {} is cancelled by its user", ask.job_id);
    // Its work is of no use from the moment its user asks.
    book_.EndJob(j, JobLifecycle::kCancelled, ports_.clock->Now());
    fleet_.UnwantJob(j);
    ranking_.JobsChanged();
    fleet_.changed = true;
  } else {
    // It has just ended: its user waits for that to be durable.
    book_.Save(j, WritePriority::kImmediate);
  }
  waiters_.push_back({j, JobOperation::kCancel, std::move(done), 200, ports_.clock->Now()});
  store_.Flush();
}

void Leader::Committed() {
  for (JobIndex j : book_.active_jobs()) {
    Job& job = book_[j];
    if (!job.acknowledged && book_.IsDurable(j)) {
      job.acknowledged = true;
      fleet_.changed = true;
      spdlog::info("job {} accepted: {} of {}, {} tasks of {} cores, estimate {} s, deadline {} s",
                   job.id, job.spec.job_class, job.spec.team, job.spec.task_count, job.spec.cores,
                   job.spec.estimated_runtime_s, job.spec.deadline_s.value_or(0));
    }
  }
  for (JobIndex j : book_.ended_jobs()) {
    // Once told it stays told: the row may be rewritten later, the answer may not
    // go back.
    if (book_.IsDurable(j)) book_[j].end_acknowledged = true;
  }
  const bool trusted = ports_.lease->Trusted();
  std::vector<Waiter> ready;
  std::vector<Waiter> rest;
  for (Waiter& w : waiters_) {
    (book_.IsDurable(w.job) ? ready : rest).push_back(std::move(w));
  }
  waiters_ = std::move(rest);
  for (Waiter& w : ready) {
    Job& job = book_[w.job];
    job.acknowledged = true;
    const bool final = job.lifecycle != JobLifecycle::kActive;
    w.done(trusted || final ? State(w.job, w.status) : UnavailableResponse("the lease ran out"));
  }
}

void Leader::SaveProgress() {
  for (JobIndex j : book_.active_jobs()) {
    Job& job = book_[j];
    if (job.spec.service || !job.acknowledged) continue;
    if (job.stored_remaining_core_seconds >= 0 &&
        std::abs(job.remaining_core_seconds - job.stored_remaining_core_seconds) <
            0.1 * job.stored_remaining_core_seconds + 1) {
      continue;
    }
    job.stored_remaining_core_seconds = job.remaining_core_seconds;
    book_.Save(j, WritePriority::kBackground);
  }
}

void Leader::CollectEndedJobs() {
  const double now = ports_.clock->Now();
  const double keep = settings_->cancel_s + settings_->lease_s + GracePeriodSeconds(*settings_);
  const std::vector<JobIndex> ended_jobs = book_.ended_jobs();
  for (JobIndex j : ended_jobs) {
    Job& job = book_[j];
    if (now - job.ended_at < keep || job.tasks_unreconciled > 0 || !job.end_acknowledged) continue;
    if (job.attempt_count == 0) book_.DropSpec(j);
  }
}

void Leader::Retire() {
  retired_ = true;
  loaded_ = false;
  store_.Stop();
  for (Waiter& w : std::exchange(waiters_, {})) w.done(UnavailableResponse("another node leads"));
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
      w.done(UnavailableResponse("the state service does not answer"));
    }
    store_.Flush();
    return;
  }
  if (now >= next_watch_) {
    next_watch_ = now + kSweep;
    Sweep();
  }
  if (release_ && now >= next_release_) {
    release_ = false;
    next_release_ = now + 0.1;
    ReleaseUnseen();
  }
  // Changes are gathered for a moment, the longer the larger the fleet.
  const auto machines = static_cast<double>(fleet_.active().size());
  if ((fleet_.changed && now >= pass_after_) || now >= next_pass_) {
    fleet_.changed = false;
    next_pass_ = now + 0.5;
    pass_after_ = now + std::min(kPassGapMost, kPassGap + kPassGapPerMachine * machines);
    placer_.Pass();
  }
  MachineIndex changed = 0;
  while (direct_.Level(now) >= 1 && fleet_.TakeChanged(&changed)) Direct(changed);
  if (now >= next_plan_) {
    next_plan_ = now + tuning_->plan_s;
    planner_.Plan();
  }
  rentals_.Tick(true);
  if (now >= next_save_) {
    next_save_ = now + tuning_->save_s;
    SaveProgress();
  }
  if (now >= next_hints_) {
    next_hints_ = now + kHintsEvery * tuning_->save_s;
    hints_.Save();
  }
  store_.Flush();
}

}  // namespace deckhall
