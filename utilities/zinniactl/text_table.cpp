#include "text_table.h"

#include <algorithm>
#include <cstdint>
#include <iomanip>
#include <sstream>

namespace zinnia {

text_table::text_table(std::vector<std::string> heading) {
  rows_.push_back(std::move(heading));
}

void text_table::add(std::vector<std::string> row) {
  rows_.push_back(std::move(row));
}

std::ostream& operator<<(std::ostream& out, const text_table& table) {
  std::vector<std::size_t> widths;
  for (const auto& row : table.rows_) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i)
      widths[i] = std::max(widths[i], row[i].size());
  }
  for (const auto& row : table.rows_) {
    for (std::size_t i = 0; i + 1 < row.size(); ++i)
      out << std::left << std::setw(static_cast<int>(widths[i]) + 2) << row[i];
    out << row.back() << '\n';
  }
  return out;
}

std::string age_text(std::uint64_t ms) {
  if (ms < 1000) return std::to_string(ms) + " ms";
  std::ostringstream out;
  out << std::fixed << std::setprecision(1) << static_cast<double>(ms) / 1000 << " s";
  return out.str();
}

} // namespace zinnia
