// Many small tasks with controller processes over loopback; the state service, the cloud and the
// workers are fakes, which refuse messages that are longer than PROTOCOL allows.
#include "loopback_world.h"

namespace deckhall {
namespace {

constexpr double kStartTimeoutSeconds = 30;
constexpr uint32_t kTasks = 900;

class SmallTasksLoopback : public LoopbackWorld {
 protected:
  SmallTasksLoopback() : LoopbackWorld(0, 0) {}

  // Jobs 1 and 2: a replica, and an array of so many tasks that one message can't stop them all.
  void StartJobs() {
    for (size_t i = 0; i < controllers_.size(); ++i) controllers_.Start(i);
    Submit(LoopbackService(1, "blue", 1, 1));
    ASSERT_TRUE(RunUntil([this] { return fleet_.IsRunning("job-1/0"); }, kStartTimeoutSeconds));
    JobSpec array = LoopbackService(2, "blue", kTasks, 0.002);
    array.service = false;
    array.priority = Priority::kNormal;
    array.memory_gb = 0.001;
    array.estimated_runtime_s = 600;
    Submit(array);
    ASSERT_TRUE(RunUntil([this] { return fleet_.CountRunningOfJob("job-2") == kTasks; },
                         kStartTimeoutSeconds));
  }
  size_t LeaderIndex() const { return controllers_.IndexOf(state_.Leader()); }
  void CancelArray() {
    bool cancelled = false;
    Cancel("job-2", [&cancelled](double) { cancelled = true; });
    ASSERT_TRUE(RunUntil([&] { return cancelled; }, kStartTimeoutSeconds));
  }
  void ExpectOnlyTheArrayEnds() {
    EXPECT_TRUE(RunUntil([this] { return fleet_.CountRunningOfJob("job-2") == 0; },
                         kLoopbackCancelSeconds));
    EXPECT_TRUE(fleet_.IsRunning("job-1/0"));
    Submit(LoopbackService(3, "red", 1, 1));
    EXPECT_TRUE(RunUntil([this] { return fleet_.IsRunning("job-3/0"); }, kStartTimeoutSeconds));
    EXPECT_TRUE(fleet_.IsRunning("job-1/0"));
    EXPECT_EQ(fleet_.oversized_messages(), 0);
    EXPECT_EQ(controllers_.UnexpectedExits(), 0);
    if (HasFailure()) PrintLogs();
  }
};

// review/5: the worker refused the stops of all tasks, and the cancelled array stayed.
TEST_F(SmallTasksLoopback, CancelledArrayIsGoneAndOtherJobsStay) {
  StartJobs();
  CancelArray();
  ExpectOnlyTheArrayEnds();
}

TEST_F(SmallTasksLoopback, CancelledArrayIsGoneThroughAChangeOfLeader) {
  StartJobs();
  const size_t leader = LeaderIndex();
  ASSERT_NE(leader, SIZE_MAX);
  controllers_.Freeze(leader);
  CancelArray();
  ExpectOnlyTheArrayEnds();
  controllers_.Resume(leader);
}

}  // namespace
}  // namespace deckhall
