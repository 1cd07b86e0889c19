#include "fleet/cache_hints.h"

#include <algorithm>
#include <utility>

namespace deckhall {
namespace {

const char* const kImageNamesKey = "in";
const char* const kMachinesKey = "ic";
// Images stored per machine: the most recently used ones, since a machine evicts these last.
constexpr size_t kMaxStoredImages = 8;
// Space for an image name in the record besides its characters, including the end of the record.
constexpr size_t kImageNameOverheadBytes = 8;
// Space in a machine record besides its entries.
constexpr size_t kMachineRecordOverheadBytes = 16;

// A machine's entry in its record: its name, then its images.
std::string EncodeMachine(const Machine& machine) {
  const std::vector<uint32_t>& images = machine.cached_images;
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartArray();
  writer.String(machine.name);
  for (size_t i = images.size() - std::min(kMaxStoredImages, images.size()); i < images.size(); ++i)
    writer.Uint(images[i]);
  writer.EndArray();
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace

bool CacheHints::LoadRecord(RecordId record_id, const std::string& text) {
  rapidjson::Document document;
  if (!ParseJson(text, &document) || !document.IsObject()) return false;
  const JsonValue* names = JsonMember(document, kImageNamesKey);
  const JsonValue* machines = JsonMember(document, kMachinesKey);
  if (names != nullptr && names->IsArray()) {
    LoadImageNames(*names);
  } else if (machines != nullptr && machines->IsArray()) {
    LoadMachines(*machines);
  } else {
    return false;
  }
  loaded_records_.push_back(record_id);
  return true;
}

void CacheHints::LoadImageNames(const JsonValue& names) {
  for (const auto& name : names.GetArray()) {
    // An invalid entry becomes an empty name, since machines refer to images by position.
    loaded_image_names_.emplace_back(name.IsString() ? name.GetString() : "");
  }
}

void CacheHints::LoadMachines(const JsonValue& machines) {
  for (const auto& entry : machines.GetArray()) {
    if (!entry.IsArray() || entry.Empty() || !entry[0].IsString()) continue;
    LoadedMachine machine;
    machine.name = entry[0].GetString();
    for (rapidjson::SizeType i = 1; i < entry.Size(); ++i) {
      if (entry[i].IsUint()) machine.images.push_back(entry[i].GetUint());
    }
    loaded_machines_.push_back(std::move(machine));
  }
}

void CacheHints::FinishLoad() {
  for (const LoadedMachine& loaded : loaded_machines_) ApplyToMachine(loaded);
  loaded_machines_ = {};
  loaded_image_names_ = {};
  RemoveOversizedRecords();
}

void CacheHints::ApplyToMachine(const LoadedMachine& loaded) {
  const MachineIndex machine_index = fleet_->Find(loaded.name);
  if (machine_index == kNoIndex) return;
  for (uint32_t image : loaded.images) {
    if (image >= loaded_image_names_.size() || loaded_image_names_[image].empty()) continue;
    (*fleet_)[machine_index].cached_images.push_back(
        job_store_->images.Add(loaded_image_names_[image]));
  }
}

void CacheHints::RemoveOversizedRecords() {
  // Records written under a larger size limit may no longer fit any page, so they are removed now
  // and not in Save().
  std::erase_if(loaded_records_, [this](RecordId record_id) {
    const bool oversized = record_store_->RecordBytes(record_id) > record_bytes_;
    if (oversized) record_store_->Remove(record_id);
    return oversized;
  });
}

void CacheHints::Save() {
  // Loaded records are replaced, not updated: new records reserve all the space they may need,
  // while other records may have filled the pages of the loaded ones.
  for (RecordId record_id : std::exchange(loaded_records_, {})) record_store_->Remove(record_id);
  SaveImageNames();
  std::string entries;
  size_t saved = 0;
  for (MachineIndex machine_index : fleet_->active()) {
    const Machine& machine = (*fleet_)[machine_index];
    if (machine.cached_images.empty() || machine.scaling_in) continue;
    const std::string entry = EncodeMachine(machine);
    if (entries.size() + entry.size() + kMachineRecordOverheadBytes > record_bytes_) {
      SaveMachineRecord(saved++, entries);
      entries.clear();
    }
    if (!entries.empty()) entries += ',';
    entries += entry;
  }
  SaveMachineRecord(saved++, entries);
  // Empties the records that are no longer needed.
  for (; saved < machine_records_.size(); ++saved) SaveMachineRecord(saved, "");
}

void CacheHints::SaveImageNames() {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  writer.Key(kImageNamesKey);
  writer.StartArray();
  for (uint32_t i = 0; i < job_store_->images.size(); ++i) {
    const std::string& name = job_store_->images[i];
    if (buffer.GetSize() + name.size() + kImageNameOverheadBytes > record_bytes_) break;
    writer.String(name);
  }
  writer.EndArray();
  writer.EndObject();
  std::string text(buffer.GetString(), buffer.GetSize());
  if (image_names_record_ == kNoRecord) {
    image_names_record_ =
        record_store_->Add(std::move(text), record_bytes_, WritePriority::kBackground);
  } else {
    record_store_->Update(image_names_record_, std::move(text), record_bytes_,
                          WritePriority::kBackground);
  }
}

void CacheHints::SaveMachineRecord(size_t position, const std::string& entries) {
  std::string text = std::string("{\"") + kMachinesKey + "\":[" + entries + "]}";
  if (position < machine_records_.size()) {
    record_store_->Update(machine_records_[position], std::move(text), record_bytes_,
                          WritePriority::kBackground);
  } else {
    machine_records_.push_back(
        record_store_->Add(std::move(text), record_bytes_, WritePriority::kBackground));
  }
}

}  // namespace deckhall
