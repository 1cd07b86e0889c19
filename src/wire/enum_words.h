// Words of the wire for the values of an enum: one table, used in both directions.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace deckhall {

template <class Enum>
struct EnumWord {
  Enum value;
  const char* word;
};

// The value that has the word; empty when none has.
template <class Enum, size_t N>
std::optional<Enum> EnumOf(const EnumWord<Enum> (&words)[N], std::string_view word) {
  for (const EnumWord<Enum>& known : words) {
    if (word == known.word) return known.value;
  }
  return std::nullopt;
}

// The word of the value; `otherwise` when the table has none.
template <class Enum, size_t N>
const char* WordOf(const EnumWord<Enum> (&words)[N], Enum value, const char* otherwise = "") {
  for (const EnumWord<Enum>& known : words) {
    if (value == known.value) return known.word;
  }
  return otherwise;
}

}  // namespace deckhall
