// Reports of workers and commands to them.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "wire/types.h"

namespace deckhall {

bool DecodeReport(std::string_view body, Report* report);
std::string EncodeReportResponse(const ReportResponse& reply);
// What a worker sends, and how it reads what it is told. `session` of an answer to a report is 0.
std::string EncodeReport(const Report& report);
struct WorkerOrders {
  uint64_t token = 0;
  uint64_t session = 0;
  std::vector<Command> commands;
};
bool DecodeOrders(std::string_view body, WorkerOrders* orders);
std::string EncodeCommands(uint64_t token, uint64_t session, const std::vector<Command>& commands);

}  // namespace deckhall
