// The value of the leader key in the state service: who holds the leadership.
//
// The stored form is `{"label":"n0","instance":77,"lease":5}`. Controllers of several versions read
// it, so its bytes stay as they are. Used by `Election` only.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace deckhall {

struct LeaderKey {
  std::string label;      // of the leading controller
  uint64_t instance = 0;  // of its process; differs after each start
  uint64_t lease_id = 0;  // the lease that the key is bound to
};

// Returns the stored form.
std::string EncodeLeaderKey(const LeaderKey& key);
// Reads the stored form. A field that is missing or malformed keeps its default: a key that can't
// be read is still held by somebody.
LeaderKey DecodeLeaderKey(std::string_view stored);

}  // namespace deckhall
