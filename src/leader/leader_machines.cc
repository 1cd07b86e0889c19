// The leader and its machines: reports, commands, and who is still there.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "leader/leader.h"

namespace deckhall {
namespace {

constexpr double kDoTimeout = 1.5;
constexpr double kProbeTimeout = 0.7;
// With a larger part of the fleet silent or deaf at once, the trouble is rather on
// the way or here.
constexpr double kFewOfFleet = 0.08;
constexpr double kFewDeaf = 0.02;
constexpr size_t kFewAtLeast = 2;
constexpr double kManyOfFleet = 0.3;
constexpr double kMostOfFleet = 0.5;
constexpr size_t kFleetToJudge = 6;
// Of the questions of the last second: with hardly an answer among so many, the way is
// lost, however few of a large fleet could be asked yet.
constexpr double kQuestionsDecay = 0.5;
constexpr double kQuestionsToJudge = 12;
constexpr double kFewAnswersShare = 0.1;
// The same, with no answer at all for so long.
constexpr double kNoAnswerFor = 1;
// A machine behind a cut is given up after so many leases: its tasks are gone after
// the first, but the machine itself is soon back with its images.
constexpr double kCutLeases = 3;

// A service that runs, and of which nothing failed for so long, is in order: its replicas
// do not complete, so no success tells it.
constexpr double kProvenAfter = 30;

// Between two questions to a machine that does not answer, at the most.
constexpr double kLongestProbePause = 4;

// While machines are being lost, the others are asked after so much more often.
constexpr double kFasterProbes = 3;
constexpr double kFasterProbesFor = 3;

}  // namespace

void Leader::RejectReport(const std::string& machine, const char* why) {
  ++implausible_reports_;
  const double now = ports_.clock->Now();
  if (now - implausible_logged_at_ < 1) return;
  implausible_logged_at_ = now;
  spdlog::warn("machine {}: {}; ignored ({} such messages so far)", machine, why,
               implausible_reports_);
}

bool Leader::Plausible(const Heartbeat& r) {
  if (TermOf(r.fencing_token) > term_) {
    // While our lease is trusted nobody can have begun a later term, so no
    // controller gave that token. Without it, somebody may have.
    if (ports_.lease->Trusted()) {
      RejectReport(r.machine, "has a token that no controller gave");
    } else if (on_deposed) {
      on_deposed("a worker has seen a higher token");
    }
    return false;
  }
  const MachIdx mi = fleet_.Find(r.machine);
  if (mi == kNone) return true;
  const Machine& m = fleet_[mi];
  if (m.type != kNone && (book_.types.Find(r.type) != m.type || m.spot != r.spot ||
                          book_.zones.Find(r.zone) != m.zone)) {
    RejectReport(r.machine, "says it is of another type, zone or kind");
    return false;
  }
  return true;
}

HeartbeatResponse Leader::OnReport(const Heartbeat& r) {
  HeartbeatResponse reply;
  const double now = ports_.clock->Now();
  if (!Plausible(r)) {
    reply.status = 421;
    return reply;
  }
  const bool trusted = ports_.lease->Trusted();
  if (!loaded_ || (!trusted && now > GraceUntil())) return reply;
  MachIdx mi = fleet_.Find(r.machine);
  if (mi == kNone) {
    if (!trusted) return reply;
    mi = rentals_.Unexpected(r);
  }
  // A late copy from a machine that is gone.
  if (fleet_[mi].gone) return reply;
  if (!TakenBack(mi)) {
    if (trusted) TakeBack(fleet_[mi].zone);
    return reply;
  }
  const bool fresh = fleet_.Process(mi, r);
  Machine& m = fleet_[mi];
  reply.status = 200;
  reply.fencing_token = m.token;
  if (!fresh) {
    // Overtaken by an answer to a command, or a late copy: it renews nothing here,
    // and gets no commands.
    if (m.suspect) RejectReport(r.machine, "sent an old report");
    // To the worker it may be an answer that renews its lease all the same.
    reply.commands = fleet_.StopsOfEnded(r);
    return reply;
  }
  if (m.endpoint != r.endpoint) {
    m.endpoint = r.endpoint;
    if (m.row != kNoRow || m.listed) rentals_.SaveMachine(mi, WriteUrgency::kSoon);
  }
  if (!m.accounted) {
    // Nothing is adopted before it has shown this term's token. But this answer renews
    // its lease, perhaps the last one before this leader ends: what was cancelled must
    // not live on by it.
    reply.commands = fleet_.StopsOfEnded(r);
    m.answered_at = now;
    return reply;
  }
  // Nobody named it before: kept once it has shown that it hears us. A late copy's
  // ghost never does.
  if (m.row == kNoRow && Fleet::Hears(m)) rentals_.SaveMachine(mi, WriteUrgency::kSoon);
  if (m.do_busy || m.returning) {
    // What was sent straight may be lost on its way, again and again while the way is
    // blocked, and the cloud may be out: stops go with every report, or a cancelled
    // task could outlive its time.
    reply.commands = fleet_.Stops(mi);
  } else {
    // Stops and clears need no lease; launches do.
    reply.commands = fleet_.Commands(mi, trusted);
    reply.fencing_token = m.token;
  }
  m.answered_at = now;
  return reply;
}

void Leader::TaskEnded(MachIdx mi, const PlacedAttempt& slot) {
  Machine& m = fleet_[mi];
  const double now = ports_.clock->Now();
  if (slot.job == kNone) return;
  Job& job = book_[slot.job];
  gangs_.TaskEnded(slot);
  switch (slot.why) {
    case ExitReason::kDone:
      m.task_fails = 0;
      m.sick_count = 0;
      job.fail_streak = 0;
      job.failed_on.clear();
      if (slot.running_since >= 0) ranking_.Observed(job, now - slot.running_since);
      if (job.life != JobLife::kLive) ranking_.JobsChanged();
      break;
    case ExitReason::kNoRoom:
      m.no_room_until = now + 2;
      spdlog::info("machine {}: no room for {}", m.name, slot.name);
      break;
    case ExitReason::kInUse:
    case ExitReason::kUnknown:
      job.backoff_until = std::max(job.backoff_until, now + 1);
      spdlog::info("machine {}: {} refused ({})", m.name, slot.name,
                   slot.why == ExitReason::kInUse ? "in use" : "unknown");
      break;
    case ExitReason::kError:
      TaskFailed(mi, slot);
      break;
    case ExitReason::kGangMemberLost:
    case ExitReason::kGangIncomplete:
      // No fault of this machine, nor of the job: it starts again as a whole.
    case ExitReason::kStopped:
    case ExitReason::kNone:
      break;
  }
}

// Either the job or the machine is at fault; where else the job failed tells which.
void Leader::TaskFailed(MachIdx mi, const PlacedAttempt& slot) {
  Machine& m = fleet_[mi];
  Job& job = book_[slot.job];
  const double now = ports_.clock->Now();
  ++job.fail_streak;
  job.failed_at = now;
  const bool new_place =
      std::find(job.failed_on.begin(), job.failed_on.end(), mi) == job.failed_on.end();
  if (new_place) job.failed_on.push_back(mi);
  if (job.failed_on.size() > 16) job.failed_on.erase(job.failed_on.begin());
  // A job that fails wherever it goes says nothing about the machine.
  if (job.failed_on.size() <= 2 && new_place) ++m.task_fails;
  if (job.fail_streak >= 3) {
    const double wait = std::min(60.0, std::pow(2.0, std::min<uint32_t>(job.fail_streak, 9) - 3));
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
}

void Leader::ReleaseUnseen() {
  // A task not seen anywhere is free once no machine is left that it could be on.
  // Machines of one type, zone and kind are alike in this.
  std::vector<MachIdx> kinds;
  for (MachIdx mi : fleet_.active()) {
    const Machine& m = fleet_[mi];
    if (!m.may_hold || m.accounted) continue;
    const bool known = std::any_of(kinds.begin(), kinds.end(), [this, &m](MachIdx k) {
      return fleet_[k].type == m.type && fleet_[k].zone == m.zone && fleet_[k].spot == m.spot;
    });
    if (!known) kinds.push_back(mi);
  }
  auto look = [this, &kinds](const std::vector<JobIdx>& list) {
    for (JobIdx j : list) {
      Job& job = book_[j];
      if (!job.full || job.unseen == 0) continue;
      const bool possible = std::any_of(kinds.begin(), kinds.end(), [this, &job](MachIdx k) {
        return FreeCapacity::MayBeOn(job, fleet_[k]);
      });
      if (possible) continue;
      for (uint32_t t = 0; t < job.tasks.size(); ++t) book_.SeenFree(j, t);
      fleet_.changed = true;
    }
  };
  look(book_.live());
  look(book_.ended_jobs());
}

void Leader::Direct(MachIdx mi) {
  Machine& m = fleet_[mi];
  ++looked_at_;
  // Answers come at any time, also past the lease: nothing is launched then.
  if (!ports_.lease->Trusted()) return;
  const double now = ports_.clock->Now();
  if (m.do_busy || m.gone || m.returning || m.endpoint.empty() || now < m.do_after) return;
  const bool greet = !m.accounted && (m.may_hold || m.up);
  // A launch there could outlive what was said of its lease.
  const bool launch = TakenBack(mi);
  if (!greet && (!m.up || !fleet_.HasCommands(mi, launch))) return;
  std::vector<Command> commands = fleet_.Commands(mi, launch);
  if (commands.empty() && !greet && Fleet::Hears(m)) return;
  m.do_busy = true;
  direct_.Take(now, 1, -1e9);
  const Stamp asked = fleet_.StampOf(mi);
  ports_.workers->Do(m.endpoint, m.token, m.session, commands, kDoTimeout,
                     [this, mi, asked](const WorkerAnswer& answer) {
                       if (!retired_) DirectDone(mi, answer, asked);
                     });
}

void Leader::DirectDone(MachIdx mi, const WorkerAnswer& answer, Stamp asked) {
  Machine& m = fleet_[mi];
  const double now = ports_.clock->Now();
  m.do_busy = false;
  if (m.gone) return;
  const bool named = answer.has_report && answer.report.machine == m.name;
  Counted(m, named);
  if (!named) {
    ++m.do_fails;
    m.do_after = now + std::min(4.0, 0.25 * std::pow(2.0, std::min(m.do_fails, 6)));
    fleet_.ProbeFailed(mi);
    if (answer.has_report) RejectReport(m.name, "is not who answers at its address");
    if (answer.sent) fleet_.Unanswered(mi);
    return;
  }
  if (!Plausible(answer.report)) {
    // Given up on when it stays so.
    m.do_after = now + 4;
    fleet_.ProbeFailed(mi);
    return;
  }
  m.do_fails = 0;
  if (answer.status == 409) m.do_after = now + 0.2;
  fleet_.Answered(mi, answer.report, asked);
  if (m.row == kNoRow && m.accounted) rentals_.SaveMachine(mi, WriteUrgency::kSoon);
  Direct(mi);
}

void Leader::Probe(MachIdx mi, bool urgent) {
  Machine& m = fleet_[mi];
  const double now = ports_.clock->Now();
  if (m.probing || m.do_busy || m.endpoint.empty() || now < m.probe_after) return;
  // Half of the budget is kept for machines that are overdue.
  const double reserve =
      urgent ? 0 : MessagesPerSecond(*settings_, *tuning_) * tuning_->probe_share;
  if (!probes_.Take(now, 1, reserve)) return;
  m.probing = true;
  const Stamp asked = fleet_.StampOf(mi);
  ports_.workers->Inspect(m.endpoint, kProbeTimeout, [this, mi, asked](const WorkerAnswer& a) {
    if (retired_) return;
    Machine& machine = fleet_[mi];
    machine.probing = false;
    if (machine.gone) return;
    Counted(machine, a.has_report);
    if (!a.has_report || a.report.machine != machine.name || !Plausible(a.report)) {
      ++machine.probe_fails;
      // Those known to be silent must not take the whole budget.
      machine.probe_after =
          ports_.clock->Now() +
          std::min(kLongestProbePause, 0.1 * std::pow(2.0, std::min(machine.fails, 6) - 1));
      fleet_.ProbeFailed(mi);
      return;
    }
    fleet_.Answered(mi, a.report, asked);
  });
}

void Leader::Lost(MachIdx mi) {
  Machine& m = fleet_[mi];
  const double now = ports_.clock->Now();
  const bool waited_for = m.may_hold && !m.accounted;
  const double silent = now - std::max(m.heard_at, began_);
  // Behind a cut its tasks run on until its lease ends; returning it sooner would end
  // them before there is room elsewhere. What a former leader inside the cut answers
  // lives longer still; other former leaders' machines block what may be on them.
  const bool answered_inside = m.zone != kNone && !ports_.former_leader_zone.empty() &&
                               book_.zones[m.zone] == ports_.former_leader_zone;
  if (m.cut && (!waited_for || answered_inside || m.unanswered_since >= 0)) {
    if (silent > settings_->lease_s * kCutLeases && !waited_for) {
      rentals_.Return(mi, "silent behind a cut");
    }
    return;
  }
  double limit = waited_for                ? tuning_->takeover_wait_s
                 : silent_machines_ > few_ ? tuning_->lost_s
                                           : tuning_->quick_lost_s;
  // Behind a cut its worker first has to find another node, and probes from here
  // say nothing: returning it would kill what runs well.
  const bool behind_cut = BehindCut(m);
  // So does losing the way to the workers ourselves: those that reported here need
  // two timeouts to find another node.
  // A few machines that a new leader waits for hold up all that may be on them.
  const bool few_waited_for = waited_for && waited_for_ <= few_;
  if ((behind_cut && !few_waited_for) || many_silent_)
    limit = std::max(limit, tuning_->lost_behind_cut_s);
  if (silent > limit && m.probe_fails >= 2) {
    // Returning it ends whatever it still holds: sooner than its lease would.
    rentals_.Return(mi, "silent");
    lost_at_ = now;
    return;
  }
  // It reports, but nothing of ours reaches it: its tasks would die with its lease.
  // Many such at once are rather a fault of the way, or of ourselves.
  limit = behind_cut ? std::max(tuning_->deaf_s, tuning_->lost_behind_cut_s) : tuning_->deaf_s;
  if (m.failing_since >= 0 && m.fails >= 3 && now - m.failing_since > limit &&
      m.heard_at > m.failing_since && deaf_machines_ <= few_deaf_) {
    rentals_.Return(mi, "deaf: it reports, but nothing reaches it");
  }
}

void Leader::Watch(MachIdx mi) {
  Machine& m = fleet_[mi];
  const double now = ports_.clock->Now();
  const bool waited_for = m.may_hold && !m.accounted;
  if (!m.up && !waited_for) return;
  // Also while its return waits for the cloud.
  if (!m.attempts.empty() && m.accounted && fleet_.LeaseOver(m, now, began_)) {
    fleet_.LoseAll(mi, "its lease ran out");
  }
  if (waited_for && fleet_.LeaseOver(m, now, began_)) {
    spdlog::info("machine {}: its lease under the former leader surely ran out", m.name);
    fleet_.Account(mi);
  }
  if (m.returning) return;
  // What is wanted there and could not be told, or must be told again.
  if (now >= m.do_after && (!m.accounted || fleet_.HasCommands(mi, true))) fleet_.MarkChanged(mi);
  const double silent = now - std::max(m.heard_at, began_);
  const double overdue = OverdueSeconds(*settings_);
  const double often = m.busy > 0 ? probe_every_ : std::max(tuning_->silent_s, overdue);
  const bool urgent = m.suspect || m.failing_since >= 0 || silent > overdue;
  // Reports alone don't show that it hears. Asked in time, it can be given up before
  // its lease ends what runs there.
  const bool unproven = m.busy > 0 && now - m.hears_at > settings_->lease_s / 3;
  if (!urgent && !unproven && silent < std::min(often, overdue)) return;
  Lost(mi);
  if (!m.returning) Probe(mi, urgent);
}

void Leader::Sweep() {
  const double now = ports_.clock->Now();
  FindCuts();
  size_t up = 0;
  size_t busy = 0;
  silent_machines_ = deaf_machines_ = waited_for_ = 0;
  for (MachIdx mi : fleet_.active()) {
    const Machine& m = fleet_[mi];
    if (m.may_hold && !m.accounted) ++waited_for_;
    if (m.returning || !m.up) continue;
    ++up;
    if (m.busy > 0) ++busy;
    if (m.probe_fails > 0) ++silent_machines_;
    if (m.failing_since >= 0 && m.fails >= 2) ++deaf_machines_;
  }
  looked_at_ += fleet_.active().size();
  const auto fleet = static_cast<double>(up);
  answered_ *= kQuestionsDecay;
  unanswered_ *= kQuestionsDecay;
  const bool hardly_any =
      unanswered_ > kQuestionsToJudge && answered_ < unanswered_ * kFewAnswersShare;
  const bool none = in_a_row_ > kQuestionsToJudge && now - last_answer_ > kNoAnswerFor;
  const bool way_lost = up >= kFleetToJudge && (hardly_any || none);
  // Most of a former leader's machines not heard yet: they may all be deaf, or the way is
  // blocked, and their reports come later than what a few are given.
  const auto waited_for = static_cast<double>(waited_for_);
  const bool most_waited_for =
      waited_for_ >= kFleetToJudge && waited_for > (waited_for + fleet) * kMostOfFleet;
  many_silent_ =
      way_lost || most_waited_for ||
      (up >= kFleetToJudge && static_cast<double>(silent_machines_) > fleet * kManyOfFleet);
  const bool unreached = way_lost || (up >= kFleetToJudge &&
                                      static_cast<double>(deaf_machines_) > fleet * kMostOfFleet);
  if (!unreached) {
    unreached_since_ = -1;
  } else if (unreached_since_ < 0) {
    unreached_since_ = now;
    spdlog::warn("hardly a machine answers of late ({} of {} known to be out of reach)",
                 deaf_machines_, up);
  }
  few_ = std::max(kFewAtLeast, static_cast<size_t>(static_cast<double>(up) * kFewOfFleet));
  few_deaf_ = std::max(kFewAtLeast, static_cast<size_t>(fleet * kFewDeaf));
  // As often as the budget allows, and rather while machines are being lost.
  const double rate = MessagesPerSecond(*settings_, *tuning_) * tuning_->probe_share;
  probe_every_ = static_cast<double>(busy) / rate;
  if (now - lost_at_ < kFasterProbesFor) probe_every_ /= kFasterProbes;
  probe_every_ = std::max(tuning_->probe_s, probe_every_);
  for (MachIdx mi : fleet_.active()) {
    Watch(mi);
    if (fleet_[mi].notice_until >= 0) Notice(mi);
  }
  gangs_.Tick();
  drainer_.Tick();
  ForgetFailures();
  CollectEndedJobs();
}

void Leader::ForgetFailures() {
  const double now = ports_.clock->Now();
  for (JobIdx j : book_.live()) {
    Job& job = book_[j];
    if (!job.spec.service || job.fail_streak == 0) continue;
    if (job.running > 0 && now - job.failed_at > kProvenAfter) job.fail_streak = 0;
  }
}

double Leader::UnreachedFor() const {
  return unreached_since_ < 0 ? 0 : ports_.clock->Now() - unreached_since_;
}

void Leader::Notice(MachIdx mi) {
  Machine& m = fleet_[mi];
  const double left = m.notice_until - ports_.clock->Now();
  for (PlacedAttempt& s : m.attempts) {
    if (s.gone || !s.keep || s.job == kNone) continue;
    const Job& job = book_[s.job];
    if (job.spec.gang) {
      gangs_.MachineTaken(mi, &s, left);
      continue;
    }
    if (job.spec.checkpoint_interval_s > 0) {
      // The notice may be half as long as it says.
      fleet_.Unwant(mi, &s, job.spec.checkpoint_grace_s + 1);
      continue;
    }
    const double ran = s.running_since < 0 ? 0 : ports_.clock->Now() - s.running_since;
    if (job.spec.service || ranking_.TaskSeconds(job) - ran > left) fleet_.Unwant(mi, &s, 0);
  }
}

}  // namespace deckhall
