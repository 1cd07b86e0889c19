// The log of commands names what a worker was told and why, within a bounded volume.
#include "leader/command_log.h"

#include <gtest/gtest.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <sstream>

#include "fakes.h"

namespace deckhall {
namespace {

class CommandLogTest : public ::testing::Test {
 protected:
  CommandLogTest() : former_logger_(spdlog::default_logger()) {
    auto logger = std::make_shared<spdlog::logger>(
        "test", std::make_shared<spdlog::sinks::ostream_sink_mt>(text_));
    logger->set_pattern("%v");
    spdlog::set_default_logger(logger);
    lease_.clock = &clock_;
    lease_.valid_until = clock_.now + 1.25;
    machine_.name = "m-1";
    machine_.fencing_token = 102;
    machine_.acknowledged_token = 101;
  }
  ~CommandLogTest() override { spdlog::set_default_logger(former_logger_); }

  size_t CountLines() const {
    const std::string text = text_.str();
    return static_cast<size_t>(std::count(text.begin(), text.end(), '\n'));
  }

  std::shared_ptr<spdlog::logger> former_logger_;
  std::ostringstream text_;
  FakeClock clock_;
  FakeLease lease_;
  Machine machine_;
  CommandLog log_{&lease_, &clock_, 7};
};

TEST_F(CommandLogTest, LineNamesTokensLeaseAndEveryAttempt) {
  log_.LogCommands(machine_,
                   CommandBatch::Of({{CommandOp::kAcknowledgeExit, "job-1/0", 5, 0},
                                     {CommandOp::kStop, "job-1/1", 6, 10},
                                     {CommandOp::kStart, "job-2/0", 7, 0}}),
                   CommandChannel::kDirect);
  EXPECT_EQ(text_.str(),
            "machine=m-1 epoch=1 token=102 acknowledged_token=101 lease_left_s=1.25 channel=direct "
            "commands=clear:job-1/0@5,stop:job-1/1@6,launch:job-2/0@7: commands sent\n");
  log_.LogCommands(machine_, {}, CommandChannel::kDirect);
  EXPECT_EQ(CountLines(), 1U);
}

// review/5: a line grew with the tasks of a machine, to 28 KB.
TEST_F(CommandLogTest, LineOfAFullMessageIsShortAndSaysHowManyCommandsItLeavesOut) {
  CommandBatch batch;
  int stops = 0;
  while (batch.Add({CommandOp::kStop, "job-99999999999999999999/99999", UINT64_MAX, 0})) ++stops;
  ASSERT_GT(stops, 500);
  log_.LogCommands(machine_, batch, CommandChannel::kDirect);
  EXPECT_LT(text_.str().size(), 3000U);
  EXPECT_NE(text_.str().find(",more:" + std::to_string(stops - 32) + ": commands sent"),
            std::string::npos);
}

TEST_F(CommandLogTest, LinesAreBoundedAndTheRestIsCounted) {
  constexpr int kMessages = 4000;
  constexpr size_t kMostLines = 2000;
  log_.LogSummaryIfDue(clock_.now, 0);
  for (int i = 0; i < kMessages; ++i) {
    log_.LogCommands(machine_, CommandBatch::Of({{CommandOp::kStart, "job-1/0", 7, 0}}),
                     CommandChannel::kDirect);
  }
  EXPECT_EQ(CountLines(), kMostLines);
  text_.str("");
  log_.LogSummaryIfDue(clock_.now + 60, 9);
  EXPECT_EQ(text_.str(),
            "term=7 launches=4000 stops=0 clears=0 failures=0 tokens_raised=9 "
            "suppressed_lines=2000: commands of the last minute\n");
}

}  // namespace
}  // namespace deckhall
