#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace zinnia {

/// Prints rows in aligned, human-readable columns.
class text_table {
public:
  explicit text_table(std::vector<std::string> heading);

  void add(std::vector<std::string> row);
  friend std::ostream& operator<<(std::ostream& out, const text_table& table);

private:
  std::vector<std::vector<std::string>> rows_;
};

/// Returns a duration in seconds with one decimal, or in milliseconds if it is below one second.
std::string age_text(std::uint64_t ms);

} // namespace zinnia
