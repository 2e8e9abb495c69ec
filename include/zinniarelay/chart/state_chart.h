#pragma once

#include "zinniarelay/config/checked.h"

#include <cstdint>
#include <filesystem>
#include <span>
#include <string>
#include <vector>

namespace zinnia {

/// A state, an event or an action of a chart, with its description.
struct chart_symbol {
  std::string name;
  std::string description;

  friend bool operator==(const chart_symbol&, const chart_symbol&) = default;
};

/// Names of the events and actions in the code, in the order of its enumerations.
struct chart_vocabulary {
  std::vector<std::string> events;
  std::vector<std::string> actions;
};

/// A state machine read from a file in charts/ and interpreted by the code.
/// States, events and actions are identified by indexes, so a step is one table look-up.
class state_chart {
public:
  using index = std::uint16_t;

  /// The effect of an event in a state. An ignored event keeps the state and runs no action.
  struct transition {
    index next = 0;
    bool is_ignored = true;
    std::span<const index> actions;
  };

  /// Reads and checks a chart; the failure lists every finding: unknown,
  /// repeated and unused names, missing transitions, unreachable states.
  /// Events and actions are numbered in the order of the file.
  static checked<state_chart> load(const std::filesystem::path& path);

  /// As above, but numbers events and actions in the order of `vocabulary`. A difference
  /// between the names in the file and those in the vocabulary is a finding.
  static checked<state_chart> load(const std::filesystem::path& path,
                                   const chart_vocabulary& vocabulary);

  /// Returns the effect of `event` in `state`. Both indexes must be below the numbers of
  /// states and events.
  transition step(index state, index event) const {
    const auto& entry = cells_[std::size_t{state} * events_.size() + event];
    return {entry.next, entry.is_ignored,
            std::span(transition_actions_).subspan(entry.first_action, entry.action_count)};
  }

  index start() const { return start_; }
  bool is_final(index state) const { return states_[state].is_final; }
  const std::string& name() const { return name_; }
  const std::string& description() const { return description_; }
  const std::string& state_name(index state) const { return states_[state].symbol.name; }
  const std::string& state_description(index state) const {
    return states_[state].symbol.description;
  }
  std::size_t state_count() const { return states_.size(); }
  const std::vector<chart_symbol>& events() const { return events_; }
  const std::vector<chart_symbol>& actions() const { return actions_; }

private:
  friend class chart_reader;

  struct state {
    chart_symbol symbol;
    bool is_final = false;
  };

  struct cell {
    index next = 0;
    bool is_ignored = true;
    std::uint32_t first_action = 0; // index in transition_actions_
    std::uint32_t action_count = 0;
  };

  state_chart() = default;

  std::string name_;
  std::string description_;
  std::vector<state> states_;
  std::vector<chart_symbol> events_;
  std::vector<chart_symbol> actions_;
  std::vector<cell> cells_;               // one for each pair of state and event, ordered by state
  std::vector<index> transition_actions_; // the action lists of all cells, concatenated
  index start_ = 0;
};

} // namespace zinnia
