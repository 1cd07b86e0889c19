// A leader that follows another one: what may still run, and what is free again.
#include <gtest/gtest.h>

#include "fakes.h"

namespace deckhall {
namespace {

TEST(Takeover, AdoptsWhatRunsAndStartsNothingTwice) {
  LeaderTestEnvironment w;
  w.StartLeader();
  auto& m = w.AddMachine("m-1", "east");
  w.Submit(w.Service("job-1", 2));
  w.AdvanceTime(1);
  ASSERT_EQ(m.started_tasks.size(), 2U);
  w.StartLeader();
  w.AdvanceTime(5);
  EXPECT_EQ(m.started_tasks.size(), 2U);
  EXPECT_EQ(w.SendRequest(JobOperation::kGet, "job-1").tasks_running, 2U);
}

TEST(Takeover, ASilentMachineKeepsItsTasksFromStartingElsewhere) {
  LeaderTestEnvironment w;
  w.tuning.failover_wait_s = 1000;  // never returned: the lease alone decides
  w.StartLeader();
  auto& a = w.AddMachine("m-1", "east");
  w.Submit(w.Service("job-1", 1));
  w.AdvanceTime(1);
  ASSERT_TRUE(a.HasTask("job-1/0"));
  a.unresponsive = true;
  w.cloud.unavailable = true;
  w.StartLeader();
  w.cloud.unavailable = false;
  auto& b = w.AddMachine("m-2", "east");
  // What the former leader may have answered until the end of its hold lives on
  // for a lease.
  w.AdvanceTime(GracePeriodSeconds(w.settings) + w.settings.lease_s - 2);
  EXPECT_FALSE(b.HasTask("job-1/0"));
  // New jobs don't wait for this.
  w.Submit(w.Service("job-2", 1));
  w.AdvanceTime(1);
  EXPECT_TRUE(b.HasTask("job-2/0"));
  w.AdvanceTime(5);
  EXPECT_TRUE(b.HasTask("job-1/0"));
}

TEST(Takeover, ReturningASilentMachineFreesItsTasksSooner) {
  LeaderTestEnvironment w;
  w.StartLeader();
  auto& a = w.AddMachine("m-1", "east");
  w.Submit(w.Service("job-1", 1));
  w.AdvanceTime(1);
  a.unresponsive = true;
  w.StartLeader();
  auto& b = w.AddMachine("m-2", "east");
  w.AdvanceTime(w.tuning.failover_wait_s + 4);
  EXPECT_NE(std::find(w.cloud.released.begin(), w.cloud.released.end(), "m-1"),
            w.cloud.released.end());
  EXPECT_TRUE(b.HasTask("job-1/0"));
}

TEST(Takeover, TasksThatMayBeOnASilentMachineCountForTheLimit) {
  LeaderTestEnvironment w;
  w.tuning.failover_wait_s = 1000;
  w.StartLeader();
  auto& a = w.AddMachine("m-1", "east");
  w.Submit(w.Array("job-1", 4));  // 8 of 16 cores
  w.AdvanceTime(1);
  ASSERT_EQ(a.started_tasks.size(), 4U);
  a.unresponsive = true;
  w.StartLeader();
  auto& b = w.AddMachine("m-2", "east");
  auto& c = w.AddMachine("m-3", "west");
  w.Submit(w.Array("job-2", 8));  // all 16
  w.AdvanceTime(5);
  EXPECT_EQ(b.started_tasks.size() + c.started_tasks.size(), 4U);
}

// Found by a hunt on a grown deployment (ran_twice 0.7 s after a change of term): an
// attempt stopped earlier and not cleared yet made the new leader take the task for
// free, while its next attempt ran on a machine that had not answered yet.
TEST(Takeover, ATaskOnASilentMachineHoldsItsJobsZone) {
  LeaderTestEnvironment w;
  w.cloud.out_of_capacity = true;
  w.StartLeader();
  auto& a = w.AddMachine("m-1", "east");
  auto& b = w.AddMachine("m-2", "east");
  JobSpec s = w.Array("job-1", 6);  // four on one, two on the other
  s.single_zone = true;
  w.Submit(s);
  w.AdvanceTime(1);
  ASSERT_EQ(a.started_tasks.size() + b.started_tasks.size(), 6U);
  auto& c = w.AddMachine("m-3", "west");
  a.unresponsive = true;
  w.cloud.unavailable = true;
  w.StartLeader();
  w.AdvanceTime(1);
  // Those that are known end without success: the rest alone tells the zone.
  for (const std::string& task : b.started_tasks) b.EndTask(task, ExitReason::kStopped);
  b.heartbeat.preemption_notice_s = 30;  // gets nothing new
  w.AdvanceTime(3);
  EXPECT_TRUE(c.started_tasks.empty());
  w.cloud.unavailable = false;
  w.AdvanceTime(20);
  EXPECT_EQ(c.started_tasks.size(), 4U);
}

TEST(Takeover, AnAttemptThatEndedDoesNotFreeATaskThatMayRunElsewhere) {
  LeaderTestEnvironment w;
  w.tuning.failover_wait_s = 1000;
  w.StartLeader();
  auto& a = w.AddMachine("m-1", "east");
  w.Submit(w.Service("job-1", 1));
  w.AdvanceTime(1);
  ASSERT_TRUE(a.HasTask("job-1/0"));
  auto& b = w.AddMachine("m-2", "east");
  b.heartbeat.tasks.push_back({"job-1/0", 7, TaskState::kExited, ExitReason::kStopped, false});
  a.unresponsive = true;
  w.StartLeader();
  w.AdvanceTime(5);
  EXPECT_FALSE(b.HasTask("job-1/0"));
  EXPECT_TRUE(b.heartbeat.tasks.empty());  // cleared
}

// Found on the fleet's zone day: after a change of term replicas went where their image
// had to be fetched, although most machines held it.
// Found by a hunt on the visitors' day: the next leader filled pages by what their rows
// took at the time, the rows grew, and a page over the limit kept every write back.
TEST(Takeover, PagesThatTheNextLeaderFillsStayWithinTheLimitWhenTheirRowsGrow) {
  LeaderTestEnvironment w;
  w.cloud.out_of_capacity = true;
  w.settings.current_state_limits.value_kb = w.settings.effective_state_limits.value_kb = 2;
  w.state.value_limit = 2048;
  w.settings.teams = {{"blue", 0, 0, 0, 0}};
  w.tuning.progress_save_s = 1;
  w.StartLeader();
  std::vector<FakeWorker*> all;
  for (int i = 1; i <= 6; ++i) all.push_back(&w.AddMachine("m-" + std::to_string(i), "east"));
  auto submit = [&w](int from, int to) {
    for (int i = from; i <= to; ++i) {
      JobSpec s = w.Array("job-" + std::to_string(i), 400, 0.01);
      s.memory_gb = 0.01;
      w.Submit(s);
    }
  };
  submit(1, 8);
  w.StartLeader();
  submit(9, 24);
  for (int round = 0; round < 40; ++round) {
    w.AdvanceTime(1);
    for (FakeWorker* m : all) {
      for (TaskStatus& t : m->heartbeat.tasks) m->EndTask(t.task_name, ExitReason::kDone);
    }
  }
  EXPECT_EQ(w.state.rejected_values, 0);
  for (int i = 1; i <= 24; ++i) {
    EXPECT_EQ(w.SendRequest(JobOperation::kGet, "job-" + std::to_string(i)).state, JobState::kDone)
        << i;
  }
}

TEST(Takeover, TheNextLeaderKnowsWhereImagesAre) {
  LeaderTestEnvironment w;
  w.cloud.out_of_capacity = true;
  w.StartLeader();
  auto& a = w.AddMachine("m-1", "east");
  auto& b = w.AddMachine("m-2", "east");
  JobSpec other = w.Array("job-1", 4);  // all of a machine
  other.image = "other";
  w.Submit(other);
  w.AdvanceTime(1);
  FakeWorker& full = a.HasTask("job-1/0") ? a : b;
  FakeWorker& held = &full == &a ? b : a;
  w.Submit(w.Service("job-2", 1));
  w.AdvanceTime(1);
  ASSERT_TRUE(held.HasTask("job-2/0"));
  w.SendRequest(JobOperation::kCancel, "job-1");
  w.SendRequest(JobOperation::kCancel, "job-2");
  w.AdvanceTime(w.tuning.progress_save_s * 4);
  for (int i = 0; i < 2; ++i) {  // known to the one after the next, too
    w.StartLeader();
    w.AdvanceTime(w.tuning.progress_save_s * 4);
  }
  w.Submit(w.Service("job-3", 3));
  w.AdvanceTime(2);
  // All three where the image is, although they rather keep apart.
  EXPECT_EQ(held.HasTask("job-3/0") + held.HasTask("job-3/1") + held.HasTask("job-3/2"), 3);
}

// Found by drawn meetings: a new leader renewed a machine's lease for the first time and
// ended before the machine could tell it of a cancelled task, which lived on till its lease
// was over, beyond the cancellation's time.
// Found by the same hunt: a new leader returned 21 of 24 machines after 4 s, before the next
// report of those that only did not hear could come.
TEST(Takeover, WhenMostMachinesAreNotHeardTheyAreGivenTime) {
  LeaderTestEnvironment w;
  w.cloud.out_of_capacity = true;
  w.StartLeader();
  std::vector<FakeWorker*> all;
  for (int i = 1; i <= 8; ++i) all.push_back(&w.AddMachine("m-" + std::to_string(i), "east"));
  w.AdvanceTime(1);  // their rows are written within half a second
  for (FakeWorker* m : all) m->unresponsive = m != all[0];
  w.StartLeader();
  w.AdvanceTime(w.tuning.partition_death_s - 4);
  EXPECT_TRUE(w.cloud.released.empty());
  w.AdvanceTime(8);
  EXPECT_EQ(w.cloud.released.size(), 7U);
}

TEST(Takeover, TheFirstAnswerToAMachineStopsWhatIsCancelled) {
  LeaderTestEnvironment w;
  w.cloud.out_of_capacity = true;
  w.StartLeader();
  auto& a = w.AddMachine("m-1", "east");
  w.Submit(w.Array("job-1", 1));
  w.Submit(w.Array("job-2", 1));
  w.AdvanceTime(1);
  ASSERT_TRUE(a.HasTask("job-1/0") && a.HasTask("job-2/0"));
  a.refuses_connections = true;  // reached by answers to its reports only
  w.StartLeader();
  EXPECT_EQ(w.SendRequest(JobOperation::kCancel, "job-1").state, JobState::kCancelled);
  w.SendHeartbeat(&a);
  EXPECT_FALSE(a.HasTask("job-1/0"));
  EXPECT_TRUE(a.HasTask("job-2/0"));
}

TEST(Takeover, AFormerLeadersLateCommandIsShutOut) {
  LeaderTestEnvironment w;
  w.StartLeader();
  auto& a = w.AddMachine("m-1", "east");
  a.batches_to_delay = 1;
  w.Submit(w.Service("job-1", 1));
  w.clock.now += 0.1;
  w.ProcessPending();
  ASSERT_TRUE(a.started_tasks.empty());
  w.StartLeader();
  w.AdvanceTime(2);
  const size_t started = a.started_tasks.size();
  EXPECT_EQ(started, 1U);
  a.DeliverDelayed();
  EXPECT_EQ(a.started_tasks.size(), started);
}

}  // namespace
}  // namespace deckhall
