#include "config/sexpression.h"

#include <cmath>
#include <cstdlib>

namespace deckhall {

std::optional<SExpression> SExpression::Parse(const std::string& text, std::string* error) {
  gcry_check_version(nullptr);
  gcry_sexp_t raw = nullptr;
  size_t offset = 0;
  if (gcry_sexp_sscan(&raw, &offset, text.data(), text.size()) != 0) {
    *error = "not an S-expression (at byte " + std::to_string(offset) +
             "); numbers go in quotes, as in (lease-ms \"2500\")";
    return std::nullopt;
  }
  return SExpression(raw);
}

std::string SExpression::Atom(int at) const {
  size_t size = 0;
  const char* data = gcry_sexp_nth_data(list_.get(), at, &size);
  return data == nullptr ? std::string() : std::string(data, size);
}

std::optional<SExpression> SExpression::List(int at) const {
  if (!Atom(at).empty()) return std::nullopt;
  gcry_sexp_t list = gcry_sexp_nth(list_.get(), at);
  if (list == nullptr) return std::nullopt;
  return SExpression(list);
}

std::optional<double> ParseNumber(const std::string& text) {
  char* end = nullptr;
  const double value = std::strtod(text.c_str(), &end);
  if (text.empty() || *end != '\0' || !std::isfinite(value)) return std::nullopt;
  return value;
}

}  // namespace deckhall
