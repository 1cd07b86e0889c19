#include "meeting_support.h"

#include <gtest/gtest.h>

namespace deckhall {
namespace {

Settings TestSettings() {
  Settings settings;
  settings.lease_s = 20;
  settings.cancel_s = 40;
  return settings;
}

}  // namespace

std::unique_ptr<Cluster> StartCluster(uint64_t seed, size_t nodes, int machines) {
  auto cluster = std::make_unique<Cluster>(seed, nodes, TestSettings());
  for (int i = 0; i < machines; ++i) cluster->AddWorker(i % 2 == 0 ? "east" : "west");
  EXPECT_TRUE(cluster->RunUntil([&] { return cluster->Leader() != SIZE_MAX; }, 20));
  cluster->Run(10);
  return cluster;
}

std::unique_ptr<Cluster> StartClusterWithJobs(uint64_t seed, size_t nodes) {
  auto cluster = StartCluster(seed, nodes, 6);
  cluster->Submit(cluster->Service("job-1", 3));
  cluster->array_run_s = 300;
  cluster->Submit(cluster->Array("job-2", 6));
  EXPECT_TRUE(cluster->RunUntil(
      [&] { return cluster->ActiveTasks("job-1") == 3 && cluster->ActiveTasks("job-2") == 6; }, 30))
      << cluster->Violations();
  cluster->array_run_s = 20;
  return cluster;
}

std::string NodeLabel(size_t node) { return "n" + std::to_string(node); }

std::string JobId(size_t number) { return "job-" + std::to_string(number); }

void BootAll(Cluster* cluster, size_t nodes) {
  for (size_t i = 0; i < nodes; ++i) cluster->Boot(i);
}

void PartitionFromPeers(Cluster* cluster, size_t node, size_t nodes, double for_s,
                        PartitionMode mode) {
  for (size_t i = 0; i < nodes; ++i) {
    if (i != node) cluster->Partition(NodeLabel(node), NodeLabel(i), for_s, mode);
  }
}

void ExpectArraysDone(Cluster* cluster, const std::vector<std::string>& arrays, double max_s,
                      uint64_t seed) {
  const bool done = cluster->RunUntil(
      [&] {
        return std::all_of(arrays.begin(), arrays.end(),
                           [&](const std::string& id) { return cluster->ReportedDone(id); });
      },
      max_s);
  EXPECT_TRUE(done) << "seed " << seed;
  EXPECT_EQ(cluster->Violations(), "") << "seed " << seed;
}

}  // namespace deckhall
