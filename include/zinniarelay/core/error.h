#pragma once

#include <compare>
#include <ostream>
#include <string>

namespace zinnia {

/// The kind of a failure; code that handles an error branches on it.
enum class error_kind {
  malformed,
  unauthorized,
  not_found,
  conflict,
  unavailable,
  exhausted,
  corrupted,
  io,
};

/// A failure with the place where it was detected and its cause.
struct error {
  error_kind kind = error_kind::malformed;
  std::string place;
  std::string cause;

  friend bool operator==(const error&, const error&) = default;
};

/// Writes "place: cause".
std::ostream& operator<<(std::ostream& out, const error& value);

} // namespace zinnia
