// Late copies of direct commands: any command that a worker executed and answered may arrive there
// once more, at any later time. One leader with fakes, and clusters of real controllers over a
// simulated network.
#include <gtest/gtest.h>

#include "fakes.h"
#include "meeting_support.h"

namespace deckhall {
namespace {

// Delivers copies of all direct commands at all workers, in steps shorter than any interval of the
// protocol. Returns the most machines that ran the task at once.
size_t MostRunningWithCopies(LeaderTestEnvironment* world, const std::string& task,
                             double seconds) {
  constexpr double kStepSeconds = 0.1;
  constexpr int kStepsPerHeartbeat = 5;
  size_t most = 0;
  for (int step = 0; step * kStepSeconds < seconds; ++step) {
    world->clock.now += kStepSeconds;
    size_t running = 0;
    for (auto& [endpoint, worker] : world->workers.by_endpoint) {
      if (step % kStepsPerHeartbeat == 0) world->SendHeartbeat(&worker);
      worker.DeliverCopies();
      running += worker.HasTask(task) ? 1 : 0;
    }
    most = std::max(most, running);
    world->ProcessPending();
  }
  return most;
}

// A replica runs on m-1, which gets no further tasks; m-2 has room for it.
class LateCopy : public ::testing::Test {
 protected:
  static constexpr const char* kTask = "job-1/0";

  LateCopy() {
    world_.StartLeader();
    first_ = &world_.AddMachine("m-1", "east");
    world_.Submit(world_.Service("job-1", 1));
    world_.AdvanceTime(2);
    EXPECT_TRUE(first_->HasTask(kTask));
    second_ = &world_.AddMachine("m-2", "east");
    ExcludeFirst();
  }
  void ExcludeFirst() {
    Fleet& fleet = world_.leader->fleet();
    fleet[fleet.Find("m-1")].unschedulable = true;
  }
  void ChangeLeader() {
    world_.StartLeader();
    world_.AdvanceTime(2);
    ExcludeFirst();
  }
  // Neither direct commands nor responses show the first agent a higher token. Expects that its
  // task moves only after that.
  void ExpectMoveOnceCopiesAreRejected() {
    first_->one_way_reachable = true;
    world_.AdvanceTime(3);
    EXPECT_FALSE(second_->HasTask(kTask));
    first_->one_way_reachable = false;
    EXPECT_EQ(MostRunningWithCopies(&world_, kTask, 30), 1U);
    EXPECT_TRUE(second_->HasTask(kTask));
  }

