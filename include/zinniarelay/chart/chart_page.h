#pragma once

#include "zinniarelay/chart/state_chart.h"

#include <string>

namespace zinnia {

/// The chart as a section of Markdown with one table.
std::string chart_section(const state_chart& chart);

/// docs/charts.md: a section for each chart of a folder, ordered by file name.
checked<std::string> chart_page(const std::filesystem::path& folder);

} // namespace zinnia
