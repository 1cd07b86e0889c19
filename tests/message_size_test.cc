// Messages to and from workers keep to the 64 KiB that PROTOCOL allows for a request body and for a
// line of a response: just below, at and beyond the limit, with the longest names and numbers.
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <gtest/gtest.h>

#include <cfloat>

#include "fakes.h"
#include "mesh.capnp.h"
#include "wire/job_codec.h"
#include "wire/peer_codec.h"

namespace deckhall {
namespace {

constexpr const char* kLongestTask = "job-99999999999999999999/99999";
constexpr CommandOp kOperations[] = {CommandOp::kStop, CommandOp::kAcknowledgeExit,
                                     CommandOp::kStart};

Command LongestCommand(CommandOp operation) {
  return {operation, kLongestTask, UINT64_MAX, -DBL_MAX};
}

std::string LongestDirectMessage(const CommandBatch& commands) {
  return EncodeCommands(UINT64_MAX, UINT64_MAX, commands);
}

CommandBatch FullBatch(CommandOp operation) {
  CommandBatch batch;
  while (batch.Add(LongestCommand(operation))) {
  }
  return batch;
}

// review/5: messages with the commands for all tasks of a machine were longer than PROTOCOL allows,
// so the worker refused them again and again.
TEST(MessageSize, BatchOfLongestCommandsFillsAMessageAndNoMore) {
  for (const CommandOp operation : kOperations) {
    const CommandBatch full = FullBatch(operation);
    const std::string message = LongestDirectMessage(full);
    EXPECT_LE(message.size(), kProtocolMessageBytes);
    CommandBatch one;
    ASSERT_TRUE(one.Add(LongestCommand(operation)));
    const size_t command_and_separator_bytes =
        LongestDirectMessage(one).size() - LongestDirectMessage(CommandBatch()).size() + 1;
    EXPECT_GT(message.size() + command_and_separator_bytes, kProtocolMessageBytes);
    HeartbeatResponse response;
    response.status = 200;
    response.fencing_token = UINT64_MAX;
    response.commands = full;
    EXPECT_LE(EncodeHeartbeatResponse(response).size(), kProtocolMessageBytes);
  }
}

TEST(MessageSize, CommandFitsJustBelowAndAtTheLimitButNotBeyond) {
  for (const CommandOp operation : kOperations) {
    CommandBatch almost_full;
    for (size_t i = FullBatch(operation).size(); i > 1; --i)
      ASSERT_TRUE(almost_full.Add(LongestCommand(operation)));
    const auto size_with_last = [&](size_t name_bytes) -> size_t {
      CommandBatch batch = almost_full;
      const bool added = batch.Add({operation, std::string(name_bytes, '9'), 1, 0});
      return added ? LongestDirectMessage(batch).size() : 0;
    };
    const size_t name_bytes = kProtocolMessageBytes - size_with_last(0);
    EXPECT_EQ(size_with_last(name_bytes - 1), kProtocolMessageBytes - 1);
    EXPECT_EQ(size_with_last(name_bytes), kProtocolMessageBytes);
    EXPECT_EQ(size_with_last(name_bytes + 1), 0U);
  }
}

TEST(MessageSize, StopsGoBeforeAcknowledgementsBeforeLaunchesIfNotAllFit) {
  std::vector<Command> commands;
  for (int i = 0; i < 300; ++i) {
    for (const CommandOp operation :
         {CommandOp::kStart, CommandOp::kAcknowledgeExit, CommandOp::kStop}) {
      commands.push_back(LongestCommand(operation));
    }
  }
  const CommandBatch batch = CommandBatch::Of(commands);
  ASSERT_LT(batch.size(), commands.size());
  ASSERT_GT(batch.size(), 300U);
  for (size_t i = 0; i < batch.size(); ++i)
    EXPECT_EQ(batch[i].operation, i < 300 ? CommandOp::kStop : CommandOp::kAcknowledgeExit) << i;
}

// A leader of an earlier version bounds no message; the controller that relays it does.
TEST(MessageSize, RelayedResponseOfAnEarlierVersionIsCutToTheLimit) {
  constexpr unsigned kCommands = 2000;
  capnp::MallocMessageBuilder message;
  auto response = message.initRoot<mesh::Frame>().initReportResponse();
  response.setStatus(200);
  auto rows = response.initCommands(kCommands);
  for (unsigned i = 0; i < kCommands; ++i) {
    rows[i].setOp(static_cast<uint8_t>(i % 2 == 0 ? CommandOp::kStart : CommandOp::kStop));
    rows[i].setTask(kLongestTask);
    rows[i].setAttempt(i);
  }
  auto words = capnp::messageToFlatArray(message);
  const auto bytes = words.asChars();
  const auto frame = DecodeFrame({bytes.begin(), bytes.size()});
  ASSERT_TRUE(frame.has_value());
  const auto& relayed = std::get<HeartbeatResponse>(frame->body);
  EXPECT_LE(EncodeHeartbeatResponse(relayed).size(), kProtocolMessageBytes);
  ASSERT_GT(relayed.commands.size(), 400U);
  for (const Command& command : relayed.commands) EXPECT_EQ(command.operation, CommandOp::kStop);
}

TEST(MessageSize, ErrorsAndRedirectsStayShortWhateverAPeerWrites) {
  const std::string text(100'000, 'x');
  EXPECT_LE(EncodeError(text).size(), kProtocolMessageBytes);
  HeartbeatResponse response;
  response.status = 421;
  response.redirect_to = text;
  EXPECT_LE(EncodeHeartbeatResponse(response).size(), kProtocolMessageBytes);
}

// The tasks placed on a machine fit into its report, also when all of them have ended.
TEST(MessageSize, LongestRowsOfAReportAreWithinTheirBound) {
  Heartbeat heartbeat;
  heartbeat.machine = std::string(100, 'm');
  heartbeat.endpoint = heartbeat.type = heartbeat.zone = std::string(200, 'e');
  heartbeat.agent_epoch = heartbeat.sequence = heartbeat.fencing_token = UINT64_MAX;
  heartbeat.preemption_notice_s = -DBL_MAX;
  const size_t rows = kHeartbeatTaskBytes / MaxTaskStatusBytes(std::string(kLongestTask).size());
  EXPECT_GE(rows, 400U);
  for (const TaskState state : {TaskState::kFetching, TaskState::kWaitingForGang,
                                TaskState::kCheckpointing, TaskState::kExited}) {
    for (int reason = 0; reason <= static_cast<int>(ExitReason::kGangIncomplete); ++reason) {
      heartbeat.tasks.assign(
          rows, {kLongestTask, UINT64_MAX, state, static_cast<ExitReason>(reason), false});
      EXPECT_LE(EncodeHeartbeat(heartbeat).size(), kProtocolMessageBytes) << reason;
    }
  }
}

TEST(MessageSize, ReportWithAnOverlongTaskNameIsMalformed) {
  Heartbeat heartbeat;
  heartbeat.machine = "m-1";
  heartbeat.tasks = {
      {std::string(kMaxTaskNameBytes, '1'), 1, TaskState::kRunning, ExitReason::kNone, false}};
  EXPECT_TRUE(DecodeHeartbeat(EncodeHeartbeat(heartbeat)).has_value());
  heartbeat.tasks[0].task_name += '1';
  EXPECT_FALSE(DecodeHeartbeat(EncodeHeartbeat(heartbeat)).has_value());
}

}  // namespace
}  // namespace deckhall
