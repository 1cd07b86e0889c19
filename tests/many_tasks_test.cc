// Machines with so many tasks that the commands and reports about all of them come near the size
// that PROTOCOL allows for a message. One leader with scripted workers.
#include <gtest/gtest.h>

#include <set>

#include "fakes.h"
#include "sched/scale_out_plan.h"

namespace deckhall {
namespace {

constexpr const char* kArray = "job-1";
constexpr const char* kService = "job-2";

class ManyTasks : public ::testing::Test {
 protected:
  ManyTasks() { world_.StartLeader(); }

  JobSpec SmallTasks(const std::string& id, uint32_t tasks) {
    JobSpec spec = world_.Array(id, tasks, 0.001);
    spec.memory_gb = 0.001;
    return spec;
  }
  JobSpec SmallService(const std::string& id) {
    JobSpec spec = world_.Service(id, 1, 1);
    spec.memory_gb = 1;
    return spec;
  }

  // A worker on which tasks of the arrays run, which an earlier leader of a version without a bound
  // placed there; a new leader has adopted them.
  FakeWorker& AdoptTasks(const std::vector<std::pair<std::string, uint32_t>>& arrays) {
    FakeWorker& worker = world_.workers.by_endpoint["m-1:1"];
    for (const auto& [id, tasks] : arrays) {
      world_.Submit(SmallTasks(id, tasks));
      for (uint32_t i = 0; i < tasks; ++i) {
        worker.heartbeat.tasks.push_back(
            {id + "/" + std::to_string(i), i + 1, TaskState::kRunning, ExitReason::kNone, false});
      }
    }
    world_.StartLeader();
    world_.AddMachine("m-1", "east");
    EXPECT_EQ(MachineState().attempts.size(), worker.heartbeat.tasks.size());
    return worker;
  }
  FakeWorker& AdoptTasks(uint32_t tasks) { return AdoptTasks({{kArray, tasks}}); }
  Machine& MachineState() {
    Fleet& fleet = world_.leader->fleet();
    return fleet[fleet.Find("m-1")];
  }
  void Cancel(const std::string& id) { world_.SendRequest(JobOperation::kCancel, id); }
  // The tasks named in the commands.
  static std::set<std::string> TasksIn(const CommandBatch& commands) {
    std::set<std::string> tasks;
    for (const Command& command : commands) tasks.insert(command.task_name);
    return tasks;
  }

