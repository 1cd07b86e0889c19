// Mapping between the values of an enum and their names on the wire. One table serves both
// directions.
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

// Returns the value with this name, or nothing if the name is unknown.
template <class Enum, size_t N>
std::optional<Enum> EnumOf(const EnumWord<Enum> (&words)[N], std::string_view word) {
  for (const EnumWord<Enum>& known : words) {
    if (word == known.word) return known.value;
  }
  return std::nullopt;
}

// Returns the name of the value, or `otherwise` if the table does not contain it.
template <class Enum, size_t N>
const char* WordOf(const EnumWord<Enum> (&words)[N], Enum value, const char* otherwise = "") {
  for (const EnumWord<Enum>& known : words) {
    if (value == known.value) return known.word;
  }
  return otherwise;
}

}  // namespace deckhall
