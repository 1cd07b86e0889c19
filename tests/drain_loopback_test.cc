// Real controller processes, real sockets, stand-ins for state service, cloud and workers: what
// is down per team is counted from the workers' side at every moment, while zones and types are
// drained, leaders are killed and frozen, and machines die.
// Longer: DECKHALL_LOOPBACK_ROUNDS=N. Beside another version: DECKHALL_LOOPBACK_OTHER=PROGRAM.
// Without steps, to compare: DECKHALL_LOOPBACK_AT_ONCE=1.
#include <gtest/gtest.h>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <random>

#include "loopback_controllers.h"
#include "loopback_fleet.h"
#include "loopback_state.h"
#include "net/http_client.h"
#include "wire/job_codec.h"

namespace deckhall {
namespace {

constexpr double kSettle = 1.5;
// A machine's overdue report, a sweep, and a busy machine of ours.
constexpr double kDetect = 1.8 + 1.5;

LoopbackOptions FleetOptions() {
  LoopbackOptions options;
  options.zones = {{"east", "127.0.10"}, {"west", "127.0.20"}, {"north", "127.0.30"}};
  // The cheaper type is the one that is there at first.
  options.types = {{"old", 0.5}, {"box", 1}};
  return options;
}

class DrainLoopback : public ::testing::Test {
 protected:
  DrainLoopback()
      : state_at_(FreeEndpoint("127.0.0.1")),
        cloud_at_(FreeEndpoint("127.0.0.1")),
        oracle_(kDetect, 0, kSettle),
        controllers_(3, state_at_, cloud_at_,
                     {{"east", "west", "north"}, {"blue", "red"}, 1, 8, 16}),
        state_(&loop_, state_at_),
        fleet_(&loop_, cloud_at_, FleetOptions(), controllers_.endpoints(), &oracle_),
        users_(&loop_, 8, 1 << 20) {
    oracle_.SetBudget(0, "blue", kMostBlue);
    oracle_.SetBudget(0, "red", kMostRed);
  }

  static constexpr uint64_t kMostBlue = 1;
  static constexpr uint64_t kMostRed = 2;

  // Runs the loop until the condition holds; false when it does not in time.
  bool RunUntil(const std::function<bool()>& when, double most_s) {
    const double end = SteadySeconds() + most_s;
    Timer look(&loop_, [&] {
      if (when() || SteadySeconds() > end) loop_.Stop();
    });
    look.Start(0, 0.05);
    loop_.Run();
    return when();
  }
  void Run(double seconds) {
    RunUntil([] { return false; }, seconds);
  }

  // Budgets and drains, given to one controller only: the others learn of them.
  void Policy(size_t node, const std::string& drains) {
    const bool at_once = std::getenv("DECKHALL_LOOPBACK_AT_ONCE") != nullptr;
    const std::string budgets = at_once ? "(default (down \"100%\"))"
                                        : "(team \"blue\" (down \"" + std::to_string(kMostBlue) +
                                              "\")) (team \"red\" (down \"" +
                                              std::to_string(kMostRed) + "\"))";
    const double settle = at_once ? 0 : kSettle;
    controllers_.WritePolicy(
        node, "(disruption (revision \"" + std::to_string(++revision_) + "\") (budgets " + budgets +
                  ") (steps (settle-s \"" + std::to_string(settle) +
                  "\") (image-wait-s \"1\") (replace-within-s \"10\")) (drains " + drains + "))");
  }

  void Submit(const JobSpec& spec) {
    fleet_.AddJob(spec);
    tasks_ += spec.task_count;
    services_.push_back(spec);
    Send(spec, 0);
  }
  void Send(const JobSpec& spec, size_t node) {
    rapidjson::StringBuffer buffer;
    JsonWriter w(buffer);
    WriteJob(w, spec);
    users_.Call(controllers_.endpoints()[node], {"POST", "/api/jobs", buffer.GetString(), 5},
                [this, spec, node](const HttpResult& r) {
                  if (r.status == 200 || r.status == 201) return;
                  retries_.push_back(std::make_unique<Timer>(
                      &loop_, [this, spec, node] { Send(spec, (node + 1) % 3); }));
                  retries_.back()->Start(0.5);
                });
  }
  uint64_t Up() const {
    uint64_t up = 0;
    for (const JobSpec& spec : services_) {
      for (uint32_t t = 0; t < spec.task_count; ++t) {
        up += fleet_.IsRunning(spec.id + "/" + std::to_string(t)) ? 1 : 0;
      }
    }
    return up;
  }
  bool AllUp() const { return Up() == tasks_; }

  // In turn: the leader killed, a machine lost, the leader frozen for longer than its lease.
  void Trouble(int number) {
    const size_t leader = controllers_.IndexOf(state_.Leader());
    if (number % 3 == 1 || leader == SIZE_MAX || !controllers_.IsRunning(leader)) {
      const std::string machine = fleet_.PickBusyMachine(random_());
      if (!machine.empty()) fleet_.Kill(machine);
      return;
    }
    if (number % 3 == 0) {
      controllers_.Kill(leader);
      Run(0.3);
      controllers_.Start(leader);
    } else {
      controllers_.Freeze(leader);
      Run(2.5);
      controllers_.Resume(leader);
    }
  }

