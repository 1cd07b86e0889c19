// Which machine a task goes to. Pure: looks at a snapshot of the machines.
#pragma once

#include <cstdint>
#include <utility>
#include <vector>

namespace deckhall {

struct MachineCapacity {
  uint32_t machine = 0;
  uint32_t type = 0;
  uint32_t zone = 0;
  bool spot = false;
  bool usable = false;  // takes new tasks now
  double cores = 0;     // free
  double gpus = 0;
  double memory_gb = 0;
  double total_cores = 0;
  double fetch_gb_per_s = 1;
  const std::vector<uint32_t>* cached_images = nullptr;  // cached
  std::vector<uint32_t> fetching_images;                 // being fetched
};

// Amounts of what a machine has.
struct Resources {
  double cores = 0;
  double gpus = 0;
  double memory_gb = 0;
};

struct ResourceRequest {
  double cores = 0;
  double gpus = 0;
  double memory_gb = 0;
  const std::vector<char>* allowed_types = nullptr;  // by type; null: any
  uint32_t required_zone = UINT32_MAX;               // the only allowed one
  bool spot_tolerant = false;
  bool service = false;
  bool gang = false;                     // starts with the last of its images
  bool overdue = false;                  // late already: may seed caches
  bool cached_or_fetching_only = false;  // waits for a machine with its image, or getting it
  bool cached_only = false;              // the image must be there already
  uint32_t image = UINT32_MAX;
  double image_gb = 0;
  const std::vector<uint32_t>* failed_machines = nullptr;   // machines it failed on
  const std::vector<uint32_t>* sibling_machines = nullptr;  // machines with tasks of the job
  const std::vector<char>* allowed_zones = nullptr;         // by zone: may take one more; null: all
};

bool SatisfiesConstraints(const ResourceRequest& request, uint32_t type, uint32_t zone, bool spot);
bool Fits(const ResourceRequest& request, const MachineCapacity& capacity);

// Hands out the places for the tasks of one job, the best first. Looks at each
// open node once; after that a task costs only the logarithm of their number.
class BestFitQueue {
 public:
  BestFitQueue(const ResourceRequest* request, const std::vector<MachineCapacity>* nodes,
               const std::vector<uint32_t>& open);

  // The best node that fits now, or -1. Without `ordinary`, spot machines only.
  int PopBest(bool ordinary);
  // What the node that Next() returned last costs.
  double cost() const { return cost_; }
  // The node got a task and may take another.
  void Reinsert(int node);

 private:
  void Push(uint32_t node);

  const ResourceRequest* request_;
  const std::vector<MachineCapacity>* capacities_;
  std::vector<std::pair<double, uint32_t>> heap_;
  double cost_ = 0;
};

}  // namespace deckhall
