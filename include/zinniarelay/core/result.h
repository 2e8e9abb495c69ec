#pragma once

#include "zinniarelay/core/error.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

namespace zinnia {

/// A value or an error. Accessing the absent alternative terminates the process.
template <class T>
using result = boost::outcome_v2::basic_result<T, error, boost::outcome_v2::policy::terminate>;

using boost::outcome_v2::success;

inline auto failure(error_kind kind, std::string place, std::string cause) {
  return boost::outcome_v2::failure(error{kind, std::move(place), std::move(cause)});
}

} // namespace zinnia

/// Returns the error of an expression from the enclosing function, or declares
/// its value: ZINNIA_TRY(value, expression).
#define ZINNIA_TRY(...) BOOST_OUTCOME_TRY(__VA_ARGS__)
