// Names on the wire and the terms that the code uses for them:
//
//   wire name        term
//   cascos, casco    machine types, machine type
//   cubiertas        instances
//   name_id          name of an instance
//   muelles, muelle  zones, zone
//   prestados        spot
//   estado           instance state
//   flete            request id
//   how_many         count
//   pull_gb_per_s    fetch rate
//   hourly           price
//   low_price        spot price
//   startup_s        boot time
#include "wire/cloud_codec.h"

#include <utility>

#include "wire/enum_words.h"
#include "wire/json.h"

namespace deckhall {
namespace {

constexpr EnumWord<InstanceState> kInstanceStateWords[] = {{InstanceState::kStarting, "starting"},
                                                           {InstanceState::kRunning, "running"},
                                                           {InstanceState::kFailed, "failed"}};

std::vector<std::string> ReadZones(const JsonValue& row) {
  std::vector<std::string> names;
  const JsonValue* zones = JsonMember(row, "muelles");
  if (zones == nullptr || !zones->IsArray()) return names;
  for (const auto& zone : zones->GetArray()) {
    if (zone.IsString()) names.emplace_back(zone.GetString(), zone.GetStringLength());
  }
  return names;
}

std::optional<MachineType> ReadMachineType(const JsonValue& row) {
  MachineType type;
  if (!JsonString(row, "name", &type.name) || type.name.empty()) return std::nullopt;
  if (!JsonNumber(row, "cores", &type.cores) || !JsonNumber(row, "memory_gb", &type.memory_gb)) {
    return std::nullopt;
  }
  JsonNumber(row, "gpus", &type.gpus);
  JsonNumber(row, "cache_gb", &type.cache_gb);
  JsonNumber(row, "pull_gb_per_s", &type.fetch_gb_per_s);
  JsonNumber(row, "hourly", &type.price);
  if (!JsonNumber(row, "low_price", &type.spot_price)) type.spot_price = type.price;
  JsonNumber(row, "startup_s", &type.boot_s);
  type.zones = ReadZones(row);
  return type;
}

std::optional<CloudInstance> ReadInstance(const JsonValue& row) {
  CloudInstance instance;
  if (!JsonString(row, "name_id", &instance.name) || instance.name.empty()) return std::nullopt;
  JsonString(row, "endpoint", &instance.endpoint);
  JsonString(row, "casco", &instance.type);
  JsonString(row, "muelle", &instance.zone);
  JsonBool(row, "prestados", &instance.spot);
  std::string word;
  JsonString(row, "estado", &word);
  instance.state = EnumOf(kInstanceStateWords, word).value_or(InstanceState::kStarting);
  JsonNumber(row, "age_s", &instance.age_s);
  return instance;
}

}  // namespace

std::optional<std::vector<MachineType>> DecodeTypes(std::string_view body) {
  rapidjson::Document document;
  if (!ParseJson(body, &document)) return std::nullopt;
  const JsonValue* rows = JsonMember(document, "cascos");
  if (rows == nullptr || !rows->IsArray()) return std::nullopt;
  std::vector<MachineType> types;
  for (const auto& row : rows->GetArray()) {
    std::optional<MachineType> type = ReadMachineType(row);
    if (!type) return std::nullopt;
    types.push_back(std::move(*type));
  }
  if (types.empty()) return std::nullopt;
  return types;
}

std::optional<InstancePage> DecodeInstanceList(std::string_view body) {
  rapidjson::Document document;
  if (!ParseJson(body, &document)) return std::nullopt;
  const JsonValue* rows = JsonMember(document, "cubiertas");
  if (rows == nullptr || !rows->IsArray()) return std::nullopt;
  InstancePage page;
  JsonBool(document, "truncated", &page.truncated);
  for (const auto& row : rows->GetArray()) {
    std::optional<CloudInstance> instance = ReadInstance(row);
    if (!instance) return std::nullopt;
    page.instances.push_back(std::move(*instance));
  }
  return page;
}

std::optional<std::vector<std::string>> DecodeScaleOutResponse(std::string_view body) {
  rapidjson::Document document;
  if (!ParseJson(body, &document)) return std::nullopt;
  const JsonValue* rows = JsonMember(document, "cubiertas");
  if (rows == nullptr || !rows->IsArray()) return std::nullopt;
  std::vector<std::string> names;
  for (const auto& row : rows->GetArray()) {
    if (!row.IsString()) return std::nullopt;
    names.emplace_back(row.GetString(), row.GetStringLength());
  }
  return names;
}

std::string EncodeScaleOut(const std::string& request_id, const std::string& type,
                           const std::string& zone, bool spot, int count) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  PutString(writer, "flete", request_id);
  PutString(writer, "casco", type);
  PutString(writer, "muelle", zone);
  writer.Key("prestados");
  writer.Bool(spot);
  writer.Key("how_many");
  writer.Int(count);
  writer.EndObject();
  return buffer.GetString();
}

std::string EncodeScaleIn(const std::vector<std::string>& machines) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  writer.Key("cubiertas");
  writer.StartArray();
  for (const std::string& machine : machines) writer.String(machine);
  writer.EndArray();
  writer.EndObject();
  return buffer.GetString();
}

std::string InstanceListPath(const std::string& after, int limit) {
  return "/machines?from=" + after + "&page=" + std::to_string(limit);
}

}  // namespace deckhall
