// Small helpers over RapidJSON, so that codecs read fields the same way.
#pragma once

#define RAPIDJSON_HAS_STDSTRING 1
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <optional>
#include <string>
#include <string_view>

namespace deckhall {

using JsonValue = rapidjson::Value;
using JsonWriter = rapidjson::Writer<rapidjson::StringBuffer>;

// False unless the text is one JSON document. Nesting costs no stack.
bool ParseJson(std::string_view text, rapidjson::Document* doc);

// Member lookup; null members count as missing.
const JsonValue* JsonMember(const JsonValue& object, const char* name);
bool JsonString(const JsonValue& object, const char* name, std::string* out);
bool JsonNumber(const JsonValue& object, const char* name, double* out);
bool JsonU64(const JsonValue& object, const char* name, uint64_t* out);
bool JsonBool(const JsonValue& object, const char* name, bool* out);

void PutString(JsonWriter& writer, const char* name, std::string_view value);

}  // namespace deckhall
