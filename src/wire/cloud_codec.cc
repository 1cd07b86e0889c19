#include "wire/cloud_codec.h"

#include "wire/json.h"

namespace deckhall {

bool DecodeTypes(std::string_view body, std::vector<MachineType>* out) {
  rapidjson::Document doc;
  if (!ParseJson(body, &doc)) return false;
  const JsonValue* rows = JsonMember(doc, "cascos");
  if (rows == nullptr || !rows->IsArray()) return false;
  for (const auto& row : rows->GetArray()) {
    MachineType t;
    if (!JsonString(row, "name", &t.name) || t.name.empty()) return false;
    if (!JsonNumber(row, "cores", &t.cores) || !JsonNumber(row, "memory_gb", &t.memory_gb)) {
      return false;
    }
    JsonNumber(row, "gpus", &t.gpus);
    JsonNumber(row, "cache_gb", &t.cache_gb);
    JsonNumber(row, "pull_gb_per_s", &t.fetch_gb_per_s);
    JsonNumber(row, "hourly", &t.price);
    if (!JsonNumber(row, "low_price", &t.spot_price)) t.spot_price = t.price;
    JsonNumber(row, "startup_s", &t.boot_s);
    if (const JsonValue* zones = JsonMember(row, "muelles"); zones != nullptr && zones->IsArray()) {
      for (const auto& z : zones->GetArray()) {
        if (z.IsString()) t.zones.emplace_back(z.GetString(), z.GetStringLength());
      }
    }
    out->push_back(std::move(t));
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
    CloudInstance m;
    if (!JsonString(row, "name_id", &m.name) || m.name.empty()) return false;
    JsonString(row, "endpoint", &m.endpoint);
    JsonString(row, "casco", &m.type);
    JsonString(row, "muelle", &m.zone);
    JsonBool(row, "prestados", &m.spot);
    std::string state;
    JsonString(row, "estado", &state);
    m.state = state == "running"  ? InstanceState::kRunning
              : state == "failed" ? InstanceState::kFailed
                                  : InstanceState::kStarting;
    JsonNumber(row, "age_s", &m.age_s);
    out->push_back(std::move(m));
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
  JsonWriter w(buffer);
  w.StartObject();
  PutString(w, "flete", request);
  PutString(w, "casco", type);
  PutString(w, "muelle", zone);
  w.Key("prestados");
  w.Bool(spot);
  w.Key("how_many");
  w.Int(count);
  w.EndObject();
  return buffer.GetString();
}

std::string EncodeScaleIn(const std::vector<std::string>& machines) {
  rapidjson::StringBuffer buffer;
  JsonWriter w(buffer);
  w.StartObject();
  w.Key("cubiertas");
  w.StartArray();
  for (const auto& m : machines) w.String(m);
  w.EndArray();
  w.EndObject();
  return buffer.GetString();
}

std::string InstanceListPath(const std::string& after, int limit) {
  return "/machines?from=" + after + "&page=" + std::to_string(limit);
}

}  // namespace deckhall
