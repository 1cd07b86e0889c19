// S-expressions of the operators' files, parsed by libgcrypt. Numbers must be quoted in these
// files, because libgcrypt reads a token that begins with a digit as a length.
//
// An SExpression owns its list and returns copies; it keeps no reference to the parsed text.
#pragma once

#include <gcrypt.h>

#include <memory>
#include <optional>
#include <string>

#include "common/result.h"

namespace deckhall {

// The error of a text that is not a valid S-expression.
struct SExpressionError {
  size_t offset = 0;  // position of the error in the text, in bytes
};

// The error in one line, for operators.
std::string DescribeError(const SExpressionError& error);

// A list whose elements are atoms or lists.
class SExpression {
 public:
  // Parses a text that consists of one list. Any text after the list is an error.
  static Result<SExpression, SExpressionError> Parse(const std::string& text);

  // The number of elements, including the name.
  int size() const { return gcry_sexp_length(list_.get()); }
  // The atom at that index; empty if there is no element or the element is a list.
  std::string Atom(int index) const;
  // The list at that index; std::nullopt if there is no element or the element is an atom.
  std::optional<SExpression> List(int index) const;
  // The first atom, which names the list.
  std::string Name() const { return Atom(0); }

 private:
  using SexpHandle = std::unique_ptr<gcry_sexp, decltype(&gcry_sexp_release)>;
  explicit SExpression(gcry_sexp_t list) : list_(list, gcry_sexp_release) {}

  SexpHandle list_;
};

// Parses a finite number; std::nullopt if the text is not one.
std::optional<double> ParseNumber(const std::string& text);

}  // namespace deckhall
