// Arrays of many small tasks on simulated clusters: their machines' messages come near the size
// that PROTOCOL allows, and are refused beyond it. Other seeds of the drawn part:
// DECKHALL_SMALL_TASKS=N runs N seeds, DECKHALL_SMALL_TASKS_SEED=N begins there.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "environment.h"
#include "meeting_support.h"

namespace deckhall {
namespace {

constexpr double kCancelSeconds = 40;  // of the clusters that StartCluster() makes

JobSpec SmallTasks(const Cluster& cluster, const std::string& id, uint32_t tasks,
                   double cores = 0.002) {
  JobSpec spec = cluster.Array(id, tasks, cores);
  spec.memory_gb = 0.001;
  return spec;
}

JobSpec SmallService(const Cluster& cluster, const std::string& id, uint32_t tasks) {
  JobSpec spec = cluster.Service(id, tasks, 1);
  spec.memory_gb = 1;
  return spec;
}

// What happens to the leader around the cancellation.
// kUnheard: the leader gets reports, but its commands and responses are lost.
enum class LeaderFault { kNone, kCrashBefore, kCrashAfter, kFreeze, kUnheard };

void InjectLeaderFault(Cluster* cluster, LeaderFault fault) {
  const size_t leader = cluster->Leader();
  ASSERT_NE(leader, SIZE_MAX);
  switch (fault) {
    case LeaderFault::kNone:
      break;
    case LeaderFault::kCrashBefore:
    case LeaderFault::kCrashAfter:
      cluster->Crash(leader);
      break;
    case LeaderFault::kFreeze:
      cluster->Freeze(leader, 8);
      break;
    case LeaderFault::kUnheard:
      cluster->PartitionOneWay(NodeLabel(leader), "workers", 2.5, PartitionMode::kDrop);
      break;
  }
}

void PlayCancellation(uint32_t tasks, LeaderFault fault) {
  SCOPED_TRACE(tasks);
  auto cluster = StartCluster(tasks, 3, 3);
  cluster->array_run_s = 900;
  cluster->Submit(SmallService(*cluster, "job-1", 3));
  cluster->Submit(SmallTasks(*cluster, "job-2", tasks));
  const auto all_run = [&] {
    return cluster->ActiveTasks("job-1") == 3 && cluster->ActiveTasks("job-2") == tasks;
  };
  EXPECT_TRUE(cluster->RunUntil(all_run, 60));
  if (fault == LeaderFault::kCrashBefore) InjectLeaderFault(cluster.get(), fault);
  cluster->Cancel("job-2");
  ASSERT_TRUE(cluster->RunUntil([&] { return cluster->Cancelled("job-2"); }, 60));
  if (fault != LeaderFault::kCrashBefore) InjectLeaderFault(cluster.get(), fault);
  const size_t starts = cluster->oracle->starts();
  EXPECT_TRUE(
      cluster->RunUntil([&] { return cluster->ActiveTasks("job-2") == 0; }, kCancelSeconds));
  BootAll(cluster.get());
  cluster->Submit(SmallService(*cluster, "job-3", 3));
  EXPECT_TRUE(cluster->RunUntil([&] { return cluster->ActiveTasks("job-3") == 3; }, 30));
  EXPECT_EQ(cluster->ActiveTasks("job-1"), 3U);
  EXPECT_EQ(cluster->oracle->starts(), starts + 3) << "a replica was started anew";
  cluster->Run(30);
  EXPECT_EQ(cluster->Violations(), "");
}

// review/5: the stops of an array of 900 tasks on one machine had 71 KB and were refused, so the
// cancelled tasks stayed; at 1,400 tasks the launches had too many, and nothing else began there.
void PlayCancellations(LeaderFault fault) {
  for (const uint32_t tasks : {900U, 1400U}) PlayCancellation(tasks, fault);
}

TEST(SmallTasks, CancelledArrayIsGoneInTimeAndOtherJobsStay) {
  PlayCancellations(LeaderFault::kNone);
}

TEST(SmallTasks, CancelledArrayIsGoneThoughTheLeaderCrashedBefore) {
  PlayCancellations(LeaderFault::kCrashBefore);
}

TEST(SmallTasks, CancelledArrayIsGoneThoughTheLeaderCrashesAfter) {
  PlayCancellations(LeaderFault::kCrashAfter);
}

TEST(SmallTasks, CancelledArrayIsGoneThoughTheLeaderStandsStill) {
  PlayCancellations(LeaderFault::kFreeze);
}

TEST(SmallTasks, CancelledArrayIsGoneThoughWorkersDontHearTheLeader) {
  PlayCancellations(LeaderFault::kUnheard);
}

// All tasks end at once, so that the reports have their longest rows.
TEST(SmallTasks, TasksThatEndTogetherAreReportedAndTheRestRuns) {
  auto cluster = StartCluster(1, 3, 2);
  cluster->array_run_s = 20;
  cluster->Submit(SmallService(*cluster, "job-1", 2));
  cluster->Submit(SmallTasks(*cluster, "job-2", 2500));
  ASSERT_TRUE(cluster->RunUntil([&] { return cluster->ReportedDone("job-2"); }, 240));
  EXPECT_EQ(cluster->ActiveTasks("job-1"), 2U);
  EXPECT_EQ(cluster->Violations(), "");
}

// Machines are rented for tasks that find no room in the reports of those at hand.
TEST(SmallTasks, MachinesAreAddedWhenReportsAreFull) {
  auto cluster = StartCluster(1, 3, 1);
  cluster->available_machines = 3;
  cluster->array_run_s = 900;
  cluster->Submit(SmallTasks(*cluster, "job-1", 900));
  EXPECT_TRUE(cluster->RunUntil([&] { return cluster->ActiveTasks("job-1") == 900; }, 120));
  EXPECT_EQ(cluster->Violations(), "");
}

// A gang whose tasks need several messages on a machine starts as a whole.
TEST(SmallTasks, GangOfManyTasksStartsWhole) {
  auto cluster = StartCluster(1, 3, 3);
  cluster->array_run_s = 10;
  JobSpec gang = SmallTasks(*cluster, "job-1", 1200);
  gang.gang = true;
  cluster->Submit(gang);
  EXPECT_TRUE(cluster->RunUntil([&] { return cluster->ReportedDone("job-1"); }, 120));
  EXPECT_EQ(cluster->oracle->starts(), 1200U);
  EXPECT_EQ(cluster->Violations(), "");
}

// Draws arrays, services and gangs of small tasks, faults and cancellations.
class DrawnSmallTasks {
 public:
  explicit DrawnSmallTasks(uint64_t seed) : random_(seed), cluster_(StartCluster(seed, 3, 4)) {}

