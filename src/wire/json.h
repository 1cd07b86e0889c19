// RapidJSON helpers that give all codecs the same rules for reading fields.
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

// Returns false unless the text is exactly one JSON document. Parses iteratively, so that deeply
// nested input cannot exhaust the stack.
bool ParseJson(std::string_view text, rapidjson::Document* doc);

// Returns the member, or null if it is missing or a JSON null. The typed functions below return
// false in that case, and if the type does not match.
const JsonValue* JsonMember(const JsonValue& object, const char* name);
bool JsonString(const JsonValue& object, const char* name, std::string* out);
bool JsonNumber(const JsonValue& object, const char* name, double* out);
bool JsonU64(const JsonValue& object, const char* name, uint64_t* out);
bool JsonBool(const JsonValue& object, const char* name, bool* out);

void PutString(JsonWriter& writer, const char* name, std::string_view value);

}  // namespace deckhall
