// Shared by the tests of fault combinations: small clusters with running jobs, faults, and the
// expected outcome.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "cluster.h"

namespace deckhall {

constexpr uint64_t kSeeds = 6;

// A cluster of `nodes` controllers with a leader and `machines` workers, half of them in each of
// two zones.
std::unique_ptr<Cluster> StartCluster(uint64_t seed, size_t nodes, int machines);

// A small cluster with a leader, six workers, and all tasks of the service job-1 and the long array
// job-2 running.
std::unique_ptr<Cluster> StartClusterWithJobs(uint64_t seed, size_t nodes = 3);

// The label of a controller.
std::string NodeLabel(size_t node);

// The id of a job.
std::string JobId(size_t number);

// Starts the controller processes that are down.
void BootAll(Cluster* cluster, size_t nodes = 3);

// Partitions the controller from its peers for `for_s` seconds.
void PartitionFromPeers(Cluster* cluster, size_t node, size_t nodes, double for_s,
                        PartitionMode mode);

// Expects that the arrays are done within `max_s` seconds and that no rule is violated.
void ExpectArraysDone(Cluster* cluster, const std::vector<std::string>& arrays, double max_s,
                      uint64_t seed);

}  // namespace deckhall
