// Forwards to mesh/peer.h for config/settings.h, which still includes this name.
#pragma once

#include "mesh/peer.h"