  std::string Play() {
    cluster_->available_machines = 4;
    cluster_->array_run_s = Between(5, 120);
    cluster_->copied_request_share = Chance(0.3) ? 0.05 : 0;
    cluster_->Submit(SmallService(*cluster_, NextJob(), 3));
    for (int step = 0; step < kSteps; ++step) {
      if (Chance(0.6)) SubmitArray();
      if (Chance(0.4) && !arrays_.empty()) CancelArray();
      if (Chance(0.4)) InjectFault();
      cluster_->Run(Between(0.5, 12));
    }
    cluster_->copied_request_share = 0;
    BootAll(cluster_.get());
    cluster_->oracle->SuspendLivenessChecksUntil(cluster_->now() + 1);
    cluster_->Run(40);
    cluster_->array_run_s = 3;
    cluster_->Run(120);
    return cluster_->Violations();
  }

 private:
  static constexpr int kSteps = 10;

  double Between(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  bool Chance(double share) { return Between(0, 1) < share; }
  std::string NextJob() { return JobId(static_cast<size_t>(++jobs_)); }
  void SubmitArray() {
    const auto tasks = static_cast<uint32_t>(Between(50, 1500));
    JobSpec spec = SmallTasks(*cluster_, NextJob(), tasks, Between(0.0005, 0.004));
    spec.gang = Chance(0.15);
    spec.spot_tolerant = Chance(0.5);
    arrays_.push_back(spec.id);
    cluster_->Submit(spec);
  }
  void CancelArray() {
    const size_t position = static_cast<size_t>(Between(0, static_cast<double>(arrays_.size())));
    cluster_->Cancel(arrays_[position]);
    arrays_.erase(arrays_.begin() + static_cast<ptrdiff_t>(position));
  }
  std::string DrawWorker() {
    auto worker = cluster_->workers.begin();
    std::advance(worker,
                 static_cast<ptrdiff_t>(Between(0, static_cast<double>(cluster_->workers.size()))));
    return worker->first;
  }
  void InjectFault() {
    const size_t leader = cluster_->Leader();
    switch (static_cast<int>(Between(0, 6))) {
      case 0:
        if (leader != SIZE_MAX) cluster_->Crash(leader);
        break;
      case 1:
        if (leader != SIZE_MAX) cluster_->Freeze(leader, Between(0.5, 8));
        break;
      case 2:
        if (leader != SIZE_MAX)
          cluster_->Partition(NodeLabel(leader), "workers", Between(1, 8), PartitionMode::kDrop);
        break;
      case 3:
        cluster_->Hang(DrawWorker(), Between(1, 30));
        break;
      case 4:
        cluster_->MakeOneWayReachable(DrawWorker(), Between(1, 15));
        break;
      default:
        BootAll(cluster_.get());
    }
  }

  std::mt19937_64 random_;
  std::unique_ptr<Cluster> cluster_;
  int jobs_ = 0;
  std::vector<std::string> arrays_;
};

TEST(SmallTasks, DrawnArraysBreakNoRule) {
  const uint64_t first = NumberFromEnvironment("DECKHALL_SMALL_TASKS_SEED", 1);
  const uint64_t seeds = NumberFromEnvironment("DECKHALL_SMALL_TASKS", 6);
  for (uint64_t seed = first; seed < first + seeds; ++seed)
    EXPECT_EQ(DrawnSmallTasks(seed).Play(), "") << "seed " << seed;
}

// Arrays must not wait for 90 s beside a machine that has room, also while it is reserved for a
// gang that waits for other machines.
TEST(SmallTasks, ArraysArePlacedBesideAMachineReservedForAWaitingGang) {
  constexpr uint64_t kGangWaitsLong = 271;
  EXPECT_EQ(DrawnSmallTasks(kGangWaitsLong).Play(), "");
}

}  // namespace
}  // namespace deckhall
