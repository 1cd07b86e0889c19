// Drains in a large fleet. Guards against work per eviction that grows with the number of machines;
// counts work units, not time.
#include <gtest/gtest.h>

#include <iostream>

#include "drain_world.h"

namespace deckhall {
namespace {

struct DrainCost {
  size_t machines = 0;
  uint64_t replicas_moved = 0;
  double duration_s = 0;
  double controller_work_per_replica = 0;  // work units of the eviction controller
  double ledger_work_per_replica = 0;      // work units of the disruption ledger
};

// Drains some machines of a fleet and measures the work.
DrainCost MeasureDrain(size_t machines, size_t machines_to_drain) {
  DrainTestEnvironment world;
  world.settings.max_sockets = 20000;
  world.StartLeader();
  std::string selection;
  for (size_t i = 0; i < machines; ++i) {
    const std::string name = "m-" + std::to_string(i);
    FakeWorker& worker = world.workers.by_endpoint[name + ":1"];
    worker.heartbeat.machine = name;
    worker.heartbeat.endpoint = name + ":1";
    worker.heartbeat.type = "box";
    worker.heartbeat.zone = i % 2 == 0 ? "east" : "west";
    worker.heartbeat.agent_epoch = 1;
    if (i < machines_to_drain) selection += "(machine \"" + name + "\") ";
  }
  world.RunAndRecord(4);
  // Three quarters of the cores are in use.
  const size_t jobs = machines * 3 / 10;
  for (size_t i = 0; i < jobs; ++i) {
    JobSpec spec = world.Service("job-" + std::to_string(i), 10);
    spec.team = i % 2 == 0 ? "red" : "blue";
    JobRequest request;
    request.operation = JobOperation::kSubmit;
    request.job_id = spec.id;
    request.job = spec;
    world.leader->HandleJobRequest(request, [](const JobResponse&) {});
    if (i % 50 == 49) world.RunAndRecord(0.5);
  }
  world.RunAndRecord(10);
  world.ApplyPolicy(
      "(budgets (team \"red\" (down \"10\")) (team \"blue\" (down \"10\"))) "
      "(steps (settle-s \"2\") (image-wait-s \"0\")) (drains (drain \"some\" " +
      selection + "))");
  world.RunAndRecord(1);
  const uint64_t controller_work_before = world.leader->eviction_controller().work_units();
  const uint64_t ledger_work_before = world.leader->ledger().work_units();
  const double began_s = world.clock.now;
  EXPECT_TRUE(world.RunUntilDrained("some", 600)) << world.BlockedReason("some");
  DrainCost cost;
  cost.machines = machines;
  cost.duration_s = world.clock.now - began_s;
  cost.replicas_moved = world.Progress("some").replicas_moved;
  const auto replicas = static_cast<double>(std::max<uint64_t>(1, cost.replicas_moved));
  cost.controller_work_per_replica =
      static_cast<double>(world.leader->eviction_controller().work_units() -
                          controller_work_before) /
      replicas;
  cost.ledger_work_per_replica =
      static_cast<double>(world.leader->ledger().work_units() - ledger_work_before) / replicas;
  std::cout << machines << " machines: " << cost.replicas_moved << " replicas moved in "
            << cost.duration_s << " s; work units per replica: eviction controller "
            << cost.controller_work_per_replica << ", ledger " << cost.ledger_work_per_replica
            << std::endl;
  return cost;
}

TEST(DrainAtSize, WorkPerEvictionIsIndependentOfFleetSize) {
  constexpr size_t kMachinesToDrain = 20;
  const DrainCost small = MeasureDrain(400, kMachinesToDrain);
  const DrainCost large = MeasureDrain(4000, kMachinesToDrain);
  EXPECT_GT(small.replicas_moved, 20U);
  EXPECT_GT(large.replicas_moved, 20U);
  // The search for a placement checks at most 256 machines, so both fleet sizes cost the same.
  EXPECT_LT(large.controller_work_per_replica, small.controller_work_per_replica * 2 + 50);
  EXPECT_LT(large.ledger_work_per_replica, small.ledger_work_per_replica * 2 + 10);
}

}  // namespace
}  // namespace deckhall
