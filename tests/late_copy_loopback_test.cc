// Late copies of direct commands with controller processes over loopback; the state service, the
// cloud and the workers are fakes.
#include <algorithm>
#include <set>

#include "loopback_world.h"

namespace deckhall {
namespace {

// Within the workers' minimum time between heartbeats, so that no heartbeat without the attempt
// comes between the acknowledgement and the copy.
constexpr double kCopyDelaySeconds = 0.1;
constexpr double kStartTimeoutSeconds = 30;

class LateCopyLoopback : public LoopbackWorld {
 protected:
  LateCopyLoopback() : LoopbackWorld(0, 0) {}

  // The largest number of machines that ran the task at once within this time.
  size_t MostRunning(const std::string& task, double seconds) {
    size_t most = 0;
    RunUntil(
        [&] {
          most = std::max(most, fleet_.CountRunning(task));
          return false;
        },
        seconds);
    return most;
  }
};

TEST_F(LateCopyLoopback, FailedTaskRunsOnOneMachineAndEndsWhenCancelled) {
  for (size_t i = 0; i < controllers_.size(); ++i) controllers_.Start(i);
  // Two machines: each has room for one of the large replicas and for the small one.
  Submit(LoopbackService(1, "blue", 1, 5));
  Submit(LoopbackService(2, "blue", 1, 5));
  ASSERT_TRUE(
      RunUntil([this] { return fleet_.IsRunning("job-1/0") && fleet_.IsRunning("job-2/0"); },
               kStartTimeoutSeconds));
  Submit(LoopbackService(3, "blue", 1, 2));
  const std::string task = "job-3/0";
  ASSERT_TRUE(RunUntil([&] { return fleet_.IsRunning(task); }, kStartTimeoutSeconds));
  Run(2);
  fleet_.CopyLaunchesAfterAcknowledgement(kCopyDelaySeconds);
  fleet_.Fail(task);
  EXPECT_EQ(MostRunning(task, 10), 1U) << "ran twice";
  EXPECT_GE(fleet_.copied_commands(), 1);
  double cancelled_at = -1;
  Cancel("job-3", [&cancelled_at](double now) { cancelled_at = now; });
  ASSERT_TRUE(RunUntil([&] { return cancelled_at >= 0; }, kLoopbackCancelSeconds));
  Run(kLoopbackCancelSeconds);
  EXPECT_EQ(fleet_.CountRunning(task), 0U) << "ran although cancelled";
  EXPECT_EQ(controllers_.UnexpectedExits(), 0);
  if (HasFailure()) PrintLogs();
}

}  // namespace
}  // namespace deckhall