  LeaderTestEnvironment world_;
};

// review/5, as one leader sees it: the stops of all tasks went in one message, which was too long.
TEST_F(ManyTasks, StopsBeyondOneMessageGoOutAtOnce) {
  FakeWorker& worker = AdoptTasks(1000);
  Cancel(kArray);
  EXPECT_EQ(worker.ActiveTasks(kArray), 0U);  // no time has passed
  EXPECT_EQ(worker.oversized_messages, 0);
}

// The rows of ended tasks are longer than those of running ones. A report about all of them would
// be refused, so some exits are acknowledged without waiting for it.
TEST_F(ManyTasks, MachineWithMoreTasksThanItsReportCanListGoesOnReporting) {
  FakeWorker& worker = AdoptTasks(850);  // one message stops them all
  Cancel(kArray);
  world_.AdvanceTime(10);
  EXPECT_TRUE(worker.heartbeat.tasks.empty());
  world_.Submit(SmallService(kService));
  world_.AdvanceTime(5);
  EXPECT_EQ(worker.ActiveTasks(kService), 1U);
}

// What finds no room in a response follows directly, not with the next response.
TEST_F(ManyTasks, StopsLeftOutOfAResponseFollowAtOnce) {
  FakeWorker& worker = AdoptTasks(1000);
  worker.refuses_connections = true;
  Cancel(kArray);
  worker.refuses_connections = false;
  // The pause after the refused connection ends between two liveness checks, which would find the
  // stops that are left, too.
  world_.clock.now += 0.45;
  world_.ProcessPending();
  world_.clock.now += 0.1;
  world_.SendHeartbeat(&worker);
  EXPECT_GT(worker.ActiveTasks(kArray), 0U);
  EXPECT_LT(worker.ActiveTasks(kArray), 500U);
  world_.ProcessPending();
  EXPECT_EQ(worker.ActiveTasks(kArray), 0U);
  EXPECT_EQ(worker.oversized_messages, 0);
}

// Stops that found no room must not count as sent.
TEST_F(ManyTasks, OnlyStopsThatWereSentCountAsSent) {
  FakeWorker& worker = AdoptTasks(1000);
  worker.hold_completions = true;
  Cancel(kArray);
  const size_t stopped = 1000 - worker.ActiveTasks(kArray);
  EXPECT_GT(stopped, 500U);
  EXPECT_LT(stopped, 1000U);
  for (const TaskAttempt& attempt : MachineState().attempts) {
    const bool sent = !worker.HasTask(attempt.task_name);
    EXPECT_EQ(attempt.stop_sent_at != kStopNotSentAt, sent) << attempt.task_name;
    EXPECT_EQ(attempt.first_stop_sent_at >= 0, sent) << attempt.task_name;
  }
}

// While the direct way is blocked and responses may be lost, no stop is left out again and again.
TEST_F(ManyTasks, EachResponseContinuesWithTheStopsThatWereLeftOut) {
  FakeWorker& worker = AdoptTasks(1000);
  worker.commands_never_complete = true;
  Cancel(kArray);
  std::set<std::string> stopped;
  for (int response = 0; response < 2; ++response) {
    ++worker.heartbeat.sequence;
    world_.clock.now += 1;
    stopped.merge(TasksIn(world_.leader->HandleHeartbeat(worker.heartbeat).commands));
  }
  EXPECT_EQ(stopped.size(), 1000U);
}

// The stops of tasks that take long to save are repeated, but others come first.
TEST_F(ManyTasks, StopsOfCancelledTasksAreNotDelayedByRepeatedOnes) {
  constexpr const char* kOther = "job-3";
  constexpr double kSaveSeconds = 30;
  FakeWorker& worker = AdoptTasks({{kArray, 850}, {kOther, 150}});
  worker.commands_never_complete = true;
  Fleet& fleet = world_.leader->fleet();
  const JobIndex array = world_.leader->job_store().Find(kArray);
  for (TaskAttempt& attempt : MachineState().attempts) {
    if (attempt.job == array) fleet.RequestStop(fleet.Find("m-1"), &attempt, kSaveSeconds);
  }
  world_.clock.now += 1;
  ++worker.heartbeat.sequence;
  EXPECT_EQ(world_.leader->HandleHeartbeat(worker.heartbeat).commands.size(), 850U);
  Cancel(kOther);
  std::set<std::string> stopped;
  for (int response = 0; response < 2; ++response) {
    world_.clock.now += 1;
    ++worker.heartbeat.sequence;
    const CommandBatch commands = world_.leader->HandleHeartbeat(worker.heartbeat).commands;
    EXPECT_LT(commands.size(), 1000U);
    stopped.merge(TasksIn(commands));
  }
  for (int i = 0; i < 150; ++i)
    EXPECT_TRUE(stopped.contains(std::string(kOther) + "/" + std::to_string(i))) << i;
}

// An agent that is not reconciled yet gets the stops of ended jobs in parts, too.
TEST_F(ManyTasks, UnreconciledAgentGetsStopsOfEndedJobsInParts) {
  FakeWorker& worker = AdoptTasks(1000);
  worker.commands_never_complete = true;
  Cancel(kArray);
  world_.StartLeader();
  ASSERT_FALSE(MachineState().reconciled);
  world_.SendHeartbeat(&worker);
  EXPECT_LT(worker.ActiveTasks(kArray), 500U);
  EXPECT_GT(worker.ActiveTasks(kArray), 0U);
  EXPECT_EQ(worker.oversized_messages, 0);
}

// A launch that found no room must not count as sent, and goes out as soon as there is room.
TEST_F(ManyTasks, LaunchesWaitForStopsAndFollowAtOnce) {
  FakeWorker& worker = AdoptTasks(1000);
  Fleet& fleet = world_.leader->fleet();
  worker.hold_completions = true;
  world_.Submit(SmallService(kService));
  // No machine has room in its report, so the task is placed by hand.
  const JobIndex service = world_.leader->job_store().Find(kService);
  fleet.PlaceTask(fleet.Find("m-1"), service, 0, fleet.NewAttemptNumber());
  Cancel(kArray);
  EXPECT_FALSE(worker.HasTask(std::string(kService) + "/0"));
  EXPECT_EQ(MachineState().attempts.back().launch_fencing_token, 0U);
  worker.hold_completions = false;
  for (const auto& complete : std::exchange(worker.held_completions, {})) complete();
  world_.ProcessPending();
  EXPECT_TRUE(worker.HasTask(std::string(kService) + "/0"));  // no time has passed
  EXPECT_EQ(worker.oversized_messages, 0);
}

// What is placed on a machine fits into its report, whatever becomes of it.
TEST_F(ManyTasks, MachineGetsOnlyTasksThatItsReportCanList) {
  constexpr uint32_t kTasks = 3000;
  std::vector<FakeWorker*> workers;
  for (const char* name : {"m-1", "m-2", "m-3"})
    workers.push_back(&world_.AddMachine(name, "east"));
  world_.Submit(SmallTasks(kArray, kTasks));
  world_.AdvanceTime(3);
  size_t placed = 0;
  for (FakeWorker* worker : workers) {
    const size_t tasks = worker->ActiveTasks(kArray);
    EXPECT_GT(tasks, 400U);
    placed += tasks;
    for (TaskStatus& status : worker->heartbeat.tasks) {
      status.state = TaskState::kExited;
      status.exit_reason = ExitReason::kDone;
    }
    EXPECT_LE(EncodeHeartbeat(worker->heartbeat).size(), kProtocolMessageBytes);
  }
  EXPECT_LT(placed, kTasks);
  // The others follow when these are acknowledged.
  world_.AdvanceTime(5);
  for (FakeWorker* worker : workers) {
    EXPECT_GT(worker->ActiveTasks(kArray), 0U);
    EXPECT_EQ(worker->oversized_messages, 0);
  }
}

// More machines are rented for tasks that fit into no report, and a gang starts whole.
TEST_F(ManyTasks, MachinesAreAddedForAGangBeyondOneReport) {
  constexpr const char* kGang = "job-3";
  constexpr uint32_t kTasks = 2000;
  JobSpec gang = SmallTasks(kGang, kTasks);
  gang.gang = true;
  FakeWorker& first = world_.AddMachine("m-1", "east");
  first.gang_jobs.insert(kGang);
  world_.Submit(gang);
  world_.AdvanceTime(1);
  EXPECT_EQ(first.ActiveTasks(kGang), 0U);
  EXPECT_EQ(world_.cloud.provisioned.size(), 3U);
  size_t started = 0;
  for (const char* name : {"m-2", "m-3", "m-4"}) {
    EXPECT_EQ(first.ActiveTasks(kGang), 0U);
    world_.AddMachine(name, "east").gang_jobs.insert(kGang);
  }
  world_.AdvanceTime(3);
  for (const auto& [endpoint, worker] : world_.workers.by_endpoint) {
    started += worker.ActiveTasks(kGang);
    EXPECT_EQ(worker.oversized_messages, 0);
  }
  EXPECT_EQ(started, kTasks);
}

// The type that has the lowest price for a place in a report is chosen.
TEST(ScaleOutPlan, RoomInReportsCounts) {
  constexpr double kRowBytes = 100;
  constexpr double kReportBytes = 500 * kRowBytes;
  InstanceOffering large;
  large += Resources{16, 0, 64, kReportBytes};
  large.hourly_price = 2;
  InstanceOffering small;
  small += Resources{4, 0, 16, kReportBytes};
  small.hourly_price = 1;
  ResourceDemand demand;
  demand.request += Resources{0.004, 0, 0.01, kRowBytes};
  demand.count = 1200;
  const std::vector<ScaleOutDecision> plan = PlanScaleOut({large, small}, {}, {demand}, 100);
  ASSERT_EQ(plan.size(), 1U);
  EXPECT_EQ(plan[0].offering, 1U);
  EXPECT_EQ(plan[0].count, 3);
}

// Replicas find a place on a machine whose report is full of preemptible tasks.
TEST_F(ManyTasks, ReplicaPreemptsTasksThatFillTheReport) {
  FakeWorker& worker = world_.AddMachine("m-1", "east");
  world_.Submit(SmallTasks(kArray, 2000));
  world_.AdvanceTime(3);
  ASSERT_GT(worker.ActiveTasks(kArray), 400U);
  world_.Submit(SmallService(kService));
  world_.AdvanceTime(5);
  EXPECT_EQ(worker.ActiveTasks(kService), 1U);
  EXPECT_GT(worker.ActiveTasks(kArray), 400U);
}

// A refused message shows that the machine is reachable; nothing of it was executed.
TEST_F(ManyTasks, MachineThatRefusesAMessageIsNotUnreachable) {
  FakeWorker& worker = world_.AddMachine("m-1", "east");
  worker.refuses_messages = true;
  world_.Submit(SmallService(kService));
  const uint64_t tokens_raised = world_.leader->fleet().tokens_raised();
  for (int i = 0; i < 6; ++i) world_.AdvanceTime(0.5, false);
  EXPECT_EQ(MachineState().unreachable_count, 0);
  EXPECT_EQ(MachineState().attempts.size(), 1U);
  EXPECT_EQ(world_.leader->fleet().tokens_raised(), tokens_raised);
  worker.refuses_messages = false;
  world_.AdvanceTime(5, false);
  EXPECT_EQ(worker.ActiveTasks(kService), 1U);
  // A refused stop does not count as sent.
  worker.refuses_messages = true;
  Cancel(kService);
  EXPECT_EQ(MachineState().attempts[0].stop_sent_at, kStopNotSentAt);
  worker.refuses_messages = false;
  world_.AdvanceTime(1, false);
  EXPECT_EQ(worker.ActiveTasks(kService), 0U);
}

}  // namespace
}  // namespace deckhall
