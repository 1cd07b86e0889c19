// A new leader after a failover: tasks that may still run, and tasks that may start elsewhere.
#include <gtest/gtest.h>

#include "fakes.h"

namespace deckhall {
namespace {

TEST(Failover, AdoptsRunningTasksAndStartsNoneTwice) {
  World world;
  world.Lead();
  auto& worker = world.Machine("m-1", "east");
  world.Submit(world.Service("job-1", 2));
  world.Pass(1);
  ASSERT_EQ(worker.started.size(), 2U);
  world.Lead();
  world.Pass(5);
  EXPECT_EQ(worker.started.size(), 2U);
  EXPECT_EQ(world.Ask(JobOperation::kGet, "job-1").tasks_running, 2U);
}

TEST(Failover, TasksOfAnUnreconciledMachineStartElsewhereOnlyAfterItsLease) {
  World world;
  world.tuning.failover_wait_s = 1000;  // never released, so only the lease counts
  world.Lead();
  auto& unreconciled = world.Machine("m-1", "east");
  world.Submit(world.Service("job-1", 1));
  world.Pass(1);
  ASSERT_TRUE(unreconciled.Has("job-1/0"));
  unreconciled.silent = true;
  world.cloud.out = true;
  world.Lead();
  world.cloud.out = false;
  auto& healthy = world.Machine("m-2", "east");
  // The former leader may have renewed the lease until the end of its grace period.
  world.Pass(GracePeriodSeconds(world.settings) + world.settings.lease_s - 2);
  EXPECT_FALSE(healthy.Has("job-1/0"));
  // New jobs don't wait for the lease.
  world.Submit(world.Service("job-2", 1));
  world.Pass(1);
  EXPECT_TRUE(healthy.Has("job-2/0"));
  world.Pass(5);
  EXPECT_TRUE(healthy.Has("job-1/0"));
}

TEST(Failover, ReleasingAnUnreconciledMachineFreesItsTasksEarlier) {
  World world;
  world.Lead();
  auto& unreconciled = world.Machine("m-1", "east");
  world.Submit(world.Service("job-1", 1));
  world.Pass(1);
  unreconciled.silent = true;
  world.Lead();
  auto& healthy = world.Machine("m-2", "east");
  world.Pass(world.tuning.failover_wait_s + 4);
  EXPECT_NE(std::find(world.cloud.returned.begin(), world.cloud.returned.end(), "m-1"),
            world.cloud.returned.end());
  EXPECT_TRUE(healthy.Has("job-1/0"));
}

TEST(Failover, TasksOfAnUnreconciledMachineCountTowardsTheTeamLimit) {
  World world;
  world.tuning.failover_wait_s = 1000;
  world.Lead();
  auto& unreconciled = world.Machine("m-1", "east");
  world.Submit(world.Array("job-1", 4));  // 8 of the team's 16 cores
  world.Pass(1);
  ASSERT_EQ(unreconciled.started.size(), 4U);
  unreconciled.silent = true;
  world.Lead();
  auto& healthy_east = world.Machine("m-2", "east");
  auto& healthy_west = world.Machine("m-3", "west");
  world.Submit(world.Array("job-2", 8));  // all 16 cores
  world.Pass(5);
  EXPECT_EQ(healthy_east.started.size() + healthy_west.started.size(), 4U);
}

TEST(Failover, TasksOnAnUnreconciledMachineFixTheZoneOfTheirJob) {
  World world;
  world.cloud.refuse = true;
  world.Lead();
  auto& unreconciled = world.Machine("m-1", "east");
  auto& reconciled = world.Machine("m-2", "east");
  JobSpec spec = world.Array("job-1", 6);  // four on one machine, two on the other
  spec.single_zone = true;
  world.Submit(spec);
  world.Pass(1);
  ASSERT_EQ(unreconciled.started.size() + reconciled.started.size(), 6U);
  auto& other_zone = world.Machine("m-3", "west");
  unreconciled.silent = true;
  world.cloud.out = true;
  world.Lead();
  world.Pass(1);
  // The known tasks end without success, so only the unreconciled ones determine the zone.
  for (const std::string& task : reconciled.started) reconciled.End(task, ExitReason::kStopped);
  reconciled.report.preemption_notice_s = 30;  // gets no new tasks
  world.Pass(3);
  EXPECT_TRUE(other_zone.started.empty());
  world.cloud.out = false;
  world.Pass(20);
  EXPECT_EQ(other_zone.started.size(), 4U);
}

// An attempt that had been stopped earlier, but not acknowledged yet, made a new leader treat its
// task as free while the next attempt ran on a machine that had not responded yet (ran_twice 0.7 s
// after a leader change).
TEST(Failover, EndedAttemptDoesNotFreeATaskThatMayRunElsewhere) {
  World world;
  world.tuning.failover_wait_s = 1000;
  world.Lead();
  auto& unreconciled = world.Machine("m-1", "east");
  world.Submit(world.Service("job-1", 1));
  world.Pass(1);
  ASSERT_TRUE(unreconciled.Has("job-1/0"));
  auto& reconciled = world.Machine("m-2", "east");
  reconciled.report.tasks.push_back(
      {"job-1/0", 7, TaskState::kExited, ExitReason::kStopped, false});
  unreconciled.silent = true;
  world.Lead();
  world.Pass(5);
  EXPECT_FALSE(reconciled.Has("job-1/0"));
  EXPECT_TRUE(reconciled.report.tasks.empty());  // the exit was acknowledged
}

// The next leader filled pages by the size of their rows at that time. The rows grew, and a page
// over the limit blocked every write.
TEST(Failover, PagesFilledByTheNextLeaderStayWithinTheLimitWhenRowsGrow) {
  World world;
  world.cloud.refuse = true;
  world.settings.current_state_limits.value_kb = world.settings.effective_state_limits.value_kb = 2;
  world.state.value_limit = 2048;
  world.settings.teams = {{"blue", 0, 0, 0, 0}};
  world.tuning.progress_save_s = 1;
  world.Lead();
  std::vector<FakeWorker*> machines;
  for (int i = 1; i <= 6; ++i) machines.push_back(&world.Machine("m-" + std::to_string(i), "east"));
  auto submit = [&world](int from, int to) {
    for (int i = from; i <= to; ++i) {
      JobSpec spec = world.Array("job-" + std::to_string(i), 400, 0.01);
      spec.memory_gb = 0.01;
      world.Submit(spec);
    }
  };
  submit(1, 8);
  world.Lead();
  submit(9, 24);
  for (int round = 0; round < 40; ++round) {
    world.Pass(1);
    for (FakeWorker* machine : machines) {
      for (TaskStatus& task : machine->report.tasks)
        machine->End(task.task_name, ExitReason::kDone);
    }
  }
  EXPECT_EQ(world.state.too_large, 0);
  for (int i = 1; i <= 24; ++i) {
    EXPECT_EQ(world.Ask(JobOperation::kGet, "job-" + std::to_string(i)).state, JobState::kDone)
        << i;
  }
}

// After a leader change, replicas were placed on machines that had to fetch their image although
// most machines held it.
TEST(Failover, NextLeaderKnowsWhichMachinesHoldAnImage) {
  World world;
  world.cloud.refuse = true;
  world.Lead();
  auto& first = world.Machine("m-1", "east");
  auto& second = world.Machine("m-2", "east");
  JobSpec other_image_job = world.Array("job-1", 4);  // all cores of a machine
  other_image_job.image = "other";
  world.Submit(other_image_job);
  world.Pass(1);
  FakeWorker& full_machine = first.Has("job-1/0") ? first : second;
  FakeWorker& image_holder = &full_machine == &first ? second : first;
  world.Submit(world.Service("job-2", 1));
  world.Pass(1);
  ASSERT_TRUE(image_holder.Has("job-2/0"));
  world.Ask(JobOperation::kCancel, "job-1");
  world.Ask(JobOperation::kCancel, "job-2");
  world.Pass(world.tuning.progress_save_s * 4);
  for (int i = 0; i < 2; ++i) {  // the leader after the next one knows it, too
    world.Lead();
    world.Pass(world.tuning.progress_save_s * 4);
  }
  world.Submit(world.Service("job-3", 3));
  world.Pass(2);
  // All three are placed with the image, although replicas are preferably spread.
  EXPECT_EQ(image_holder.Has("job-3/0") + image_holder.Has("job-3/1") + image_holder.Has("job-3/2"),
            3);
}

// A new leader released 21 of 24 machines after 4 s, before the next heartbeat of those that were
// only one-way reachable could arrive.
TEST(Failover, MachinesAreReleasedLaterWhenMostSendNoHeartbeats) {
  World world;
  world.cloud.refuse = true;
  world.Lead();
  std::vector<FakeWorker*> machines;
  for (int i = 1; i <= 8; ++i) machines.push_back(&world.Machine("m-" + std::to_string(i), "east"));
  world.Pass(1);  // their records are written within half a second
  for (FakeWorker* machine : machines) machine->silent = machine != machines[0];
  world.Lead();
  world.Pass(world.tuning.partition_death_s - 4);
  EXPECT_TRUE(world.cloud.returned.empty());
  world.Pass(8);
  EXPECT_EQ(world.cloud.returned.size(), 7U);
}

// A new leader renewed a machine's lease for the first time and crashed before the machine could
// report a cancelled task, which then ran until the lease expired, beyond the cancellation
// deadline.
TEST(Failover, FirstHeartbeatResponseStopsCancelledTasks) {
  World world;
  world.cloud.refuse = true;
  world.Lead();
  auto& worker = world.Machine("m-1", "east");
  world.Submit(world.Array("job-1", 1));
  world.Submit(world.Array("job-2", 1));
  world.Pass(1);
  ASSERT_TRUE(worker.Has("job-1/0") && worker.Has("job-2/0"));
  worker.unsent = true;  // reached only by responses to its heartbeats
  world.Lead();
  EXPECT_EQ(world.Ask(JobOperation::kCancel, "job-1").state, JobState::kCancelled);
  world.ReportNow(&worker);
  EXPECT_FALSE(worker.Has("job-1/0"));
  EXPECT_TRUE(worker.Has("job-2/0"));
}

TEST(Failover, LateCommandOfTheFormerLeaderIsRejected) {
  World world;
  world.Lead();
  auto& worker = world.Machine("m-1", "east");
  worker.hold = 1;
  world.Submit(world.Service("job-1", 1));
  world.clock.now += 0.1;
  world.Settle();
  ASSERT_TRUE(worker.started.empty());
  world.Lead();
  world.Pass(2);
  const size_t started_count = worker.started.size();
  EXPECT_EQ(started_count, 1U);
  worker.Late();
  EXPECT_EQ(worker.started.size(), started_count);
}

}  // namespace
}  // namespace deckhall
