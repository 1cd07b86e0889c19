// The leader and its machines: reports, commands, and who is still there.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "leader/leader.h"

namespace deckhall {
namespace {

constexpr double kCommandTimeoutSeconds = 1.5;
constexpr double kProbeTimeoutSeconds = 0.7;
// With a larger part of the fleet silent or deaf at once, the trouble is rather on
// the way or here.
constexpr double kQuickDeathShare = 0.08;
constexpr double kOneWayShare = 0.02;
constexpr size_t kMinToleratedMachines = 2;
constexpr double kManySilentShare = 0.3;
constexpr double kMostOfFleetShare = 0.5;
constexpr size_t kMinFleetToJudge = 6;
// Of the questions of the last second: with hardly an answer among so many, the way is
// lost, however few of a large fleet could be asked yet.
constexpr double kProbeCountDecay = 0.5;
constexpr double kMinProbesToJudge = 12;
constexpr double kFewResponsesShare = 0.1;
// The same, with no answer at all for so long.
constexpr double kNoResponseSeconds = 1;
// A machine behind a cut is given up after so many leases: its tasks are gone after
// the first, but the machine itself is soon back with its images.
constexpr double kPartitionLeases = 3;

// A service that runs, and of which nothing failed for so long, is in order: its replicas
// do not complete, so no success tells it.
constexpr double kProvenAfterSeconds = 30;

// Between two questions to a machine that does not answer, at the most.
constexpr double kMaxProbeBackoffSeconds = 4;

// While machines are being lost, the others are asked after so much more often.
constexpr double kFasterProbeFactor = 3;
constexpr double kFasterProbeSeconds = 3;

}  // namespace

void Leader::LogImplausibleHeartbeat(const std::string& machine, const char* why) {
  ++implausible_heartbeats_;
  const double now = ports_.clock->Now();
  if (now - implausible_logged_at_ < 1) return;
  implausible_logged_at_ = now;
  spdlog::warn("machine {}: {}; ignored ({} such messages so far)", machine, why,
               implausible_heartbeats_);
}

bool Leader::IsPlausible(const Heartbeat& heartbeat) {
  if (TermOf(heartbeat.fencing_token) > term_) {
    // While our lease is trusted nobody can have begun a later term, so no
    // controller gave that token. Without it, somebody may have.
    if (ports_.lease->IsLeaseValid()) {
      LogImplausibleHeartbeat(heartbeat.machine, "has a token that no controller gave");
    } else if (on_leadership_lost) {
      on_leadership_lost("a worker has seen a higher token");
    }
    return false;
  }
  const MachineIndex machine_index = fleet_.Find(heartbeat.machine);
  if (machine_index == kNoIndex) return true;
  const Machine& machine = fleet_[machine_index];
  if (machine.type != kNoIndex &&
      (job_store_.types.Find(heartbeat.type) != machine.type || machine.spot != heartbeat.spot ||
       job_store_.zones.Find(heartbeat.zone) != machine.zone)) {
    LogImplausibleHeartbeat(heartbeat.machine, "says it is of another type, zone or kind");
    return false;
  }
  return true;
}

HeartbeatResponse Leader::HandleHeartbeat(const Heartbeat& heartbeat) {
  HeartbeatResponse response;
  const double now = ports_.clock->Now();
  if (!IsPlausible(heartbeat)) {
    response.status = 421;
    return response;
  }
  const bool trusted = ports_.lease->IsLeaseValid();
  if (!loaded_ || (!trusted && now > HeartbeatGraceEnd())) return response;
  MachineIndex machine_index = fleet_.Find(heartbeat.machine);
  if (machine_index == kNoIndex) {
    if (!trusted) return response;
    machine_index = provisioner_.AddUnexpectedMachine(heartbeat);
  }
  // A late copy from a machine that is gone.
  if (fleet_[machine_index].removed) return response;
  if (!HasNoLeaseExpiryBound(machine_index)) {
    if (trusted) WithdrawLeaseExpiryBounds(fleet_[machine_index].zone);
    return response;
  }
  const bool fresh = fleet_.ApplyHeartbeat(machine_index, heartbeat);
  Machine& machine = fleet_[machine_index];
  response.status = 200;
  response.fencing_token = machine.fencing_token;
  if (!fresh) {
    // Overtaken by an answer to a command, or a late copy: it renews nothing here,
    // and gets no commands.
    if (machine.suspected) LogImplausibleHeartbeat(heartbeat.machine, "sent an old report");
    // To the worker it may be an answer that renews its lease all the same.
    response.commands = fleet_.BuildStopsOfEndedJobs(heartbeat);
    return response;
  }
  if (machine.endpoint != heartbeat.endpoint) {
    machine.endpoint = heartbeat.endpoint;
    if (machine.record_id != kNoRecord || machine.registered)
      provisioner_.SaveMachine(machine_index, WritePriority::kDeferred);
  }
  if (!machine.reconciled) {
    // Nothing is adopted before it has shown this term's token. But this answer renews
    // its lease, perhaps the last one before this leader ends: what was cancelled must
    // not live on by it.
    response.commands = fleet_.BuildStopsOfEndedJobs(heartbeat);
    machine.lease_renewed_at = now;
    return response;
  }
  // Nobody named it before: kept once it has shown that it hears us. A late copy's
  // ghost never does.
  if (machine.record_id == kNoRecord && Fleet::HasAcknowledgedToken(machine))
    provisioner_.SaveMachine(machine_index, WritePriority::kDeferred);
  if (machine.command_in_flight || machine.scaling_in) {
    // What was sent straight may be lost on its way, again and again while the way is
    // blocked, and the cloud may be out: stops go with every report, or a cancelled
    // task could outlive its time.
    response.commands = fleet_.BuildStops(machine_index);
  } else {
    // Stops and clears need no lease; launches do.
    response.commands = fleet_.BuildCommands(machine_index, trusted);
    response.fencing_token = machine.fencing_token;
  }
  machine.lease_renewed_at = now;
  return response;
}

void Leader::HandleAttemptExit(MachineIndex machine_index, const TaskAttempt& attempt) {
  Machine& machine = fleet_[machine_index];
  const double now = ports_.clock->Now();
  if (attempt.job == kNoIndex) return;
  Job& job = job_store_[attempt.job];
  gang_supervisor_.HandleTaskExit(attempt);
  switch (attempt.exit_reason) {
    case ExitReason::kDone:
      machine.task_failures = 0;
      machine.quarantine_count = 0;
      job.consecutive_failures = 0;
      job.failed_machines.clear();
      if (attempt.running_since >= 0) ranking_.RecordRuntime(job, now - attempt.running_since);
      if (job.lifecycle != JobLifecycle::kActive) ranking_.Invalidate();
      break;
    case ExitReason::kNoRoom:
      machine.no_room_until = now + 2;
      spdlog::info("machine {}: no room for {}", machine.name, attempt.task_name);
      break;
    case ExitReason::kInUse:
    case ExitReason::kUnknown:
      job.backoff_until = std::max(job.backoff_until, now + 1);
      spdlog::info("machine {}: {} refused ({})", machine.name, attempt.task_name,
                   attempt.exit_reason == ExitReason::kInUse ? "in use" : "unknown");
      break;
    case ExitReason::kError:
      RecordTaskFailure(machine_index, attempt);
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
void Leader::RecordTaskFailure(MachineIndex machine_index, const TaskAttempt& attempt) {
  Machine& machine = fleet_[machine_index];
  Job& job = job_store_[attempt.job];
  const double now = ports_.clock->Now();
  ++job.consecutive_failures;
  job.last_failure_at = now;
  const bool new_place = std::find(job.failed_machines.begin(), job.failed_machines.end(),
                                   machine_index) == job.failed_machines.end();
  if (new_place) job.failed_machines.push_back(machine_index);
  if (job.failed_machines.size() > 16) job.failed_machines.erase(job.failed_machines.begin());
  // A job that fails wherever it goes says nothing about the machine.
  if (job.failed_machines.size() <= 2 && new_place) ++machine.task_failures;
  if (job.consecutive_failures >= 3) {
    const double wait =
        std::min(60.0, std::pow(2.0, std::min<uint32_t>(job.consecutive_failures, 9) - 3));
    job.backoff_until = now + wait;
  }
  spdlog::info("machine {}: {} failed (job {} in a row, machine {})", machine.name,
               attempt.task_name, job.consecutive_failures, machine.task_failures);
  if (machine.task_failures >= 2) {
    machine.task_failures = 0;
    ++machine.quarantine_count;
    machine.quarantined_until = now + 20.0 * machine.quarantine_count;
    spdlog::warn("machine {}: quarantined for {} s", machine.name, 20 * machine.quarantine_count);
  }
}

void Leader::ReleaseUnreconciledTasks() {
  // A task not seen anywhere is free once no machine is left that it could be on.
  // Machines of one type, zone and kind are alike in this.
  std::vector<MachineIndex> kinds;
  for (MachineIndex machine_index : fleet_.active()) {
    const Machine& machine = fleet_[machine_index];
    if (!machine.may_run_former_attempts || machine.reconciled) continue;
    const bool known = std::any_of(kinds.begin(), kinds.end(), [this, &machine](MachineIndex k) {
      return fleet_[k].type == machine.type && fleet_[k].zone == machine.zone &&
             fleet_[k].spot == machine.spot;
    });
    if (!known) kinds.push_back(machine_index);
  }
  auto look = [this, &kinds](const std::vector<JobIndex>& list) {
    for (JobIndex job_index : list) {
      Job& job = job_store_[job_index];
      if (!job.has_spec || job.tasks_unreconciled == 0) continue;
      const bool possible = std::any_of(kinds.begin(), kinds.end(), [this, &job](MachineIndex k) {
        return FreeCapacity::MayRunOn(job, fleet_[k]);
      });
      if (possible) continue;
      for (uint32_t t = 0; t < job.tasks.size(); ++t)
        job_store_.ReleaseUnreconciledTask(job_index, t);
      fleet_.placement_needed = true;
    }
  };
  look(job_store_.active_jobs());
  look(job_store_.ended_jobs());
}

void Leader::PushCommands(MachineIndex machine_index) {
  Machine& machine = fleet_[machine_index];
  ++examined_;
  // Answers come at any time, also past the lease: nothing is launched then.
  if (!ports_.lease->IsLeaseValid()) return;
  const double now = ports_.clock->Now();
  if (machine.command_in_flight || machine.removed || machine.scaling_in ||
      machine.endpoint.empty() || now < machine.command_backoff_until)
    return;
  const bool greet = !machine.reconciled && (machine.may_run_former_attempts || machine.up);
  // A launch there could outlive what was said of its lease.
  const bool launch = HasNoLeaseExpiryBound(machine_index);
  if (!greet && (!machine.up || !fleet_.HasCommands(machine_index, launch))) return;
  std::vector<Command> commands = fleet_.BuildCommands(machine_index, launch);
  if (commands.empty() && !greet && Fleet::HasAcknowledgedToken(machine)) return;
  machine.command_in_flight = true;
  command_budget_.Take(now, 1, -1e9);
  const HeartbeatVersion asked = fleet_.VersionOf(machine_index);
  ports_.workers->SendCommands(machine.endpoint, machine.fencing_token, machine.agent_epoch,
                               commands, kCommandTimeoutSeconds,
                               [this, machine_index, asked](const WorkerResponse& response) {
                                 if (!retired_)
                                   HandleCommandResponse(machine_index, response, asked);
                               });
}

void Leader::HandleCommandResponse(MachineIndex machine_index, const WorkerResponse& response,
                                   HeartbeatVersion asked) {
  Machine& machine = fleet_[machine_index];
  const double now = ports_.clock->Now();
  machine.command_in_flight = false;
  if (machine.removed) return;
  const bool named = response.has_heartbeat && response.heartbeat.machine == machine.name;
  RecordProbeOutcome(machine, named);
  if (!named) {
    ++machine.command_failures;
    machine.command_backoff_until =
        now + std::min(4.0, 0.25 * std::pow(2.0, std::min(machine.command_failures, 6)));
    fleet_.RecordUnreachable(machine_index);
    if (response.has_heartbeat)
      LogImplausibleHeartbeat(machine.name, "is not who answers at its address");
    if (response.sent) fleet_.FenceOffSentCommands(machine_index);
    return;
  }
  if (!IsPlausible(response.heartbeat)) {
    // Given up on when it stays so.
    machine.command_backoff_until = now + 4;
    fleet_.RecordUnreachable(machine_index);
    return;
  }
  machine.command_failures = 0;
  if (response.status == 409) machine.command_backoff_until = now + 0.2;
  fleet_.ApplyProbeResponse(machine_index, response.heartbeat, asked);
  if (machine.record_id == kNoRecord && machine.reconciled)
    provisioner_.SaveMachine(machine_index, WritePriority::kDeferred);
  PushCommands(machine_index);
}

void Leader::ProbeMachine(MachineIndex machine_index, bool urgent) {
  Machine& machine = fleet_[machine_index];
  const double now = ports_.clock->Now();
  if (machine.probe_in_flight || machine.command_in_flight || machine.endpoint.empty() ||
      now < machine.probe_backoff_until)
    return;
  // Half of the budget is kept for machines that are overdue.
  const double reserve =
      urgent ? 0 : MessagesPerSecond(*settings_, *tuning_) * tuning_->probe_share;
  if (!probe_budget_.Take(now, 1, reserve)) return;
  machine.probe_in_flight = true;
  const HeartbeatVersion asked = fleet_.VersionOf(machine_index);
  ports_.workers->Probe(
      machine.endpoint, kProbeTimeoutSeconds,
      [this, machine_index, asked](const WorkerResponse& response) {
        if (retired_) return;
        Machine& probed = fleet_[machine_index];
        probed.probe_in_flight = false;
        if (probed.removed) return;
        RecordProbeOutcome(probed, response.has_heartbeat);
        if (!response.has_heartbeat || response.heartbeat.machine != probed.name ||
            !IsPlausible(response.heartbeat)) {
          ++probed.probe_failures;
          // Those known to be silent must not take the whole budget.
          probed.probe_backoff_until =
              ports_.clock->Now() +
              std::min(kMaxProbeBackoffSeconds,
                       0.1 * std::pow(2.0, std::min(probed.unreachable_count, 6) - 1));
          fleet_.RecordUnreachable(machine_index);
          return;
        }
        fleet_.ApplyProbeResponse(machine_index, response.heartbeat, asked);
      });
}

void Leader::GiveUpIfDead(MachineIndex machine_index) {
  Machine& machine = fleet_[machine_index];
  const double now = ports_.clock->Now();
  const bool waited_for = machine.may_run_former_attempts && !machine.reconciled;
  const double silent = now - std::max(machine.last_heard_at, term_began_at_);
  // Behind a cut its tasks run on until its lease ends; returning it sooner would end
  // them before there is room elsewhere. What a former leader inside the cut answers
  // lives longer still; other former leaders' machines block what may be on them.
  const bool answered_inside = machine.zone != kNoIndex && !ports_.former_leader_zone.empty() &&
                               job_store_.zones[machine.zone] == ports_.former_leader_zone;
  if (machine.partitioned &&
      (!waited_for || answered_inside || machine.unrenewed_since_wall >= 0)) {
    if (silent > settings_->lease_s * kPartitionLeases && !waited_for) {
      provisioner_.ScaleIn(machine_index, "silent behind a cut");
    }
    return;
  }
  double limit = waited_for                             ? tuning_->failover_wait_s
                 : silent_machines_ > max_quick_deaths_ ? tuning_->death_s
                                                        : tuning_->quick_death_s;
  // Behind a cut its worker first has to find another node, and probes from here
  // say nothing: returning it would kill what runs well.
  const bool behind_cut = IsZoneSuspected(machine);
  // So does losing the way to the workers ourselves: those that reported here need
  // two timeouts to find another node.
  // A few machines that a new leader waits for hold up all that may be on them.
  const bool few_waited_for = waited_for && unreconciled_machines_ <= max_quick_deaths_;
  if ((behind_cut && !few_waited_for) || many_silent_)
    limit = std::max(limit, tuning_->partition_death_s);
  if (silent > limit && machine.probe_failures >= 2) {
    // Returning it ends whatever it still holds: sooner than its lease would.
    provisioner_.ScaleIn(machine_index, "silent");
    last_death_at_ = now;
    return;
  }
  // It reports, but nothing of ours reaches it: its tasks would die with its lease.
  // Many such at once are rather a fault of the way, or of ourselves.
  limit = behind_cut ? std::max(tuning_->one_way_death_s, tuning_->partition_death_s)
                     : tuning_->one_way_death_s;
  if (machine.unreachable_since >= 0 && machine.unreachable_count >= 3 &&
      now - machine.unreachable_since > limit &&
      machine.last_heard_at > machine.unreachable_since &&
      one_way_machines_ <= max_one_way_machines_) {
    provisioner_.ScaleIn(machine_index, "deaf: it reports, but nothing reaches it");
  }
}

void Leader::CheckMachine(MachineIndex machine_index) {
  Machine& machine = fleet_[machine_index];
  const double now = ports_.clock->Now();
  const bool waited_for = machine.may_run_former_attempts && !machine.reconciled;
  if (!machine.up && !waited_for) return;
  // Also while its return waits for the cloud.
  if (!machine.attempts.empty() && machine.reconciled &&
      fleet_.IsLeaseExpired(machine, now, term_began_at_)) {
    fleet_.ReleaseAttempts(machine_index, "its lease ran out");
  }
  if (waited_for && fleet_.IsLeaseExpired(machine, now, term_began_at_)) {
    spdlog::info("machine {}: its lease under the former leader surely ran out", machine.name);
    fleet_.MarkReconciled(machine_index);
  }
  if (machine.scaling_in) return;
  // What is wanted there and could not be told, or must be told again.
  if (now >= machine.command_backoff_until &&
      (!machine.reconciled || fleet_.HasCommands(machine_index, true)))
    fleet_.MarkChanged(machine_index);
  const double silent = now - std::max(machine.last_heard_at, term_began_at_);
  const double overdue = HeartbeatOverdueSeconds(*settings_);
  const double often =
      machine.active_attempts > 0 ? probe_interval_s_ : std::max(tuning_->silent_after_s, overdue);
  const bool urgent = machine.suspected || machine.unreachable_since >= 0 || silent > overdue;
  // Reports alone don't show that it hears. Asked in time, it can be given up before
  // its lease ends what runs there.
  const bool unproven =
      machine.active_attempts > 0 && now - machine.last_acknowledged_at > settings_->lease_s / 3;
  if (!urgent && !unproven && silent < std::min(often, overdue)) return;
  GiveUpIfDead(machine_index);
  if (!machine.scaling_in) ProbeMachine(machine_index, urgent);
}

void Leader::CheckLiveness() {
  const double now = ports_.clock->Now();
  DetectPartitions();
  size_t up = 0;
  size_t busy = 0;
  silent_machines_ = one_way_machines_ = unreconciled_machines_ = 0;
  for (MachineIndex machine_index : fleet_.active()) {
    const Machine& machine = fleet_[machine_index];
    if (machine.may_run_former_attempts && !machine.reconciled) ++unreconciled_machines_;
    if (machine.scaling_in || !machine.up) continue;
    ++up;
    if (machine.active_attempts > 0) ++busy;
    if (machine.probe_failures > 0) ++silent_machines_;
    if (machine.unreachable_since >= 0 && machine.unreachable_count >= 2) ++one_way_machines_;
  }
  examined_ += fleet_.active().size();
  const auto fleet = static_cast<double>(up);
  recent_responses_ *= kProbeCountDecay;
  recent_timeouts_ *= kProbeCountDecay;
  const bool hardly_any = recent_timeouts_ > kMinProbesToJudge &&
                          recent_responses_ < recent_timeouts_ * kFewResponsesShare;
  const bool none =
      timeouts_in_a_row_ > kMinProbesToJudge && now - last_response_at_ > kNoResponseSeconds;
  const bool way_lost = up >= kMinFleetToJudge && (hardly_any || none);
  // Most of a former leader's machines not heard yet: they may all be deaf, or the way is
  // blocked, and their reports come later than what a few are given.
  const auto waited_for = static_cast<double>(unreconciled_machines_);
  const bool most_waited_for = unreconciled_machines_ >= kMinFleetToJudge &&
                               waited_for > (waited_for + fleet) * kMostOfFleetShare;
  many_silent_ =
      way_lost || most_waited_for ||
      (up >= kMinFleetToJudge && static_cast<double>(silent_machines_) > fleet * kManySilentShare);
  const bool unreached =
      way_lost || (up >= kMinFleetToJudge &&
                   static_cast<double>(one_way_machines_) > fleet * kMostOfFleetShare);
  if (!unreached) {
    unreachable_since_ = -1;
  } else if (unreachable_since_ < 0) {
    unreachable_since_ = now;
    spdlog::warn("hardly a machine answers of late ({} of {} known to be out of reach)",
                 one_way_machines_, up);
  }
  max_quick_deaths_ = std::max(kMinToleratedMachines,
                               static_cast<size_t>(static_cast<double>(up) * kQuickDeathShare));
  max_one_way_machines_ =
      std::max(kMinToleratedMachines, static_cast<size_t>(fleet * kOneWayShare));
  // As often as the budget allows, and rather while machines are being lost.
  const double rate = MessagesPerSecond(*settings_, *tuning_) * tuning_->probe_share;
  probe_interval_s_ = static_cast<double>(busy) / rate;
  if (now - last_death_at_ < kFasterProbeSeconds) probe_interval_s_ /= kFasterProbeFactor;
  probe_interval_s_ = std::max(tuning_->probe_interval_s, probe_interval_s_);
  for (MachineIndex machine_index : fleet_.active()) {
    CheckMachine(machine_index);
    if (fleet_[machine_index].preemption_at >= 0) HandlePreemptionNotice(machine_index);
  }
  gang_supervisor_.CheckGangs();
  drainer_.Tick();
  ResetProvenServices();
  CollectEndedJobs();
}

void Leader::ResetProvenServices() {
  const double now = ports_.clock->Now();
  for (JobIndex job_index : job_store_.active_jobs()) {
    Job& job = job_store_[job_index];
    if (!job.spec.service || job.consecutive_failures == 0) continue;
    if (job.tasks_running > 0 && now - job.last_failure_at > kProvenAfterSeconds)
      job.consecutive_failures = 0;
  }
}

double Leader::UnreachableSeconds() const {
  return unreachable_since_ < 0 ? 0 : ports_.clock->Now() - unreachable_since_;
}

void Leader::HandlePreemptionNotice(MachineIndex machine_index) {
  Machine& machine = fleet_[machine_index];
  const double left = machine.preemption_at - ports_.clock->Now();
  for (TaskAttempt& attempt : machine.attempts) {
    if (attempt.released || !attempt.wanted || attempt.job == kNoIndex) continue;
    const Job& job = job_store_[attempt.job];
    if (job.spec.gang) {
      gang_supervisor_.HandlePreemptionNotice(machine_index, &attempt, left);
      continue;
    }
    if (job.spec.checkpoint_interval_s > 0) {
      // The notice may be half as long as it says.
      fleet_.RequestStop(machine_index, &attempt, job.spec.checkpoint_grace_s + 1);
      continue;
    }
    const double ran = attempt.running_since < 0 ? 0 : ports_.clock->Now() - attempt.running_since;
    if (job.spec.service || ranking_.ExpectedTaskSeconds(job) - ran > left)
      fleet_.RequestStop(machine_index, &attempt, 0);
  }
}

}  // namespace deckhall
