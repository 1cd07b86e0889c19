// Drains with controller processes over loopback; the state service, the cloud and the workers are
// fakes. Guards against evictions beyond a team's budget while zones and machine types are drained,
// leaders are killed or frozen, and machines fail. The oracle counts unavailable replicas on the
// workers' side at every stop.
//
// DECKHALL_LOOPBACK_ROUNDS=N runs more rounds. DECKHALL_LOOPBACK_OTHER=PROGRAM runs another version
// beside this one. DECKHALL_LOOPBACK_AT_ONCE=1 drains without limits, for comparison.
#include <gtest/gtest.h>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <random>

#include "loopback_world.h"

namespace deckhall {
namespace {

constexpr double kSettleSeconds = 1.5;
// An overdue heartbeat of a lost machine, a periodic check, and delays on a busy test host.
constexpr double kDetectSeconds = 1.8 + 1.5;

class DrainLoopback : public LoopbackWorld {
 protected:
  DrainLoopback() : LoopbackWorld(kDetectSeconds, kSettleSeconds) {
    oracle_.SetBudget(0, "blue", kMaxDownBlue);
    oracle_.SetBudget(0, "red", kMaxDownRed);
  }

  static constexpr uint64_t kMaxDownBlue = 1;
  static constexpr uint64_t kMaxDownRed = 2;

  // Writes the policy file of one controller only; the others receive the policy by replication.
  void Policy(size_t node, const std::string& drains) {
    const bool at_once = std::getenv("DECKHALL_LOOPBACK_AT_ONCE") != nullptr;
    const std::string budgets = at_once ? "(default (down \"100%\"))"
                                        : "(team \"blue\" (down \"" + std::to_string(kMaxDownBlue) +
                                              "\")) (team \"red\" (down \"" +
                                              std::to_string(kMaxDownRed) + "\"))";
    const double settle_s = at_once ? 0 : kSettleSeconds;
    controllers_.WritePolicy(
        node, "(disruption (revision \"" + std::to_string(++revision_) + "\") (budgets " + budgets +
                  ") (steps (settle-s \"" + std::to_string(settle_s) +
                  "\") (image-wait-s \"1\") (replace-within-s \"10\")) (drains " + drains + "))");
  }

  void SubmitService(const JobSpec& spec) {
    expected_tasks_ += spec.task_count;
    services_.push_back(spec);
    Submit(spec);
  }
  uint64_t RunningTasks() const {
    uint64_t running = 0;
    for (const JobSpec& spec : services_) {
      for (uint32_t task = 0; task < spec.task_count; ++task) {
        running += fleet_.IsRunning(spec.id + "/" + std::to_string(task)) ? 1 : 0;
      }
    }
    return running;
  }
  bool AllTasksRun() const { return RunningTasks() == expected_tasks_; }

  // In rotation: kills the leader, kills a machine, freezes the leader for longer than its lease.
  void InjectFault(int fault_number) {
    const size_t leader = controllers_.IndexOf(state_.Leader());
    if (fault_number % 3 == 1 || leader == SIZE_MAX || !controllers_.IsRunning(leader)) {
      const std::string machine = fleet_.PickBusyMachine(random_());
      if (!machine.empty()) fleet_.Kill(machine);
      return;
    }
    if (fault_number % 3 == 0) {
      controllers_.Kill(leader);
      Run(0.3);
      controllers_.Start(leader);
    } else {
      controllers_.Freeze(leader);
      Run(2.5);
      controllers_.Resume(leader);
    }
  }

  // Runs the program with these arguments, expects the exit status and returns the output.
  std::string Output(const std::vector<std::string>& arguments, int expected_status) {
    pid_t pid = -1;
    const std::string output_path = controllers_.RunCommand(arguments, &pid);
    int status = -1;
    const auto has_ended = [&] {
      if (status < 0) status = ExitStatus(pid);
      return status >= 0;
    };
    EXPECT_TRUE(RunUntil(has_ended, 10));
    EXPECT_EQ(status, expected_status) << arguments[0];
    return ReadFile(output_path);
  }

