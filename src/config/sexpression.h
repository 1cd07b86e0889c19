// S-expressions of the operators' files, read by libgcrypt. Numbers go in quotes there: a
// token that begins with a digit is read as a length.
//
// An SExpression owns its list, and what it returns are copies: no view into the text is kept.
#pragma once

#include <gcrypt.h>

#include <memory>
#include <optional>
#include <string>

#include "common/result.h"

namespace deckhall {

// A text that is no S-expression.
struct SExpressionError {
  size_t offset = 0;  // bytes before the place where it stops being one
};

// The error in one line, for operators.
std::string DescribeError(const SExpressionError& error);

// A list: its elements are atoms or lists.
class SExpression {
 public:
  // Parses one list. Anything after it is an error.
  static Result<SExpression, SExpressionError> Parse(const std::string& text);

  // The number of elements, the list's name included.
  int size() const { return gcry_sexp_length(list_.get()); }
  // The atom at that place; empty when there is none, or a list.
  std::string Atom(int at) const;
  // The list at that place; empty when there is none, or an atom.
  std::optional<SExpression> List(int at) const;
  // The first atom, which names the list.
  std::string Name() const { return Atom(0); }

 private:
  using Owned = std::unique_ptr<gcry_sexp, decltype(&gcry_sexp_release)>;
  explicit SExpression(gcry_sexp_t list) : list_(list, gcry_sexp_release) {}

  Owned list_;
};

// A finite decimal number; empty when the text is none.
std::optional<double> ParseNumber(const std::string& text);

}  // namespace deckhall
