// Numbers that are passed to tests by environment variables, for runs by hand.
#pragma once

#include <cstdint>
#include <cstdlib>
#include <string>

namespace deckhall {

// Returns `fallback` if the variable is not set.
inline uint64_t NumberFromEnvironment(const char* name, uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::stoull(text);
}

}  // namespace deckhall
