// `deckhall drains`: shows how far each drain has come, as the leader last wrote it to the state
// service.
#pragma once

#include <string>
#include <vector>

#include "config/settings.h"
#include "drain/drain_records.h"

namespace deckhall {

// What is durable of drains.
struct DrainRecords {
  std::vector<DrainProgress> drains;
  std::vector<EvictionRecord> evictions;

  // Adds what one page of the record store has; records of other kinds are passed over.
  void AddPage(const std::string& page);
};

// What is shown to operators. `wall` is the time of day in seconds since 1970.
std::string DescribeDrains(const DrainRecords& records, double wall);
// Reads the state service and prints. Returns the exit status: 1 when it does not answer.
int PrintDrains(const Settings& settings);

}  // namespace deckhall
