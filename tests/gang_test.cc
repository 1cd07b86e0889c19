// Gang scheduling: all-or-nothing starts, stops, checkpoints and completion of a job's tasks, also
// across faults and leader changes.
#include <gtest/gtest.h>

#include "gang_world.h"
#include "sched/scale_out_plan.h"

namespace deckhall {
namespace {

TEST(Gang, GangExceedingTeamLimitIsRejected) {
  GangTestEnvironment world;
  world.StartLeader();
  EXPECT_EQ(world.Submit(world.GangJob("job-1", 21)).status,
            422);  // needs 42 cores, the limit is 40
  EXPECT_EQ(world.Submit(world.GangJob("job-2", 20)).status, 201);
  EXPECT_EQ(world.Submit(world.GangJob("job-2", 20)).status, 200);
  EXPECT_EQ(world.Submit(world.GangJob("job-3", 1, 9)).status, 422);  // fits no machine
}

TEST(Gang, StartsOnlyWhenAllTasksAreWithinTeamLimit) {
  GangTestEnvironment world;
  world.settings.teams[0].cores_max = 8;
  world.StartLeader();
  for (int i = 0; i < 3; ++i) world.AddGangMachine("m-" + std::to_string(i), "east");
  world.Submit(world.GangJob("job-1", 3));
  world.Run(2);
  EXPECT_EQ(world.TasksInState("job-1", TaskState::kRunning), 3U);
  world.Submit(world.GangJob("job-2", 2));
  world.Run(5);
  EXPECT_EQ(world.StartCount("job-2"), 0U);
  world.Complete("job-1");
  world.Run(3);
  EXPECT_EQ(world.TasksInState("job-2", TaskState::kRunning), 2U);
}

TEST(Gang, IsPlacedInZoneWithCapacityForAllTasks) {
  GangTestEnvironment world;
  world.StartLeader();
  world.AddGangMachine("m-1", "east");
  world.AddGangMachine("m-2", "west");
  world.AddGangMachine("m-3", "west");
  world.Submit(world.GangJob("job-1", 6));  // 12 cores; each machine has 8
  world.Run(3);
  EXPECT_EQ(world.TasksInState("job-1", TaskState::kRunning), 6U);
  EXPECT_FALSE(world.job_in_two_zones);
  EXPECT_EQ(world.Attempts("job-1").size(), 1U);
}

TEST(Gang, StartsNothingWhileNoZoneHasCapacityForAllTasks) {
  GangTestEnvironment world;
  world.StartLeader();
  world.AddGangMachine("m-1", "east");
  world.AddGangMachine("m-2", "west");
  world.Submit(world.GangJob("job-1", 6));
  world.Run(10);
  EXPECT_EQ(world.StartCount("job-1"), 0U);
}

TEST(Gang, RejectedTaskIsReplacedWithinSameAttempt) {
  GangTestEnvironment world;
  world.StartLeaderWithGang(6);
  FakeWorker& worker = world.workers.by_endpoint["m-1:1"];
  FakeWorker& other_worker = world.workers.by_endpoint["m-2:1"];
  // The machine rejects one task for insufficient capacity.
  worker.heartbeat.tasks.clear();
  world.AdvanceTime(0.5);
  ASSERT_EQ(world.TasksInState("job-1", TaskState::kWaitingForGang), 6U);
  const std::set<uint64_t> initial_attempts = world.Attempts("job-1");
  worker.EndTask(worker.heartbeat.tasks.back().task_name, ExitReason::kInsufficientCapacity);
  world.AddGangMachine("m-3", "east");
  world.Run(4);
  EXPECT_EQ(world.TasksInState("job-1", TaskState::kRunning), 6U);
  EXPECT_EQ(world.Attempts("job-1"), initial_attempts);
  EXPECT_EQ(world.StartCount("job-1"), 7U);
  EXPECT_FALSE(world.task_ran_twice);
  EXPECT_GT(other_worker.started_tasks.size(), 0U);
}

// Its attempt number comes to the machine a second time.
TEST(Gang, CopyOfAnEarlierClearDoesNotRemoveATaskPlacedOnTheSameMachineAgain) {
  GangTestEnvironment world;
  world.StartLeaderWithGang(8);  // needs all cores of both machines
  world.AdvanceTime(0.5);
  ASSERT_EQ(world.TasksInState("job-1", TaskState::kWaitingForGang), 8U);
  FakeWorker& worker = world.workers.by_endpoint["m-1:1"];
  const TaskStatus rejected = worker.heartbeat.tasks.back();
  worker.EndTask(rejected.task_name, ExitReason::kInsufficientCapacity);
  world.AdvanceTime(1);
  ASSERT_EQ(worker.heartbeat.tasks.size(), 3U);  // exit acknowledged
  const DirectBatch clear{
      worker.heartbeat.fencing_token, worker.heartbeat.agent_epoch,
      CommandBatch::Of({{CommandOp::kAcknowledgeExit, rejected.task_name, rejected.attempt, 0}})};
  world.AdvanceTime(3);
  ASSERT_TRUE(worker.HasTask(rejected.task_name));
  ASSERT_EQ(worker.heartbeat.tasks.back().attempt, rejected.attempt);
  worker.EndTask(rejected.task_name, ExitReason::kInsufficientCapacity);
  EXPECT_FALSE(worker.ReceiveBatch(clear));
}

TEST(Gang, TaskOnUnreachableMachineIsReplacedOnlyAfterItsEndIsCertain) {
  GangTestEnvironment world;
  world.StartLeaderWithGang(6);
  FakeWorker& worker = world.workers.by_endpoint["m-1:1"];
  world.AdvanceTime(0.5);
  const std::set<uint64_t> initial_attempts = world.Attempts("job-1");
  world.AddGangMachine("m-3", "east");
  world.cloud.unavailable = true;
  worker.unresponsive = true;
  world.Run(5);
  EXPECT_FALSE(world.task_ran_twice);
  EXPECT_EQ(world.StartCount("job-1"), 6U);
  world.cloud.unavailable = false;  // terminating the machine ends its tasks
  world.Run(1);
  worker.heartbeat.tasks.clear();
  world.Run(6);
  EXPECT_EQ(world.TasksInState("job-1", TaskState::kRunning), 6U);
  EXPECT_EQ(world.Attempts("job-1"), initial_attempts);
}

TEST(Gang, IncompletableAttemptIsAbortedBeforeGangWaitEnds) {
  GangTestEnvironment world;
  world.StartLeader();
  auto& worker = world.AddGangMachine("m-1", "east");
  world.AddGangMachine("m-2", "east");
  world.Submit(world.GangJob("job-1", 8));  // needs all cores of both machines
  world.AdvanceTime(0.5);
  ASSERT_EQ(world.TasksInState("job-1", TaskState::kWaitingForGang), 8U);
  world.cloud.unavailable = false;
  worker.unresponsive = true;
  worker.heartbeat.tasks.clear();
  world.Run(12);
  // The capacity is released long before gang_wait_s is over.
  EXPECT_EQ(world.TasksInState("job-1", TaskState::kWaitingForGang), 0U);
  EXPECT_EQ(world.Attempts("job-1").size(), 0U);
}

TEST(Gang, LostTaskRestartsWholeGangAfterAllTasksEnded) {
  GangTestEnvironment world;
  world.StartLeaderWithGang(6);
  FakeWorker& worker = world.workers.by_endpoint["m-1:1"];
  world.Run(2);
  ASSERT_EQ(world.TasksInState("job-1", TaskState::kRunning), 6U);
  const std::set<uint64_t> first_attempts = world.Attempts("job-1");
  world.AddGangMachine("m-3", "east");
  worker.unresponsive = true;
  worker.heartbeat.tasks.clear();
  world.Run(4);
  // The leader restarts the gang before its tasks detect the loss themselves.
  EXPECT_LT(4, world.settings.gang_loss_detection_s);
  world.Run(2);
  EXPECT_EQ(world.TasksInState("job-1", TaskState::kRunning), 6U);
  EXPECT_NE(world.Attempts("job-1"), first_attempts);
  EXPECT_EQ(world.Attempts("job-1").size(), 1U);
  EXPECT_EQ(world.StartCount("job-1"), 12U);  // no task joined the attempt that had started
  EXPECT_FALSE(world.task_ran_twice);
}

TEST(Gang, StaysInZoneOfUnfinishedAttempt) {
  GangTestEnvironment world;
  world.StartLeader();
  auto& worker = world.AddGangMachine("m-1", "east");
  world.Submit(world.GangJob("job-1", 2));
  world.Run(2);
  ASSERT_EQ(world.TasksInState("job-1", TaskState::kRunning), 2U);
  world.cloud.unavailable = true;
  world.AddGangMachine("m-2", "west");
  worker.unresponsive = true;  // the machine hangs with both tasks; its lease has not expired
  world.Run(world.settings.lease_s - 2);
  EXPECT_EQ(world.StartCount("job-1"), 2U);
  worker.heartbeat.tasks.clear();
  world.Run(10);
  EXPECT_EQ(world.StartCount("job-1"), 4U);
  EXPECT_FALSE(world.job_in_two_zones);
}

TEST(Gang, OneCompletedTaskCompletesGangAlsoUnderNextLeader) {
  GangTestEnvironment world;
  world.StartLeaderWithGang(6);
  FakeWorker& worker = world.workers.by_endpoint["m-1:1"];
  FakeWorker& other_worker = world.workers.by_endpoint["m-2:1"];
  world.Run(2);
  other_worker.unresponsive = true;
  world.Complete("job-1", {"m-1"});
  other_worker.heartbeat.tasks.clear();  // the machine is lost, and with it its task states
  world.Run(3);
  EXPECT_EQ(world.SendRequest(JobOperation::kGet, "job-1").state, JobState::kDone);
  EXPECT_EQ(world.SendRequest(JobOperation::kGet, "job-1").tasks_done, 6U);
  world.Run(10);
  world.StartLeader();
  world.Run(10);
  EXPECT_EQ(world.StartCount("job-1"), 6U);
  EXPECT_EQ(world.SendRequest(JobOperation::kGet, "job-1").state, JobState::kDone);
  EXPECT_TRUE(worker.heartbeat.tasks.empty());  // the exits were acknowledged
}

// A job record of the previous version, which stored the completion of each task separately.
TEST(Gang, CompletedTaskInRecordOfPreviousVersionCompletesGang) {
  GangTestEnvironment world;
  world.state.keys["deckhall/pages/000000"] = {
      R"([{"j":{"name_id":"job-1","clase":"sums","cuadrilla":"blue","forma":"ensemble",)"
      R"("rango":"normal","faenas":3,"cores":2.0,"memory_gb":4.0,"carga":"img","image_gb":1.0,)"
      R"("one_zone":true,"rumbo_s":30.0,"bitacora_s":20.0,"estiba_s":3.0},)"
      R"("t":500000990.0,"v":60.0,"d":"2"}])",
      90, 0};
  world.StartLeader();
  world.AddGangMachine("m-1", "east");
  world.Run(3);
  EXPECT_EQ(world.SendRequest(JobOperation::kGet, "job-1").state, JobState::kDone);
  EXPECT_EQ(world.StartCount("job-1"), 0U);
}

TEST(Gang, LossOfGangMemberIsNotCountedAgainstMachineOrJob) {
  GangTestEnvironment world;
  world.StartLeader();
  auto& worker = world.AddGangMachine("m-1", "east");
  world.Submit(world.GangJob("job-1", 3));
  for (int round = 0; round < 4; ++round) {
    world.Run(2);
    ASSERT_EQ(world.TasksInState("job-1", TaskState::kRunning), 3U) << round;
    for (TaskStatus& task : worker.heartbeat.tasks) {
      if (task.state != TaskState::kExited)
        worker.EndTask(task.task_name, ExitReason::kGangMemberLost);
    }
  }
  EXPECT_TRUE(world.cloud.released.empty());
}

TEST(Gang, MachineWithFailingGangTasksIsQuarantined) {
  GangTestEnvironment world;
  world.StartLeader();
  auto& worker = world.AddGangMachine("m-1", "east");
  for (const char* id : {"job-1", "job-2"}) {
    world.Submit(world.GangJob(id, 2));
    world.Run(2);
    const std::string task = std::string(id) + "/0";
    ASSERT_TRUE(worker.HasTask(task));
    worker.EndTask(task, ExitReason::kError);
    world.AdvanceTime(0.5);
  }
  const size_t before = worker.started_tasks.size();
  world.Run(10);
  EXPECT_EQ(worker.started_tasks.size(), before);  // quarantined
}

TEST(Gang, SpotNoticeStopsWholeGangWithTimeToCheckpoint) {
  GangTestEnvironment world;
  world.StartLeader();
  auto& worker = world.AddGangMachine("m-1", "east", true);
  world.AddGangMachine("m-2", "east", true);
  JobSpec gang = world.GangJob("job-1", 6);
  gang.spot_tolerant = true;
  gang.estimated_runtime_s = 100;
  world.Submit(gang);
  world.Run(2);
  ASSERT_EQ(world.TasksInState("job-1", TaskState::kRunning), 6U);
  worker.heartbeat.preemption_notice_s = 12;
  world.Run(1.5);
  EXPECT_EQ(world.TasksInState("job-1", TaskState::kCheckpointing), 6U);
  world.Run(4);
  EXPECT_EQ(world.TasksInState("job-1", TaskState::kRunning), 0U);
  EXPECT_EQ(world.Attempts("job-1").size(), 0U);
}

TEST(Gang, SpotNoticeTooShortForCheckpointStopsGangImmediately) {
  GangTestEnvironment world;
  world.StartLeader();
  auto& worker = world.AddGangMachine("m-1", "east", true);
  world.AddGangMachine("m-2", "east", true);
  JobSpec gang = world.GangJob("job-1", 6);
  gang.spot_tolerant = true;
  gang.estimated_runtime_s = 100;
  world.Submit(gang);
  world.Run(2);
  worker.heartbeat.preemption_notice_s = 4;
  world.Run(1.5);
  EXPECT_EQ(world.TasksInState("job-1", TaskState::kCheckpointing), 0U);
  EXPECT_EQ(world.Attempts("job-1").size(), 0U);
}

TEST(Gang, NewLeaderCompletesPartialStop) {
  GangTestEnvironment world;
  world.StartLeaderWithGang(6);
  FakeWorker& worker = world.workers.by_endpoint["m-1:1"];
  world.Run(2);
  const std::set<uint64_t> first_attempts = world.Attempts("job-1");
  for (TaskStatus& task : worker.heartbeat.tasks) task.state = TaskState::kCheckpointing;
  world.StartLeader();
  world.Run(2);
  EXPECT_EQ(world.TasksInState("job-1", TaskState::kCheckpointing), 6U);
  world.Run(4);
  EXPECT_EQ(world.TasksInState("job-1", TaskState::kRunning), 6U);
  EXPECT_NE(world.Attempts("job-1"), first_attempts);
}

TEST(Gang, KeepsRunningUnderNewLeader) {
  GangTestEnvironment world;
  world.StartLeaderWithGang(6);
  world.Run(2);
  const std::set<uint64_t> first_attempts = world.Attempts("job-1");
  world.StartLeader();
  world.Run(10);
  EXPECT_EQ(world.TasksInState("job-1", TaskState::kRunning), 6U);
  EXPECT_EQ(world.Attempts("job-1"), first_attempts);
}

TEST(Gang, NewLeaderCompletesWaitingGang) {
  GangTestEnvironment world;
  world.StartLeaderWithGang(6);
  FakeWorker& worker = world.workers.by_endpoint["m-1:1"];
  world.AdvanceTime(0.5);
  const std::set<uint64_t> first_attempts = world.Attempts("job-1");
  const std::string rejected_task = worker.heartbeat.tasks.back().task_name;
  worker.EndTask(rejected_task, ExitReason::kInsufficientCapacity);
  world.AddGangMachine("m-3", "east");
  world.StartLeader();
  world.Run(6);
  EXPECT_EQ(world.TasksInState("job-1", TaskState::kRunning), 6U);
  EXPECT_EQ(world.Attempts("job-1"), first_attempts);
}

TEST(Gang, NewLeaderEndsTasksOfEarlierAttempt) {
  GangTestEnvironment world;
  world.StartLeader();
  auto& worker = world.AddGangMachine("m-1", "east");
  world.Submit(world.GangJob("job-1", 2));
  world.AdvanceTime(0.5);
  ASSERT_EQ(world.TasksInState("job-1", TaskState::kWaitingForGang), 2U);
  // One task belongs to an earlier attempt, so the gang never becomes complete.
  --worker.heartbeat.tasks.back().attempt;
  world.StartLeader();
  world.Run(6);
  EXPECT_LT(6, world.settings.gang_wait_s);
  EXPECT_EQ(world.TasksInState("job-1", TaskState::kRunning), 2U);
  EXPECT_EQ(world.Attempts("job-1").size(), 1U);
}

TEST(Gang, UrgentGangPreemptsIdleTasksOnlyIfItFitsEntirely) {
  for (const uint32_t tasks : {6U, 9U}) {
    GangTestEnvironment world;
    world.settings.teams[0].cores_max = 0;
    world.tuning.preempt_after_s = 1;
    world.StartLeader();
    world.AddGangMachine("m-1", "east");
    world.AddGangMachine("m-2", "east");
    JobSpec array = world.Array("job-1", 8);
    array.priority = Priority::kIdle;
    array.estimated_runtime_s = 300;
    world.Submit(array);
    world.Run(2);
    ASSERT_EQ(world.TasksInState("job-1", TaskState::kRunning), 8U);
    JobSpec gang = world.GangJob("job-2", tasks);
    gang.priority = Priority::kUrgent;
    world.Submit(gang);
    world.Run(6);
    const bool fits = tasks == 6;
    EXPECT_EQ(world.TasksInState("job-2", TaskState::kRunning), fits ? 6U : 0U);
    EXPECT_EQ(world.TasksInState("job-1", TaskState::kRunning), fits ? 2U : 8U);
  }
}

// Found by randomized tests: images of 1.6 GB took 16 s on machines that fetch slowly, while
// machines that had them cached ran idle-priority tasks.
TEST(Gang, UrgentGangPreemptsForCachedImageRatherThanFetch) {
  for (const bool preemptible : {true, false}) {
    GangTestEnvironment world;
    world.settings.teams[0].cores_max = 0;
    world.StartLeader();
    auto& worker = world.AddGangMachine("m-1", "east");
    world.Submit(world.GangJob("job-1", 4));
    world.Run(2);
    world.Complete("job-1");
    world.Run(2);
    JobSpec array = world.Array("job-2", 4);
    array.priority = preemptible ? Priority::kIdle : Priority::kUrgent;
    array.estimated_runtime_s = 300;
    world.Submit(array);
    world.Run(1);
    ASSERT_EQ(worker.ActiveTasks("job-2"), 4U);
    auto& other_worker = world.AddGangMachine("m-2", "east");
    JobSpec gang = world.GangJob("job-3", 4);
    gang.priority = Priority::kUrgent;
    gang.image_gb = 20;  // a fetch of 20 s
    world.Submit(gang);
    world.Run(4);
    EXPECT_EQ(worker.ActiveTasks("job-3"), preemptible ? 4U : 0U);
    EXPECT_EQ(other_worker.ActiveTasks("job-3"), preemptible ? 0U : 4U);
  }
}

TEST(Gang, SmallTasksDoNotStarveGangOfFreedCapacity) {
  GangTestEnvironment world;
  world.settings.teams[0].cores_max = 0;
  world.StartLeader();
  auto& worker = world.AddGangMachine("m-1", "east");
  world.Submit(world.Array("job-1", 200, 2));
  world.Run(1);
  world.Submit(world.GangJob("job-2", 4));
  // One task of the array ends every second; the gang ranks before the remaining tasks.
  for (int i = 0; i < 30 && world.TasksInState("job-2", TaskState::kRunning) == 0; ++i) {
    for (TaskStatus& task : worker.heartbeat.tasks) {
      if (task.state != TaskState::kRunning) continue;
      worker.EndTask(task.task_name, ExitReason::kDone);
      break;
    }
    world.Run(1);
  }
  EXPECT_EQ(world.TasksInState("job-2", TaskState::kRunning), 4U);
}

TEST(Gang, TwoGangsDoNotDeadlockWithPartialPlacements) {
  GangTestEnvironment world;
  world.settings.teams[0].cores_max = 0;
  world.StartLeaderWithGang(6);
  world.Submit(world.GangJob("job-2", 6));
  world.Run(5);
  EXPECT_EQ(world.TasksInState("job-1", TaskState::kRunning) +
                world.TasksInState("job-2", TaskState::kRunning),
            6U);
  EXPECT_EQ(world.TasksInState("job-1", TaskState::kWaitingForGang) +
                world.TasksInState("job-2", TaskState::kWaitingForGang),
            0U);
  world.Complete("job-1");
  world.Complete("job-2");
  world.Run(5);
  EXPECT_EQ(world.StartCount("job-1") + world.StartCount("job-2"), 12U);
}

TEST(Gang, WorkGrowsLinearlyUpToTwoThousandTasks) {
  size_t work[2] = {0, 0};
  for (const uint32_t machines : {125U, 500U}) {
    GangTestEnvironment world;
    world.settings.teams[0].cores_max = 0;
    world.settings.quota_memory_mb = 500;
    world.StartLeader();
    for (uint32_t i = 0; i < machines; ++i) world.AddGangMachine("m-" + std::to_string(i), "east");
    const uint64_t before = world.leader->work_units();
    const uint32_t tasks = machines * 4;
    ASSERT_EQ(world.Submit(world.GangJob("job-1", tasks)).status, 201);
    world.Run(3);
    ASSERT_EQ(world.TasksInState("job-1", TaskState::kRunning), tasks);
    world.Complete("job-1");
    world.Run(3);
    EXPECT_EQ(world.SendRequest(JobOperation::kGet, "job-1").state, JobState::kDone);
    work[machines == 500 ? 1 : 0] = world.leader->work_units() - before;
  }
  // Four times as many machines and tasks take about four times the work; quadratic growth fails.
  EXPECT_LT(work[1], work[0] * 5);
}

TEST(Gang, CancellationWhileWaitingOrRunningEndsAllTasks) {
  for (const double run_before_cancel_s : {0.0, 3.0}) {
    GangTestEnvironment world;
    world.StartLeader();
    world.AddGangMachine("m-1", "east");
    world.AddGangMachine("m-2", "east");
    world.Submit(world.GangJob("job-1", 6));
    world.AdvanceTime(0.5);
    world.Run(run_before_cancel_s);
    ASSERT_EQ(world.SendRequest(JobOperation::kCancel, "job-1").state, JobState::kCancelled);
    world.Run(2);
    EXPECT_EQ(world.Attempts("job-1").size(), 0U);
    EXPECT_EQ(world.StartCount("job-1"), 6U);
  }
}

TEST(Capacity, SingleZoneGangIsProvisionedInOneZone) {
  InstanceOffering east{{8, 0, 64}, 0, 0, false, 1.0, 30, false, 0};
  InstanceOffering west{{8, 0, 64}, 0, 1, false, 1.0, 30, false, 0};
  ResourceRequest request;
  request.cores = 2;
  request.memory_gb = 4;
  std::vector<MachineCapacity> bins(2);
  for (uint32_t zone = 0; zone < 2; ++zone) {
    bins[zone].zone = zone;
    bins[zone].usable = true;
    bins[zone].cores = 4 + 2 * zone;
    bins[zone].memory_gb = 64;
  }
  // Both zones together have capacity for five tasks, the zone with more capacity only for three.
  const auto plan = PlanScaleOut({east, west}, bins, {{request, 5, true}}, 10);
  ASSERT_EQ(plan.size(), 1U);
  EXPECT_EQ(plan[0].offering, 1U);
  EXPECT_EQ(plan[0].count, 1);
  EXPECT_TRUE(PlanScaleOut({east, west}, bins, {{request, 5, false}}, 10).empty());
}

}  // namespace
}  // namespace deckhall