  LeaderTestEnvironment world_;
  FakeWorker* first_ = nullptr;
  FakeWorker* second_ = nullptr;
};

TEST_F(LateCopy, LaunchDoesNotRestartAFailedTaskWhoseExitWasAcknowledged) {
  first_->EndTask(kTask, ExitReason::kError);
  EXPECT_EQ(MostRunningWithCopies(&world_, kTask, 30), 1U);
  EXPECT_TRUE(second_->HasTask(kTask));
}

// An agent that lost its tasks, but neither its epoch nor its token, still executes copies.
TEST_F(LateCopy, TaskLostByItsAgentMovesOnlyOnceCopiesOfItsLaunchAreRejected) {
  first_->heartbeat.tasks.clear();
  ExpectMoveOnceCopiesAreRejected();
}

// The agent lost its token too, so that it executes copies of launches of the former leader.
TEST_F(LateCopy, AdoptedTaskLostByItsAgentMovesOnlyOnceCopiesOfItsLaunchAreRejected) {
  ChangeLeader();
  first_->heartbeat.tasks.clear();
  first_->heartbeat.fencing_token = 0;
  ExpectMoveOnceCopiesAreRejected();
}

TEST_F(LateCopy, LaunchDoesNotRestartATaskThatMovedFromARestartedAgent) {
  first_->heartbeat.tasks.clear();
  first_->heartbeat.sequence = 0;
  first_->heartbeat.fencing_token = 0;
  world_.SendHeartbeat(first_);
  world_.AdvanceTime(2, false);
  ASSERT_TRUE(second_->HasTask(kTask));
  EXPECT_EQ(MostRunningWithCopies(&world_, kTask, 30), 1U);
  EXPECT_FALSE(first_->HasTask(kTask));
}

// The next task starts in the step in which the exit is reported, whatever token acknowledges it.
TEST(Commands, AcknowledgementsOfExitsDoNotDelayLaunches) {
  LeaderTestEnvironment world;
  world.StartLeader();
  FakeWorker& worker = world.AddMachine("m-1", "east");
  for (const char* id : {"job-1", "job-2", "job-3"}) world.Submit(world.Array(id, 1, 8));
  world.AdvanceTime(2);
  for (size_t started = 1; started < 3; ++started) {
    ASSERT_EQ(worker.started_tasks.size(), started);
    worker.EndTask(worker.started_tasks.back(), ExitReason::kDone);
    world.AdvanceTime(0.5);
    EXPECT_EQ(worker.started_tasks.size(), started + 1);
    world.AdvanceTime(2);
    EXPECT_EQ(worker.heartbeat.tasks.size(), 1U);  // exit acknowledged
  }
}

enum class Ending { kFailed, kDone, kCancelled, kPreempted, kEvicted };
enum class AgentSession { kSame, kNew };
enum class LeaderChange { kNone, kRestart, kOther };
enum class Route { kOwn, kRelayed };

using CopyCase = std::tuple<Ending, AgentSession, LeaderChange, Route>;

// A task ends in one of several ways while copies of all executed commands keep arriving at all
// machines, and the leader, or the agent's session, changes.
class LateCopyMatrix : public ::testing::TestWithParam<CopyCase> {
 protected:
  static constexpr uint64_t kMatrixSeed = 7;
  static constexpr double kCopyIntervalSeconds = 0.05;
  static constexpr const char* kJob = "job-3";
  static constexpr const char* kTask = "job-3/0";

  void RunWithCopies(double seconds) {
    const double end = cluster_->now() + seconds;
    while (cluster_->now() < end) {
      cluster_->Run(kCopyIntervalSeconds);
      DirectWorkers();
      for (const auto& [name, worker] : cluster_->workers) cluster_->ReplayCommands(name);
      most_running_ = std::max(most_running_, cluster_->ActiveTasks(kJob));
    }
  }
  // Workers send their heartbeats to the leader, or to a controller that relays them.
  void DirectWorkers() {
    const size_t leader = cluster_->Leader();
    if (leader == SIZE_MAX) return;
    const bool relayed = std::get<Route>(GetParam()) == Route::kRelayed;
    for (auto& [name, worker] : cluster_->workers) {
      if (!worker.awaiting_response) worker.controller_index = relayed ? (leader + 1) % 3 : leader;
    }
  }
  void StartTask() {
    cluster_ = StartCluster(kMatrixSeed, 3, 3);
    // A replica on each machine makes none of them idle.
    cluster_->Submit(cluster_->Service("job-1", 3, 5));
    ASSERT_TRUE(cluster_->RunUntil([&] { return cluster_->ActiveTasks("job-1") == 3; }, 30));
    JobSpec spec = cluster_->Service(kJob, 1, 2);
    if (HasArrayTask()) {
      spec = cluster_->Array(kJob, 1, 2);
      spec.priority = Priority::kIdle;
      cluster_->array_run_s = 60;
    }
    cluster_->Submit(spec);
    ASSERT_TRUE(cluster_->RunUntil([&] { return !cluster_->MachineOf(kTask).empty(); }, 30));
    machine_ = cluster_->MachineOf(kTask);
    RunWithCopies(3);
  }
  bool HasArrayTask() const {
    const Ending ending = std::get<Ending>(GetParam());
    return ending == Ending::kFailed || ending == Ending::kDone || ending == Ending::kPreempted;
  }
  void EndTask() {
    SimWorker& worker = cluster_->workers.at(machine_);
    switch (std::get<Ending>(GetParam())) {
      case Ending::kFailed:
        worker.faulty = true;
        worker.task_ends_at[kTask] = cluster_->now();
        break;
      case Ending::kDone:
        worker.task_ends_at[kTask] = cluster_->now();
        break;
      case Ending::kCancelled:
        cluster_->Cancel(kJob);
        break;
      case Ending::kPreempted: {
        JobSpec urgent = cluster_->Service("job-4", 3, 3);
        urgent.team = "red";
        cluster_->Submit(urgent);
        break;
      }
      case Ending::kEvicted:
        cluster_->SetPolicy("(disruption (revision \"1\") (drains (drain \"d\" (machine \"" +
                            machine_ + "\"))))");
        break;
    }
    ASSERT_TRUE(cluster_->RunUntil([&] { return !HasTask(machine_); }, 30));
    worker.faulty = false;
  }
  bool HasTask(const std::string& machine) const {
    return CountActiveTasks(cluster_->workers.at(machine).heartbeat, kJob) > 0;
  }
  void ChangeSession() {
    if (std::get<AgentSession>(GetParam()) == AgentSession::kSame) return;
    cluster_->Hang(machine_, cluster_->settings.lease_s + 1);
  }
  void ChangeLeader() {
    const size_t leader = cluster_->Leader();
    switch (std::get<LeaderChange>(GetParam())) {
      case LeaderChange::kNone:
        return;
      case LeaderChange::kRestart:
        cluster_->Crash(leader);
        RunWithCopies(0.3);
        cluster_->Boot(leader);
        return;
      case LeaderChange::kOther:
        cluster_->Crash(leader);
        RunWithCopies(3);
        cluster_->Boot(leader);
        return;
    }
  }

