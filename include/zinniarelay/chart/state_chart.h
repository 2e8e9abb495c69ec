#pragma once

#include "zinniarelay/config/checked.h"

#include <cstdint>
#include <filesystem>
#include <span>
#include <string>
#include <vector>

namespace zinnia {

/// An event or an action of a chart.
struct chart_word {
  std::string name;
  std::string description;

  friend bool operator==(const chart_word&, const chart_word&) = default;
};

/// Names of the events and actions that code knows, in the order of its enumerations.
struct chart_vocabulary {
  std::vector<std::string> events;
  std::vector<std::string> actions;
};

/// A state machine read from a file in charts/ and interpreted by the code.
/// States, events and actions are indexes, so that a step is one look-up.
class state_chart {
public:
  using index = std::uint16_t;

  /// What an event does in a state. Ignored events stay and run no action.
  struct transition {
    index next = 0;
    bool is_ignored = true;
    std::span<const index> actions;
  };

  /// Reads and checks a chart; the failure lists every finding: unknown,
  /// repeated and unused names, missing transitions, unreachable states.
  /// Events and actions are numbered as the file lists them.
  static checked<state_chart> load(const std::filesystem::path& path);

  /// As above, and numbers events and actions as the code does. A difference
  /// between the names of the file and those of the code is a finding.
  static checked<state_chart> load(const std::filesystem::path& path,
                                   const chart_vocabulary& vocabulary);

  /// Both indexes must be below the numbers of states and events.
  transition step(index state, index event) const {
    const auto& it = cells_[std::size_t{state} * events_.size() + event];
    return {it.next, it.is_ignored, std::span(action_runs_).subspan(it.first_action, it.actions)};
  }

  index start() const { return start_; }
  bool is_final(index state) const { return states_[state].is_final; }
  const std::string& name() const { return name_; }
  const std::string& description() const { return description_; }
  const std::string& state_name(index state) const { return states_[state].word.name; }
  const std::string& state_description(index state) const {
    return states_[state].word.description;
  }
  std::size_t state_count() const { return states_.size(); }
  const std::vector<chart_word>& events() const { return events_; }
  const std::vector<chart_word>& actions() const { return actions_; }

private:
  friend class chart_reader;

  struct state {
    chart_word word;
    bool is_final = false;
  };

  struct cell {
    index next = 0;
    bool is_ignored = true;
    std::uint32_t first_action = 0; // in action_runs_
    std::uint32_t actions = 0;
  };

  state_chart() = default;

  std::string name_;
  std::string description_;
  std::vector<state> states_;
  std::vector<chart_word> events_;
  std::vector<chart_word> actions_;
  std::vector<cell> cells_; // one for each state and event
  std::vector<index> action_runs_;
  index start_ = 0;
};

} // namespace zinnia
