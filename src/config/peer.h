// The identity and address of another controller, as given in the settings (`siblings`).
#pragma once

#include <string>

#include "net/tcp.h"

namespace deckhall {

// Another controller of the same cluster. Plain data, constant while the process runs.
struct Peer {
  std::string label;  // unique among the controllers
  std::string site;   // the zone that it runs in
  Endpoint at;        // where it accepts connections of its peers
};

}  // namespace deckhall
