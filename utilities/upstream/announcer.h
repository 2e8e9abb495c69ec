#pragma once

#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/time.h"

#include "upstream.grpc.pb.h"

#include <deque>
#include <memory>
#include <vector>

namespace zinnia::utilities {

/// Announces one upstream to its dispatching host. Changes to another entry host when the
/// dispatching host doesn't reply or doesn't accept the announcement (docs/design.md R16).
class announcer {
public:
  struct options {
    std::vector<endpoint> entry_hosts;
    wire::announcement announcement; ///< without the load, which announce() adds
    std::size_t report_lag = 0;      ///< reports the load of this many renewals ago
  };

  explicit announcer(options opts);

  enum class intention { serving, leaving };

  /// Sends one announcement and follows redirects. Returns the last reply.
  wire::announcement_reply announce(intention intent, std::uint32_t outstanding);

  /// Returns the time until the next announcement is due.
  milliseconds renewal_delay() const { return renewal_delay_; }

private:
  wire::announcement_reply send(const wire::announcement& message);
  void connect(const endpoint& target);
  void connect_to_next_entry();
  std::uint32_t delayed_load(std::uint32_t outstanding);

  options options_;
  std::size_t next_entry_ = 0;
  endpoint target_;
  std::unique_ptr<wire::registration::Stub> stub_;
  milliseconds renewal_delay_;
  std::deque<std::uint32_t> recent_loads_;
};

} // namespace zinnia::utilities
