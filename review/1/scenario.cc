// A launch is in the response to a report and, by the direct way, in a command. The response is
// held up by a cut for less than the 4 s that a worker waits for it. Meanwhile the task fails on
// its faulty machine, is cleared there and starts on another machine. Then the response arrives.
//
// The cuts: the leader loses its workers for half a second; then another controller, the one to
// which the faulty machine's worker reports, loses the workers for 3.6 s.
#include <algorithm>
#include <exception>
#include <iostream>

#include "world.h"

using namespace review;

namespace {

constexpr double kFirstCutBeforeReportSeconds = 0.45;
constexpr double kSecondCutSeconds = 3.6;

int Play(World& world) {
  world.StartAll();
  if (!world.RunUntil([&] { return world.Leader() != SIZE_MAX; }, 10)) return 2;
  world.Run(2);
  const size_t leader = world.Leader();
  if (leader == SIZE_MAX) return 2;
  const size_t second = (leader + 1) % 3;
  const size_t third = (leader + 2) % 3;
  Worker* faulty = world.fleet().AddMachine("pequena", "sierra-sur");
  Worker* healthy = world.fleet().AddMachine("grande", "sierra-sur");
  faulty->ReportTo(second);
  healthy->ReportTo(third);

  // Jobs of one task of one core each.
  auto submit = [&](int number, std::vector<std::string> types, double run_s, bool service) {
    auto job = MakeJob(number, "cobranza", 1, 1);
    job.allowed_types = std::move(types);
    if (service) {
      job.service = true;
      job.job_class = "lectura-vivo";
      job.priority = deckhall::Priority::kProduction;
      job.estimated_runtime_s = 0;
    }
    world.Submit(job, run_s, leader);
    return job.id + "/0";
  };
  // A replica on each machine keeps both rented; a short task on each brings the image there.
  const std::string replica_1 = submit(1, {"pequena"}, 1e6, true);
  const std::string replica_2 = submit(2, {"grande"}, 1e6, true);
  const std::string warm_1 = submit(3, {"pequena"}, 0.5, false);
  const std::string warm_2 = submit(4, {"grande"}, 0.5, false);
  Rules& rules = world.rules();
  const bool ready = world.RunUntil(
      [&] {
        return rules.IsOn(replica_1) && rules.IsOn(replica_2) && rules.IsDone(warm_1) &&
               rules.IsDone(warm_2);
      },
      30);
  world.Run(5);
  if (!ready || world.Leader() != leader || faulty->controller() != second ||
      healthy->controller() != third) {
    std::cerr << "the deployment is not as planned" << std::endl;
    return 2;
  }
  // From now on this machine fails every task that it starts.
  faulty->SetFaulty(true);

  if (!world.RunUntil([&] { return faulty->next_report_at() - SteadySeconds() > 1.5; }, 10))
    return 2;
  const double report_at = faulty->next_report_at();
  const bool trouble = TroubleWanted();
  world.Run(report_at - kFirstCutBeforeReportSeconds - SteadySeconds());
  if (trouble) {
    rules.Record("cut: the leader loses its workers, connections are reset");
    for (Worker* worker : world.fleet().workers()) worker->inbound().Refuse(true);
  }
  const std::string task = submit(5, {"pequena", "grande"}, 40, false);
  // The report passes, then the second cut begins.
  if (trouble) faulty->outbound(second).CutAfterNextRequest();
  world.RunUntil([&] { return faulty->last_report_at() >= report_at - 0.01; }, 3);
  const double sent_at = faulty->last_report_at();
  if (trouble) {
    if (!world.RunUntil([&] { return faulty->outbound(second).holds(); }, 1)) return 2;
    healthy->outbound(second).HoldToServer(true);
    healthy->outbound(second).HoldToClient(true);
    rules.Record("cut: a second controller loses the workers, packets are held back");
    world.Run(0.05);
    rules.Record("the first cut ends");
    for (Worker* worker : world.fleet().workers()) worker->inbound().Refuse(false);
  }
  const bool moved = world.RunUntil(
      [&] {
        const Worker::Task* other = healthy->Find(task);
        return other != nullptr && other->state == "running";
      },
      std::max(0.1, sent_at + 3 - SteadySeconds()));
  // A job for the faulty machine only: the command that launches it also clears the failed task.
  if (moved) submit(6, {"pequena"}, 40, false);
  world.Run(std::max(0.1, sent_at + kSecondCutSeconds - SteadySeconds()));
  if (trouble) {
    rules.Record("the second cut ends, " + std::to_string(SteadySeconds() - sent_at) +
                 " s after the report was sent");
    for (Worker* worker : world.fleet().workers()) {
      worker->outbound(second).HoldToServer(false);
      worker->outbound(second).HoldToClient(false);
    }
  }
  world.Run(6);
  if (world.UnexpectedEnds() > 0) return 2;
  const int status = Verdict(world, {"ran_twice"});
  if (status == 0 && !moved) {
    std::cerr << "the task did not move in time" << std::endl;
    return 2;
  }
  return status;
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
