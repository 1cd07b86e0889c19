// Drains at the size of a large fleet: the counted work, not the time.
#include <gtest/gtest.h>

#include <iostream>

#include "drain_world.h"

namespace deckhall {
namespace {

struct Work {
  size_t machines = 0;
  uint64_t replicas_moved = 0;
  double seconds = 0;
  double drain_work = 0;   // counted by the drainer, for each replica moved
  double ledger_work = 0;  // counted by the ledger, for each replica moved
};

// Drains so many machines out of a fleet, and counts what that took.
Work DrainSome(size_t machines, size_t drained) {
  DrainTestEnvironment w;
  w.settings.max_sockets = 20000;
  w.StartLeader();
  std::string selection;
  for (size_t i = 0; i < machines; ++i) {
    const std::string name = "m-" + std::to_string(i);
    FakeWorker& worker = w.workers.by_endpoint[name + ":1"];
    worker.heartbeat.machine = name;
    worker.heartbeat.endpoint = name + ":1";
    worker.heartbeat.type = "box";
    worker.heartbeat.zone = i % 2 == 0 ? "east" : "west";
    worker.heartbeat.agent_epoch = 1;
    if (i < drained) selection += "(machine \"" + name + "\") ";
  }
  w.RunAndRecord(4);
  // Three of four places are in use.
  const size_t jobs = machines * 3 / 10;
  for (size_t i = 0; i < jobs; ++i) {
    JobSpec spec = w.Service("job-" + std::to_string(i), 10);
    spec.team = i % 2 == 0 ? "red" : "blue";
    JobRequest ask;
    ask.operation = JobOperation::kSubmit;
    ask.job_id = spec.id;
    ask.job = spec;
    w.leader->HandleJobRequest(ask, [](const JobResponse&) {});
    if (i % 50 == 49) w.RunAndRecord(0.5);
  }
  w.RunAndRecord(10);
  w.ApplyPolicy(
      "(budgets (team \"red\" (down \"10\")) (team \"blue\" (down \"10\"))) "
      "(steps (settle-s \"2\") (image-wait-s \"0\")) (drains (drain \"some\" " +
      selection + "))");
  w.RunAndRecord(1);
  const uint64_t drain_before = w.leader->eviction_controller().work_units();
  const uint64_t ledger_before = w.leader->ledger().work_units();
  const double began = w.clock.now;
  EXPECT_TRUE(w.RunUntilDrained("some", 600)) << w.BlockedReason("some");
  Work work;
  work.machines = machines;
  work.seconds = w.clock.now - began;
  work.replicas_moved = w.Progress("some").replicas_moved;
  const auto moved = static_cast<double>(std::max<uint64_t>(1, work.replicas_moved));
  work.drain_work =
      static_cast<double>(w.leader->eviction_controller().work_units() - drain_before) / moved;
  work.ledger_work = static_cast<double>(w.leader->ledger().work_units() - ledger_before) / moved;
  std::cout << machines << " machines: " << work.replicas_moved << " replicas moved in "
            << work.seconds << " s; counted work for each: drainer " << work.drain_work
            << ", ledger " << work.ledger_work << std::endl;
  return work;
}

TEST(DrainAtSize, TheWorkForAStepDoesNotGrowWithTheFleet) {
  constexpr size_t kDrained = 20;
  const Work small = DrainSome(400, kDrained);
  const Work large = DrainSome(4000, kDrained);
  EXPECT_GT(small.replicas_moved, 20U);
  EXPECT_GT(large.replicas_moved, 20U);
  // A search for a place looks at 256 machines at the most, so both sizes cost the same.
  EXPECT_LT(large.drain_work, small.drain_work * 2 + 50);
  EXPECT_LT(large.ledger_work, small.ledger_work * 2 + 10);
}

}  // namespace
}  // namespace deckhall
