#include "format_findings.h"
#include "temporary_folder.h"
#include "zinniarelay/chart/chart_page.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <iterator>

namespace {

using namespace zinnia;

const std::string valid_chart = R"(chart: lamp
description: A lamp.
start: dark
events: {pressed: The button., broke: The bulb.}
actions: {light: Turns it on., quench: Turns it off.}
states:
  - name: dark
    description: No light.
    on: {pressed: {to: lit, do: [light]}}
    ignore: [broke]
  - name: lit
    description: Light.
    on:
      pressed: {to: dark, do: [quench, light, quench]}
      broke: {to: dead}
  - {name: dead, description: Never again., final: true}
)";

struct chart_folder : temporary_folder {
  checked<state_chart> load(const std::string& text) const {
    return state_chart::load(write("chart.yaml", text));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(state_chart_test, chart_folder)

BOOST_AUTO_TEST_CASE(step_returns_next_state_and_actions) {
  const auto chart = load(valid_chart).value();
  BOOST_TEST(chart.state_name(chart.start()) == "dark");
  const auto lit = chart.step(chart.start(), 0);
  BOOST_TEST(chart.state_name(lit.next) == "lit");
  BOOST_REQUIRE_EQUAL(lit.actions.size(), 1U);
  BOOST_TEST(lit.actions[0] == 0);
  BOOST_TEST(chart.step(chart.start(), 1).is_ignored);
  const auto dark = chart.step(lit.next, 0);
  const std::vector<state_chart::index> expected{1, 0, 1};
  BOOST_TEST(std::vector(dark.actions.begin(), dark.actions.end()) == expected,
             boost::test_tools::per_element());
  const auto dead = chart.step(lit.next, 1);
  BOOST_TEST(dead.actions.empty());
  BOOST_TEST(chart.is_final(dead.next));
  BOOST_TEST(chart.step(dead.next, 0).is_ignored);
}

// Guards against an ignored event that resets a machine to its first state.
BOOST_AUTO_TEST_CASE(ignored_event_keeps_state) {
  const auto chart = load(valid_chart).value();
  const auto dead = chart.step(chart.step(chart.start(), 0).next, 1).next;
  BOOST_TEST(chart.step(dead, 0).next == dead);
  BOOST_TEST(chart.step(dead, 1).next == dead);
}

// Guards against an enumeration in the code that no longer matches its chart, which
// would run other actions than the chart specifies.
BOOST_AUTO_TEST_CASE(indexes_follow_vocabulary) {
  const auto file = write("chart.yaml", valid_chart);
  const auto chart = state_chart::load(file, {{"broke", "pressed"}, {"quench", "light"}}).value();
  BOOST_TEST(chart.step(chart.start(), 0).is_ignored);
  BOOST_TEST(chart.step(chart.start(), 1).actions[0] == 1);
  const auto found = state_chart::load(file, {{"pressed", "dropped"}, {"light", "quench"}}).error();
  const std::vector<std::string> expected{"4:9 'broke' in events is unknown to the code",
                                          "4:9 'dropped' of the code is missing in events",
                                          "7:5 state 'dark' has no transition for event 'dropped'",
                                          "10:14 unknown event 'broke'",
                                          "11:5 state 'lit' has no transition for event 'dropped'",
                                          "15:7 unknown event 'broke'",
                                          "16:5 state 'dead' cannot be reached"};
  BOOST_TEST(format_findings(found) == expected, boost::test_tools::per_element());
}

// Guards against accepting a chart with an unhandled event or an unreachable state.
BOOST_AUTO_TEST_CASE(reports_all_defects_with_their_places) {
  const auto found = load(R"(chart: lamp
description: A lamp.
start: dusk
events: {pressed: The button., broke: The bulb., broke: Again.}
actions: {light: Turns it on., unused: Nothing.}
states:
  - name: dark
    description: No light.
    on: {pressed: {to: day, do: [light, shine]}, kicked: {to: dark}}
    ignore: [pressed, lost]
  - name: dark
    description: Twice.
    colour: black
    ignore: [pressed, broke]
  - {name: dead, final: maybe, ignore: [pressed, broke]}
  - {name: gone, description: Final., final: true, ignore: [pressed]}
)")
                         .error();
  const std::vector<std::string> expected{"3:8 unknown state 'dusk'",
                                          "4:50 key 'broke' is given twice in events",
                                          "5:10 action 'unused' is never used",
                                          "7:5 state 'dark' has no transition for event 'broke'",
                                          "9:24 unknown state 'day'",
                                          "9:41 unknown action 'shine'",
                                          "9:50 unknown event 'kicked'",
                                          "10:14 event 'pressed' is handled twice",
                                          "10:23 unknown event 'lost'",
                                          "11:5 state 'dark' is given twice",
                                          "13:5 unknown key 'colour' in a state",
                                          "15:5 key 'description' is missing in a state",
                                          "15:25 final is 'maybe'",
                                          "16:60 final state 'gone' handles events"};
  BOOST_TEST(format_findings(found) == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(reports_unreachable_state) {
  auto text = valid_chart;
  text.replace(text.find("to: dead"), 8, "to: lit");
  BOOST_TEST(format_findings(load(text).error()).front() == "16:5 state 'dead' cannot be reached");
}

BOOST_AUTO_TEST_CASE(rejects_invalid_documents) {
  BOOST_TEST(!load("[]").has_value());
  BOOST_TEST(!load("chart: a\nstates: [1, [2], {}]\n").has_value());
  BOOST_TEST(!chart_page(path() / "none").has_value());
}

// Guards against a docs/charts.md that differs from the charts that the code interprets.
BOOST_AUTO_TEST_CASE(page_matches_charts) {
  const std::filesystem::path charts = ZINNIA_CHART_DIR;
  const auto page = chart_page(charts);
  if (!page)
    for (const auto& it : page.error())
      BOOST_TEST_MESSAGE(it);
  BOOST_REQUIRE(page.has_value());
  std::ifstream in(charts.parent_path() / "docs" / "charts.md");
  const std::string written(std::istreambuf_iterator<char>(in), {});
  BOOST_TEST((page.value() == written),
             "docs/charts.md differs; run zinnia-charts charts > docs/charts.md");
}

BOOST_AUTO_TEST_SUITE_END()
