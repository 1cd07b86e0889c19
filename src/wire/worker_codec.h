// Reports of workers and commands to them.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "wire/types.h"

namespace deckhall {

bool DecodeReport(std::string_view body, Report* report);
std::string EncodeReportResponse(const ReportResponse& reply);
std::string EncodeCommands(uint64_t token, uint64_t session, const std::vector<Command>& commands);

}  // namespace deckhall
