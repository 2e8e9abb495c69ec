#pragma once

#include "zinniarelay/core/finding.h"

#include <string>
#include <yaml-cpp/mark.h>

namespace zinnia {

/// Collects the findings about one file.
class finding_sink {
public:
  explicit finding_sink(std::string file);

  void report(const YAML::Mark& place, std::string message, std::string expected = {},
              severity level = severity::error);
  /// Reports a finding about the file as a whole.
  void report_file(std::string message, std::string expected = {});

  bool has_errors() const;

  /// Returns the findings ordered by line and column.
  findings sorted() const;

private:
  std::string file_;
  findings findings_;
};

} // namespace zinnia
