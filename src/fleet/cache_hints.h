// Stores which images the machines have cached, as a hint for the next leader.
//
// Heartbeats name only the tasks of a machine, so a new leader knows nothing about image caches and
// would start replicas where their image must be fetched first. The records are hints: they may be
// outdated or lost without harm, and are written in the background.
//
// One record holds the names of all images, as {"in":[name,...]}. Others hold machines, as
// {"ic":[[machine, image index,...],...]}; each index is a position in the list of names.
//
// Owned by Leader, for one term. Order of calls: LoadRecord() for every record, FinishLoad() when
// the machines are known, then Save() from time to time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "fleet/fleet.h"
#include "model/record_id.h"
#include "wire/json.h"

namespace deckhall {

class CacheHints {
 public:
  // `record_bytes` is the size limit of a record. The other objects must outlive this one.
  CacheHints(RecordStore* record_store, JobStore* job_store, Fleet* fleet, size_t record_bytes)
      : record_store_(record_store),
        job_store_(job_store),
        fleet_(fleet),
        record_bytes_(record_bytes) {}

  // Reads a record of an earlier leader. False if it is not a record of cache hints.
  bool LoadRecord(RecordId record_id, const std::string& text);
  // Applies the loaded hints to the known machines.
  void FinishLoad();
  // Writes the hints and removes the loaded records.
  void Save();

 private:
  struct LoadedMachine {
    std::string name;
    std::vector<uint32_t> images;  // indices into loaded_image_names_
  };

  void LoadImageNames(const JsonValue& names);
  void LoadMachines(const JsonValue& machines);
  void ApplyToMachine(const LoadedMachine& loaded);
  void RemoveOversizedRecords();
  void SaveImageNames();
  // Writes `entries`, a JSON list without its brackets, as the machine record with this position.
  void SaveMachineRecord(size_t position, const std::string& entries);

  RecordStore* record_store_;
  JobStore* job_store_;
  Fleet* fleet_;
  size_t record_bytes_;
  RecordId image_names_record_ = kNoRecord;
  std::vector<RecordId> machine_records_;
  // Records of an earlier leader. They reserve no space to grow, so Save() replaces them.
  std::vector<RecordId> loaded_records_;
  std::vector<std::string> loaded_image_names_;
  std::vector<LoadedMachine> loaded_machines_;
};

}  // namespace deckhall
