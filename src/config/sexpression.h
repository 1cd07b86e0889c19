// S-expressions of the operators' files, read by libgcrypt. Numbers go in quotes there: a
// token that begins with a digit is read as a length.
#pragma once

#include <gcrypt.h>

#include <memory>
#include <optional>
#include <string>

namespace deckhall {

// A list: its elements are atoms or lists.
class SExpression {
 public:
  // Empty when the text is no S-expression; `error` then says where it stops being one.
  static std::optional<SExpression> Parse(const std::string& text, std::string* error);

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
