// Messages of the cloud (PROTOCOL, "Controller nodes -> cloud").
//
// Functions keep no state and are safe to call from anywhere. A decoder's result is empty when
// the body is malformed.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/types.h"

namespace deckhall {

// Instances in the order of their names.
struct InstancePage {
  std::vector<CloudInstance> instances;
  bool truncated = false;  // more follow the last one
};

// Empty also when the list has no type: the cloud always offers some.
std::optional<std::vector<MachineType>> DecodeTypes(std::string_view body);
// An instance whose state isn't known counts as starting.
std::optional<InstancePage> DecodeInstanceList(std::string_view body);
// The names of the instances that were started; maybe fewer than were asked for.
std::optional<std::vector<std::string>> DecodeScaleOutResponse(std::string_view body);

// `request_id` makes the request idempotent, and is never used for another one.
std::string EncodeScaleOut(const std::string& request_id, const std::string& type,
                           const std::string& zone, bool spot, int count);
std::string EncodeScaleIn(const std::vector<std::string>& machines);
// The path that lists `limit` instances at most, from the one after `after` on.
std::string InstanceListPath(const std::string& after, int limit);

}  // namespace deckhall
