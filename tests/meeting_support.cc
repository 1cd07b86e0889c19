#include "meeting_support.h"

#include <gtest/gtest.h>

namespace deckhall {
namespace {

Settings Times() {
  Settings times;
  times.lease_s = 20;
  times.cancel_s = 40;
  return times;
}

}  // namespace

std::unique_ptr<Cluster> Started(uint64_t seed, size_t nodes, int machines) {
  auto cluster = std::make_unique<Cluster>(seed, nodes, Times());
  for (int i = 0; i < machines; ++i) cluster->AddWorker(i % 2 == 0 ? "east" : "west");
  EXPECT_TRUE(cluster->RunUntil([&] { return cluster->Leader() != SIZE_MAX; }, 20));
  cluster->Run(10);
  return cluster;
}

std::unique_ptr<Cluster> AtWork(uint64_t seed, size_t nodes) {
  auto cluster = Started(seed, nodes, 6);
  cluster->Submit(cluster->Service("job-1", 3));
  cluster->run_s = 300;
  cluster->Submit(cluster->Array("job-2", 6));
  EXPECT_TRUE(
      cluster->RunUntil([&] { return cluster->On("job-1") == 3 && cluster->On("job-2") == 6; }, 30))
      << cluster->Broken();
  cluster->run_s = 20;
  return cluster;
}

std::string Name(size_t node) { return "n" + std::to_string(node); }

std::string JobName(size_t number) { return "job-" + std::to_string(number); }

void BootAll(Cluster* cluster, size_t nodes) {
  for (size_t i = 0; i < nodes; ++i) cluster->Boot(i);
}

void CutFromPeers(Cluster* cluster, size_t node, size_t nodes, double for_s, CutMode mode) {
  for (size_t i = 0; i < nodes; ++i) {
    if (i != node) cluster->Cut(Name(node), Name(i), for_s, mode);
  }
}

void ExpectServed(Cluster* cluster, const std::vector<std::string>& arrays, double most_s,
                  uint64_t seed) {
  const bool done = cluster->RunUntil(
      [&] {
        return std::all_of(arrays.begin(), arrays.end(),
                           [&](const std::string& id) { return cluster->ToldDone(id); });
      },
      most_s);
  EXPECT_TRUE(done) << "seed " << seed;
  EXPECT_EQ(cluster->Broken(), "") << "seed " << seed;
}

}  // namespace deckhall