  std::unique_ptr<Cluster> cluster_;
  std::string machine_;
  size_t most_running_ = 0;
};

TEST_P(LateCopyMatrix, NoTaskRunsTwiceOrAfterItsCancellation) {
  StartTask();
  EndTask();
  // The leader changes right after the exit, or once it was acknowledged.
  for (const double pause : {0.05, 1.5}) {
    RunWithCopies(pause);
    ChangeSession();
    ChangeLeader();
    RunWithCopies(cluster_->settings.cancel_s / 2);
  }
  RunWithCopies(cluster_->settings.cancel_s);
  EXPECT_LE(most_running_, 1U);
  EXPECT_EQ(cluster_->Violations(), "");
  const Ending ending = std::get<Ending>(GetParam());
  if (ending == Ending::kCancelled || ending == Ending::kDone) {
    EXPECT_EQ(cluster_->ActiveTasks(kJob), 0U);
  }
}

std::string CaseName(const ::testing::TestParamInfo<CopyCase>& info) {
  const char* const endings[] = {"Failed", "Done", "Cancelled", "Preempted", "Evicted"};
  const char* const sessions[] = {"SameSession", "NewSession"};
  const char* const changes[] = {"SameLeader", "LeaderRestart", "OtherLeader"};
  const char* const routes[] = {"Direct", "Relayed"};
  std::string name = endings[static_cast<size_t>(std::get<Ending>(info.param))];
  name += sessions[static_cast<size_t>(std::get<AgentSession>(info.param))];
  name += changes[static_cast<size_t>(std::get<LeaderChange>(info.param))];
  name += routes[static_cast<size_t>(std::get<Route>(info.param))];
  return name;
}

INSTANTIATE_TEST_SUITE_P(
    All, LateCopyMatrix,
    ::testing::Combine(::testing::Values(Ending::kFailed, Ending::kDone, Ending::kCancelled,
                                         Ending::kPreempted, Ending::kEvicted),
                       ::testing::Values(AgentSession::kSame, AgentSession::kNew),
                       ::testing::Values(LeaderChange::kNone, LeaderChange::kRestart,
                                         LeaderChange::kOther),
                       ::testing::Values(Route::kOwn, Route::kRelayed)),
    CaseName);

}  // namespace
}  // namespace deckhall
