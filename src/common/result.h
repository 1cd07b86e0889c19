// The result of an operation that can fail: a value, or a typed error.
//
// There is no conversion between values and errors. Accessing the one that is absent is undefined
// behaviour (`all_narrow`), so callers check `has_value()` first. Nothing throws.
#pragma once

#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/result.hpp>

namespace deckhall {

// A `T`, or an `E` that describes why the operation failed. `T` may be void.
template <class T, class E>
using Result = boost::outcome_v2::result<T, E, boost::outcome_v2::policy::all_narrow>;

// The result of a `Result<void, E>` function on success.
inline auto Success() { return boost::outcome_v2::success(); }

}  // namespace deckhall
