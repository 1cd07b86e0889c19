// What a leader believes of an attempt against what a newer heartbeat reports: a row for each
// belief, a column for each report.
#include <gtest/gtest.h>

#include "fakes.h"
#include "fleet/fleet.h"

namespace deckhall {
namespace {

// Beliefs about the attempt of the only task of an array, on machine m-1.
enum class Belief {
  kUntrackedOfEarlierTerm,  // launched by an earlier leader; its task waits for an attempt
  kUntrackedTaskWaits,      // launched and cleared in this term
  kUntrackedTaskMoved,      // the same; another attempt is on m-2
  kUntrackedTaskDone,
  kUntrackedJobCancelled,
  kUntrackedJobUnknown,
  kNotLaunched,         // placed; its launch was not sent
  kLaunched,            // its launch was sent under the token that the agent reports
  kLaunchedFencedOff,   // the agent reports a higher token than that of the launch
  kLaunchedUnwanted,    // stopped before it was reported
  kUnwantedFencedOff,   // the same, and the agent reports a higher token
  kRunning,             // reported as running
  kRunningFencedOff,    // the same, and the agent reports a higher token
  kStopping,            // reported as running, and stopped
  kExitedTaskWaits,     // reported as exited, not acknowledged
  kExitedTaskMoved,     // the same; another attempt is on m-2
  kExitedJobCancelled,  // the same
};

// The commands, the place of the task, and whether the attempt holds resources, after a heartbeat.
struct Row {
  Belief belief;
  const char* absent;
  const char* fetching;
  const char* running;
  const char* checkpointing;
  const char* failed;
  const char* done;
};

// Commands: "-" for none. Places: "here" on m-1, "moved" on m-2, "waits", "done". An attempt that
// is not known to be gone is "held": it counts for limits.
constexpr Row kRows[] = {
    {Belief::kUntrackedOfEarlierTerm, "- waits free", "- here held", "- here held", "- here held",
     "clear waits free", "clear done free"},
    {Belief::kUntrackedTaskWaits, "- waits free", "stop here held", "stop here held",
     "stop here held", "clear waits free", "clear done free"},
    {Belief::kUntrackedTaskMoved, "- moved free", "stop moved held", "stop moved held",
     "stop moved held", "clear moved free", "clear done free"},
    {Belief::kUntrackedTaskDone, "- done free", "stop done held", "stop done held",
     "stop done held", "clear done free", "clear done free"},
    {Belief::kUntrackedJobCancelled, "- waits free", "stop here held", "stop here held",
     "stop here held", "clear waits free", "clear done free"},
    {Belief::kUntrackedJobUnknown, "- none free", "stop none held", "stop none held",
     "stop none held", "clear none free", "clear none free"},
    {Belief::kNotLaunched, "launch here held", "- here held", "- here held", "- here held",
     "clear waits free", "clear done free"},
    {Belief::kLaunched, "launch here held", "- here held", "- here held", "- here held",
     "clear waits free", "clear done free"},
    {Belief::kLaunchedFencedOff, "launch here held", "- here held", "- here held", "- here held",
     "clear waits free", "clear done free"},
    {Belief::kLaunchedUnwanted, "- here held", "stop here held", "stop here held", "stop here held",
     "clear waits free", "clear done free"},
    {Belief::kUnwantedFencedOff, "- waits free", "stop here held", "stop here held",
     "stop here held", "clear waits free", "clear done free"},
    {Belief::kRunning, "- here held", "- here held", "- here held", "- here held",
     "clear waits free", "clear done free"},
    {Belief::kRunningFencedOff, "- waits free", "- here held", "- here held", "- here held",
     "clear waits free", "clear done free"},
    {Belief::kStopping, "- here held", "stop here held", "stop here held", "stop here held",
     "clear waits free", "clear done free"},
    // A late "done" of an attempt that counts as failed is not used: the task runs again.
    {Belief::kExitedTaskWaits, "clear waits free", "stop here held", "stop here held",
     "stop here held", "clear waits free", "clear waits free"},
    {Belief::kExitedTaskMoved, "clear moved free", "stop moved held", "stop moved held",
     "stop moved held", "clear moved free", "clear moved free"},
    {Belief::kExitedJobCancelled, "clear waits free", "stop here held", "stop here held",
     "stop here held", "clear waits free", "clear waits free"},
};

class ReconcilerScenario {
 public:
  explicit ReconcilerScenario(Belief belief) {
    state_.keys["leader"] = {"{}", kTerm, 0};
    state_.revision = kTerm;
    store_.Load([](bool, const std::vector<std::pair<RecordId, std::string>>&) {});
    state_.Run();
    first_ = AddMachine("m-1");
    second_ = AddMachine("m-2");
    Prepare(belief);
  }

