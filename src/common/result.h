// The result of an operation that can fail: a value, or a typed error.
//
// The two never convert into one another, and reading the one that isn't there is undefined
// behaviour (`all_narrow`): callers test `has_value()` first. Nothing throws.
#pragma once

#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/result.hpp>

namespace deckhall {

// A `T`, or the `E` that tells why there is none. `T` may be void.
template <class T, class E>
using Result = boost::outcome_v2::result<T, E, boost::outcome_v2::policy::all_narrow>;

// What a `Result<void, E>` function returns when all went well.
inline auto Success() { return boost::outcome_v2::success(); }

}  // namespace deckhall
