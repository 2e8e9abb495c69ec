#pragma once

#include "zinniarelay/config/entry_settings.h"
#include "zinniarelay/core/result.h"
#include "zinniarelay/core/time.h"
#include "zinniarelay/entry/entry_effect.h"
#include "zinniarelay/entry/entry_event.h"
#include "zinniarelay/token/key_ring.h"

#include "operator.pb.h"

#include <memory>
#include <optional>

namespace zinnia {

/// The entry role: callers' packets, requests, upstreams, membership of entry
/// hosts and the configuration in force, without sockets or clocks
/// (docs/design.md R1).
class entry_host {
public:
  /// The incarnation must differ from that of every earlier run of this host.
  /// `last_configuration` is the copy that an earlier run saved, if any.
  static result<entry_host> create(const entry_settings& settings, key_ring keys,
                                   incarnation_id incarnation, std::uint64_t seed,
                                   std::optional<wire::configuration> last_configuration);
  ~entry_host();
  entry_host(const entry_host&) = delete;
  entry_host& operator=(const entry_host&) = delete;
  entry_host(entry_host&&) noexcept;
  entry_host& operator=(entry_host&&) noexcept;

  /// Takes an event and returns what the process has to do. Time never goes back.
  entry_effects step(time_point now, const entry_event& event);

  /// Whether a planned stop of this process has ended.
  bool is_drained() const;

  wire::metrics_reply metrics(time_point now) const;

  /// What operators see of this host.
  wire::host_status status(time_point now) const;

private:
  class state;
  explicit entry_host(std::unique_ptr<state> initial);
  std::unique_ptr<state> state_;
};

} // namespace zinnia
