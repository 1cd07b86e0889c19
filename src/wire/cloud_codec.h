// The cloud's messages.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "wire/types.h"

namespace deckhall {

bool DecodeTypes(std::string_view body, std::vector<MachineType>* out);
bool DecodeMachineList(std::string_view body, std::vector<ListedMachine>* out, bool* truncated);
bool DecodeRented(std::string_view body, std::vector<std::string>* out);
std::string EncodeRental(const std::string& request, const std::string& type,
                         const std::string& zone, bool spot, int count);
std::string EncodeReturn(const std::vector<std::string>& machines);
std::string ListPath(const std::string& after, int limit);

}  // namespace deckhall
