#pragma once

#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/error.h"
#include "zinniarelay/core/finding.h"
#include "zinniarelay/core/identifiers.h"
#include "zinniarelay/token/key_ring.h"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace zinnia {

enum class log_level { info, warning, error };

/// Identifies the process that writes the log; part of every line.
struct log_identity {
  std::uint64_t host = 0; ///< number of the entry host or control host
  zone_id zone;
  std::string name = {};      ///< shown instead of the number when it is not empty
  std::string zone_name = {}; ///< shown instead of the zone number when it is not empty

  friend bool operator==(const log_identity&, const log_identity&) = default;
};

/// Starts glog for a program, writing to standard output; call it once, early in main().
void start_log(const char* program, log_identity identity);

/// One structured line: time, level, host, zone, event and fields as key=value.
/// The destructor writes it through glog. Fields contain neither payloads nor keys.
class log_line {
public:
  /// `event` is a constant name in snake case.
  log_line(log_level level, std::string_view event);
  ~log_line();
  log_line(const log_line&) = delete;
  log_line& operator=(const log_line&) = delete;

  log_line& with(std::string_view key, std::string_view value);
  log_line& with(std::string_view key, const char* value) {
    return with(key, std::string_view(value));
  }
  log_line& with(std::string_view key, const std::string& value) {
    return with(key, std::string_view(value));
  }
  log_line& with(std::string_view key, double value);
  log_line& with(std::string_view key, const endpoint& value) {
    return with(key, value.to_string());
  }
  template <std::integral Integer>
  log_line& with(std::string_view key, Integer value) {
    return with(key, std::string_view(std::to_string(value)));
  }
  template <class Tag, class Integer>
  log_line& with(std::string_view key, identifier<Tag, Integer> value) {
    return with(key, value.value);
  }
  /// Adds the place and the cause.
  log_line& with(const error& value);
  log_line& with(const finding& value);
  log_line& with(std::string_view key, const token_key& value) = delete;

  /// Returns the line that the destructor writes, without its time.
  std::string text() const;

private:
  log_level level_;
  std::string text_;
};

inline log_line log_info(std::string_view event) {
  return {log_level::info, event};
}
inline log_line log_warning(std::string_view event) {
  return {log_level::warning, event};
}
inline log_line log_error(std::string_view event) {
  return {log_level::error, event};
}

} // namespace zinnia
