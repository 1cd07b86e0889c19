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
  const MachineIndex mi = fleet_.Find(r.machine);
  if (mi == kNoIndex) return true;
  const Machine& m = fleet_[mi];
  if (m.type != kNoIndex && (book_.types.Find(r.type) != m.type || m.spot != r.spot ||
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
  MachineIndex mi = fleet_.Find(r.machine);
  if (mi == kNoIndex) {
    if (!trusted) return reply;
    mi = rentals_.Unexpected(r);
  }
  // A late copy from a machine that is gone.
  if (fleet_[mi].removed) return reply;
  if (!TakenBack(mi)) {
    if (trusted) TakeBack(fleet_[mi].zone);
    return reply;
  }
  const bool fresh = fleet_.Process(mi, r);
  Machine& m = fleet_[mi];
  reply.status = 200;
  reply.fencing_token = m.fencing_token;
  if (!fresh) {
    // Overtaken by an answer to a command, or a late copy: it renews nothing here,
    // and gets no commands.
    if (m.suspected) RejectReport(r.machine, "sent an old report");
    // To the worker it may be an answer that renews its lease all the same.
    reply.commands = fleet_.StopsOfEnded(r);
    return reply;
  }
  if (m.endpoint != r.endpoint) {
    m.endpoint = r.endpoint;
    if (m.record_id != kNoRecord || m.registered)
      rentals_.SaveMachine(mi, WritePriority::kDeferred);
  }
  if (!m.reconciled) {
    // Nothing is adopted before it has shown this term's token. But this answer renews
    // its lease, perhaps the last one before this leader ends: what was cancelled must
    // not live on by it.
    reply.commands = fleet_.StopsOfEnded(r);
    m.lease_renewed_at = now;
    return reply;
  }
  // Nobody named it before: kept once it has shown that it hears us. A late copy's
  // ghost never does.
  if (m.record_id == kNoRecord && Fleet::Hears(m))
    rentals_.SaveMachine(mi, WritePriority::kDeferred);
  if (m.command_in_flight || m.scaling_in) {
    // What was sent straight may be lost on its way, again and again while the way is
    // blocked, and the cloud may be out: stops go with every report, or a cancelled
    // task could outlive its time.
    reply.commands = fleet_.Stops(mi);
  } else {
    // Stops and clears need no lease; launches do.
    reply.commands = fleet_.Commands(mi, trusted);
    reply.fencing_token = m.fencing_token;
  }
  m.lease_renewed_at = now;
  return reply;
}

void Leader::TaskEnded(MachineIndex mi, const TaskAttempt& slot) {
  Machine& m = fleet_[mi];
  const double now = ports_.clock->Now();
  if (slot.job == kNoIndex) return;
  Job& job = book_[slot.job];
  gangs_.TaskEnded(slot);
  switch (slot.exit_reason) {
    case ExitReason::kDone:
      m.task_failures = 0;
      m.quarantine_count = 0;
      job.consecutive_failures = 0;
      job.failed_machines.clear();
      if (slot.running_since >= 0) ranking_.Observed(job, now - slot.running_since);
      if (job.lifecycle != JobLifecycle::kActive) ranking_.JobsChanged();
      break;
    case ExitReason::kNoRoom:
      m.no_room_until = now + 2;
      spdlog::info("machine {}: no room for {}", m.name, slot.task_name);
      break;
    case ExitReason::kInUse:
    case ExitReason::kUnknown:
      job.backoff_until = std::max(job.backoff_until, now + 1);
      spdlog::info("machine {}: {} refused ({})", m.name, slot.task_name,
                   slot.exit_reason == ExitReason::kInUse ? "in use" : "unknown");
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
void Leader::TaskFailed(MachineIndex mi, const TaskAttempt& slot) {
  Machine& m = fleet_[mi];
  Job& job = book_[slot.job];
  const double now = ports_.clock->Now();
  ++job.consecutive_failures;
  job.last_failure_at = now;
  const bool new_place = std::find(job.failed_machines.begin(), job.failed_machines.end(), mi) ==
                         job.failed_machines.end();
  if (new_place) job.failed_machines.push_back(mi);
  if (job.failed_machines.size() > 16) job.failed_machines.erase(job.failed_machines.begin());
  // A job that fails wherever it goes says nothing about the machine.
  if (job.failed_machines.size() <= 2 && new_place) ++m.task_failures;
  if (job.consecutive_failures >= 3) {
    const double wait =
        std::min(60.0, std::pow(2.0, std::min<uint32_t>(job.consecutive_failures, 9) - 3));
    job.backoff_until = now + wait;
  }
  spdlog::info("machine {}: {} failed (job {} in a row, machine {})", m.name, slot.task_name,
               job.consecutive_failures, m.task_failures);
  if (m.task_failures >= 2) {
    m.task_failures = 0;
    ++m.quarantine_count;
    m.quarantined_until = now + 20.0 * m.quarantine_count;
    spdlog::warn("machine {}: quarantined for {} s", m.name, 20 * m.quarantine_count);
  }
}

void Leader::ReleaseUnseen() {
  // A task not seen anywhere is free once no machine is left that it could be on.
  // Machines of one type, zone and kind are alike in this.
  std::vector<MachineIndex> kinds;
  for (MachineIndex mi : fleet_.active()) {
    const Machine& m = fleet_[mi];
    if (!m.may_run_former_attempts || m.reconciled) continue;
    const bool known = std::any_of(kinds.begin(), kinds.end(), [this, &m](MachineIndex k) {
      return fleet_[k].type == m.type && fleet_[k].zone == m.zone && fleet_[k].spot == m.spot;
    });
    if (!known) kinds.push_back(mi);
  }
  auto look = [this, &kinds](const std::vector<JobIndex>& list) {
    for (JobIndex j : list) {
      Job& job = book_[j];
      if (!job.has_spec || job.tasks_unreconciled == 0) continue;
      const bool possible = std::any_of(kinds.begin(), kinds.end(), [this, &job](MachineIndex k) {
        return FreeCapacity::MayBeOn(job, fleet_[k]);
      });
      if (possible) continue;
      for (uint32_t t = 0; t < job.tasks.size(); ++t) book_.ReleaseUnreconciledTask(j, t);
      fleet_.changed = true;
    }
  };
  look(book_.active_jobs());
  look(book_.ended_jobs());
}

void Leader::Direct(MachineIndex mi) {
  Machine& m = fleet_[mi];
  ++looked_at_;
  // Answers come at any time, also past the lease: nothing is launched then.
  if (!ports_.lease->Trusted()) return;
  const double now = ports_.clock->Now();
  if (m.command_in_flight || m.removed || m.scaling_in || m.endpoint.empty() ||
      now < m.command_backoff_until)
    return;
  const bool greet = !m.reconciled && (m.may_run_former_attempts || m.up);
  // A launch there could outlive what was said of its lease.
  const bool launch = TakenBack(mi);
  if (!greet && (!m.up || !fleet_.HasCommands(mi, launch))) return;
  std::vector<Command> commands = fleet_.Commands(mi, launch);
  if (commands.empty() && !greet && Fleet::Hears(m)) return;
  m.command_in_flight = true;
  direct_.Take(now, 1, -1e9);
  const Stamp asked = fleet_.StampOf(mi);
  ports_.workers->Do(m.endpoint, m.fencing_token, m.agent_epoch, commands, kDoTimeout,
                     [this, mi, asked](const WorkerAnswer& answer) {
                       if (!retired_) DirectDone(mi, answer, asked);
                     });
}

void Leader::DirectDone(MachineIndex mi, const WorkerAnswer& answer, Stamp asked) {
  Machine& m = fleet_[mi];
  const double now = ports_.clock->Now();
  m.command_in_flight = false;
  if (m.removed) return;
  const bool named = answer.has_report && answer.report.machine == m.name;
  Counted(m, named);
  if (!named) {
    ++m.command_failures;
    m.command_backoff_until =
        now + std::min(4.0, 0.25 * std::pow(2.0, std::min(m.command_failures, 6)));
    fleet_.ProbeFailed(mi);
    if (answer.has_report) RejectReport(m.name, "is not who answers at its address");
    if (answer.sent) fleet_.Unanswered(mi);
    return;
  }
  if (!Plausible(answer.report)) {
    // Given up on when it stays so.
    m.command_backoff_until = now + 4;
    fleet_.ProbeFailed(mi);
    return;
  }
  m.command_failures = 0;
  if (answer.status == 409) m.command_backoff_until = now + 0.2;
  fleet_.Answered(mi, answer.report, asked);
  if (m.record_id == kNoRecord && m.reconciled) rentals_.SaveMachine(mi, WritePriority::kDeferred);
  Direct(mi);
}

void Leader::Probe(MachineIndex mi, bool urgent) {
  Machine& m = fleet_[mi];
  const double now = ports_.clock->Now();
  if (m.probe_in_flight || m.command_in_flight || m.endpoint.empty() || now < m.probe_backoff_until)
    return;
  // Half of the budget is kept for machines that are overdue.
  const double reserve =
      urgent ? 0 : MessagesPerSecond(*settings_, *tuning_) * tuning_->probe_share;
  if (!probes_.Take(now, 1, reserve)) return;
  m.probe_in_flight = true;
  const Stamp asked = fleet_.StampOf(mi);
  ports_.workers->Inspect(m.endpoint, kProbeTimeout, [this, mi, asked](const WorkerAnswer& a) {
    if (retired_) return;
    Machine& machine = fleet_[mi];
    machine.probe_in_flight = false;
    if (machine.removed) return;
    Counted(machine, a.has_report);
    if (!a.has_report || a.report.machine != machine.name || !Plausible(a.report)) {
      ++machine.probe_failures;
      // Those known to be silent must not take the whole budget.
      machine.probe_backoff_until =
          ports_.clock->Now() +
          std::min(kLongestProbePause,
                   0.1 * std::pow(2.0, std::min(machine.unreachable_count, 6) - 1));
      fleet_.ProbeFailed(mi);
      return;
    }
    fleet_.Answered(mi, a.report, asked);
  });
}

void Leader::Lost(MachineIndex mi) {
  Machine& m = fleet_[mi];
  const double now = ports_.clock->Now();
  const bool waited_for = m.may_run_former_attempts && !m.reconciled;
  const double silent = now - std::max(m.last_heard_at, began_);
  // Behind a cut its tasks run on until its lease ends; returning it sooner would end
  // them before there is room elsewhere. What a former leader inside the cut answers
  // lives longer still; other former leaders' machines block what may be on them.
  const bool answered_inside = m.zone != kNoIndex && !ports_.former_leader_zone.empty() &&
                               book_.zones[m.zone] == ports_.former_leader_zone;
  if (m.partitioned && (!waited_for || answered_inside || m.unrenewed_since_wall >= 0)) {
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
  if (silent > limit && m.probe_failures >= 2) {
    // Returning it ends whatever it still holds: sooner than its lease would.
    rentals_.Return(mi, "silent");
    lost_at_ = now;
    return;
  }
  // It reports, but nothing of ours reaches it: its tasks would die with its lease.
  // Many such at once are rather a fault of the way, or of ourselves.
  limit = behind_cut ? std::max(tuning_->deaf_s, tuning_->lost_behind_cut_s) : tuning_->deaf_s;
  if (m.unreachable_since >= 0 && m.unreachable_count >= 3 && now - m.unreachable_since > limit &&
      m.last_heard_at > m.unreachable_since && deaf_machines_ <= few_deaf_) {
    rentals_.Return(mi, "deaf: it reports, but nothing reaches it");
  }
}

void Leader::Watch(MachineIndex mi) {
  Machine& m = fleet_[mi];
  const double now = ports_.clock->Now();
  const bool waited_for = m.may_run_former_attempts && !m.reconciled;
  if (!m.up && !waited_for) return;
  // Also while its return waits for the cloud.
  if (!m.attempts.empty() && m.reconciled && fleet_.LeaseOver(m, now, began_)) {
    fleet_.LoseAll(mi, "its lease ran out");
  }
  if (waited_for && fleet_.LeaseOver(m, now, began_)) {
    spdlog::info("machine {}: its lease under the former leader surely ran out", m.name);
    fleet_.Account(mi);
  }
  if (m.scaling_in) return;
  // What is wanted there and could not be told, or must be told again.
  if (now >= m.command_backoff_until && (!m.reconciled || fleet_.HasCommands(mi, true)))
    fleet_.MarkChanged(mi);
  const double silent = now - std::max(m.last_heard_at, began_);
  const double overdue = OverdueSeconds(*settings_);
  const double often = m.active_attempts > 0 ? probe_every_ : std::max(tuning_->silent_s, overdue);
  const bool urgent = m.suspected || m.unreachable_since >= 0 || silent > overdue;
  // Reports alone don't show that it hears. Asked in time, it can be given up before
  // its lease ends what runs there.
  const bool unproven =
      m.active_attempts > 0 && now - m.last_acknowledged_at > settings_->lease_s / 3;
  if (!urgent && !unproven && silent < std::min(often, overdue)) return;
  Lost(mi);
  if (!m.scaling_in) Probe(mi, urgent);
}

void Leader::Sweep() {
  const double now = ports_.clock->Now();
  FindCuts();
  size_t up = 0;
  size_t busy = 0;
  silent_machines_ = deaf_machines_ = waited_for_ = 0;
  for (MachineIndex mi : fleet_.active()) {
    const Machine& m = fleet_[mi];
    if (m.may_run_former_attempts && !m.reconciled) ++waited_for_;
    if (m.scaling_in || !m.up) continue;
    ++up;
    if (m.active_attempts > 0) ++busy;
    if (m.probe_failures > 0) ++silent_machines_;
    if (m.unreachable_since >= 0 && m.unreachable_count >= 2) ++deaf_machines_;
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
  for (MachineIndex mi : fleet_.active()) {
    Watch(mi);
    if (fleet_[mi].preemption_at >= 0) Notice(mi);
  }
  gangs_.Tick();
  drainer_.Tick();
  ForgetFailures();
  CollectEndedJobs();
}

void Leader::ForgetFailures() {
  const double now = ports_.clock->Now();
  for (JobIndex j : book_.active_jobs()) {
    Job& job = book_[j];
    if (!job.spec.service || job.consecutive_failures == 0) continue;
    if (job.tasks_running > 0 && now - job.last_failure_at > kProvenAfter)
      job.consecutive_failures = 0;
  }
}

double Leader::UnreachedFor() const {
  return unreached_since_ < 0 ? 0 : ports_.clock->Now() - unreached_since_;
}

void Leader::Notice(MachineIndex mi) {
  Machine& m = fleet_[mi];
  const double left = m.preemption_at - ports_.clock->Now();
  for (TaskAttempt& s : m.attempts) {
    if (s.released || !s.wanted || s.job == kNoIndex) continue;
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
