// Limits on the size of messages that users, workers and controllers exchange.
#pragma once

#include <cstddef>

namespace deckhall {

// Largest body of a request, and longest line of a response to a worker or user (PROTOCOL, "The
// protocols of deckhall").
constexpr size_t kMaxMessageBytes = 64 << 10;

}  // namespace deckhall
