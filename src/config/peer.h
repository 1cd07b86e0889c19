// The identity and address of another controller, as given in the settings (`siblings`).
#pragma once

#include <string>

#include "net/tcp.h"

namespace deckhall {

// Another controller of the same cluster. Constant while the process runs.
struct Peer {
  std::string label;  // unique among the controllers
  std::string site;   // its zone; may be empty
  Endpoint endpoint;  // accepts connections from peers
};

}  // namespace deckhall
