// Names on the wire and the terms that the code uses for them:
//
//   wire name   term
//   huella      version of a key
//   marea       revision of the store
//   amarre      lease
//   data        value
//   rows        entries
#include "wire/key_value_codec.h"

#include <utility>

namespace deckhall {
namespace {

std::string Render(const JsonValue& v) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  v.Accept(writer);
  return {buffer.GetString(), buffer.GetSize()};
}

std::optional<KeyValue> ReadKeyValue(const JsonValue& row) {
  KeyValue entry;
  if (!JsonString(row, "key", &entry.key) || !JsonU64(row, "huella", &entry.version)) {
    return std::nullopt;
  }
  const JsonValue* data = JsonMember(row, "data");
  if (data == nullptr) return std::nullopt;
  entry.value = Render(*data);
  return entry;
}

void WritePrecondition(JsonWriter& writer, const Precondition& precondition) {
  writer.StartObject();
  PutString(writer, "key", precondition.key);
  writer.Key("huella");
  writer.Uint64(precondition.version);
  writer.EndObject();
}

void WriteMutation(JsonWriter& writer, const Mutation& mutation) {
  writer.StartObject();
  if (mutation.value.empty()) {
    PutString(writer, "remove", mutation.key);
  } else {
    PutString(writer, "put", mutation.key);
    writer.Key("data");
    writer.RawValue(mutation.value.data(), mutation.value.size(), rapidjson::kObjectType);
    if (mutation.lease != 0) {
      writer.Key("amarre");
      writer.Uint64(mutation.lease);
    }
  }
  writer.EndObject();
}

}  // namespace

std::string EncodeTransaction(const Transaction& transaction) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  writer.Key("if");
  writer.StartArray();
  for (const Precondition& precondition : transaction.preconditions) {
    WritePrecondition(writer, precondition);
  }
  writer.EndArray();
  if (!transaction.mutations.empty()) {
    writer.Key("writes");
    writer.StartArray();
    for (const Mutation& mutation : transaction.mutations) WriteMutation(writer, mutation);
    writer.EndArray();
  }
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::string EncodeLeaseGrant(int ttl_ms) { return "{\"ttl_ms\":" + std::to_string(ttl_ms) + "}"; }

std::optional<KeyValue> DecodeKeyValue(std::string_view body) {
  rapidjson::Document document;
  if (!ParseJson(body, &document)) return std::nullopt;
  return ReadKeyValue(document);
}

std::optional<KeyValuePage> DecodeKeyValues(std::string_view body) {
  rapidjson::Document document;
  if (!ParseJson(body, &document)) return std::nullopt;
  const JsonValue* rows = JsonMember(document, "rows");
  if (rows == nullptr || !rows->IsArray()) return std::nullopt;
  KeyValuePage page;
  JsonBool(document, "truncated", &page.truncated);
  if (!JsonU64(document, "marea", &page.revision)) return std::nullopt;
  for (const auto& row : rows->GetArray()) {
    std::optional<KeyValue> entry = ReadKeyValue(row);
    if (!entry) return std::nullopt;
    page.entries.push_back(std::move(*entry));
  }
  return page;
}

std::optional<uint64_t> DecodeRevision(std::string_view body) {
  rapidjson::Document document;
  uint64_t revision = 0;
  if (!ParseJson(body, &document) || !JsonU64(document, "marea", &revision)) return std::nullopt;
  return revision;
}

std::optional<uint64_t> DecodeLeaseGrant(std::string_view body) {
  rapidjson::Document document;
  uint64_t lease = 0;
  if (!ParseJson(body, &document) || !JsonU64(document, "amarre", &lease)) return std::nullopt;
  if (lease == 0) return std::nullopt;
  return lease;
}

}  // namespace deckhall
