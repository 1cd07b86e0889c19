// Options of the leader's components, as they follow from the settings. Pure functions.
#pragma once

#include "cloud/provisioner.h"
#include "config/settings.h"
#include "fleet/fleet.h"
#include "state/record_store.h"

namespace deckhall {

// Limits of the state service, PROTOCOL "Limits and errors". Announced limits may come into force
// at any time: the store keeps within them from the beginning.
RecordStoreLimits RecordStoreLimitsFrom(const Settings& settings);

FleetOptions FleetOptionsFrom(const Settings& settings);

ProvisionerOptions ProvisionerOptionsFrom(const Settings& settings);

}  // namespace deckhall