  // What the program prints with these arguments; it has to end with that status.
  std::string Output(const std::vector<std::string>& arguments, int expected) {
    pid_t pid = -1;
    const std::string path = controllers_.RunCommand(arguments, &pid);
    int status = -1;
    const auto ended = [&] {
      if (status < 0) status = ExitStatus(pid);
      return status >= 0;
    };
    EXPECT_TRUE(RunUntil(ended, 10));
    EXPECT_EQ(status, expected) << arguments[0];
    return ReadFile(path);
  }

  Loop loop_;
  Endpoint state_at_;
  Endpoint cloud_at_;
  DisruptionOracle oracle_;
  LoopbackControllers controllers_;
  LoopbackState state_;
  LoopbackFleet fleet_;
  HttpClient users_;
  std::vector<std::unique_ptr<Timer>> retries_;
  std::vector<JobSpec> services_;
  uint64_t tasks_ = 0;
  uint64_t revision_ = 0;
  std::mt19937_64 random_{7};
};

JobSpec Service(int number, const std::string& team, uint32_t replicas) {
  JobSpec spec;
  spec.id = "job-" + std::to_string(number);
  spec.job_class = "live";
  spec.team = team;
  spec.service = true;
  spec.priority = Priority::kProduction;
  spec.task_count = replicas;
  spec.cores = 2;
  spec.memory_gb = 4;
  spec.image = "img";
  spec.image_gb = 0.1;
  return spec;
}

TEST_F(DrainLoopback, ZoneAndTypeTogetherWithKillsKeepToTheBudgetsAtEveryMoment) {
  const char* rounds_word = std::getenv("DECKHALL_LOOPBACK_ROUNDS");
  const int rounds = rounds_word == nullptr ? 1 : std::atoi(rounds_word);
  const bool at_once = std::getenv("DECKHALL_LOOPBACK_AT_ONCE") != nullptr;
  for (size_t i = 0; i < controllers_.size(); ++i) {
    Policy(i, "");
    controllers_.Start(i);
  }
  for (int i = 1; i <= 6; ++i) Submit(Service(i, i % 2 == 0 ? "blue" : "red", 3));
  ASSERT_TRUE(RunUntil([this] { return AllUp(); }, 60)) << Up() << " of " << tasks_;
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
    std::string first = "(drain \"zone-" + std::to_string(round) + "\" ";
    first.append(zones[round % 3]).append(") ");
    const double began = SteadySeconds();
    Policy(random_() % 3, first);
    Run(2.5);
    std::string both = first + "(drain \"type-" + std::to_string(round) + "\" ";
    both.append("(type \"").append(type).append("\"))");
    Policy(random_() % 3, both);
    const auto drained = [&] {
      return fleet_.CountMachines(zone, "") == 0 && fleet_.CountMachines("", type) == 0 && AllUp();
    };
    bool finished = RunUntil(drained, 2);
    const double end = SteadySeconds() + 100;
    for (int played = 0; !finished && SteadySeconds() < end; ++played) {
      if (!at_once && played < 4) Trouble(played);
      finished = RunUntil(drained, 4);
    }
    EXPECT_TRUE(finished) << Up() << " of " << tasks_ << " up, " << fleet_.CountMachines(zone, "")
                          << " machines in the zone, " << fleet_.CountMachines("", type)
                          << " of the type";
    std::cout << "round " << round << ": drained in " << SteadySeconds() - began << " s, "
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
  // The leader writes how far drains have come every few seconds.
  const std::string wanted = "type-" + std::to_string(rounds - 1) + ": done";
  std::string shown;
  for (int i = 0; i < 10 && shown.find(wanted) == std::string::npos; ++i) {
    Run(1);
    shown = Output({"drains", "--config", controllers_.ConfigOf(0)}, 0);
  }
  EXPECT_NE(shown.find(wanted), std::string::npos) << shown;
  if (HasFailure()) {
    for (size_t i = 0; i < controllers_.size(); ++i) {
      std::cout << "--- " << i << "\n" << ReadFile(controllers_.LogOf(i));
    }
  }
}

// Bad files: one clear line and exit status 2, before anything is served.
TEST_F(DrainLoopback, ABadFileIsRefusedAtTheStart) {
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
      std::string path = controllers_.ConfigOf(0);
      path.replace(path.rfind(".json"), 5, ".sexp");
      const std::string said =
          Output({command, "--disruption", path, "--config", controllers_.ConfigOf(0)}, 2);
      EXPECT_NE(said.find(reason), std::string::npos) << said;
      EXPECT_EQ(std::count(said.begin(), said.end(), '\n'), 1) << said;
    }
  }
}

}  // namespace
}  // namespace deckhall
