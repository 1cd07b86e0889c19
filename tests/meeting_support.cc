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
  auto c = std::make_unique<Cluster>(seed, nodes, Times());
  for (int i = 0; i < machines; ++i) c->AddWorker(i % 2 == 0 ? "east" : "west");
  EXPECT_TRUE(c->RunUntil([&] { return c->Leader() != SIZE_MAX; }, 20));
  c->Run(10);
  return c;
}

std::unique_ptr<Cluster> AtWork(uint64_t seed, size_t nodes) {
  auto c = Started(seed, nodes, 6);
  c->Submit(c->Service("job-1", 3));
  c->run_s = 300;
  c->Submit(c->Array("job-2", 6));
  EXPECT_TRUE(c->RunUntil([&] { return c->On("job-1") == 3 && c->On("job-2") == 6; }, 30))
      << c->Broken();
  c->run_s = 20;
  return c;
}

std::string Name(size_t node) { return "n" + std::to_string(node); }

std::string JobName(size_t number) { return "job-" + std::to_string(number); }

void BootAll(Cluster* c, size_t nodes) {
  for (size_t i = 0; i < nodes; ++i) c->Boot(i);
}

void CutFromPeers(Cluster* c, size_t node, size_t nodes, double for_s, CutMode mode) {
  for (size_t i = 0; i < nodes; ++i) {
    if (i != node) c->Cut(Name(node), Name(i), for_s, mode);
  }
}

void ExpectServed(Cluster* c, const std::vector<std::string>& arrays, double most_s,
                  uint64_t seed) {
  const bool done = c->RunUntil(
      [&] {
        return std::all_of(arrays.begin(), arrays.end(),
                           [&](const std::string& id) { return c->ToldDone(id); });
      },
      most_s);
  EXPECT_TRUE(done) << "seed " << seed;
  EXPECT_EQ(c->Broken(), "") << "seed " << seed;
}

}  // namespace deckhall
