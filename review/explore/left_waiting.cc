// For a few seconds a machine fails every task that it starts, among them four of an array; two
// tasks of the same array run on a healthy machine that has room for the others.
#include <exception>
#include <iostream>

#include "world.h"

using namespace review;

namespace {

constexpr double kTroubleSeconds = 5;
// "no job is left waiting for 90 s while a machine that fits has room and its team is under its
// limit"
constexpr double kLeftWaitingSeconds = 90;
constexpr double kTeamLimitCores = 112;  // of cobranza
constexpr double kCores = 16;            // of grande
constexpr double kMemoryGb = 128;

int Play(World& world) {
  Worker* first = world.fleet().AddMachine("mediana", "sierra-sur");
  Worker* healthy = world.fleet().AddMachine("grande", "sierra-sur");
  world.StartAll();
  if (!world.RunUntil([&] { return world.Leader() != SIZE_MAX; }, 10)) return 2;
  Rules& rules = world.rules();
  if (!world.RunUntil([&] { return first->token() > 0 && healthy->token() > 0; }, 10)) return 2;
  const bool trouble = TroubleWanted();
  if (trouble) {
    rules.Record("trouble: " + first->name() + " fails every task that it starts");
    first->SetFaulty(true);
  }
  auto job = MakeJob(1, "cobranza", 6, 2);
  job.job_class = "recalculo-historico";
  job.priority = deckhall::Priority::kIdle;
  job.memory_gb = 6;
  job.checkpoint_interval_s = 20;
  job.checkpoint_grace_s = 4;
  job.estimated_runtime_s = 240;
  world.Submit(job, 240);
  if (!world.RunUntil([&] { return rules.IsOn(job.id + "/0") || rules.CountOn(job.id) > 0; }, 10)) {
    std::cerr << "no task starts" << std::endl;
    return 2;
  }
  world.Run(kTroubleSeconds);
  if (trouble) {
    rules.Record("trouble over");
    first->SetFaulty(false);
  }

  // Since when a task of the job waits and none starts, though one could.
  double waiting_since = rules.Now();
  size_t last_on = rules.CountOn(job.id);
  const bool left = world.RunUntil(
      [&] {
        double cores = 0;
        double memory_gb = 0;
        for (const Worker::Task& task : healthy->tasks()) {
          const auto* spec = rules.Find(task.name.substr(0, task.name.rfind('/')));
          if (task.state == "ended" || spec == nullptr) continue;
          cores += spec->cores;
          memory_gb += spec->memory_gb;
        }
        const size_t on = rules.CountOn(job.id);
        const bool waits = on < job.task_count;
        const bool room = healthy->alive() && cores + job.cores <= kCores &&
                          memory_gb + job.memory_gb <= kMemoryGb;
        const bool limit = rules.UsedCores(job.team) + job.cores <= kTeamLimitCores;
        if (!waits || !room || !limit || on > last_on) waiting_since = rules.Now();
        last_on = on;
        return rules.Now() - waiting_since >= kLeftWaitingSeconds;
      },
      kLeftWaitingSeconds + 4);
  world.Ask(job.id);
  world.Run(2);
  std::cout << rules.CountOn(job.id) << " of " << job.task_count << " tasks are on machines"
            << std::endl;
  if (world.UnexpectedEnds() > 0) return 2;
  if (left)
    rules.Break("left_waiting", job.id + " waits for 90 s, " + healthy->name() + " has room");
  return Verdict(world, {"left_waiting"});
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  try {
    World world(SolsurArequipa(argv[1]), argv[2]);
    return Play(world);
  } catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
    return 2;
  }
}
