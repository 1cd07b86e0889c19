// Best-fit placement of the tasks of one job on machines (bin packing with image locality).
//
// Has no state or side effects: works on a snapshot of free capacity, without access to jobs or
// clocks. Zones, machine types and images are dense indices (see NameIndex).
#pragma once

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "sched/resources.h"

namespace deckhall {

// Free capacity of one machine. The inherited amounts are the free ones; they are negative if more
// is reserved than the machine has.
struct MachineCapacity : Resources {
  uint32_t machine = 0;
  uint32_t type = 0;
  uint32_t zone = 0;
  bool spot = false;
  bool usable = false;  // new tasks can be placed on it now
  double total_cores = 0;
  double fetch_gb_per_s = 1;
  const std::vector<uint32_t>* cached_images = nullptr;  // no images if null
  std::vector<uint32_t> fetching_images;
};

// Resources and constraints of one task. The inherited amounts are those it uses while it runs.
// Pointers are not owned; a null pointer means that there is no such constraint.
struct ResourceRequest : Resources {
  const std::vector<char>* allowed_types = nullptr;  // by machine type
  uint32_t required_zone = UINT32_MAX;               // any zone if UINT32_MAX
  bool spot_tolerant = false;
  bool service = false;
  bool gang = false;                     // starts when the slowest fetch of its gang completes
  bool overdue = false;                  // has waited for long: prefers machines without its image
  bool cached_or_fetching_only = false;  // delay scheduling: the image is cached or being fetched
  bool cached_only = false;
  uint32_t image = UINT32_MAX;
  double image_gb = 0;
  const std::vector<uint32_t>* failed_machines = nullptr;   // on which the job failed
  const std::vector<uint32_t>* sibling_machines = nullptr;  // one entry per task of the job
  const std::vector<char>* allowed_zones = nullptr;         // by zone
};

// Whether the constraints of the request allow machines of that type and zone, spot or ordinary.
bool SatisfiesConstraints(const ResourceRequest& request, uint32_t type, uint32_t zone, bool spot);

// Whether the request fits into the free capacity, within kResourceEpsilon.
bool Fits(const ResourceRequest& request, const MachineCapacity& capacity);

// Priority queue of the machines on which a task of one job may start, the cheapest first. The cost
// of a machine is the delay until the task runs, in seconds, plus penalties in seconds for the
// effects of the choice on other tasks. Each candidate is examined once; after that, each placement
// takes time logarithmic in their number.
//
// The queue keeps pointers to the request and the capacities. Both may change between calls as long
// as free capacity only shrinks and constraints only become stricter.
class BestFitQueue {
 public:
  BestFitQueue(const ResourceRequest* request, const std::vector<MachineCapacity>* capacities,
               const std::vector<uint32_t>& candidates);

  // Removes and returns the cheapest machine on which the task still fits; no value if there is no
  // such machine. Without `allow_ordinary`, ordinary machines are dropped from the queue.
  std::optional<uint32_t> PopBest(bool allow_ordinary);

  // Cost of the machine that PopBest() returned last, in seconds.
  double cost() const { return cost_; }

  // Puts a machine back after a task was placed on it, if another one fits.
  void Reinsert(uint32_t machine);

 private:
  std::optional<double> CostOf(uint32_t machine) const;

  const ResourceRequest* request_;
  const std::vector<MachineCapacity>* capacities_;
  std::vector<std::pair<double, uint32_t>> heap_;  // min-heap of (cost, machine)
  double cost_ = 0;
};

}  // namespace deckhall
