// A new leader after a failover: tasks that may still run, and tasks that may start elsewhere.
#include <gtest/gtest.h>

#include "fakes.h"

namespace deckhall {
namespace {

TEST(Failover, AdoptsRunningTasksAndStartsNoneTwice) {
  LeaderTestEnvironment world;
  world.StartLeader();
  auto& worker = world.AddMachine("m-1", "east");
  world.Submit(world.Service("job-1", 2));
  world.AdvanceTime(1);
  ASSERT_EQ(worker.started_tasks.size(), 2U);
  world.StartLeader();
  world.AdvanceTime(5);
  EXPECT_EQ(worker.started_tasks.size(), 2U);
  EXPECT_EQ(world.SendRequest(JobOperation::kGet, "job-1").tasks_running, 2U);
}

TEST(Failover, TasksOfAnUnreconciledMachineStartElsewhereOnlyAfterItsLease) {
  LeaderTestEnvironment world;
  world.tuning.failover_wait_s = 1000;  // never released, so only the lease counts
  world.StartLeader();
  auto& unreconciled = world.AddMachine("m-1", "east");
  world.Submit(world.Service("job-1", 1));
  world.AdvanceTime(1);
  ASSERT_TRUE(unreconciled.HasTask("job-1/0"));
  unreconciled.unresponsive = true;
  world.cloud.unavailable = true;
  world.StartLeader();
  world.cloud.unavailable = false;
  auto& healthy = world.AddMachine("m-2", "east");
  // The former leader may have renewed the lease until the end of its grace period.
  world.AdvanceTime(GracePeriodSeconds(world.settings) + world.settings.lease_s - 2);
  EXPECT_FALSE(healthy.HasTask("job-1/0"));
  // New jobs don't wait for the lease.
  world.Submit(world.Service("job-2", 1));
  world.AdvanceTime(1);
  EXPECT_TRUE(healthy.HasTask("job-2/0"));
  world.AdvanceTime(5);
  EXPECT_TRUE(healthy.HasTask("job-1/0"));
}

TEST(Failover, ReleasingAnUnreconciledMachineFreesItsTasksEarlier) {
  LeaderTestEnvironment world;
  world.StartLeader();
  auto& unreconciled = world.AddMachine("m-1", "east");
  world.Submit(world.Service("job-1", 1));
  world.AdvanceTime(1);
  unreconciled.unresponsive = true;
  world.StartLeader();
  auto& healthy = world.AddMachine("m-2", "east");
  world.AdvanceTime(world.tuning.failover_wait_s + 4);
  EXPECT_NE(std::find(world.cloud.released.begin(), world.cloud.released.end(), "m-1"),
            world.cloud.released.end());
  EXPECT_TRUE(healthy.HasTask("job-1/0"));
}

TEST(Failover, TasksOfAnUnreconciledMachineCountTowardsTheTeamLimit) {
  LeaderTestEnvironment world;
  world.tuning.failover_wait_s = 1000;
  world.StartLeader();
  auto& unreconciled = world.AddMachine("m-1", "east");
  world.Submit(world.Array("job-1", 4));  // 8 of the team's 16 cores
  world.AdvanceTime(1);
  ASSERT_EQ(unreconciled.started_tasks.size(), 4U);
  unreconciled.unresponsive = true;
  world.StartLeader();
  auto& healthy_east = world.AddMachine("m-2", "east");
  auto& healthy_west = world.AddMachine("m-3", "west");
  world.Submit(world.Array("job-2", 8));  // all 16 cores
  world.AdvanceTime(5);
  EXPECT_EQ(healthy_east.started_tasks.size() + healthy_west.started_tasks.size(), 4U);
}

TEST(Failover, TasksOnAnUnreconciledMachineFixTheZoneOfTheirJob) {
  LeaderTestEnvironment world;
  world.cloud.out_of_capacity = true;
  world.StartLeader();
  auto& unreconciled = world.AddMachine("m-1", "east");
  auto& reconciled = world.AddMachine("m-2", "east");
  JobSpec spec = world.Array("job-1", 6);  // four on one machine, two on the other
  spec.single_zone = true;
  world.Submit(spec);
  world.AdvanceTime(1);
  ASSERT_EQ(unreconciled.started_tasks.size() + reconciled.started_tasks.size(), 6U);
  auto& other_zone = world.AddMachine("m-3", "west");
  unreconciled.unresponsive = true;
  world.cloud.unavailable = true;
  world.StartLeader();
  world.AdvanceTime(1);
  // The known tasks end without success, so only the unreconciled ones determine the zone.
  for (const std::string& task : reconciled.started_tasks)
    reconciled.EndTask(task, ExitReason::kStopped);
  reconciled.heartbeat.preemption_notice_s = 30;  // gets no new tasks
  world.AdvanceTime(3);
  EXPECT_TRUE(other_zone.started_tasks.empty());
  world.cloud.unavailable = false;
  world.AdvanceTime(20);
  EXPECT_EQ(other_zone.started_tasks.size(), 4U);
}

// An attempt that had been stopped earlier, but not acknowledged yet, made a new leader treat its
// task as free while the next attempt ran on a machine that had not responded yet (ran_twice 0.7 s
// after a leader change).
TEST(Failover, EndedAttemptDoesNotFreeATaskThatMayRunElsewhere) {
  LeaderTestEnvironment world;
  world.tuning.failover_wait_s = 1000;
  world.StartLeader();
  auto& unreconciled = world.AddMachine("m-1", "east");
  world.Submit(world.Service("job-1", 1));
  world.AdvanceTime(1);
  ASSERT_TRUE(unreconciled.HasTask("job-1/0"));
  auto& reconciled = world.AddMachine("m-2", "east");
  reconciled.heartbeat.tasks.push_back(
      {"job-1/0", 7, TaskState::kExited, ExitReason::kStopped, false});
  unreconciled.unresponsive = true;
  world.StartLeader();
  world.AdvanceTime(5);
  EXPECT_FALSE(reconciled.HasTask("job-1/0"));
  EXPECT_TRUE(reconciled.heartbeat.tasks.empty());  // the exit was acknowledged
}

// The next leader filled pages by the size of their rows at that time. The rows grew, and a page
// over the limit blocked every write.
TEST(Failover, PagesFilledByTheNextLeaderStayWithinTheLimitWhenRowsGrow) {
  LeaderTestEnvironment world;
  world.cloud.out_of_capacity = true;
  world.settings.current_state_limits.value_kb = world.settings.effective_state_limits.value_kb = 2;
  world.state.value_limit = 2048;
  world.settings.teams = {{"blue", 0, 0, 0, 0}};
  world.tuning.progress_save_s = 1;
  world.StartLeader();
  std::vector<FakeWorker*> machines;
  for (int i = 1; i <= 6; ++i)
    machines.push_back(&world.AddMachine("m-" + std::to_string(i), "east"));
  auto submit = [&world](int from, int to) {
    for (int i = from; i <= to; ++i) {
      JobSpec spec = world.Array("job-" + std::to_string(i), 400, 0.01);
      spec.memory_gb = 0.01;
      world.Submit(spec);
    }
  };
  submit(1, 8);
  world.StartLeader();
  submit(9, 24);
  for (int round = 0; round < 40; ++round) {
    world.AdvanceTime(1);
    for (FakeWorker* machine : machines) {
      for (TaskStatus& task : machine->heartbeat.tasks)
        machine->EndTask(task.task_name, ExitReason::kDone);
    }
  }
  EXPECT_EQ(world.state.rejected_values, 0);
  for (int i = 1; i <= 24; ++i) {
    EXPECT_EQ(world.SendRequest(JobOperation::kGet, "job-" + std::to_string(i)).state,
              JobState::kDone)
        << i;
  }
}

// After a leader change, replicas were placed on machines that had to fetch their image although
// most machines held it.
TEST(Failover, NextLeaderKnowsWhichMachinesHoldAnImage) {
  LeaderTestEnvironment world;
  world.cloud.out_of_capacity = true;
  world.StartLeader();
  auto& first = world.AddMachine("m-1", "east");
  auto& second = world.AddMachine("m-2", "east");
  JobSpec other_image_job = world.Array("job-1", 4);  // all cores of a machine
  other_image_job.image = "other";
  world.Submit(other_image_job);
  world.AdvanceTime(1);
  FakeWorker& full_machine = first.HasTask("job-1/0") ? first : second;
  FakeWorker& image_holder = &full_machine == &first ? second : first;
  world.Submit(world.Service("job-2", 1));
  world.AdvanceTime(1);
  ASSERT_TRUE(image_holder.HasTask("job-2/0"));
  world.SendRequest(JobOperation::kCancel, "job-1");
  world.SendRequest(JobOperation::kCancel, "job-2");
  world.AdvanceTime(world.tuning.progress_save_s * 4);
  for (int i = 0; i < 2; ++i) {  // the leader after the next one knows it, too
    world.StartLeader();
    world.AdvanceTime(world.tuning.progress_save_s * 4);
  }
  world.Submit(world.Service("job-3", 3));
  world.AdvanceTime(2);
  // All three are placed with the image, although replicas are preferably spread.
  EXPECT_EQ(image_holder.HasTask("job-3/0") + image_holder.HasTask("job-3/1") +
                image_holder.HasTask("job-3/2"),
            3);
}

// A new leader released 21 of 24 machines after 4 s, before the next heartbeat of those that were
// only one-way reachable could arrive.
TEST(Failover, MachinesAreReleasedLaterWhenMostSendNoHeartbeats) {
  LeaderTestEnvironment world;
  world.cloud.out_of_capacity = true;
  world.StartLeader();
  std::vector<FakeWorker*> machines;
  for (int i = 1; i <= 8; ++i)
    machines.push_back(&world.AddMachine("m-" + std::to_string(i), "east"));
  world.AdvanceTime(1);  // their records are written within half a second
  for (FakeWorker* machine : machines) machine->unresponsive = machine != machines[0];
  world.StartLeader();
  world.AdvanceTime(world.tuning.partition_death_s - 4);
  EXPECT_TRUE(world.cloud.released.empty());
  world.AdvanceTime(8);
  EXPECT_EQ(world.cloud.released.size(), 7U);
}

// A new leader renewed a machine's lease for the first time and crashed before the machine could
// report a cancelled task, which then ran until the lease expired, beyond the cancellation
// deadline.
TEST(Failover, FirstHeartbeatResponseStopsCancelledTasks) {
  LeaderTestEnvironment world;
  world.cloud.out_of_capacity = true;
  world.StartLeader();
  auto& worker = world.AddMachine("m-1", "east");
  world.Submit(world.Array("job-1", 1));
  world.Submit(world.Array("job-2", 1));
  world.AdvanceTime(1);
  ASSERT_TRUE(worker.HasTask("job-1/0") && worker.HasTask("job-2/0"));
  worker.refuses_connections = true;  // reached only by responses to its heartbeats
  world.StartLeader();
  EXPECT_EQ(world.SendRequest(JobOperation::kCancel, "job-1").state, JobState::kCancelled);
  world.SendHeartbeat(&worker);
  EXPECT_FALSE(worker.HasTask("job-1/0"));
  EXPECT_TRUE(worker.HasTask("job-2/0"));
}

TEST(Failover, LateCommandOfTheFormerLeaderIsRejected) {
  LeaderTestEnvironment world;
  world.StartLeader();
  auto& worker = world.AddMachine("m-1", "east");
  worker.batches_to_delay = 1;
  world.Submit(world.Service("job-1", 1));
  world.clock.now += 0.1;
  world.ProcessPending();
  ASSERT_TRUE(worker.started_tasks.empty());
  world.StartLeader();
  world.AdvanceTime(2);
  const size_t started_count = worker.started_tasks.size();
  EXPECT_EQ(started_count, 1U);
  worker.DeliverDelayed();
  EXPECT_EQ(worker.started_tasks.size(), started_count);
}

}  // namespace
}  // namespace deckhall
