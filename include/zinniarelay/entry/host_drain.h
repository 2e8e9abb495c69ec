#pragma once

#include "zinniarelay/chart/state_chart.h"

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace zinnia {

enum class drain_event : std::uint8_t {
  drain_requested,
  drain_undone,
  requests_finished,
  answers_settled, ///< every answer is acknowledged and no token that names this host is valid
};

enum class drain_action : std::uint8_t {
  refuse_opens,
  accept_opens,
  release_upstreams,
  report_waiting,
};

/// The state machine of the planned stop of an entry host, defined by charts/host_drain.yaml
/// (docs/design.md R12, R30).
class host_drain {
public:
  /// Loads the chart. Fails with all findings when the chart is invalid.
  static checked<host_drain> create(const std::filesystem::path& chart);

  /// Handles an event and returns the actions that the host has to execute.
  std::vector<drain_action> step(drain_event event);

  bool is_serving() const { return state_ == chart_.start(); }
  bool is_drained() const { return state_name() == "drained"; }
  const std::string& state_name() const { return chart_.state_name(state_); }

private:
  explicit host_drain(state_chart chart);

  state_chart chart_;
  state_chart::index state_;
};

} // namespace zinnia
