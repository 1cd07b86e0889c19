// What the tests of meetings of troubles share: small clusters at work, and what is expected
// of them in the end.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "cluster.h"

namespace deckhall {

constexpr uint64_t kSeeds = 6;

// A cluster that has a leader and so many machines, half of them in each of two zones.
std::unique_ptr<Cluster> Started(uint64_t seed, size_t nodes, int machines);

// A small cluster at work: a leader, the service job-1, the long array job-2.
std::unique_ptr<Cluster> AtWork(uint64_t seed, size_t nodes = 3);

// The label of a node.
std::string Name(size_t node);

// The id of a job.
std::string JobName(size_t number);

// Starts all processes that are down.
void BootAll(Cluster* c, size_t nodes = 3);

// Cuts the node from all others.
void CutFromPeers(Cluster* c, size_t node, size_t nodes, double for_s, CutMode mode);

// Expects that the arrays are done within the time, and that no rule is broken.
void ExpectServed(Cluster* c, const std::vector<std::string>& arrays, double most_s, uint64_t seed);

}  // namespace deckhall
