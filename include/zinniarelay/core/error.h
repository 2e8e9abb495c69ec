#pragma once

#include <compare>
#include <ostream>
#include <string>

namespace zinnia {

/// What kind of failure an error is; callers branch on it.
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

/// A failure with the place where it was found and its cause.
struct error {
  error_kind kind = error_kind::malformed;
  std::string place;
  std::string cause;

  friend bool operator==(const error&, const error&) = default;
};

/// Writes "place: cause".
std::ostream& operator<<(std::ostream& out, const error& value);

} // namespace zinnia
