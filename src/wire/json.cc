#include "wire/json.h"

#include <cmath>

namespace deckhall {

bool ParseJson(std::string_view text, rapidjson::Document* doc) {
  doc->Parse<rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag>(text.data(),
                                                                                     text.size());
  return !doc->HasParseError();
}

const JsonValue* JsonMember(const JsonValue& object, const char* name) {
  if (!object.IsObject()) return nullptr;
  auto it = object.FindMember(name);
  if (it == object.MemberEnd() || it->value.IsNull()) return nullptr;
  return &it->value;
}

bool JsonString(const JsonValue& object, const char* name, std::string* out) {
  const JsonValue* v = JsonMember(object, name);
  if (v == nullptr || !v->IsString()) return false;
  out->assign(v->GetString(), v->GetStringLength());
  return true;
}

bool JsonNumber(const JsonValue& object, const char* name, double* out) {
  const JsonValue* v = JsonMember(object, name);
  if (v == nullptr || !v->IsNumber()) return false;
  *out = v->GetDouble();
  return std::isfinite(*out);
}

bool JsonU64(const JsonValue& object, const char* name, uint64_t* out) {
  const JsonValue* v = JsonMember(object, name);
  if (v == nullptr || !v->IsUint64()) return false;
  *out = v->GetUint64();
  return true;
}

bool JsonBool(const JsonValue& object, const char* name, bool* out) {
  const JsonValue* v = JsonMember(object, name);
  if (v == nullptr || !v->IsBool()) return false;
  *out = v->GetBool();
  return true;
}

void PutString(JsonWriter& writer, const char* name, std::string_view value) {
  writer.Key(name);
  writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

}  // namespace deckhall
