// JSON codec of the cloud API (PROTOCOL, "Controller nodes -> cloud").
//
// All functions are stateless and thread-safe. Decoders return nothing if the body is malformed.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/types.h"

namespace deckhall {

// One page of the instance list, sorted by name.
struct InstancePage {
  std::vector<CloudInstance> instances;
  bool truncated = false;  // further pages follow
};

// Returns nothing also for an empty list, because the cloud always offers machine types.
std::optional<std::vector<MachineType>> DecodeTypes(std::string_view body);
// An instance with an unknown state is treated as starting.
std::optional<InstancePage> DecodeInstanceList(std::string_view body);
// Names of the started instances, possibly fewer than requested.
std::optional<std::vector<std::string>> DecodeScaleOutResponse(std::string_view body);

// `request_id` makes the request idempotent. It must not be reused for another request.
std::string EncodeScaleOut(const std::string& request_id, const std::string& type,
                           const std::string& zone, bool spot, int count);
std::string EncodeScaleIn(const std::vector<std::string>& machines);
// Path of the list of at most `limit` instances that follow the name `after`.
std::string InstanceListPath(const std::string& after, int limit);

}  // namespace deckhall
