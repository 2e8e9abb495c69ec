#include "config/finding_sink.h"

#include <algorithm>
#include <tuple>

namespace zinnia {

finding_sink::finding_sink(std::string file) : file_(std::move(file)) {}

void finding_sink::report(const YAML::Mark& place, std::string message, std::string expected,
                          severity level) {
  // yaml-cpp counts lines and columns from 0 and gives -1 for an absent place.
  findings_.push_back(
      {level, file_, place.line + 1, place.column + 1, std::move(message), std::move(expected)});
}

void finding_sink::report_file(std::string message, std::string expected) {
  findings_.push_back({severity::error, file_, 0, 0, std::move(message), std::move(expected)});
}

bool finding_sink::has_errors() const {
  return zinnia::has_errors(findings_);
}

findings finding_sink::sorted() const {
  auto out = findings_;
  std::stable_sort(out.begin(), out.end(), [](const finding& a, const finding& b) {
    return std::tie(a.line, a.column) < std::tie(b.line, b.column);
  });
  return out;
}

} // namespace zinnia
