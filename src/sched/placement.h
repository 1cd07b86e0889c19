// Which machine a task goes to. Pure: looks at a snapshot of the machines.
#pragma once

#include <cstdint>
#include <utility>
#include <vector>

namespace deckhall {

struct Node {
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
  const std::vector<uint32_t>* images = nullptr;  // cached
  std::vector<uint32_t> coming;                   // being fetched
};

// Amounts of what a machine has.
struct Amounts {
  double cores = 0;
  double gpus = 0;
  double memory_gb = 0;
};

struct Need {
  double cores = 0;
  double gpus = 0;
  double memory_gb = 0;
  const std::vector<char>* types = nullptr;  // by type; null: any
  uint32_t zone = UINT32_MAX;                // the only allowed one
  bool spot_ok = false;
  bool service = false;
  bool gang = false;         // starts with the last of its images
  bool patient = false;      // late already: may seed caches
  bool cached_only = false;  // waits for a machine with its image, or getting it
  bool here_only = false;    // the image must be there already
  uint32_t image = UINT32_MAX;
  double image_gb = 0;
  const std::vector<uint32_t>* avoid = nullptr;     // machines it failed on
  const std::vector<uint32_t>* siblings = nullptr;  // machines with tasks of the job
  const std::vector<char>* zones = nullptr;         // by zone: may take one more; null: all
};

bool Allows(const Need& need, uint32_t type, uint32_t zone, bool spot);
bool Fits(const Need& need, const Node& node);

// Hands out the places for the tasks of one job, the best first. Looks at each
// open node once; after that a task costs only the logarithm of their number.
class Picker {
 public:
  Picker(const Need* need, const std::vector<Node>* nodes, const std::vector<uint32_t>& open);

  // The best node that fits now, or -1. Without `ordinary`, spot machines only.
  int Next(bool ordinary);
  // What the node that Next() returned last costs.
  double cost() const { return cost_; }
  // The node got a task and may take another.
  void Again(int node);

 private:
  void Push(uint32_t node);

  const Need* need_;
  const std::vector<Node>* nodes_;
  std::vector<std::pair<double, uint32_t>> heap_;
  double cost_ = 0;
};

}  // namespace deckhall
