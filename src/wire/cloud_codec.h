// The cloud's messages.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "wire/types.h"

namespace deckhall {

bool DecodeTypes(std::string_view body, std::vector<MachineType>* out);
bool DecodeInstanceList(std::string_view body, std::vector<CloudInstance>* out, bool* truncated);
bool DecodeScaleOutResponse(std::string_view body, std::vector<std::string>* out);
std::string EncodeScaleOut(const std::string& request, const std::string& type,
                           const std::string& zone, bool spot, int count);
std::string EncodeScaleIn(const std::vector<std::string>& machines);
std::string InstanceListPath(const std::string& after, int limit);

}  // namespace deckhall
