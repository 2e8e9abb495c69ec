#include "zinniarelay/chart/state_chart.h"

#include "config/yaml_map.h"

#include <algorithm>
#include <limits>

namespace zinnia {

namespace {

using index = state_chart::index;

constexpr std::size_t max_symbols = std::numeric_limits<index>::max();

template <class Symbol, class Name>
std::optional<index> find_index(const std::vector<Symbol>& symbols, std::string_view name,
                                Name name_of) {
  const auto it = std::find_if(symbols.begin(), symbols.end(),
                               [&](const Symbol& symbol) { return name_of(symbol) == name; });
  if (it == symbols.end()) return std::nullopt;
  return static_cast<index>(it - symbols.begin());
}

} // namespace

/// Builds a chart from its file and reports every defect.
class chart_reader {
public:
  chart_reader(finding_sink& sink, const chart_vocabulary* vocabulary)
      : sink_(sink), vocabulary_(vocabulary) {}

  state_chart read(const YAML::Node& document);

private:
  std::vector<chart_symbol> read_symbols(yaml_map& map, std::string_view key,
                                         const std::vector<std::string>* expected_names);
  std::vector<chart_symbol> order_by_vocabulary(std::vector<chart_symbol> symbols,
                                                std::string_view key,
                                                const std::vector<std::string>& expected_names,
                                                const YAML::Mark& place);
  void read_state_names(const std::vector<YAML::Node>& nodes);
  void read_state(const YAML::Node& node, index state);
  void read_transitions(const YAML::Node& node, index state, std::vector<bool>& handled);
  void read_transition(const YAML::Node& node, state_chart::cell& cell);
  void read_actions(const std::vector<YAML::Node>& nodes, state_chart::cell& cell);
  void read_ignored(const std::vector<YAML::Node>& nodes, std::vector<bool>& handled);
  void check_handled(const YAML::Mark& place, index state, const std::vector<bool>& handled);
  void check_reachable();
  void check_actions_used(const YAML::Mark& place);

  std::optional<index> find_state(std::string_view name) const {
    return find_index(chart_.states_, name, [](const auto& state) { return state.symbol.name; });
  }
  static std::optional<index> find_symbol(const std::vector<chart_symbol>& symbols,
                                          std::string_view name) {
    return find_index(symbols, name, [](const auto& symbol) { return symbol.name; });
  }

