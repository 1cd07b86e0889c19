// Gangs, a test for each thing that the operators' page asks of them.
#include <gtest/gtest.h>

#include "gang_world.h"
#include "sched/scale_out_plan.h"

namespace deckhall {
namespace {

TEST(Gang, IsRefusedWhenAllOfItNeedsMoreThanTheLimit) {
  GangTestEnvironment w;
  w.StartLeader();
  EXPECT_EQ(w.Submit(w.GangJob("job-1", 21)).status, 422);  // 42 cores of 40
  EXPECT_EQ(w.Submit(w.GangJob("job-2", 20)).status, 201);
  EXPECT_EQ(w.Submit(w.GangJob("job-2", 20)).status, 200);
  EXPECT_EQ(w.Submit(w.GangJob("job-3", 1, 9)).status, 422);  // fits no machine
}

TEST(Gang, StartsOnlyWhenAllOfItIsWithinTheLimit) {
  GangTestEnvironment w;
  w.settings.teams[0].cores_max = 8;
  w.StartLeader();
  for (int i = 0; i < 3; ++i) w.AddGangMachine("m-" + std::to_string(i), "east");
  w.Submit(w.GangJob("job-1", 3));
  w.Run(2);
  EXPECT_EQ(w.TasksInState("job-1", TaskState::kRunning), 3U);
  w.Submit(w.GangJob("job-2", 2));
  w.Run(5);
  EXPECT_EQ(w.StartCount("job-2"), 0U);
  w.Complete("job-1");
  w.Run(3);
  EXPECT_EQ(w.TasksInState("job-2", TaskState::kRunning), 2U);
}

TEST(Gang, GoesToTheZoneThatHasRoomForAllOfIt) {
  GangTestEnvironment w;
  w.StartLeader();
  w.AddGangMachine("m-1", "east");
  w.AddGangMachine("m-2", "west");
  w.AddGangMachine("m-3", "west");
  w.Submit(w.GangJob("job-1", 6));  // 12 cores; each machine has 8
  w.Run(3);
  EXPECT_EQ(w.TasksInState("job-1", TaskState::kRunning), 6U);
  EXPECT_FALSE(w.job_in_two_zones);
  EXPECT_EQ(w.Attempts("job-1").size(), 1U);
}

TEST(Gang, StartsNothingWhileOneZoneHasNotRoomForAllOfIt) {
  GangTestEnvironment w;
  w.StartLeader();
  w.AddGangMachine("m-1", "east");
  w.AddGangMachine("m-2", "west");
  w.Submit(w.GangJob("job-1", 6));
  w.Run(10);
  EXPECT_EQ(w.StartCount("job-1"), 0U);
}

TEST(Gang, ARefusedTaskIsReplacedUnderTheSameAttempt) {
  GangTestEnvironment w;
  w.StartLeaderWithGang(6);
  FakeWorker& a = w.workers.by_endpoint["m-1:1"];
  FakeWorker& b = w.workers.by_endpoint["m-2:1"];
  // The first command there arrives at a machine without room.
  a.heartbeat.tasks.clear();
  w.AdvanceTime(0.5);
  ASSERT_EQ(w.TasksInState("job-1", TaskState::kWaitingForGang), 6U);
  const std::set<uint64_t> attempt = w.Attempts("job-1");
  a.EndTask(a.heartbeat.tasks.back().task_name, ExitReason::kInsufficientCapacity);
  w.AddGangMachine("m-3", "east");
  w.Run(4);
  EXPECT_EQ(w.TasksInState("job-1", TaskState::kRunning), 6U);
  EXPECT_EQ(w.Attempts("job-1"), attempt);
  EXPECT_EQ(w.StartCount("job-1"), 7U);
  EXPECT_FALSE(w.task_ran_twice);
  EXPECT_GT(b.started_tasks.size(), 0U);
}

TEST(Gang, ATaskOnASilentMachineIsReplacedOnlyWhenItSurelyEnded) {
  GangTestEnvironment w;
  w.StartLeaderWithGang(6);
  FakeWorker& a = w.workers.by_endpoint["m-1:1"];
  w.AdvanceTime(0.5);
  const std::set<uint64_t> attempt = w.Attempts("job-1");
  w.AddGangMachine("m-3", "east");
  w.cloud.unavailable = true;
  a.unresponsive = true;
  w.Run(5);
  EXPECT_FALSE(w.task_ran_twice);
  EXPECT_EQ(w.StartCount("job-1"), 6U);
  w.cloud.unavailable = false;  // its return ends what is on it
  w.Run(1);
  a.heartbeat.tasks.clear();
  w.Run(6);
  EXPECT_EQ(w.TasksInState("job-1", TaskState::kRunning), 6U);
  EXPECT_EQ(w.Attempts("job-1"), attempt);
}

TEST(Gang, AnAttemptThatCanNotBeCompletedIsGivenUpAndNotWaitedOut) {
  GangTestEnvironment w;
  w.StartLeader();
  auto& a = w.AddGangMachine("m-1", "east");
  w.AddGangMachine("m-2", "east");
  w.Submit(w.GangJob("job-1", 8));  // takes all of both
  w.AdvanceTime(0.5);
  ASSERT_EQ(w.TasksInState("job-1", TaskState::kWaitingForGang), 8U);
  w.cloud.unavailable = false;
  a.unresponsive = true;
  a.heartbeat.tasks.clear();
  w.Run(12);
  // The places are free long before the gathering time is over.
  EXPECT_EQ(w.TasksInState("job-1", TaskState::kWaitingForGang), 0U);
  EXPECT_EQ(w.Attempts("job-1").size(), 0U);
}

TEST(Gang, ARunningOneThatLostATaskStartsAgainAsAWholeWhenAllOfItHasEnded) {
  GangTestEnvironment w;
  w.StartLeaderWithGang(6);
  FakeWorker& a = w.workers.by_endpoint["m-1:1"];
  w.Run(2);
  ASSERT_EQ(w.TasksInState("job-1", TaskState::kRunning), 6U);
  const std::set<uint64_t> first = w.Attempts("job-1");
  w.AddGangMachine("m-3", "east");
  a.unresponsive = true;
  a.heartbeat.tasks.clear();
  w.Run(4);
  // Sooner than the tasks themselves would notice.
  EXPECT_LT(4, w.settings.gang_loss_detection_s);
  w.Run(2);
  EXPECT_EQ(w.TasksInState("job-1", TaskState::kRunning), 6U);
  EXPECT_NE(w.Attempts("job-1"), first);
  EXPECT_EQ(w.Attempts("job-1").size(), 1U);
  EXPECT_EQ(w.StartCount("job-1"), 12U);  // nothing joined the attempt that had started
  EXPECT_FALSE(w.task_ran_twice);
}

TEST(Gang, StaysInTheZoneOfAnAttemptThatHasNotEnded) {
  GangTestEnvironment w;
  w.StartLeader();
  auto& a = w.AddGangMachine("m-1", "east");
  w.Submit(w.GangJob("job-1", 2));
  w.Run(2);
  ASSERT_EQ(w.TasksInState("job-1", TaskState::kRunning), 2U);
  w.cloud.unavailable = true;
  w.AddGangMachine("m-2", "west");
  a.unresponsive = true;  // hangs with both tasks, and its lease counts on
  w.Run(w.settings.lease_s - 2);
  EXPECT_EQ(w.StartCount("job-1"), 2U);
  a.heartbeat.tasks.clear();
  w.Run(10);
  EXPECT_EQ(w.StartCount("job-1"), 4U);
  EXPECT_FALSE(w.job_in_two_zones);
}

TEST(Gang, OneDoneTaskIsTheEndOfAllOfThemAlsoForTheNextLeader) {
  GangTestEnvironment w;
  w.StartLeaderWithGang(6);
  FakeWorker& a = w.workers.by_endpoint["m-1:1"];
  FakeWorker& b = w.workers.by_endpoint["m-2:1"];
  w.Run(2);
  b.unresponsive = true;
  w.Complete("job-1", {"m-1"});
  b.heartbeat.tasks.clear();  // lost with what it knew
  w.Run(3);
  EXPECT_EQ(w.SendRequest(JobOperation::kGet, "job-1").state, JobState::kDone);
  EXPECT_EQ(w.SendRequest(JobOperation::kGet, "job-1").tasks_done, 6U);
  w.Run(10);
  w.StartLeader();
  w.Run(10);
  EXPECT_EQ(w.StartCount("job-1"), 6U);
  EXPECT_EQ(w.SendRequest(JobOperation::kGet, "job-1").state, JobState::kDone);
  EXPECT_TRUE(a.heartbeat.tasks.empty());  // cleared
}

// As the version before wrote it, which kept each task's end by itself.
TEST(Gang, ADoneTaskInARowOfTheVersionBeforeEndsTheGang) {
  GangTestEnvironment w;
  w.state.keys["deckhall/pages/000000"] = {
      R"([{"j":{"name_id":"job-1","clase":"sums","cuadrilla":"blue","forma":"ensemble",)"
      R"("rango":"normal","faenas":3,"cores":2.0,"memory_gb":4.0,"carga":"img","image_gb":1.0,)"
      R"("one_zone":true,"rumbo_s":30.0,"bitacora_s":20.0,"estiba_s":3.0},)"
      R"("t":500000990.0,"v":60.0,"d":"2"}])",
      90, 0};
  w.StartLeader();
  w.AddGangMachine("m-1", "east");
  w.Run(3);
  EXPECT_EQ(w.SendRequest(JobOperation::kGet, "job-1").state, JobState::kDone);
  EXPECT_EQ(w.StartCount("job-1"), 0U);
}

TEST(Gang, PeersBlameNeitherMachineNorJob) {
  GangTestEnvironment w;
  w.StartLeader();
  auto& a = w.AddGangMachine("m-1", "east");
  w.Submit(w.GangJob("job-1", 3));
  for (int round = 0; round < 4; ++round) {
    w.Run(2);
    ASSERT_EQ(w.TasksInState("job-1", TaskState::kRunning), 3U) << round;
    for (TaskStatus& task : a.heartbeat.tasks) {
      if (task.state != TaskState::kExited) a.EndTask(task.task_name, ExitReason::kGangMemberLost);
    }
  }
  EXPECT_TRUE(w.cloud.released.empty());
}

TEST(Gang, AMachineThatFailsItsTasksIsStillFound) {
  GangTestEnvironment w;
  w.StartLeader();
  auto& a = w.AddGangMachine("m-1", "east");
  for (const char* id : {"job-1", "job-2"}) {
    w.Submit(w.GangJob(id, 2));
    w.Run(2);
    const std::string task = std::string(id) + "/0";
    ASSERT_TRUE(a.HasTask(task));
    a.EndTask(task, ExitReason::kError);
    w.AdvanceTime(0.5);
  }
  const size_t before = a.started_tasks.size();
  w.Run(10);
  EXPECT_EQ(a.started_tasks.size(), before);  // quarantined
}

TEST(Gang, ASpotNoticeStopsAllOfItInTimeToSave) {
  GangTestEnvironment w;
  w.StartLeader();
  auto& a = w.AddGangMachine("m-1", "east", true);
  w.AddGangMachine("m-2", "east", true);
  JobSpec gang = w.GangJob("job-1", 6);
  gang.spot_tolerant = true;
  gang.estimated_runtime_s = 100;
  w.Submit(gang);
  w.Run(2);
  ASSERT_EQ(w.TasksInState("job-1", TaskState::kRunning), 6U);
  a.heartbeat.preemption_notice_s = 12;
  w.Run(1.5);
  EXPECT_EQ(w.TasksInState("job-1", TaskState::kCheckpointing), 6U);
  w.Run(4);
  EXPECT_EQ(w.TasksInState("job-1", TaskState::kRunning), 0U);
  EXPECT_EQ(w.Attempts("job-1").size(), 0U);
}

TEST(Gang, ANoticeThatLeavesNoTimeToSaveEndsItAtOnce) {
  GangTestEnvironment w;
  w.StartLeader();
  auto& a = w.AddGangMachine("m-1", "east", true);
  w.AddGangMachine("m-2", "east", true);
  JobSpec gang = w.GangJob("job-1", 6);
  gang.spot_tolerant = true;
  gang.estimated_runtime_s = 100;
  w.Submit(gang);
  w.Run(2);
  a.heartbeat.preemption_notice_s = 4;
  w.Run(1.5);
  EXPECT_EQ(w.TasksInState("job-1", TaskState::kCheckpointing), 0U);
  EXPECT_EQ(w.Attempts("job-1").size(), 0U);
}

TEST(Gang, ANewLeaderFinishesAStopThatReachedSomeOfItsTasks) {
  GangTestEnvironment w;
  w.StartLeaderWithGang(6);
  FakeWorker& a = w.workers.by_endpoint["m-1:1"];
  w.Run(2);
  const std::set<uint64_t> first = w.Attempts("job-1");
  for (TaskStatus& task : a.heartbeat.tasks) task.state = TaskState::kCheckpointing;
  w.StartLeader();
  w.Run(2);
  EXPECT_EQ(w.TasksInState("job-1", TaskState::kCheckpointing), 6U);
  w.Run(4);
  EXPECT_EQ(w.TasksInState("job-1", TaskState::kRunning), 6U);
  EXPECT_NE(w.Attempts("job-1"), first);
}

TEST(Gang, RunsOnUnderANewLeader) {
  GangTestEnvironment w;
  w.StartLeaderWithGang(6);
  w.Run(2);
  const std::set<uint64_t> first = w.Attempts("job-1");
  w.StartLeader();
  w.Run(10);
  EXPECT_EQ(w.TasksInState("job-1", TaskState::kRunning), 6U);
  EXPECT_EQ(w.Attempts("job-1"), first);
}

TEST(Gang, ANewLeaderCompletesOneThatGathers) {
  GangTestEnvironment w;
  w.StartLeaderWithGang(6);
  FakeWorker& a = w.workers.by_endpoint["m-1:1"];
  w.AdvanceTime(0.5);
  const std::set<uint64_t> first = w.Attempts("job-1");
  const std::string lost = a.heartbeat.tasks.back().task_name;
  a.EndTask(lost, ExitReason::kInsufficientCapacity);
  w.AddGangMachine("m-3", "east");
  w.StartLeader();
  w.Run(6);
  EXPECT_EQ(w.TasksInState("job-1", TaskState::kRunning), 6U);
  EXPECT_EQ(w.Attempts("job-1"), first);
}

TEST(Gang, ANewLeaderEndsWhatIsLeftOfAnEarlierAttempt) {
  GangTestEnvironment w;
  w.StartLeader();
  auto& a = w.AddGangMachine("m-1", "east");
  w.Submit(w.GangJob("job-1", 2));
  w.AdvanceTime(0.5);
  ASSERT_EQ(w.TasksInState("job-1", TaskState::kWaitingForGang), 2U);
  --a.heartbeat.tasks.back().attempt;  // it never comes together with the other one
  w.StartLeader();
  w.Run(6);
  EXPECT_LT(6, w.settings.gang_wait_s);
  EXPECT_EQ(w.TasksInState("job-1", TaskState::kRunning), 2U);
  EXPECT_EQ(w.Attempts("job-1").size(), 1U);
}

TEST(Gang, AnUrgentOneStopsIdleWorkOnlyWhenAllOfItFitsThen) {
  for (const uint32_t tasks : {6U, 9U}) {
    GangTestEnvironment w;
    w.settings.teams[0].cores_max = 0;
    w.tuning.preempt_after_s = 1;
    w.StartLeader();
    w.AddGangMachine("m-1", "east");
    w.AddGangMachine("m-2", "east");
    JobSpec idle = w.Array("job-1", 8);
    idle.priority = Priority::kIdle;
    idle.estimated_runtime_s = 300;
    w.Submit(idle);
    w.Run(2);
    ASSERT_EQ(w.TasksInState("job-1", TaskState::kRunning), 8U);
    JobSpec gang = w.GangJob("job-2", tasks);
    gang.priority = Priority::kUrgent;
    w.Submit(gang);
    w.Run(6);
    const bool fits = tasks == 6;
    EXPECT_EQ(w.TasksInState("job-2", TaskState::kRunning), fits ? 6U : 0U);
    EXPECT_EQ(w.TasksInState("job-1", TaskState::kRunning), fits ? 2U : 8U);
  }
}

// Found by hunts: images of 1.6 GB took 16 s on machines that fetch slowly, while machines
// that held them ran idle work.
TEST(Gang, AnUrgentOneGoesWhereItsImageIsRatherThanFetchItForLong) {
  for (const bool lower : {true, false}) {
    GangTestEnvironment w;
    w.settings.teams[0].cores_max = 0;
    w.StartLeader();
    auto& a = w.AddGangMachine("m-1", "east");
    w.Submit(w.GangJob("job-1", 4));
    w.Run(2);
    w.Complete("job-1");
    w.Run(2);
    JobSpec idle = w.Array("job-2", 4);
    idle.priority = lower ? Priority::kIdle : Priority::kUrgent;
    idle.estimated_runtime_s = 300;
    w.Submit(idle);
    w.Run(1);
    ASSERT_EQ(a.ActiveTasks("job-2"), 4U);
    auto& b = w.AddGangMachine("m-2", "east");
    JobSpec gang = w.GangJob("job-3", 4);
    gang.priority = Priority::kUrgent;
    gang.image_gb = 20;  // a fetch of 20 s
    w.Submit(gang);
    w.Run(4);
    EXPECT_EQ(a.ActiveTasks("job-3"), lower ? 4U : 0U);
    EXPECT_EQ(b.ActiveTasks("job-3"), lower ? 0U : 4U);
  }
}

TEST(Gang, SmallTasksDoNotTakeAllFreedPieces) {
  GangTestEnvironment w;
  w.settings.teams[0].cores_max = 0;
  w.StartLeader();
  auto& a = w.AddGangMachine("m-1", "east");
  w.Submit(w.Array("job-1", 200, 2));
  w.Run(1);
  w.Submit(w.GangJob("job-2", 4));
  // A task of the array ends every second; the gang is ranked before what is left of it.
  for (int i = 0; i < 30 && w.TasksInState("job-2", TaskState::kRunning) == 0; ++i) {
    for (TaskStatus& task : a.heartbeat.tasks) {
      if (task.state != TaskState::kRunning) continue;
      a.EndTask(task.task_name, ExitReason::kDone);
      break;
    }
    w.Run(1);
  }
  EXPECT_EQ(w.TasksInState("job-2", TaskState::kRunning), 4U);
}

TEST(Gang, TwoOfThemDoNotBlockEachOtherHalfPlaced) {
  GangTestEnvironment w;
  w.settings.teams[0].cores_max = 0;
  w.StartLeaderWithGang(6);
  w.Submit(w.GangJob("job-2", 6));
  w.Run(5);
  EXPECT_EQ(
      w.TasksInState("job-1", TaskState::kRunning) + w.TasksInState("job-2", TaskState::kRunning),
      6U);
  EXPECT_EQ(w.TasksInState("job-1", TaskState::kWaitingForGang) +
                w.TasksInState("job-2", TaskState::kWaitingForGang),
            0U);
  w.Complete("job-1");
  w.Complete("job-2");
  w.Run(5);
  EXPECT_EQ(w.StartCount("job-1") + w.StartCount("job-2"), 12U);
}

TEST(Gang, OfTwoThousandTasksStartsAndEndsWithWorkThatGrowsWithItAlone) {
  size_t steps[2] = {0, 0};
  for (const uint32_t machines : {125U, 500U}) {
    GangTestEnvironment w;
    w.settings.teams[0].cores_max = 0;
    w.settings.quota_memory_mb = 500;
    w.StartLeader();
    for (uint32_t i = 0; i < machines; ++i) w.AddGangMachine("m-" + std::to_string(i), "east");
    const uint64_t before = w.leader->work_units();
    const uint32_t tasks = machines * 4;
    ASSERT_EQ(w.Submit(w.GangJob("job-1", tasks)).status, 201);
    w.Run(3);
    ASSERT_EQ(w.TasksInState("job-1", TaskState::kRunning), tasks);
    w.Complete("job-1");
    w.Run(3);
    EXPECT_EQ(w.SendRequest(JobOperation::kGet, "job-1").state, JobState::kDone);
    steps[machines == 500 ? 1 : 0] = w.leader->work_units() - before;
  }
  // Four times the machines and tasks, four times the work.
  EXPECT_LT(steps[1], steps[0] * 5);
}

TEST(Gang, CancelledWhileItGathersOrRunsIsGone) {
  for (const double after : {0.0, 3.0}) {
    GangTestEnvironment w;
    w.StartLeader();
    w.AddGangMachine("m-1", "east");
    w.AddGangMachine("m-2", "east");
    w.Submit(w.GangJob("job-1", 6));
    w.AdvanceTime(0.5);
    w.Run(after);
    ASSERT_EQ(w.SendRequest(JobOperation::kCancel, "job-1").state, JobState::kCancelled);
    w.Run(2);
    EXPECT_EQ(w.Attempts("job-1").size(), 0U);
    EXPECT_EQ(w.StartCount("job-1"), 6U);
  }
}

TEST(Capacity, AGangThatMustBeInOneZoneIsRentedRoomInOne) {
  InstanceOffering east{{8, 0, 64}, 0, 0, false, 1.0, 30, false, 0};
  InstanceOffering west{{8, 0, 64}, 0, 1, false, 1.0, 30, false, 0};
  ResourceRequest need;
  need.cores = 2;
  need.memory_gb = 4;
  std::vector<MachineCapacity> bins(2);
  for (uint32_t zone = 0; zone < 2; ++zone) {
    bins[zone].zone = zone;
    bins[zone].usable = true;
    bins[zone].cores = 4 + 2 * zone;
    bins[zone].memory_gb = 64;
  }
  // Together there is room for five of its tasks, in the better zone for three.
  const auto rent = PlanScaleOut({east, west}, bins, {{need, 5, true}}, 10);
  ASSERT_EQ(rent.size(), 1U);
  EXPECT_EQ(rent[0].offering, 1U);
  EXPECT_EQ(rent[0].count, 1);
  EXPECT_TRUE(PlanScaleOut({east, west}, bins, {{need, 5, false}}, 10).empty());
}

}  // namespace
}  // namespace deckhall
