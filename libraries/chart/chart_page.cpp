#include "zinniarelay/chart/chart_page.h"

#include <algorithm>

namespace zinnia {
namespace {

std::string action_names(const state_chart& chart, const state_chart::transition& transition) {
  std::string out;
  for (const auto action : transition.actions)
    out += (out.empty() ? "" : ", ") + chart.actions()[action].name;
  return out;
}

std::string row(const std::string& state, const std::string& event, const std::string& next,
                const std::string& actions) {
  return "| " + state + " | " + event + " | " + next + " | " + actions + " |\n";
}

std::string symbol_list(const std::string& heading, const std::vector<chart_symbol>& symbols) {
  std::string out = "\n" + heading + ":\n\n";
  for (const auto& it : symbols)
    out += "- `" + it.name + "`: " + it.description + "\n";
  return out;
}

} // namespace

std::string chart_section(const state_chart& chart) {
  std::string out = "## " + chart.name() + "\n\n" + chart.description() + "\n\n" + "Starts in `" +
                    chart.state_name(chart.start()) + "`.\n\n";
  std::vector<chart_symbol> states;
  std::string table = row("state", "event", "next state", "actions") + "|---|---|---|---|\n";
  for (std::size_t i = 0; i < chart.state_count(); ++i) {
    const auto state = static_cast<state_chart::index>(i);
    const auto& name = chart.state_name(state);
    states.push_back({name, chart.state_description(state)});
    std::string ignored;
    for (std::size_t event = 0; event < chart.events().size(); ++event) {
      const auto transition = chart.step(state, static_cast<state_chart::index>(event));
      const auto& event_name = chart.events()[event].name;
      if (transition.is_ignored)
        ignored += (ignored.empty() ? "" : ", ") + event_name;
      else
        table += row(name, event_name, chart.state_name(transition.next),
                     action_names(chart, transition));
    }
    if (chart.is_final(state))
      table += row(name, "any", "(final)", "");
    else if (!ignored.empty())
      table += row(name, ignored, "(ignored)", "");
  }
  return out + table + symbol_list("States", states) + symbol_list("Events", chart.events()) +
         symbol_list("Actions", chart.actions());
}

checked<std::string> chart_page(const std::filesystem::path& folder) {
  std::vector<std::filesystem::path> files;
  std::error_code ec;
  for (const auto& it : std::filesystem::directory_iterator(folder, ec))
    if (it.path().extension() == ".yaml") files.push_back(it.path());
  std::sort(files.begin(), files.end());
  std::string out = "# State charts\n\nWritten by `zinnia-charts charts > docs/charts.md` from the "
                    "files in charts/. A test compares the two.\n";
  findings errors;
  for (const auto& it : files) {
    const auto chart = state_chart::load(it);
    if (chart)
      out += "\n" + chart_section(chart.value());
    else
      errors.insert(errors.end(), chart.error().begin(), chart.error().end());
  }
  if (files.empty())
    errors.push_back({severity::error, folder.string(), 0, 0, "holds no charts", "*.yaml files"});
  if (!errors.empty()) return boost::outcome_v2::failure(errors);
  return out;
}

} // namespace zinnia
