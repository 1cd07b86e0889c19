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
  std::vector<EvictionRecord> steps;
};

// Reads the rows of one page of the row store; rows of other kinds are passed over.
void ReadDrainRows(const std::string& page, DrainRecords* out);
// What is shown to operators at that time of day.
std::string DescribeDrains(const DrainRecords& records, double wall);
// Reads the state service and prints. Returns the process's exit status.
int PrintDrains(const Settings& settings);

}  // namespace deckhall
