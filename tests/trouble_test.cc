// Faults that are easily mistaken for something else: machines whose heartbeats arrive but that
// receive nothing, zones that are partitioned rather than lost, delayed copies of heartbeats, and
// state that can't be read.
#include <gtest/gtest.h>

#include "app/health_check.h"
#include "fakes.h"
#include "mesh/term_freshness.h"

namespace deckhall {
namespace {

size_t CountStarted(const FakeWorker& worker, const std::string& job) {
  return static_cast<size_t>(
      std::count_if(worker.started_tasks.begin(), worker.started_tasks.end(),
                    [&job](const std::string& task) { return task.starts_with(job + "/"); }));
}

// The agent's lease expired: it killed its tasks and begins a new epoch without them.
void RestartAgent(FakeWorker* worker) {
  ++worker->heartbeat.agent_epoch;
  worker->heartbeat.sequence = 0;
  worker->heartbeat.tasks.clear();
}

TEST(OneWayReachability, RestartedMachineGetsNoTasks) {
  LeaderTestEnvironment world;
  world.cloud.out_of_capacity = true;
  world.StartLeader();
  auto& one_way = world.AddMachine("m-1", "east");
  auto& healthy = world.AddMachine("m-2", "east");
  one_way.one_way_reachable = true;
  RestartAgent(&one_way);
  world.AdvanceTime(0.5);
  world.Submit(world.Array("job-1", 4));
  world.AdvanceTime(1);
  EXPECT_EQ(CountStarted(healthy, "job-1"), 4U);
}

TEST(OneWayReachability, TasksStartElsewhereOnlyAfterTheMachineIsReleased) {
  LeaderTestEnvironment world;
  world.cloud.out_of_capacity = true;
  world.StartLeader();
  auto& one_way = world.AddMachine("m-1", "east");
  world.Submit(world.Service("job-1", 1));
  world.AdvanceTime(1);
  ASSERT_TRUE(one_way.HasTask("job-1/0"));
  auto& healthy = world.AddMachine("m-2", "east");
  one_way.one_way_reachable = true;
  world.cloud.unavailable = true;
  // Long before its lease expires and its task is killed.
  world.AdvanceTime(world.settings.lease_s / 3 + world.tuning.one_way_death_s + 1);
  EXPECT_FALSE(healthy.HasTask("job-1/0"));
  EXPECT_TRUE(world.cloud.released.empty());
  world.cloud.unavailable = false;
  world.AdvanceTime(3);
  EXPECT_EQ(world.cloud.released, std::vector<std::string>{"m-1"});
  EXPECT_TRUE(healthy.HasTask("job-1/0"));
}

TEST(OneWayReachability, ManyMachinesAtOnceAreNotReleased) {
  LeaderTestEnvironment world;
  world.cloud.out_of_capacity = true;
  world.StartLeader();
  std::vector<FakeWorker*> machines;
  for (int i = 1; i <= 6; ++i)
    machines.push_back(&world.AddMachine("m-" + std::to_string(i), "east"));
  for (FakeWorker* machine : machines) {
    machine->one_way_reachable = true;
    RestartAgent(machine);
  }
  world.AdvanceTime(world.tuning.one_way_death_s * 3);
  EXPECT_TRUE(world.cloud.released.empty());
  for (FakeWorker* machine : machines) machine->one_way_reachable = false;
  world.AdvanceTime(5);
  world.Submit(world.Array("job-1", 4));
  world.AdvanceTime(1);
  size_t started = 0;
  for (FakeWorker* machine : machines) started += CountStarted(*machine, "job-1");
  EXPECT_EQ(started, 4U);
}

// A leader that loses its connection to the workers must not release machines whose workers are
// still looking for another controller.
TEST(LeaderConnectivity, LossOfMostMachinesAtOnceReleasesNone) {
  LeaderTestEnvironment world;
  world.cloud.out_of_capacity = true;
  world.StartLeader();
  std::vector<FakeWorker*> machines;
  for (int i = 1; i <= 8; ++i)
    machines.push_back(&world.AddMachine("m-" + std::to_string(i), "east"));
  for (FakeWorker* machine : machines) machine->unresponsive = true;
  world.AdvanceTime(world.tuning.death_s + 3);
  EXPECT_TRUE(world.cloud.released.empty());
  for (FakeWorker* machine : machines) {
    machine->unresponsive = false;
    machine->one_way_reachable = true;
  }
  world.AdvanceTime(2);
  EXPECT_GT(world.leader->UnreachableSeconds(), 0);
  for (FakeWorker* machine : machines) machine->one_way_reachable = false;
  world.AdvanceTime(4);
  EXPECT_EQ(world.leader->UnreachableSeconds(), 0);
}

// In a large fleet only a few machines can be probed at a time, so the share known to be
// unreachable rises slowly. No machine may be released meanwhile.
TEST(LeaderConnectivity, FewProbesDetectLossInALargeFleet) {
  LeaderTestEnvironment world;
  world.cloud.out_of_capacity = true;
  world.settings.max_sockets = 4000;
  world.settings.teams = {{"blue", 0, 0, 0, 0}};
  world.tuning.worker_call_ms = 5;  // twenty probes per second
  world.StartLeader();
  for (int i = 0; i < 120; ++i) world.AddMachine("m-" + std::to_string(i), "east");
  world.Submit(world.Array("job-1", 120, 8));
  world.AdvanceTime(5);
  for (auto& [endpoint, machine] : world.workers.by_endpoint) machine.unresponsive = true;
  world.AdvanceTime(world.tuning.death_s + 3);
  EXPECT_TRUE(world.cloud.released.empty());
  EXPECT_GT(world.leader->UnreachableSeconds(), 3);
}

// Eight machines in each of two zones, and a service with replicas in both.
struct TwoZones : LeaderTestEnvironment {
  std::vector<FakeWorker*> east, west;
  void StartService(uint32_t replicas) {
    settings.teams = {{"blue", 0, 0, 0, 0}};
    settings.site = "west";
    settings.siblings = {{"n1", "east", {}}};
    settings.max_sockets = 4000;
    tuning.settled_s = 1000;  // no machine is emptied to be released
    tuning.headroom_machines = tuning.headroom_share = tuning.headroom_boots = 0;
    StartLeader();
    for (int i = 0; i < 8; ++i) {
      east.push_back(&AddMachine("m-1" + std::to_string(i), "east"));
      west.push_back(&AddMachine("m-2" + std::to_string(i), "west"));
    }
    JobSpec spec = Service("job-1", replicas);
    spec.anti_affinity = true;
    Submit(spec);
    AdvanceTime(3);
  }
  size_t RunningTasks(const std::vector<FakeWorker*>& zone) const {
    size_t running = 0;
    for (const FakeWorker* machine : zone) {
      for (const TaskStatus& task : machine->heartbeat.tasks)
        running += task.state == TaskState::kRunning ? 1 : 0;
    }
    return running;
  }
  void SetPartitioned(std::vector<FakeWorker*>* zone, bool partitioned) {
    suspected_zone = partitioned ? "east" : "";
    for (FakeWorker* machine : *zone) machine->unresponsive = partitioned;
  }
};

// Releasing all machines of a partitioned zone after 14 s ended a third of the replicas long before
// there was free capacity elsewhere, and their replacements were provisioned inside the partition.
TEST(ZonePartition, KeepsMachinesAndProvisionsCapacityInOtherZones) {
  TwoZones world;
  world.StartService(64);  // the capacity of all machines
  ASSERT_EQ(world.RunningTasks(world.east), 32U);
  ASSERT_TRUE(world.cloud.scale_out_zones.empty());
  world.SetPartitioned(&world.east, true);
  world.AdvanceTime(world.settings.lease_s - 1);
  EXPECT_TRUE(world.cloud.released.empty());
  EXPECT_FALSE(world.cloud.scale_out_zones.empty());
  EXPECT_EQ(
      std::count(world.cloud.scale_out_zones.begin(), world.cloud.scale_out_zones.end(), "east"),
      0);
  // The replicas of the partitioned zone are not started here yet.
  EXPECT_EQ(world.RunningTasks(world.west), 32U);
}

TEST(ZonePartition, ReplicasStartElsewhereAfterLeaseExpiryAndMachinesAreReusedOnRecovery) {
  TwoZones world;
  world.cloud.out_of_capacity = true;
  world.StartService(8);
  ASSERT_EQ(world.RunningTasks(world.east), 4U);
  JobSpec unconstrained = world.Service("job-2", 8);
  world.Submit(unconstrained);
  world.AdvanceTime(2);
  const size_t partitioned_tasks = world.RunningTasks(world.east);
  ASSERT_GT(partitioned_tasks, 4U);
  world.SetPartitioned(&world.east, true);
  world.AdvanceTime(world.settings.lease_s - 1);
  const size_t tasks_before_expiry = world.RunningTasks(world.west);
  world.AdvanceTime(4);
  // All of them but four of job-1, which may run at most half of its replicas in one zone.
  EXPECT_EQ(world.RunningTasks(world.west), tasks_before_expiry + partitioned_tasks - 4);
  EXPECT_TRUE(world.cloud.released.empty());
  for (FakeWorker* machine : world.east) RestartAgent(machine);
  world.SetPartitioned(&world.east, false);
  world.AdvanceTime(4);
  EXPECT_EQ(world.RunningTasks(world.east), 4U);
  EXPECT_TRUE(world.cloud.released.empty());
}

// The former leader is inside the partition: it answers heartbeats there for its grace period.
TEST(ZonePartition, MachinesServedByTheFormerLeaderAreNotReleased) {
  TwoZones world;
  world.StartService(16);
  world.SetPartitioned(&world.east, true);
  world.former_leader_zone = "east";
  world.StartLeader();
  world.AdvanceTime(GracePeriodSeconds(world.settings) + world.settings.lease_s - 3);
  EXPECT_TRUE(world.cloud.released.empty());
  EXPECT_EQ(world.RunningTasks(world.west), 8U);
}

// A leader elected while a zone is partitioned can't observe since when heartbeats from there have
// been unanswered. Without a record of that time it held the replicas back for a grace period and
// a lease.
TEST(ZonePartition, NewLeaderKnowsWhenLeasesInTheZoneExpire) {
  TwoZones world;
  world.cloud.out_of_capacity = true;
  world.tuning.failover_wait_s = world.tuning.partition_death_s = 500;
  world.StartService(8);
  world.Submit(world.Service("job-2", 8));
  world.AdvanceTime(2);
  world.SetPartitioned(&world.east, true);
  world.AdvanceTime(world.settings.lease_s / 2);
  world.StartLeader();
  world.AdvanceTime(4);
  const size_t tasks_before_expiry = world.RunningTasks(world.west);
  const size_t partitioned_tasks = world.RunningTasks(world.east);
  world.AdvanceTime(world.settings.lease_s / 2);
  EXPECT_EQ(world.RunningTasks(world.west), tasks_before_expiry + partitioned_tasks - 4);
  // The machines are kept although this leader has received no heartbeat from them.
  world.AdvanceTime(world.cloud.types[0].boot_s + 2);
  EXPECT_TRUE(world.cloud.released.empty());
}

TEST(ZonePartition, RecordedLeaseExpiryIsWithdrawnBeforeAHeartbeatIsAnswered) {
  TwoZones world;
  world.cloud.out_of_capacity = true;
  world.StartService(8);
  world.SetPartitioned(&world.east, true);
  world.AdvanceTime(5);
  FakeWorker& machine = *world.east[0];
  machine.unresponsive = false;
  world.state.unavailable = true;
  ++machine.heartbeat.sequence;
  EXPECT_EQ(world.leader->HandleHeartbeat(machine.heartbeat).status, 503);
  world.AdvanceTime(1);
  ++machine.heartbeat.sequence;
  EXPECT_EQ(world.leader->HandleHeartbeat(machine.heartbeat).status, 503);
  world.state.unavailable = false;
  world.SetPartitioned(&world.east, false);
  world.AdvanceTime(1);
  ++machine.heartbeat.sequence;
  EXPECT_EQ(world.leader->HandleHeartbeat(machine.heartbeat).status, 200);
  for (const auto& [key, entry] : world.state.keys) {
    EXPECT_EQ(entry.value.find("\"u\":"), std::string::npos) << entry.value;
  }
}

// A zone in which some machines still send heartbeats is not partitioned.
TEST(ZonePartition, MachinesLostInAReachableZoneAreReleased) {
  TwoZones world;
  world.StartService(16);
  for (size_t i = 0; i < 5; ++i) world.east[i]->unresponsive = true;
  world.AdvanceTime(world.tuning.partition_death_s + 3);
  EXPECT_EQ(world.cloud.released.size(), 5U);
}

TEST(StaleHeartbeat, CopiesDoNotKeepTasksFromStartingElsewhere) {
  LeaderTestEnvironment world;
  world.cloud.out_of_capacity = true;
  world.StartLeader();
  auto& lost = world.AddMachine("m-1", "east");
  world.Submit(world.Service("job-1", 1));
  world.AdvanceTime(1);
  ASSERT_TRUE(lost.HasTask("job-1/0"));
  auto& healthy = world.AddMachine("m-2", "east");
  const Heartbeat stale_copy = lost.heartbeat;
  lost.unresponsive = true;
  world.cloud.unavailable = true;  // the machine can't be released, so only its lease counts
  for (int i = 0; i < 26; ++i) {
    world.AdvanceTime(1);
    world.leader->HandleHeartbeat(stale_copy);
  }
  EXPECT_TRUE(healthy.HasTask("job-1/0"));
}

TEST(StaleHeartbeat, FirstOneReceivedByANewLeaderDoesNotReconcileTheMachine) {
  LeaderTestEnvironment world;
  world.tuning.failover_wait_s = 500;
  world.cloud.out_of_capacity = true;
  world.StartLeader();
  auto& lost = world.AddMachine("m-1", "east");
  ++lost.heartbeat.sequence;
  const Heartbeat stale_copy = lost.heartbeat;  // from before the task started
  world.Submit(world.Service("job-1", 1));
  world.AdvanceTime(1);
  ASSERT_TRUE(lost.HasTask("job-1/0"));
  auto& healthy = world.AddMachine("m-2", "east");
  lost.unresponsive = true;
  world.StartLeader();
  world.leader->HandleHeartbeat(stale_copy);
  world.AdvanceTime(5);
  EXPECT_FALSE(healthy.HasTask("job-1/0"));
}

// A late copy of a heartbeat from a machine that was released under the former leader must neither
// count as free capacity nor keep the machine in the fleet for ever.
TEST(StaleHeartbeat, FromAReleasedMachineDoesNotBlockScaleOut) {
  LeaderTestEnvironment world;
  world.tuning.autoscale_interval_s = 0.2;
  world.StartLeader();
  world.workers.by_endpoint["m-1:1"].unresponsive = true;
  Heartbeat stale_copy;
  stale_copy.machine = "m-1";
  stale_copy.endpoint = "m-1:1";
  stale_copy.type = "box";
  stale_copy.zone = "east";
  stale_copy.agent_epoch = 1;
  stale_copy.sequence = 90;
  stale_copy.fencing_token = (world.leader->term() - 1) << kTermShiftBits;
  world.leader->HandleHeartbeat(stale_copy);
  world.Submit(world.Service("job-1", 1));
  world.clock.now += 0.25;
  world.ProcessPending();
  EXPECT_FALSE(world.cloud.scale_out_requests.empty());
  world.AdvanceTime(20);
  const MachineIndex released = world.leader->fleet().Find("m-1");
  ASSERT_NE(released, kNoIndex);
  EXPECT_TRUE(world.leader->fleet()[released].removed);
}

TEST(AgentRestart, WorkerRestartedUnderTheSameNameGetsItsTasksAgain) {
  LeaderTestEnvironment world;
  world.cloud.out_of_capacity = true;
  world.StartLeader();
  auto& worker = world.AddMachine("m-1", "east");
  world.Submit(world.Service("job-1", 1));
  world.AdvanceTime(30);
  ASSERT_EQ(worker.started_tasks.size(), 1U);
  worker.heartbeat.agent_epoch = 1;
  worker.heartbeat.sequence = 0;
  worker.heartbeat.fencing_token = 0;
  worker.heartbeat.tasks.clear();
  world.AdvanceTime(3);
  EXPECT_EQ(worker.started_tasks.size(), 2U);
  EXPECT_TRUE(worker.HasTask("job-1/0"));
}

TEST(ImplausibleHeartbeat, IsCountedAndChangesNothing) {
  LeaderTestEnvironment world;
  world.cloud.out_of_capacity = true;
  world.StartLeader();
  auto& worker = world.AddMachine("m-1", "east");
  world.Submit(world.Service("job-1", 1));
  world.AdvanceTime(1);
  Heartbeat implausible = worker.heartbeat;
  implausible.sequence += 1000;
  implausible.tasks.clear();
  // A token that no controller can have issued, while the leader's lease is valid.
  implausible.fencing_token = UINT64_MAX;
  world.leader->HandleHeartbeat(implausible);
  EXPECT_FALSE(world.leadership_lost);
  implausible.fencing_token = worker.heartbeat.fencing_token;
  implausible.zone = "west";
  world.leader->HandleHeartbeat(implausible);
  world.AdvanceTime(1);
  EXPECT_EQ(worker.started_tasks.size(), 1U);
  EXPECT_EQ(world.leader->implausible_heartbeats(), 2U);
  world.lease.valid_until = world.clock.now - 1;
  implausible.fencing_token = (world.leader->term() + 1) << kTermShiftBits;
  world.leader->HandleHeartbeat(implausible);
  EXPECT_TRUE(world.leadership_lost);
}

TEST(HealthCheck, ControllerWithoutStateServiceAndPeersBecomesUnhealthy) {
  HealthCheck leader("n0");
  EXPECT_FALSE(leader.IsHealthy(0));
  leader.Update(1, "n0", true, 0.1);
  EXPECT_TRUE(leader.IsHealthy(1));
  for (const double t : EvenlySpacedTimes(1, 12, 0.5)) leader.Update(t, "n0", false, t - 1);
  EXPECT_FALSE(leader.IsHealthy(12));
  // A follower that can reach neither its leader nor a peer.
  HealthCheck isolated_follower("n1");
  isolated_follower.Update(1, "n0", false, 0.1);
  for (const double t : EvenlySpacedTimes(1, 12, 0.5))
    isolated_follower.Update(t, "", false, t - 1);
  EXPECT_FALSE(isolated_follower.IsHealthy(12));
  // During a leader change a controller stays healthy while its peers respond.
  HealthCheck connected_follower("n2");
  connected_follower.Update(1, "n0", false, 0.1);
  for (const double t : EvenlySpacedTimes(1, 12, 0.5)) connected_follower.Update(t, "", false, 0.2);
  EXPECT_TRUE(connected_follower.IsHealthy(12));
}

TEST(TermFreshness, PingOfAProcessThatHasNotReadTheLeaderKeyIsIgnored) {
  TermFreshness freshness(2);
  freshness.RecordPing(0, 10, true);
  freshness.RecordPing(1, 10, true);
  EXPECT_EQ(freshness.Since(11), 10);
  freshness.RecordPing(0, 20, true);
  freshness.RecordPing(1, 20, false);
  EXPECT_EQ(freshness.Since(21), 10);
  freshness.RecordPing(1, 22, true);
  freshness.RecordPing(0, 5, true);  // the response was delayed
  EXPECT_EQ(freshness.Since(23), 20);
}

TEST(StateLoad, StartsOverAfterFailingHalfway) {
  LeaderTestEnvironment world;
  world.cloud.out_of_capacity = true;
  world.StartLeader();
  auto& worker = world.AddMachine("m-1", "east");
  for (int i = 0; i < 80; ++i) {
    JobSpec spec = world.Array("job-" + std::to_string(i), 1, 0.05);
    spec.memory_gb = 0.1;
    world.Submit(spec);
  }
  world.AdvanceTime(2);
  ASSERT_EQ(worker.started_tasks.size(), 80U);
  world.state.list_page_rows = 1;
  world.state.lists_before_failure = 2;
  world.StartLeader();
  world.AdvanceTime(3);
  EXPECT_EQ(world.leader->job_store().active_jobs().size(), 80U);
  EXPECT_EQ(worker.started_tasks.size(), 80U);
  EXPECT_EQ(world.SendRequest(JobOperation::kGet, "job-7").tasks_running, 1U);
}

TEST(StateLoad, JobOnAnUnreadablePageIsUnavailableRatherThanNotFound) {
  LeaderTestEnvironment world;
  world.StartLeader();
  world.Submit(world.Array("job-1", 1));
  world.AdvanceTime(1);
  for (auto& [key, entry] : world.state.keys) {
    if (key.starts_with("deckhall/pages/")) entry.value = "[broken";
  }
  world.StartLeader();
  world.AdvanceTime(3);
  EXPECT_EQ(world.SendRequest(JobOperation::kGet, "job-1").status, 503);
  EXPECT_EQ(world.Submit(world.Array("job-2", 1)).status, 201);
}

// A cloud outage must not block the tasks of a lost machine for ever: its lease must still be
// checked once its release has been requested.
TEST(CloudOutage, TasksOfAnUnreleasableMachineStartElsewhereAfterItsLease) {
  LeaderTestEnvironment world;
  world.cloud.out_of_capacity = true;
  world.StartLeader();
  auto& lost = world.AddMachine("m-1", "east");
  world.Submit(world.Service("job-1", 1));
  world.AdvanceTime(1);
  auto& healthy = world.AddMachine("m-2", "east");
  lost.unresponsive = true;
  world.cloud.unavailable = true;
  world.AdvanceTime(world.settings.lease_s - 2);
  EXPECT_FALSE(healthy.HasTask("job-1/0"));
  world.AdvanceTime(5);
  EXPECT_TRUE(healthy.HasTask("job-1/0"));
}

TEST(Starvation, IdleJobStartsDespiteASteadyStreamOfGuaranteedJobs) {
  LeaderTestEnvironment world;
  world.cloud.out_of_capacity = true;
  world.tuning.headroom_share = 0;
  world.StartLeader();
  auto& worker = world.AddMachine("m-1", "east");
  JobSpec idle = world.Array("job-9999", 8);
  idle.team = "red";
  idle.priority = Priority::kIdle;
  idle.estimated_runtime_s = 500;
  world.Submit(world.Array("job-0", 4));
  world.AdvanceTime(1);
  world.Submit(idle);
  // A stream of jobs within another team's guarantee takes all capacity that becomes free.
  for (int i = 1; i <= 160 && CountStarted(worker, "job-9999") == 0; ++i) {
    const std::string current_id = "job-" + std::to_string(i);
    world.Submit(world.Array(current_id, 4));
    const std::string previous_id = "job-" + std::to_string(i - 1);
    for (int task = 0; task < 4; ++task)
      worker.EndTask(previous_id + "/" + std::to_string(task), ExitReason::kDone);
    world.AdvanceTime(2);
    if (i * 2 < world.tuning.starvation_s - 4) {
      ASSERT_EQ(CountStarted(worker, "job-9999"), 0U) << i;
    }
  }
  EXPECT_GT(CountStarted(worker, "job-9999"), 0U);
}

// Of three controllers with 3500 connections each, two can hold 4,000 workers. Scale-out must not
// stop below that.
TEST(FleetScale, FourThousandMachinesAreWithinTheLimits) {
  Settings settings;
  settings.max_sockets = 3500;
  settings.siblings.resize(2);
  EXPECT_GE(MaxMachines(settings), 4000);
  settings.max_sockets = 2500;
  settings.siblings.resize(4);
  EXPECT_GE(MaxMachines(settings), 4000);
  settings.siblings.clear();
  EXPECT_EQ(MaxMachines(settings), ServedConnections(settings));
}

TEST(FleetScale, ScaleOutIsLimitedOnlyByTheSettings) {
  LeaderTestEnvironment world;
  world.settings.max_sockets = 4000;
  world.settings.teams = {{"blue", 0, 0, 0, 0}};
  world.StartLeader();
  world.Submit(world.Service("job-1", 700, 8));
  world.AdvanceTime(4);
  int machines = 0;
  for (const auto& [request, count] : world.cloud.scale_out_requests) {
    EXPECT_LE(count, 50);
    machines += count;
  }
  EXPECT_GE(machines, 700);
}

// Handling a heartbeat takes the same work in a large fleet, and a scheduling pass rebuilds only
// the nodes that changed.
TEST(FleetScale, WorkPerHeartbeatDoesNotGrowWithTheFleet) {
  auto measure_work = [](int machines) {
    LeaderTestEnvironment world;
    world.cloud.out_of_capacity = true;
    world.settings.max_sockets = 4000;
    world.settings.teams = {{"blue", 0, 0, 0, 0}};
    world.StartLeader();
    for (int i = 0; i < machines; ++i) world.AddMachine("m-" + std::to_string(i), "east");
    world.Submit(world.Array("job-1", static_cast<uint32_t>(machines)));
    world.AdvanceTime(3);
    auto& worker = world.workers.by_endpoint["m-0:1"];
    const uint64_t before = world.leader->work_units();
    for (int i = 0; i < 10; ++i) {
      world.SendHeartbeat(&worker);
      world.leader->Tick();
    }
    const uint64_t heartbeat_work = world.leader->work_units() - before;
    world.clock.now += 0.3;
    world.leader->Tick();
    return std::make_pair(heartbeat_work, world.leader->work_units() - before - heartbeat_work);
  };
  const auto small_fleet = measure_work(10);
  const auto large_fleet = measure_work(300);
  EXPECT_LE(large_fleet.first, small_fleet.first + 5);
  // One sweep over the machines; no node is rebuilt, since none changed.
  EXPECT_LE(large_fleet.second, 300U + small_fleet.second);
}

// The work per machine during a failover does not grow with the number of machines.
TEST(FleetScale, FailoverWorkGrowsNoFasterThanTheFleet) {
  auto work_per_machine = [](int machines) {
    LeaderTestEnvironment world;
    world.cloud.out_of_capacity = true;
    world.settings.max_sockets = 4000;
    world.settings.teams = {{"blue", 0, 0, 0, 0}};
    world.tuning.worker_call_ms = 0.001;  // the fencing token is announced to all at once
    world.StartLeader();
    for (int i = 0; i < machines; ++i) world.AddMachine("m-" + std::to_string(i), "east");
    world.Submit(world.Service("job-1", static_cast<uint32_t>(machines)));
    world.AdvanceTime(3);
    world.StartLeader();
    world.AdvanceTime(3);
    EXPECT_EQ(world.leader->fleet().CountUnreconciled(), 0U);
    return static_cast<double>(world.leader->work_units()) / machines;
  };
  EXPECT_LE(work_per_machine(400), work_per_machine(40) * 1.2);
}

// On machines that fail every task, a replica was never placed again after three consecutive
// failures, since no task of a service succeeds and resets the count. Idle machines were kept
// for it.
TEST(FailureBackoff, ReplicaThatFailedOnBadMachinesIsPlacedAgain) {
  LeaderTestEnvironment world;
  world.cloud.out_of_capacity = true;
  world.StartLeader();
  world.AddMachine("m-1", "east");
  world.Submit(world.Service("job-1", 2));
  world.AdvanceTime(2);
  for (int round = 0; round < 3; ++round) {
    auto& bad = world.AddMachine("m-bad" + std::to_string(round), "west");
    auto& good = world.workers.by_endpoint["m-1:1"];
    // The replica that is listed last on the good machine moves to the bad one and fails there.
    const std::string task = good.HasTask("job-1/1") ? "job-1/1" : "job-1/0";
    if (good.ActiveTasks("job-1") == 2) good.EndTask(task, ExitReason::kError);
    for (const char* id : {"job-1/0", "job-1/1"}) {
      if (bad.HasTask(id)) bad.EndTask(id, ExitReason::kError);
    }
    world.AdvanceTime(1);
    for (const char* id : {"job-1/0", "job-1/1"}) {
      if (bad.HasTask(id)) bad.EndTask(id, ExitReason::kError);
    }
    world.AdvanceTime(1);
  }
  const JobIndex job = world.leader->job_store().Find("job-1");
  ASSERT_GE(world.leader->job_store()[job].consecutive_failures, 3U);
  world.AdvanceTime(15);  // before the failure count is reset
  EXPECT_EQ(world.SendRequest(JobOperation::kGet, "job-1").tasks_running, 2U);
  world.AdvanceTime(45);
  EXPECT_EQ(world.leader->job_store()[job].consecutive_failures, 0U);
}

}  // namespace
}  // namespace deckhall
