#include "fleet/cache_hints.h"

#include <algorithm>
#include <utility>

#include "wire/json.h"

namespace deckhall {
namespace {

const char* const kNamesKey = "in";
const char* const kMachinesKey = "ic";
// The last ones used are the last to be dropped.
constexpr size_t kMostImages = 8;

}  // namespace

bool CacheHints::LoadRecord(RecordId record_id, const std::string& text) {
  rapidjson::Document doc;
  if (!ParseJson(text, &doc) || !doc.IsObject()) return false;
  const JsonValue* names = JsonMember(doc, kNamesKey);
  const JsonValue* machines = JsonMember(doc, kMachinesKey);
  if (names != nullptr && names->IsArray()) {
    loaded_records_.push_back(record_id);
    for (const auto& name : names->GetArray()) {
      loaded_names_.emplace_back(name.IsString() ? name.GetString() : "");
    }
    return true;
  }
  if (machines == nullptr || !machines->IsArray()) return false;
  loaded_records_.push_back(record_id);
  for (const auto& entry : machines->GetArray()) {
    if (!entry.IsArray() || entry.Empty() || !entry[0].IsString()) continue;
    std::vector<uint32_t> images;
    for (rapidjson::SizeType i = 1; i < entry.Size(); ++i) {
      if (entry[i].IsUint()) images.push_back(entry[i].GetUint());
    }
    loaded_.emplace_back(entry[0].GetString(), std::move(images));
  }
  return true;
}

void CacheHints::FinishLoad() {
  for (const auto& [name, images] : loaded_) {
    const MachineIndex machine_index = fleet_->Find(name);
    if (machine_index == kNoIndex) continue;
    for (uint32_t i : images) {
      if (i >= loaded_names_.size() || loaded_names_[i].empty()) continue;
      (*fleet_)[machine_index].cached_images.push_back(job_store_->images.Add(loaded_names_[i]));
    }
  }
  loaded_ = {};
  loaded_names_ = {};
  // What is read is written anew by Save(). Rows made under larger limits go at once:
  // they may fit no page any more.
  std::erase_if(loaded_records_, [this](RecordId record_id) {
    const bool large = record_store_->RecordBytes(record_id) > record_bytes_;
    if (large) record_store_->Remove(record_id);
    return large;
  });
}

void CacheHints::SaveImageNames() {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  writer.Key(kNamesKey);
  writer.StartArray();
  for (uint32_t i = 0; i < job_store_->images.size(); ++i) {
    if (buffer.GetSize() + job_store_->images[i].size() + 8 > record_bytes_) break;
    writer.String(job_store_->images[i]);
  }
  writer.EndArray();
  writer.EndObject();
  std::string text(buffer.GetString(), buffer.GetSize());
  if (names_record_ == kNoRecord) {
    names_record_ = record_store_->Add(std::move(text), record_bytes_, WritePriority::kBackground);
  } else {
    record_store_->Update(names_record_, std::move(text), record_bytes_,
                          WritePriority::kBackground);
  }
}

void CacheHints::SaveRecord(size_t at, std::string text) {
  text = std::string("{\"") + kMachinesKey + "\":[" + text + "]}";
  if (at < records_.size()) {
    record_store_->Update(records_[at], std::move(text), record_bytes_, WritePriority::kBackground);
  } else {
    records_.push_back(
        record_store_->Add(std::move(text), record_bytes_, WritePriority::kBackground));
  }
}

void CacheHints::Save() {
  // Written anew with all the room that they may need: where they were, other rows may
  // have filled the page.
  for (RecordId record_id : std::exchange(loaded_records_, {})) record_store_->Remove(record_id);
  SaveImageNames();
  std::string text;
  size_t used = 0;
  for (MachineIndex machine_index : fleet_->active()) {
    const Machine& machine = (*fleet_)[machine_index];
    if (machine.cached_images.empty() || machine.scaling_in) continue;
    rapidjson::StringBuffer buffer;
    JsonWriter writer(buffer);
    writer.StartArray();
    writer.String(machine.name);
    const size_t from =
        machine.cached_images.size() - std::min(kMostImages, machine.cached_images.size());
    for (size_t i = from; i < machine.cached_images.size(); ++i)
      writer.Uint(machine.cached_images[i]);
    writer.EndArray();
    if (text.size() + buffer.GetSize() + 16 > record_bytes_) {
      SaveRecord(used++, std::move(text));
      text.clear();
    }
    if (!text.empty()) text += ',';
    text.append(buffer.GetString(), buffer.GetSize());
  }
  SaveRecord(used++, std::move(text));
  for (; used < records_.size(); ++used) SaveRecord(used, "");
}

}  // namespace deckhall