  finding_sink& sink_;
  const chart_vocabulary* vocabulary_;
  state_chart chart_;
  std::vector<YAML::Mark> state_places_;
};

state_chart chart_reader::read(const YAML::Node& document) {
  yaml_map map(document, "the chart", sink_);
  chart_.name_ = map.text("chart", presence::required).value_or("");
  chart_.description_ = map.text("description", presence::required).value_or("");
  const auto start = map.text("start", presence::required);
  chart_.events_ = read_symbols(map, "events", vocabulary_ ? &vocabulary_->events : nullptr);
  chart_.actions_ = read_symbols(map, "actions", vocabulary_ ? &vocabulary_->actions : nullptr);
  const auto nodes = map.list("states", presence::required);
  map.report_unknown_keys();
  if (nodes.size() > max_symbols) {
    sink_.report(map.place("states"), "too many states", "at most " + std::to_string(max_symbols));
    return chart_;
  }
  read_state_names(nodes);
  chart_.cells_.resize(chart_.states_.size() * chart_.events_.size());
  // By default an event is ignored and keeps the state.
  for (std::size_t i = 0; i < chart_.cells_.size(); ++i)
    chart_.cells_[i].next = static_cast<index>(i / chart_.events_.size());
  for (std::size_t i = 0; i < nodes.size(); ++i)
    read_state(nodes[i], static_cast<index>(i));

  const auto first = find_state(start.value_or(""));
  if (start && !first)
    sink_.report(map.place("start"), "unknown state " + in_quotes(*start), "a state of this chart");
  chart_.start_ = first.value_or(0);
  if (first) check_reachable();
  check_actions_used(map.place("actions"));
  return std::move(chart_);
}

std::vector<chart_symbol>
chart_reader::read_symbols(yaml_map& map, std::string_view key,
                           const std::vector<std::string>* expected_names) {
  std::vector<chart_symbol> symbols;
  const auto node = map.find(key, presence::required);
  if (!node) return symbols;
  yaml_map names(*node, std::string(key), sink_);
  for (const auto& it : names.items())
    symbols.push_back({it.key, names.text(it.key, presence::required).value_or("")});
  if (symbols.size() > max_symbols)
    sink_.report(map.place(key), "too many " + std::string(key),
                 "at most " + std::to_string(max_symbols));
  if (expected_names == nullptr) return symbols;
  return order_by_vocabulary(std::move(symbols), key, *expected_names, map.place(key));
}

std::vector<chart_symbol>
chart_reader::order_by_vocabulary(std::vector<chart_symbol> symbols, std::string_view key,
                                  const std::vector<std::string>& expected_names,
                                  const YAML::Mark& place) {
  for (const auto& it : symbols)
    if (std::find(expected_names.begin(), expected_names.end(), it.name) == expected_names.end())
      sink_.report(place,
                   in_quotes(it.name) + " in " + std::string(key) + " is unknown to the code");
  std::vector<chart_symbol> ordered;
  for (const auto& name : expected_names) {
    const auto found = find_symbol(symbols, name);
    if (!found)
      sink_.report(place, in_quotes(name) + " of the code is missing in " + std::string(key));
    ordered.push_back(found ? symbols[*found] : chart_symbol{name, ""});
  }
  return ordered;
}

void chart_reader::read_state_names(const std::vector<YAML::Node>& nodes) {
  for (const auto& node : nodes) {
    // The other keys are read in a second pass, because transitions refer to states by name.
    std::string name;
    if (node.IsMap() && node["name"] && node["name"].IsScalar()) name = node["name"].Scalar();
    if (!name.empty() && find_state(name))
      sink_.report(node.Mark(), "state " + in_quotes(name) + " is given twice", "each state once");
    chart_.states_.push_back({{name, ""}, false});
    state_places_.push_back(node.Mark());
  }
}

void chart_reader::read_state(const YAML::Node& node, index state) {
  yaml_map map(node, "a state", sink_);
  map.text("name", presence::required);
  auto& entry = chart_.states_[state];
  entry.symbol.description = map.text("description", presence::required).value_or("");
  const auto final = map.text("final", presence::optional);
  const auto on = map.find("on", presence::optional);
  const auto ignored = map.list("ignore", presence::optional);
  map.report_unknown_keys();
  if (!node.IsMap()) return;
  entry.is_final = final == "true";
  if (final && final != "true" && final != "false")
    sink_.report(map.place("final"), "final is " + in_quotes(*final), "true or false");
  if (entry.is_final && (on || !ignored.empty()))
    sink_.report(map.place(on ? "on" : "ignore"),
                 "final state " + in_quotes(entry.symbol.name) + " handles events",
                 "neither on nor ignore");

  std::vector<bool> handled(chart_.events_.size());
  if (on) read_transitions(*on, state, handled);
  read_ignored(ignored, handled);
  if (!entry.is_final) check_handled(node.Mark(), state, handled);
}

void chart_reader::read_transitions(const YAML::Node& node, index state,
                                    std::vector<bool>& handled) {
  yaml_map map(node, "on", sink_);
  for (const auto& it : map.items()) {
    const auto event = find_symbol(chart_.events_, it.key);
    if (!event) {
      sink_.report(it.place, "unknown event " + in_quotes(it.key), "an event of this chart");
      continue;
    }
    handled[*event] = true;
    auto& cell = chart_.cells_[std::size_t{state} * chart_.events_.size() + *event];
    cell.next = state;
    read_transition(it.value, cell);
  }
}

void chart_reader::read_transition(const YAML::Node& node, state_chart::cell& cell) {
  yaml_map map(node, "a transition", sink_);
  const auto target = map.text("to", presence::required);
  const auto actions = map.list("do", presence::optional);
  map.report_unknown_keys();
  const auto next = find_state(target.value_or(""));
  if (target && !next)
    sink_.report(map.place("to"), "unknown state " + in_quotes(*target), "a state of this chart");
  cell.next = next.value_or(cell.next);
  cell.is_ignored = false;
  read_actions(actions, cell);
}

void chart_reader::read_actions(const std::vector<YAML::Node>& nodes, state_chart::cell& cell) {
  cell.first_action = static_cast<std::uint32_t>(chart_.transition_actions_.size());
  for (const auto& node : nodes) {
    const auto name = node.IsScalar() ? node.Scalar() : std::string();
    const auto action = find_symbol(chart_.actions_, name);
    if (!action)
      sink_.report(node.Mark(), "unknown action " + in_quotes(name), "an action of this chart");
    else
      chart_.transition_actions_.push_back(*action);
  }
  cell.action_count =
      static_cast<std::uint32_t>(chart_.transition_actions_.size()) - cell.first_action;
}

void chart_reader::read_ignored(const std::vector<YAML::Node>& nodes, std::vector<bool>& handled) {
  for (const auto& node : nodes) {
    const auto name = node.IsScalar() ? node.Scalar() : std::string();
    const auto event = find_symbol(chart_.events_, name);
    if (!event)
      sink_.report(node.Mark(), "unknown event " + in_quotes(name), "an event of this chart");
    else if (handled[*event])
      sink_.report(node.Mark(), "event " + in_quotes(name) + " is handled twice",
                   "each event once in on or ignore");
    else
      handled[*event] = true;
  }
}

void chart_reader::check_handled(const YAML::Mark& place, index state,
                                 const std::vector<bool>& handled) {
  for (std::size_t i = 0; i < handled.size(); ++i)
    if (!handled[i])
      sink_.report(place,
                   "state " + in_quotes(chart_.states_[state].symbol.name) +
                       " has no transition for event " + in_quotes(chart_.events_[i].name),
                   "a transition, or the event in ignore");
}

void chart_reader::check_reachable() {
  std::vector<bool> reached(chart_.states_.size());
  std::vector<index> unvisited{chart_.start_};
  reached[chart_.start_] = true;
  while (!unvisited.empty()) {
    const auto state = unvisited.back();
    unvisited.pop_back();
    for (std::size_t event = 0; event < chart_.events_.size(); ++event) {
      const auto& cell = chart_.cells_[state * chart_.events_.size() + event];
      if (cell.is_ignored || reached[cell.next]) continue;
      reached[cell.next] = true;
      unvisited.push_back(cell.next);
    }
  }
  for (std::size_t i = 0; i < reached.size(); ++i)
    if (!reached[i])
      sink_.report(state_places_[i],
                   "state " + in_quotes(chart_.states_[i].symbol.name) + " cannot be reached",
                   "a transition to it");
}

void chart_reader::check_actions_used(const YAML::Mark& place) {
  std::vector<bool> used(chart_.actions_.size());
  for (const auto it : chart_.transition_actions_)
    used[it] = true;
  for (std::size_t i = 0; i < used.size(); ++i)
    if (!used[i])
      sink_.report(place, "action " + in_quotes(chart_.actions_[i].name) + " is never used",
                   "a transition that runs it");
}

namespace {

checked<state_chart> load_chart(const std::filesystem::path& path,
                                const chart_vocabulary* vocabulary) {
  finding_sink sink(path.string());
  const auto document = load_yaml(path, sink);
  if (!document) return boost::outcome_v2::failure(sink.sorted());
  auto chart = chart_reader(sink, vocabulary).read(*document);
  if (sink.has_errors()) return boost::outcome_v2::failure(sink.sorted());
  return chart;
}

} // namespace

checked<state_chart> state_chart::load(const std::filesystem::path& path) {
  return load_chart(path, nullptr);
}

checked<state_chart> state_chart::load(const std::filesystem::path& path,
                                       const chart_vocabulary& vocabulary) {
  return load_chart(path, &vocabulary);
}

} // namespace zinnia
