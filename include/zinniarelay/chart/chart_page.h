#pragma once

#include "zinniarelay/chart/state_chart.h"

#include <string>

namespace zinnia {

/// Returns a chart as a Markdown section: a table of its transitions and lists of its
/// states, events and actions.
std::string chart_section(const state_chart& chart);

/// Returns the content of docs/charts.md: one section for each chart of a folder, ordered
/// by file name.
checked<std::string> chart_page(const std::filesystem::path& folder);

} // namespace zinnia
