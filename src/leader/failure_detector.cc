#include "leader/failure_detector.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "leader/leader_timing.h"

namespace deckhall {
namespace {

constexpr double kProbeTimeoutSeconds = 0.7;
constexpr double kMinProbeBurst = 20;
constexpr double kProbeBurstSeconds = 2;
// Backoff of probes to a machine that does not respond; doubles up to the maximum.
constexpr double kProbeBackoffSeconds = 0.1;
constexpr int kMaxProbeBackoffDoublings = 6;
constexpr double kMaxProbeBackoffSeconds = 4;
// For some seconds after a machine was declared dead, the others are probed more often by this
// factor.
constexpr double kFasterProbeFactor = 3;
constexpr double kFasterProbeSeconds = 3;
// Shares of the machines that are up. More failures at once are probably caused by the network or
// by this node.
constexpr double kMaxIsolatedFailureShare = 0.08;
constexpr double kMaxOneWayShare = 0.02;
constexpr size_t kMinToleratedMachines = 2;
constexpr int kMinFailedProbes = 2;
constexpr int kMinOneWayProbes = 3;
// A partitioned machine is released after this many lease periods. Its tasks end after the first,
// but the machine may soon be reachable again with its cached images.
constexpr double kMaxPartitionLeases = 3;
// Times per lease period that a busy machine has to show that requests reach it.
constexpr double kAcknowledgementsPerLease = 3;

TokenBucket ProbeBudget(const Settings& settings, const Tuning& tuning) {
  const double rate = WorkerCallsPerSecond(settings, tuning) * tuning.probe_share;
  return {rate, std::max(kMinProbeBurst, rate * kProbeBurstSeconds)};
}

// Whether tasks that a former leader placed may be on the machine and are not known yet.
bool IsUnreconciled(const Machine& machine) {
  return machine.may_run_former_attempts && !machine.reconciled;
}

}  // namespace

FailureDetector::FailureDetector(Dependencies dependencies)
    : deps_(std::move(dependencies)), probe_budget_(ProbeBudget(*deps_.settings, *deps_.tuning)) {}

double FailureDetector::SecondsSinceContact(const Machine& machine, double now) const {
  return now - std::max(machine.last_heard_at, term_began_at_);
}

void FailureDetector::AssessFleet(double now) {
  health_ = CountHealth();
  work_units_ += deps_.fleet->active().size();
  deps_.reachability_monitor->Update(health_, now);
  UpdateLimits(now);
}

FleetHealth FailureDetector::CountHealth() const {
  FleetHealth health;
  for (MachineIndex machine_index : deps_.fleet->active()) {
    const Machine& machine = (*deps_.fleet)[machine_index];
    if (IsUnreconciled(machine)) ++health.unreconciled;
    if (machine.scaling_in || !machine.up) continue;
    ++health.up;
    if (machine.active_attempts > 0) ++health.busy;
    if (machine.probe_failures > 0) ++health.unresponsive;
    if (machine.unreachable_since >= 0 && machine.unreachable_count >= 2) ++health.one_way;
  }
  return health;
}

void FailureDetector::UpdateLimits(double now) {
  const auto up = static_cast<double>(health_.up);
  limits_.max_isolated_failures =
      std::max(kMinToleratedMachines, static_cast<size_t>(up * kMaxIsolatedFailureShare));
  limits_.max_one_way_machines =
      std::max(kMinToleratedMachines, static_cast<size_t>(up * kMaxOneWayShare));
  // Probes are sent as often as the budget allows.
  const double rate =
      WorkerCallsPerSecond(*deps_.settings, *deps_.tuning) * deps_.tuning->probe_share;
  double interval_seconds = static_cast<double>(health_.busy) / rate;
  if (now - last_death_at_ < kFasterProbeSeconds) interval_seconds /= kFasterProbeFactor;
  limits_.probe_interval_s = std::max(deps_.tuning->probe_interval_s, interval_seconds);
}

void FailureDetector::CheckMachine(MachineIndex machine_index) {
  Machine& machine = (*deps_.fleet)[machine_index];
  const double now = deps_.clock->Now();
  if (!machine.up && !IsUnreconciled(machine)) return;
  // Leases are checked also while the release of the machine waits for the cloud.
  HandleLeaseExpiry(machine_index, now);
  if (machine.scaling_in) return;
  // Queues commands that could not be sent, or must be sent again.
  if (now >= machine.command_backoff_until &&
      (!machine.reconciled || deps_.fleet->HasCommands(machine_index, true))) {
    deps_.fleet->MarkChanged(machine_index);
  }
  const bool urgent = IsUrgent(machine, now);
  if (!IsCheckDue(machine, now, urgent)) return;
  ScaleInIfDead(machine_index);
  if (!machine.scaling_in) ProbeMachine(machine_index, urgent);
}

void FailureDetector::HandleLeaseExpiry(MachineIndex machine_index, double now) {
  Machine& machine = (*deps_.fleet)[machine_index];
  const bool unreconciled = IsUnreconciled(machine);
  if (!machine.attempts.empty() && machine.reconciled &&
      deps_.fleet->IsLeaseExpired(machine, now, term_began_at_)) {
    deps_.fleet->ReleaseAttempts(machine_index, "lease expired");
  }
  if (unreconciled && deps_.fleet->IsLeaseExpired(machine, now, term_began_at_)) {
    spdlog::info("machine={}: lease under the former leader expired", machine.name);
    deps_.fleet->MarkReconciled(machine_index);
  }
}

bool FailureDetector::IsUrgent(const Machine& machine, double now) const {
  return machine.suspected || machine.unreachable_since >= 0 ||
         SecondsSinceContact(machine, now) > HeartbeatOverdueSeconds(*deps_.settings);
}

bool FailureDetector::IsCheckDue(const Machine& machine, double now, bool urgent) const {
  // Heartbeats alone don't show that requests reach the machine. If requests are lost, probing in
  // time lets the machine be released before lease expiry ends its tasks.
  const bool unacknowledged =
      machine.active_attempts > 0 &&
      now - machine.last_acknowledged_at > deps_.settings->lease_s / kAcknowledgementsPerLease;
  if (urgent || unacknowledged) return true;
  const double overdue_seconds = HeartbeatOverdueSeconds(*deps_.settings);
  const double interval_seconds = machine.active_attempts > 0
                                      ? limits_.probe_interval_s
                                      : std::max(deps_.tuning->silent_after_s, overdue_seconds);
  return SecondsSinceContact(machine, now) >= std::min(interval_seconds, overdue_seconds);
}

bool FailureDetector::IsProtectedByPartition(const Machine& machine) const {
  if (!machine.partitioned) return false;
  if (!IsUnreconciled(machine)) return true;
  // A former leader inside the partition may still renew the leases of its machines. Other
  // unreconciled machines block the tasks that may be on them, so they are kept only if a bound on
  // their lease expiry is stored.
  const bool in_former_leader_zone =
      machine.zone != kNoIndex && !deps_.former_leader_zone.empty() &&
      deps_.job_store->zones[machine.zone] == deps_.former_leader_zone;
  return in_former_leader_zone || machine.unrenewed_since_wall >= 0;
}

double FailureDetector::DeathLimitSeconds(const Machine& machine) const {
  const bool unreconciled = IsUnreconciled(machine);
  const Tuning& tuning = *deps_.tuning;
  double limit_seconds = unreconciled ? tuning.failover_wait_s
                         : health_.unresponsive > limits_.max_isolated_failures
                             ? tuning.death_s
                             : tuning.quick_death_s;
  // A worker in a suspected zone, or one that sent its heartbeats to this node, first has to find
  // another node; releasing its machine would end healthy tasks. A few unreconciled machines don't
  // get that time, because they block all tasks that may be on them.
  const bool few_unreconciled =
      unreconciled && health_.unreconciled <= limits_.max_isolated_failures;
  if ((deps_.partition_detector->IsZoneSuspected(machine) && !few_unreconciled) ||
      deps_.reachability_monitor->IsFleetMostlyUnresponsive()) {
    limit_seconds = std::max(limit_seconds, tuning.partition_death_s);
  }
  return limit_seconds;
}

bool FailureDetector::IsOneWayTooLong(const Machine& machine, double now) const {
  const Tuning& tuning = *deps_.tuning;
  const double limit_seconds = deps_.partition_detector->IsZoneSuspected(machine)
                                   ? std::max(tuning.one_way_death_s, tuning.partition_death_s)
                                   : tuning.one_way_death_s;
  return machine.unreachable_since >= 0 && machine.unreachable_count >= kMinOneWayProbes &&
         now - machine.unreachable_since > limit_seconds &&
         machine.last_heard_at > machine.unreachable_since &&
         health_.one_way <= limits_.max_one_way_machines;
}

void FailureDetector::ScaleInIfDead(MachineIndex machine_index) {
  Machine& machine = (*deps_.fleet)[machine_index];
  const double now = deps_.clock->Now();
  const double seconds_since_contact = SecondsSinceContact(machine, now);
  if (IsProtectedByPartition(machine)) {
    // The tasks run until the machine's lease expires. Releasing it sooner would end them before
    // there is capacity elsewhere.
    if (seconds_since_contact > deps_.settings->lease_s * kMaxPartitionLeases &&
        !IsUnreconciled(machine)) {
      deps_.provisioner->ScaleIn(machine_index, "partitioned for several leases");
    }
    return;
  }
  if (seconds_since_contact > DeathLimitSeconds(machine) &&
      machine.probe_failures >= kMinFailedProbes) {
    // Releasing the machine ends its tasks sooner than lease expiry would.
    deps_.provisioner->ScaleIn(machine_index, "dead: no heartbeat and no response to probes");
    last_death_at_ = now;
    return;
  }
  // Its lease would expire and end its tasks, as no renewal reaches it.
  if (IsOneWayTooLong(machine, now)) {
    deps_.provisioner->ScaleIn(machine_index,
                               "one-way reachable: sends heartbeats, but no request reaches it");
  }
}

void FailureDetector::ProbeMachine(MachineIndex machine_index, bool urgent) {
  Machine& machine = (*deps_.fleet)[machine_index];
  const double now = deps_.clock->Now();
  if (machine.probe_in_flight || machine.command_in_flight || machine.endpoint.empty() ||
      now < machine.probe_backoff_until) {
    return;
  }
  // Half of the burst is reserved for urgent probes.
  const double reserve =
      urgent ? 0 : WorkerCallsPerSecond(*deps_.settings, *deps_.tuning) * deps_.tuning->probe_share;
  if (!probe_budget_.Take(now, 1, reserve)) return;
  machine.probe_in_flight = true;
  const HeartbeatVersion version = deps_.fleet->VersionOf(machine_index);
  deps_.workers->Probe(machine.endpoint, kProbeTimeoutSeconds,
                       [this, machine_index, version](const WorkerResponse& response) {
                         HandleProbeResponse(machine_index, response, version);
                       });
}

void FailureDetector::HandleProbeResponse(MachineIndex machine_index,
                                          const WorkerResponse& response,
                                          HeartbeatVersion version) {
  Machine& machine = (*deps_.fleet)[machine_index];
  machine.probe_in_flight = false;
  if (machine.removed) return;
  deps_.reachability_monitor->RecordOutcome(machine, response.has_heartbeat);
  if (response.has_heartbeat && response.heartbeat.machine == machine.name &&
      deps_.heartbeat_validator->IsPlausible(response.heartbeat)) {
    deps_.fleet->ApplyProbeResponse(machine_index, response.heartbeat, version);
    return;
  }
  ++machine.probe_failures;
  // Machines known to be unresponsive must not use up the whole budget.
  const int doublings = std::min(machine.unreachable_count, kMaxProbeBackoffDoublings) - 1;
  machine.probe_backoff_until =
      deps_.clock->Now() +
      std::min(kMaxProbeBackoffSeconds, kProbeBackoffSeconds * std::pow(2.0, doublings));
  deps_.fleet->RecordUnreachable(machine_index);
}

}  // namespace deckhall
