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

/// The logic of an entry host: packets of callers, requests, upstreams, membership of entry hosts
/// and the configuration in force. It uses neither sockets nor clocks (docs/design.md R1).
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

  /// Handles an event and returns the effects that the process has to execute. The time must not
  /// decrease between calls.
  entry_effects step(time_point now, const entry_event& event);

  /// Returns whether a planned stop of this process is complete.
  bool is_drained() const;

  /// Returns the metrics of this host.
  wire::metrics_reply metrics(time_point now) const;

  /// Returns the status of this host for operators.
  wire::host_status status(time_point now) const;

private:
  class state;
  explicit entry_host(std::unique_ptr<state> initial);
  std::unique_ptr<state> state_;
};

} // namespace zinnia
