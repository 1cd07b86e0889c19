#include "leader/leader_key.h"

#include "wire/json.h"

namespace deckhall {
namespace {

constexpr const char* kLabelField = "label";
constexpr const char* kInstanceField = "instance";
constexpr const char* kLeaseField = "lease";

}  // namespace

std::string EncodeLeaderKey(const LeaderKey& key) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  PutString(writer, kLabelField, key.label);
  writer.Key(kInstanceField);
  writer.Uint64(key.instance);
  writer.Key(kLeaseField);
  writer.Uint64(key.lease_id);
  writer.EndObject();
  return buffer.GetString();
}

LeaderKey DecodeLeaderKey(std::string_view stored) {
  LeaderKey key;
  rapidjson::Document document;
  if (!ParseJson(stored, &document)) return key;
  JsonString(document, kLabelField, &key.label);
  JsonU64(document, kInstanceField, &key.instance);
  JsonU64(document, kLeaseField, &key.lease_id);
  return key;
}

}  // namespace deckhall
