// Intervals and rates of a leader, derived from the settings and the tuning alone.
//
// Pure functions: the same settings give the same values on every controller node.
#pragma once

#include "config/settings.h"
#include "config/tuning.h"

namespace deckhall {

// Seconds for which a leader continues to respond to heartbeats without renewing its own lease, so
// that tasks survive an outage of the state service.
double GracePeriodSeconds(const Settings& settings);

// Seconds after which a machine's next heartbeat is overdue.
inline double HeartbeatOverdueSeconds(const Settings& settings) {
  return settings.heartbeat_interval_s * 1.3 + 0.5;
}

// Requests to workers per second that the processor quota of this node allows.
double WorkerCallsPerSecond(const Settings& settings, const Tuning& tuning);

}  // namespace deckhall
