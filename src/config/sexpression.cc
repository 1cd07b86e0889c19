#include "config/sexpression.h"

#include <cmath>
#include <cstdlib>

namespace deckhall {

std::string DescribeError(const SExpressionError& error) {
  return "not an S-expression (at byte " + std::to_string(error.offset) +
         "); numbers go in quotes, as in (lease-ms \"2500\")";
}

Result<SExpression, SExpressionError> SExpression::Parse(const std::string& text) {
  gcry_check_version(nullptr);
  gcry_sexp_t list = nullptr;
  size_t error_offset = 0;
  if (gcry_sexp_sscan(&list, &error_offset, text.data(), text.size()) != 0) {
    return SExpressionError{error_offset};
  }
  return SExpression(list);
}

std::string SExpression::Atom(int index) const {
  size_t size = 0;
  const char* data = gcry_sexp_nth_data(list_.get(), index, &size);
  return data == nullptr ? std::string() : std::string(data, size);
}

std::optional<SExpression> SExpression::List(int index) const {
  if (!Atom(index).empty()) return std::nullopt;
  gcry_sexp_t list = gcry_sexp_nth(list_.get(), index);
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
