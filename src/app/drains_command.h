// `deckhall drains`: shows the progress of each drain, as last stored by the leader in the state
// service.
#pragma once

#include <string>
#include <vector>

#include "config/settings.h"
#include "drain/drain_records.h"

namespace deckhall {

// The stored records of drains and their evictions.
struct DrainRecords {
  std::vector<DrainProgress> drains;
  std::vector<EvictionRecord> evictions;

  // Adds the records of one page of the record store. Records of other types are skipped.
  void AddPage(const std::string& page);
};

// The progress report for operators. `wall` is the current time in seconds since 1970.
std::string DescribeDrains(const DrainRecords& records, double wall);
// Reads the records from the state service and prints the report. Returns the exit status: 1 if the
// state service does not respond.
int PrintDrains(const Settings& settings);

}  // namespace deckhall
