#include "leader/command_log.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <string>

namespace deckhall {
namespace {

// Bounds the log to some 40 KB a second.
constexpr double kLinesPerSecond = 200;
constexpr double kBurstLines = 2000;
constexpr double kSummaryIntervalSeconds = 60;
// Bounds the length of a line.
constexpr size_t kMaxLoggedCommands = 32;

const char* OperationName(CommandOp operation) {
  switch (operation) {
    case CommandOp::kStart:
      return "launch:";
    case CommandOp::kStop:
      return "stop:";
    case CommandOp::kAcknowledgeExit:
      return "clear:";
  }
  return "";
}

// For instance "clear:job-000412/3@16777977,launch:job-000398/0@16777990"; ends in ",more:7" if
// there are 7 commands beyond the limit.
std::string FormatCommands(const CommandBatch& commands) {
  std::string text;
  const size_t logged = std::min(commands.size(), kMaxLoggedCommands);
  for (size_t i = 0; i < logged; ++i) {
    const Command& command = commands[i];
    if (!text.empty()) text += ',';
    text += OperationName(command.operation);
    text += command.task_name;
    text += '@';
    text += std::to_string(command.attempt);
  }
  if (commands.size() > logged) text += ",more:" + std::to_string(commands.size() - logged);
  return text;
}

}  // namespace

CommandLog::CommandLog(const LeadershipLease* lease, const Clock* clock, uint64_t term)
    : lease_(lease), clock_(clock), term_(term), lines_(kLinesPerSecond, kBurstLines) {}

void CommandLog::LogCommands(const Machine& machine, const CommandBatch& commands,
                             CommandChannel channel) {
  if (commands.empty()) return;
  for (const Command& command : commands) Count(command);
  if (!spdlog::should_log(spdlog::level::info) || !TakeLine()) return;
  spdlog::info(
      "machine={} epoch={} token={} acknowledged_token={} lease_left_s={:.2f} channel={} "
      "commands={}: commands sent",
      machine.name, machine.agent_epoch, machine.fencing_token, machine.acknowledged_token,
      lease_->LeaseValidUntil() - clock_->Now(),
      channel == CommandChannel::kDirect ? "direct" : "response", FormatCommands(commands));
}

void CommandLog::LogFailure(const Machine& machine, const WorkerResponse& response) {
  ++counts_.failures;
  if (!spdlog::should_log(spdlog::level::info) || !TakeLine()) return;
  spdlog::info("machine={} epoch={} token={} sent={} status={}: commands not executed",
               machine.name, machine.agent_epoch, machine.fencing_token, response.sent,
               response.status);
}

void CommandLog::Count(const Command& command) {
  switch (command.operation) {
    case CommandOp::kStart:
      ++counts_.launches;
      break;
    case CommandOp::kStop:
      ++counts_.stops;
      break;
    case CommandOp::kAcknowledgeExit:
      ++counts_.acknowledgements;
      break;
  }
}

bool CommandLog::TakeLine() {
  const bool taken = lines_.Take(clock_->Now(), 1);
  if (!taken) ++counts_.suppressed;
  return taken;
}

void CommandLog::LogSummaryIfDue(double now, uint64_t tokens_raised) {
  if (now < next_summary_at_) return;
  const bool first = next_summary_at_ == 0;
  next_summary_at_ = now + kSummaryIntervalSeconds;
  if (first) return;
  spdlog::info(
      "term={} launches={} stops={} clears={} failures={} tokens_raised={} suppressed_lines={}: "
      "commands of the last minute",
      term_, counts_.launches, counts_.stops, counts_.acknowledgements, counts_.failures,
      tokens_raised - tokens_raised_before_, counts_.suppressed);
  counts_ = Counts();
  tokens_raised_before_ = tokens_raised;
}

}  // namespace deckhall
