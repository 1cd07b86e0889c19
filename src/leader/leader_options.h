// Options of the leader's components, derived from the settings by pure functions.
#pragma once

#include "cloud/provisioner.h"
#include "config/settings.h"
#include "fleet/fleet.h"
#include "state/record_store.h"

namespace deckhall {

// Limits of the state service, see PROTOCOL, "Limits and errors". Announced limits may come into
// force at any time, so the record store observes them from the start.
RecordStoreLimits RecordStoreLimitsFrom(const Settings& settings);

FleetOptions FleetOptionsFrom(const Settings& settings);

ProvisionerOptions ProvisionerOptionsFrom(const Settings& settings);

}  // namespace deckhall
