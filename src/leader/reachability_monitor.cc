#include "leader/reachability_monitor.h"

#include <spdlog/spdlog.h>

namespace deckhall {
namespace {

// In a smaller fleet, or with fewer outcomes, all requests may fail by chance.
constexpr size_t kMinMachinesToAssess = 6;
constexpr double kMinTimeoutsToAssess = 12;
constexpr double kOutcomeDecay = 0.5;
// The workers are unreachable if there are fewer responses per timeout than this share, or no
// response for this time.
constexpr double kFewResponsesShare = 0.1;
constexpr double kNoResponseSeconds = 1;
constexpr double kMostlyUnresponsiveShare = 0.3;
constexpr double kMajorityShare = 0.5;

}  // namespace

void ReachabilityMonitor::RecordOutcome(const Machine& machine, bool responded) {
  if (responded) {
    recent_.responses += 1;
    recent_.consecutive_timeouts = 0;
    recent_.last_response_at = clock_->Now();
  } else if (machine.probe_failures == 0 && machine.command_failures == 0 &&
             !partition_detector_->IsZoneSuspected(machine)) {
    recent_.timeouts += 1;
    ++recent_.consecutive_timeouts;
  }
}

bool ReachabilityMonitor::AreWorkersUnreachable(const FleetHealth& health, double now) const {
  if (health.up < kMinMachinesToAssess) return false;
  const bool few_responses = recent_.timeouts > kMinTimeoutsToAssess &&
                             recent_.responses < recent_.timeouts * kFewResponsesShare;
  const bool no_response = recent_.consecutive_timeouts > kMinTimeoutsToAssess &&
                           now - recent_.last_response_at > kNoResponseSeconds;
  return few_responses || no_response;
}

void ReachabilityMonitor::Update(const FleetHealth& health, double now) {
  recent_.responses *= kOutcomeDecay;
  recent_.timeouts *= kOutcomeDecay;
  const bool workers_unreachable = AreWorkersUnreachable(health, now);
  const auto up = static_cast<double>(health.up);
  const auto unreconciled = static_cast<double>(health.unreconciled);
  // After a failover, heartbeats may arrive later than the time limit for single machines allows.
  const bool mostly_unreconciled = health.unreconciled >= kMinMachinesToAssess &&
                                   unreconciled > (unreconciled + up) * kMajorityShare;
  const bool many_unresponsive =
      health.up >= kMinMachinesToAssess &&
      static_cast<double>(health.unresponsive) > up * kMostlyUnresponsiveShare;
  const bool mostly_one_way = health.up >= kMinMachinesToAssess &&
                              static_cast<double>(health.one_way) > up * kMajorityShare;
  fleet_mostly_unresponsive_ = workers_unreachable || mostly_unreconciled || many_unresponsive;
  if (!workers_unreachable && !mostly_one_way) {
    unreachable_since_ = -1;
  } else if (unreachable_since_ < 0) {
    unreachable_since_ = now;
    spdlog::warn("one_way_machines={} machines_up={}: most machines don't respond to this node",
                 health.one_way, health.up);
  }
}

double ReachabilityMonitor::UnreachableSeconds() const {
  return unreachable_since_ < 0 ? 0 : clock_->Now() - unreachable_since_;
}

}  // namespace deckhall
