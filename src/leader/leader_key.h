// The value of the leader key in the state service; it identifies the leading process.
//
// The stored form is `{"label":"n0","instance":77,"lease":5}`. Controllers of several versions read
// it, so the format must not change. Used by `Election` only.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace deckhall {

struct LeaderKey {
  std::string label;      // of the leading controller
  uint64_t instance = 0;  // of its process; differs after each restart
  uint64_t lease_id = 0;  // the lease that the key is bound to
};

// Returns the stored form.
std::string EncodeLeaderKey(const LeaderKey& key);
// Reads the stored form. A missing or malformed field keeps its default, since even a key that
// can't be read is held by some controller.
LeaderKey DecodeLeaderKey(std::string_view stored);

}  // namespace deckhall