  // Applies a newer heartbeat and returns the outcome, in the form of a row. `state` is unset if
  // the heartbeat does not list the attempt.
  std::string Report(std::optional<TaskState> state, ExitReason reason = ExitReason::kNone) {
    SendHeartbeat(state, reason);
    clock_.now += 10;
    store_.Flush();
    state_.Run();
    std::string commands;
    for (const Command& command :
         fleet_.BuildCommands(first_, true, CommandChannel::kHeartbeatResponse)) {
      EXPECT_EQ(command.task_name, kTask);
      commands += Name(command.operation);
      // No launch that was ever sent may be executed after the acknowledgement.
      if (command.operation == CommandOp::kAcknowledgeExit && launched_token_ != 0) {
        EXPECT_GT(fleet_[first_].fencing_token, launched_token_);
      }
    }
    const bool held = fleet_[first_].active_attempts > 0;
    return (commands.empty() ? "-" : commands) + " " + Place() + (held ? " held" : " free");
  }

 private:
  static constexpr uint64_t kTerm = 101;
  static constexpr uint64_t kEarlierTerm = 100;
  static constexpr const char* kTask = "job-1/0";

  static std::string Name(CommandOp operation) {
    switch (operation) {
      case CommandOp::kStart:
        return "launch";
      case CommandOp::kStop:
        return "stop";
      default:
        return "clear";
    }
  }
  MachineIndex AddMachine(const std::string& name) {
    const MachineIndex machine_index = fleet_.Add(name);
    Machine& machine = fleet_[machine_index];
    machine.up = true;
    machine.acknowledged_token = machine.fencing_token;
    fleet_.MarkReconciled(machine_index);
    return machine_index;
  }
  std::string Place() const {
    if (job_ == kNoIndex) return "none";
    const Task& task = jobs_[job_].tasks[0];
    if (task.phase == TaskPhase::kDone) return "done";
    if (task.phase != TaskPhase::kPlaced) return "waits";
    return task.machine == first_ ? "here" : "moved";
  }
  void SendHeartbeat(std::optional<TaskState> state, ExitReason reason = ExitReason::kNone) {
    Heartbeat heartbeat;
    heartbeat.machine = "m-1";
    heartbeat.agent_epoch = 1;
    heartbeat.sequence = ++sequence_;
    heartbeat.fencing_token = agent_token_;
    if (state) heartbeat.tasks.push_back({kTask, attempt_, *state, reason, false});
    fleet_.ApplyHeartbeat(first_, heartbeat);
  }
  void Submit() {
    job_ = jobs_.Create(ArraySpec("job-1", 1, 2), clock_.Wall());
    attempt_ = fleet_.NewAttemptNumber();
  }
  void Launch() {
    fleet_.PlaceTask(first_, job_, 0, attempt_);
    fleet_.BuildCommands(first_, true, CommandChannel::kDirect);
    launched_token_ = fleet_[first_].fencing_token;
  }
  void RaiseToken() {
    fleet_.RaiseFencingToken(first_, "test");
    agent_token_ = fleet_[first_].fencing_token;
  }
  void PlaceOnSecond() { fleet_.PlaceTask(second_, job_, 0, fleet_.NewAttemptNumber()); }
  void Stop() { fleet_.RequestStop(first_, fleet_.FindAttempt(first_, job_, 0, attempt_), 0); }
  void Cancel() {
    jobs_.EndJob(job_, JobLifecycle::kCancelled, clock_.now);
    fleet_.RequestStopOfJob(job_);
  }

