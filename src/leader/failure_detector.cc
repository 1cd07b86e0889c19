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
// Backoff of probes to a machine that does not respond; doubles up to the largest.
constexpr double kProbeBackoffSeconds = 0.1;
constexpr int kMaxProbeBackoffDoublings = 6;
constexpr double kMaxProbeBackoffSeconds = 4;
// For some seconds after a machine died, the others are probed so much more often.
constexpr double kFasterProbeFactor = 3;
constexpr double kFasterProbeSeconds = 3;
// Of the machines that are up; more failures at once are rather the network's or this node's.
constexpr double kQuickDeathShare = 0.08;
constexpr double kOneWayShare = 0.02;
constexpr size_t kMinToleratedMachines = 2;
constexpr int kMinFailedProbes = 2;
constexpr int kMinOneWayProbes = 3;
// A partitioned machine is returned after so many leases: its tasks end after the first, but the
// machine may soon be reachable again with its cached images.
constexpr double kPartitionLeases = 3;
// A busy machine has to show so many times per lease that requests reach it.
constexpr double kAcknowledgementsPerLease = 3;

TokenBucket ProbeBudget(const Settings& settings, const Tuning& tuning) {
  const double rate = MessagesPerSecond(settings, tuning) * tuning.probe_share;
  return {rate, std::max(kMinProbeBurst, rate * kProbeBurstSeconds)};
}

// Whether a former leader's tasks may be on the machine and nothing is known of them yet.
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
  limits_.quick_deaths =
      std::max(kMinToleratedMachines, static_cast<size_t>(up * kQuickDeathShare));
  limits_.one_way_machines =
      std::max(kMinToleratedMachines, static_cast<size_t>(up * kOneWayShare));
  // As often as the budget allows.
  const double rate = MessagesPerSecond(*deps_.settings, *deps_.tuning) * deps_.tuning->probe_share;
  double interval_seconds = static_cast<double>(health_.busy) / rate;
  if (now - last_death_at_ < kFasterProbeSeconds) interval_seconds /= kFasterProbeFactor;
  limits_.probe_interval_s = std::max(deps_.tuning->probe_interval_s, interval_seconds);
}

void FailureDetector::CheckMachine(MachineIndex machine_index) {
  Machine& machine = (*deps_.fleet)[machine_index];
  const double now = deps_.clock->Now();
  if (!machine.up && !IsUnreconciled(machine)) return;
  // Also while its return waits for the cloud.
  HandleLeaseExpiry(machine_index, now);
  if (machine.scaling_in) return;
  // Commands that could not be sent, or must be sent again.
  if (now >= machine.command_backoff_until &&
      (!machine.reconciled || deps_.fleet->HasCommands(machine_index, true))) {
    deps_.fleet->MarkChanged(machine_index);
  }
  const bool urgent = IsUrgent(machine, now);
  if (!IsCheckDue(machine, now, urgent)) return;
  ReturnIfDead(machine_index);
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
  // Heartbeats alone don't show that requests reach the machine. Probed in time, it can be
  // returned before lease expiry ends what runs there.
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
  // A former leader inside the partition may go on renewing its leases. Unreconciled machines of
  // other former leaders hold up the tasks that may be on them.
  const bool in_former_leader_zone =
      machine.zone != kNoIndex && !deps_.former_leader_zone.empty() &&
      deps_.job_store->zones[machine.zone] == deps_.former_leader_zone;
  return in_former_leader_zone || machine.unrenewed_since_wall >= 0;
}

double FailureDetector::DeathLimitSeconds(const Machine& machine) const {
  const bool unreconciled = IsUnreconciled(machine);
  const Tuning& tuning = *deps_.tuning;
  double limit_seconds = unreconciled                                  ? tuning.failover_wait_s
                         : health_.unresponsive > limits_.quick_deaths ? tuning.death_s
                                                                       : tuning.quick_death_s;
  // The worker of a suspected zone, or one that sent its heartbeats to this node, first has to find
  // another node; returning the machine would end tasks that run well. A few unreconciled machines
  // are not given that time: they hold up all tasks that may be on them.
  const bool few_unreconciled = unreconciled && health_.unreconciled <= limits_.quick_deaths;
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
         health_.one_way <= limits_.one_way_machines;
}

void FailureDetector::ReturnIfDead(MachineIndex machine_index) {
  Machine& machine = (*deps_.fleet)[machine_index];
  const double now = deps_.clock->Now();
  const double seconds_since_contact = SecondsSinceContact(machine, now);
  if (IsProtectedByPartition(machine)) {
    // Its tasks run until its lease expires; returned sooner, they would end before there is
    // capacity elsewhere.
    if (seconds_since_contact > deps_.settings->lease_s * kPartitionLeases &&
        !IsUnreconciled(machine)) {
      deps_.provisioner->ScaleIn(machine_index, "partitioned for several leases");
    }
    return;
  }
  if (seconds_since_contact > DeathLimitSeconds(machine) &&
      machine.probe_failures >= kMinFailedProbes) {
    // The return ends whatever it still runs: sooner than lease expiry would.
    deps_.provisioner->ScaleIn(machine_index, "dead: no heartbeat and no response to probes");
    last_death_at_ = now;
    return;
  }
  // Its tasks would end with its lease, as no renewal reaches it.
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
  // Half of the burst is kept for urgent probes.
  const double reserve =
      urgent ? 0 : MessagesPerSecond(*deps_.settings, *deps_.tuning) * deps_.tuning->probe_share;
  if (!probe_budget_.Take(now, 1, reserve)) return;
  machine.probe_in_flight = true;
  const HeartbeatVersion version = deps_.fleet->VersionOf(machine_index);
  deps_.workers->Probe(machine.endpoint, kProbeTimeoutSeconds,
                       [this, machine_index, version](const WorkerResponse& response) {
                         if (!stopped_) HandleProbeResponse(machine_index, response, version);
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
  // Machines known to be unresponsive must not take the whole budget.
  const int doublings = std::min(machine.unreachable_count, kMaxProbeBackoffDoublings) - 1;
  machine.probe_backoff_until =
      deps_.clock->Now() +
      std::min(kMaxProbeBackoffSeconds, kProbeBackoffSeconds * std::pow(2.0, doublings));
  deps_.fleet->RecordUnreachable(machine_index);
}

}  // namespace deckhall