  std::vector<JobSpec> services_;
  uint64_t expected_tasks_ = 0;
  uint64_t revision_ = 0;
  std::mt19937_64 random_{7};
};

TEST_F(DrainLoopback, ZoneAndTypeDrainsUnderFaultsStayWithinBudgets) {
  const char* rounds_text = std::getenv("DECKHALL_LOOPBACK_ROUNDS");
  const int rounds = rounds_text == nullptr ? 1 : std::atoi(rounds_text);
  const bool at_once = std::getenv("DECKHALL_LOOPBACK_AT_ONCE") != nullptr;
  for (size_t i = 0; i < controllers_.size(); ++i) {
    Policy(i, "");
    controllers_.Start(i);
  }
  for (int i = 1; i <= 6; ++i) {
    SubmitService(LoopbackService(i, i % 2 == 0 ? "blue" : "red", 3, 2));
  }
  ASSERT_TRUE(RunUntil([this] { return AllTasksRun(); }, 60))
      << RunningTasks() << " of " << expected_tasks_;
  Run(3);
  ASSERT_GT(fleet_.CountMachines("east", ""), 0U);
  ASSERT_GT(fleet_.CountMachines("", "old"), 0U);
  const char* const zones[] = {"(zone \"east\")", "(network \"127.0.20.0/24\")",
                               "(zone \"north\")"};
  const char* const names[] = {"east", "west", "north"};
  const char* const types[] = {"old", "box"};
  for (int round = 0; round < rounds; ++round) {
    const std::string zone = names[round % 3];
    const std::string type = types[round % 2];
    std::string zone_only = "(drain \"zone-" + std::to_string(round) + "\" ";
    zone_only.append(zones[round % 3]).append(") ");
    const double began_s = SteadySeconds();
    Policy(random_() % 3, zone_only);
    Run(2.5);
    std::string zone_and_type = zone_only + "(drain \"type-" + std::to_string(round) + "\" ";
    zone_and_type.append("(type \"").append(type).append("\"))");
    Policy(random_() % 3, zone_and_type);
    const auto drained = [&] {
      return fleet_.CountMachines(zone, "") == 0 && fleet_.CountMachines("", type) == 0 &&
             AllTasksRun();
    };
    bool finished = RunUntil(drained, 2);
    const double end = SteadySeconds() + 100;
    for (int fault = 0; !finished && SteadySeconds() < end; ++fault) {
      if (!at_once && fault < 4) InjectFault(fault);
      finished = RunUntil(drained, 4);
    }
    EXPECT_TRUE(finished) << RunningTasks() << " of " << expected_tasks_ << " tasks running, "
                          << fleet_.CountMachines(zone, "") << " machines in the zone, "
                          << fleet_.CountMachines("", type) << " of the type";
    std::cout << "round " << round << ": drained in " << SteadySeconds() - began_s << " s, "
              << oracle_.stops() << " replicas stopped so far, most down: blue "
              << oracle_.MaxReplicasDown("blue") << ", red " << oracle_.MaxReplicasDown("red")
              << ", " << fleet_.killed() << " machines killed" << std::endl;
    Run(2);
  }
  EXPECT_GE(oracle_.stops(), 4U);
  EXPECT_EQ(controllers_.UnexpectedExits(), 0);
  if (!at_once) {
    for (const std::string& line : oracle_.violations()) ADD_FAILURE() << line;
  }
  // The leader stores the progress of drains every few seconds.
  const std::string expected_line = "type-" + std::to_string(rounds - 1) + ": done";
  std::string output;
  for (int i = 0; i < 10 && output.find(expected_line) == std::string::npos; ++i) {
    Run(1);
    output = Output({"drains", "--config", controllers_.ConfigOf(0)}, 0);
  }
  EXPECT_NE(output.find(expected_line), std::string::npos) << output;
  if (HasFailure()) PrintLogs();
}

// An invalid policy file ends the program with one line of output and exit status 2 before it
// serves requests.
TEST_F(DrainLoopback, InvalidPolicyFileIsRejectedAtStartup) {
  const std::pair<const char*, const char*> cases[] = {
      {"(disruption (revision \"1\") (drains (drain \"a\" (zone \"mars\"))))",
       "no such zone: mars"},
      {"(disruption (revision \"1\") (budgets (team \"green\")))", "no such team: green"},
      {"(disruption (revision \"1\") (drains (drain \"a\" (network \"10.0.0.0\"))))",
       "not an IPv4"},
      {"(disruption (revision \"1\"", "not an S-expression"},
  };
  for (const auto& [text, reason] : cases) {
    controllers_.WritePolicy(0, text);
    for (const char* command : {"serve", "check"}) {
      std::string policy_path = controllers_.ConfigOf(0);
      policy_path.replace(policy_path.rfind(".json"), 5, ".sexp");
      const std::string output =
          Output({command, "--disruption", policy_path, "--config", controllers_.ConfigOf(0)}, 2);
      EXPECT_NE(output.find(reason), std::string::npos) << output;
      EXPECT_EQ(std::count(output.begin(), output.end(), '\n'), 1) << output;
    }
  }
}

}  // namespace
}  // namespace deckhall