  void Prepare(Belief belief) {
    agent_token_ = fleet_[first_].fencing_token;
    if (belief != Belief::kUntrackedJobUnknown) Submit();
    switch (belief) {
      case Belief::kUntrackedOfEarlierTerm:
        attempt_ = FirstTokenOf(kEarlierTerm) + 1;
        return;
      case Belief::kUntrackedTaskMoved:
        PlaceOnSecond();
        return;
      case Belief::kUntrackedTaskDone:
        jobs_.MarkTaskDone(job_, 0);
        jobs_.EndJob(job_, JobLifecycle::kDone, clock_.now);
        return;
      case Belief::kUntrackedJobCancelled:
        Cancel();
        return;
      case Belief::kUntrackedJobUnknown:
        attempt_ = fleet_.NewAttemptNumber();
        return;
      case Belief::kUntrackedTaskWaits:
        return;
      case Belief::kNotLaunched:
        fleet_.PlaceTask(first_, job_, 0, attempt_);
        return;
      default:
        Launch();
        PrepareLaunched(belief);
    }
  }
  void PrepareLaunched(Belief belief) {
    const bool reported = belief != Belief::kLaunched && belief != Belief::kLaunchedFencedOff &&
                          belief != Belief::kLaunchedUnwanted &&
                          belief != Belief::kUnwantedFencedOff;
    if (reported) SendHeartbeat(TaskState::kRunning);
    switch (belief) {
      case Belief::kLaunchedFencedOff:
      case Belief::kRunningFencedOff:
        RaiseToken();
        return;
      case Belief::kUnwantedFencedOff:
        Stop();
        RaiseToken();
        return;
      case Belief::kLaunchedUnwanted:
      case Belief::kStopping:
        Stop();
        return;
      case Belief::kExitedTaskWaits:
      case Belief::kExitedTaskMoved:
      case Belief::kExitedJobCancelled:
        SendHeartbeat(TaskState::kExited, ExitReason::kError);
        if (belief == Belief::kExitedTaskMoved) PlaceOnSecond();
        if (belief == Belief::kExitedJobCancelled) Cancel();
        return;
      default:
        return;
    }
  }

  FakeClock clock_;
  FakeState state_;
  RecordStore store_{&state_, &clock_, RecordStoreLimits(), "leader", kTerm};
  JobStore jobs_{&store_};
  Fleet fleet_{&jobs_, &clock_, kTerm, FleetOptions()};
  MachineIndex first_ = kNoIndex;
  MachineIndex second_ = kNoIndex;
  JobIndex job_ = kNoIndex;
  uint64_t attempt_ = 0;
  uint64_t agent_token_ = 0;     // the highest that the agent has seen
  uint64_t launched_token_ = 0;  // of its launch; 0 if none was sent in this test
  uint64_t sequence_ = 0;
};

TEST(AttemptReconciler, HeartbeatWinsOverEveryBelief) {
  for (const Row& row : kRows) {
    SCOPED_TRACE(static_cast<int>(row.belief));
    EXPECT_EQ(ReconcilerScenario(row.belief).Report(std::nullopt), row.absent);
    EXPECT_EQ(ReconcilerScenario(row.belief).Report(TaskState::kFetching), row.fetching);
    EXPECT_EQ(ReconcilerScenario(row.belief).Report(TaskState::kRunning), row.running);
    EXPECT_EQ(ReconcilerScenario(row.belief).Report(TaskState::kCheckpointing), row.checkpointing);
    EXPECT_EQ(ReconcilerScenario(row.belief).Report(TaskState::kExited, ExitReason::kError),
              row.failed);
    EXPECT_EQ(ReconcilerScenario(row.belief).Report(TaskState::kExited, ExitReason::kDone),
              row.done);
  }
}

}  // namespace
}  // namespace deckhall
