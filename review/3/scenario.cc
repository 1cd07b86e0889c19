// A leader loses its leadership while a rental of its own is without an answer, and stands still
// soon after.
#include <exception>
#include <iostream>

#include "world.h"

using namespace review;

namespace {

constexpr double kStandStillSeconds = 20;

int Play(World& world) {
  world.StartAll();
  if (!world.RunUntil([&] { return world.Leader() != SIZE_MAX; }, 10)) return 2;
  world.fleet().AddMachine("grande", "sierra-sur");
  world.Run(3);
  const size_t leader = world.Leader();
  if (leader == SIZE_MAX) return 2;
  Rules& rules = world.rules();
  const bool trouble = TroubleWanted();
  if (trouble) {
    rules.Record("cut: between the leader and the cloud, packets are held back");
    world.cloud_way(leader).HoldToClient(true);
  }
  const size_t rentals = world.fleet().rentals();
  // More work than the one machine has room for.
  auto job = MakeJob(1, "cobranza", 40, 2);
  job.estimated_runtime_s = 40;
  world.Submit(job, 40, leader);
  if (!world.RunUntil([&] { return world.fleet().rentals() > rentals; }, 15)) {
    std::cerr << "no rental" << std::endl;
    return 2;
  }
  const double rented_at = SteadySeconds();
  if (trouble) {
    rules.Record("trouble: the state service refuses the leader alone");
    world.state_door(leader).refused_until = rented_at + 8;
  }
  world.RunUntil([&] { return world.Leader() != leader && world.Leader() != SIZE_MAX; }, 4);
  world.Run(0.7);
  rules.Record("another controller leads, " + std::to_string(SteadySeconds() - rented_at) +
               " s after the rental was sent");
  if (trouble) {
    if (world.Leader() == leader) return 2;
    world.Freeze(leader);
  }
  world.Run(kStandStillSeconds);
  if (trouble) {
    world.Resume(leader);
    world.cloud_way(leader).HoldToClient(false);
  }
  world.Run(4);
  world.UnexpectedEnds();
  return Verdict(world, {"crash"});
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  try {
    WorldOptions options = SolsurArequipa(argv[1]);
    options.fleet.capacity = 10;
    World world(options, argv[2]);
    return Play(world);
  } catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
    return 2;
  }
}
