// Best-fit placement of the tasks of one job on machines (bin packing with image locality).
//
// Pure: works on a snapshot of free capacity and knows neither jobs nor time. Zones, machine
// types and images are dense indices, see NameIndex.
#pragma once

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "sched/resources.h"

namespace deckhall {

// What one machine still has to give. The amounts of the base are the free ones; they are
// negative while more is reserved than the machine has.
struct MachineCapacity : Resources {
  uint32_t machine = 0;
  uint32_t type = 0;
  uint32_t zone = 0;
  bool spot = false;
  bool usable = false;  // takes new tasks now
  double total_cores = 0;
  double fetch_gb_per_s = 1;
  const std::vector<uint32_t>* cached_images = nullptr;  // null: none
  std::vector<uint32_t> fetching_images;
};

// What one task asks for. The amounts of the base are those it takes while it runs. Pointers
// are borrowed, and null where there is no such constraint.
struct ResourceRequest : Resources {
  const std::vector<char>* allowed_types = nullptr;  // by machine type
  uint32_t required_zone = UINT32_MAX;               // UINT32_MAX: any
  bool spot_tolerant = false;
  bool service = false;
  bool gang = false;                     // starts together with the slowest fetch of its gang
  bool overdue = false;                  // starts late anyway: may bring the image to a machine
  bool cached_or_fetching_only = false;  // delay scheduling: waits for a machine with its image
  bool cached_only = false;
  uint32_t image = UINT32_MAX;
  double image_gb = 0;
  const std::vector<uint32_t>* failed_machines = nullptr;   // the job failed there
  const std::vector<uint32_t>* sibling_machines = nullptr;  // hold tasks of the job, one entry each
  const std::vector<char>* allowed_zones = nullptr;         // by zone
};

// Whether the request may run on machines of that type, zone and kind at all.
bool SatisfiesConstraints(const ResourceRequest& request, uint32_t type, uint32_t zone, bool spot);

// Whether the machine has the free amounts, within kResourceEpsilon.
bool Fits(const ResourceRequest& request, const MachineCapacity& capacity);

// Priority queue of the machines on which a task of one job may start, the cheapest first. The
// cost of a machine is the delay until the task runs, in seconds, plus weights for what the
// choice costs other tasks. Each candidate is examined once; after that a task takes time
// logarithmic in their number.
//
// Request and capacities are borrowed and may change between calls, as long as room only shrinks
// and constraints only get tighter.
class BestFitQueue {
 public:
  BestFitQueue(const ResourceRequest* request, const std::vector<MachineCapacity>* capacities,
               const std::vector<uint32_t>& candidates);

  // Takes the cheapest machine that still fits out of the queue; none is left otherwise. Without
  // `allow_ordinary` only spot machines are returned, and ordinary ones are dropped.
  std::optional<uint32_t> PopBest(bool allow_ordinary);

  // Cost of the machine that PopBest() returned last, in seconds.
  double cost() const { return cost_; }

  // Puts a machine back that took a task and may take another.
  void Reinsert(uint32_t machine);

 private:
  std::optional<double> CostOf(uint32_t machine) const;

  const ResourceRequest* request_;
  const std::vector<MachineCapacity>* capacities_;
  std::vector<std::pair<double, uint32_t>> heap_;  // cost and machine, the least on top
  double cost_ = 0;
};

}  // namespace deckhall
