// Which images the machines hold, as far as was seen, kept for the next leader: reports
// name only what runs, so it would have to learn the caches anew, and start replicas
// where their image must be fetched. A hint only; written now and then, never urgent.
#pragma once

#include <string>
#include <vector>

#include "fleet/fleet.h"

namespace deckhall {

class CacheHints {
 public:
  // `row_bytes` is what one row may take.
  CacheHints(RecordStore* record_store, JobStore* job_store, Fleet* fleet, size_t row_bytes)
      : record_store_(record_store),
        job_store_(job_store),
        fleet_(fleet),
        record_bytes_(row_bytes) {}

  // Reads one row if it is one of ours.
  bool LoadRecord(RecordId record_id, const std::string& text);
  // After all rows.
  void FinishLoad();
  void Save();

 private:
  void SaveImageNames();
  void SaveRecord(size_t at, std::string text);

  RecordStore* record_store_;
  JobStore* job_store_;
  Fleet* fleet_;
  size_t record_bytes_;
  RecordId names_record_ = kNoRecord;
  std::vector<RecordId> loaded_records_;  // they have only the room that they take
  std::vector<RecordId> records_;
  std::vector<std::string> loaded_names_;
  std::vector<std::pair<std::string, std::vector<uint32_t>>> loaded_;
};

}  // namespace deckhall
