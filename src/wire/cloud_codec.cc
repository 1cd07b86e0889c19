#include "wire/cloud_codec.h"

#include "wire/json.h"

namespace deckhall {

bool DecodeTypes(std::string_view body, std::vector<MachineType>* out) {
  rapidjson::Document doc;
  if (!ParseJson(body, &doc)) return false;
  const JsonValue* rows = JsonMember(doc, "cascos");
  if (rows == nullptr || !rows->IsArray()) return false;
  for (const auto& row : rows->GetArray()) {
    MachineType type;
    if (!JsonString(row, "name", &type.name) || type.name.empty()) return false;
    if (!JsonNumber(row, "cores", &type.cores) || !JsonNumber(row, "memory_gb", &type.memory_gb)) {
      return false;
    }
    JsonNumber(row, "gpus", &type.gpus);
    JsonNumber(row, "cache_gb", &type.cache_gb);
    JsonNumber(row, "pull_gb_per_s", &type.fetch_gb_per_s);
    JsonNumber(row, "hourly", &type.price);
    if (!JsonNumber(row, "low_price", &type.spot_price)) type.spot_price = type.price;
    JsonNumber(row, "startup_s", &type.boot_s);
    if (const JsonValue* zones = JsonMember(row, "muelles"); zones != nullptr && zones->IsArray()) {
      for (const auto& z : zones->GetArray()) {
        if (z.IsString()) type.zones.emplace_back(z.GetString(), z.GetStringLength());
      }
    }
    out->push_back(std::move(type));
  }
  return !out->empty();
}

bool DecodeInstanceList(std::string_view body, std::vector<CloudInstance>* out, bool* truncated) {
  rapidjson::Document doc;
  if (!ParseJson(body, &doc)) return false;
  const JsonValue* rows = JsonMember(doc, "cubiertas");
  if (rows == nullptr || !rows->IsArray()) return false;
  *truncated = false;
  JsonBool(doc, "truncated", truncated);
  for (const auto& row : rows->GetArray()) {
    CloudInstance instance;
    if (!JsonString(row, "name_id", &instance.name) || instance.name.empty()) return false;
    JsonString(row, "endpoint", &instance.endpoint);
    JsonString(row, "casco", &instance.type);
    JsonString(row, "muelle", &instance.zone);
    JsonBool(row, "prestados", &instance.spot);
    std::string state;
    JsonString(row, "estado", &state);
    instance.state = state == "running"  ? InstanceState::kRunning
                     : state == "failed" ? InstanceState::kFailed
                                         : InstanceState::kStarting;
    JsonNumber(row, "age_s", &instance.age_s);
    out->push_back(std::move(instance));
  }
  return true;
}

bool DecodeScaleOutResponse(std::string_view body, std::vector<std::string>* out) {
  rapidjson::Document doc;
  if (!ParseJson(body, &doc)) return false;
  const JsonValue* rows = JsonMember(doc, "cubiertas");
  if (rows == nullptr || !rows->IsArray()) return false;
  for (const auto& row : rows->GetArray()) {
    if (!row.IsString()) return false;
    out->emplace_back(row.GetString(), row.GetStringLength());
  }
  return true;
}

std::string EncodeScaleOut(const std::string& request, const std::string& type,
                           const std::string& zone, bool spot, int count) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  PutString(writer, "flete", request);
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
  for (const auto& m : machines) writer.String(m);
  writer.EndArray();
  writer.EndObject();
  return buffer.GetString();
}

std::string InstanceListPath(const std::string& after, int limit) {
  return "/machines?from=" + after + "&page=" + std::to_string(limit);
}

}  // namespace deckhall
