#include "leader/heartbeat_validator.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace deckhall {
namespace {

constexpr double kLogIntervalSeconds = 1;

}  // namespace

HeartbeatValidator::HeartbeatValidator(const JobStore* job_store, const Fleet* fleet,
                                       const LeadershipLease* lease, const Clock* clock,
                                       uint64_t term, LeadershipLostCallback on_leadership_lost)
    : job_store_(job_store),
      fleet_(fleet),
      lease_(lease),
      clock_(clock),
      term_(term),
      on_leadership_lost_(std::move(on_leadership_lost)) {}

bool HeartbeatValidator::IsPlausible(const Heartbeat& heartbeat) {
  if (TermOf(heartbeat.fencing_token) > term_) {
    // While the lease is valid, no controller can have begun a later term, so none issued that
    // token. Without a valid lease, another leader may have issued it.
    if (lease_->IsLeaseValid()) {
      RecordImplausible(heartbeat.machine, "fencing token that no controller issued");
    } else {
      on_leadership_lost_("a worker reported a fencing token of a later term");
    }
    return false;
  }
  if (!MatchesMachine(heartbeat)) {
    RecordImplausible(heartbeat.machine, "type, zone or kind differs from the known machine");
    return false;
  }
  return true;
}

bool HeartbeatValidator::MatchesMachine(const Heartbeat& heartbeat) const {
  const MachineIndex machine_index = fleet_->Find(heartbeat.machine);
  if (machine_index == kNoIndex) return true;
  const Machine& machine = (*fleet_)[machine_index];
  if (machine.type == kNoIndex) return true;
  return job_store_->types.Find(heartbeat.type) == machine.type && machine.spot == heartbeat.spot &&
         job_store_->zones.Find(heartbeat.zone) == machine.zone;
}

void HeartbeatValidator::RecordImplausible(const std::string& machine, const char* reason) {
  ++implausible_heartbeats_;
  const double now = clock_->Now();
  if (now - logged_at_ < kLogIntervalSeconds) return;
  logged_at_ = now;
  spdlog::warn("machine={} ignored_messages={}: implausible message ignored: {}", machine,
               implausible_heartbeats_, reason);
}

}  // namespace deckhall
