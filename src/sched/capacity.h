// How many machines of which kind to rent. Pure.
#pragma once

#include <cstdint>
#include <vector>

#include "sched/placement.h"

namespace deckhall {

struct Offer {
  uint32_t type = 0;
  uint32_t zone = 0;
  bool spot = false;
  double cores = 0;
  double gpus = 0;
  double memory_gb = 0;
  double price = 0;
  double boot_s = 0;
  bool refused = false;
  int existing = 0;  // machines of this pool, for spreading
};

// A machine of that offer with nothing on it.
Node EmptyMachine(const Offer& offer);

struct Want {
  Need need;
  uint32_t count = 1;
  bool one_zone = false;
};

struct Rental {
  uint32_t offer = 0;
  int count = 0;
};

// Packs the wants into `bins` (machines that have room or are booting; changed
// by the packing), then into machines to rent.
std::vector<Rental> PlanRentals(const std::vector<Offer>& offers, std::vector<Node> bins,
                                const std::vector<Want>& wants, int most_machines);

}  // namespace deckhall
