#include "wire/key_value_codec.h"

namespace deckhall {
namespace {

std::string Render(const JsonValue& v) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  v.Accept(writer);
  return {buffer.GetString(), buffer.GetSize()};
}

bool ReadKeyValue(const JsonValue& row, KeyValue* out) {
  if (!JsonString(row, "key", &out->key) || !JsonU64(row, "huella", &out->version)) return false;
  const JsonValue* data = JsonMember(row, "data");
  if (data == nullptr) return false;
  out->value = Render(*data);
  return true;
}

}  // namespace

std::string EncodeTransaction(const Transaction& transaction) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  writer.Key("if");
  writer.StartArray();
  for (const auto& c : transaction.preconditions) {
    writer.StartObject();
    PutString(writer, "key", c.key);
    writer.Key("huella");
    writer.Uint64(c.version);
    writer.EndObject();
  }
  writer.EndArray();
  if (!transaction.mutations.empty()) {
    writer.Key("writes");
    writer.StartArray();
    for (const auto& op : transaction.mutations) {
      writer.StartObject();
      if (op.value.empty()) {
        PutString(writer, "remove", op.key);
      } else {
        PutString(writer, "put", op.key);
        writer.Key("data");
        writer.RawValue(op.value.data(), op.value.size(), rapidjson::kObjectType);
        if (op.lease != 0) {
          writer.Key("amarre");
          writer.Uint64(op.lease);
        }
      }
      writer.EndObject();
    }
    writer.EndArray();
  }
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::string EncodeLeaseGrant(int ttl_ms) { return "{\"ttl_ms\":" + std::to_string(ttl_ms) + "}"; }

bool DecodeKeyValue(std::string_view body, KeyValue* out) {
  rapidjson::Document doc;
  return ParseJson(body, &doc) && ReadKeyValue(doc, out);
}

bool DecodeKeyValues(std::string_view body, std::vector<KeyValue>* rows, bool* truncated,
                     uint64_t* revision) {
  rapidjson::Document doc;
  if (!ParseJson(body, &doc)) return false;
  const JsonValue* items = JsonMember(doc, "rows");
  if (items == nullptr || !items->IsArray()) return false;
  *truncated = false;
  JsonBool(doc, "truncated", truncated);
  if (!JsonU64(doc, "marea", revision)) return false;
  for (const auto& item : items->GetArray()) {
    KeyValue row;
    if (!ReadKeyValue(item, &row)) return false;
    rows->push_back(std::move(row));
  }
  return true;
}

bool DecodeRevision(std::string_view body, uint64_t* revision) {
  rapidjson::Document doc;
  return ParseJson(body, &doc) && JsonU64(doc, "marea", revision);
}

bool DecodeLeaseGrant(std::string_view body, uint64_t* lease) {
  rapidjson::Document doc;
  return ParseJson(body, &doc) && JsonU64(doc, "amarre", lease) && *lease != 0;
}

}  // namespace deckhall
