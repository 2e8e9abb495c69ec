#include "zinniarelay/entry/host_drain.h"

namespace zinnia {

host_drain::host_drain(state_chart chart) : chart_(std::move(chart)), state_(chart_.start()) {}

checked<host_drain> host_drain::create(const std::filesystem::path& chart) {
  const chart_vocabulary vocabulary{
      {"drain_requested", "drain_undone", "requests_finished", "answers_settled"},
      {"refuse_opens", "accept_opens", "release_upstreams", "report_waiting"}};
  auto loaded = state_chart::load(chart, vocabulary);
  if (!loaded) return loaded.error();
  return host_drain(std::move(loaded).value());
}

std::vector<drain_action> host_drain::step(drain_event event) {
  const auto transition = chart_.step(state_, static_cast<state_chart::index>(event));
  state_ = transition.next;
  std::vector<drain_action> actions;
  for (const auto it : transition.actions)
    actions.push_back(static_cast<drain_action>(it));
  return actions;
}

} // namespace zinnia
